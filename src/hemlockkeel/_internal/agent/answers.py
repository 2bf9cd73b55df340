"""Store of the answers that an agent produces, which entries read by offset.

An answer is kept for a while after its end, so that a caller that lost its
connection can resume the stream from its offset, also through another entry.
The memory of all answers is bounded: a target may produce them without end.
"""

import copy
import dataclasses
import threading
import time

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.rpc.gen.hk import ttypes
from hemlockkeel._internal.utils import digests

# Flow control: how many tokens a stream is sent beyond those acknowledged.
WINDOW_TOKENS = 256
ANSWER_RETENTION_S = 120.0
MAX_ANSWERS = 20_000
TOMBSTONE_LIFETIME_S = 600.0
MAX_FRAMES_PER_POLL = 512
# Memory of one token besides its characters.
TOKEN_BYTES = 64
# Memory of one answer, as much as a response may have, and of all.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_STORED_BYTES = 96 * 1024 * 1024
# Delivered answers are removed until this share of the memory is free.
FREED_SHARE = 0.25

Owner = tuple[str, int]
"""An entry and its incarnation."""

ReaderKey = tuple[str, int, str]
"""An entry, its incarnation and the name of its stream."""


class AnswerTooLargeError(Exception):
    """There is no memory for more of an answer."""


@dataclasses.dataclass
class Reader:
    """One stream of an entry that reads an answer.

    ``sent`` and ``acknowledged`` are token offsets.
    """

    owner: Owner
    name: str
    sent: int = 0
    acknowledged: int = 0
    end_sent: bool = False


@dataclasses.dataclass
class Answer:
    """The answer of one attempt so far, and its readers.

    ``ended_at`` is in monotonic seconds.
    """

    request_id: str
    attempt: int
    content_digest: str
    adapter: str
    adapter_version: str
    readers: dict[ReaderKey, Reader] = dataclasses.field(default_factory=dict)
    tokens: list[str] = dataclasses.field(default_factory=list)
    end: ttypes.AnswerFrame | None = None
    ended_at: float = 0.0
    load_stall_us: int = 0
    held_bytes: int = 0

    def has_unsent(self, reader: Reader) -> bool:
        """Return whether tokens or the end were not yet sent to a reader."""
        unsent_end = self.end is not None and not reader.end_sent
        return reader.sent < len(self.tokens) or unsent_end

    def is_delivered(self) -> bool:
        """Return whether the answer has ended and was sent to all readers."""
        if self.end is None:
            return False
        return all(reader.end_sent for reader in self.readers.values())


@dataclasses.dataclass(frozen=True)
class Tombstone:
    """Blocks the attempts of a request up to a number, for a limited time.

    ``until`` is in monotonic seconds.
    """

    attempt: int
    until: float


class Outbox:
    """Streams of one owner that have frames to send."""

    def __init__(self, lock: threading.RLock) -> None:
        # One condition per owner, so that a token wakes only the entry that
        # reads it.
        self.changed = threading.Condition(lock)
        # Names of the streams with frames to send, in order.
        self.dirty: dict[str, None] = {}


class AnswerStore:
    """All answers of one agent, by request; safe for use by threads."""

    def __init__(self) -> None:
        self.lock = threading.RLock()
        self.answers: dict[str, Answer] = {}
        self.outboxes: dict[Owner, Outbox] = {}
        # Attempts that must not run if their orders arrive later.
        self.tombstones: dict[str, Tombstone] = {}
        # Incremented when pollers must receive a new load report.
        self.load_epoch = 0
        self.held_bytes = 0

    def open(self, order: ttypes.WorkOrder) -> outcomes.Refused | None:
        """Create the answer for an order; return a refusal if it must not run.

        An order must not run if its attempt was received before, or if it
        was blocked.
        """
        with self.lock:
            known = self.answers.get(order.request_id)
            if known is not None and known.attempt >= order.attempt:
                return outcomes.Refused(
                    outcomes.RefusalCode.OUT_OF_ORDER,
                    "this attempt was already received",
                    outcomes.Verdict.MAY_HAVE_RUN,
                )
            tombstone = self.tombstones.get(order.request_id)
            if tombstone is not None and order.attempt <= tombstone.attempt:
                return outcomes.refuse(
                    outcomes.RefusalCode.STALE_TARGET,
                    "the attempt was blocked before its order arrived",
                )
            answer = Answer(
                order.request_id,
                order.attempt,
                order.content_digest,
                order.adapter,
                order.adapter_version,
            )
            self.remove(order.request_id)
            self.answers[order.request_id] = answer
            owner = (order.owner, order.owner_incarnation)
            self.add_reader(answer, owner, order.reader, 0)
        return None

    def add_reader(
        self, answer: Answer, owner: Owner, name: str, offset: int
    ) -> None:
        """Add a stream that reads an answer from an offset."""
        offset = min(offset, len(answer.tokens))
        reader = Reader(owner, name, offset, offset)
        answer.readers[*owner, name] = reader
        if answer.has_unsent(reader):
            self.mark_dirty(reader)

    def discard(self, request_id: str) -> None:
        """Remove an answer whose order was refused."""
        with self.lock:
            self.remove(request_id)

    def remove(self, request_id: str) -> None:
        """Remove an answer, if it is there; the caller holds the lock."""
        answer = self.answers.pop(request_id, None)
        if answer is not None:
            self.held_bytes -= answer.held_bytes

    def hold(self, answer: Answer, count: int) -> None:
        """Count bytes of an answer; the caller holds the lock.

        :raises AnswerTooLargeError: when there is no memory for them.
        """
        if answer.held_bytes + count > MAX_ANSWER_BYTES:
            raise AnswerTooLargeError(
                f"the answer takes more than {MAX_ANSWER_BYTES} bytes"
            )
        if self.held_bytes + count > MAX_STORED_BYTES:
            self.remove_delivered(
                int((1 - FREED_SHARE) * MAX_STORED_BYTES) - count
            )
        if self.held_bytes + count > MAX_STORED_BYTES:
            raise AnswerTooLargeError("no memory left for answers")
        answer.held_bytes += count
        self.held_bytes += count

    def remove_delivered(self, max_bytes: int) -> None:
        """Remove answers until the rest takes at most so many bytes.

        Only those that have ended and were sent to their readers, the oldest
        first.
        """
        delivered = [
            each for each in self.answers.values() if each.is_delivered()
        ]
        for answer in sorted(delivered, key=lambda each: each.ended_at):
            if self.held_bytes <= max_bytes:
                return
            # A late duplicate of a removed request must not run again.
            self.block_attempts(answer.request_id, answer.attempt)
            self.remove(answer.request_id)

    def add_tokens(
        self, request_id: str, attempt: int, offset: int, tokens: list[str]
    ) -> bool:
        """Append tokens; return False if they do not continue the answer.

        :raises AnswerTooLargeError: when there is no memory for them.
        """
        with self.lock:
            answer = self.answers.get(request_id)
            if answer is None or answer.attempt != attempt or answer.end:
                return False
            if offset != len(answer.tokens):
                return False
            size = sum(map(len, tokens)) + TOKEN_BYTES * len(tokens)
            self.hold(answer, size)
            answer.tokens.extend(tokens)
            self.mark_readers_dirty(answer)
            return True

    def end(self, frame: ttypes.AnswerFrame) -> bool:
        """End an answer; return False if it had ended or is unknown.

        One whose payload finds no memory has failed.
        """
        with self.lock:
            answer = self.answers.get(frame.request_id)
            if answer is None or answer.attempt != frame.attempt:
                return False
            if answer.end is not None:
                return False
            try:
                self.hold(answer, len(frame.payload))
            except AnswerTooLargeError as error:
                frame = make_failure(
                    frame.request_id,
                    frame.attempt,
                    outcomes.Refused(
                        outcomes.RefusalCode.LOST,
                        str(error),
                        outcomes.Verdict.MAY_HAVE_RUN,
                    ),
                )
            frame.adapter = answer.adapter
            frame.adapter_version = answer.adapter_version
            frame.load_stall_us = answer.load_stall_us
            answer.end = frame
            answer.ended_at = time.monotonic()
            self.mark_readers_dirty(answer)
            return True

    def mark_readers_dirty(self, answer: Answer) -> None:
        """Mark all readers of an answer as having frames to send."""
        for reader in answer.readers.values():
            self.mark_dirty(reader)

    def mark_dirty(self, reader: Reader) -> None:
        """Mark a reader as having frames to send, and wake its owner."""
        outbox = self.get_outbox(reader.owner)
        outbox.dirty[reader.name] = None
        outbox.changed.notify_all()

    def get_outbox(self, owner: Owner) -> Outbox:
        """Return an owner's outbox; the caller holds the lock."""
        outbox = self.outboxes.get(owner)
        if outbox is None:
            outbox = Outbox(self.lock)
            self.outboxes[owner] = outbox
        return outbox

    def notify_load_change(self) -> None:
        """Wake all pollers, so that they receive the changed load report."""
        with self.lock:
            self.load_epoch += 1
            for outbox in self.outboxes.values():
                outbox.changed.notify_all()

    # Reading

    def poll(
        self,
        owner: Owner,
        acknowledged: dict[str, int],
        wait_s: float,
    ) -> list[ttypes.AnswerFrame]:
        """Return unsent frames for an owner, waiting if there are none yet.

        ``acknowledged`` maps stream names to the offsets they have consumed.
        Returns no frames after ``wait_s`` or when the load report changes.
        """
        deadline = time.monotonic() + wait_s
        with self.lock:
            self.acknowledge(owner, acknowledged)
            epoch = self.load_epoch
            outbox = self.get_outbox(owner)
            while True:
                frames = self.collect_frames(outbox, owner)
                remaining = deadline - time.monotonic()
                if frames or remaining <= 0 or epoch != self.load_epoch:
                    return frames
                outbox.changed.wait(remaining)

    def acknowledge(self, owner: Owner, acknowledged: dict[str, int]) -> None:
        """Store the offsets that an owner's streams have consumed."""
        for name, offset in acknowledged.items():
            answer = self.answers.get(get_request_id(name))
            reader = answer and answer.readers.get((*owner, name))
            if answer is None or not reader:
                continue
            reader.acknowledged = max(reader.acknowledged, offset)
            if answer.has_unsent(reader):
                self.mark_dirty(reader)

    def collect_frames(
        self, outbox: Outbox, owner: Owner
    ) -> list[ttypes.AnswerFrame]:
        """Return the next frames for an owner and mark them as sent."""
        frames: list[ttypes.AnswerFrame] = []
        while outbox.dirty and len(frames) < MAX_FRAMES_PER_POLL:
            name = next(iter(outbox.dirty))
            del outbox.dirty[name]
            answer = self.answers.get(get_request_id(name))
            reader = answer and answer.readers.get((*owner, name))
            if answer is not None and reader:
                frames.extend(take_frames(answer, reader))
        return frames

    def attach(
        self, request: ttypes.AttachRequest
    ) -> tuple[Answer | None, bool]:
        """Let another stream read an answer from an offset.

        Returns the answer, or None if it is unknown, and whether the attempt
        is now blocked from running on this target.
        """
        with self.lock:
            answer = self.answers.get(request.request_id)
            if answer is None:
                if request.block_if_unknown:
                    self.block_attempts(request.request_id, request.attempt)
                return None, request.block_if_unknown
            owner = (request.owner, request.owner_incarnation)
            self.add_reader(answer, owner, request.reader, request.offset)
            return answer, False

    def block_attempts(self, request_id: str, attempt: int) -> None:
        """Refuse an attempt and all earlier ones if they arrive later."""
        self.tombstones[request_id] = Tombstone(
            attempt, time.monotonic() + TOMBSTONE_LIFETIME_S
        )

    def remove_reader(self, request_id: str, owner: Owner, name: str) -> bool:
        """Remove a stream; return whether the answer has no reader left."""
        with self.lock:
            answer = self.answers.get(request_id)
            if answer is None:
                return False
            answer.readers.pop((*owner, name), None)
            return not answer.readers

    # Housekeeping

    def expire(self, now: float) -> int:
        """Remove old answers and tombstones; return the number of answers.

        If too many answers are stored, those that ended first are removed
        early.
        """
        with self.lock:
            expired = [
                answer.request_id
                for answer in self.answers.values()
                if answer.end is not None
                and now - answer.ended_at > ANSWER_RETENTION_S
            ]
            excess = len(self.answers) - len(expired) - MAX_ANSWERS
            if excess > 0:
                expired.extend(self.find_oldest_ended(excess, set(expired)))
            for request_id in expired:
                # A late duplicate of a removed request must not run again.
                self.block_attempts(
                    request_id, self.answers[request_id].attempt
                )
                self.remove(request_id)
            self.tombstones = {
                request_id: tombstone
                for request_id, tombstone in self.tombstones.items()
                if tombstone.until > now
            }
            return len(expired)

    def find_oldest_ended(self, count: int, excluded: set[str]) -> list[str]:
        """Return the request ids of the answers that ended first."""
        ended = [
            answer
            for answer in self.answers.values()
            if answer.end is not None and answer.request_id not in excluded
        ]
        ended.sort(key=lambda answer: answer.ended_at)
        return [answer.request_id for answer in ended[:count]]

    def count_undelivered(self) -> int:
        """Return how many answers have not ended or not been sent."""
        with self.lock:
            return sum(
                1
                for answer in self.answers.values()
                if not answer.is_delivered()
            )


def make_reader_name(request_id: str, number: int) -> str:
    """Return the name of the n-th stream of an entry, for a request."""
    return f"{request_id}#{number}"


def get_request_id(reader_name: str) -> str:
    """Return the id of the request that a stream reads."""
    return reader_name.rpartition("#")[0]


def take_frames(answer: Answer, reader: Reader) -> list[ttypes.AnswerFrame]:
    """Return a reader's next frames within its window; mark them as sent."""
    frames = []
    limit = min(len(answer.tokens), reader.acknowledged + WINDOW_TOKENS)
    if reader.sent < limit:
        frames.append(
            ttypes.AnswerFrame(
                request_id=answer.request_id,
                attempt=answer.attempt,
                offset=reader.sent,
                kind=ttypes.FrameKind.TOKENS,
                tokens=answer.tokens[reader.sent : limit],
                adapter=answer.adapter,
                adapter_version=answer.adapter_version,
                load_stall_us=answer.load_stall_us,
                reader=reader.name,
            )
        )
        reader.sent = limit
    if answer.end is not None and reader.sent == len(answer.tokens):
        if not reader.end_sent:
            end = copy.copy(answer.end)
            end.reader = reader.name
            frames.append(end)
            reader.end_sent = True
    return frames


def make_end(
    request_id: str, attempt: int, tokens: list[str]
) -> ttypes.AnswerFrame:
    """Return the frame that ends a complete answer."""
    digest = digests.TokenDigest()
    digest.update(tokens)
    exceptions.require(
        digest.length == len(tokens),
        "digest does not cover all tokens of the answer",
    )
    return ttypes.AnswerFrame(
        request_id=request_id,
        attempt=attempt,
        offset=len(tokens),
        kind=ttypes.FrameKind.END,
        tokens=[],
        digest=digest.hexdigest(),
        length=len(tokens),
        verdict=outcomes.Verdict.RAN,
        code="",
        message="",
        status=200,
        payload=b"",
        content_type="",
    )


def make_failure(
    request_id: str, attempt: int, refusal: outcomes.Refused
) -> ttypes.AnswerFrame:
    """Return the frame that ends an answer that failed."""
    return ttypes.AnswerFrame(
        request_id=request_id,
        attempt=attempt,
        offset=0,
        kind=ttypes.FrameKind.FAILED,
        tokens=[],
        digest="",
        length=0,
        verdict=refusal.verdict,
        code=refusal.code.code,
        message=refusal.message,
        status=refusal.code.status,
        payload=b"",
        content_type="",
    )
