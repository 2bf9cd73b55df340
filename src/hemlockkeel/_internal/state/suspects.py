"""Requests suspected of crashing targets.

A request is identified by the digest of its content, and by its adapter, as
different requests may crash targets for its sake. Every request that was
running when a target crashed becomes a suspect, and from then on runs without
other requests. It is quarantined, that is refused, after two crashes, at
least one of them while it ran alone; a run that ends without a crash clears
it. A harmless request that was in the same batch as a crashing one is thus
cleared by its next run. An adapter is quarantined only for crashes of
different contents.
"""

import msgspec

from hemlockkeel._internal.models import suspect_keys

QUARANTINE_CRASHES = 2
# Counted from the last crash.
SUSPECT_RETENTION_S = 600.0
QUARANTINE_DURATION_S = 3600.0


class Suspect(msgspec.Struct, frozen=True):
    """A content or adapter that was running when a target crashed.

    Times are the leader's wall-clock seconds.
    """

    # Digest of a content, or the key of an adapter.
    digest: str
    # "target_id/boot_id" of each crash.
    crashes: list[str]
    # Crashes during which no other request was running.
    alone_crashes: int
    last_at: float
    quarantined_until: float = 0.0


class SuspectTable:
    """Suspects by content digest or adapter."""

    def __init__(self) -> None:
        self.suspects: dict[str, Suspect] = {}

    def report(
        self,
        target_id: str,
        boot_id: str,
        digests: list[str],
        at: float,
        adapters: list[str] | None = None,
    ) -> list[Suspect]:
        """Count a crash for each request that was running.

        ``adapters`` are the keys of theirs.

        Returns the suspects that changed; a crash that was reported before
        changes none.
        """
        crash = f"{target_id}/{boot_id}"
        alone = len(set(digests)) == 1
        changed = []
        for digest in dict.fromkeys([*digests, *(adapters or [])]):
            old = self.suspects.get(digest)
            if old is not None and crash in old.crashes:
                continue
            changed.append(self.add_crash(digest, old, crash, alone, at))
        return changed

    def add_crash(
        self,
        digest: str,
        old: Suspect | None,
        crash: str,
        alone: bool,
        at: float,
    ) -> Suspect:
        """Add a crash to a suspect, and quarantine it after enough crashes.

        ``old`` is None for a request that was not suspected before.
        """
        crashes = [*(old.crashes if old else []), crash]
        alone_crashes = (old.alone_crashes if old else 0) + int(alone)
        count = len(crashes)
        if suspect_keys.is_adapter(digest):
            count = self.count_reasons(set(crashes))
        quarantined = count >= QUARANTINE_CRASHES and alone_crashes > 0
        suspect = Suspect(
            digest,
            crashes,
            alone_crashes,
            at,
            at + QUARANTINE_DURATION_S if quarantined else 0.0,
        )
        self.suspects[digest] = suspect
        return suspect

    def count_reasons(self, crashes: set[str]) -> int:
        """Return how many contents would explain an adapter's crashes.

        A quarantined content explains all of its crashes, another one the
        only one that it was at.
        """
        contents = [
            set(suspect.crashes)
            for suspect in self.suspects.values()
            if suspect.quarantined_until
            and not suspect_keys.is_adapter(suspect.digest)
        ]
        explaining = [found for found in contents if found & crashes]
        return len(explaining) + len(crashes.difference(*explaining))

    def clear(self, digests: list[str]) -> list[str]:
        """Remove suspects that are not quarantined; return their digests."""
        cleared = [
            digest
            for digest in digests
            if digest in self.suspects
            and not self.suspects[digest].quarantined_until
        ]
        for digest in cleared:
            del self.suspects[digest]
        return cleared

    def release(self, digest: str) -> bool:
        """Remove a suspect, quarantined or not; return whether it was one."""
        return self.suspects.pop(digest, None) is not None

    def is_quarantined(self, digest: str, at: float) -> bool:
        """Return whether a request is refused at this time."""
        suspect = self.suspects.get(digest)
        return suspect is not None and suspect.quarantined_until > at

    def expire(self, at: float) -> list[str]:
        """Remove expired suspects; return their digests."""
        expired = [
            suspect.digest
            for suspect in self.suspects.values()
            if max(
                suspect.last_at + SUSPECT_RETENTION_S,
                suspect.quarantined_until,
            )
            <= at
        ]
        for digest in expired:
            del self.suspects[digest]
        return expired
