"""Keeps the limits of targets, tells entries and issues their permits."""

import random

from hemlockkeel._internal.coordinator import send_permits
from hemlockkeel._internal.coordinator import subscribers
from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.utils import event_log


class RateLimits:
    """The limits that one control member has been told of."""

    def __init__(
        self,
        listeners: subscribers.Subscribers,
        log: event_log.EventLog,
        rng: random.Random,
    ) -> None:
        self.subscribers = listeners
        self.log = log
        self.permits = send_permits.SendPermits(rng)

    def handle_notice(
        self, notice: messages.RateLimitNotice, now: float
    ) -> None:
        """Store a target's limit; tell entries of a new or a lifted one."""
        key = make_target_key(notice.target, notice.started_at_ms)
        if not self.permits.set_limit(key, notice.limit, now):
            return
        self.log.write(
            "target_limited",
            target=notice.target,
            born_ms=notice.started_at_ms,
            limit=notice.limit,
        )
        self.subscribers.send_to_permit_users(notice)

    def send_all(self, peer: link.Link) -> None:
        """Send an entry that has connected the limits in force."""
        if peer.protocol < messages.PERMIT_PROTOCOL:
            return
        for notice in self.permits.list_notices():
            peer.send(notice)

    def issue_permit(
        self, peer: link.Link, call: messages.AcquirePermit, now: float
    ) -> messages.SendPermit:
        """Return the reply to an entry that wants to send a request."""
        return self.permits.acquire(
            make_target_key(call.target, call.started_at_ms),
            call.limit,
            peer.name,
            now,
        )

    def expire(self, now: float) -> None:
        """Tell entries of delayed changes; forget limits not used any more."""
        for notice in self.permits.take_delayed_notices(now):
            self.subscribers.send_to_permit_users(notice)
        self.permits.expire(now)


def make_target_key(target: str, started_at_ms: int) -> records.IncarnationKey:
    """Return the key of a target's incarnation."""
    return records.IncarnationKey(records.InstanceId(target), started_at_ms)
