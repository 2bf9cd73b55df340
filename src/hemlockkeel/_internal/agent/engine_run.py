"""Runs one attempt on the engine and copies its answer to the store."""

import collections.abc
import contextlib
import dataclasses

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.agent import answers
from hemlockkeel._internal.agent import driver
from hemlockkeel._internal.engines import base
from hemlockkeel._internal.follower import follower
from hemlockkeel._internal.models import adapters
from hemlockkeel._internal.models import ids
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.policy import scheduler
from hemlockkeel._internal.rpc.gen.hk import ttypes
from hemlockkeel._internal.utils import digests
from hemlockkeel._internal.utils import metrics

# How often a run that its engine still holds is read again although the last
# time brought no more tokens.
MAX_FRUITLESS_RESUMES = 3
ORDERING_STATES = (
    follower.FollowerState.READY,
    follower.FollowerState.LEAVING,
)


@dataclasses.dataclass
class ActiveAttempt:
    """An attempt that was accepted and has not ended."""

    order: ttypes.WorkOrder
    work: scheduler.WorkItem
    key: driver.AttemptKey
    cancelled: bool = False
    # Start of the engine at which the attempt runs; empty while it is queued.
    boot_id: str = ""


def make_active_attempt(order: ttypes.WorkOrder, now: float) -> ActiveAttempt:
    """Return the state of an attempt for a work order.

    ``now`` is the time in monotonic seconds.
    """
    ref = None
    if order.adapter:
        ref = adapters.AdapterRef(
            ids.AdapterName(order.adapter),
            ids.AdapterVersion(order.adapter_version),
        )
    work = scheduler.WorkItem(
        request_id=order.request_id,
        ref=ref,
        rank=order.priority,
        arrived_at=now,
        deadline=now + order.deadline_ms / 1000.0,
        digest=order.content_digest,
        caller=order.caller,
        suspect=order.suspect,
        idempotent=order.idempotent,
        hold_s=order.hold_ms / 1000.0,
        stall_weight=order.stall_weight,
    )
    key = driver.AttemptKey(order.request_id, order.attempt)
    return ActiveAttempt(order, work, key)


class EngineRun:
    """Runs attempts on an engine and copies the events to the answer store.

    ``is_same_boot`` tells whether the engine has not restarted since the
    agent last checked.
    """

    def __init__(
        self,
        engine: base.Engine,
        base_model: str,
        store: answers.AnswerStore,
        follower: follower.Follower,
        counters: metrics.Metrics,
        is_same_boot: collections.abc.Callable[[], bool],
    ) -> None:
        self.engine = engine
        self.base_model = base_model
        self.store = store
        self.follower = follower
        self.counters = counters
        self.is_same_boot = is_same_boot

    def run(self, active: ActiveAttempt) -> list[str]:
        """Run an attempt to its end; return the tokens of its answer.

        An order with ``resume_attempt`` reads the run of that earlier attempt
        from the engine instead of starting a new one.

        :raises RunFailedError: when the run fails, or its answer is
            incomplete or invalid.
        """
        order = active.order
        fence = ids.Fence(self.follower.incarnation)
        run_id = ids.RequestId(active.key.engine_run_id)
        run_order = base.RunOrder(
            run_id,
            active.work.ref,
            self.base_model,
            order.body,
            active.work.rank,
            fence,
        )
        if order.resume_attempt >= 0:
            earlier = driver.AttemptKey(order.request_id, order.resume_attempt)
            run_id = ids.RequestId(earlier.engine_run_id)
            events = self.engine.resume(run_id, 0)
        else:
            self.check_may_send_orders()
            self.check_engine_version(order)
            events = self.engine.run(run_order)
        tokens: list[str] = []
        fruitless_resumes = 0
        while True:
            before = len(tokens)
            try:
                self.copy_events(active, events, tokens)
                return tokens
            except answers.AnswerTooLargeError as error:
                self.cancel(run_id, fence)
                raise base.RunFailedError(
                    outcomes.RefusalCode.LOST,
                    str(error),
                    outcomes.Verdict.MAY_HAVE_RUN,
                ) from error
            except base.RunFailedError as error:
                fruitless_resumes += 1
                if len(tokens) > before:
                    fruitless_resumes = 0
                if (
                    not error.crashed
                    or fruitless_resumes > MAX_FRUITLESS_RESUMES
                    or not self.is_same_boot()
                ):
                    raise
                # Only the connection broke; the engine still holds the run.
                events = self.engine.resume(run_id, len(tokens))

    def cancel(self, run_id: ids.RequestId, fence: ids.Fence) -> None:
        """Let the engine stop a run, if it can be reached."""
        with contextlib.suppress(
            exceptions.UnreachableError, exceptions.EngineOrderError
        ):
            self.engine.cancel(run_id, fence)

    def check_may_send_orders(self) -> None:
        """Check that the agent's registration allows it to start runs.

        :raises RunFailedError: when it has no lease or was superseded.
        """
        state = self.follower.get_state()
        if state in ORDERING_STATES:
            return
        raise base.RunFailedError(
            outcomes.RefusalCode.NOT_READY,
            f"the agent may not start runs ({state.value})",
            outcomes.Verdict.NOT_RUN,
        )

    def check_engine_version(self, order: ttypes.WorkOrder) -> None:
        """Check that the engine may go on with another run's answer.

        Asks the engine itself, as it may just have restarted.

        :raises RunFailedError: when it has another software version than the
            order requires, or does not respond.
        """
        if order.engine_version is None:
            return
        try:
            found = self.engine.get_identity().software_version
        except exceptions.UnreachableError as error:
            raise base.RunFailedError(
                outcomes.RefusalCode.ENGINE_FAILED,
                f"the engine does not tell its version: {error}",
                outcomes.Verdict.NOT_RUN,
            ) from error
        if found != order.engine_version:
            raise base.RunFailedError(
                outcomes.RefusalCode.STALE_TARGET,
                "the engine has another software version than the one that "
                "began the answer",
                outcomes.Verdict.NOT_RUN,
            )

    def copy_events(
        self,
        active: ActiveAttempt,
        events: collections.abc.Iterator[base.Event],
        tokens: list[str],
    ) -> None:
        """Copy and verify events until the answer ends.

        Token events that do not continue the answer are dropped.

        :raises AnswerTooLargeError: when there is no memory for the answer.
        :raises RunFailedError: when the run fails or its answer is invalid.
        """
        for event in events:
            if isinstance(event, base.StreamEnd):
                self.verify_end(active, event, tokens)
                return
            if event.offset != len(tokens):
                self.counters.count(metrics.Counter.FRAMES_DROPPED)
                continue
            self.store.add_tokens(
                active.order.request_id,
                active.key.number,
                event.offset,
                event.tokens,
            )
            tokens.extend(event.tokens)

    def verify_end(
        self, active: ActiveAttempt, event: base.StreamEnd, tokens: list[str]
    ) -> None:
        """Check an answer's adapter, length and digest.

        :raises RunFailedError: when one of them does not match the request
            or the received tokens.
        """
        digest = digests.TokenDigest()
        digest.update(tokens)
        wanted = str(active.work.ref or self.base_model)
        matches = (event.length, event.digest, event.ref) == (
            len(tokens),
            digest.hexdigest(),
            wanted,
        )
        if matches:
            return
        self.counters.count(metrics.Counter.ANSWERS_REJECTED)
        raise base.RunFailedError(
            outcomes.RefusalCode.LOST,
            "the engine's answer is incomplete or from another adapter",
            outcomes.Verdict.MAY_HAVE_RUN,
        )
