"""Exchanges the crashes in a ledger as messages."""

import collections.abc

from hemlockkeel._internal.discovery import crash_ledger
from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.models import ids


def make_report(
    crash: crash_ledger.Crash,
    established: collections.abc.Set[ids.Trait],
    now: float,
) -> messages.CrashReport:
    """Return the message that reports a crash."""
    return messages.CrashReport(
        target=crash.key.target,
        started_at_ms=crash.key.started_at_ms,
        digests=sorted(crash.traits),
        age_s=round(now - crash.at, 3),
        cleared=sorted(crash.cleared),
        established=sorted(established & crash.traits),
    )


def list_reports(
    ledger: crash_ledger.CrashLedger, now: float
) -> collections.abc.Iterator[messages.CrashReport]:
    """Yield the report of each crash that counts."""
    for crash in ledger.crashes.values():
        if crash.withdrawn_at is None:
            yield make_report(crash, ledger.established, now)


def merge_report(
    ledger: crash_ledger.CrashLedger,
    report: messages.CrashReport,
    now: float,
) -> set[ids.Trait]:
    """Add a reported crash; return the traits for which it is new."""
    key = records.IncarnationKey(
        records.InstanceId(report.target), report.started_at_ms
    )
    return ledger.merge(
        key,
        [ids.Trait(digest) for digest in report.digests],
        now - report.age_s,
        [ids.Trait(digest) for digest in report.cleared],
        [ids.Trait(trait) for trait in report.established],
    )
