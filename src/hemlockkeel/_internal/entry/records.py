"""Creates and updates the durable records of requests in the control role.

Requests with an idempotency key or a session have a record. It is committed
before the request is sent to a target, so that any entry recognises a
duplicate.
"""

import concurrent.futures
import time

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.entry import context
from hemlockkeel._internal.follower import control_client
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.rpc.gen.hk import ttypes
from hemlockkeel._internal.state import commands
from hemlockkeel._internal.state import queries
from hemlockkeel._internal.utils import logs
from hemlockkeel._internal.utils import metrics

RECORD_TIMEOUT_S = 3.0
FINISH_TIMEOUT_S = 10.0
FINISH_WORKERS = 4
SESSION_POLL_INTERVAL_S = 0.03
RETRY_AFTER_MS = 1000


def get_record_key(request: context.RequestContext) -> str:
    """Return the key of a request's record; empty when it has none.

    The key includes the caller, so callers may use the same idempotency
    keys and session names.
    """
    if request.session:
        return f"{request.caller}/session/{request.session}/{request.sequence}"
    if request.key:
        return f"{request.caller}/key/{request.key}"
    return ""


def get_session_name(request: context.RequestContext) -> str:
    """Return the session's name with its caller; empty without a session."""
    return f"{request.caller}/{request.session}" if request.session else ""


class Recorder:
    """Commits a request's record before dispatch and its outcome after."""

    def __init__(
        self, control: control_client.ControlClient, counters: metrics.Metrics
    ) -> None:
        self.control = control
        self.counters = counters
        self.executor = concurrent.futures.ThreadPoolExecutor(
            FINISH_WORKERS, "finish"
        )

    def begin(
        self,
        request: context.RequestContext,
        request_id: str,
        target_id: str,
        target_incarnation: int,
    ) -> commands.Outcome | outcomes.Refused:
        """Commit the record of a request before its first attempt.

        Returns a refusal when the record could not be committed; the request
        must not be sent then.
        """
        command = commands.BeginRequest(
            key=get_record_key(request),
            caller=request.caller,
            digest=request.digest,
            request_id=request_id,
            target_id=target_id,
            target_incarnation=target_incarnation,
            session=get_session_name(request),
            session_sequence=request.sequence,
            supersedes=request.supersedes,
        )
        started_at = time.monotonic()
        outcome = self.propose(command, RECORD_TIMEOUT_S)
        self.counters.time(metrics.Timer.RECORD, time.monotonic() - started_at)
        return outcome

    def propose(
        self, command: commands.AnyCommand, timeout_s: float
    ) -> commands.Outcome | outcomes.Refused:
        """Commit a command; return a refusal when control is unavailable."""
        try:
            return self.control.propose(command, timeout_s)
        except (exceptions.ControlUnavailableError, ttypes.RpcFault):
            return outcomes.refuse(
                outcomes.RefusalCode.NO_RECORD,
                "the request could not be recorded, so it was not started; "
                "retry it with the same key",
                RETRY_AFTER_MS,
            )

    def reassign(
        self,
        request: context.RequestContext,
        request_id: str,
        attempt: int,
        target_id: str,
        target_incarnation: int,
    ) -> commands.Outcome | outcomes.Refused:
        """Commit the next attempt, on another target or its new agent."""
        command = commands.ReassignRequest(
            key=get_record_key(request),
            attempt=attempt,
            request_id=request_id,
            target_id=target_id,
            target_incarnation=target_incarnation,
        )
        return self.propose(command, RECORD_TIMEOUT_S)

    def finish(
        self,
        request: context.RequestContext,
        request_id: str,
        attempt: int,
        verdict: outcomes.Verdict,
        code: str = "",
        digest: str = "",
        length: int = 0,
    ) -> commands.Outcome | None:
        """Commit the outcome of an attempt.

        Waits for the commit when the request belongs to a session, whose
        next request may only start afterwards, and when the request did not
        run, so that the key is free again. Commits in the background
        otherwise and returns None, as it does when a commit fails.
        """
        command = commands.FinishRequest(
            key=get_record_key(request),
            attempt=attempt,
            request_id=request_id,
            verdict=int(verdict),
            code=code,
            answer_digest=digest,
            length=length,
        )
        if request.session or verdict is outcomes.Verdict.NOT_RUN:
            outcome = self.propose(command, FINISH_TIMEOUT_S)
            if isinstance(outcome, outcomes.Refused):
                return None
            return outcome
        self.executor.submit(self.finish_in_background, command)
        return None

    def finish_in_background(self, command: commands.FinishRequest) -> None:
        """Commit an outcome; run on a background thread."""
        outcome = self.propose(command, FINISH_TIMEOUT_S)
        if isinstance(outcome, outcomes.Refused):
            logs.log_event("finish_not_recorded", key=command.key)

    def read_record(self, key: str) -> queries.QueryResult:
        """Read a record.

        :raises ControlUnavailableError: when no control leader answers in
            time.
        """
        return self.control.read(queries.GetRequest(key), RECORD_TIMEOUT_S)

    def find_session_target(self, request: context.RequestContext) -> str:
        """Return the target of a session's last request; empty if unknown."""
        name = get_session_name(request)
        try:
            result = self.control.read(
                queries.GetSession(name), RECORD_TIMEOUT_S
            )
        except (exceptions.ControlUnavailableError, ttypes.RpcFault):
            return ""
        return result.session.target_id if result.session else ""

    def wait_for_earlier_requests(
        self, request: context.RequestContext
    ) -> None:
        """Wait until the session's earlier requests have finished.

        Returns early when the deadline passes, the caller disconnects or
        control is unavailable; committing the record then fails if the
        request is out of order.
        """
        name = get_session_name(request)
        while time.monotonic() < request.deadline:
            try:
                result = self.control.read(
                    queries.GetSession(name), RECORD_TIMEOUT_S
                )
            except (exceptions.ControlUnavailableError, ttypes.RpcFault):
                return
            progress = result.session
            if progress is None or progress.finished >= request.sequence - 1:
                return
            if request.is_disconnected():
                return
            time.sleep(SESSION_POLL_INTERVAL_S)

    def stop(self) -> None:
        """Commit the outcomes that are still queued, then stop."""
        self.executor.shutdown(wait=True)
