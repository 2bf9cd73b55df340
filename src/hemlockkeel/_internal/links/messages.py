"""Messages between entries, agents and control members."""

import msgspec

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.discovery import stream_origins
from hemlockkeel._internal.models import ids

# Processes without a message close a link on which it arrives. Versions from
# which on they understand rate limits and permits; the origins of streams; and
# proofs of the newest configuration, credit of organisations and the speed of
# targets. 0 is that of older ones.
PERMIT_PROTOCOL = 1
ORIGIN_PROTOCOL = 2
PROOF_PROTOCOL = 3
CREDIT_PROTOCOL = 3
SPEED_PROTOCOL = 3
PROTOCOL = SPEED_PROTOCOL


class Message(
    msgspec.Struct, frozen=True, tag=True, kw_only=True, array_like=True
):
    """Base of all messages.

    Messages are encoded as arrays without field names, which would otherwise
    be most of the bytes sent between data centres. To stay compatible, add
    new fields at the end and give them a default.
    """

    # Identifies a call on its link; a reply repeats it. 0 if the sender
    # expects no reply.
    call_id: int = 0


class Ping(Message, frozen=True, tag=True, kw_only=True):
    """Sent periodically to detect dead connections."""


class Pong(Message, frozen=True, tag=True, kw_only=True):
    """Reply to `Ping`."""


class Hello(Message, frozen=True, tag=True, kw_only=True):
    """First message on a link, sent by the side that opened it.

    An entry or agent that sends it to a control member subscribes to updates.
    """

    role: str
    name: str
    data_centre: str = ""
    # Subscribe only to announcements of the target at this address; empty
    # for all targets.
    target_address: str = ""
    # Interval of the sender's pings, seconds.
    ping_interval_s: float = 0.5
    # Newest messages that the sender understands.
    protocol: int = 0


class RaftBatch(Message, frozen=True, tag=True, kw_only=True):
    """Consensus messages, encoded with `consensus.node.encode_message`."""

    sender_address: str
    cluster_id: str
    data: list[bytes]


class Propose(Message, frozen=True, tag=True, kw_only=True):
    """Asks the leader to commit an encoded `routes.catalogue.Command`."""

    command: bytes


class Read(Message, frozen=True, tag=True, kw_only=True):
    """Asks the leader for the newest committed configuration."""

    # Whether the reply needs only its version. Older leaders send it all.
    version_only: bool = False


class Join(Message, frozen=True, tag=True, kw_only=True):
    """Asks the receiver to add the sender to the control members.

    With ``leaving``, it asks the leader to remove the sender, which is about
    to end, unless it should stay a member for its next start.
    """

    member_id: str
    address: str
    leaving: bool = False


class Outcome(Message, frozen=True, tag=True, kw_only=True):
    """Reply to `Propose`, `Read`, `Join` and `ShareRecord`."""

    # Whether the call succeeded.
    done: bool
    # Configuration that was read.
    data: bytes = b""
    # Log index of a committed command, or version of a configuration.
    index: int = 0
    # Address of the leader when the callee is not the leader.
    leader: str = ""
    cluster_id: str = ""


class ShareRecord(Message, frozen=True, tag=True, kw_only=True):
    """Passes a target's announcement on to another control member."""

    record: records.TargetRecord
    # Whether the target has withdrawn. Its call does not name the process, so
    # that ends whichever start of it the receiver knows.
    withdrawn: bool = False


class RecordsUpdate(Message, frozen=True, tag=True, kw_only=True):
    """Announcements of targets that a control member has received."""

    records: list[records.TargetRecord]
    # Time since each announcement was received, in seconds.
    ages_s: list[float]


class ConfigurationNotice(Message, frozen=True, tag=True, kw_only=True):
    """Announces a configuration; send `FetchConfiguration` to receive it."""

    version: int


class FetchConfiguration(Message, frozen=True, tag=True, kw_only=True):
    """Asks a control member for its newest configuration."""


class ConfigurationUpdate(Message, frozen=True, tag=True, kw_only=True):
    """The newest configuration, compressed with zlib."""

    version: int
    compressed_body: bytes


class VersionsUpdate(Message, frozen=True, tag=True, kw_only=True):
    """Newest versions of adapters."""

    # Model, adapter and version.
    versions: list[tuple[str, str, int]]


class MembersUpdate(Message, frozen=True, tag=True, kw_only=True):
    """Addresses of the control members and the number of connected entries.

    There are no addresses while the sender, after its start, does not know
    the members yet.
    """

    addresses: list[str]
    entries: int
    # Newest messages that the sender understands.
    protocol: int = 0


class EnsureAdapter(Message, frozen=True, tag=True, kw_only=True):
    """Asks an agent to keep an adapter loaded until it is released.

    The agent replies with `AdapterGrant` once the adapter is loaded or when
    it rejects the request.
    """

    model: str
    adapter: str
    priority: int
    # Time in seconds that the request can wait at most.
    wait_s: float
    # Time in seconds within which a grant still allows a response within the
    # latency objective; negative when it is too late for that.
    slo_budget_s: float
    # Prompt tokens that the engine has to prefill for the request.
    prompt_tokens: int = 0
    # Id of the request for logs.
    request_id: str = ""
    # Newest version of the adapter that the entry knows; 0 if none is named.
    newest_version: int = 0
    # Name of the caller's organisation; empty if it has none.
    organisation: str = ""


class AdapterGrant(Message, frozen=True, tag=True, kw_only=True):
    """Reply to `EnsureAdapter`."""

    granted: bool
    version: int = 0
    reason: str = ""
    # Expected wait in seconds if the request was rejected because the wait
    # would have been too long, otherwise 0.
    expected_wait_s: float = 0.0
    # Start of the engine's process that has the adapter, milliseconds since
    # the epoch; 0 if the engine does not report it.
    started_at_ms: int = 0
    # Whether the wait ended while the engine was loading the adapter.
    loading: bool = False


class ReleaseAdapter(Message, frozen=True, tag=True, kw_only=True):
    """Tells an agent that a grant is no longer needed.

    ``grant_call_id`` is the ``call_id`` of the `EnsureAdapter` call.
    """

    grant_call_id: int


class CrashReport(Message, frozen=True, tag=True, kw_only=True):
    """Reports a target that crashed while running requests.

    Control members keep it, send it to entries that connect later, and
    forward what is new to all entries and members. ``digests`` are the traits
    of the requests (see `discovery.traits`), ``started_at_ms`` the start of
    the target that crashed.
    """

    target: str
    started_at_ms: int
    digests: list[str]
    # Time since the crash was noticed, seconds.
    age_s: float = 0.0
    # Traits of requests that have completed since.
    cleared: list[str] = []
    # Shared traits that are probably harmless.
    established: list[str] = []


class CrashCleared(Message, frozen=True, tag=True, kw_only=True):
    """Reports that a request with a suspected trait has completed.

    Control members forward it to all entries and members.
    """

    # The trait.
    digest: str


class LoadUpdate(Message, frozen=True, tag=True, kw_only=True):
    """Load of a target, sent by its agent to entries."""

    running: int
    queued: int
    kv_used: int
    kv_total: int
    adapter_slots: int
    # Adapters by model.
    loaded: dict[str, list[str]]
    loading: dict[str, list[str]]
    # Expected wait in seconds for an adapter slot, by priority starting with
    # the most urgent; 0 if a slot is free.
    slot_waits_s: list[float]
    # Whether the agent can make the engine load and unload adapters now.
    can_load: bool
    # Prompt tokens that the engine has probably not prefilled yet.
    pending_prefill_tokens: int = 0
    # Start of the target's process, milliseconds since the epoch, if the
    # target has said in a response that it is leaving; otherwise 0.
    leaving_started_at_ms: int = 0
    # The same, leaving or not; 0 if the target does not report it.
    started_at_ms: int = 0


class RateLimitNotice(Message, frozen=True, tag=True, kw_only=True):
    """Tells how many requests a second a target takes from all entries.

    Entries send it to control members, which tell the other entries when a
    target begins or ends to limit its requests.
    """

    target: str
    # Start of the target's process, milliseconds since the epoch.
    started_at_ms: int
    # None once the target takes any number again.
    limit: float | None


class AcquirePermit(Message, frozen=True, tag=True, kw_only=True):
    """Asks a control member whether a request may be sent to a target."""

    target: str
    started_at_ms: int
    # The limit that the sender knows.
    limit: float


class SendPermit(Message, frozen=True, tag=True, kw_only=True):
    """Reply to `AcquirePermit`."""

    granted: bool
    # Time in seconds after which to ask again if it was not granted.
    wait_s: float = 0.0
    # The limit in force; None if there is none.
    limit: float | None = None


class BegunStream(msgspec.Struct, frozen=True, array_like=True):
    """A stream of which an entry has forwarded events."""

    # Id of the request that brought its first event.
    request_id: ids.RequestId
    origin: stream_origins.StreamOrigin
    # Time for which its caller may resume it, seconds.
    lifetime_s: float


class StreamsBegun(Message, frozen=True, tag=True, kw_only=True):
    """Tells a control member where streams began."""

    streams: list[BegunStream]
    # Streams whose origin will be told once their target is identified.
    pending: list[ids.RequestId] = msgspec.field(default_factory=list)


class FindOrigin(Message, frozen=True, tag=True, kw_only=True):
    """Asks a control member where a stream began."""

    request_id: ids.RequestId


class OriginReply(Message, frozen=True, tag=True, kw_only=True):
    """Reply to `FindOrigin`."""

    # None if the member does not know the stream.
    origin: stream_origins.StreamOrigin | None = None
    # Whether an entry has announced that the origin will be known soon.
    pending: bool = False


class ConfirmVersion(Message, frozen=True, tag=True, kw_only=True):
    """Asks a control member for the newest configuration's version."""


class VersionProof(Message, frozen=True, tag=True, kw_only=True):
    """Reply to `ConfirmVersion`.

    With ``done``, no configuration that was acknowledged before the call was
    sent has a higher version.
    """

    done: bool
    version: int = 0


class AcquireCredit(Message, frozen=True, tag=True, kw_only=True):
    """Asks the leader for credit from the quota of an organisation.

    A call for 0 units only asks whether the receiver issues credit.
    """

    organisation: str
    # Units of one request, all of which are granted or none.
    units: float
    # Further units that the sender can use if there are plenty.
    prefetch: float = 0.0


class CreditGrant(Message, frozen=True, tag=True, kw_only=True):
    """Reply to `AcquireCredit`."""

    # Whether the sender is the leader, which issues credit.
    decided: bool
    # Units that may be used; 0 if refused.
    units: float = 0.0
    # Time in seconds after which to ask again if refused.
    wait_s: float = 0.0
    # Time in seconds from the call within which to use the units.
    lifetime_s: float = 0.0
    # Address of the leader, if the sender is another member that knows it.
    leader: str = ""
    # Units that are left in the organisation's bucket.
    level: float = 0.0


class SpeedNotice(Message, frozen=True, tag=True, kw_only=True):
    """Tells that a plain target became slow or recovered.

    An entry sends it to one control member, which tells the other entries.
    """

    target: str
    # Start of the target's process, milliseconds since the epoch.
    started_at_ms: int
    # Its service time, relative to the median of the service's targets.
    ratio: float


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
    | RateLimitNotice
    | AcquirePermit
    | SendPermit
    | StreamsBegun
    | FindOrigin
    | OriginReply
    | ConfirmVersion
    | VersionProof
    | AcquireCredit
    | CreditGrant
    | SpeedNotice
)

DECODER: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(
    AnyMessage
)
ENCODER = msgspec.msgpack.Encoder()
