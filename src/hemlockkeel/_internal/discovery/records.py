"""What a target announces about itself, and how announcements merge.

Announcements arrive late, out of order, twice, and from processes that are
gone. A record is ordered by its start (`started_at_ms`), then by its sequence
number, so every process that has seen the same announcements believes the
same, whatever their order. Where targets do not tell their start, the one
at an address that is still heard is taken for the newest.
"""

import enum
import math
import typing

import msgspec

InstanceId = typing.NewType("InstanceId", str)
ServiceName = typing.NewType("ServiceName", str)


class TargetState(enum.Enum):
    """What a target says of itself."""

    READY = "ready"
    LEAVING = "leaving"
    GONE = "gone"


class LoadedModel(msgspec.Struct, frozen=True, array_like=True):
    """A base model that a target holds, with its adapters' versions."""

    name: str
    version: int
    adapters: dict[str, int]


class TargetRecord(msgspec.Struct, frozen=True, array_like=True):
    """The latest announcement of one start of a target."""

    instance_id: InstanceId
    service: ServiceName
    address: str
    data_centre: str
    state: TargetState
    sequence: int
    # Start of the target's process, milliseconds since the epoch.
    started_at_ms: int
    slots: int = 0
    # Models of an engine, perhaps none; None for a plain service.
    models: list[LoadedModel] | None = None
    # How long the target still works slowly after its start, seconds.
    warmup_left_s: float = 0.0
    # Until a target that is taken away is gone, seconds; None if unknown.
    remaining_s: float | None = None

    @property
    def is_bare_tombstone(self) -> bool:
        """Tell whether this says no more than that a target has ended.

        A process that did not know the target passes its end on like this.
        """
        return self.state is TargetState.GONE and not self.address

    def is_newer_than(self, other: "TargetRecord") -> bool:
        """Tell whether this record replaces another of the same id."""
        if self.started_at_ms != other.started_at_ms:
            return self.started_at_ms > other.started_at_ms
        if (other.state is TargetState.GONE) != (
            self.state is TargetState.GONE
        ):
            # A start that has ended never returns.
            return self.state is TargetState.GONE
        return self.sequence > other.sequence


def make_bare_tombstone(instance_id: InstanceId) -> TargetRecord:
    """Return the end of a target of which nothing else is known."""
    return TargetRecord(
        instance_id,
        ServiceName(""),
        address="",
        data_centre="",
        state=TargetState.GONE,
        sequence=0,
        started_at_ms=0,
    )


def describe(record: TargetRecord) -> dict[str, object]:
    """Return the fields of a log line on a target's state."""
    return {
        "target": record.instance_id,
        "service": record.service,
        "address": record.address,
        "state": record.state.value,
        "sequence": record.sequence,
        "born_ms": record.started_at_ms,
    }


class TargetTable:
    """All targets that a process has heard of."""

    def __init__(
        self, expire_after_s: float, superseded_after_s: float = math.inf
    ) -> None:
        self.expire_after_s = expire_after_s
        # Silence of a start after which another one that is heard at its
        # address has taken over.
        self.superseded_after_s = superseded_after_s
        self.by_id: dict[InstanceId, TargetRecord] = {}
        self.last_heard_at: dict[InstanceId, float] = {}

    def merge(self, record: TargetRecord, heard_at: float) -> bool:
        """Take an announcement; tell whether it changed anything."""
        known = self.by_id.get(record.instance_id)
        if known is not None and record.is_bare_tombstone:
            # It ends the start that is known here.
            if known.state is TargetState.GONE:
                return False
            self.mark_gone(record.instance_id, heard_at)
            return True
        if known is not None and not record.is_newer_than(known):
            return False
        self.by_id[record.instance_id] = record
        self.last_heard_at[record.instance_id] = heard_at
        return True

    def get_ages(self, wanted: list[TargetRecord], now: float) -> list[float]:
        """Return how long ago each target was heard, seconds."""
        return [
            now - self.last_heard_at[record.instance_id] for record in wanted
        ]

    def mark_gone(self, instance_id: InstanceId, now: float) -> TargetRecord:
        """Mark a target as gone, known or not; return its record."""
        known = self.by_id.get(instance_id)
        if known is None:
            gone = make_bare_tombstone(instance_id)
        else:
            gone = msgspec.structs.replace(
                known, state=TargetState.GONE, sequence=known.sequence + 1
            )
        self.by_id[instance_id] = gone
        self.last_heard_at[instance_id] = now
        return gone

    def expire(self, now: float) -> list[InstanceId]:
        """Drop targets that have been silent for long; return their ids."""
        old = [
            instance_id
            for instance_id, at in self.last_heard_at.items()
            if now - at > self.expire_after_s
        ]
        for instance_id in old:
            del self.by_id[instance_id]
            del self.last_heard_at[instance_id]
        return old

    def find_usable(
        self, service: ServiceName, now: float, silent_after_s: float
    ) -> list[TargetRecord]:
        """Return the targets of a service that may get new work."""
        return [
            record
            for record in self.by_id.values()
            if record.service == service
            and record.state is TargetState.READY
            and now - self.last_heard_at[record.instance_id] <= silent_after_s
            and not self.is_superseded(record)
        ]

    def is_superseded(self, record: TargetRecord) -> bool:
        """Tell whether a later start has taken over the address."""
        return any(
            self.supersedes(other, record)
            for other in self.by_id.values()
            if other.address == record.address
            and other.instance_id != record.instance_id
        )

    def supersedes(self, other: TargetRecord, record: TargetRecord) -> bool:
        """Tell whether one start at an address came after another."""
        if other.started_at_ms != record.started_at_ms:
            return other.started_at_ms > record.started_at_ms
        if other.state is TargetState.GONE:
            return False
        apart_s = (
            self.last_heard_at[other.instance_id]
            - self.last_heard_at[record.instance_id]
        )
        return apart_s > self.superseded_after_s
