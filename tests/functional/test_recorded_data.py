"""Tests that this build reads the data folders and backup of an earlier one.

The recorded members applied changes, requests and a drain and were killed.
Request records and suspects are not compared, because they expire with time.
"""

import json
import pathlib
import shutil
import tempfile
import unittest

from tests.lib import calls
from tests.lib import clusters
from tests.lib import processes

ROOT = pathlib.Path(__file__).parent.parent
RECORDED = ROOT / "data" / "compatibility" / "control"


class TestRecordedData(unittest.TestCase):
    """A control member starts from data that an earlier build wrote."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name) / "member"
        self.expected = json.loads((RECORDED / "expected.json").read_text())

    def check_state(self, audit: list[str]) -> None:
        """Start a member and compare its configuration and audit trail.

        ``audit`` holds the first entries that are expected.
        """
        member = processes.ControlDaemon(self.folder, False)
        self.addCleanup(member.stop)
        calls.wait_until(member.is_leader, "the member leads")
        operator = clusters.Operator(member.admin_url, processes.TOKEN)
        self.assertEqual(
            self.expected["config"], operator.get("/v1/config").json()
        )
        entries = operator.get("/v1/audit?limit=1000").json()["audit"]
        details = [f"{entry['action']} {entry['detail']}" for entry in entries]
        self.assertEqual(audit, details[: len(audit)])

    def test_member_starts_from_log(self) -> None:
        shutil.copytree(RECORDED / "log", self.folder)
        self.check_state(self.expected["audit"][:2])

    def test_member_starts_from_snapshot_and_log(self) -> None:
        shutil.copytree(RECORDED / "snapshot", self.folder)
        self.check_state(self.expected["audit"])

    def test_member_starts_from_restored_backup(self) -> None:
        processes.run_tool(
            "restore",
            str(RECORDED / "backup"),
            "--data-dir",
            str(self.folder),
            "--address",
            "127.0.0.1:1",
        )
        self.check_state(self.expected["audit"][:2])
