"""Keeps the rates that targets name, together with all other entries.

An entry that learns of a limit tells the control members, which tell the
others. Before each request to such a target, it asks the member that issues
the permits for it. Without a permit, the request goes to another target. While
no member can be asked, the entry sends its part of the limit, so that it
notices when the limit is lifted.
"""

import asyncio
import collections
import collections.abc
import http
import random

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.links import dialer
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.policy import rate_share
from hemlockkeel._internal.policy import routing
from hemlockkeel._internal.relay import exchange
from hemlockkeel._internal.relay import target as target_module
from hemlockkeel._internal.utils import event_log
from hemlockkeel._internal.utils import instruments

PERMIT_TIMEOUT_S = 0.5
# Time after which the members are asked again.
FALLBACK_RECHECK_S = 1.0
MAX_NOTICES = 4096
# Characters of an invalid header value that are logged.
MAX_LOGGED_VALUE = 40


class RateLimits:
    """The limits that one entry knows, and its requests for permits."""

    def __init__(
        self,
        control: dialer.DialerSet,
        log: event_log.EventLog,
        metrics: instruments.Instruments,
        get_entry_count: collections.abc.Callable[[], int],
        rng: random.Random,
    ) -> None:
        self.control = control
        self.log = log
        self.instruments = metrics
        self.get_entry_count = get_entry_count
        self.rng = rng
        # When the next request may be sent without a permit, loop times.
        self.next_at: collections.OrderedDict[
            records.IncarnationKey, float
        ] = collections.OrderedDict()
        # Limits of targets that others were told.
        self.noticed: collections.OrderedDict[
            records.IncarnationKey, float
        ] = collections.OrderedDict()

    @property
    def now(self) -> float:
        """Return the time of the event loop in seconds."""
        return asyncio.get_running_loop().time()

    # What targets say

    def record_response(
        self,
        target: target_module.Target,
        response: exchange.ResponseHead,
        sent_at: float,
        wall_s: float,
    ) -> None:
        """Learn from a response whether its target limits its requests.

        ``sent_at`` is when the request was sent. Responses may overtake each
        other, so one to an earlier request does not lift a limit.
        """
        for value in response.metadata.invalid_rate_limits:
            self.log.write(
                "rate_limit_invalid",
                target=target.record.instance_id,
                value=value[:MAX_LOGGED_VALUE],
            )
        limit = response.metadata.rate_limit
        available = target.availability
        known = available.rate_limit
        if limit is not None:
            available.name_limit(limit, self.now, wall_s)
        elif (
            response.metadata.invalid_rate_limits
            or response.status == http.HTTPStatus.MISDIRECTED_REQUEST
            or sent_at <= available.limit_named_at
        ):
            return
        else:
            available.lift_limit()
        if limit != known:
            self.log_limit(target, limit, "response")
            self.notify_members(target, limit)

    def log_limit(
        self, target: target_module.Target, limit: float | None, source: str
    ) -> None:
        """Log and count a change of a limit."""
        self.instruments.events.labels("target_limited").inc()
        self.log.write(
            "target_limited",
            target=target.record.instance_id,
            born_ms=target.record.started_at_ms,
            limit=limit,
            source=source,
        )

    def notify_members(
        self, target: target_module.Target, limit: float | None
    ) -> None:
        """Tell the control members a limit, or that there is none."""
        notice = messages.RateLimitNotice(
            target=target.record.instance_id,
            started_at_ms=target.record.started_at_ms,
            limit=limit,
        )
        for peer in self.list_issuers().values():
            peer.send(notice)

    # What control members say

    def list_issuers(self) -> dict[str, link.Link]:
        """Return the links to the members that issue permits, by address."""
        return self.control.list_capable(messages.PERMIT_PROTOCOL)

    def handle_notice(
        self,
        notice: messages.RateLimitNotice,
        target: target_module.Target | None,
    ) -> None:
        """Apply a limit that another entry was told.

        ``target`` is the one that it is about, if it is known already.
        """
        key = records.IncarnationKey(
            records.InstanceId(notice.target), notice.started_at_ms
        )
        self.noticed.pop(key, None)
        if notice.limit is not None:
            self.noticed[key] = notice.limit
            if len(self.noticed) > MAX_NOTICES:
                self.noticed.popitem(last=False)
        if target is not None and target.incarnation_key == key:
            self.apply(target, notice.limit, "notice")

    def handle_added(self, target: target_module.Target) -> None:
        """Apply what is known of a target that has been announced."""
        limit = self.noticed.get(target.incarnation_key)
        if limit is not None:
            self.apply(target, limit, "notice")

    def apply(
        self, target: target_module.Target, limit: float | None, source: str
    ) -> None:
        """Apply a limit that this entry was not told by the target."""
        available = target.availability
        if (available.rate_limit is None) is (limit is None):
            return
        if limit is None:
            available.lift_limit()
        else:
            available.name_limit(limit, self.now, float("-inf"))
        self.log_limit(target, limit, source)

    # Permits

    async def acquire(self, target: target_module.Target) -> bool:
        """Return whether one request may be sent to a target now.

        If not, the target refuses requests until a permit is likely.
        """
        limit = target.availability.rate_limit
        if limit is None:
            return True
        permit = await self.request_permit(target, limit)
        if permit is None:
            permit = self.decide_alone(target.incarnation_key, limit)
        if permit.limit is None:
            self.apply(target, None, "permit")
        if permit.granted:
            return True
        target.availability.denied_until = self.now + permit.wait_s
        self.instruments.events.labels("permit_denied").inc()
        return False

    def decide_alone(
        self, key: records.IncarnationKey, limit: float
    ) -> messages.SendPermit:
        """Return whether to send a request while no member can be asked.

        All entries use equal parts of the limit, at random times.
        """
        interval_s = self.get_entry_count() / rate_share.get_rate(limit)
        due_at = self.next_at.get(key)
        if due_at is None:
            due_at = self.now + self.rng.uniform(0.0, interval_s)
        granted = due_at <= self.now
        if granted:
            due_at = self.now + interval_s
        self.next_at[key] = due_at
        if len(self.next_at) > MAX_NOTICES:
            self.next_at.popitem(last=False)
        wait_s = min(FALLBACK_RECHECK_S, due_at - self.now)
        return messages.SendPermit(granted=granted, wait_s=wait_s, limit=limit)

    async def request_permit(
        self, target: target_module.Target, limit: float
    ) -> messages.SendPermit | None:
        """Ask the member that issues a target's permits.

        Returns None if no member can be asked.
        """
        name = target.record.instance_id
        issuers = self.list_issuers()
        if not issuers:
            return None
        issuer = max(
            issuers,
            key=lambda address: routing.get_rendezvous_hash(name, address),
        )
        call = messages.AcquirePermit(
            target=name,
            started_at_ms=target.record.started_at_ms,
            limit=limit,
        )
        try:
            reply = await issuers[issuer].call(call, PERMIT_TIMEOUT_S)
        except (link.LinkClosedError, TimeoutError) as error:
            self.log.write(
                "permit_call_failed", peer=issuer, reason=str(error)
            )
            return None
        return reply if isinstance(reply, messages.SendPermit) else None
