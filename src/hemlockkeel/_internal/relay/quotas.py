"""Keeps organisations within their quotas, together with all other entries.

The leader of the control members issues credit. An entry asks it before a
request runs, unless it holds enough credit. While no leader answers, it uses
its part of the rates alone.
"""

import asyncio
import collections.abc
import dataclasses
import random

from hemlockkeel._internal.links import dialer
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.policy import credit
from hemlockkeel._internal.routes import organisations
from hemlockkeel._internal.utils import clock
from hemlockkeel._internal.utils import event_log
from hemlockkeel._internal.utils import instruments
from hemlockkeel._internal.utils import supervision

# Time for which a request waits for a leader's reply.
CALL_TIMEOUT_S = 0.5
# Time after which a member is asked again whether a leader answers, from the
# first to the later times.
MIN_PROBE_INTERVAL_S = 0.2
MAX_PROBE_INTERVAL_S = 0.5
PROBE_INTERVAL_GROWTH = 1.5
# A request for which credit is expected this soon waits for it, which costs
# its caller less than coming back.
MAX_HOLD_S = 0.25
# Wait of callers while the number of entries is unknown. Control members
# announce it once a second.
UNKNOWN_COUNT_WAIT_S = 0.5
# Organisations without a request for this time are forgotten.
RETENTION_S = 60.0
EXPIRY_INTERVAL_S = 10.0


@dataclasses.dataclass(frozen=True)
class QuotaDecision:
    """Whether a request may run."""

    granted: bool
    # Time after which there may be credit if not, seconds.
    wait_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Charge:
    """What one request has taken from a quota."""

    organisation: organisations.Organisation
    cost: float


class Account:
    """Credit of one organisation; one request at a time asks for it."""

    def __init__(
        self,
        quota: organisations.Quota,
        now: float,
        tolerance: credit.Tolerance,
    ) -> None:
        self.credit = credit.EntryAccount(quota, now, tolerance)
        self.lock = asyncio.Lock()


class Quotas:
    """The quotas of organisations at one entry."""

    def __init__(
        self,
        control: dialer.DialerSet,
        log: event_log.EventLog,
        metrics: instruments.Instruments,
        get_entry_count: collections.abc.Callable[[], int],
        rng: random.Random,
        own_clock: clock.Clock,
        tolerance: credit.Tolerance = credit.NO_TOLERANCE,
    ) -> None:
        self.control = control
        self.tolerance = tolerance
        self.log = log
        self.instruments = metrics
        # Returns 0 while no control member has announced the number.
        self.get_entry_count = get_entry_count
        self.rng = rng
        self.clock = own_clock
        self.accounts: dict[organisations.OrganisationName, Account] = {}
        # Address of the member that has answered as the leader.
        self.leader = ""
        # When the leader was lost; None while it answers.
        self.isolated_at: float | None = None
        self.probe_task: asyncio.Task[None] | None = None
        self.expired_at = 0.0

    async def acquire(
        self, organisation: organisations.Organisation, cost: float
    ) -> QuotaDecision:
        """Return whether a request may run; wait shortly for its credit."""
        if organisation.quota is None or cost <= 0.0:
            return QuotaDecision(True)
        answer = await self.decide(organisation.name, organisation.quota, cost)
        if not answer.granted and answer.wait_s <= MAX_HOLD_S:
            self.instruments.events.labels("quota_held").inc()
            await asyncio.sleep(answer.wait_s)
            answer = await self.decide(
                organisation.name, organisation.quota, cost
            )
        if not answer.granted:
            self.instruments.events.labels("quota_refused").inc()
        return QuotaDecision(answer.granted, answer.wait_s)

    def give_back(
        self, organisation: organisations.Organisation, cost: float
    ) -> None:
        """Keep the credit of a request that never ran for another one."""
        account = self.accounts.get(organisation.name)
        if account is None or cost <= 0.0:
            return
        account.credit.give_back(cost, self.clock.monotonic())

    def handle_configuration(
        self, directory: organisations.Directory | None
    ) -> None:
        """Forget organisations that a new configuration does not limit.

        Other limits apply with the next request of their organisation.
        """
        limited = organisations.list_quotas(directory)
        for name in [name for name in self.accounts if name not in limited]:
            del self.accounts[name]

    def expire(self) -> None:
        """Forget organisations that send nothing; called periodically."""
        now = self.clock.monotonic()
        if now - self.expired_at < EXPIRY_INTERVAL_S:
            return
        self.expired_at = now
        self.accounts = {
            name: account
            for name, account in self.accounts.items()
            if account.lock.locked()
            or now - account.credit.used_at < RETENTION_S
        }

    def get_account(
        self,
        name: organisations.OrganisationName,
        quota: organisations.Quota,
    ) -> Account:
        """Return the account of an organisation under its newest quota."""
        account = self.accounts.get(name)
        if account is None:
            account = Account(quota, self.clock.monotonic(), self.tolerance)
            self.accounts[name] = account
        account.credit.set_quota(quota)
        return account

    async def decide(
        self,
        name: organisations.OrganisationName,
        quota: organisations.Quota,
        cost: float,
    ) -> credit.Answer:
        """Decide on a request, asking the leader if necessary.

        Requests that arrive during a call wait for its reply, which often
        decides on them as well.
        """
        account = self.get_account(name, quota)
        async with account.lock:
            asked_at = self.clock.monotonic()
            answer = account.credit.decide(cost, asked_at)
            if answer is not None:
                return answer
            call = messages.AcquireCredit(
                organisation=name,
                units=cost,
                prefetch=account.credit.get_prefetch(asked_at),
            )
            grant = await self.ask_leader(call)
            now = self.clock.monotonic()
            if grant is None:
                return self.decide_alone(account.credit, cost, now)
            if grant.units < cost:
                return account.credit.record_refusal(cost, grant.wait_s, now)
            issue = credit.Issue(grant.units, level=grant.level)
            return account.credit.record_grant(
                cost, issue, asked_at + grant.lifetime_s, now
            )

    def decide_alone(
        self, account: credit.EntryAccount, cost: float, now: float
    ) -> credit.Answer:
        """Decide on a request while no leader answers."""
        self.instruments.events.labels("quota_decided_alone").inc()
        entry_count = self.get_entry_count()
        if entry_count <= 0:
            return credit.Answer(False, UNKNOWN_COUNT_WAIT_S)
        isolated_at = now if self.isolated_at is None else self.isolated_at
        return account.decide_alone(
            cost, entry_count, isolated_at, self.rng, now
        )

    # Calls to the leader

    async def ask_leader(
        self, call: messages.AcquireCredit
    ) -> messages.CreditGrant | None:
        """Return the leader's reply; None while no leader answers.

        After one failure, requests do not wait for the leader until a probe
        in the background has found one.
        """
        if self.isolated_at is not None:
            return None
        grant = await self.call_leader(call)
        if grant is None and self.isolated_at is None:
            self.isolated_at = self.clock.monotonic()
            self.log.write("credit_leader_lost", leader=self.leader)
            self.instruments.events.labels("credit_leader_lost").inc()
            self.probe_task = asyncio.get_running_loop().create_task(
                supervision.keep_running(self.probe, self.log)
            )
        return grant

    async def probe(self) -> None:
        """Ask one member after the other until a leader answers."""
        call = messages.AcquireCredit(organisation="", units=0.0)
        interval_s = MIN_PROBE_INTERVAL_S
        while self.isolated_at is not None:
            await asyncio.sleep(interval_s * self.rng.uniform(0.7, 1.0))
            interval_s = min(
                MAX_PROBE_INTERVAL_S, interval_s * PROBE_INTERVAL_GROWTH
            )
            # The leader that was lost may be cut off from the others.
            self.leader = ""
            if await self.call_leader(call) is not None:
                self.isolated_at = None
        self.log.write("credit_leader_found", leader=self.leader)

    async def call_leader(
        self, call: messages.AcquireCredit
    ) -> messages.CreditGrant | None:
        """Send a call to the leader, which another member may name."""
        members = self.control.list_capable(messages.CREDIT_PROTOCOL)
        if not members:
            return None
        address = self.leader
        if address not in members:
            address = self.rng.choice(sorted(members))
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                grant = await self.call_member(address, members, call)
                if grant is None or grant.decided:
                    return grant
                if grant.leader in ("", address):
                    return None
                grant = await self.call_member(grant.leader, members, call)
        except (link.LinkClosedError, TimeoutError) as error:
            self.log.write(
                "credit_call_failed",
                peer=address,
                reason=str(error) or type(error).__name__,
            )
            return None
        return grant if grant is not None and grant.decided else None

    async def call_member(
        self,
        address: str,
        members: dict[str, link.Link],
        call: messages.AcquireCredit,
    ) -> messages.CreditGrant | None:
        """Send a call to one member, and remember it if it is the leader."""
        peer = members.get(address)
        if peer is None:
            return None
        reply = await peer.call(call, CALL_TIMEOUT_S)
        if not isinstance(reply, messages.CreditGrant):
            return None
        if reply.decided:
            self.leader = address
        return reply
