"""Measures request records, resumed streams, overload and retries.

``python -m hemlockkeel_bench.outcomes [--only NAME]`` prints a line for each
measurement and all figures as one JSON object in the last line.
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

from hemlockkeel._internal.cli import operator_client
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
# A request takes a step for its prefill and one for each token.
SERVICE_TIME_S = STEP_S * (TOKENS + 1)
CAPACITY_PER_S = ENGINE_COUNT * BATCH_SLOTS / SERVICE_TIME_S
CALLER_TIMEOUT_S = 5.0
OVERLOAD_DURATION_S = 10.0
PRIORITY_SHARES = {"high": 0.2, "normal": 0.3, "low": 0.5}
CALLER_THREADS = 300
Figures = dict[str, typing.Any]


class EngineCluster:
    """A control member, engines with agents, and entries, in processes."""

    def __init__(
        self, stack: contextlib.ExitStack, entry_count: int, step_s: float
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
            target_spec = msgspec.structs.replace(spec, first_number=number)
            self.engines += self.start_process(
                "targets", target_spec
            ).addresses["engines"]
        self.entry_processes = [
            self.start_process(
                "entry", msgspec.structs.replace(spec, first_number=number)
            )
            for number in range(entry_count)
        ]
        self.entries = [
            process.addresses["entry"] for process in self.entry_processes
        ]
        operator = operator_client.OperatorClient(
            [control["admin"]], dev.DEV_TOKEN
        )
        dev.wait_until(lambda: self.is_ready(operator), "the cluster is ready")
        declare.apply_items(operator, make_items(), "outcomes")

    def start_process(
        self, kind: str, spec: processes.ProcessSpec
    ) -> processes.BenchProcess:
        """Start a process that is stopped when the stack closes."""
        started = processes.start_process(kind, spec)
        self.stack.callback(started.stop)
        return started

    def is_ready(self, operator: operator_client.OperatorClient) -> bool:
        """Return whether entries are ready and every target is registered."""
        ready = [
            load.request_json(f"{url}/readyz")["ready"] for url in self.entries
        ]
        targets = operator.call("GET", "/v1/targets")["targets"]
        return all(ready) and len(targets) == ENGINE_COUNT


def make_items() -> declaration_files.ItemMap:
    """Return the declarations of one deployment for each priority."""
    deployments = {
        name: declarations.DeclaredDeployment(
            base_model="bench-7b",
            service=processes.ENGINE_SERVICE,
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
    """Send one completion request; return the status and JSON response."""
    parts = urllib.parse.urlsplit(url)
    connection = http.client.HTTPConnection(
        parts.hostname or "", parts.port, timeout=60
    )
    body = json.dumps({"model": model, "prompt": prompt, "max_tokens": tokens})
    with contextlib.closing(connection):
        connection.request("POST", "/v1/completions", body, headers)
        response = connection.getresponse()
        response_body: Figures = json.loads(response.read())
        return response.status, response_body


def measure_record() -> Figures:
    """Measure the latency of requests without and with a record.

    Requests with an idempotency key have a record.
    """
    figures: Figures = {}
    with contextlib.ExitStack() as stack:
        cluster = EngineCluster(stack, 1, 0.002)
        for name in ("plain", "keyed"):
            durations = histograms.DurationHistogram()
            for number in range(300):
                headers = {}
                if name == "keyed":
                    headers["Idempotency-Key"] = f"k{number}"
                started_at = time.monotonic()
                send_completion(
                    cluster.entries[0], "high@1", f"p{number}", 4, headers
                )
                durations.record(time.monotonic() - started_at)
            figures[name] = {
                "p50_s": durations.get_percentile_s(50),
                "p99_s": durations.get_percentile_s(99),
            }
    print(f"record: {figures}", flush=True)
    return figures


def measure_resume() -> Figures:
    """Measure how long a stream pauses when its entry is killed.

    The caller resumes it through another entry.
    """
    pauses = []
    with contextlib.ExitStack() as stack:
        cluster = EngineCluster(stack, 2, 0.02)
        stream = open_stream(cluster.entries[0], "high@1", "resume", {})
        event_id = read_event_id(stream)
        cluster.entry_processes[0].process.kill()
        killed_at = time.monotonic()
        with contextlib.suppress(OSError, http.client.HTTPException):
            while line := stream.readline():
                if line.startswith(b"id: "):
                    event_id = line[4:].strip().decode()
        resumed = open_stream(
            cluster.entries[1], "high@1", "resume", {"Last-Event-ID": event_id}
        )
        read_event_id(resumed)
        pauses.append(round(time.monotonic() - killed_at, 4))
    print(f"resume: {pauses}", flush=True)
    return {"seconds": pauses}


def open_stream(
    url: str, model: str, prompt: str, headers: dict[str, str]
) -> http.client.HTTPResponse:
    """Send a streaming request and return its response, yet to be read."""
    parts = urllib.parse.urlsplit(url)
    connection = http.client.HTTPConnection(
        parts.hostname or "", parts.port, timeout=60
    )
    body = {"model": model, "prompt": prompt, "max_tokens": 200}
    data = json.dumps({**body, "stream": True})
    connection.request("POST", "/v1/completions", data, headers)
    return connection.getresponse()


def read_event_id(response: http.client.HTTPResponse) -> str:
    """Read up to the next event id and return it.

    :raises RuntimeError: when the stream ends before it.
    """
    while line := response.readline():
        if line.startswith(b"id: "):
            return line[4:].strip().decode()
    raise RuntimeError("the stream ended before the next event id")


def measure_overload() -> Figures:
    """Measure goodput and load shedding at 1, 2 and 4 times the capacity."""
    figures: Figures = {"capacity_per_s": round(CAPACITY_PER_S, 1)}
    for factor in (1, 2, 4):
        with contextlib.ExitStack() as stack:
            cluster = EngineCluster(stack, 2, STEP_S)
            figures[f"{factor}x"] = run_overload(cluster, factor)
        print(f"overload/{factor}x: {figures[f'{factor}x']}", flush=True)
    goodput = [figures[f"{factor}x"]["ok_per_s"] for factor in (1, 4)]
    figures["goodput_4x_over_1x"] = round(goodput[1] / goodput[0], 3)
    return figures


def run_overload(cluster: EngineCluster, factor: float) -> Figures:
    """Send requests of all priorities at a multiple of the capacity.

    Arrivals are a Poisson process that does not wait for responses (open
    loop). Responses after the timeout of the caller don't count as ok.
    """
    rng = random.Random(int(factor * 10))
    names, weights = list(PRIORITY_SHARES), list(PRIORITY_SHARES.values())
    sent: collections.Counter[str] = collections.Counter()
    ok: collections.Counter[str] = collections.Counter()
    error_codes: collections.Counter[str] = collections.Counter()

    def call(number: int, name: str) -> None:
        headers = {
            "Hemlockkeel-Caller": f"caller-{number % 20}",
            "Hemlockkeel-Timeout": str(CALLER_TIMEOUT_S),
        }
        sent_at = time.monotonic()
        status, response_body = send_completion(
            cluster.entries[number % len(cluster.entries)],
            f"{name}@1",
            f"{factor}-{number}",
            TOKENS,
            headers,
        )
        late = time.monotonic() - sent_at > CALLER_TIMEOUT_S
        if status == http.client.OK and not late:
            ok[name] += 1
        else:
            error_codes[
                "late" if late else response_body["error"]["code"]
            ] += 1

    started_at = time.monotonic()
    arrival_time_s = number = 0.0
    with concurrent.futures.ThreadPoolExecutor(CALLER_THREADS) as pool:
        while arrival_time_s < OVERLOAD_DURATION_S:
            arrival_time_s += rng.expovariate(CAPACITY_PER_S * factor)
            number += 1
            name = rng.choices(names, weights)[0]
            sent[name] += 1
            time.sleep(
                max(0.0, started_at + arrival_time_s - time.monotonic())
            )
            pool.submit(call, int(number), name)
        elapsed_s = time.monotonic() - started_at
    return {
        "sent_per_s": round(sum(sent.values()) / elapsed_s, 1),
        "ok_per_s": round(sum(ok.values()) / elapsed_s, 1),
        "ok_share": {n: round(ok[n] / max(1, sent[n]), 3) for n in names},
        "codes": dict(error_codes),
    }


def measure_retries() -> Figures:
    """Measure the retries per request while one of three engines crashes.

    The engine crashes on each request that contains the marker.
    """
    requests = 200
    with contextlib.ExitStack() as stack:
        cluster = EngineCluster(stack, 1, 0.005)
        for model in ("high@1", "normal@1", "low@1"):
            send_completion(cluster.entries[0], model, f"warm {model}", 2, {})
        address = cluster.engines[0]
        fault = {"crash_marker": "request"}
        load.request_json(f"http://{address}/engine/faults", "POST", fault)
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            statuses = list(
                pool.map(
                    lambda n: send_completion(
                        cluster.entries[0],
                        f"{list(PRIORITY_SHARES)[n % 3]}@1",
                        f"request {n}",
                        4,
                        {},
                    )[0],
                    range(requests),
                )
            )
        counters = load.request_json(f"{cluster.entries[0]}/v1/counters")
    figures = {
        "requests": requests,
        "ok_share": round(statuses.count(200) / requests, 3),
        "retries_a_request": round(
            counters.get("requests.retries", 0) / requests, 3
        ),
    }
    print(f"retries: {figures}", flush=True)
    return figures


MEASUREMENTS = {
    "record": measure_record,
    "resume": measure_resume,
    "retries": measure_retries,
    "overload": measure_overload,
}


def main(only: str = "") -> None:
    """Run all measurements, or the one with the given name."""
    logging.set_verbosity(logging.ERROR)
    std_logging.getLogger("waitress").setLevel(std_logging.CRITICAL)
    figures = {
        name: measure()
        for name, measure in MEASUREMENTS.items()
        if only in ("", name)
    }
    print(json.dumps(figures), flush=True)


if __name__ == "__main__":
    typer.run(main)
