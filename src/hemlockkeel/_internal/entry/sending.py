"""Sends work orders to agents and finds out whether they arrived."""

import time

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.entry import attempts
from hemlockkeel._internal.entry import context
from hemlockkeel._internal.entry import links
from hemlockkeel._internal.follower import follower
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.rpc import client
from hemlockkeel._internal.rpc.gen.hk import ttypes

NO_RESUME = -1
# Orders have it as an integer of 32 bits.
MAX_HOLD_MS = 2**31 - 1


class OrderSender:
    """Sends the work orders of one request, one for each attempt.

    ``suspect`` is set once an attempt may have crashed its target.
    """

    def __init__(
        self, follower: follower.Follower, request: context.RequestContext
    ) -> None:
        self.follower = follower
        self.request = request
        self.suspect = False
        # Software version that the engine must have; None for any.
        self.engine_version: str | None = None
        # Targets that failed or refused an attempt of this request.
        self.failed_targets: set[str] = set()

    def send(
        self,
        request_id: str,
        link: links.AgentLink,
        target_id: str,
        incarnation: int,
        number: int,
        popularity: float,
        resume_attempt: int = NO_RESUME,
    ) -> attempts.Attempt | outcomes.Refused:
        """Send a work order; return the attempt, or why it did not start.

        With ``resume_attempt``, the agent reads the answer of that earlier
        attempt from the engine and starts no new run.
        """
        stream = link.open_stream(request_id, number, 0)
        engine_version = link.engine_version
        order = self.make_order(target_id, incarnation, number)
        order.request_id = request_id
        order.popularity = popularity
        order.resume_attempt = resume_attempt
        order.reader = stream.name
        try:
            receipt = link.submit(order)
        except exceptions.UnreachableError:
            self.failed_targets.add(target_id)
            link.remove_stream(stream)
            return outcomes.refuse(
                outcomes.RefusalCode.NO_TARGET, "the target is unreachable"
            )
        except (exceptions.InterruptedCallError, ttypes.RpcFault):
            self.failed_targets.add(target_id)
            return self.resolve_delivery(
                link, stream, target_id, incarnation, engine_version
            )
        if receipt.accepted:
            return attempts.Attempt(
                number, target_id, incarnation, link, stream, engine_version
            )
        link.remove_stream(stream)
        self.failed_targets.add(target_id)
        return outcomes.Refused(
            outcomes.parse_code(receipt.code),
            receipt.message,
            outcomes.Verdict(receipt.verdict),
            receipt.retry_after_ms or None,
        )

    def make_order(
        self, target_id: str, incarnation: int, number: int
    ) -> ttypes.WorkOrder:
        """Return the work order for an attempt, with the remaining time."""
        request = self.request
        spec = request.spec
        remaining = request.deadline - time.monotonic()
        return ttypes.WorkOrder(
            attempt=number,
            owner=self.follower.description.member_id,
            owner_incarnation=self.follower.incarnation,
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
            view_version=self.follower.catalog.version,
            path=request.path,
            method=request.method,
            session=request.session,
            session_sequence=request.sequence,
            caller=request.caller,
            deployment=request.deployment,
            hold_ms=min(spec.hold_ms, MAX_HOLD_MS) if spec else 0,
            stall_weight=spec.stall_weight if spec else 1.0,
            engine_version=self.engine_version,
        )

    def resolve_delivery(
        self,
        link: links.AgentLink,
        stream: links.Stream,
        target_id: str,
        incarnation: int,
        engine_version: str,
    ) -> attempts.Attempt | outcomes.Refused:
        """Find out whether an order arrived after its call was interrupted.

        If the agent does not know the request, it also blocks the attempt,
        so the order cannot take effect if it arrives later.
        """
        outcome_unknown = outcomes.Refused(
            outcomes.RefusalCode.LOST,
            "the target became unreachable while the request was being sent",
            outcomes.Verdict.MAY_HAVE_RUN,
        )
        try:
            reply = link.attach(stream, block=True)
        except client.CALL_ERRORS:
            link.remove_stream(stream)
            return outcome_unknown
        if reply.known:
            return attempts.Attempt(
                stream.attempt,
                target_id,
                incarnation,
                link,
                stream,
                engine_version,
            )
        link.remove_stream(stream)
        if reply.target_incarnation != incarnation:
            # The agent that may have accepted the order no longer exists.
            return outcome_unknown
        return outcomes.refuse(
            outcomes.RefusalCode.NO_TARGET,
            "the request did not reach the target",
        )
