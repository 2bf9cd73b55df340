"""Checks that concurrent changes and reads of one item are linearizable.

Every accepted change gets a version and every read returns the version of the
state it read, so versions order all operations. The history is linearizable
if and only if this order agrees with real time and each read returns the
latest write.
"""

import dataclasses
import enum


class Kind(enum.Enum):
    """Kinds of operation."""

    READ = "read"
    WRITE = "write"


class Outcome(enum.Enum):
    """Outcome of an operation as its client saw it."""

    OK = "ok"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Operation:
    """An operation as its client saw it; times in seconds."""

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
    """Return what makes a history not linearizable; empty if it is."""
    known = [o for o in operations if o.outcome is Outcome.OK]
    writes = [o for o in known if o.kind is Kind.WRITE]
    violations = find_inconsistent_outcomes(writes)
    values = {first_version: first_value}
    for write in writes:
        values.setdefault(write.version, write.value)
    # A change whose response was lost may have been accepted, which a read
    # of its value shows.
    unknown = [o for o in operations if o.outcome is Outcome.UNKNOWN]
    violations += find_wrong_reads(known, values, unknown)
    violations += find_lost_updates(writes, values)
    violations += find_real_time_violations(known)
    return violations


def find_inconsistent_outcomes(writes: list[Operation]) -> list[str]:
    """Find changes with two versions, and versions with two changes."""
    violations = []
    by_change: dict[str, int] = {}
    by_version: dict[int, str] = {}
    for write in writes:
        first = by_change.setdefault(write.change_id, write.version)
        if first != write.version:
            violations.append(f"change {write.change_id} has two versions")
        change = by_version.setdefault(write.version, write.change_id)
        if change != write.change_id:
            violations.append(f"version {write.version} has two changes")
    return violations


def find_wrong_reads(
    known: list[Operation],
    values: dict[int, str],
    unknown: list[Operation],
) -> list[str]:
    """Find reads of a value that was not written at their version."""
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
    """Find writes that overwrote a version that their client had not read."""
    return [
        f"change {write.change_id} at {write.version} from "
        f"{write.read_version} overwrote version {version}"
        for write in writes
        for version in values
        if write.read_version < version < write.version
    ]


def find_real_time_violations(known: list[Operation]) -> list[str]:
    """Find operations on a version older than one that had ended before."""
    violations = []
    ordered = sorted(known, key=lambda operation: operation.ended_at)
    for operation in known:
        before = [o for o in ordered if o.ended_at < operation.begun_at]
        newest = max((o.version for o in before), default=0)
        # A change that is sent again keeps the version it first got.
        resent = operation.kind is Kind.WRITE and any(
            o.change_id == operation.change_id for o in before
        )
        if operation.version < newest and not resent:
            violations.append(
                f"{operation.kind.value} at version {operation.version} "
                f"began after an operation at version {newest} had ended"
            )
    return violations
