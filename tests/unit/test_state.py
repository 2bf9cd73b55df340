"""Tests of the replicated state machine, the view, the catalog and leases."""

import pathlib
import tempfile
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.control import leases
from hemlockkeel._internal.follower import catalog
from hemlockkeel._internal.models import items
from hemlockkeel._internal.models import members
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.rpc.gen.hk import ttypes
from hemlockkeel._internal.state import backup
from hemlockkeel._internal.state import commands
from hemlockkeel._internal.state import conflicts
from hemlockkeel._internal.state import declaration_files
from hemlockkeel._internal.state import machine
from hemlockkeel._internal.state import requests
from hemlockkeel._internal.state import suspects
from hemlockkeel._internal.state import view

BASE = """
[sites.north]
data_centres = ["a", "b"]
[deployments.d1]
base_model = "m"
service = "s"
adapters = ["x@1", "y@1"]
[services.plain]
"""


def read_items(text: str, overlay: str = "") -> declaration_files.ItemMap:
    """Return the items of a base file and an overlay for site north."""
    with tempfile.TemporaryDirectory() as folder:
        base = pathlib.Path(folder) / "base.toml"
        base.write_text(text)
        overlays = {}
        if overlay:
            path = pathlib.Path(folder) / "overlay.toml"
            path.write_text(overlay)
            overlays["north"] = path
        return declaration_files.make_declared_items(base, overlays)


class Harness:
    """A state machine that applies commands at consecutive log indexes."""

    def __init__(self, rule: conflicts.ConflictRule | None = None) -> None:
        self.state = machine.StateMachine(rule)
        self.index = 0

    def apply(self, command: commands.AnyCommand) -> commands.Outcome:
        self.index += 1
        return self.state.apply(self.index, command)

    def change(
        self,
        writes: dict[str, bytes | None],
        change_id: str,
        read_version: int | None = None,
    ) -> commands.Outcome:
        version = self.state.config.version
        return self.apply(
            commands.ApplyChange(
                change_id=change_id,
                operator="op",
                read_version=version if read_version is None else read_version,
                writes=[items.Write(k, v) for k, v in writes.items()],
            )
        )


class TestChanges(unittest.TestCase):
    """Validation, conflicts and outcomes of configuration changes."""

    def setUp(self) -> None:
        self.harness = Harness()
        outcome = self.harness.change(dict(read_items(BASE)), "first")
        self.assertEqual(commands.Status.OK, outcome.status, outcome.reasons)

    def test_resent_change_returns_the_first_outcome(self) -> None:
        key = "base/adapter/z@1"
        binding = b'{"deployment":"d1"}'
        first = self.harness.change({key: binding}, "again")
        second = self.harness.change({key: None}, "again")
        self.assertEqual(first, second)
        self.assertEqual(binding, self.harness.state.config.items[key])

    def test_concurrent_changes_of_one_item_conflict(self) -> None:
        version = self.harness.state.config.version
        key = "base/adapter/x@1"
        binding = b'{"deployment":"d1"}'
        first = self.harness.change({key: binding}, "a", version)
        second = self.harness.change({key: None}, "b", version)
        self.assertEqual(commands.Status.OK, first.status)
        self.assertEqual(commands.Status.CONFLICT, second.status)
        self.assertIn(key, self.harness.state.config.items)

    def test_concurrent_changes_of_different_items_by_rule(self) -> None:
        binding = b'{"deployment":"d1"}'
        for rule, expected in (
            (conflicts.WritesetCertification(), commands.Status.OK),
            (conflicts.VersionMatch(), commands.Status.CONFLICT),
        ):
            harness = Harness(rule)
            harness.change(dict(read_items(BASE)), "first")
            version = harness.state.config.version
            harness.change({"base/adapter/p@1": binding}, "a", version)
            outcome = harness.change(
                {"base/adapter/q@1": binding}, "b", version
            )
            self.assertEqual(expected, outcome.status)

    def test_invalid_change_reports_all_errors_and_writes_nothing(
        self,
    ) -> None:
        before = dict(self.harness.state.config.items)
        outcome = self.harness.change(
            {
                "base/adapter/bad": b'{"deployment":"d1"}',
                "base/adapter/w@1": b'{"deployment":"nope"}',
                "base/deployment/d2": b'{"base_model":"m","service":"plain"}',
                "base/deployment/d3": b'{"base_model":"m","service":"s",'
                b'"stall_weight":7}',
                "south/adapter/x@2": b'{"deployment":"d1"}',
                "nonsense": b"{}",
            },
            "bad",
        )
        self.assertEqual(commands.Status.INVALID, outcome.status)
        self.assertEqual(6, len(outcome.reasons), outcome.reasons)
        self.assertEqual(before, self.harness.state.config.items)

    def test_deleting_a_deployment_with_adapters_is_refused(self) -> None:
        outcome = self.harness.change({"base/deployment/d1": None}, "del")
        self.assertEqual(commands.Status.INVALID, outcome.status)
        self.assertIn("2 adapters still name it", outcome.reasons[0])

    def test_overlay_is_validated_together_with_the_base(self) -> None:
        outcome = self.harness.change(
            {"north/adapter/x@1": b'{"deployment":"d1"}'}, "clash"
        )
        self.assertIn("already serves", outcome.reasons[0])
        outcome = self.harness.change(
            {"north/adapter/q@9": b'{"deployment":""}'}, "unknown"
        )
        self.assertEqual(commands.Status.INVALID, outcome.status)
        outcome = self.harness.change(
            {"north/adapter/x@1": b'{"deployment":""}'}, "removed"
        )
        self.assertEqual(commands.Status.OK, outcome.status)
        outcome = self.harness.change({"base/adapter/x@1": None}, "base")
        self.assertIn("overlay of site 'north'", outcome.reasons[0])

    def test_data_centre_in_two_sites_is_refused(self) -> None:
        outcome = self.harness.change(
            {"base/site/south": b'{"data_centres":["b"]}'}, "dc"
        )
        self.assertIn("'north' and 'south'", outcome.reasons[0])

    def test_audit_entry_has_operator_change_and_items(self) -> None:
        self.harness.change({"base/deployment/d1": None}, "del")
        line = self.harness.state.audit[-1]
        self.assertEqual(("op", "del"), (line.operator, line.change_id))
        self.assertEqual(commands.Status.INVALID, line.status)
        self.assertIn("base/deployment/d1", line.detail)

    def test_snapshot_restores_everything(self) -> None:
        self.harness.apply(
            commands.ReportCrash(target_id="t", boot_id="b", digests=["d"])
        )
        other = machine.StateMachine()
        other.restore_snapshot(self.harness.state.encode_snapshot())
        self.assertEqual(
            self.harness.state.encode_snapshot(), other.encode_snapshot()
        )
        self.assertEqual(
            self.harness.state.config.binding_counts,
            other.config.binding_counts,
        )

    def test_restore_refuses_used_folder_and_truncated_backup(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "copy"
            path.write_bytes(backup.make_backup(self.harness.state))
            data_folder = pathlib.Path(folder) / "data"
            backup.restore(path, data_folder, "127.0.0.1:1")
            with self.assertRaises(exceptions.StorageError):
                backup.restore(path, data_folder, "127.0.0.1:1")
            path.write_bytes(path.read_bytes()[:-3])
            with self.assertRaises(exceptions.StorageError):
                backup.read_backup(path)


class TestDeclarationFiles(unittest.TestCase):
    """Errors in declaration files."""

    def check_error(self, text: str, expected: str, overlay: str = "") -> None:
        with self.assertRaises(exceptions.BadDeclarationError) as caught:
            read_items(text, overlay)
        self.assertIn(expected, str(caught.exception))

    def test_error_names_the_field(self) -> None:
        self.check_error(BASE.replace('"s"', "5"), "deployments[...].service")

    def test_unknown_field(self) -> None:
        self.check_error(BASE + "\nspeed = 1\n", "speed")

    def test_invalid_toml(self) -> None:
        self.check_error("[sites", "not valid TOML")

    def test_adapter_declared_twice(self) -> None:
        text = BASE.replace('"y@1"', '"x@1"')
        self.check_error(text, "declared twice")

    def test_adapter_without_version(self) -> None:
        self.check_error(BASE.replace("y@1", "y"), "name@version")

    def test_overlay_for_unknown_site(self) -> None:
        text = BASE.replace("sites.north", "sites.west")
        self.check_error(text, "unknown site 'north'", "format = 1")


class TestRequestRecords(unittest.TestCase):
    """Records of requests with an idempotency key, and sessions."""

    def setUp(self) -> None:
        self.harness = Harness()

    def begin(self, **changes: object) -> commands.Outcome:
        fields: dict[str, object] = {
            "key": "k",
            "caller": "c",
            "digest": "d",
            "request_id": "r1",
            "target_id": "t1",
            "target_incarnation": 5,
        }
        fields.update(changes)
        return self.harness.apply(commands.BeginRequest(**fields))

    def finish(
        self, key: str = "k", request_id: str = "r1", **changes: object
    ) -> commands.Outcome:
        fields: dict[str, object] = {
            "attempt": 1,
            "verdict": int(outcomes.Verdict.RAN),
        }
        fields.update(changes)
        return self.harness.apply(
            commands.FinishRequest(key=key, request_id=request_id, **fields)
        )

    def test_duplicate_request_returns_the_existing_record(self) -> None:
        self.assertEqual(commands.Status.OK, self.begin().status)
        second = self.begin(request_id="r2")
        self.assertEqual(commands.Status.DUPLICATE, second.status)
        self.assertEqual("r1", second.record.request_id)

    def test_same_key_with_another_body_conflicts(self) -> None:
        self.begin()
        outcome = self.begin(request_id="r2", digest="other")
        self.assertEqual(commands.Status.KEY_CONFLICT, outcome.status)

    def test_resent_begin_returns_the_same_outcome(self) -> None:
        self.assertEqual(self.begin(), self.begin())

    def test_attempt_is_reassigned_only_once(self) -> None:
        self.begin()
        fields = {"key": "k", "attempt": 1, "request_id": "r1"}
        first = self.harness.apply(
            commands.ReassignRequest(
                target_id="t2", target_incarnation=6, **fields
            )
        )
        second = self.harness.apply(
            commands.ReassignRequest(
                target_id="t3", target_incarnation=7, **fields
            )
        )
        self.assertEqual(commands.Status.OK, first.status)
        self.assertEqual(commands.Status.STALE, second.status)
        self.assertEqual("t2", second.record.target_id)

    def test_key_of_request_that_did_not_run_is_reusable(self) -> None:
        self.begin()
        self.finish(verdict=int(outcomes.Verdict.NOT_RUN))
        self.assertEqual(
            commands.Status.OK, self.begin(request_id="r2").status
        )

    def test_records_expire_after_the_retention_period(self) -> None:
        self.begin(at=1000.0)
        late = 1000.0 + requests.RECORD_RETENTION_S
        self.harness.apply(commands.ExpireRecords(at=late))
        duplicate = self.begin(request_id="r2", at=late)
        self.assertEqual(commands.Status.DUPLICATE, duplicate.status)
        self.harness.apply(commands.ExpireRecords(at=late + 1.0))
        self.assertEqual(
            commands.Status.OK, self.begin(request_id="r3").status
        )

    def test_session_requests_begin_in_order(self) -> None:
        first = {"key": "s/1", "session": "s", "session_sequence": 1}
        second = {"key": "s/2", "session": "s", "session_sequence": 2}
        self.assertEqual(
            commands.Status.OUT_OF_ORDER, self.begin(**second).status
        )
        self.begin(**first)
        self.assertEqual(
            commands.Status.OUT_OF_ORDER, self.begin(**second).status
        )
        self.finish("s/1")
        self.assertEqual(commands.Status.OK, self.begin(**second).status)

    def test_superseded_request_cannot_finish_or_begin(self) -> None:
        self.begin(key="s/1", session="s", session_sequence=1)
        later = self.begin(
            key="s/2", session="s", session_sequence=2, supersedes=True
        )
        self.assertEqual(commands.Status.OK, later.status)
        self.assertEqual(commands.Status.SUPERSEDED, self.finish("s/1").status)
        again = self.begin(
            key="s/1b", session="s", session_sequence=1, request_id="r9"
        )
        self.assertEqual(commands.Status.SUPERSEDED, again.status)


ADAPTER = "adapter:a@1"


class TestSuspects(unittest.TestCase):
    """Suspicion and quarantine of requests that crash targets."""

    def test_request_is_quarantined_after_two_crashes(self) -> None:
        table = suspects.SuspectTable()
        table.report("t1", "b1", ["bad", "good1", "good2"], 10.0)
        table.report("t2", "b2", ["bad"], 11.0)
        self.assertTrue(table.is_quarantined("bad", 12.0))
        self.assertFalse(table.is_quarantined("good1", 12.0))

    def test_request_that_never_crashed_alone_is_not_quarantined(self) -> None:
        table = suspects.SuspectTable()
        table.report("t1", "b1", ["bad", "good"], 10.0)
        table.report("t2", "b2", ["bad", "good"], 11.0)
        self.assertFalse(table.is_quarantined("good", 12.0))
        table.clear(["good"])
        self.assertNotIn("good", table.suspects)
        table.report("t3", "b3", ["bad"], 12.0)
        self.assertTrue(table.is_quarantined("bad", 13.0))

    def test_repeated_report_of_a_crash_counts_once(self) -> None:
        table = suspects.SuspectTable()
        table.report("t1", "b1", ["bad"], 10.0)
        table.report("t1", "b1", ["bad"], 10.0)
        self.assertFalse(table.is_quarantined("bad", 11.0))

    def test_adapter_is_quarantined_for_crashes_of_different_contents(
        self,
    ) -> None:
        """A content that is quarantined counts once, for all its crashes."""
        for contents, expected in (
            (["c1", "c1", "c1"], False),
            (["c1", "c2"], True),
            (["c1", "c1", "c2"], True),
            (["c1", "c1", "c2", "c2"], True),
        ):
            table = suspects.SuspectTable()
            for number, content in enumerate(contents):
                table.report("t1", f"b{number}", [content], 1.0, [ADAPTER])
            self.assertIs(table.is_quarantined(ADAPTER, 2.0), expected)

    def test_completion_clears_an_adapter(self) -> None:
        table = suspects.SuspectTable()
        table.report("t1", "b1", ["c1"], 1.0, [ADAPTER])
        table.clear([ADAPTER])
        table.report("t1", "b2", ["c2"], 1.0, [ADAPTER])
        self.assertFalse(table.is_quarantined(ADAPTER, 2.0))

    def test_quarantine_ends(self) -> None:
        table = suspects.SuspectTable()
        table.report("t1", "b1", ["bad"], 10.0)
        table.report("t2", "b2", ["bad"], 11.0)
        end = 11.0 + suspects.QUARANTINE_DURATION_S
        self.assertEqual([], table.expire(end - 1.0))
        self.assertEqual(["bad"], table.expire(end))

    @given(strategies.data())
    @settings(derandomize=True, max_examples=60, deadline=None)
    def test_harmless_requests_are_never_quarantined(
        self, data: strategies.DataObject
    ) -> None:
        """Run random batches with one crashing request, suspects alone.

        Guards against the quarantine of requests that only shared a batch
        with a crashing one, and against more crashes than needed.
        """
        table = suspects.SuspectTable()
        harmless = [f"g{n}" for n in range(12)]
        crashes = 0
        for now in range(20):
            batch = data.draw(
                strategies.lists(
                    strategies.sampled_from([*harmless, "bad"]),
                    min_size=1,
                    max_size=6,
                    unique=True,
                )
            )
            batch = [d for d in batch if not table.is_quarantined(d, now)]
            alone = [d for d in batch if d in table.suspects]
            together = [d for d in batch if d not in table.suspects]
            for run in [[d] for d in alone] + ([together] if together else []):
                if "bad" in run:
                    crashes += 1
                    table.report(f"t{crashes}", f"b{crashes}", run, float(now))
                else:
                    table.clear(run)
            for digest in harmless:
                self.assertFalse(table.is_quarantined(digest, float(now)))
        self.assertLessEqual(crashes, suspects.QUARANTINE_CRASHES)


class ViewMachine(stateful.RuleBasedStateMachine):
    """A copy of the view that falls behind and is updated by deltas."""

    def __init__(self) -> None:
        super().__init__()
        self.log = view.ViewLog()
        self.index = 0
        self.copy: dict[str, bytes] = {}
        self.version = 0
        self.prefixes = ("config/", "member/n/")

    @stateful.rule(
        key=strategies.sampled_from(
            ["config/a", "config/b", "member/n/x", "member/z/y", "suspect/q"]
        ),
        value=strategies.one_of(
            strategies.none(), strategies.binary(max_size=2)
        ),
    )
    def put(self, key: str, value: bytes | None) -> None:
        self.index += 1
        self.log.put(self.index, key, value)

    @stateful.rule()
    def restore(self) -> None:
        self.log.restore(self.log.items, self.log.version)

    @stateful.rule()
    def follow(self) -> None:
        delta = self.log.make_delta(self.version, self.prefixes)
        if delta is None:
            return
        assert delta.to_version > self.version
        if delta.full:
            self.copy = {}
        for key, value in delta.items:
            if value is None:
                self.copy.pop(key, None)
            else:
                self.copy[key] = value
        self.version = delta.to_version
        expected = {
            key: value
            for key, value in self.log.items.items()
            if key.startswith(self.prefixes)
        }
        assert self.copy == expected


TestViewMachine = ViewMachine.TestCase
TestViewMachine.settings = settings(
    derandomize=True, max_examples=60, deadline=None
)


class TestCatalog(unittest.TestCase):
    """The decoded copy of the view."""

    def make_delta(
        self, start: int, end: int, full: bool, **changed: bytes | None
    ) -> ttypes.ViewDelta:
        listed = [
            ttypes.ViewItem("config/" + key.replace("__", "/"), value)
            for key, value in changed.items()
        ]
        return ttypes.ViewDelta(start, end, full, listed)

    def test_older_delta_is_ignored(self) -> None:
        copy = catalog.Catalog("north")
        binding = b'{"deployment":"d"}'
        copy.apply(self.make_delta(0, 9, True, base__adapter__x=binding))
        copy.apply(self.make_delta(0, 5, True))
        self.assertEqual(9, copy.version)
        self.assertEqual({"x": "d"}, copy.base_adapters)

    def test_delta_from_another_version_is_refused(self) -> None:
        copy = catalog.Catalog("north")
        copy.apply(self.make_delta(0, 9, True))
        with self.assertRaises(exceptions.InvariantError):
            copy.apply(self.make_delta(11, 12, False))

    def test_overlay_takes_precedence_over_base(self) -> None:
        copy = catalog.Catalog("north")
        delta = ttypes.ViewDelta(
            0,
            3,
            True,
            [
                ttypes.ViewItem(f"config/{key}", value)
                for key, value in read_items(
                    BASE,
                    "[deployments.d1]\npriority = 'low'\n"
                    "remove_adapters = ['x@1']\nadd_adapters = ['w@2']",
                ).items()
            ],
        )
        copy.apply(delta)
        self.assertIsNone(copy.find_model("x@1"))
        self.assertEqual("low", copy.find_model("w@2").spec.priority.value)
        self.assertEqual(["w@2", "y@1"], copy.list_models())


class TestLeases(unittest.TestCase):
    """The leader's table of leases."""

    def test_member_counts_as_lagging_until_its_lease_expires(self) -> None:
        table = leases.LeaseTable()
        table.renew("a", 1, 5, 100.0)
        table.renew("b", 2, 7, 100.0)
        self.assertEqual(["a"], table.find_lagging(7, 101.0))
        self.assertEqual([], table.find_lagging(7, 103.0))

    def test_new_leader_waits_for_leases_of_its_predecessor(self) -> None:
        table = leases.LeaseTable()
        table.reset({"a": 1}, 100.0)
        self.assertEqual(["a"], table.find_lagging(1, 102.0))
        self.assertEqual([], table.find_lagging(1, 102.8))

    def test_lease_expires_later_on_the_leader(self) -> None:
        # The member counts the lease from when it sent its heartbeat, on a
        # clock that may run 10% slow.
        self.assertGreater(
            leases.compute_expiry(0.0), leases.LEASE_DURATION_S * 1.09
        )

    def test_worst_case_delay_until_in_force(self) -> None:
        limit_s = 4.0
        worst_s = leases.compute_expiry(0.0) + leases.HEARTBEAT_INTERVAL_S
        self.assertLess(worst_s, limit_s)


class TestMembers(unittest.TestCase):
    """Registration and states of members."""

    def register(self, harness: Harness, nonce: str) -> commands.Outcome:
        description = members.Description(
            "t1",
            members.Role.AGENT,
            "h:1",
            "a",
            "north",
            members.TargetInfo("t1", members.TargetKind.ENGINE, "s"),
            nonce,
        )
        return harness.apply(commands.RegisterMember(description=description))

    def test_restart_gets_a_larger_incarnation(self) -> None:
        harness = Harness()
        first = self.register(harness, "one").incarnation
        resent = self.register(harness, "one").incarnation
        second = self.register(harness, "two").incarnation
        self.assertEqual(first, resent)
        self.assertGreater(second, first)

    def test_command_for_old_incarnation_is_stale(self) -> None:
        harness = Harness()
        first = self.register(harness, "one").incarnation
        self.register(harness, "two")
        outcome = harness.apply(
            commands.RemoveMember(member_id="t1", incarnation=first)
        )
        self.assertEqual(commands.Status.STALE, outcome.status)
        self.assertIn("t1", harness.state.members)

    def test_drain_persists_over_agent_restart(self) -> None:
        harness = Harness()
        self.register(harness, "one")
        harness.apply(
            commands.SetDrain(
                change_id="x", operator="o", target_id="t1", drained=True
            )
        )
        self.register(harness, "two")
        self.assertTrue(harness.state.members["t1"].drained)

    def test_leaving_member_stays_leaving(self) -> None:
        harness = Harness()
        number = self.register(harness, "one").incarnation
        for state in (
            members.MemberState.LEAVING,
            members.MemberState.ACTIVE,
        ):
            harness.apply(
                commands.SetMemberState(
                    member_id="t1", incarnation=number, state=state
                )
            )
        self.assertIs(
            members.MemberState.LEAVING, harness.state.members["t1"].state
        )
