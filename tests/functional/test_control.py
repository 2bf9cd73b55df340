"""Tests of control members as processes: faults, replacement and backups."""

import collections.abc
import concurrent.futures
import dataclasses
import http
import http.client
import json
import pathlib
import random
import signal
import tempfile
import threading
import time
import unittest

from tests.lib import calls
from tests.lib import clusters
from tests.lib import linearizability
from tests.lib import processes

# A suspended member does not answer; the client then tries another one.
CALL_TIMEOUT_S = 1.0
RUN_LIMIT_S = 90.0
# Shorter than the time after which a leader without a quorum steps down.
SUSPENSION_S = 0.5
# Longer than an election timeout.
SILENT_S = 1.5
# Changes of each client that have to be accepted.
MIN_ACCEPTED = 3
ITEM = "base/deployment/d1"
BASE = """
[sites.north]
data_centres = ["a"]
[deployments.d1]
base_model = "m"
service = "s"
"""


def make_value(number: int) -> str:
    """Return a value of the item that is unique to one write."""
    return json.dumps({"base_model": f"m{number}", "service": "s"})


class Client:
    """Reads and changes one item, and records a history of the operations."""

    def __init__(self, urls: list[str], number: int, seed: int) -> None:
        self.operators = [
            clusters.Operator(url, processes.TOKEN, CALL_TIMEOUT_S)
            for url in urls
        ]
        self.number = number
        self.rng = random.Random(seed * 100 + number)
        self.operations: list[linearizability.Operation] = []
        self.written = 0

    def call(self, method: str, path: str, body: object = None) -> object:
        """Return the JSON of a member's reply.

        Returns None if the member did not answer or does not lead.
        """
        operator = self.rng.choice(self.operators)
        try:
            if method == "GET":
                reply = operator.get(path)
            else:
                reply = operator.post(path, body)
        except (OSError, http.client.HTTPException):
            return None
        return None if reply.status == 503 else reply.json()

    def read(self) -> dict[str, object] | None:
        """Read the item; return the configuration, or None on failure."""
        begun = time.monotonic()
        config = self.call("GET", "/v1/config")
        if not isinstance(config, dict):
            return None
        self.operations.append(
            linearizability.Operation(
                linearizability.Kind.READ,
                begun,
                time.monotonic(),
                linearizability.Outcome.OK,
                config["version"],
                config["items"][ITEM],
            )
        )
        return config

    def write(self) -> None:
        """Change the item on top of a read; resend until there is a reply.

        The outcome is UNKNOWN if no reply comes.
        """
        current = self.read()
        if current is None:
            return
        self.written += 1
        number = self.number * 1000 + self.written
        value = make_value(number)
        body = {
            "change_id": f"c{number}",
            "operator": f"client-{self.number}",
            "read_version": current["version"],
            "writes": {ITEM: value},
        }
        begun = time.monotonic()
        reply = None
        for _ in range(40):
            reply = self.call("POST", "/v1/changes", body)
            if isinstance(reply, dict) and "status" in reply:
                break
            threading.Event().wait(0.05)
        operation = linearizability.Operation(
            linearizability.Kind.WRITE,
            begun,
            time.monotonic(),
            linearizability.Outcome.UNKNOWN,
            0,
            value,
            int(str(current["version"])),
            f"c{number}",
        )
        if isinstance(reply, dict) and "status" in reply:
            accepted = reply["status"] == "ok"
            operation = dataclasses.replace(
                operation,
                outcome=linearizability.Outcome.OK
                if accepted
                else linearizability.Outcome.REFUSED,
                version=reply["version"] if accepted else 0,
            )
        self.operations.append(operation)

    def count_accepted(self) -> int:
        """Return how many of this client's changes were accepted."""
        return sum(
            operation.kind is linearizability.Kind.WRITE
            and operation.outcome is linearizability.Outcome.OK
            for operation in self.operations
        )

    def run(self, steps: int) -> None:
        """Read and write at random.

        Ends after ``steps`` operations and `MIN_ACCEPTED` accepted changes,
        or after `RUN_LIMIT_S` seconds.
        """
        deadline = time.monotonic() + RUN_LIMIT_S
        pause = threading.Event()
        while time.monotonic() < deadline:
            enough = len(self.operations) >= steps
            if enough and self.count_accepted() >= MIN_ACCEPTED:
                return
            before = len(self.operations)
            if self.rng.random() < 0.5:
                self.read()
            else:
                self.write()
            if len(self.operations) == before:
                # No member leads at the moment, or the one called does not.
                pause.wait(0.02)


class ControlGroupTestCase(unittest.TestCase):
    """Base class that starts a group of control members as processes."""

    size = 3

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.group = processes.ControlGroup(self.folder, self.size)
        self.addCleanup(self.group.stop)
        self.base = self.folder / "base.toml"
        self.base.write_text(BASE)
        processes.run_tool("apply", str(self.base), env=self.group.env)

    def read_state(self) -> dict[str, object]:
        done = processes.run_tool("status", "--json", env=self.group.env)
        status: dict[str, object] = json.loads(done)
        return status


class TestHistories(ControlGroupTestCase):
    """Linearizability of changes and reads while the leader fails.

    Four clients read and change one item concurrently while the leader is
    killed or suspended several times. Guards against lost updates, stale
    reads and changes that were accepted and then lost.
    """

    def run_history(
        self,
        seed: int,
        inject_fault: collections.abc.Callable[[], None],
        end_faults: collections.abc.Callable[[], None],
    ) -> None:
        """Inject three faults while clients run and check their history."""
        urls = [member.admin_url for member in self.group.members]
        observer = Client(urls, 0, seed)
        calls.wait_until(observer.read, "a first read")
        first = observer.operations[0]
        clients = [Client(urls, n, seed) for n in (1, 2, 3, 4)]
        done = threading.Event()

        def count() -> int:
            return sum(len(client.operations) for client in clients)

        def inject_faults() -> None:
            for threshold in (6, 14, 22):
                while count() < threshold and not done.wait(0.01):
                    pass
                inject_fault()

        fault_thread = threading.Thread(target=inject_faults)
        fault_thread.start()
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            list(pool.map(lambda client: client.run(10), clients))
        done.set()
        fault_thread.join()
        end_faults()
        operations = [o for c in clients for o in c.operations]
        faults = linearizability.find_violations(
            operations, first.version, first.value
        )
        self.assertEqual([], faults)
        accepted = [
            o
            for o in operations
            if o.kind is linearizability.Kind.WRITE
            and o.outcome is linearizability.Outcome.OK
        ]
        self.assertGreaterEqual(len(accepted), 4 * MIN_ACCEPTED)
        calls.wait_until(observer.read, "a last read")
        newest = max(o.version for o in accepted)
        self.assertGreaterEqual(observer.operations[-1].version, newest)

    def test_leader_is_killed_repeatedly(self) -> None:
        def kill_leader() -> None:
            leader = self.group.find_leader()
            leader.kill()
            leader.start()

        self.run_history(1, kill_leader, lambda: None)

    def test_leader_is_suspended_and_resumed(self) -> None:
        suspended: list[processes.ControlDaemon] = []

        def resume() -> None:
            for member in suspended:
                member.send_signal(signal.SIGCONT)
            suspended.clear()

        def suspend_leader() -> None:
            resume()
            leader = self.group.find_leader()
            leader.send_signal(signal.SIGSTOP)
            suspended.append(leader)

        self.addCleanup(resume)
        self.run_history(2, suspend_leader, resume)


class TestReplacement(ControlGroupTestCase):
    """Loss and replacement of members and their disks."""

    def test_state_survives_second_loss_right_after_replacement(self) -> None:
        before = self.read_state()
        lost = self.group.members[2]
        lost.kill()
        replacement = processes.ControlDaemon(self.folder / "m9", False)
        self.group.members.append(replacement)
        processes.run_tool(
            "control",
            "replace",
            lost.member_id,
            replacement.member_id,
            "--address",
            replacement.address,
            env=self.group.env,
        )
        audit = processes.run_tool("audit", "--json", env=self.group.env)
        details = [line["detail"] for line in json.loads(audit)["audit"]]
        self.assertIn(
            f"added {replacement.member_id} at {replacement.address}", details
        )
        self.assertIn(f"removed {lost.member_id}", details)
        # A second of the first three members is lost with its disk.
        self.group.members[1].kill()
        after = self.read_state()
        self.assertEqual(before["version"], after["version"])
        self.assertEqual(before["counts"], after["counts"])
        self.base.write_text(BASE + "[services.more]\n")
        processes.run_tool("apply", str(self.base), env=self.group.env)

    def test_second_loss_before_the_lost_member_is_taken_out(self) -> None:
        """The lost member's vote was counted beside its successor's."""
        before = self.read_state()
        leader = self.group.find_leader()
        lost, second = [m for m in self.group.members if m is not leader]
        lost.kill()
        killed_at = time.monotonic()
        replacement = processes.ControlDaemon(self.folder / "m9", False)
        self.group.members.append(replacement)
        calls.wait_until(
            lambda: time.monotonic() > killed_at + SILENT_S,
            "the lost member is silent",
        )
        processes.run_tool(
            "control",
            "add",
            replacement.member_id,
            "--address",
            replacement.address,
            env=self.group.env,
        )
        second.kill()
        after = self.read_state()
        self.assertEqual(before["version"], after["version"])
        self.base.write_text(BASE + "[services.more]\n")
        processes.run_tool("apply", str(self.base), env=self.group.env)

    def test_member_has_a_vote_only_once_its_promotion_is_committed(
        self,
    ) -> None:
        """A replacement removes the old member once the new one may vote.

        While the promotion is not committed, the leader refuses that next
        change. A suspended voter keeps it from being committed.
        """
        leader = self.group.find_leader()
        lost, suspended = [m for m in self.group.members if m is not leader]
        lost.kill()
        replacement = processes.ControlDaemon(self.folder / "m9", False)
        self.group.members.append(replacement)
        operator = clusters.Operator(leader.admin_url, processes.TOKEN)
        added = {
            "operator": "tester",
            "add_id": replacement.member_id,
            "add_address": replacement.address,
        }
        response = operator.post("/v1/control", added)
        self.assertEqual(200, response.status, response.body)
        suspended.send_signal(signal.SIGSTOP)
        self.addCleanup(suspended.send_signal, signal.SIGCONT)
        deadline = time.monotonic() + SUSPENSION_S
        shown = 0
        while time.monotonic() < deadline:
            response = operator.get("/v1/status")
            if response.status == http.HTTPStatus.SERVICE_UNAVAILABLE:
                # Without a quorum, the leader steps down and shows nothing.
                continue
            shown += 1
            control = response.json()["control"]
            voters = [p["member_id"] for p in control["peers"] if p["voter"]]
            self.assertNotIn(replacement.member_id, voters)
        self.assertGreater(shown, 0)

    def test_change_without_quorum_is_refused(self) -> None:
        leader = self.group.find_leader()
        others = [m for m in self.group.members if m is not leader]
        for member in others:
            member.kill()
        self.base.write_text(BASE + "[services.more]\n")
        done = processes.run_tool_unchecked(
            "apply", str(self.base), env=self.group.env
        )
        self.assertEqual(5, done.returncode, done.stderr)
        self.assertIn("no control leader", done.stderr)
        for member in others:
            member.start()
        processes.run_tool("apply", str(self.base), env=self.group.env)


class TestCatchUp(ControlGroupTestCase):
    """Catching up of a member that missed hundreds of changes."""

    def test_restarted_member_catches_up_after_many_changes(self) -> None:
        lost = self.group.members[2]
        leader = self.group.find_leader()
        if lost is leader:
            lost = self.group.members[1]
        lost.kill()
        self.operator = clusters.Operator(leader.admin_url, processes.TOKEN)
        for number in range(300):
            body = {
                "change_id": f"c{number}",
                "operator": "tester",
                "read_version": 10**9,
                "writes": {ITEM: make_value(number)},
            }
            calls.wait_until(
                lambda body=body: self.try_change(body),
                f"change {number} is accepted",
            )
        lost.start()
        own = clusters.Operator(lost.admin_url, processes.TOKEN)
        commit = self.operator.get("/v1/control").json()["commit"]
        calls.wait_until(
            lambda: own.get("/v1/control").json()["commit"] >= commit,
            "the member caught up",
        )

    def try_change(self, body: dict[str, object]) -> bool:
        """Send a change to the leader; return whether it is accepted.

        The only refusal is that of a member that leads no more.
        """
        reply = self.operator.post("/v1/changes", body)
        if reply.status == http.HTTPStatus.OK:
            return True
        self.assertEqual("not_leader", reply.error["code"], reply.body)
        self.assertIs(reply.error["may_have_run"], False)
        leader = self.group.find_leader()
        self.operator = clusters.Operator(leader.admin_url, processes.TOKEN)
        return False


class TestBackup(ControlGroupTestCase):
    """Backup of the whole state and restore to a new cluster."""

    size = 1

    def test_restored_cluster_continues_with_larger_versions(self) -> None:
        before = self.read_state()
        copy = str(self.folder / "copy")
        processes.run_tool("backup", copy, env=self.group.env)
        self.group.members[0].kill()
        folder = self.folder / "restored"
        listening = self.group.members[0].address
        processes.run_tool(
            "restore",
            copy,
            "--data-dir",
            str(folder),
            "--address",
            listening,
        )
        member = self.group.members[0]
        words = list(member.arguments)
        words[words.index(str(member.folder))] = str(folder)
        member.arguments = tuple(w for w in words if w != "--bootstrap")
        member.start()
        after = self.read_state()
        self.assertEqual(before["counts"], after["counts"])
        self.assertGreater(after["view_version"], before["view_version"])
        self.base.write_text(BASE + "[services.more]\n")
        done = processes.run_tool(
            "apply", str(self.base), "--json", env=self.group.env
        )
        version = json.loads(done.splitlines()[-1])["version"]
        self.assertGreater(version, after["view_version"])


class TestChecker(unittest.TestCase):
    """The history checker itself accepts valid histories only."""

    def make(
        self,
        kind: linearizability.Kind,
        begun: float,
        ended: float,
        version: int,
        value: str,
        **changes: object,
    ) -> linearizability.Operation:
        return linearizability.Operation(
            kind,
            begun,
            ended,
            linearizability.Outcome.OK,
            version,
            value,
            **changes,
        )

    def test_valid_history_has_no_faults(self) -> None:
        read, write = linearizability.Kind.READ, linearizability.Kind.WRITE
        good = [
            self.make(read, 0, 1, 1, "a"),
            self.make(write, 1, 4, 5, "b", read_version=1, change_id="x"),
            self.make(read, 2, 3, 5, "b"),
            self.make(write, 6, 7, 5, "b", read_version=1, change_id="x"),
        ]
        self.assertEqual([], linearizability.find_violations(good, 1, "a"))

    def test_invalid_histories_have_faults(self) -> None:
        read, write = linearizability.Kind.READ, linearizability.Kind.WRITE
        first = self.make(write, 1, 2, 5, "b", read_version=1, change_id="x")
        bad = {
            "stale read": self.make(read, 3, 4, 1, "a"),
            "wrong value": self.make(read, 3, 4, 5, "a"),
            "lost update": self.make(
                write, 3, 4, 7, "c", read_version=1, change_id="y"
            ),
            "two outcomes": self.make(
                write, 3, 4, 8, "b", read_version=5, change_id="x"
            ),
            "shared version": self.make(
                write, 1, 4, 5, "z", read_version=1, change_id="z"
            ),
        }
        for name, operation in bad.items():
            with self.subTest(name):
                faults = linearizability.find_violations(
                    [first, operation], 1, "a"
                )
                self.assertNotEqual([], faults)
