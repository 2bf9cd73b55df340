"""Connections to agents, with one polling thread per target.

A single long poll returns the answers of all requests that this entry has
sent to the agent, so tokens of many streams share a message.
"""

import collections.abc
import dataclasses
import queue
import threading
import time

from hemlockkeel._internal.agent import answers
from hemlockkeel._internal.models import members
from hemlockkeel._internal.rpc import client
from hemlockkeel._internal.rpc.gen.hk import ttypes
from hemlockkeel._internal.utils import metrics
from hemlockkeel._internal.utils import supervision

POLL_WAIT_S = 0.5
POLL_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.05
# Streams of an agent that has refused connections for this long are lost.
UNREACHABLE_TIMEOUT_S = 3.0
# The same for one that does not answer. Its machine may be frozen for some
# seconds, after which its runs go on.
SILENT_TIMEOUT_S = 10.0
SUBMIT_TIMEOUT_S = 2.0
UNKNOWN_EPOCH = -1


@dataclasses.dataclass(frozen=True)
class StreamLost:
    """End of a stream whose answer can no longer be read.

    Either the agent is unreachable, or it restarted and lost the answer.
    """

    agent_unavailable: bool


class Stream:
    """Queue of one attempt's frames, in order.

    ``received`` and ``consumed`` are token offsets: the end of the frames
    accepted so far, and of those that the request has taken. The second one
    is acknowledged to the agent, which bounds the tokens in transit.
    """

    def __init__(
        self, name: str, request_id: str, attempt: int, offset: int
    ) -> None:
        self.name = name
        self.request_id = request_id
        self.attempt = attempt
        self.start_offset = offset
        self.received = offset
        self.consumed = offset
        self.items: queue.SimpleQueue[ttypes.AnswerFrame | StreamLost] = (
            queue.SimpleQueue()
        )
        self.ended = False

    def accept(self, frame: ttypes.AnswerFrame) -> bool:
        """Queue a frame; return False if it is not this stream's next one."""
        if frame.attempt != self.attempt or self.ended:
            return False
        if frame.kind == ttypes.FrameKind.TOKENS:
            if frame.offset != self.received:
                return False
            self.received += len(frame.tokens)
        else:
            self.ended = True
        self.items.put(frame)
        return True

    def fail(self, lost: StreamLost) -> None:
        """End the stream, whose answer is lost."""
        if not self.ended:
            self.ended = True
            self.items.put(lost)

    def get(self, timeout_s: float) -> ttypes.AnswerFrame | StreamLost | None:
        """Return the next item; None after the timeout."""
        try:
            item = self.items.get(timeout=max(0.0, timeout_s))
        except queue.Empty:
            return None
        if isinstance(item, ttypes.AnswerFrame):
            self.consumed += len(item.tokens)
        return item


class AgentLink:
    """Polls one agent and delivers its frames to the streams.

    ``unreported`` counts the orders sent since the last load report, which
    does not include them yet.
    """

    def __init__(
        self,
        member: members.Member,
        rpc: client.RpcClient,
        owner: str,
        get_owner_incarnation: collections.abc.Callable[[], int],
        report_adapters: collections.abc.Callable[[frozenset[str]], None],
        counters: metrics.Metrics,
    ) -> None:
        self.member = member
        self.rpc = rpc
        self.owner = owner
        self.get_owner_incarnation = get_owner_incarnation
        self.report_adapters = report_adapters
        self.counters = counters
        self.lock = threading.Lock()
        self.streams: dict[str, Stream] = {}
        self.streams_opened = 0
        self.load: ttypes.LoadReport | None = None
        self.adapter_set: frozenset[str] = frozenset()
        self.loading_set: frozenset[str] = frozenset()
        self.prefix_set: frozenset[str] = frozenset()
        self.adapters_epoch = UNKNOWN_EPOCH
        self.unreported = 0
        # When calls began to fail, and to be refused; None while they do not.
        self.failing_since: float | None = None
        self.refused_since: float | None = None
        self.reachable = False
        self.must_reattach = False
        self.incarnation = 0
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=supervision.keep_thread_running,
            args=(self.run, self.stopping),
            name=f"link-{member.description.member_id}",
            daemon=True,
        )

    @property
    def engine_version(self) -> str:
        """Return the engine's software version; empty if unknown."""
        load = self.load
        # Older agents do not send it.
        return (load.engine_version or "") if load is not None else ""

    def start(self) -> None:
        """Start polling."""
        self.thread.start()

    def stop(self) -> None:
        """Stop polling; open streams are lost."""
        self.stopping.set()
        self.fail_all(StreamLost(agent_unavailable=True))
        self.rpc.close()

    def run(self) -> None:
        """Poll until stopped."""
        while not self.stopping.is_set():
            try:
                if self.must_reattach:
                    self.reattach_all()
                self.poll()
            except client.CALL_ERRORS as error:
                self.handle_unreachable(error)
                self.stopping.wait(RETRY_DELAY_S)

    def poll(self) -> None:
        """Acknowledge what was consumed and receive new frames.

        :raises UnreachableError: when the agent cannot be reached.
        :raises InterruptedCallError: when the reply was lost.
        :raises RpcFault: when the agent refuses the call.
        """
        with self.lock:
            acknowledged = {
                stream.name: stream.consumed
                for stream in self.streams.values()
            }
        reply: ttypes.PollReply = self.rpc.call(
            "poll",
            ttypes.PollRequest(
                self.owner,
                self.get_owner_incarnation(),
                int(POLL_WAIT_S * 1000),
                acknowledged,
                self.adapters_epoch,
            ),
            timeout_s=POLL_TIMEOUT_S,
        )
        if reply.target_incarnation != self.incarnation:
            # The agent may have restarted and lost its answers.
            self.must_reattach = self.incarnation != 0
            self.adapters_epoch = UNKNOWN_EPOCH
            self.incarnation = reply.target_incarnation
        self.update_load(reply.load)
        for frame in reply.frames:
            self.deliver(frame)

    def deliver(self, frame: ttypes.AnswerFrame) -> None:
        """Deliver a frame to its stream, or count it as dropped."""
        with self.lock:
            stream = self.streams.get(frame.reader)
        if stream is None or not stream.accept(frame):
            self.counters.count(metrics.Counter.FRAMES_DROPPED)

    def update_load(self, load: ttypes.LoadReport) -> None:
        """Store a new load report.

        The agent leaves the lists of adapters and prefixes out when they
        have not changed since the last report.
        """
        with self.lock:
            self.load = load
            self.unreported = 0
            if load.adapters is not None:
                self.adapters_epoch = load.adapters_epoch
                self.adapter_set = frozenset(load.adapters)
                self.loading_set = frozenset(load.loading)
                self.prefix_set = frozenset(load.prefixes)
        if load.adapters is not None:
            self.report_adapters(self.adapter_set | self.loading_set)
        self.failing_since = self.refused_since = None
        self.reachable = True

    def handle_unreachable(self, error: Exception) -> None:
        """Reattach the streams later; fail them after the timeout.

        Time counts from the first call that failed, since this process may
        have been frozen itself.
        """
        self.reachable = False
        self.must_reattach = True
        now = time.monotonic()
        if self.failing_since is None:
            self.failing_since = now
        if not isinstance(error.__cause__, ConnectionRefusedError):
            self.refused_since = None
        elif self.refused_since is None:
            self.refused_since = now
        if now - self.failing_since > SILENT_TIMEOUT_S or (
            self.refused_since is not None
            and now - self.refused_since > UNREACHABLE_TIMEOUT_S
        ):
            self.fail_all(StreamLost(agent_unavailable=True))

    def fail_all(self, lost: StreamLost) -> None:
        """End all streams, whose answers are lost."""
        with self.lock:
            streams, self.streams = list(self.streams.values()), {}
        for stream in streams:
            stream.fail(lost)

    def reattach_all(self) -> None:
        """Attach every open stream again; fail those the agent has lost."""
        with self.lock:
            streams = list(self.streams.values())
        for stream in streams:
            if not self.attach(stream, block=False).known:
                self.remove_stream(stream)
                stream.fail(StreamLost(agent_unavailable=False))
        self.must_reattach = False

    def attach(self, stream: Stream, block: bool) -> ttypes.AttachReply:
        """Request a stream's frames from its current offset.

        With ``block``, an agent that does not know the request refuses the
        stream's attempt if it arrives later.
        """
        reply: ttypes.AttachReply = self.rpc.call(
            "attach",
            ttypes.AttachRequest(
                stream.request_id,
                stream.received,
                self.owner,
                self.get_owner_incarnation(),
                block,
                stream.attempt,
                stream.name,
            ),
            timeout_s=SUBMIT_TIMEOUT_S,
        )
        return reply

    def open_stream(
        self, request_id: str, attempt: int, offset: int
    ) -> Stream:
        """Create a stream; called before its order is sent or it attaches."""
        with self.lock:
            self.streams_opened += 1
            name = answers.make_reader_name(request_id, self.streams_opened)
            stream = Stream(name, request_id, attempt, offset)
            self.streams[name] = stream
        return stream

    def remove_stream(self, stream: Stream) -> None:
        """Stop delivering frames to a stream."""
        with self.lock:
            self.streams.pop(stream.name, None)

    def submit(self, order: ttypes.WorkOrder) -> ttypes.OrderReceipt:
        """Send a work order.

        :raises UnreachableError: when the order was not sent.
        :raises InterruptedCallError: when the order may have arrived.
        :raises RpcFault: when the agent refuses the call.
        """
        with self.lock:
            self.unreported += 1
        receipt: ttypes.OrderReceipt = self.rpc.call(
            "submit", order, timeout_s=SUBMIT_TIMEOUT_S
        )
        self.update_load(receipt.load)
        return receipt

    def cancel(self, stream: Stream) -> None:
        """Stop reading an answer; the agent cancels it if no reader is left.

        Does nothing when the agent cannot be called.
        """
        request = ttypes.CancelRequest(
            stream.request_id,
            stream.attempt,
            self.owner,
            self.get_owner_incarnation(),
            stream.name,
        )
        try:
            self.rpc.call("cancel", request, timeout_s=SUBMIT_TIMEOUT_S)
        except client.CALL_ERRORS:
            # The request then runs to its end, and its answer expires.
            return
