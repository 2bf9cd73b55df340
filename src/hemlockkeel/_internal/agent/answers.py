"""Answers that entries read by offset.

An answer stays here for a while after its end, so that a caller who lost
its connection, or comes back through another entry, reads on where it was.
"""

import dataclasses
import threading
import time

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.rpc.gen.hk import ttypes
from hemlockkeel._internal.utils import digests

# Tokens sent beyond what an entry has acknowledged.
WINDOW_TOKENS = 256
RETENTION_S = 120.0
MAX_ANSWERS = 20_000
TOMBSTONE_S = 600.0
MAX_FRAMES_PER_POLL = 512


@dataclasses.dataclass
class Answer:
    """One attempt's answer so far."""

    request_id: str
    attempt: int
    content_digest: str
    owner: tuple[str, int]
    adapter: str
    adapter_version: str
    tokens: list[str] = dataclasses.field(default_factory=list)
    end: ttypes.AnswerFrame | None = None
    ended_at: float = 0.0
    sent: int = 0
    acknowledged: int = 0
    end_sent: bool = False
    load_stall_us: int = 0


@dataclasses.dataclass(frozen=True)
class Tombstone:
    """Blocks a request's attempts up to a number, until a time."""

    attempt: int
    until: float


class Outbox:
    """Answers with something to send to one owner."""

    def __init__(self, lock: threading.RLock) -> None:
        # A condition of its own: a token wakes only its reader.
        self.changed = threading.Condition(lock)
        self.dirty: dict[str, None] = {}


class AnswerStore:
    """All answers of one agent."""

    def __init__(self) -> None:
        self.changed = threading.RLock()
        self.answers: dict[str, Answer] = {}
        self.outboxes: dict[tuple[str, int], Outbox] = {}
        # Attempts that must not run if they arrive later.
        self.tombstones: dict[str, Tombstone] = {}
        # Counts changes of load that pollers wait for.
        self.load_epoch = 0

    def open(self, order: ttypes.WorkOrder) -> outcomes.Refused | None:
        """Start an answer, or say why this order must not run."""
        with self.changed:
            known = self.answers.get(order.request_id)
            if known is not None and known.attempt >= order.attempt:
                return outcomes.Refused(
                    outcomes.RefusalCode.OUT_OF_ORDER,
                    "this attempt was received before",
                    outcomes.Verdict.MAY_HAVE_RUN,
                )
            tombstone = self.tombstones.get(order.request_id)
            if tombstone is not None and order.attempt <= tombstone.attempt:
                return outcomes.refuse(
                    outcomes.RefusalCode.STALE_TARGET,
                    "the request was withdrawn before it arrived",
                )
            self.answers[order.request_id] = Answer(
                order.request_id,
                order.attempt,
                order.content_digest,
                (order.owner, order.owner_incarnation),
                order.adapter,
                order.adapter_version,
                tokens=[],
            )
        return None

    def discard(self, request_id: str) -> None:
        """Forget an answer whose order was refused."""
        with self.changed:
            self.answers.pop(request_id, None)

    def add_tokens(
        self, request_id: str, attempt: int, offset: int, tokens: list[str]
    ) -> bool:
        """Add tokens at an offset; tell whether they belonged there."""
        with self.changed:
            answer = self.answers.get(request_id)
            if answer is None or answer.attempt != attempt or answer.end:
                return False
            if offset != len(answer.tokens):
                return False
            answer.tokens.extend(tokens)
            self.mark(answer)
            return True

    def end(self, frame: ttypes.AnswerFrame) -> bool:
        """End an answer; the first end stands."""
        with self.changed:
            answer = self.answers.get(frame.request_id)
            if answer is None or answer.attempt != frame.attempt:
                return False
            if answer.end is not None:
                return False
            frame.adapter = answer.adapter
            frame.adapter_version = answer.adapter_version
            frame.load_stall_us = answer.load_stall_us
            answer.end = frame
            answer.ended_at = time.monotonic()
            self.mark(answer)
            return True

    def mark(self, answer: Answer) -> None:
        """Note that an answer has something to send."""
        outbox = self.get_outbox(answer.owner)
        outbox.dirty[answer.request_id] = None
        outbox.changed.notify_all()

    def get_outbox(self, owner: tuple[str, int]) -> Outbox:
        """Return an owner's outbox; the lock is held."""
        outbox = self.outboxes.get(owner)
        if outbox is None:
            outbox = Outbox(self.changed)
            self.outboxes[owner] = outbox
        return outbox

    def note_load_change(self) -> None:
        """Wake pollers, since the load report changed."""
        with self.changed:
            self.load_epoch += 1
            for outbox in self.outboxes.values():
                outbox.changed.notify_all()

    # Reading

    def poll(
        self,
        owner: tuple[str, int],
        acknowledged: dict[str, int],
        wait_s: float,
    ) -> list[ttypes.AnswerFrame]:
        """Return what an owner has not been sent, waiting for some."""
        deadline = time.monotonic() + wait_s
        with self.changed:
            self.acknowledge(owner, acknowledged)
            epoch = self.load_epoch
            outbox = self.get_outbox(owner)
            while True:
                frames = self.collect(outbox, owner)
                remaining = deadline - time.monotonic()
                if frames or remaining <= 0 or epoch != self.load_epoch:
                    return frames
                outbox.changed.wait(remaining)

    def acknowledge(
        self, owner: tuple[str, int], acknowledged: dict[str, int]
    ) -> None:
        """Note how far an owner has read each answer."""
        for request_id, offset in acknowledged.items():
            answer = self.answers.get(request_id)
            if answer is None or answer.owner != owner:
                continue
            answer.acknowledged = max(answer.acknowledged, offset)
            if has_more(answer):
                self.mark(answer)

    def collect(
        self, outbox: Outbox, owner: tuple[str, int]
    ) -> list[ttypes.AnswerFrame]:
        """Take the frames that are due to an owner."""
        frames: list[ttypes.AnswerFrame] = []
        while outbox.dirty and len(frames) < MAX_FRAMES_PER_POLL:
            request_id = next(iter(outbox.dirty))
            del outbox.dirty[request_id]
            answer = self.answers.get(request_id)
            if answer is not None and answer.owner == owner:
                frames.extend(take_frames(answer))
        return frames

    def attach(
        self, request: ttypes.AttachRequest
    ) -> tuple[Answer | None, bool]:
        """Send an answer to a new owner from an offset.

        Returns the answer, or whether the request is now blocked from ever
        running here.
        """
        with self.changed:
            answer = self.answers.get(request.request_id)
            if answer is None:
                if request.block_if_unknown:
                    self.block(request.request_id, request.attempt)
                return None, request.block_if_unknown
            answer.owner = (request.owner, request.owner_incarnation)
            answer.sent = min(request.offset, len(answer.tokens))
            answer.acknowledged = answer.sent
            answer.end_sent = False
            self.mark(answer)
            return answer, False

    def block(self, request_id: str, attempt: int) -> None:
        """Refuse an attempt and earlier ones if they arrive later."""
        self.tombstones[request_id] = Tombstone(
            attempt, time.monotonic() + TOMBSTONE_S
        )

    def is_owner(self, request_id: str, owner: tuple[str, int]) -> bool:
        """Tell whether an entry reads this answer."""
        with self.changed:
            answer = self.answers.get(request_id)
            return answer is not None and answer.owner == owner

    # Housekeeping

    def expire(self, now: float) -> int:
        """Forget old answers and tombstones; return how many answers."""
        with self.changed:
            old = [
                answer.request_id
                for answer in self.answers.values()
                if answer.end is not None
                and now - answer.ended_at > RETENTION_S
            ]
            over = len(self.answers) - len(old) - MAX_ANSWERS
            if over > 0:
                old.extend(self.find_oldest_ended(over, set(old)))
            for request_id in old:
                # A late copy of a forgotten request must not run.
                self.block(request_id, self.answers[request_id].attempt)
                del self.answers[request_id]
            self.tombstones = {
                request_id: tombstone
                for request_id, tombstone in self.tombstones.items()
                if tombstone.until > now
            }
            return len(old)

    def find_oldest_ended(self, amount: int, but: set[str]) -> list[str]:
        """Return the answers that ended longest ago."""
        ended = [
            answer
            for answer in self.answers.values()
            if answer.end is not None and answer.request_id not in but
        ]
        ended.sort(key=lambda answer: answer.ended_at)
        return [answer.request_id for answer in ended[:amount]]

    def count_open(self) -> int:
        """Return how many answers have not ended or not been read."""
        with self.changed:
            return sum(
                1
                for answer in self.answers.values()
                if answer.end is None or not answer.end_sent
            )


def has_more(answer: Answer) -> bool:
    """Tell whether an answer has something that was not sent."""
    return answer.sent < len(answer.tokens) or (
        answer.end is not None and not answer.end_sent
    )


def take_frames(answer: Answer) -> list[ttypes.AnswerFrame]:
    """Return the next frames of an answer within its window."""
    frames = []
    limit = min(len(answer.tokens), answer.acknowledged + WINDOW_TOKENS)
    if answer.sent < limit:
        frames.append(
            ttypes.AnswerFrame(
                request_id=answer.request_id,
                attempt=answer.attempt,
                offset=answer.sent,
                kind=ttypes.FrameKind.TOKENS,
                tokens=answer.tokens[answer.sent : limit],
                adapter=answer.adapter,
                adapter_version=answer.adapter_version,
                load_stall_us=answer.load_stall_us,
            )
        )
        answer.sent = limit
    if answer.end is not None and answer.sent == len(answer.tokens):
        if not answer.end_sent:
            frames.append(answer.end)
            answer.end_sent = True
    return frames


def make_end(
    request_id: str, attempt: int, tokens: list[str]
) -> ttypes.AnswerFrame:
    """Return the frame that ends a whole answer."""
    digest = digests.AnswerDigest()
    digest.add(tokens)
    exceptions.require(digest.length == len(tokens), "answer length differs")
    return ttypes.AnswerFrame(
        request_id=request_id,
        attempt=attempt,
        offset=len(tokens),
        kind=ttypes.FrameKind.END,
        tokens=[],
        digest=digest.value(),
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
    """Return the frame that ends an answer without the whole of it."""
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
