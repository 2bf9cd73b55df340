"""Processor time of entries and agents against concurrent streams."""

import concurrent.futures
import contextlib
import dataclasses
import http.client
import json
import pathlib
import time
import typing
import urllib.parse

import msgspec

from hemlockkeel._internal.models import declarations
from hemlockkeel._internal.standins import dev
from hemlockkeel._internal.state import declaration_files
from hemlockkeel_bench import declare
from hemlockkeel_bench import load
from hemlockkeel_bench import processes

TOKENS = 100
STEP_S = 0.026
REQUEST_TIMEOUT_S = 120.0


@dataclasses.dataclass(frozen=True)
class MeasuredProcess:
    """A host process whose processor time is read."""

    name: str
    host: processes.BenchProcess

    def get_cpu_s(self) -> float:
        """Return the processor seconds used so far."""
        stat = pathlib.Path(f"/proc/{self.host.process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        # User and system time follow eleven fields after the state.
        return sum(int(value) for value in fields[11:13]) / 100.0


def measure_streams(count: int) -> dict[str, typing.Any]:
    """Run streams at once; return processor time a token by role."""
    spec = processes.ProcessSpec(
        step_s=STEP_S,
        batch_slots=count,
        adapter_slots=4,
        loads_per_second=50.0,
        # Normal priority may fill 0.85 of an entry's places.
        max_in_flight=2 * count,
    )
    with contextlib.ExitStack() as stack:
        control = start_process(stack, "control", spec)
        spec = msgspec.structs.replace(
            spec,
            control_address=control.addresses["control"],
            weight_store_address=control.addresses["weights"],
        )
        targets = start_process(stack, "targets", spec)
        entry = start_process(stack, "entry", spec)
        operator = declare.OperatorClient(
            control.addresses["admin"], dev.DEV_TOKEN
        )
        url = entry.addresses["entry"]
        dev.wait_until(lambda: is_ready(url, operator), "the entry is ready")
        declare.apply_items(operator, make_items(), "streams")
        roles = [
            MeasuredProcess("entry", entry),
            MeasuredProcess("targets", targets),
        ]
        before = [role.get_cpu_s() for role in roles]
        begun = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(count) as pool:
            list(pool.map(lambda n: read_stream(url, n), range(count)))
        elapsed = time.monotonic() - begun
        used = [
            role.get_cpu_s() - earlier
            for role, earlier in zip(roles, before, strict=True)
        ]
    tokens = count * TOKENS
    return {
        "streams": count,
        "tokens_per_s": round(tokens / elapsed, 1),
        "entry_us_a_token": round(used[0] / tokens * 1e6, 1),
        "engine_and_agent_us_a_token": round(used[1] / tokens * 1e6, 1),
        "stretch": round(elapsed / (TOKENS * STEP_S), 3),
    }


def start_process(
    stack: contextlib.ExitStack, kind: str, spec: processes.ProcessSpec
) -> processes.BenchProcess:
    """Start a host process that ends with the stack."""
    host = processes.start_process(kind, spec)
    stack.callback(host.stop)
    return host


def is_ready(url: str, operator: declare.OperatorClient) -> bool:
    """Tell whether the entry serves and its target is registered."""
    if not load.request_json(f"{url}/readyz")["ready"]:
        return False
    return bool(operator.send("GET", "/v1/targets")["targets"])


def make_items() -> declaration_files.ItemMap:
    """Return a configuration with one deployment."""
    return declaration_files.make_base_items(
        declarations.BaseFile(
            sites={"bench": declarations.Site(["dc"], 50.0)},
            deployments={
                "d": declarations.DeclaredDeployment(
                    base_model="bench-7b",
                    service=processes.SERVICE,
                    adapters=["a@1", "b@1"],
                )
            },
        )
    )


def read_stream(url: str, number: int) -> None:
    """Read one stream to its end."""
    parts = urllib.parse.urlsplit(url)
    connection = http.client.HTTPConnection(
        parts.hostname or "", parts.port, timeout=REQUEST_TIMEOUT_S
    )
    body = {
        "model": "a@1",
        "prompt": f"stream {number}",
        "max_tokens": TOKENS,
        "stream": True,
    }
    with contextlib.closing(connection):
        connection.request("POST", "/v1/completions", json.dumps(body))
        data = connection.getresponse().read()
    if b"[DONE]" not in data:
        raise RuntimeError(f"stream {number} ended early: {data[-300:]!r}")
