"""Sends a request to a target and follows its answer to the end."""

import collections
import collections.abc
import dataclasses
import threading
import time

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.entry import context
from hemlockkeel._internal.entry import fleet
from hemlockkeel._internal.entry import links
from hemlockkeel._internal.entry import records
from hemlockkeel._internal.entry.filters import admission
from hemlockkeel._internal.follower import follower
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.policy import limits
from hemlockkeel._internal.policy import popularity
from hemlockkeel._internal.policy import routing
from hemlockkeel._internal.rpc.gen.hk import ttypes
from hemlockkeel._internal.state import commands
from hemlockkeel._internal.utils import digests
from hemlockkeel._internal.utils import metrics

MAX_ATTEMPTS = 5
MAX_LOST_ATTEMPTS = 2
WAIT_STEP_S = 0.1
NO_TARGET_STEP_S = 0.05
NO_TARGET_WAIT_S = 2.0
CANCEL_GRACE_S = 5.0
DUPLICATE_GRACE_S = 2.0
SERVICE_WEIGHT = 0.1
FIRST_SERVICE_S = 1.0
RETRY_AFTER_MS = 1000
NO_RESUME = -1
# Value of holding an adapter for a request of each priority rank.
RANK_WEIGHTS = (8.0, 2.0, 1.0)
# How long a restarted agent may take to announce itself again.
RESUME_WAIT_S = 4.0

_STATUS_REFUSALS = {
    commands.Status.KEY_CONFLICT: (
        outcomes.RefusalCode.KEY_CONFLICT,
        "this key was used with another request; use a new key",
    ),
    commands.Status.OUT_OF_ORDER: (
        outcomes.RefusalCode.OUT_OF_ORDER,
        "an earlier request of this session has not ended",
    ),
    commands.Status.SUPERSEDED: (
        outcomes.RefusalCode.SUPERSEDED,
        "a later request of this session made this one obsolete",
    ),
    commands.Status.UNKNOWN: (
        outcomes.RefusalCode.STALE_TARGET,
        "the record of this request is gone",
    ),
}


AttemptEvents = collections.abc.Generator[
    context.AnswerEvent, None, outcomes.Refused | None
]


@dataclasses.dataclass
class Attempt:
    """One attempt under way."""

    number: int
    target_id: str
    incarnation: int
    link: links.AgentLink
    stream: links.Stream


class ServiceTimes:
    """Mean service time a deployment, for routing."""

    def __init__(self) -> None:
        self.means: dict[str, float] = {}
        self.lock = threading.Lock()

    def add(self, name: str, seconds: float) -> None:
        """Count one request's service time."""
        with self.lock:
            mean = self.means.get(name, seconds)
            self.means[name] = mean + SERVICE_WEIGHT * (seconds - mean)

    def get(self, name: str) -> float:
        """Return the mean, or a first guess."""
        return self.means.get(name, FIRST_SERVICE_S)


class Dispatcher:
    """What all requests of an entry share."""

    def __init__(
        self,
        follow: follower.Follower,
        targets: fleet.Fleet,
        recorder: records.Recorder,
        router: routing.Router,
        counters: metrics.Metrics,
    ) -> None:
        self.follow = follow
        self.fleet = targets
        self.recorder = recorder
        self.router = router
        self.counters = counters
        self.budget = limits.RetryBudget()
        self.popularity = popularity.Popularity()
        self.service_times = ServiceTimes()
        self.lock = threading.Lock()
        # Requests whose caller left, by when they are cancelled.
        self.abandoned: collections.deque[tuple[float, Attempt]] = (
            collections.deque()
        )

    def handle(
        self, request: context.RequestContext
    ) -> outcomes.Refused | context.Events:
        """Return the events of a request's answer."""
        with self.lock:
            self.budget.earn()
            if request.ref is not None:
                self.popularity.add(str(request.ref), time.monotonic())
        if request.last_event is not None:
            return RequestRun(self, request).read_on(request.last_event)
        return RequestRun(self, request).run()

    def choose_target(
        self,
        request: context.RequestContext,
        excluded: frozenset[str],
        preferred: str,
    ) -> routing.TargetView | None:
        """Return the target for a request; None when there is none."""
        spec = request.spec
        base_model = spec.base_model if spec else ""
        name = str(request.ref) if request.ref else request.prefix
        views = self.fleet.find_views(
            request.target_service, base_model, name, excluded
        )
        return self.router.choose(
            routing.RouteRequest(
                ref=request.ref,
                data_centre=self.follow.description.data_centre,
                prefix=request.prefix,
                service_s=self.service_times.get(request.deployment),
                load_s=self.get_load_s(),
                stall_weight=spec.stall_weight if spec else 1.0,
                batch_weight=spec.batch_weight if spec else 0.0,
                rank=request.rank,
                preferred_target=preferred,
            ),
            views,
        )

    def get_load_s(self) -> float:
        """Return how long the weight store takes a load at full speed."""
        site = self.follow.catalog.sites.get(self.follow.catalog.site)
        rate = site.weight_store_loads_per_second if site else 4.0
        return 1.0 / rate

    def may_retry(self) -> bool:
        """Take a retry from the budget."""
        with self.lock:
            allowed = self.budget.spend()
        self.counters.count(
            metrics.Counter.RETRIES
            if allowed
            else metrics.Counter.RETRY_BUDGET_EMPTY
        )
        return allowed

    def get_popularity(self, request: context.RequestContext) -> float:
        """Return the value of holding the request's adapter.

        The target adds up what all entries say.
        """
        if request.ref is None:
            return 0.0
        name = str(request.ref)
        with self.lock:
            rate = self.popularity.get_rate(name, time.monotonic())
        holders = self.fleet.count_holders(name)
        return rate * RANK_WEIGHTS[request.rank] / max(1, holders)

    def abandon(self, attempt: Attempt) -> None:
        """Cancel an attempt later unless its caller comes back."""
        with self.lock:
            until = time.monotonic() + CANCEL_GRACE_S
            self.abandoned.append((until, attempt))

    def cancel_abandoned(self, now: float) -> None:
        """Cancel attempts whose grace is over."""
        while True:
            with self.lock:
                if not self.abandoned or self.abandoned[0][0] > now:
                    return
                _, attempt = self.abandoned.popleft()
            attempt.link.cancel(attempt.stream)


class RequestRun:
    """One request from its first attempt to its last event."""

    def __init__(
        self, shared: Dispatcher, request: context.RequestContext
    ) -> None:
        self.shared = shared
        self.request = request
        self.request_id: str = request.request_id
        self.keyed = bool(records.get_record_key(request))
        self.recorded_attempt = 0
        self.excluded: set[str] = set()
        self.lost_attempts = 0
        self.suspect = False
        self.agent_lost = False
        self.tokens: list[str] = []
        self.attempts = 0
        self.preferred = ""
        self.begun = time.monotonic()

    # The whole run

    def run(self) -> context.Events:
        """Yield the answer's events, trying again where that is safe."""
        if self.request.session:
            self.prepare_session()
        while True:
            attempt = self.start()
            if isinstance(attempt, outcomes.Refused):
                failure = attempt
            else:
                result = yield from self.follow_with_resume(attempt)
                if result is None:
                    return
                failure = result
            if not self.should_retry(failure):
                yield context.FailEvent(self.close(failure))
                return

    def follow_with_resume(self, attempt: Attempt) -> AttemptEvents:
        """Follow an attempt; a lost agent's successor may resume it."""
        while True:
            failure = yield from self.follow_attempt(attempt)
            if failure is None or not self.agent_lost:
                return failure
            resumed = self.resume(attempt)
            if resumed is None:
                return failure
            attempt = resumed

    def resume(self, attempt: Attempt) -> Attempt | None:
        """Ask the lost agent's successor for the engine's run.

        A resume starts nothing, so it is safe for any request.
        """
        self.agent_lost = False
        link = self.wait_for_successor(attempt)
        if link is None or link.load is None:
            return None
        incarnation = link.load.incarnation
        self.attempts += 1
        number = attempt.number + 1
        if self.keyed:
            recorded = self.record(attempt.target_id, incarnation)
            if not isinstance(recorded, int):
                return None
            number = recorded
        resumed = self.send(
            link, attempt.target_id, incarnation, number, attempt.number
        )
        if isinstance(resumed, outcomes.Refused):
            return None
        self.shared.counters.count(metrics.Counter.REATTACHED)
        return resumed

    def wait_for_successor(self, attempt: Attempt) -> links.AgentLink | None:
        """Return the link to the target's next agent, once it is there."""
        limit = min(self.request.deadline, time.monotonic() + RESUME_WAIT_S)
        while time.monotonic() < limit and not self.request.disconnected():
            link = self.shared.fleet.get_link(attempt.target_id)
            if link is not None and link.reachable and link.load is not None:
                if link.load.incarnation != attempt.incarnation:
                    return link
                if link is attempt.link and link.load.accepting:
                    # The same agent is back but has lost the answer.
                    return None
            time.sleep(NO_TARGET_STEP_S)
        return None

    def prepare_session(self) -> None:
        """Wait for the session's turn and learn its route."""
        recorder = self.shared.recorder
        if not self.request.supersedes:
            recorder.wait_for_turn(self.request)
        self.preferred = recorder.find_session_target(self.request)

    def close(self, failure: outcomes.Refused) -> outcomes.Refused:
        """Record the end of a keyed request that failed."""
        if self.recorded_attempt == 0:
            return failure
        self.shared.recorder.finish(
            self.request,
            self.request_id,
            self.recorded_attempt,
            failure.verdict,
            failure.code.code,
        )
        return failure

    def should_retry(self, failure: outcomes.Refused) -> bool:
        """Tell whether the request may be tried again, and try to pay."""
        if failure.code in FINAL_CODES:
            return False
        if failure.verdict is outcomes.Verdict.RAN:
            return False
        if failure.verdict is outcomes.Verdict.MAY_HAVE_RUN:
            if not self.request.idempotent:
                return False
            self.lost_attempts += 1
            self.suspect = True
            if self.lost_attempts >= MAX_LOST_ATTEMPTS:
                return False
        if self.attempts >= MAX_ATTEMPTS:
            return False
        if time.monotonic() >= self.request.deadline:
            return False
        return self.shared.may_retry()

    # Starting an attempt

    def start(self) -> Attempt | outcomes.Refused:
        """Choose a target, record the attempt and send it."""
        view = self.wait_for_target()
        if isinstance(view, outcomes.Refused):
            return view
        link = self.shared.fleet.get_link(view.target_id)
        if link is None or link.load is None:
            return outcomes.refuse(
                outcomes.RefusalCode.NO_TARGET, "the target has just left"
            )
        self.attempts += 1
        incarnation = link.load.incarnation
        number = self.attempts
        if self.keyed:
            recorded = self.record(view.target_id, incarnation)
            if isinstance(recorded, (outcomes.Refused, Attempt)):
                return recorded
            number = recorded
        return self.send(link, view.target_id, incarnation, number)

    def wait_for_target(self) -> routing.TargetView | outcomes.Refused:
        """Return a target, waiting a moment for one to appear."""
        limit = min(self.request.deadline, time.monotonic() + NO_TARGET_WAIT_S)
        while True:
            view = self.shared.choose_target(
                self.request, frozenset(self.excluded), self.preferred
            )
            if view is not None:
                return view
            if self.excluded:
                # Every target failed once; the first may work by now.
                self.excluded.clear()
            elif time.monotonic() >= limit:
                return outcomes.refuse(
                    outcomes.RefusalCode.NO_TARGET,
                    f"no target of '{self.request.target_service}' takes "
                    "work now",
                    RETRY_AFTER_MS,
                )
            time.sleep(NO_TARGET_STEP_S)

    def record(
        self, target_id: str, incarnation: int
    ) -> int | Attempt | outcomes.Refused:
        """Commit the attempt; return its number, or the one that stands."""
        recorder = self.shared.recorder
        if self.recorded_attempt == 0:
            outcome = recorder.begin(
                self.request, self.request_id, target_id, incarnation
            )
        else:
            outcome = recorder.reassign(
                self.request,
                self.request_id,
                self.recorded_attempt,
                target_id,
                incarnation,
            )
        if isinstance(outcome, outcomes.Refused):
            return outcome
        return self.judge_record(outcome, target_id)

    def judge_record(
        self, outcome: commands.Outcome, target_id: str
    ) -> int | Attempt | outcomes.Refused:
        """Act on what the record says."""
        record = outcome.record
        match outcome.status:
            case commands.Status.OK if record is not None:
                self.recorded_attempt = record.attempt
                return record.attempt
            case commands.Status.DUPLICATE | commands.Status.STALE if record:
                self.shared.counters.count(metrics.Counter.DUPLICATES)
                return self.join(record)
            case commands.Status.QUARANTINED:
                return admission.make_quarantined()
        code, message = _STATUS_REFUSALS[outcome.status]
        return outcomes.refuse(code, message, RETRY_AFTER_MS)

    def send(
        self,
        link: links.AgentLink,
        target_id: str,
        incarnation: int,
        number: int,
        resume_attempt: int = NO_RESUME,
    ) -> Attempt | outcomes.Refused:
        """Send a work order."""
        stream = link.open(self.request_id, number, 0)
        order = self.make_order(target_id, incarnation, number, resume_attempt)
        order.reader = stream.name
        try:
            receipt = link.submit(order)
        except exceptions.UnreachableError:
            self.excluded.add(target_id)
            link.forget(stream)
            return outcomes.refuse(
                outcomes.RefusalCode.NO_TARGET, "the target is out of reach"
            )
        except (exceptions.InterruptedCallError, ttypes.RpcFault):
            self.excluded.add(target_id)
            return self.settle(link, stream, target_id, incarnation)
        if receipt.accepted:
            return Attempt(number, target_id, incarnation, link, stream)
        link.forget(stream)
        self.excluded.add(target_id)
        return outcomes.Refused(
            outcomes.parse_code(receipt.code),
            receipt.message,
            outcomes.Verdict(receipt.verdict),
            receipt.retry_after_ms or None,
        )

    def make_order(
        self,
        target_id: str,
        incarnation: int,
        number: int,
        resume_attempt: int,
    ) -> ttypes.WorkOrder:
        """Return the work order of an attempt."""
        request = self.request
        spec = request.spec
        remaining = request.deadline - time.monotonic()
        return ttypes.WorkOrder(
            request_id=self.request_id,
            attempt=number,
            owner=self.shared.follow.description.member_id,
            owner_incarnation=self.shared.follow.incarnation,
            target_id=target_id,
            target_incarnation=incarnation,
            adapter=request.ref.name if request.ref else "",
            adapter_version=request.ref.version if request.ref else "",
            base_model=spec.base_model if spec else "",
            body=request.body,
            content_digest=request.digest,
            idempotent=request.idempotent,
            priority=request.rank,
            deadline_ms=max(0, int(remaining * 1000)),
            suspect=self.suspect,
            view_version=self.shared.follow.catalog.version,
            path=request.path,
            method=request.method,
            session=request.session,
            session_sequence=request.sequence,
            resume_attempt=resume_attempt,
            caller=request.caller,
            deployment=request.deployment,
            popularity=self.shared.get_popularity(request),
            hold_ms=spec.hold_ms if spec else 0,
            stall_weight=spec.stall_weight if spec else 1.0,
        )

    def settle(
        self,
        link: links.AgentLink,
        stream: links.Stream,
        target_id: str,
        incarnation: int,
    ) -> Attempt | outcomes.Refused:
        """Find out whether an order arrived; keep it from arriving later."""
        unknown = outcomes.Refused(
            outcomes.RefusalCode.LOST,
            "the target went out of reach while it was given the request",
            outcomes.Verdict.MAY_HAVE_RUN,
        )
        try:
            reply = link.attach(stream, block=True)
        except (
            exceptions.UnreachableError,
            exceptions.InterruptedCallError,
            ttypes.RpcFault,
        ):
            link.forget(stream)
            return unknown
        if reply.known:
            return Attempt(
                stream.attempt, target_id, incarnation, link, stream
            )
        link.forget(stream)
        if reply.target_incarnation != incarnation:
            # The agent that may have taken the order is gone.
            return unknown
        return outcomes.refuse(
            outcomes.RefusalCode.NO_TARGET, "the request did not arrive"
        )

    # Joining an attempt that another entry or copy started

    def join(
        self, record: commands.RequestRecord
    ) -> Attempt | outcomes.Refused:
        """Read the answer of the request that was first with this key."""
        if record.state is commands.RequestState.SUPERSEDED:
            code, message = _STATUS_REFUSALS[commands.Status.SUPERSEDED]
            return outcomes.Refused(
                code, message, outcomes.Verdict.MAY_HAVE_RUN
            )
        self.request_id = record.request_id
        self.recorded_attempt = record.attempt
        limit = min(
            self.request.deadline, time.monotonic() + DUPLICATE_GRACE_S
        )
        while True:
            last = time.monotonic() >= limit
            joined = self.try_join(record, block=last)
            if joined is not None:
                return joined
            time.sleep(WAIT_STEP_S)

    def try_join(
        self, record: commands.RequestRecord, block: bool
    ) -> Attempt | outcomes.Refused | None:
        """Attach to a recorded attempt; None while it may yet arrive."""
        link = self.shared.fleet.get_link(record.target_id)
        if link is None:
            return self.answer_without_target(record)
        offset = 0
        if self.request.last_event is not None:
            offset = self.request.last_event.offset
        stream = link.open(record.request_id, record.attempt, offset)
        try:
            reply = link.attach(stream, block)
        except (
            exceptions.UnreachableError,
            exceptions.InterruptedCallError,
            ttypes.RpcFault,
        ):
            link.forget(stream)
            return self.answer_without_target(record) if block else None
        if reply.known:
            return Attempt(
                record.attempt,
                record.target_id,
                record.target_incarnation,
                link,
                stream,
            )
        link.forget(stream)
        if reply.target_incarnation != record.target_incarnation:
            return self.answer_without_target(record)
        if record.state is commands.RequestState.FINISHED:
            return self.answer_without_target(record)
        if not reply.blocked:
            return None
        # The first copy never arrived and now never will.
        return outcomes.refuse(
            outcomes.RefusalCode.STALE_TARGET,
            "the first copy of this request never started",
        )

    def answer_without_target(
        self, record: commands.RequestRecord
    ) -> outcomes.Refused:
        """Return what is known once the answer cannot be read any more."""
        if record.state is commands.RequestState.FINISHED:
            verdict = outcomes.Verdict(record.verdict)
            message = (
                "the request ran and its answer is no longer held"
                if verdict is outcomes.Verdict.RAN
                else f"the request ended without an answer ({record.code})"
            )
            return outcomes.Refused(
                outcomes.RefusalCode.LOST, message, verdict
            )
        return outcomes.Refused(
            outcomes.RefusalCode.LOST,
            "the target that was given this request is gone",
            outcomes.Verdict.MAY_HAVE_RUN,
        )

    # Following an attempt

    def follow_attempt(self, attempt: Attempt) -> AttemptEvents:
        """Yield an attempt's events; return its failure, if it fails."""
        received = AttemptTokens(attempt.stream.received)
        try:
            while True:
                item = self.wait_for_item(attempt)
                if item is None:
                    self.shared.counters.count(metrics.Counter.CALLER_GONE)
                    return None
                event = self.take_item(attempt, item, received)
                if isinstance(event, outcomes.Refused):
                    return event
                if event is None:
                    continue
                yield event
                if isinstance(event, context.EndEvent):
                    return None
        finally:
            attempt.link.forget(attempt.stream)
            if not attempt.stream.ended and not self.keyed:
                self.shared.abandon(attempt)

    def wait_for_item(
        self, attempt: Attempt
    ) -> ttypes.AnswerFrame | links.Lost | None:
        """Return the next item; None when the caller has gone."""
        while True:
            item = attempt.stream.get(WAIT_STEP_S)
            if item is not None:
                return item
            if self.request.disconnected():
                return None

    def take_item(
        self,
        attempt: Attempt,
        item: ttypes.AnswerFrame | links.Lost,
        received: "AttemptTokens",
    ) -> context.AnswerEvent | outcomes.Refused | None:
        """Turn one item of a stream into an event or a failure."""
        if isinstance(item, links.Lost):
            return self.make_lost(attempt, item)
        if item.kind == ttypes.FrameKind.TOKENS:
            return self.take_tokens(attempt, item, received)
        if item.kind == ttypes.FrameKind.FAILED:
            self.excluded.add(attempt.target_id)
            return read_failure(item)
        return self.end(attempt, item, received)

    def take_tokens(
        self,
        attempt: Attempt,
        frame: ttypes.AnswerFrame,
        received: "AttemptTokens",
    ) -> context.TokenEvent | outcomes.Refused | None:
        """Add tokens; those the caller has already must be the same."""
        received.add(frame.tokens)
        start = frame.offset
        known = max(0, min(len(self.tokens) - start, len(frame.tokens)))
        if self.tokens[start : start + known] != frame.tokens[:known]:
            return outcomes.Refused(
                outcomes.RefusalCode.LOST,
                "the answer was lost part way and a second run differs",
                outcomes.Verdict.MAY_HAVE_RUN,
            )
        fresh = frame.tokens[known:]
        if not fresh:
            return None
        offset = start + known
        if offset > len(self.tokens):
            # Reading on from an offset: the caller has the tokens before.
            self.tokens.extend([""] * (offset - len(self.tokens)))
        self.tokens.extend(fresh)
        return context.TokenEvent(
            attempt.stream.request_id,
            offset,
            fresh,
            attempt.target_id,
            attempt.number,
        )

    def end(
        self,
        attempt: Attempt,
        frame: ttypes.AnswerFrame,
        received: "AttemptTokens",
    ) -> context.EndEvent | outcomes.Refused:
        """Check that the answer is whole and record its end."""
        if not is_whole(self.request, attempt, frame, received):
            self.shared.counters.count(metrics.Counter.ANSWERS_REJECTED)
            return outcomes.Refused(
                outcomes.RefusalCode.LOST,
                "the answer that arrived is not whole",
                outcomes.Verdict.MAY_HAVE_RUN,
            )
        if self.keyed:
            outcome = self.shared.recorder.finish(
                self.request,
                self.request_id,
                attempt.number,
                outcomes.Verdict.RAN,
                digest=frame.digest,
                length=frame.length,
            )
            if outcome and outcome.status is commands.Status.SUPERSEDED:
                code, message = _STATUS_REFUSALS[commands.Status.SUPERSEDED]
                return outcomes.Refused(code, message, outcomes.Verdict.RAN)
        self.shared.service_times.add(
            self.request.deployment, time.monotonic() - self.begun
        )
        return context.EndEvent(
            attempt.target_id,
            attempt.number,
            frame.length,
            frame.digest,
            frame.load_stall_us or 0,
            f"{frame.adapter}@{frame.adapter_version}"
            if frame.adapter
            else "",
            frame.status,
            frame.payload or b"",
            frame.content_type or "",
        )

    def make_lost(
        self, attempt: Attempt, lost: links.Lost
    ) -> outcomes.Refused:
        """Return the failure of an attempt whose agent lost it."""
        self.agent_lost = True
        self.excluded.add(attempt.target_id)
        reason = "is gone" if lost.agent_gone else "lost the request"
        return outcomes.Refused(
            outcomes.RefusalCode.LOST,
            f"the target {reason}; whether the request ran is not known",
            outcomes.Verdict.MAY_HAVE_RUN,
        )

    # Reading on

    def read_on(self, place: context.EventId) -> context.Events:
        """Yield the rest of a stream that the caller lost."""
        attempt = self.attach_place(place)
        if isinstance(attempt, outcomes.Refused):
            yield context.FailEvent(attempt)
            return
        self.shared.counters.count(metrics.Counter.REATTACHED)
        self.request_id = place.request_id
        failure = yield from self.follow_attempt(attempt)
        if failure is not None:
            yield context.FailEvent(failure)

    def attach_place(
        self, place: context.EventId
    ) -> Attempt | outcomes.Refused:
        """Attach to the stream that an event id names."""
        gone = outcomes.Refused(
            outcomes.RefusalCode.LOST,
            "the answer that Last-Event-ID names is no longer held",
            outcomes.Verdict.MAY_HAVE_RUN,
        )
        link = self.shared.fleet.get_link(place.target_id)
        if link is None:
            return gone
        stream = link.open(place.request_id, place.attempt, place.offset)
        try:
            reply = link.attach(stream, block=False)
        except (
            exceptions.UnreachableError,
            exceptions.InterruptedCallError,
            ttypes.RpcFault,
        ):
            link.forget(stream)
            return gone
        if not reply.known or reply.content_digest != self.request.digest:
            link.forget(stream)
            return gone
        return Attempt(
            place.attempt,
            place.target_id,
            reply.target_incarnation,
            link,
            stream,
        )


FINAL_CODES = frozenset(
    [
        outcomes.RefusalCode.QUARANTINED,
        outcomes.RefusalCode.KEY_CONFLICT,
        outcomes.RefusalCode.OUT_OF_ORDER,
        outcomes.RefusalCode.SUPERSEDED,
        outcomes.RefusalCode.DEADLINE,
        outcomes.RefusalCode.NO_RECORD,
        outcomes.RefusalCode.BAD_REQUEST,
    ]
)


class AttemptTokens:
    """Digest and length of what one attempt has delivered."""

    def __init__(self, offset: int) -> None:
        self.offset = offset
        self.digest = digests.AnswerDigest()

    def add(self, tokens: list[str]) -> None:
        """Add tokens in order."""
        self.digest.add(tokens)

    @property
    def end(self) -> int:
        """Return the offset after the last token."""
        return self.offset + self.digest.length


def is_whole(
    request: context.RequestContext,
    attempt: Attempt,
    frame: ttypes.AnswerFrame,
    received: AttemptTokens,
) -> bool:
    """Tell whether an answer is whole and the request's own."""
    if request.shape is context.Shape.SERVICE:
        found = (len(frame.payload), digests.digest_content(frame.payload))
        return found == (frame.length, frame.digest)
    length: int = frame.length
    if received.end != length:
        return False
    if received.offset == 0 and received.digest.value() != frame.digest:
        return False
    if request.ref is None:
        return not frame.adapter
    wanted = (request.ref.name, request.ref.version)
    return wanted == (frame.adapter, frame.adapter_version)


def read_failure(frame: ttypes.AnswerFrame) -> outcomes.Refused:
    """Return the refusal that a failure frame carries."""
    return outcomes.Refused(
        outcomes.parse_code(frame.code),
        frame.message,
        outcomes.Verdict(frame.verdict),
    )
