"""Runs one request: attempts on targets, retries and resumed streams."""

import dataclasses
import time

from hemlockkeel._internal.entry import attempts
from hemlockkeel._internal.entry import context
from hemlockkeel._internal.entry import dispatcher
from hemlockkeel._internal.entry import joins
from hemlockkeel._internal.entry import links
from hemlockkeel._internal.entry import records
from hemlockkeel._internal.entry import sending
from hemlockkeel._internal.entry.filters import admission
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.policy import routing
from hemlockkeel._internal.rpc.gen.hk import ttypes
from hemlockkeel._internal.state import commands
from hemlockkeel._internal.utils import metrics

MAX_ATTEMPTS = 5
# Attempts that may have run, after which a request is not retried.
MAX_LOST_ATTEMPTS = 2
DISCONNECT_CHECK_INTERVAL_S = 0.1
TARGET_POLL_INTERVAL_S = 0.05
TARGET_WAIT_S = 2.0
# How long a request waits for a restarted agent to register again.
SUCCESSOR_WAIT_S = 4.0


def handle(
    shared: dispatcher.Dispatcher, request: context.RequestContext
) -> outcomes.Refused | context.Events:
    """Return an iterator over the events of a request's answer."""
    shared.record_arrival(request)
    if request.last_event_id is not None:
        return RequestRun(shared, request).resume_stream(request.last_event_id)
    return RequestRun(shared, request).run()


class RequestRun:
    """Runs one request until its answer is complete or it has failed.

    ``tokens`` holds the tokens that were yielded to the caller so far, so
    that a later attempt continues after them.
    """

    def __init__(
        self, shared: dispatcher.Dispatcher, request: context.RequestContext
    ) -> None:
        self.shared = shared
        self.request = request
        self.request_id: str = request.request_id
        self.has_record_key = bool(records.get_record_key(request))
        self.recorded_attempt = 0
        self.sender = sending.OrderSender(shared.follower, request)
        self.joiner = joins.AttemptJoiner(shared.target_links, request)
        self.lost_attempts = 0
        self.agent_lost = False
        self.tokens: list[str] = []
        # Software version of the engine that wrote the first of them; None if
        # it is not known for certain.
        self.origin_version: str | None = None
        self.attempt_count = 0
        self.preferred_target = ""
        self.started_at = time.monotonic()

    # Running the request

    def run(self) -> context.Events:
        """Yield the answer's events; retry failed attempts where safe."""
        if self.request.session:
            self.prepare_session()
        while True:
            attempt = self.start_attempt()
            if isinstance(attempt, outcomes.Refused):
                failure = attempt
            else:
                result = yield from self.follow_with_resume(attempt)
                if result is None:
                    return
                failure = result
            if not self.should_retry(failure):
                failure = self.combine_verdicts(failure)
                yield context.FailureEvent(self.record_failure(failure))
                return

    def follow_with_resume(
        self, attempt: attempts.Attempt
    ) -> attempts.AttemptEvents:
        """Yield an attempt's events; resume it when its agent is lost.

        Returns the failure, or None when the answer is complete or the
        caller has disconnected.
        """
        while True:
            failure = yield from self.follow_attempt(attempt)
            if failure is None or not self.agent_lost:
                return failure
            resumed = self.resume_attempt(attempt)
            if resumed is None:
                return failure
            attempt = resumed

    def resume_attempt(
        self, attempt: attempts.Attempt
    ) -> attempts.Attempt | None:
        """Resume a run that the engine still holds, through a new agent.

        Starts no new run, so it is safe for requests that are not
        idempotent. Returns None when there is no new agent or it refuses.
        """
        self.agent_lost = False
        link = self.wait_for_successor(attempt)
        if link is None or link.load is None:
            return None
        incarnation = link.load.incarnation
        self.attempt_count += 1
        number = attempt.number + 1
        if self.has_record_key:
            recorded = self.commit_attempt(attempt.target_id, incarnation)
            if not isinstance(recorded, int):
                return None
            number = recorded
        resumed = self.sender.send(
            self.request_id,
            link,
            attempt.target_id,
            incarnation,
            number,
            self.shared.get_popularity(self.request),
            attempt.number,
        )
        if isinstance(resumed, outcomes.Refused):
            return None
        self.shared.counters.count(metrics.Counter.REATTACHED)
        return resumed

    def wait_for_successor(
        self, attempt: attempts.Attempt
    ) -> links.AgentLink | None:
        """Wait for the target's new agent and return the link to it.

        Returns None when none registers in time, the caller disconnects, or
        the same agent is reachable again without the answer.
        """
        limit = min(self.request.deadline, time.monotonic() + SUCCESSOR_WAIT_S)
        while time.monotonic() < limit and not self.request.is_disconnected():
            link = self.shared.target_links.get_link(attempt.target_id)
            if link is not None and link.reachable and link.load is not None:
                if link.load.incarnation != attempt.incarnation:
                    return link
                if link is attempt.link and link.load.accepting:
                    # The same agent is reachable again but has lost the
                    # answer.
                    return None
            time.sleep(TARGET_POLL_INTERVAL_S)
        return None

    def prepare_session(self) -> None:
        """Wait for the session's earlier requests and find its target."""
        recorder = self.shared.recorder
        if not self.request.supersedes:
            recorder.wait_for_earlier_requests(self.request)
        self.preferred_target = recorder.find_session_target(self.request)

    def combine_verdicts(self, last: outcomes.Refused) -> outcomes.Refused:
        """Return the last attempt's failure with the verdict on all of them.

        An attempt that was refused says nothing of one that was lost before.
        """
        if last.verdict is outcomes.Verdict.NOT_RUN and self.lost_attempts:
            return dataclasses.replace(
                last, verdict=outcomes.Verdict.MAY_HAVE_RUN
            )
        return last

    def record_failure(self, failure: outcomes.Refused) -> outcomes.Refused:
        """Commit the failure of a recorded request and return it."""
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
        """Return whether to retry; if so, take a retry from the budget.

        A request that may have run is only retried when it is idempotent.
        It may have crashed its target, so the next attempt is marked as
        suspect and runs alone in its target's batch.
        """
        if failure.code in attempts.NON_RETRYABLE_CODES:
            return False
        if failure.verdict is outcomes.Verdict.RAN:
            return False
        if failure.verdict is outcomes.Verdict.MAY_HAVE_RUN:
            if not self.request.idempotent:
                return False
            self.lost_attempts += 1
            self.sender.suspect = True
            if self.lost_attempts >= MAX_LOST_ATTEMPTS:
                return False
        if not self.may_start_attempt() or not self.shared.spend_retry():
            return False
        if failure.verdict is outcomes.Verdict.MAY_HAVE_RUN:
            self.shared.counters.count(metrics.Counter.RERUN)
        return True

    def may_start_attempt(self) -> bool:
        """Return whether another attempt can still complete the answer."""
        if self.attempt_count >= MAX_ATTEMPTS:
            return False
        if self.tokens and self.origin_version is None:
            return False
        return time.monotonic() < self.request.deadline

    # Starting an attempt

    def start_attempt(self) -> attempts.Attempt | outcomes.Refused:
        """Choose a target, commit the attempt if recorded, and send it."""
        view = self.wait_for_target()
        if isinstance(view, outcomes.Refused):
            return view
        link = self.shared.target_links.get_link(view.target_id)
        if link is None or link.load is None:
            return outcomes.refuse(
                outcomes.RefusalCode.NO_TARGET,
                "the chosen target is no longer registered",
            )
        self.attempt_count += 1
        incarnation = link.load.incarnation
        number = self.attempt_count
        if self.has_record_key:
            recorded = self.commit_attempt(view.target_id, incarnation)
            if isinstance(recorded, (outcomes.Refused, attempts.Attempt)):
                return recorded
            number = recorded
        return self.sender.send(
            self.request_id,
            link,
            view.target_id,
            incarnation,
            number,
            self.shared.get_popularity(self.request),
        )

    def wait_for_target(self) -> routing.TargetView | outcomes.Refused:
        """Return a target, waiting for one to become available."""
        limit = min(self.request.deadline, time.monotonic() + TARGET_WAIT_S)
        while True:
            view = self.shared.choose_target(
                self.request,
                frozenset(self.sender.failed_targets),
                self.preferred_target,
                self.sender.engine_version,
            )
            if view is not None:
                return view
            if self.sender.failed_targets:
                # All usable targets have failed an attempt; allow them again,
                # as some may have recovered.
                self.sender.failed_targets.clear()
            elif not self.can_go_on():
                return outcomes.refuse(
                    outcomes.RefusalCode.VERSION_GONE,
                    "no engine has the software version that began the answer",
                )
            elif time.monotonic() >= limit:
                return outcomes.refuse(
                    outcomes.RefusalCode.NO_TARGET,
                    f"no target of '{self.request.target_service}' is "
                    "accepting requests",
                    attempts.RETRY_AFTER_MS,
                )
            time.sleep(TARGET_POLL_INTERVAL_S)

    def can_go_on(self) -> bool:
        """Return whether an engine may write the rest of a begun answer."""
        version = self.sender.engine_version
        return version is None or self.shared.target_links.has_version(version)

    def commit_attempt(
        self, target_id: str, incarnation: int
    ) -> int | attempts.Attempt | outcomes.Refused:
        """Commit an attempt to the request's record.

        Returns the attempt's number. If another request with the same key
        was recorded first, returns the attempt of that one instead, or a
        refusal.
        """
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
        return self.handle_record_outcome(outcome, target_id)

    def handle_record_outcome(
        self, outcome: commands.Outcome, target_id: str
    ) -> int | attempts.Attempt | outcomes.Refused:
        """Return the committed attempt's number, or what replaces it.

        That is the attempt of an earlier request with the same key, or a
        refusal.
        """
        record = outcome.record
        match outcome.status:
            case commands.Status.OK if record is not None:
                self.recorded_attempt = record.attempt
                return record.attempt
            case commands.Status.DUPLICATE | commands.Status.STALE if record:
                self.shared.counters.count(metrics.Counter.DUPLICATES)
                return self.join_recorded_attempt(record)
            case commands.Status.QUARANTINED:
                return admission.refuse_quarantined()
        return attempts.refuse_for_status(outcome.status)

    def join_recorded_attempt(
        self, record: commands.RequestRecord
    ) -> attempts.Attempt | outcomes.Refused:
        """Continue as a duplicate of the request that used the key first."""
        self.request_id = record.request_id
        self.recorded_attempt = record.attempt
        return self.joiner.join(record)

    # Receiving an answer

    def follow_attempt(
        self, attempt: attempts.Attempt
    ) -> attempts.AttemptEvents:
        """Yield an attempt's events; return its failure if it fails.

        If the caller disconnects, the attempt is cancelled after a delay;
        attempts of recorded requests run to their end, so that a duplicate
        can read the answer.
        """
        received = attempts.ReceivedTokens(attempt.stream.start_offset)
        try:
            while True:
                item = self.wait_for_item(attempt)
                if item is None:
                    self.shared.counters.count(metrics.Counter.CALLER_GONE)
                    return None
                event = self.handle_item(attempt, item, received)
                if isinstance(event, outcomes.Refused):
                    return event
                if event is None:
                    continue
                yield event
                if isinstance(event, context.EndEvent):
                    return None
        finally:
            attempt.link.remove_stream(attempt.stream)
            if not attempt.stream.ended and not self.has_record_key:
                self.shared.cancel_later(attempt)

    def wait_for_item(
        self, attempt: attempts.Attempt
    ) -> ttypes.AnswerFrame | links.StreamLost | None:
        """Return the next item; None when the caller has disconnected."""
        while True:
            item = attempt.stream.get(DISCONNECT_CHECK_INTERVAL_S)
            if item is not None:
                return item
            if self.request.is_disconnected():
                return None

    def handle_item(
        self,
        attempt: attempts.Attempt,
        item: ttypes.AnswerFrame | links.StreamLost,
        received: attempts.ReceivedTokens,
    ) -> context.AnswerEvent | outcomes.Refused | None:
        """Turn one item of a stream into an event or a failure.

        Returns None when the item contains nothing new for the caller.
        """
        if isinstance(item, links.StreamLost):
            return self.handle_loss(attempt, item)
        if item.kind == ttypes.FrameKind.TOKENS:
            return self.handle_tokens(attempt, item, received)
        if item.kind == ttypes.FrameKind.FAILED:
            self.sender.failed_targets.add(attempt.target_id)
            return attempts.parse_failure(item)
        return self.handle_end(attempt, item, received)

    def handle_tokens(
        self,
        attempt: attempts.Attempt,
        frame: ttypes.AnswerFrame,
        received: attempts.ReceivedTokens,
    ) -> context.TokenEvent | outcomes.Refused | None:
        """Return the event with the tokens that the caller does not have.

        Tokens that an earlier attempt already delivered must be the same;
        the request fails otherwise. Returns None when all were delivered.
        """
        received.add(frame.tokens)
        start = frame.offset
        known = max(0, min(len(self.tokens) - start, len(frame.tokens)))
        if self.tokens[start : start + known] != frame.tokens[:known]:
            return outcomes.Refused(
                outcomes.RefusalCode.LOST,
                "the answer was interrupted and a second run produced "
                "different tokens",
                outcomes.Verdict.MAY_HAVE_RUN,
            )
        fresh = frame.tokens[known:]
        if not fresh:
            return None
        if not self.tokens:
            self.origin_version = attempt.find_origin_version()
            self.sender.engine_version = self.origin_version
        offset = start + known
        if offset > len(self.tokens):
            # The caller resumes from an offset and has the tokens before it.
            self.tokens.extend([""] * (offset - len(self.tokens)))
        self.tokens.extend(fresh)
        return context.TokenEvent(
            attempt.stream.request_id,
            offset,
            fresh,
            attempt.target_id,
            attempt.number,
        )

    def handle_end(
        self,
        attempt: attempts.Attempt,
        frame: ttypes.AnswerFrame,
        received: attempts.ReceivedTokens,
    ) -> context.EndEvent | outcomes.Refused:
        """Verify that the answer is complete and commit its outcome."""
        if not attempts.is_answer_valid(
            self.request, attempt, frame, received
        ):
            self.shared.counters.count(metrics.Counter.ANSWERS_REJECTED)
            return outcomes.Refused(
                outcomes.RefusalCode.LOST,
                "the answer that was received is incomplete or invalid",
                outcomes.Verdict.MAY_HAVE_RUN,
            )
        if self.has_record_key:
            outcome = self.shared.recorder.finish(
                self.request,
                self.request_id,
                attempt.number,
                outcomes.Verdict.RAN,
                digest=frame.digest,
                length=frame.length,
            )
            if outcome and outcome.status is commands.Status.SUPERSEDED:
                return attempts.refuse_for_status(
                    commands.Status.SUPERSEDED, outcomes.Verdict.RAN
                )
        self.shared.service_times.add(
            self.request.deployment, time.monotonic() - self.started_at
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

    def handle_loss(
        self, attempt: attempts.Attempt, lost: links.StreamLost
    ) -> outcomes.Refused:
        """Return the failure of an attempt whose answer was lost."""
        self.agent_lost = True
        self.sender.failed_targets.add(attempt.target_id)
        reason = (
            "is no longer available"
            if lost.agent_unavailable
            else "lost the request"
        )
        return outcomes.Refused(
            outcomes.RefusalCode.LOST,
            f"the target {reason}; the request may have run",
            outcomes.Verdict.MAY_HAVE_RUN,
        )

    # Resuming a stream

    def resume_stream(self, event_id: context.EventId) -> context.Events:
        """Yield the rest of a stream whose connection the caller lost."""
        attempt = self.joiner.attach_to_event(event_id)
        if isinstance(attempt, outcomes.Refused):
            yield context.FailureEvent(attempt)
            return
        self.shared.counters.count(metrics.Counter.REATTACHED)
        self.request_id = event_id.request_id
        failure = yield from self.follow_attempt(attempt)
        if failure is not None:
            yield context.FailureEvent(failure)
