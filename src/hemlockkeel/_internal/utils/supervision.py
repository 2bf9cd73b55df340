"""Keeps the endless loops of a process running."""

import asyncio
import collections.abc

from hemlockkeel._internal.utils import event_log

RESTART_DELAY_S = 0.5


async def keep_running(
    work: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    log: event_log.EventLog,
) -> None:
    """Run a loop, and start it again after an unexpected error.

    The error is logged. Ends when the loop returns or is cancelled.
    """
    while True:
        try:
            await work()
        except Exception as error:
            name = getattr(work, "__qualname__", repr(work))
            log.write("loop_failed", loop=name, fault=repr(error))
            await asyncio.sleep(RESTART_DELAY_S)
            continue
        return
