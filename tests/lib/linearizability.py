"""Checks histories of concurrent changes and reads of one item.

Every accepted change has a version and every read names the version it saw,
so versions order all operations; the history is linearizable if and only if
that order respects real time and each read returns the latest write.
"""

import dataclasses
import enum


class Kind(enum.Enum):
    """Kinds of operation."""

    READ = "read"
    WRITE = "write"


class Outcome(enum.Enum):
    """How a client saw an operation end."""

    OK = "ok"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Operation:
    """One operation as its client saw it."""

    kind: Kind
    begun_at: float
    ended_at: float
    outcome: Outcome
    version: int = 0
    value: str = ""
    read_version: int = 0
    change_id: str = ""


def find_violations(
    operations: list[Operation], first_version: int, first_value: str
) -> list[str]:
    """Return what makes a history impossible; empty if it is fine."""
    known = [o for o in operations if o.outcome is Outcome.OK]
    writes = [o for o in known if o.kind is Kind.WRITE]
    violations = find_inconsistent_outcomes(writes)
    values = {first_version: first_value}
    for write in writes:
        values.setdefault(write.version, write.value)
    # A change whose answer was lost may have been accepted: reads tell.
    unknown = [o for o in operations if o.outcome is Outcome.UNKNOWN]
    violations += find_wrong_reads(known, values, unknown)
    violations += find_lost_updates(writes, values)
    violations += find_real_time_violations(known)
    return violations


def find_inconsistent_outcomes(writes: list[Operation]) -> list[str]:
    """Return change ids with two versions, and versions with two changes."""
    violations = []
    by_change: dict[str, int] = {}
    by_version: dict[int, str] = {}
    for write in writes:
        first = by_change.setdefault(write.change_id, write.version)
        if first != write.version:
            violations.append(f"change {write.change_id} has two outcomes")
        change = by_version.setdefault(write.version, write.change_id)
        if change != write.change_id:
            violations.append(f"version {write.version} has two changes")
    return violations


def find_wrong_reads(
    known: list[Operation],
    values: dict[int, str],
    unknown: list[Operation],
) -> list[str]:
    """Return reads of values that were not written at their version."""
    violations = []
    possible = {operation.value for operation in unknown}
    for read in known:
        if read.kind is not Kind.READ:
            continue
        if read.version not in values and read.value in possible:
            values[read.version] = read.value
        if values.get(read.version) != read.value:
            violations.append(
                f"read {read.value} at version {read.version}, where "
                f"{values.get(read.version)} was written"
            )
    return violations


def find_lost_updates(
    writes: list[Operation], values: dict[int, str]
) -> list[str]:
    """Return writes over a version that their client had not seen."""
    return [
        f"change {write.change_id} at {write.version} from "
        f"{write.read_version} overwrote version {version}"
        for write in writes
        for version in values
        if write.read_version < version < write.version
    ]


def find_real_time_violations(known: list[Operation]) -> list[str]:
    """Return operations that saw less than ended before they began."""
    violations = []
    ordered = sorted(known, key=lambda operation: operation.ended_at)
    for operation in known:
        before = [o for o in ordered if o.ended_at < operation.begun_at]
        newest = max((o.version for o in before), default=0)
        # A resent change keeps the version of its first acceptance.
        resent = operation.kind is Kind.WRITE and any(
            o.change_id == operation.change_id for o in before
        )
        if operation.version < newest and not resent:
            violations.append(
                f"{operation.kind.value} at version {operation.version} "
                f"began after version {newest} was seen"
            )
    return violations
