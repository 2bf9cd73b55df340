"""Quotas at an entry, and the member that issues their credit."""

import asyncio
import concurrent.futures
import random
import types
import typing
import unittest

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.coordinator import credits
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.policy import credit
from hemlockkeel._internal.relay import quota_admission
from hemlockkeel._internal.relay import quotas
from hemlockkeel._internal.routes import catalogue
from hemlockkeel._internal.routes import organisations
from hemlockkeel._internal.utils import clock
from hemlockkeel._internal.utils import instruments
from tests.lib import logs
from tests.lib import quota_load

NAME = organisations.OrganisationName("o")
QUOTA = quota_load.make_quota(1000.0)
ORGANISATION = organisations.Organisation(NAME, None, QUOTA)
ENTRIES = 10


class SettableClock(clock.SystemClock):
    """A clock that a test moves."""

    now = 1000.0

    def monotonic(self) -> float:
        return self.now


class FakeNode:
    """What `credits.Credits` needs of a member's node."""

    def __init__(self) -> None:
        self.leading = True
        self.leader_address = ""
        self.core = types.SimpleNamespace(term=1)

    def has_lease(self) -> bool:
        return self.leading

    def get_leader_address(self) -> str:
        return self.leader_address


class FakeCodec:
    """Decodes bodies that are the rate of one organisation."""

    def __init__(self) -> None:
        self.decoded: list[bytes] = []

    def decode_quotas(
        self, body: bytes
    ) -> dict[organisations.OrganisationName, organisations.Quota]:
        self.decoded.append(body)
        if not body:
            raise exceptions.BadDeclarationError("empty")
        return {NAME: quota_load.make_quota(float(body))}


class Member:
    """A control member, which also stands for the link to it."""

    def __init__(self, own_clock: clock.Clock) -> None:
        self.node = FakeNode()
        self.codec = FakeCodec()
        self.catalogue = catalogue.Catalogue(lambda: None)
        self.catalogue.state = catalogue.CatalogueState(1, b"1000")
        self.executor = concurrent.futures.ThreadPoolExecutor(1)
        self.log = logs.make_log()
        self.credits = credits.Credits(
            typing.cast(typing.Any, self.node),
            self.catalogue,
            typing.cast(typing.Any, self.codec),
            self.executor,
            own_clock,
            self.log,
        )
        self.calls: list[messages.AcquireCredit] = []
        self.silent = False

    async def call(
        self, message: messages.AcquireCredit, timeout_s: float
    ) -> messages.AnyMessage:
        """Answer a call as over a link."""
        self.calls.append(message)
        if self.silent:
            await asyncio.sleep(60.0)
        return await self.credits.issue(message)

    async def issue(
        self, units: float, name: str = NAME
    ) -> messages.CreditGrant:
        """Answer a call for credit."""
        return await self.credits.issue(
            messages.AcquireCredit(organisation=name, units=units)
        )


class QuotaCase(unittest.IsolatedAsyncioTestCase):
    """Base of the tests: an entry and two members, the first the leader."""

    def setUp(self) -> None:
        self.clock = SettableClock()
        self.members = {name: Member(self.clock) for name in ("m1", "m2")}
        for member in self.members.values():
            self.addCleanup(member.executor.shutdown)
            member.node.leader_address = "m1"
        self.members["m2"].node.leading = False
        self.leader = self.members["m1"]
        self.log = logs.make_log()
        self.entry_count = ENTRIES
        self.quotas = quotas.Quotas(
            typing.cast(
                typing.Any,
                types.SimpleNamespace(list_capable=lambda _: self.members),
            ),
            self.log,
            instruments.Instruments(),
            lambda: self.entry_count,
            random.Random(1),
            self.clock,
            quota_load.TOLERANCE,
        )

    async def fill(self, seconds: float = 10.0) -> None:
        """Begin a term at the leader and fill its buckets."""
        await self.leader.issue(1.0)
        self.clock.now += seconds

    async def acquire(self, cost: float) -> quotas.QuotaDecision:
        return await self.quotas.acquire(ORGANISATION, cost)

    async def wait_for_probe(self) -> None:
        """Wait until the entry has looked for a leader."""
        assert self.quotas.probe_task is not None
        await self.quotas.probe_task


class TestIssuing(QuotaCase):
    """Guards against credit that two members issue, or of old limits."""

    async def test_only_the_leader_issues(self) -> None:
        grant = await self.members["m2"].issue(1.0)
        self.assertEqual(
            grant, messages.CreditGrant(decided=False, leader="m1")
        )

    async def test_buckets_are_empty_in_a_new_term(self) -> None:
        await self.fill()
        self.assertEqual((await self.leader.issue(500.0)).units, 500.0)
        self.leader.node.leading = False
        self.assertFalse((await self.leader.issue(1.0)).decided)
        self.leader.node.core.term = 3
        self.leader.node.leading = True
        self.assertEqual((await self.leader.issue(400.0)).units, 0.0)

    async def test_each_configuration_is_decoded_once(self) -> None:
        await self.fill()
        for _ in range(3):
            await self.leader.issue(1.0)
        self.leader.catalogue.state = catalogue.CatalogueState(2, b"100")
        await self.leader.issue(1.0)
        assert self.leader.credits.decoding is not None
        await self.leader.credits.decoding
        # The level is capped at the new burst.
        self.assertEqual((await self.leader.issue(90.0)).units, 90.0)
        self.assertEqual((await self.leader.issue(90.0)).units, 0.0)
        self.assertEqual(self.leader.codec.decoded, [b"1000", b"100"])

    async def test_storm_of_configurations_is_decoded_slowly(self) -> None:
        await self.fill()
        self.leader.credits.next_decoding_at = (
            asyncio.get_running_loop().time() + 0.05
        )
        for version in range(2, 200):
            self.leader.catalogue.state = catalogue.CatalogueState(
                version, b"%d" % version
            )
            self.assertEqual((await self.leader.issue(1.0)).units, 1.0)
        assert self.leader.credits.decoding is not None
        await self.leader.credits.decoding
        self.assertEqual(self.leader.codec.decoded, [b"1000", b"199"])

    async def test_organisation_without_a_quota(self) -> None:
        await self.fill()
        self.assertEqual((await self.leader.issue(1e9, "x")).units, 1e9)

    async def test_unreadable_configuration_keeps_the_limits(self) -> None:
        await self.fill()
        self.leader.catalogue.state = catalogue.CatalogueState(2, b"")
        await self.leader.issue(1.0)
        assert self.leader.credits.decoding is not None
        await self.leader.credits.decoding
        self.assertEqual((await self.leader.issue(2000.0)).units, 0.0)
        self.assertIn(
            "credit_limits_unreadable", [e for e, _ in self.leader.log.lines]
        )


class TestEntry(QuotaCase):
    """Guards against requests that wait for or run without credit."""

    async def test_redirect_is_followed_and_remembered(self) -> None:
        await self.fill()
        self.quotas.leader = "m2"
        self.assertTrue((await self.acquire(10.0)).granted)
        self.assertTrue((await self.acquire(500.0)).granted)
        self.assertEqual(len(self.members["m2"].calls), 1)
        self.assertEqual(self.quotas.leader, "m1")

    async def test_refusal_names_a_wait(self) -> None:
        await self.fill(0.0)
        decision = await self.acquire(900.0)
        self.assertFalse(decision.granted)
        self.assertGreater(decision.wait_s, quotas.MAX_HOLD_S)

    async def test_short_wait_is_spent_here(self) -> None:
        await self.fill(0.45)
        waiting = asyncio.create_task(self.acquire(800.0))
        await asyncio.sleep(0.01)
        self.assertFalse(waiting.done())
        self.clock.now += 0.2
        self.assertTrue((await waiting).granted)

    async def test_concurrent_requests_share_a_refusal(self) -> None:
        await self.fill(0.0)
        self.leader.calls.clear()
        decisions = await asyncio.gather(
            *(self.acquire(900.0) for _ in range(50))
        )
        self.assertFalse(any(decision.granted for decision in decisions))
        self.assertLessEqual(len(self.leader.calls), 2)

    async def test_credit_of_a_request_that_never_ran_is_used(self) -> None:
        await self.fill()
        self.assertTrue((await self.acquire(1000.0)).granted)
        self.quotas.give_back(ORGANISATION, 1000.0)
        calls = len(self.leader.calls)
        self.assertTrue((await self.acquire(1000.0)).granted)
        self.assertEqual(len(self.leader.calls), calls)

    async def test_organisation_without_a_quota_needs_no_leader(self) -> None:
        free = organisations.Organisation(NAME, None, None)
        decision = await self.quotas.acquire(free, 1e9)
        self.assertTrue(decision.granted)
        self.assertFalse(self.quotas.accounts)

    async def test_removed_organisations_are_forgotten(self) -> None:
        await self.fill()
        await self.acquire(1.0)
        key = organisations.make_digest(b"k")
        self.quotas.handle_configuration(
            organisations.Directory({key: ORGANISATION})
        )
        self.assertTrue(self.quotas.accounts)
        self.quotas.handle_configuration(None)
        self.assertFalse(self.quotas.accounts)

    async def test_idle_organisations_are_forgotten(self) -> None:
        await self.fill()
        await self.acquire(1.0)
        self.clock.now += quotas.RETENTION_S + 1.0
        self.quotas.expire()
        self.assertFalse(self.quotas.accounts)


class TestIsolation(QuotaCase):
    """Guards against requests that hang, and quotas used up, alone."""

    async def test_silent_leader_delays_one_request(self) -> None:
        for member in self.members.values():
            member.silent = True
        loop = asyncio.get_running_loop()
        begun_at = loop.time()
        await asyncio.gather(*(self.acquire(300.0) for _ in range(20)))
        waited_s = loop.time() - begun_at
        self.assertLess(waited_s, quotas.CALL_TIMEOUT_S + 0.4)
        self.assertIsNotNone(self.quotas.isolated_at)

    async def test_part_of_the_rate_is_used_without_a_leader(self) -> None:
        self.members.clear()
        granted = 0.0
        for _ in range(5000):
            self.clock.now += 0.02
            answer = await self.quotas.decide(NAME, QUOTA, 100.0)
            granted += 100.0 * answer.granted
        long_s = 100.0 - credit.LONG_ISOLATION_S
        full_s = credit.LONG_ISOLATION_S + (
            long_s * credit.LONG_ISOLATION_SHARE
        )
        total = full_s * QUOTA.rate + (
            credit.ISOLATION_TOLERANCE_SHARE * quota_load.ALLOWED_TOKENS
        )
        self.assertAlmostEqual(granted, total / ENTRIES, delta=300.0)

    async def test_leader_is_found_again(self) -> None:
        await self.fill()
        self.leader.node.leading = False
        self.leader.node.leader_address = ""
        await self.acquire(300.0)
        self.assertIsNotNone(self.quotas.isolated_at)
        # An election has ended.
        new = self.members["m2"]
        new.node.leading = True
        new.node.core.term = 2
        for member in self.members.values():
            member.node.leader_address = "m2"
        await self.wait_for_probe()
        self.assertIsNone(self.quotas.isolated_at)
        self.assertEqual(self.quotas.leader, "m2")
        events = [event for event, _ in self.log.lines]
        self.assertIn("credit_leader_lost", events)
        self.assertIn("credit_leader_found", events)

    async def test_unknown_number_of_entries_grants_nothing(self) -> None:
        self.members.clear()
        self.entry_count = 0
        decision = await self.acquire(300.0)
        self.assertEqual(
            decision,
            quotas.QuotaDecision(False, quotas.UNKNOWN_COUNT_WAIT_S),
        )


class TestAdmission(QuotaCase):
    """Guards against refusals without Retry-After, and lost credit."""

    def make_context(self, tokens: int) -> typing.Any:
        """Return what admission needs of a request's context."""
        self.responses: list[tuple[int, typing.Any, dict[bytes, bytes]]] = []
        return types.SimpleNamespace(
            metadata=types.SimpleNamespace(
                prompt_tokens=tokens, max_output_tokens=0
            ),
            shared=types.SimpleNamespace(
                quotas=self.quotas, rng=random.Random(1)
            ),
            organisation=ORGANISATION,
            charge=None,
            verdict=outcomes.Verdict.NOT_RUN,
            log_event=self.log.write,
            respond=lambda status, cause, reason, extra: self.responses.append(
                (status, cause, dict(extra))
            ),
        )

    async def test_refusal_names_a_time(self) -> None:
        await self.fill(0.0)
        context = self.make_context(900)
        self.assertFalse(await quota_admission.admit(context))
        [(status, cause, head)] = self.responses
        self.assertEqual((status, cause.value), (429, "quota_exceeded"))
        wait_s = float(head[b"Retry-After"])
        self.assertGreater(wait_s, 0.6)
        self.assertLess(wait_s, 1.5)

    async def settle(self, verdict: outcomes.Verdict) -> float:
        """Admit a request and end it; return the credit held after that."""
        await self.fill()
        context = self.make_context(200)
        self.assertTrue(await quota_admission.admit(context))
        context.verdict = verdict
        quota_admission.settle(context)
        # As when a connection ends after its request.
        quota_admission.settle(context)
        return self.quotas.accounts[NAME].credit.get_held(self.clock.now)

    async def test_request_that_never_ran_is_not_charged(self) -> None:
        self.assertEqual(await self.settle(outcomes.Verdict.NOT_RUN), 200.0)

    async def test_request_that_may_have_run_is_charged(self) -> None:
        verdict = outcomes.Verdict.MAY_HAVE_RUN
        self.assertEqual(await self.settle(verdict), 0.0)
