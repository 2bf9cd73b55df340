"""Announcements of targets, and a table that merges them.

Announcements may arrive late, out of order, repeatedly, and from processes
that have ended. Records of an instance are ordered by the start of its
process (`started_at_ms`), then by sequence number, so tables that have
received the same announcements are equal, whatever the order of arrival.
Where targets do not report their start, the instance at an address that
still sends heartbeats replaces the others there.
"""

import enum
import math
import typing

import msgspec

InstanceId = typing.NewType("InstanceId", str)
ServiceName = typing.NewType("ServiceName", str)


class TargetState(enum.Enum):
    """State that a target announces."""

    READY = "ready"
    LEAVING = "leaving"
    GONE = "gone"


class IncarnationKey(typing.NamedTuple):
    """Identifies one run of a target's process."""

    target: InstanceId
    # Start of the process, milliseconds since the epoch; 0 if not reported.
    started_at_ms: int


class LoadedModel(msgspec.Struct, frozen=True, array_like=True):
    """A base model loaded at a target, with its adapters' versions."""

    name: str
    version: int
    adapters: dict[str, int]


class TargetRecord(msgspec.Struct, frozen=True, array_like=True):
    """The latest announcement of one instance of a target."""

    instance_id: InstanceId
    service: ServiceName
    address: str
    data_centre: str
    state: TargetState
    # Increases with each announcement of a process.
    sequence: int
    # Start of the target's process, milliseconds since the epoch; 0 if the
    # target does not report it.
    started_at_ms: int
    # Requests that the target can run at a time; 0 if not announced.
    slots: int = 0
    # Loaded models of an engine, possibly empty; None for a plain service.
    models: list[LoadedModel] | None = None
    # Remaining time of reduced speed after the start, seconds.
    warmup_left_s: float = 0.0
    # Time until a target that is being removed ends, seconds; None if
    # unknown.
    remaining_s: float | None = None
    # Version of the target's software; empty if unknown. Only equal values
    # are the same version.
    software_version: str = ""

    @property
    def incarnation_key(self) -> IncarnationKey:
        """Return the key of the process that announced itself."""
        return IncarnationKey(self.instance_id, self.started_at_ms)

    @property
    def is_bare_tombstone(self) -> bool:
        """Return whether this is a tombstone without an address.

        A process that is notified of the end of an unknown target
        forwards the notice in this form.
        """
        return self.state is TargetState.GONE and not self.address

    def is_newer_than(self, other: "TargetRecord") -> bool:
        """Return whether this record supersedes another of the same id."""
        if self.started_at_ms != other.started_at_ms:
            return self.started_at_ms > other.started_at_ms
        if (other.state is TargetState.GONE) != (
            self.state is TargetState.GONE
        ):
            # A process that has ended never becomes ready again.
            return self.state is TargetState.GONE
        return self.sequence > other.sequence


def make_bare_tombstone(instance_id: InstanceId) -> TargetRecord:
    """Return a tombstone for a target of which only the id is known."""
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
    """Return the log fields that describe a target's state."""
    return {
        "target": record.instance_id,
        "service": record.service,
        "address": record.address,
        "state": record.state.value,
        "sequence": record.sequence,
        "born_ms": record.started_at_ms,
        "software": record.software_version,
    }


class TargetTable:
    """Merges announcements and keeps the latest of each instance."""

    def __init__(
        self, expire_after_s: float, superseded_after_s: float = math.inf
    ) -> None:
        self.expire_after_s = expire_after_s
        # An instance supersedes another one at its address once its last
        # announcement is this much later, seconds.
        self.superseded_after_s = superseded_after_s
        self.by_id: dict[InstanceId, TargetRecord] = {}
        self.last_heard_at: dict[InstanceId, float] = {}
        # Instances that were ever announced at an address. It may have ids
        # that are dropped or have moved.
        self.ids_by_address: dict[str, set[InstanceId]] = {}

    def find_by_address(self, address: str) -> list[TargetRecord]:
        """Return the records of an address."""
        found = [
            self.by_id.get(instance_id)
            for instance_id in self.ids_by_address.get(address, ())
        ]
        return [r for r in found if r is not None and r.address == address]

    def merge(self, record: TargetRecord, heard_at: float) -> bool:
        """Store an announcement; return whether it changed the table."""
        known = self.by_id.get(record.instance_id)
        if known is not None and record.is_bare_tombstone:
            # It carries no start, so it ends whichever process is known.
            if known.state is TargetState.GONE:
                return False
            self.mark_gone(record.instance_id, heard_at)
            return True
        if known is not None and not record.is_newer_than(known):
            return False
        self.by_id[record.instance_id] = record
        self.ids_by_address.setdefault(record.address, set()).add(
            record.instance_id
        )
        self.last_heard_at[record.instance_id] = heard_at
        return True

    def get_ages(
        self, selected: list[TargetRecord], now: float
    ) -> list[float]:
        """Return the age of each target's last announcement, seconds."""
        return [
            now - self.last_heard_at[record.instance_id] for record in selected
        ]

    def mark_gone(self, instance_id: InstanceId, now: float) -> TargetRecord:
        """Mark a target as gone, known or not; return its tombstone."""
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
        """Drop targets silent for `expire_after_s`; return their ids."""
        expired = [
            instance_id
            for instance_id, at in self.last_heard_at.items()
            if now - at > self.expire_after_s
        ]
        for instance_id in expired:
            address = self.by_id.pop(instance_id).address
            del self.last_heard_at[instance_id]
            same_address = self.ids_by_address.get(address, set())
            same_address.discard(instance_id)
            if not same_address:
                self.ids_by_address.pop(address, None)
        return expired

    def find_usable(
        self, service: ServiceName, now: float, silent_after_s: float
    ) -> list[TargetRecord]:
        """Return the targets of a service that may receive requests.

        These are ready, have announced themselves within ``silent_after_s``
        seconds, and have not been superseded at their address.
        """
        return [
            record
            for record in self.by_id.values()
            if record.service == service
            and record.state is TargetState.READY
            and now - self.last_heard_at[record.instance_id] <= silent_after_s
            and not self.is_superseded(record)
        ]

    def is_superseded(self, record: TargetRecord) -> bool:
        """Return whether a newer instance uses the record's address."""
        if len(self.ids_by_address.get(record.address, ())) < 2:
            return False
        return any(
            self.supersedes(other, record)
            for other in self.find_by_address(record.address)
            if other.instance_id != record.instance_id
        )

    def supersedes(self, other: TargetRecord, record: TargetRecord) -> bool:
        """Return whether ``other`` is the newer of two at one address.

        The later start decides. Where the starts are equal or not
        reported, it is the one whose last announcement is more than
        `superseded_after_s` seconds later, unless that one is gone.
        """
        if other.started_at_ms != record.started_at_ms:
            return other.started_at_ms > record.started_at_ms
        if other.state is TargetState.GONE:
            return False
        lead_s = (
            self.last_heard_at[other.instance_id]
            - self.last_heard_at[record.instance_id]
        )
        return lead_s > self.superseded_after_s
