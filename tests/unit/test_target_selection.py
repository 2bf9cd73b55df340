"""Tests of target selection, wait limits and the target registry."""

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
    """Return an idle candidate."""
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
    """Return an engine that has free adapter slots and can load adapters."""
    view = target_selection.EngineView(
        adapter_slots=2, kv_total=100_000, can_load=True
    )
    return dataclasses.replace(view, **changes)


class SelectionCase(unittest.TestCase):
    """Selects among candidates with a fixed seed."""

    def select(
        self,
        requirements: target_selection.Requirements,
        *candidates: target_selection.Candidate,
    ) -> str:
        chosen = target_selection.select_target(
            requirements, list(candidates), random.Random(1)
        )
        assert chosen is not None
        return chosen.record.instance_id


class TestPlainServices(SelectionCase):
    """Selection among targets of a plain service."""

    REQUIREMENTS = target_selection.Requirements("dc1")

    def test_no_candidates(self) -> None:
        self.assertIsNone(
            target_selection.select_target(
                self.REQUIREMENTS, [], random.Random(1)
            )
        )

    def test_target_with_a_free_slot_before_a_full_one(self) -> None:
        full = make_candidate("a", running=6, waiting=3)
        free = make_candidate("b", running=2)
        self.assertEqual(self.select(self.REQUIREMENTS, full, free), "b")

    def test_requests_in_flight_count_before_they_are_reported(self) -> None:
        self.assertEqual(
            self.select(
                self.REQUIREMENTS,
                make_candidate("a", in_flight=5),
                make_candidate("b"),
            ),
            "b",
        )

    def test_failing_target_comes_last(self) -> None:
        failing = make_candidate("a", failure_share=0.5)
        busy = make_candidate("b", running=6, waiting=6)
        self.assertEqual(self.select(self.REQUIREMENTS, failing, busy), "b")

    def test_target_with_missed_heartbeats_comes_after_others(self) -> None:
        silent = make_candidate("a", silence_ratio=0.9)
        responsive = make_candidate("b", running=3)
        self.assertEqual(
            self.select(self.REQUIREMENTS, silent, responsive), "b"
        )


class TestEngines(SelectionCase):
    """Selection among engines."""

    REQUIREMENTS = target_selection.Requirements("dc1", "m/a1", 9000, 50)

    def test_loaded_adapter_before_a_load(self) -> None:
        loaded = make_candidate(
            "a", engine=make_engine(loaded=frozenset({"m/a1"})), running=5
        )
        empty = make_candidate("b", engine=make_engine())
        self.assertEqual(self.select(self.REQUIREMENTS, loaded, empty), "a")

    def test_recently_loaded_adapter_before_the_weight_store(self) -> None:
        recent = make_candidate(
            "a", engine=make_engine(), recently_loaded=True, running=3
        )
        never = make_candidate("b", engine=make_engine())
        self.assertEqual(self.select(self.REQUIREMENTS, recent, never), "a")

    def test_free_adapter_slot_before_slots_in_use(self) -> None:
        used = frozenset({"m/x", "m/y"})
        full = make_candidate(
            "a",
            engine=make_engine(loaded=used, slot_waits_s=(0.6,)),
        )
        free = make_candidate("b", engine=make_engine(), running=4)
        self.assertEqual(self.select(self.REQUIREMENTS, full, free), "b")

    def test_prefill_backlog_of_other_entries_counts(self) -> None:
        loaded = frozenset({"m/a1"})
        busy = make_candidate(
            "a", engine=make_engine(loaded=loaded), prefill_backlog=40_000
        )
        idle = make_candidate("b", engine=make_engine(loaded=loaded))
        self.assertEqual(self.select(self.REQUIREMENTS, busy, idle), "b")

    def test_full_kv_cache_is_avoided(self) -> None:
        loaded = frozenset({"m/a1"})
        full = make_candidate(
            "a", engine=make_engine(loaded=loaded, kv_used=98_000)
        )
        idle = make_candidate(
            "b", engine=make_engine(loaded=loaded), prefill_backlog=5000
        )
        self.assertEqual(self.select(self.REQUIREMENTS, full, idle), "b")

    def test_engine_that_cannot_load_gets_no_new_adapter(self) -> None:
        unable = make_candidate("a", engine=make_engine(can_load=False))
        busy = make_candidate(
            "b", engine=make_engine(slot_waits_s=(0.5,)), running=6
        )
        self.assertEqual(self.select(self.REQUIREMENTS, unable, busy), "b")

    def test_adapter_loaded_nowhere_has_one_preferred_target(self) -> None:
        names = [f"t{number}" for number in range(5)]
        chosen = set()
        for seed in range(10):
            candidates = [
                make_candidate(name, engine=make_engine()) for name in names
            ]
            random.Random(seed).shuffle(candidates)
            selected = target_selection.select_target(
                self.REQUIREMENTS, candidates, random.Random(seed)
            )
            assert selected is not None
            chosen.add(selected.record.instance_id)
        self.assertEqual(len(chosen), 1)


class TestWaitLimits(unittest.TestCase):
    """How long a request may wait for an adapter."""

    LIMITS = waits.WaitLimits(
        arrived_at=10.0,
        deadline_at=16.0,
        first_byte_slo_s=1.0,
        priority=2,
        uncached_tokens=int(backlog.PREFILL_TOKENS_PER_S / 4),
    )

    def test_prefill_takes_part_of_the_objective(self) -> None:
        self.assertAlmostEqual(self.LIMITS.get_slo_budget_s(10.5), 0.25)

    def test_late_requests_do_not_wait_for_contended_slots(self) -> None:
        self.assertTrue(self.LIMITS.may_wait_for_slot(0.9, 10.0))
        self.assertFalse(self.LIMITS.may_wait_for_slot(1.1, 10.0))
        self.assertFalse(self.LIMITS.may_wait_for_slot(0.1, 11.0))
        self.assertTrue(self.LIMITS.may_wait_for_slot(0.0, 11.0))

    def test_adapter_wait_ends_within_half_of_the_timeout(self) -> None:
        self.assertAlmostEqual(self.LIMITS.get_adapter_wait_s(10.0), 1.25)
        self.assertAlmostEqual(self.LIMITS.get_adapter_wait_s(12.3), 0.2)
        short = dataclasses.replace(self.LIMITS, deadline_at=10.5)
        self.assertAlmostEqual(short.get_adapter_wait_s(10.0), 0.25)
        self.assertGreater(short.get_adapter_wait_s(11.0), 0.0)

    def test_late_request_has_lower_priority(self) -> None:
        self.assertEqual(self.LIMITS.get_target_priority(10.5), 2)
        self.assertGreater(self.LIMITS.get_target_priority(11.0), 2)


class TestBacklog(unittest.TestCase):
    """Estimate of the prompt tokens still to prefill."""

    def test_tokens_are_prefilled_at_the_rate_of_an_engine(self) -> None:
        prefill_backlog = backlog.PrefillBacklog()
        prefill_backlog.add(38_700, 10.0)
        self.assertAlmostEqual(prefill_backlog.get(10.5), 19_350)
        prefill_backlog.add(1000, 10.5)
        self.assertAlmostEqual(prefill_backlog.get(10.5), 20_350)
        self.assertEqual(prefill_backlog.get(20.0), 0.0)


class TestTargetRegistry(unittest.TestCase):
    """Targets as an entry knows them."""

    REQUEST = header_codec.RequestMetadata("r")

    def setUp(self) -> None:
        self.registry = target_registry.TargetRegistry(heartbeat_s=1.0)
        self.registry.advance_contact(0.0, True)

    def list_instance_ids(self, now: float) -> list[str]:
        return [
            candidate.record.instance_id
            for candidate in self.registry.list_candidates(
                SERVICE, self.REQUEST, now, set()
            )
        ]

    def test_silence_counts_only_while_control_is_in_contact(self) -> None:
        self.registry.merge(make_record("a"))
        self.registry.advance_contact(100.0, False)
        self.assertEqual(self.list_instance_ids(100.0), ["a"])
        self.registry.advance_contact(107.0, True)
        self.assertEqual(self.list_instance_ids(107.0), [])

    def test_new_incarnation_starts_without_state(self) -> None:
        self.registry.merge(make_record("a"))
        target = self.registry.targets[records.InstanceId("a")]
        target.in_flight = 3
        self.registry.merge(make_record("a", started_at_ms=2))
        self.assertEqual(
            self.registry.targets[records.InstanceId("a")].in_flight, 0
        )

    def test_agent_load_goes_to_the_running_incarnation(self) -> None:
        """An engine that restarted without announcing a start time is used."""
        registry = target_registry.TargetRegistry(heartbeat_s=1.2)
        changes = {"models": [], "address": "10.0.0.1:80", "started_at_ms": 0}
        registry.merge(make_record("old", **changes))
        registry.advance_contact(0.0, True)
        registry.advance_contact(2.4, True)
        registry.merge(make_record("new", **changes))
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
        registry.update_agent_load("10.0.0.1:80", load, 1.0)
        candidates = registry.list_candidates(
            SERVICE, header_codec.RequestMetadata("r"), 1.0, set()
        )
        self.assertEqual([c.record.instance_id for c in candidates], ["new"])
        assert candidates[0].engine is not None
        self.assertTrue(candidates[0].engine.can_load)

    def test_silence_before_the_start_of_the_entry_counts(self) -> None:
        registry = target_registry.TargetRegistry(heartbeat_s=1.2)
        registry.merge(make_record("a"), age_s=8.0)
        candidates = registry.list_candidates(
            SERVICE, header_codec.RequestMetadata("r"), 1.0, set()
        )
        self.assertEqual(candidates, [])

    def test_agent_load_and_loss_of_the_agent(self) -> None:
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
            pending_prefill_tokens=38_700,
        )
        self.registry.update_agent_load("a:80", load, 5.0)
        target = self.registry.targets[records.InstanceId("a")]
        assert target.engine is not None
        self.assertTrue(target.engine.can_load)
        self.assertAlmostEqual(target.get_prefill_backlog(5.5), 19_350)
        self.registry.mark_agent_down("a:80")
        self.assertFalse(target.engine.can_load)
        self.assertIn("m/a1", target.recent_adapters)

    def test_cached_prompt_parts_need_all_parts_before_them(self) -> None:
        self.registry.merge(make_record("a"))
        target = self.registry.targets[records.InstanceId("a")]
        parts = tuple(header_codec.PromptPart(name, 100) for name in "xyz")
        target.record_prompt("m/a1", parts)
        self.assertEqual(target.get_cached_tokens("m/a1", parts), 300)
        self.assertEqual(target.get_cached_tokens("m/a1", parts[1:]), 0)
        self.assertEqual(target.get_cached_tokens("m/a2", parts), 0)

    def test_failure_share_decays(self) -> None:
        self.registry.merge(make_record("a"))
        target = self.registry.targets[records.InstanceId("a")]
        for _ in range(20):
            target.record_result(True, 0.0)
        self.assertGreater(target.get_failure_share(0.0), 0.9)
        self.assertLess(target.get_failure_share(12.0), 0.1)

    def test_connection_limit_is_divided_among_entries(self) -> None:
        self.registry.entry_count = 5
        self.assertEqual(self.registry.get_connection_limit(100), 18)
        self.registry.entry_count = 500
        self.assertEqual(self.registry.get_connection_limit(100), 1)
