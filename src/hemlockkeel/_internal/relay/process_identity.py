"""Decides whether a target's process is the one that was announced.

A target may come back under its id and at its address as another software
version, seconds before its announcement arrives, and its responses do not
tell. Connections do: they end with their process. As long as one of several
is open at any time, the process is the same, and announcements received
meanwhile are its own.
"""

import collections.abc
import dataclasses
import math

# Longest time for which an announcement is under way. One that arrives sooner
# after the connections have ended may have been sent before.
ANNOUNCEMENT_DELAY_S = 3.0
# Claims that are kept until the process is identified.
MAX_CLAIMS = 1000


@dataclasses.dataclass
class Claim:
    """A question about the process, answered once it is identified."""

    on_confirmed: collections.abc.Callable[[], None]
    confirmed: bool = False


class ProcessIdentity:
    """What is known of the process at one target's address.

    ``started_at_ms`` is the start that was announced last, milliseconds since
    the epoch. Times are loop times in seconds.
    """

    def __init__(self, started_at_ms: int) -> None:
        # Whether the process is the one that was announced last.
        self.confirmed = False
        self.open_connections = 0
        # Since when the same process has been connected.
        self.connected_at = math.inf
        self.started_at_ms = started_at_ms
        # An announced start whose process may have ended.
        self.doubted_start_ms: int | None = None
        self.claims: list[Claim] = []

    def handle_connected(self, now: float) -> None:
        """Add a connection."""
        self.open_connections += 1
        if self.open_connections == 1:
            self.connected_at = now

    def handle_closed(self) -> None:
        """Remove a connection; the process may have ended with the last."""
        self.open_connections -= 1
        if self.open_connections:
            return
        self.doubted_start_ms = self.started_at_ms
        self.handle_given_up()

    def handle_given_up(self) -> None:
        """Remove all connections, which this side has closed."""
        self.open_connections = 0
        self.connected_at = math.inf
        self.drop_claims()

    def handle_announcement(self, started_at_ms: int, heard_at: float) -> bool:
        """Add an announcement that a control member received at a time.

        Returns whether the connections are to another process: another start
        has been announced since they were identified.
        """
        contradicted = False
        if started_at_ms != self.started_at_ms:
            # Claims stay: they are about the process that is connected,
            # whichever it is, and the announcements so far are not its own.
            contradicted = self.confirmed
            self.confirmed = False
            self.started_at_ms = started_at_ms
        delay_s = 0.0
        if started_at_ms == self.doubted_start_ms:
            delay_s = ANNOUNCEMENT_DELAY_S
        if not contradicted and heard_at >= self.connected_at + delay_s:
            self.confirm()
        return contradicted

    def confirm(self) -> None:
        """Record that the process is the one that was announced."""
        self.confirmed = True
        claims, self.claims = self.claims, []
        for claim in claims:
            claim.confirmed = True
            claim.on_confirmed()

    def drop_claims(self) -> None:
        """Record that the process may be another one."""
        self.confirmed = False
        self.claims.clear()

    def add_claim(
        self, on_confirmed: collections.abc.Callable[[], None]
    ) -> Claim:
        """Return a claim, which is confirmed at once or later, or never.

        ``on_confirmed`` is called when the process that runs now turns out to
        be the one announced last.
        """
        claim = Claim(on_confirmed)
        if self.confirmed:
            claim.confirmed = True
            on_confirmed()
        elif len(self.claims) < MAX_CLAIMS:
            self.claims.append(claim)
        return claim
