"""Who is accepted with which keys, and for how long a proof allows them."""

import asyncio
import collections.abc
import random
import types
import typing
import unittest

from hemlockkeel._internal.coordinator import replicated_state
from hemlockkeel._internal.coordinator import version_reads
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.relay import authentication
from hemlockkeel._internal.relay import request_context
from hemlockkeel._internal.relay import version_proofs
from hemlockkeel._internal.routes import catalogue
from hemlockkeel._internal.routes import organisations
from hemlockkeel._internal.utils import clock
from hemlockkeel._internal.utils import instruments
from tests.lib import logs

KEY = b"key-1"
REVOKE_S = 5.0
ALPHA = organisations.Organisation(
    organisations.OrganisationName("alpha"), 3, None
)
DIRECTORY = organisations.Directory({organisations.make_digest(KEY): ALPHA})


class ManualClock(clock.SystemClock):
    """Clock that a test advances, also by the time of a suspension."""

    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now


class TestDecision(unittest.TestCase):
    """Decisions by keys and the age of the proof."""

    def check(
        self,
        keys: tuple[bytes, ...],
        age_s: float | None,
        expected: authentication.Outcome,
    ) -> None:
        proof = None
        if age_s is not None:
            proof = authentication.ProofAge(age_s, REVOKE_S)
        decision = authentication.authenticate(keys, DIRECTORY, proof)
        self.assertIs(decision.outcome, expected)
        accepted = expected is authentication.Outcome.ACCEPTED
        self.assertIs(decision.organisation, ALPHA if accepted else None)

    def test_keys(self) -> None:
        """A request without exactly one known key must not be accepted."""
        refused = authentication.Outcome.REFUSED
        self.check((KEY,), None, authentication.Outcome.ACCEPTED)
        for keys in ((), (b"",), (KEY, KEY), (b"x" * 257,), (b"key-2",)):
            with self.subTest(keys):
                self.check(keys, None, refused)
                self.check(keys, 0.5, refused)

    def test_age_of_the_proof(self) -> None:
        """Neither a revoked key may pass, nor a new one be refused."""
        outcomes = authentication.Outcome
        self.check((KEY,), 4.4, outcomes.ACCEPTED)
        self.check((KEY,), 4.5, outcomes.STALE)
        self.check((KEY,), float("inf"), outcomes.STALE)
        self.check((b"key-2",), 0.9, outcomes.REFUSED)
        self.check((b"key-2",), 1.0, outcomes.UNCONFIRMED)
        self.check((b"key-2",), float("inf"), outcomes.UNCONFIRMED)

    def test_readiness_ends_before_keys_are_refused(self) -> None:
        self.assertTrue(authentication.ProofAge(3.0, REVOKE_S).is_recent)
        self.assertFalse(authentication.ProofAge(3.1, REVOKE_S).is_recent)

    def test_priority_of_an_organisation_overrides_that_of_the_route(
        self,
    ) -> None:
        context = types.SimpleNamespace(
            organisation=ALPHA, route=types.SimpleNamespace(priority=1)
        )
        get_priority = request_context.RequestContext.priority.fget
        assert get_priority is not None
        self.assertEqual(get_priority(typing.cast(typing.Any, context)), 3)
        context.organisation = None
        self.assertEqual(get_priority(typing.cast(typing.Any, context)), 1)


class Member:
    """A control member whose replies a test chooses."""

    def __init__(self) -> None:
        self.reply: messages.AnyMessage | Exception = messages.VersionProof(
            done=True, version=1
        )
        self.calls = 0
        self.before_reply: collections.abc.Callable[[], None] = lambda: None

    async def call(
        self, message: messages.AnyMessage, timeout_s: float
    ) -> messages.AnyMessage:
        self.calls += 1
        self.before_reply()
        if isinstance(self.reply, Exception):
            raise self.reply
        return self.reply


class ProofCase(unittest.IsolatedAsyncioTestCase):
    """Base of the tests: an entry with version 1 and two members."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.log = logs.make_log()
        self.members = {"a": Member(), "b": Member()}
        self.fetched: list[int] = []
        self.proofs = self.make_proofs()
        self.proofs.handle_version(1)

    def make_proofs(self) -> version_proofs.VersionProofs:
        """Return the proofs of an entry that has just started."""
        control = types.SimpleNamespace(
            list_capable=lambda protocol: dict(self.members)
        )
        receiver = types.SimpleNamespace(
            fetch=lambda peer, version: self.fetched.append(version)
        )
        return version_proofs.VersionProofs(
            typing.cast(typing.Any, control),
            typing.cast(typing.Any, receiver),
            self.log,
            instruments.Instruments(),
            self.clock,
            REVOKE_S,
            random.Random(1),
        )

    def is_accepted(self) -> bool:
        """Return whether the known key is accepted now."""
        decision = authentication.authenticate(
            (KEY,), DIRECTORY, self.proofs.get_age()
        )
        return decision.outcome is authentication.Outcome.ACCEPTED


class TestRevocation(ProofCase):
    """Guards against entries that use a revoked key for too long."""

    async def test_entry_that_is_cut_off(self) -> None:
        self.assertTrue(await self.proofs.request_proof())
        self.assertTrue(self.is_accepted())
        self.members.clear()
        self.clock.now += 4.4
        self.assertFalse(await self.proofs.request_proof())
        self.assertTrue(self.is_accepted())
        self.assertFalse(self.proofs.is_recent())
        self.clock.now += 0.1
        self.assertFalse(self.is_accepted())

    async def test_entry_that_was_frozen(self) -> None:
        await self.proofs.request_proof()
        self.clock.now += 60.0
        self.assertFalse(self.is_accepted())

    async def test_entry_that_was_restarted(self) -> None:
        await self.proofs.request_proof()
        self.proofs = self.make_proofs()
        self.proofs.handle_version(1)
        self.assertFalse(self.is_accepted())

    async def test_entry_that_is_behind_by_a_version(self) -> None:
        await self.proofs.request_proof()
        for member in self.members.values():
            member.reply = messages.VersionProof(done=True, version=2)
        self.clock.now += 4.5
        self.assertTrue(await self.proofs.request_proof())
        self.assertFalse(self.is_accepted())
        self.proofs.handle_version(2)
        self.assertTrue(self.is_accepted())
        self.clock.now += 4.5
        self.assertFalse(self.is_accepted())

    async def test_late_reply_counts_from_its_call(self) -> None:
        def delay() -> None:
            self.clock.now += 4.0

        for member in self.members.values():
            member.before_reply = delay
        await self.proofs.request_proof()
        self.assertEqual(self.proofs.get_age().age_s, 4.0)
        self.clock.now += 0.5
        self.assertFalse(self.is_accepted())

    async def test_older_proof_does_not_replace_a_newer_one(self) -> None:
        self.proofs.record_proof(1, 99.0)
        self.proofs.record_proof(1, 98.0)
        self.assertEqual(self.proofs.get_age().age_s, 1.0)

    async def test_failures_prove_nothing_and_another_member_is_asked(
        self,
    ) -> None:
        failures: list[messages.AnyMessage | Exception] = [
            messages.VersionProof(done=False, version=1),
            messages.Outcome(done=True, index=1),
            TimeoutError(),
            link.LinkClosedError("closed"),
        ]
        for reply in failures:
            for member in self.members.values():
                member.reply, member.calls = reply, 0
            self.assertFalse(await self.proofs.request_proof())
            self.assertFalse(await self.proofs.request_proof())
            calls = [member.calls for member in self.members.values()]
            self.assertEqual(calls, [1, 1])
        self.assertFalse(self.is_accepted())

    async def test_changes_of_state_are_logged_once(self) -> None:
        await self.proofs.request_proof()
        self.clock.now += 10.0
        for _ in range(2):
            self.proofs.handle_change()
        await self.proofs.request_proof()
        self.assertEqual(
            [event for event, _ in self.log.lines],
            2 * ["key_proof_stale", "key_proof_renewed"],
        )
        self.assertIsNone(self.log.lines[0][1]["age"])

    async def test_unknown_key_waits_for_the_version_that_adds_it(
        self,
    ) -> None:
        for member in self.members.values():
            member.reply = messages.VersionProof(done=True, version=2)
        self.proofs.start()
        self.addCleanup(self.proofs.stop)
        waiting = asyncio.create_task(self.proofs.wait_until_confirmed())
        while not self.proofs.newest.outstanding:
            await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        self.proofs.handle_version(2)
        await waiting
        self.assertTrue(self.proofs.get_age().refutes_unknown_keys)


class TestVersionReads(unittest.IsolatedAsyncioTestCase):
    """Guards against proofs from reads that began before their calls."""

    async def test_calls_share_the_read_that_has_not_begun(self) -> None:
        begun: list[asyncio.Future[messages.Outcome]] = []

        async def read(timeout_s: float) -> messages.Outcome:
            begun.append(asyncio.get_running_loop().create_future())
            return await begun[-1]

        reads = version_reads.VersionReads(read)
        first = asyncio.create_task(reads.confirm())
        while not begun:
            await asyncio.sleep(0)
        later = [asyncio.create_task(reads.confirm()) for _ in range(9)]
        await asyncio.sleep(0)
        begun[0].set_result(messages.Outcome(done=True, index=1))
        self.assertEqual((await first).version, 1)
        while len(begun) < 2:
            await asyncio.sleep(0)
        begun[1].set_result(messages.Outcome(done=True, index=2))
        for task in later:
            self.assertEqual((await task).version, 2)
        self.assertEqual(len(begun), 2)

    async def test_leader_applies_what_it_has_committed_first(self) -> None:
        """Another member may have acknowledged the change again already."""
        member = types.SimpleNamespace(
            core=types.SimpleNamespace(commit_index=5),
            applied_index=4,
            has_lease=lambda: True,
        )
        replicated = catalogue.Catalogue(lambda: None)
        state = replicated_state.ReplicatedState(
            typing.cast(typing.Any, member),
            replicated,
            typing.cast(typing.Any, None),
            logs.make_log(),
        )
        self.assertFalse((await state.read_version(0.02)).done)
        task = asyncio.create_task(state.read_version(1.0))
        await asyncio.sleep(0)
        replicated.put_configuration(catalogue.PutConfiguration(7, b"body"))
        member.applied_index = 5
        outcome = await task
        self.assertEqual((outcome.index, outcome.data), (7, b""))
        member.has_lease = lambda: False
        refused = await state.read_applied_version(1.0)
        self.assertFalse(refused.done)
