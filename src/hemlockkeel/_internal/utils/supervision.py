"""Keeps the endless loops of a process running."""

import asyncio
import collections.abc
import threading

from hemlockkeel._internal.utils import event_log
from hemlockkeel._internal.utils import logs

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


def keep_thread_running(
    work: collections.abc.Callable[[], None], stopping: threading.Event
) -> None:
    """Run a loop in a thread, as `keep_running` does in an event loop.

    Ends when the loop returns or ``stopping`` is set.
    """
    while True:
        try:
            work()
        except Exception as error:
            name = getattr(work, "__qualname__", repr(work))
            logs.log_error("loop_failed", loop=name, fault=repr(error))
            if stopping.wait(RESTART_DELAY_S):
                return
            continue
        return
