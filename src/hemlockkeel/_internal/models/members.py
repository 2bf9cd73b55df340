"""Registered processes (members) and what they register."""

import enum

import msgspec


class Role(enum.Enum):
    """Role of a process."""

    ENTRY = "entry"
    AGENT = "agent"
    CONTROL = "control"


class MemberState(enum.Enum):
    """State of a member; targets get new requests only while ACTIVE."""

    ACTIVE = "active"
    # Heartbeats are missing; the member is active again with the next one.
    SUSPECTED = "suspected"
    # Shutting down.
    LEAVING = "leaving"


class TargetKind(enum.Enum):
    """Kind of an agent's target."""

    ENGINE = "engine"
    PLAIN = "plain"


class TargetInfo(msgspec.Struct, frozen=True):
    """Properties of a target, as its agent registers them."""

    target_id: str
    kind: TargetKind
    service: str
    base_model: str = ""
    batch_slots: int = 1
    adapter_slots: int = 0


class Description(msgspec.Struct, frozen=True):
    """Properties of a process, as it registers them."""

    member_id: str
    role: Role
    address: str
    data_centre: str
    site: str
    target: TargetInfo | None = None
    # Random for each start of the process. A second registration with the
    # same nonce is a retry, with another nonce a restart.
    start_nonce: str = ""


class Member(msgspec.Struct, frozen=True):
    """A registered process."""

    description: Description
    incarnation: int
    state: MemberState = MemberState.ACTIVE
    # Whether an operator has drained its target.
    drained: bool = False
