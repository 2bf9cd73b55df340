"""Issues credit of organisations while this member is the leader."""

import asyncio
import concurrent.futures

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.consensus import node
from hemlockkeel._internal.coordinator import api
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.policy import credit
from hemlockkeel._internal.routes import catalogue
from hemlockkeel._internal.routes import organisations
from hemlockkeel._internal.utils import clock
from hemlockkeel._internal.utils import event_log

# The time between the starts of two decodings is at least this multiple of
# the duration of the first, so that a storm of configurations costs 4% of a
# core; but never longer than the bound, since a lowered limit must hold soon.
DECODING_COST_RATIO = 25.0
MAX_DECODING_INTERVAL_S = 2.0
# Time for which a call waits for the limits; entries wait 0.5 s for a reply.
LIMITS_TIMEOUT_S = 0.3
# Wait of callers while the limits are unknown.
UNKNOWN_LIMITS_WAIT_S = 0.5
EXPIRY_INTERVAL_S = 30.0


class Credits:
    """Credit that one control member issues, and the limits it follows.

    Only a leader with a lease issues: no other member does so at that time.
    Limits are those of the newest configuration that this member has
    applied. While it is decoded, those before are in force.
    """

    def __init__(
        self,
        member: node.Node,
        replicated: catalogue.Catalogue,
        codec: api.ApiCodec,
        decoder: concurrent.futures.Executor,
        own_clock: clock.Clock,
        log: event_log.EventLog,
        tolerance: credit.Tolerance = credit.NO_TOLERANCE,
    ) -> None:
        self.node = member
        self.tolerance = tolerance
        self.catalogue = replicated
        self.codec = codec
        self.decoder = decoder
        self.clock = own_clock
        self.log = log
        self.issuer = credit.CreditIssuer()
        self.entries = credit.EntryCount()
        # Term in which the buckets were filled.
        self.term = -1
        # Version of the configuration that the quotas are from.
        self.version = 0
        self.quotas: dict[
            organisations.OrganisationName, organisations.Quota
        ] = {}
        self.decoding: asyncio.Task[None] | None = None
        self.next_decoding_at = 0.0
        self.expired_at = 0.0

    async def issue(
        self, call: messages.AcquireCredit
    ) -> messages.CreditGrant:
        """Return the reply to an entry that needs credit."""
        if not self.node.has_lease():
            return self.redirect()
        name = organisations.OrganisationName(call.organisation)
        self.update_limits()
        if name not in self.quotas and self.decoding is not None:
            await asyncio.wait({self.decoding}, timeout=LIMITS_TIMEOUT_S)
            if not self.node.has_lease():
                return self.redirect()
        quota = self.quotas.get(name)
        if quota is None:
            return self.answer_without_quota(call)
        now = self.clock.monotonic()
        self.follow_term(now)
        self.issuer.share = self.entries.get_share(now)
        issued = self.issuer.issue(name, quota, call.units, call.prefetch, now)
        return messages.CreditGrant(
            decided=True,
            units=issued.units,
            wait_s=issued.wait_s,
            lifetime_s=credit.CREDIT_LIFETIME_S,
            level=issued.level,
        )

    def redirect(self) -> messages.CreditGrant:
        """Return a reply that names the leader."""
        return messages.CreditGrant(
            decided=False, leader=self.node.get_leader_address()
        )

    def answer_without_quota(
        self, call: messages.AcquireCredit
    ) -> messages.CreditGrant:
        """Return the reply for an organisation that has no known quota.

        It has no limit, unless the newest configuration is not decoded yet.
        """
        if self.version != self.catalogue.state.version and call.units > 0.0:
            return messages.CreditGrant(
                decided=True, wait_s=UNKNOWN_LIMITS_WAIT_S
            )
        return messages.CreditGrant(
            decided=True,
            units=call.units,
            lifetime_s=credit.CREDIT_LIFETIME_S,
        )

    def follow_term(self, now: float) -> None:
        """Empty the buckets at the first call of a term as the leader."""
        term = self.node.core.term
        if term == self.term:
            return
        self.term = term
        self.issuer.begin_term(now)
        self.log.write(
            "credit_term", term=term, organisations=len(self.quotas)
        )

    # Limits

    def update_limits(self) -> None:
        """Begin to decode the newest configuration, unless that is done."""
        if self.decoding is not None:
            return
        if self.version == self.catalogue.state.version:
            return
        self.decoding = asyncio.get_running_loop().create_task(self.decode())

    async def decode(self) -> None:
        """Decode the newest configuration outside the event loop."""
        loop = asyncio.get_running_loop()
        try:
            delay_s = self.next_decoding_at - loop.time()
            if self.version:
                await asyncio.sleep(max(0.0, delay_s))
            state = self.catalogue.state
            begun_at = loop.time()
            try:
                decoded = await loop.run_in_executor(
                    self.decoder, self.codec.decode_quotas, state.body
                )
                self.quotas = {
                    name: self.tolerance.apply(quota)
                    for name, quota in decoded.items()
                }
            except exceptions.BadDeclarationError as error:
                self.log.write(
                    "credit_limits_unreadable",
                    version=state.version,
                    reason=str(error),
                )
            duration_s = loop.time() - begun_at
            self.next_decoding_at = begun_at + min(
                MAX_DECODING_INTERVAL_S, DECODING_COST_RATIO * duration_s
            )
            self.version = state.version
            self.log.write(
                "credit_limits",
                version=state.version,
                organisations=len(self.quotas),
                seconds=round(duration_s, 4),
            )
        finally:
            self.decoding = None

    def expire(self, now: float) -> None:
        """Follow the term and forget old buckets; called once a second.

        Buckets are filled from the beginning of the term, not from its first
        call.
        """
        if self.node.has_lease():
            self.follow_term(now)
        if now - self.expired_at < EXPIRY_INTERVAL_S:
            return
        self.expired_at = now
        self.issuer.expire(now)
