"""Whether a target accepts new requests, according to its own responses.

A target that is leaving says so in its responses, also before it announces
it. A target that is overloaded refuses a request and names a time until which
it wants no other one.
"""

import asyncio
import collections.abc
import contextlib
import enum

# Time for which an incarnation gets no requests if it may have been the one
# that said that it leaves. If it did, it says so again or has ended by then.
CARRIED_LEAVING_S = 10.0


class Refusal(enum.Enum):
    """Why a target accepts no new requests. The values appear in logs."""

    LEAVING = "leaving"
    HELD = "held"
    LIMITED = "limited"


class Availability:
    """What one target incarnation has said about new requests."""

    def __init__(self) -> None:
        # Final: the incarnation does not accept requests again.
        self.leaving = False
        # Loop time until which the target wants no requests.
        self.held_until = float("-inf")
        # Requests a second that it takes from all entries; None without limit.
        self.rate_limit: float | None = None
        # Loop time and time of day of the last response that named one.
        self.limit_named_at = float("-inf")
        self.limit_named_wall_s = float("-inf")
        # Loop time until which there is no permit to send a request.
        self.denied_until = float("-inf")
        # Time of day of the last such response, seconds since the epoch.
        self.said_at_wall_s = float("-inf")
        # Waits of requests that have chosen the target.
        self.waits: set[asyncio.Timeout] = set()

    def find_refusal(self, now: float) -> Refusal | None:
        """Return why a request must not be sent now; None if it may be."""
        if self.leaving:
            return Refusal.LEAVING
        if now < self.held_until:
            return Refusal.HELD
        if now < self.denied_until:
            return Refusal.LIMITED
        return None

    def name_limit(self, limit: float, now: float, wall_s: float) -> None:
        """Record how many requests a second the target takes."""
        self.rate_limit = limit
        self.limit_named_at = now
        self.limit_named_wall_s = max(self.limit_named_wall_s, wall_s)

    def lift_limit(self) -> None:
        """Record that the target takes any number of requests again."""
        self.rate_limit = None
        self.denied_until = float("-inf")

    def mark_leaving(self, wall_s: float = float("-inf")) -> bool:
        """Record that the target leaves; return whether this is news.

        ``wall_s`` is the time of day of the response that said so, if it did
        not name the incarnation.
        """
        self.said_at_wall_s = max(self.said_at_wall_s, wall_s)
        if self.leaving:
            return False
        self.leaving = True
        self.interrupt_waits()
        return True

    def hold(self, until: float, now: float, wall_s: float) -> bool:
        """Record that the target wants no requests until a loop time.

        A hold is never shortened. Returns whether it is the start of one.
        """
        self.said_at_wall_s = max(self.said_at_wall_s, wall_s)
        is_new = self.held_until <= now < until
        self.held_until = max(self.held_until, until)
        if is_new:
            self.interrupt_waits()
        return is_new

    def carry_over(
        self, successor: "Availability", started_at_s: float
    ) -> None:
        """Pass on what the next incarnation may have said already.

        Responses do not name the incarnation, and its announcement may arrive
        after them. ``started_at_s`` is the time of day of its start; clocks
        may be wrong, so that nothing final is passed on.
        """
        if self.rate_limit is not None and (
            self.limit_named_wall_s >= started_at_s
        ):
            successor.name_limit(
                self.rate_limit, self.limit_named_at, self.limit_named_wall_s
            )
        if self.said_at_wall_s < started_at_s:
            return
        now = asyncio.get_running_loop().time()
        until = self.held_until
        if self.leaving:
            until = max(until, now + CARRIED_LEAVING_S)
        successor.hold(until, now, self.said_at_wall_s)

    def interrupt_waits(self) -> None:
        """Make `interruptible` blocks raise TimeoutError."""
        now = asyncio.get_running_loop().time()
        for wait in self.waits:
            wait.reschedule(now)

    @contextlib.asynccontextmanager
    async def interruptible(self) -> collections.abc.AsyncIterator[None]:
        """End a wait at once if the target stops accepting requests.

        :raises TimeoutError: when it does.
        """
        async with asyncio.timeout(None) as wait:
            self.waits.add(wait)
            try:
                yield
            finally:
                self.waits.discard(wait)
