"""Measures processor time of an entry and an agent for concurrent streams."""

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

from hemlockkeel._internal.cli import operator_client
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
    """A process whose processor time is measured."""

    name: str
    bench_process: processes.BenchProcess

    def get_cpu_s(self) -> float:
        """Return the processor seconds used so far.

        Source: proc(5), ``/proc/[pid]/stat``, fields ``utime`` and ``stime``.
        """
        pid = self.bench_process.process.pid
        stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        # The fields follow the name in parentheses and 11 others. They are in
        # clock ticks of 10 ms.
        return sum(int(value) for value in fields[11:13]) / 100.0


def measure_streams(count: int) -> dict[str, typing.Any]:
    """Run concurrent streams; return processor time a token by process.

    ``stretch`` is the elapsed time relative to that of the engine steps alone.
    """
    spec = processes.ProcessSpec(
        step_s=STEP_S,
        batch_slots=count,
        adapter_slots=4,
        loads_per_second=50.0,
        # Requests of normal priority may use only 85 % of this limit.
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
        operator = operator_client.OperatorClient(
            [control.addresses["admin"]], dev.DEV_TOKEN
        )
        url = entry.addresses["entry"]
        dev.wait_until(lambda: is_ready(url, operator), "the entry is ready")
        declare.apply_items(operator, make_items(), "streams")
        measured = [
            MeasuredProcess("entry", entry),
            MeasuredProcess("targets", targets),
        ]
        before = [process.get_cpu_s() for process in measured]
        started_at = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(count) as pool:
            list(pool.map(lambda n: read_stream(url, n), range(count)))
        elapsed_s = time.monotonic() - started_at
        used_s = [
            process.get_cpu_s() - earlier
            for process, earlier in zip(measured, before, strict=True)
        ]
    tokens = count * TOKENS
    return {
        "streams": count,
        "tokens_per_s": round(tokens / elapsed_s, 1),
        "entry_us_a_token": round(used_s[0] / tokens * 1e6, 1),
        "engine_and_agent_us_a_token": round(used_s[1] / tokens * 1e6, 1),
        "stretch": round(elapsed_s / (TOKENS * STEP_S), 3),
    }


def start_process(
    stack: contextlib.ExitStack, kind: str, spec: processes.ProcessSpec
) -> processes.BenchProcess:
    """Start a process that is stopped when the stack closes."""
    started = processes.start_process(kind, spec)
    stack.callback(started.stop)
    return started


def is_ready(url: str, operator: operator_client.OperatorClient) -> bool:
    """Return whether the entry is ready and its target is registered."""
    if not load.request_json(f"{url}/readyz")["ready"]:
        return False
    return bool(operator.call("GET", "/v1/targets")["targets"])


def make_items() -> declaration_files.ItemMap:
    """Return the declarations of one deployment with two adapters."""
    return declaration_files.make_base_items(
        declarations.BaseFile(
            sites={"bench": declarations.Site(["dc"], 50.0)},
            deployments={
                "d": declarations.DeclaredDeployment(
                    base_model="bench-7b",
                    service=processes.ENGINE_SERVICE,
                    adapters=["a@1", "b@1"],
                )
            },
        )
    )


def read_stream(url: str, number: int) -> None:
    """Send one request and read its stream to the end.

    :raises RuntimeError: when the stream ends early.
    """
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
