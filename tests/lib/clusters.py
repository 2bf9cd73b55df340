"""Clusters of the real roles, in one process, with stand-in targets."""

import pathlib
import tempfile
import typing
import uuid

from hemlockkeel._internal.standins import dev
from hemlockkeel._internal.standins import engine
from hemlockkeel._internal.state import declaration_files
from tests.lib import calls

DECLARATIONS = """
format = 1

[sites.tas-north]
data_centres = ["launceston-hall", "devonport-hall", "burnie-hall"]
weight_store_loads_per_second = 50.0

[services.entries-app]
priority = "high"

[deployments.checks]
base_model = "scribe-7b"
service = "scribe-models"
priority = "high"
adapters = ["check-1@1", "check-1@2", "check-2@1"]

[deployments.advice]
base_model = "scribe-7b"
service = "scribe-models"
priority = "low"
adapters = ["club-1@1", "club-2@1", "club-3@1", "club-4@1", "club-5@1"]

[deployments.letters]
base_model = "scribe-7b"
service = "scribe-models"
idempotent = false
adapters = ["letter-1@1", "letter-2@1"]
"""


def make_settings(**changes: typing.Any) -> dev.DevSettings:
    """Return the settings of a small cluster with short delays."""
    values: dict[str, typing.Any] = {
        "engines": 2,
        "plain_services": 1,
        "loads_per_second": 50.0,
        "engine_options": engine.EngineOptions(
            base_model="scribe-7b", step_s=0.005, adapter_slots=3
        ),
    }
    values.update(changes)
    return dev.DevSettings(**values)


class Operator:
    """A client of the operators' API."""

    def __init__(
        self,
        url: str,
        token: str = dev.DEV_TOKEN,
        timeout_s: float = calls.TIMEOUT_S,
    ) -> None:
        self.url = url
        self.timeout_s = timeout_s
        self.headers = {"Authorization": f"Bearer {token}"}

    def get(self, path: str) -> calls.Response:
        """Send a GET request."""
        return calls.call(
            self.url + path, headers=self.headers, timeout_s=self.timeout_s
        )

    def post(self, path: str, body: typing.Any) -> calls.Response:
        """Send a POST request with a JSON body."""
        return calls.call(
            self.url + path, "POST", body, self.headers, self.timeout_s
        )

    def apply(
        self,
        text: str,
        change_id: str = "",
        operator: str = "tester",
        read_version: int | None = None,
    ) -> calls.Response:
        """Apply the text of a declaration file without waiting."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "base.toml"
            path.write_text(text)
            declared = declaration_files.make_declared_items(path, {})
        state = self.get("/v1/config").json()
        current = {k: v.encode() for k, v in state["items"].items()}
        writes = declaration_files.diff_items(
            current, declared, frozenset(["base"])
        )
        version = state["version"] if read_version is None else read_version
        return self.post(
            "/v1/changes",
            {
                "change_id": change_id or uuid.uuid4().hex,
                "operator": operator,
                "read_version": version,
                "writes": {
                    w.key: None if w.value is None else w.value.decode()
                    for w in writes
                },
            },
        )

    def is_in_force(self, version: int) -> bool:
        """Return whether all processes have applied a version."""
        reply = self.get(f"/v1/versions/{version}")
        return reply.status == 200 and reply.json()["in_force"]

    def apply_and_wait(self, text: str) -> int:
        """Apply the text of a declaration file; wait until it is in force."""
        reply = self.apply(text)
        assert reply.status == 200, reply.body
        version: int = reply.json()["version"]
        calls.wait_until(
            lambda: self.is_in_force(version), f"version {version} in force"
        )
        return version


class Cluster:
    """A running cluster with the test declarations applied."""

    def __init__(
        self, declarations: str = DECLARATIONS, **changes: typing.Any
    ) -> None:
        self.dev = dev.DevCluster(make_settings(**changes))
        self.dev.start()
        self.operator = Operator(self.dev.control_members[0].admin_url)
        if declarations:
            self.operator.apply_and_wait(declarations)

    @property
    def url(self) -> str:
        """Return the first entry's URL."""
        return self.dev.entries[0].url

    @property
    def engines(self) -> list[engine.StandInEngine]:
        """Return the stand-in engines."""
        return [t.engine for t in self.dev.targets if t.engine is not None]

    def count_runs(self, prompt: str) -> int:
        """Return how often engines started to execute a prompt."""
        return sum(
            1
            for stand_in in self.engines
            for run in list(stand_in.ledger)
            if run["prompt"] == prompt
        )

    def get_counter(self, name: str) -> int:
        """Return a counter of the whole cluster; 0 if nothing was counted."""
        return self.dev.counters.snapshot().get(name, 0)

    def stop(self) -> None:
        """Stop the cluster."""
        self.dev.stop()
