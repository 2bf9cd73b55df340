"""Measures records, resumes, overload and retries.

``python -m hemlockkeel_bench.outcomes [--only NAME]``; the last line is
JSON.
"""

import collections
import concurrent.futures
import contextlib
import http.client
import json
import logging as std_logging
import random
import time
import typing
import urllib.parse

from absl import logging
import msgspec
import typer

from hemlockkeel._internal.models import declarations
from hemlockkeel._internal.standins import dev
from hemlockkeel._internal.state import declaration_files
from hemlockkeel_bench import declare
from hemlockkeel_bench import histograms
from hemlockkeel_bench import load
from hemlockkeel_bench import processes

ENGINE_COUNT = 3
BATCH_SLOTS = 8
STEP_S = 0.05
TOKENS = 10
SERVICE_TIME_S = STEP_S * (TOKENS + 1)
CAPACITY_PER_S = ENGINE_COUNT * BATCH_SLOTS / SERVICE_TIME_S
CALLER_TIMEOUT_S = 5.0
OVERLOAD_DURATION_S = 10.0
PRIORITY_SHARES = {"high": 0.2, "normal": 0.3, "low": 0.5}
CALLER_THREADS = 300
Figures = dict[str, typing.Any]


class EngineCluster:
    """A control member, engines with agents, and entries."""

    def __init__(
        self, stack: contextlib.ExitStack, entries: int, step_s: float
    ) -> None:
        spec = processes.ProcessSpec(
            step_s=step_s,
            batch_slots=BATCH_SLOTS,
            adapter_slots=4,
            loads_per_second=50.0,
            max_in_flight=40,
        )
        self.stack = stack
        control = self.start_process("control", spec).addresses
        spec = msgspec.structs.replace(
            spec,
            control_address=control["control"],
            weight_store_address=control["weights"],
        )
        self.engines: list[str] = []
        for number in range(ENGINE_COUNT):
            group = msgspec.structs.replace(spec, first_number=number)
            self.engines += self.start_process("targets", group).addresses[
                "engines"
            ]
        self.entry_processes = [
            self.start_process(
                "entry", msgspec.structs.replace(spec, first_number=number)
            )
            for number in range(entries)
        ]
        self.entries = [
            host.addresses["entry"] for host in self.entry_processes
        ]
        operator = declare.OperatorClient(control["admin"], dev.DEV_TOKEN)
        dev.wait_until(lambda: self.is_ready(operator), "the group is ready")
        declare.apply_items(operator, make_items(), "outcomes")

    def start_process(
        self, kind: str, spec: processes.ProcessSpec
    ) -> processes.BenchProcess:
        """Start a host process that ends with the group."""
        host = processes.start_process(kind, spec)
        self.stack.callback(host.stop)
        return host

    def is_ready(self, operator: declare.OperatorClient) -> bool:
        """Tell whether entries serve and every target is registered."""
        ready = [
            load.request_json(f"{url}/readyz")["ready"] for url in self.entries
        ]
        targets = operator.send("GET", "/v1/targets")["targets"]
        return all(ready) and len(targets) == ENGINE_COUNT


def make_items() -> declaration_files.ItemMap:
    """Return one deployment a priority."""
    deployments = {
        name: declarations.DeclaredDeployment(
            base_model="bench-7b",
            service=processes.SERVICE,
            priority=declarations.Priority(name),
            adapters=[f"{name}@1"],
        )
        for name in PRIORITY_SHARES
    }
    return declaration_files.make_base_items(
        declarations.BaseFile(
            sites={"bench": declarations.Site(["dc"], 50.0)},
            deployments=deployments,
        )
    )


def send_completion(
    url: str, model: str, prompt: str, tokens: int, headers: dict[str, str]
) -> tuple[int, Figures]:
    """Send one completion; return its status and body."""
    parts = urllib.parse.urlsplit(url)
    connection = http.client.HTTPConnection(
        parts.hostname or "", parts.port, timeout=60
    )
    body = json.dumps({"model": model, "prompt": prompt, "max_tokens": tokens})
    with contextlib.closing(connection):
        connection.request("POST", "/v1/completions", body, headers)
        response = connection.getresponse()
        reply: Figures = json.loads(response.read())
        return response.status, reply


def measure_record() -> Figures:
    """Measure what a record adds to a request."""
    found: Figures = {}
    with contextlib.ExitStack() as stack:
        group = EngineCluster(stack, 1, 0.002)
        for name in ("plain", "keyed"):
            durations = histograms.DurationHistogram()
            for number in range(300):
                headers = {}
                if name == "keyed":
                    headers["Idempotency-Key"] = f"k{number}"
                begun = time.monotonic()
                send_completion(
                    group.entries[0], "high@1", f"p{number}", 4, headers
                )
                durations.record(time.monotonic() - begun)
            found[name] = {
                "p50_s": durations.get_percentile_s(50),
                "p99_s": durations.get_percentile_s(99),
            }
    print(f"record: {found}", flush=True)
    return found


def measure_resume() -> Figures:
    """Measure how long a stream stands still when its entry is killed."""
    pauses = []
    with contextlib.ExitStack() as stack:
        group = EngineCluster(stack, 2, 0.02)
        stream = open_stream(group.entries[0], "high@1", "resume", {})
        place = read_event_id(stream)
        group.entry_processes[0].process.kill()
        begun = time.monotonic()
        with contextlib.suppress(OSError, http.client.HTTPException):
            while line := stream.readline():
                if line.startswith(b"id: "):
                    place = line[4:].strip().decode()
        again = open_stream(
            group.entries[1], "high@1", "resume", {"Last-Event-ID": place}
        )
        read_event_id(again)
        pauses.append(round(time.monotonic() - begun, 4))
    print(f"resume: {pauses}", flush=True)
    return {"seconds": pauses}


def open_stream(
    url: str, model: str, prompt: str, headers: dict[str, str]
) -> http.client.HTTPResponse:
    """Start reading a stream."""
    parts = urllib.parse.urlsplit(url)
    connection = http.client.HTTPConnection(
        parts.hostname or "", parts.port, timeout=60
    )
    body = {"model": model, "prompt": prompt, "max_tokens": 200}
    data = json.dumps({**body, "stream": True})
    connection.request("POST", "/v1/completions", data, headers)
    return connection.getresponse()


def read_event_id(response: http.client.HTTPResponse) -> str:
    """Return the id of the next event."""
    while line := response.readline():
        if line.startswith(b"id: "):
            return line[4:].strip().decode()
    raise RuntimeError("the stream ended")


def measure_overload() -> Figures:
    """Measure goodput and shedding at 1, 2 and 4 times the capacity."""
    found: Figures = {"capacity_per_s": round(CAPACITY_PER_S, 1)}
    for factor in (1, 2, 4):
        with contextlib.ExitStack() as stack:
            group = EngineCluster(stack, 2, STEP_S)
            found[f"{factor}x"] = run_overload(group, factor)
        print(f"overload/{factor}x: {found[f'{factor}x']}", flush=True)
    goodput = [found[f"{factor}x"]["ok_per_s"] for factor in (1, 4)]
    found["goodput_4x_over_1x"] = round(goodput[1] / goodput[0], 3)
    return found


def run_overload(group: EngineCluster, factor: float) -> Figures:
    """Send an open-loop stream of all priorities."""
    rng = random.Random(int(factor * 10))
    names, weights = list(PRIORITY_SHARES), list(PRIORITY_SHARES.values())
    sent: collections.Counter[str] = collections.Counter()
    ok: collections.Counter[str] = collections.Counter()
    codes: collections.Counter[str] = collections.Counter()

    def call(number: int, name: str) -> None:
        headers = {
            "Hemlockkeel-Caller": f"caller-{number % 20}",
            "Hemlockkeel-Timeout": str(CALLER_TIMEOUT_S),
        }
        begun = time.monotonic()
        status, reply = send_completion(
            group.entries[number % len(group.entries)],
            f"{name}@1",
            f"{factor}-{number}",
            TOKENS,
            headers,
        )
        late = time.monotonic() - begun > CALLER_TIMEOUT_S
        if status == http.client.OK and not late:
            ok[name] += 1
        else:
            codes["late" if late else reply["error"]["code"]] += 1

    begun = time.monotonic()
    at = number = 0.0
    with concurrent.futures.ThreadPoolExecutor(CALLER_THREADS) as pool:
        while at < OVERLOAD_DURATION_S:
            at += rng.expovariate(CAPACITY_PER_S * factor)
            number += 1
            name = rng.choices(names, weights)[0]
            sent[name] += 1
            time.sleep(max(0.0, begun + at - time.monotonic()))
            pool.submit(call, int(number), name)
        sent_s = time.monotonic() - begun
    return {
        "sent_per_s": round(sum(sent.values()) / sent_s, 1),
        "ok_per_s": round(sum(ok.values()) / sent_s, 1),
        "ok_share": {n: round(ok[n] / max(1, sent[n]), 3) for n in names},
        "codes": dict(codes),
    }


def measure_retries() -> Figures:
    """Measure retries a request while one of three targets fails."""
    requests = 200
    with contextlib.ExitStack() as stack:
        group = EngineCluster(stack, 1, 0.005)
        for model in ("high@1", "normal@1", "low@1"):
            send_completion(group.entries[0], model, f"warm {model}", 2, {})
        address = group.engines[0]
        fault = {"crash_marker": "request"}
        load.request_json(f"http://{address}/engine/faults", "POST", fault)
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            statuses = list(
                pool.map(
                    lambda n: send_completion(
                        group.entries[0],
                        f"{list(PRIORITY_SHARES)[n % 3]}@1",
                        f"request {n}",
                        4,
                        {},
                    )[0],
                    range(requests),
                )
            )
        counters = load.request_json(f"{group.entries[0]}/v1/counters")
    found = {
        "requests": requests,
        "ok_share": round(statuses.count(200) / requests, 3),
        "retries_a_request": round(
            counters.get("requests.retries", 0) / requests, 3
        ),
    }
    print(f"retries: {found}", flush=True)
    return found


MEASUREMENTS = {
    "record": measure_record,
    "resume": measure_resume,
    "retries": measure_retries,
    "overload": measure_overload,
}


def main(only: str = "") -> None:
    """Run all measurements, or one."""
    logging.set_verbosity(logging.ERROR)
    std_logging.getLogger("waitress").setLevel(std_logging.CRITICAL)
    found = {
        name: measure()
        for name, measure in MEASUREMENTS.items()
        if only in ("", name)
    }
    print(json.dumps(found), flush=True)


if __name__ == "__main__":
    typer.run(main)
