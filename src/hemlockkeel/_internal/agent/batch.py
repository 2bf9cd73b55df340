"""Admits requests to a target so that suspected ones run alone."""

import collections
import threading
import time


class IsolatingBatch:
    """The requests in progress at a target.

    A request that is suspected of crashing targets enters when no other one
    is in progress; later ones wait behind it.
    """

    def __init__(self) -> None:
        self.changed = threading.Condition()
        # Requests in progress, with the number of each content digest.
        self.members: collections.Counter[str] = collections.Counter()
        self.has_suspect = False
        self.waiting_suspects = 0
        self.closed = False

    def enter(self, digest: str, suspect: bool, deadline: float) -> bool:
        """Wait until a request may run; return whether it may.

        It may not run if ``deadline``, in monotonic seconds, passes before.
        """
        with self.changed:
            self.waiting_suspects += suspect
            try:
                allowed = self.changed.wait_for(
                    lambda: self.closed or self.may_enter(suspect),
                    deadline - time.monotonic(),
                )
                if not allowed or self.closed:
                    return False
                self.members[digest] += 1
                self.has_suspect = suspect
                return True
            finally:
                self.waiting_suspects -= suspect
                self.changed.notify_all()

    def may_enter(self, suspect: bool) -> bool:
        """Return whether a request may run now."""
        if suspect:
            return not self.members
        return not self.has_suspect and not self.waiting_suspects

    def leave(self, digest: str) -> None:
        """Record the end of a request that entered."""
        with self.changed:
            self.members -= collections.Counter([digest])
            self.has_suspect = False
            self.changed.notify_all()

    def list_members(self) -> list[str]:
        """Return the content digests of the requests in progress."""
        with self.changed:
            return sorted(self.members)

    def close(self) -> None:
        """Let no more requests run."""
        with self.changed:
            self.closed = True
            self.changed.notify_all()
