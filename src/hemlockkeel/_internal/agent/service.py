"""The Thrift service that an agent offers to entries."""

import collections.abc
import time

from hemlockkeel._internal.agent import answers
from hemlockkeel._internal.agent import driver
from hemlockkeel._internal.follower import follower
from hemlockkeel._internal.models import adapters
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.models import suspect_keys
from hemlockkeel._internal.rpc.gen.hk import ttypes

MAX_POLL_WAIT_S = 2.0

_STATE_REFUSALS = {
    follower.FollowerState.LEAVING: (
        outcomes.RefusalCode.LEAVING,
        "the target is shutting down",
    ),
    follower.FollowerState.JOINING: (
        outcomes.RefusalCode.NOT_READY,
        "the agent is not registered yet",
    ),
    follower.FollowerState.LEASE_LOST: (
        outcomes.RefusalCode.NOT_READY,
        "the agent has lost its lease",
    ),
    follower.FollowerState.SUPERSEDED: (
        outcomes.RefusalCode.STALE_TARGET,
        "another agent has taken over this target",
    ),
}


class AgentService:
    """Accepts work orders and serves their answers from any offset."""

    def __init__(
        self,
        follower: follower.Follower,
        store: answers.AnswerStore,
        target_id: str,
        get_wall_time: collections.abc.Callable[[], float] = time.time,
    ) -> None:
        self.follower = follower
        self.store = store
        self.target_id = target_id
        self.get_wall_time = get_wall_time
        self.driver: driver.TargetDriver | None = None

    def submit(self, order: ttypes.WorkOrder) -> ttypes.OrderReceipt:
        """Accept a work order, or refuse it with the verdict NOT_RUN.

        The verdict is MAY_HAVE_RUN if the attempt was received before.
        """
        refusal = self.check_order(order)
        if refusal is None:
            refusal = self.store.open(order)
            if refusal is None:
                refusal = self.queue_order(order)
        return self.make_receipt(refusal)

    def queue_order(self, order: ttypes.WorkOrder) -> outcomes.Refused | None:
        """Queue an order whose answer was opened in the store."""
        assert self.driver is not None
        refusal = self.driver.submit(order)
        if refusal is not None:
            self.store.discard(order.request_id)
        return refusal

    def check_order(self, order: ttypes.WorkOrder) -> outcomes.Refused | None:
        """Return a refusal if this agent must not run the order.

        Marks the order as suspect if its content or adapter is suspected of
        crashing targets.
        """
        state = self.follower.get_state()
        if state in _STATE_REFUSALS:
            code, message = _STATE_REFUSALS[state]
            return outcomes.refuse(code, message)
        own_identity = (self.target_id, self.follower.incarnation)
        if (order.target_id, order.target_incarnation) != own_identity:
            return outcomes.refuse(
                outcomes.RefusalCode.STALE_TARGET,
                "the order was sent to a different incarnation of this target",
            )
        catalog = self.follower.catalog
        ref = f"{order.adapter}{adapters.SEPARATOR}{order.adapter_version}"
        keys = suspect_keys.list_keys(
            order.content_digest, ref if order.adapter else ""
        )
        wall = self.get_wall_time()
        if any(catalog.is_quarantined(key, wall) for key in keys):
            return outcomes.refuse(
                outcomes.RefusalCode.QUARANTINED,
                "requests with the same content or adapter crashed several "
                "targets",
            )
        if any(map(catalog.is_suspect, keys)):
            order.suspect = True
        return None

    def make_receipt(
        self, refusal: outcomes.Refused | None
    ) -> ttypes.OrderReceipt:
        """Return the receipt of an order, with the current load."""
        assert self.driver is not None
        load = self.driver.get_load()
        if refusal is None:
            return ttypes.OrderReceipt(
                True, "", "", outcomes.Verdict.MAY_HAVE_RUN, 0, load
            )
        return ttypes.OrderReceipt(
            False,
            refusal.code.code,
            refusal.message,
            refusal.verdict,
            refusal.retry_after_ms or 0,
            load,
        )

    def poll(self, request: ttypes.PollRequest) -> ttypes.PollReply:
        """Return new frames for an entry, waiting if there are none yet."""
        assert self.driver is not None
        frames = self.store.poll(
            (request.owner, request.owner_incarnation),
            request.acknowledged,
            min(request.wait_ms / 1000.0, MAX_POLL_WAIT_S),
        )
        return ttypes.PollReply(
            frames,
            self.driver.get_load(request.adapters_epoch),
            self.target_id,
            self.follower.incarnation,
        )

    def attach(self, request: ttypes.AttachRequest) -> ttypes.AttachReply:
        """Let a stream of an entry read an answer from an offset."""
        answer, blocked = self.store.attach(request)
        return ttypes.AttachReply(
            known=answer is not None,
            blocked=blocked,
            target_incarnation=self.follower.incarnation,
            content_digest=answer.content_digest if answer else "",
        )

    def cancel(self, request: ttypes.CancelRequest) -> bool:
        """Remove a reader; cancel the attempt if no other one is left.

        Returns whether the attempt was cancelled.
        """
        assert self.driver is not None
        owner = (request.owner, request.owner_incarnation)
        unread = self.store.remove_reader(
            request.request_id, owner, request.reader
        )
        if not unread:
            return False
        return self.driver.cancel(request.request_id, request.attempt)
