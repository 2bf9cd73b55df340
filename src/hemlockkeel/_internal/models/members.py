"""Members of the system as others see them."""

import enum

import msgspec


class Role(enum.Enum):
    """What a process does."""

    ENTRY = "entry"
    AGENT = "agent"
    CONTROL = "control"


class MemberState(enum.Enum):
    """Whether a member takes new work."""

    ACTIVE = "active"
    SUSPECTED = "suspected"
    LEAVING = "leaving"


class TargetKind(enum.Enum):
    """What stands behind an agent."""

    ENGINE = "engine"
    PLAIN = "plain"


class TargetInfo(msgspec.Struct, frozen=True):
    """What a target announced about itself."""

    target_id: str
    kind: TargetKind
    service: str
    base_model: str = ""
    batch_slots: int = 1
    adapter_slots: int = 0


class Description(msgspec.Struct, frozen=True):
    """What a process says about itself when it registers."""

    member_id: str
    role: Role
    address: str
    data_centre: str
    site: str
    target: TargetInfo | None = None
    # Random per process start; tells a retry from a restart.
    start_nonce: str = ""


class Member(msgspec.Struct, frozen=True):
    """A registered member."""

    description: Description
    incarnation: int
    state: MemberState = MemberState.ACTIVE
    drained: bool = False
