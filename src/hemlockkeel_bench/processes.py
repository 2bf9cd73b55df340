"""Processes of a benchmark: control, groups of targets, entries.

``python -m hemlockkeel_bench.processes KIND SPEC`` runs one. KIND is control,
targets or entry, SPEC a `ProcessSpec` in JSON. It prints its addresses as one
line of JSON and stops when its standard input is closed.
"""

import contextlib
import json
import logging as std_logging
import pathlib
import subprocess
import sys
import tempfile
import typing

from absl import logging
import msgspec

from hemlockkeel._internal.agent import process as agent_process
from hemlockkeel._internal.cli import standin
from hemlockkeel._internal.control import process as control_process
from hemlockkeel._internal.entry import process as entry_process
from hemlockkeel._internal.standins import dev
from hemlockkeel._internal.standins import engine
from hemlockkeel._internal.standins import engine_app
from hemlockkeel._internal.standins import weight_store
from hemlockkeel._internal.utils import metrics
from hemlockkeel._internal.utils import web_server
from hemlockkeel_bench import policies

ENGINE_SERVICE = "bench-engines"
WEIGHT_STORE_THREADS = 32
STOP_TIMEOUT_S = 15.0
MAX_BODY_BYTES = 4 * 1024 * 1024


class ProcessSpec(msgspec.Struct, frozen=True):
    """Settings of a benchmark process.

    An entry uses ``first_number`` as its number. A group of targets has the
    numbers from ``first_number`` on.
    """

    policy: str = "default"
    site: str = "bench"
    data_centres: list[str] = msgspec.field(default_factory=lambda: ["dc"])
    control_address: str = ""
    weight_store_address: str = ""
    loads_per_second: float = 4.0
    first_number: int = 0
    target_count: int = 1
    batch_slots: int = 8
    adapter_slots: int = 6
    step_s: float = 0.05
    max_in_flight: int = 256

    def get_data_centre(self, number: int) -> str:
        """Return the data centre of an entry or target (round-robin)."""
        return self.data_centres[number % len(self.data_centres)]


class BenchProcess(typing.NamedTuple):
    """Handle of a running benchmark process in its parent.

    ``addresses`` is what the process printed when it was ready.
    """

    process: subprocess.Popen[str]
    addresses: dict[str, typing.Any]

    def stop(self) -> None:
        """Close its standard input; kill it if it does not exit in time."""
        if self.process.stdin is not None:
            self.process.stdin.close()
        try:
            self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


def start_process(kind: str, spec: ProcessSpec) -> BenchProcess:
    """Start a process and wait until it listens.

    :raises RuntimeError: when it exits before that.
    """
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "hemlockkeel_bench.processes",
            kind,
            msgspec.json.encode(spec).decode(),
        ],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdout is not None
    line = process.stdout.readline()
    if not line:
        raise RuntimeError(f"the {kind} process exited before it listened")
    return BenchProcess(process, json.loads(line))


def start_control(
    spec: ProcessSpec, stack: contextlib.ExitStack
) -> dict[str, str]:
    """Start a control member and the weight store; return their addresses."""
    folder = stack.enter_context(
        tempfile.TemporaryDirectory(prefix="hemlockkeel-bench-")
    )
    control = control_process.ControlProcess(
        control_process.ControlSettings(
            data_dir=pathlib.Path(folder),
            secret=dev.DEV_SECRET,
            admin_token=dev.DEV_TOKEN,
            bootstrap=True,
            load_policy=policies.make_policy_set(spec.policy).load_policy,
        ),
        metrics.Metrics(),
    )
    store = weight_store.WeightStore(spec.loads_per_second)
    server = web_server.WebServer(
        weight_store.WeightStoreApp(store),
        "127.0.0.1",
        0,
        WEIGHT_STORE_THREADS,
        MAX_BODY_BYTES,
    )
    server.start()
    control.start()
    stack.callback(control.stop)
    stack.callback(server.stop)
    return {
        "control": control.address,
        "admin": control.admin_url,
        "weights": server.address,
    }


def start_targets(
    spec: ProcessSpec, stack: contextlib.ExitStack
) -> dict[str, list[str]]:
    """Start stand-in engines and their agents; return engine addresses."""
    policy = policies.make_policy_set(spec.policy)
    addresses = []
    for number in range(
        spec.first_number, spec.first_number + spec.target_count
    ):
        stand_in = engine.StandInEngine(
            engine.EngineOptions(
                base_model="bench-7b",
                batch_slots=spec.batch_slots,
                adapter_slots=spec.adapter_slots,
                step_s=spec.step_s,
                seed=number,
            ),
            standin.RemoteWeightStore(spec.weight_store_address).fetch,
        )
        target = dev.StandInTarget(
            f"{ENGINE_SERVICE}-{number}",
            engine_app.EngineApp(stand_in),
            stand_in,
        )
        agent = agent_process.AgentProcess(
            agent_process.AgentSettings(
                target_id=target.target_id,
                service=ENGINE_SERVICE,
                target_address=target.server.address,
                control=[spec.control_address],
                secret=dev.DEV_SECRET,
                data_centre=spec.get_data_centre(number),
                site=spec.site,
                eviction_policy=policy.eviction,
                preloads=policy.preloads,
            ),
            metrics.Metrics(),
        )
        agent.start()
        stack.callback(target.stop)
        stack.callback(agent.stop)
        addresses.append(target.server.address)
    return {"engines": addresses}


def start_entry(
    spec: ProcessSpec, stack: contextlib.ExitStack
) -> dict[str, str]:
    """Start an entry and return its URL."""
    policy = policies.make_policy_set(spec.policy)
    entry = entry_process.EntryProcess(
        entry_process.EntrySettings(
            member_id=f"entry-{spec.first_number}",
            control=[spec.control_address],
            secret=dev.DEV_SECRET,
            data_centre=spec.get_data_centre(spec.first_number),
            site=spec.site,
            max_in_flight=spec.max_in_flight,
            balancer_notice_s=0.0,
            router=policy.router,
        ),
        metrics.Metrics(),
    )
    entry.start()
    stack.callback(entry.stop)
    return {"entry": entry.url}


START_FUNCTIONS = {
    "control": start_control,
    "targets": start_targets,
    "entry": start_entry,
}


def main() -> None:
    """Run one process until its standard input is closed."""
    logging.set_verbosity(logging.ERROR)
    std_logging.getLogger("waitress").setLevel(std_logging.CRITICAL)
    spec = msgspec.json.decode(sys.argv[2], type=ProcessSpec)
    with contextlib.ExitStack() as stack:
        addresses = START_FUNCTIONS[sys.argv[1]](spec, stack)
        print(json.dumps(addresses), flush=True)
        sys.stdin.read()


if __name__ == "__main__":
    main()
