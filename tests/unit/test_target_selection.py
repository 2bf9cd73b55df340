"""Which target gets a request."""

import dataclasses
import random
import unittest

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.orders import backlog
from hemlockkeel._internal.relay import header_codec
from hemlockkeel._internal.relay import target_registry
from hemlockkeel._internal.relay import target_selection
from hemlockkeel._internal.relay import waits

SERVICE = records.ServiceName("s")


def make_record(name: str, **changes: object) -> records.TargetRecord:
    """Return a ready target in dc1."""
    fields: dict[str, object] = {
        "instance_id": records.InstanceId(name),
        "service": SERVICE,
        "address": f"{name}:80",
        "data_centre": "dc1",
        "state": records.TargetState.READY,
        "sequence": 1,
        "started_at_ms": 1,
        "slots": 6,
    }
    fields.update(changes)
    return records.TargetRecord(**fields)


def make_candidate(name: str, **changes: object) -> target_selection.Candidate:
    """Return an idle target."""
    fields: dict[str, object] = {
        "record": make_record(name),
        "in_flight": 0,
        "in_flight_prefill_tokens": 0,
        "running": 0,
        "waiting": 0,
        "slots": 6,
        "failure_share": 0.0,
    }
    fields.update(changes)
    return target_selection.Candidate(**fields)


def make_engine(**changes: object) -> target_selection.EngineView:
    """Return an engine with free slots that may be ordered to load."""
    view = target_selection.EngineView(
        adapter_slots=2, kv_total=100_000, can_load=True
    )
    return dataclasses.replace(view, **changes)


class ChoiceCase(unittest.TestCase):
    """Chooses among candidates with a fixed seed."""

    def choose(
        self,
        requirements: target_selection.Requirements,
        *candidates: target_selection.Candidate,
    ) -> str:
        chosen = target_selection.select_target(
            requirements, list(candidates), random.Random(1)
        )
        assert chosen is not None
        return chosen.record.instance_id


class TestPlain(ChoiceCase):
    """Plain services."""

    NEED = target_selection.Requirements("dc1")

    def test_none(self) -> None:
        self.assertIsNone(
            target_selection.select_target(self.NEED, [], random.Random(1))
        )

    def test_free_place_before_a_full_target(self) -> None:
        full = make_candidate("a", running=6, waiting=3)
        free = make_candidate("b", running=2)
        self.assertEqual(self.choose(self.NEED, full, free), "b")

    def test_own_requests_count_before_they_are_reported(self) -> None:
        self.assertEqual(
            self.choose(
                self.NEED,
                make_candidate("a", in_flight=5),
                make_candidate("b"),
            ),
            "b",
        )

    def test_failing_target_comes_last(self) -> None:
        failing = make_candidate("a", failure_share=0.5)
        busy = make_candidate("b", running=6, waiting=6)
        self.assertEqual(self.choose(self.NEED, failing, busy), "b")

    def test_silent_target_comes_after_a_heard_one(self) -> None:
        silent = make_candidate("a", silence_ratio=0.9)
        heard = make_candidate("b", running=3)
        self.assertEqual(self.choose(self.NEED, silent, heard), "b")


class TestEngines(ChoiceCase):
    """Engines with adapters, memory and prompts."""

    NEED = target_selection.Requirements("dc1", "m/a1", 9000, 50)

    def test_held_adapter_before_a_load(self) -> None:
        held = make_candidate(
            "a", engine=make_engine(loaded=frozenset({"m/a1"})), running=5
        )
        empty = make_candidate("b", engine=make_engine())
        self.assertEqual(self.choose(self.NEED, held, empty), "a")

    def test_adapter_held_lately_before_the_store(self) -> None:
        lately = make_candidate(
            "a", engine=make_engine(), recently_loaded=True, running=3
        )
        never = make_candidate("b", engine=make_engine())
        self.assertEqual(self.choose(self.NEED, lately, never), "a")

    def test_free_slot_before_slots_in_use(self) -> None:
        used = frozenset({"m/x", "m/y"})
        full = make_candidate(
            "a",
            engine=make_engine(loaded=used, slot_waits_s=(0.6,)),
        )
        free = make_candidate("b", engine=make_engine(), running=4)
        self.assertEqual(self.choose(self.NEED, full, free), "b")

    def test_unread_prompts_of_other_entries_count(self) -> None:
        held = frozenset({"m/a1"})
        busy = make_candidate(
            "a", engine=make_engine(loaded=held), prefill_backlog=40_000
        )
        calm = make_candidate("b", engine=make_engine(loaded=held))
        self.assertEqual(self.choose(self.NEED, busy, calm), "b")

    def test_full_memory_is_avoided(self) -> None:
        held = frozenset({"m/a1"})
        full = make_candidate(
            "a", engine=make_engine(loaded=held, kv_used=98_000)
        )
        calm = make_candidate(
            "b", engine=make_engine(loaded=held), prefill_backlog=5000
        )
        self.assertEqual(self.choose(self.NEED, full, calm), "b")

    def test_agent_that_cannot_order_only_serves_what_is_held(self) -> None:
        stuck = make_candidate("a", engine=make_engine(can_load=False))
        busy = make_candidate(
            "b", engine=make_engine(slot_waits_s=(0.5,)), running=6
        )
        self.assertEqual(self.choose(self.NEED, stuck, busy), "b")

    def test_same_new_adapter_goes_to_the_same_target(self) -> None:
        names = [f"t{number}" for number in range(5)]
        chosen = set()
        for seed in range(10):
            candidates = [
                make_candidate(name, engine=make_engine()) for name in names
            ]
            random.Random(seed).shuffle(candidates)
            found = target_selection.select_target(
                self.NEED, candidates, random.Random(seed)
            )
            assert found is not None
            chosen.add(found.record.instance_id)
        self.assertEqual(len(chosen), 1)


class TestPatience(unittest.TestCase):
    """How long a request may wait for an adapter."""

    PATIENCE = waits.WaitLimits(
        arrived_at=10.0,
        deadline_at=16.0,
        objective_s=1.0,
        priority=2,
        uncached_tokens=int(backlog.PREFILL_TOKENS_PER_S / 4),
    )

    def test_reading_takes_part_of_the_objective(self) -> None:
        self.assertAlmostEqual(self.PATIENCE.get_slo_budget_s(10.5), 0.25)

    def test_contended_slots_are_for_who_can_be_on_time(self) -> None:
        self.assertTrue(self.PATIENCE.may_wait_for_slot(0.9, 10.0))
        self.assertFalse(self.PATIENCE.may_wait_for_slot(1.1, 10.0))
        self.assertFalse(self.PATIENCE.may_wait_for_slot(0.1, 11.0))
        self.assertTrue(self.PATIENCE.may_wait_for_slot(0.0, 11.0))

    def test_wait_ends_within_half_of_the_time(self) -> None:
        self.assertAlmostEqual(self.PATIENCE.get_adapter_wait_s(10.0), 1.25)
        self.assertAlmostEqual(self.PATIENCE.get_adapter_wait_s(12.3), 0.2)
        short = dataclasses.replace(self.PATIENCE, deadline_at=10.5)
        self.assertAlmostEqual(short.get_adapter_wait_s(10.0), 0.25)
        self.assertGreater(short.get_adapter_wait_s(11.0), 0.0)

    def test_late_request_runs_behind_others(self) -> None:
        self.assertEqual(self.PATIENCE.get_target_priority(10.5), 2)
        self.assertGreater(self.PATIENCE.get_target_priority(11.0), 2)


class TestBacklog(unittest.TestCase):
    """Prompt tokens left to read."""

    def test_tokens_are_read_at_the_engines_rate(self) -> None:
        left = backlog.PrefillBacklog()
        left.add(38_700, 10.0)
        self.assertAlmostEqual(left.get(10.5), 19_350)
        left.add(1000, 10.5)
        self.assertAlmostEqual(left.get(10.5), 20_350)
        self.assertEqual(left.get(20.0), 0.0)


class TestTargetRegistry(unittest.TestCase):
    """What an entry knows of targets."""

    FACTS = header_codec.RequestMetadata("r")

    def setUp(self) -> None:
        self.registry = target_registry.TargetRegistry(heartbeat_s=1.0)
        self.registry.advance_contact(0.0, True)

    def list(self, now: float) -> list[str]:
        return [
            candidate.record.instance_id
            for candidate in self.registry.list_candidates(
                SERVICE, self.FACTS, now, set()
            )
        ]

    def test_silence_counts_only_in_contact(self) -> None:
        self.registry.merge(make_record("a"))
        self.registry.advance_contact(100.0, False)
        self.assertEqual(self.list(100.0), ["a"])
        self.registry.advance_contact(107.0, True)
        self.assertEqual(self.list(107.0), [])

    def test_new_start_knows_nothing_of_before(self) -> None:
        self.registry.merge(make_record("a"))
        target = self.registry.targets[records.InstanceId("a")]
        target.in_flight = 3
        self.registry.merge(make_record("a", started_at_ms=2))
        self.assertEqual(
            self.registry.targets[records.InstanceId("a")].in_flight, 0
        )

    def test_agents_word_goes_to_the_start_that_runs(self) -> None:
        """A restarted engine without a birth on the wire is used again."""
        known = target_registry.TargetRegistry(heartbeat_s=1.2)
        changes = {"models": [], "address": "10.0.0.1:80", "started_at_ms": 0}
        known.merge(make_record("old", **changes))
        known.advance_contact(0.0, True)
        known.advance_contact(2.4, True)
        known.merge(make_record("new", **changes))
        load = messages.LoadUpdate(
            running=0,
            queued=0,
            kv_used=0,
            kv_total=1000,
            adapter_slots=2,
            loaded={"m": ["a"]},
            loading={},
            slot_waits_s=[0.0],
            can_load=True,
        )
        known.update_agent_load("10.0.0.1:80", load, 1.0)
        found = known.list_candidates(
            SERVICE, header_codec.RequestMetadata("r"), 1.0, set()
        )
        self.assertEqual([c.record.instance_id for c in found], ["new"])
        assert found[0].engine is not None
        self.assertTrue(found[0].engine.can_load)

    def test_silence_before_an_entry_started_counts(self) -> None:
        known = target_registry.TargetRegistry(heartbeat_s=1.2)
        known.merge(make_record("a"), age_s=8.0)
        found = known.list_candidates(
            SERVICE, header_codec.RequestMetadata("r"), 1.0, set()
        )
        self.assertEqual(found, [])

    def test_agents_word_and_its_end(self) -> None:
        self.registry.merge(make_record("a", models=[]))
        load = messages.LoadUpdate(
            running=4,
            queued=1,
            kv_used=10,
            kv_total=100,
            adapter_slots=2,
            loaded={"m": ["a1"]},
            loading={},
            slot_waits_s=[0.0],
            can_load=True,
            prefill_tokens=38_700,
        )
        self.registry.update_agent_load("a:80", load, 5.0)
        target = self.registry.targets[records.InstanceId("a")]
        assert target.engine is not None
        self.assertTrue(target.engine.can_load)
        self.assertAlmostEqual(target.get_prefill_backlog(5.5), 19_350)
        self.registry.mark_agent_down("a:80")
        self.assertFalse(target.engine.can_load)
        self.assertIn("m/a1", target.recent_adapters)

    def test_kept_prompt_parts_need_all_parts_before(self) -> None:
        self.registry.merge(make_record("a"))
        target = self.registry.targets[records.InstanceId("a")]
        parts = tuple(header_codec.PromptPart(name, 100) for name in "xyz")
        target.record_prompt("m/a1", parts)
        self.assertEqual(target.get_cached_tokens("m/a1", parts), 300)
        self.assertEqual(target.get_cached_tokens("m/a1", parts[1:]), 0)
        self.assertEqual(target.get_cached_tokens("m/a2", parts), 0)

    def test_failures_fade(self) -> None:
        self.registry.merge(make_record("a"))
        target = self.registry.targets[records.InstanceId("a")]
        for _ in range(20):
            target.record_result(True, 0.0)
        self.assertGreater(target.get_failure_share(0.0), 0.9)
        self.assertLess(target.get_failure_share(12.0), 0.1)

    def test_connections_are_shared_among_entries(self) -> None:
        self.registry.entry_count = 5
        self.assertEqual(self.registry.get_connection_limit(100), 18)
        self.registry.entry_count = 500
        self.assertEqual(self.registry.get_connection_limit(100), 1)
