"""Messages between the entries, agents and control members."""

import msgspec

from hemlockkeel._internal.discovery import records


class Message(
    msgspec.Struct, frozen=True, tag=True, kw_only=True, array_like=True
):
    """Base of all messages; a reply repeats the number of its call.

    Fields go without their names, as most bytes between data centres would
    be names; a new field goes to the end and has a default.
    """

    call_id: int = 0


class Ping(Message, frozen=True, tag=True, kw_only=True):
    """Keeps a connection alive and shows that it is."""


class Pong(Message, frozen=True, tag=True, kw_only=True):
    """Answer to a ping."""


class Hello(Message, frozen=True, tag=True, kw_only=True):
    """First message of whoever dials; updates follow from then on."""

    role: str
    name: str
    data_centre: str = ""
    # Only announcements of this address are wanted; empty for all.
    target_address: str = ""


class RaftBatch(Message, frozen=True, tag=True, kw_only=True):
    """Consensus messages, each encoded by the consensus package."""

    sender_address: str
    cluster_id: str
    data: list[bytes]


class Propose(Message, frozen=True, tag=True, kw_only=True):
    """A command for the replicated catalogue; only a leader takes it."""

    command: bytes


class Read(Message, frozen=True, tag=True, kw_only=True):
    """Asks a leader for the newest configuration."""


class Join(Message, frozen=True, tag=True, kw_only=True):
    """Asks a leader to make the sender a control member."""

    member_id: str
    address: str


class Outcome(Message, frozen=True, tag=True, kw_only=True):
    """Reply to a call."""

    done: bool
    data: bytes = b""
    index: int = 0
    # Where the leader is, when the callee does not lead.
    leader: str = ""
    cluster_id: str = ""


class ShareRecord(Message, frozen=True, tag=True, kw_only=True):
    """An announcement, passed on among control members."""

    record: records.TargetRecord


class RecordsUpdate(Message, frozen=True, tag=True, kw_only=True):
    """Announcements that a control member has taken."""

    records: list[records.TargetRecord]
    # How long ago it took each, seconds.
    ages_s: list[float]


class ConfigurationNotice(Message, frozen=True, tag=True, kw_only=True):
    """A version is in force; who lacks it asks for it."""

    version: int


class FetchConfiguration(Message, frozen=True, tag=True, kw_only=True):
    """Asks for the configuration in force."""


class ConfigurationUpdate(Message, frozen=True, tag=True, kw_only=True):
    """The configuration in force, compressed by zlib."""

    version: int
    compressed_body: bytes


class VersionsUpdate(Message, frozen=True, tag=True, kw_only=True):
    """Newest versions of adapters, by model and adapter."""

    versions: list[tuple[str, str, int]]


class MembersUpdate(Message, frozen=True, tag=True, kw_only=True):
    """Addresses of the control members, and how many entries serve."""

    addresses: list[str]
    entries: int


class EnsureAdapter(Message, frozen=True, tag=True, kw_only=True):
    """Asks an agent to hold an adapter until it is released."""

    model: str
    adapter: str
    priority: int
    # Time that the request can wait at most, and time left in which a grant
    # leads to an answer within the objective.
    wait_s: float
    slo_budget_s: float
    # Prompt tokens that the engine has to read for the request.
    prompt_tokens: int = 0
    # The request's id, for logs.
    request_id: str = ""


class AdapterGrant(Message, frozen=True, tag=True, kw_only=True):
    """Reply to `EnsureAdapter`."""

    granted: bool
    version: int = 0
    reason: str = ""
    # Expected wait that was too long; 0 if that is not why.
    expected_wait_s: float = 0.0


class ReleaseAdapter(Message, frozen=True, tag=True, kw_only=True):
    """The grant with this call number is not needed any more."""

    grant_call_id: int


class CrashReport(Message, frozen=True, tag=True, kw_only=True):
    """A target ended while it ran these requests; passed to all entries."""

    target: str
    started_at_ms: int
    digests: list[str]


class CrashCleared(Message, frozen=True, tag=True, kw_only=True):
    """A suspected request ran well; passed to all entries."""

    digest: str


class LoadUpdate(Message, frozen=True, tag=True, kw_only=True):
    """What an agent knows of its target."""

    running: int
    queued: int
    kv_used: int
    kv_total: int
    adapter_slots: int
    # Names of the adapters that are held and on their way, by model.
    loaded: dict[str, list[str]]
    loading: dict[str, list[str]]
    # Expected wait for an adapter slot by priority, the most urgent first,
    # seconds; 0 with a free one.
    slot_waits_s: list[float]
    # Whether the agent may give orders now.
    can_load: bool
    # Prompt tokens that the engine has probably not read yet.
    pending_prefill_tokens: int = 0


AnyMessage = (
    Ping
    | Pong
    | Hello
    | RaftBatch
    | Propose
    | Read
    | Join
    | Outcome
    | ShareRecord
    | RecordsUpdate
    | ConfigurationNotice
    | FetchConfiguration
    | ConfigurationUpdate
    | VersionsUpdate
    | MembersUpdate
    | EnsureAdapter
    | AdapterGrant
    | ReleaseAdapter
    | CrashReport
    | CrashCleared
    | LoadUpdate
)

DECODER: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(
    AnyMessage
)
ENCODER = msgspec.msgpack.Encoder()
