"""Reads of the newest version for entries, which share them.

A read answers only calls that arrived before it began: what was acknowledged
between the read and a later call would be missing in the answer.
"""

import asyncio
import collections.abc

from hemlockkeel._internal.links import messages

# Entries wait 0.5 s for the answer and then ask another member.
READ_TIMEOUT_S = 0.4
# Shortest time between two reads. It bounds the reads at the leader whatever
# the number of entries is, and delays an answer by this much at most.
READ_INTERVAL_S = 0.05

# Reads the version from the leader, within a number of seconds.
Reader = collections.abc.Callable[
    [float], collections.abc.Awaitable[messages.Outcome]
]


class VersionReads:
    """Combines the calls of many entries into few reads at the leader."""

    def __init__(self, read: Reader) -> None:
        self.read = read
        # The read that has not begun, which further calls share.
        self.waiting: asyncio.Task[messages.VersionProof] | None = None
        # The last read that has begun.
        self.begun: asyncio.Task[messages.VersionProof] | None = None
        self.begun_at = float("-inf")

    async def confirm(self) -> messages.VersionProof:
        """Return the newest version, from a read that begins after now."""
        if self.waiting is None:
            self.waiting = asyncio.get_running_loop().create_task(
                self.run_read(self.begun)
            )
        # A caller that goes away does not end the read of the others.
        return await asyncio.shield(self.waiting)

    async def run_read(
        self, previous: asyncio.Task[messages.VersionProof] | None
    ) -> messages.VersionProof:
        """Read once the read before has ended, and not too soon after it."""
        loop = asyncio.get_running_loop()
        if previous is not None:
            await asyncio.wait([previous])
        await asyncio.sleep(self.begun_at + READ_INTERVAL_S - loop.time())
        self.begun, self.waiting = self.waiting, None
        self.begun_at = loop.time()
        outcome = await self.read(READ_TIMEOUT_S)
        return messages.VersionProof(done=outcome.done, version=outcome.index)
