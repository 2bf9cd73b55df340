"""Sends a workload to real roles with stand-in engines, in processes."""

import collections
import concurrent.futures
import contextlib
import dataclasses
import http.client
import json
import threading
import time
import typing
import urllib.parse

import msgspec

from hemlockkeel._internal.cli import operator_client
from hemlockkeel._internal.models import declarations
from hemlockkeel._internal.standins import dev
from hemlockkeel._internal.standins import engine
from hemlockkeel._internal.state import declaration_files
from hemlockkeel_bench import declare
from hemlockkeel_bench import histograms
from hemlockkeel_bench import policies
from hemlockkeel_bench import processes
from hemlockkeel_bench import profiles

CALLER_THREADS = 400
REQUEST_TIMEOUT_S = 120.0
# Fraction of the arrivals before batch efficiency is measured.
WARMUP_FRACTION = 0.15
# Fraction of the arrivals before an engine restarts, if that is asked for.
RESTART_AT_FRACTION = 0.5
LOAD_FAILURE_SHARE = 0.05
TARGETS_PER_PROCESS = 3
READY_TIMEOUT_S = 60.0
READY_POLL_INTERVAL_S = 0.1
# Names of the two deployments of a workload.
URGENT = "urgent"
ORDINARY = "ordinary"


@dataclasses.dataclass(frozen=True)
class RequestResult:
    """Outcome of one request as its caller saw it.

    ``stall_s`` is the time that the response reports as waiting for the load
    of its adapter, ``first_token_s`` the time from sending the request to the
    first event, both as measured. ``violation`` is empty unless a successful
    response is wrong.
    """

    arrival: profiles.Arrival
    ok: bool
    verdict: str
    code: str
    stall_s: float
    first_token_s: float
    violation: str


@dataclasses.dataclass
class RunSummary:
    """Figures of one run.

    Durations of results are measured at ``speed`` and printed as they would
    be at normal speed. ``min_loads`` is the least number of loads that any
    eviction policy needs with all adapter slots as one cache.
    """

    results: list[RequestResult]
    batch_efficiency: float
    loads: int
    min_loads: int
    violations: list[str]
    speed: float

    def to_dict(self) -> dict[str, typing.Any]:
        """Return the figures in their JSON form."""
        succeeded = [r for r in self.results if r.ok]
        failed = [r for r in self.results if not r.ok]
        verdicts = collections.Counter(r.verdict for r in failed)
        codes = collections.Counter(r.code for r in failed)
        first_tokens = self.summarize([r.first_token_s for r in succeeded])
        stalls = self.summarize([r.stall_s for r in succeeded])
        by_priority = {
            name: self.summarize(
                [r.stall_s for r in succeeded if r.arrival.urgent is urgent]
            )
            for name, urgent in ((URGENT, True), (ORDINARY, False))
        }
        return {
            "requests": len(self.results),
            "ok": len(succeeded),
            "refused": dict(verdicts),
            "refused_codes": dict(codes),
            "load_stall_s": {**stalls, "by_priority": by_priority},
            "batch_efficiency": round(self.batch_efficiency, 4),
            "loads": self.loads,
            "load_bound": self.min_loads,
            "loads_over_bound": round(self.loads / self.min_loads, 3),
            "ttft_s": {"p50": first_tokens["p50"], "p99": first_tokens["p99"]},
            "violations": len(self.violations),
        }

    def summarize(self, values: list[float]) -> dict[str, float]:
        """Return total, mean and percentiles in seconds at normal speed."""
        durations = histograms.DurationHistogram()
        for value in values:
            durations.record(value * self.speed)
        return {
            "total": round(durations.total_s, 3),
            "mean": durations.get_mean_s(),
            "p50": durations.get_percentile_s(50),
            "p99": durations.get_percentile_s(99),
        }


def make_items(
    profile: profiles.Profile, policy: policies.PolicySet, speed: float
) -> declaration_files.ItemMap:
    """Return the declarations of a workload: ordinary and urgent adapters."""
    hold_ms = int(profile.hold_ms / speed) if policy.holds_requests else 0
    shared = {
        "base_model": "bench-7b",
        "service": processes.ENGINE_SERVICE,
        "stall_weight": profile.stall_weight,
        "batch_weight": profile.batch_weight,
    }
    ordinary = declarations.DeclaredDeployment(
        **shared,  # type: ignore[arg-type]
        priority=profile.priority,
        hold_ms=hold_ms,
        adapters=[f"club-{n:04}@1" for n in range(profiles.ADAPTER_COUNT)],
    )
    urgent = declarations.DeclaredDeployment(
        **shared,  # type: ignore[arg-type]
        priority=declarations.Priority.HIGH,
        adapters=[
            f"check-{n:04}@1" for n in range(profiles.URGENT_ADAPTER_COUNT)
        ],
    )
    site = declarations.Site(
        list(profile.data_centres), profile.loads_per_second * speed
    )
    return declaration_files.make_base_items(
        declarations.BaseFile(
            sites={profile.site: site},
            deployments={ORDINARY: ordinary, URGENT: urgent},
        )
    )


class BenchCluster:
    """The processes of one run: control, targets and entries."""

    def __init__(
        self, profile: profiles.Profile, policy: str, speed: float
    ) -> None:
        spec = processes.ProcessSpec(
            policy=policy,
            site=profile.site,
            data_centres=list(profile.data_centres),
            loads_per_second=profile.loads_per_second * speed,
            batch_slots=profile.batch_slots,
            adapter_slots=profile.adapter_slots,
            step_s=profile.step_s / speed,
        )
        self.processes: list[processes.BenchProcess] = []
        self.control = self.start_process("control", spec)
        spec = msgspec.structs.replace(
            spec,
            control_address=self.control["control"],
            weight_store_address=self.control["weights"],
        )
        self.engines: list[str] = []
        for first in range(0, profile.target_count, TARGETS_PER_PROCESS):
            count = min(TARGETS_PER_PROCESS, profile.target_count - first)
            group = msgspec.structs.replace(
                spec, first_number=first, target_count=count
            )
            self.engines += self.start_process("targets", group)["engines"]
        self.entries = [
            self.start_process(
                "entry", msgspec.structs.replace(spec, first_number=number)
            )["entry"]
            for number in range(profile.entry_count)
        ]
        self.operator = operator_client.OperatorClient(
            [self.control["admin"]], dev.DEV_TOKEN
        )
        self.wait_until_ready(profile.target_count)

    def start_process(
        self, kind: str, spec: processes.ProcessSpec
    ) -> dict[str, typing.Any]:
        """Start a process and return its addresses."""
        started = processes.start_process(kind, spec)
        self.processes.append(started)
        return started.addresses

    def wait_until_ready(self, target_count: int) -> None:
        """Wait until every entry is ready and all targets are registered.

        :raises TimeoutError: when that takes too long.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while True:
            ready = all(
                request_json(f"{url}/readyz")["ready"] for url in self.entries
            )
            targets = self.operator.call("GET", "/v1/targets")["targets"]
            if ready and len(targets) == target_count:
                return
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f"cluster not ready within {READY_TIMEOUT_S:g} s: "
                    f"{len(targets)} of {target_count} targets registered"
                )
            time.sleep(READY_POLL_INTERVAL_S)

    def read_ledgers(self) -> list[dict[str, typing.Any]]:
        """Return the counters and recorded requests of each engine."""
        return [
            request_json(f"http://{address}/engine/ledger")
            for address in self.engines
        ]

    def set_faults(self, faults: dict[str, typing.Any]) -> None:
        """Set injected faults on every engine."""
        for address in self.engines:
            request_json(f"http://{address}/engine/faults", "POST", faults)

    def restart_engine(self, number: int) -> None:
        """Restart one engine, which clears all its state."""
        address = self.engines[number]
        request_json(f"http://{address}/engine/restart", "POST", {})

    def stop(self) -> None:
        """Stop every process in the reverse order of their start."""
        for process in reversed(self.processes):
            process.stop()


def request_json(
    url: str, method: str = "GET", body: typing.Any = None
) -> typing.Any:
    """Send one request and return its JSON response, whatever its status."""
    parts = urllib.parse.urlsplit(url)
    connection = http.client.HTTPConnection(
        parts.hostname or "", parts.port, timeout=REQUEST_TIMEOUT_S
    )
    with contextlib.closing(connection):
        data = None if body is None else json.dumps(body)
        connection.request(method, parts.path, data)
        return json.loads(connection.getresponse().read())


class WorkloadRun:
    """One run of a workload with one set of policies."""

    def __init__(
        self,
        profile: profiles.Profile,
        policy: str,
        arrivals: list[profiles.Arrival],
        speed: float,
        faults: frozenset[str],
    ) -> None:
        self.profile = profile
        self.policy = policies.make_policy_set(policy)
        self.arrivals = arrivals
        self.speed = speed
        self.faults = faults
        self.thread_local = threading.local()
        self.cluster = BenchCluster(profile, policy, speed)
        self.urls = self.cluster.entries

    def run(self) -> RunSummary:
        """Send the requests of the workload and return the figures."""
        with contextlib.ExitStack() as stack:
            stack.callback(self.cluster.stop)
            declare.apply_items(
                self.cluster.operator,
                make_items(self.profile, self.policy, self.speed),
                "bench",
            )
            if "load-failures" in self.faults:
                self.cluster.set_faults(
                    {"load_failure_share": LOAD_FAILURE_SHARE}
                )
            results, batch_efficiency = self.send_arrivals()
            return self.make_summary(results, batch_efficiency)

    def send_arrivals(self) -> tuple[list[RequestResult], float]:
        """Send each request at its arrival time.

        Returns the results and the batch efficiency: the share of batch slots
        that were filled in the busy steps after the warm-up.
        """
        futures = []
        warmup_end = int(len(self.arrivals) * WARMUP_FRACTION)
        restart_at = int(len(self.arrivals) * RESTART_AT_FRACTION)
        before = (0, 0)
        started_at = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(CALLER_THREADS) as pool:
            for arrival in self.arrivals:
                delay_s = (
                    started_at
                    + arrival.arrival_time_s / self.speed
                    - time.monotonic()
                )
                if delay_s > 0:
                    time.sleep(delay_s)
                if arrival.number == warmup_end:
                    before = self.count_slots()
                if arrival.number == restart_at and "restart" in self.faults:
                    self.cluster.restart_engine(0)
                futures.append(pool.submit(self.send_request, arrival))
            after = self.count_slots()
            results = [future.result() for future in futures]
        steps = max(1, after[0] - before[0])
        batch_efficiency = (after[1] - before[1]) / (
            steps * self.profile.batch_slots
        )
        return results, batch_efficiency

    def count_slots(self) -> tuple[int, int]:
        """Return the busy steps and the filled batch slots of all engines."""
        ledgers = self.cluster.read_ledgers()
        return (
            sum(ledger["busy_steps"] for ledger in ledgers),
            sum(ledger["filled_slots"] for ledger in ledgers),
        )

    def send_request(self, arrival: profiles.Arrival) -> RequestResult:
        """Send one request and return its result, also when the call fails."""
        try:
            return self.send_streaming_request(arrival)
        except (OSError, http.client.HTTPException, ValueError) as error:
            self.thread_local.connections = {}
            return RequestResult(
                arrival, False, "unknown", type(error).__name__, 0, 0, ""
            )

    def send_streaming_request(
        self, arrival: profiles.Arrival
    ) -> RequestResult:
        """Send one request over this thread's connection, read its stream."""
        url = self.urls[arrival.number % len(self.urls)]
        connection = self.get_connection(url)
        body = {
            "model": arrival.model,
            "prompt": f"request {arrival.number}",
            "max_tokens": arrival.tokens,
            "stream": True,
        }
        started_at = time.monotonic()
        connection.request("POST", "/v1/completions", json.dumps(body))
        response = connection.getresponse()
        if response.status != http.client.OK:
            error = json.loads(response.read())["error"]
            return RequestResult(
                arrival, False, error["verdict"], error["code"], 0, 0, ""
            )
        return read_stream(arrival, response, started_at)

    def get_connection(self, url: str) -> http.client.HTTPConnection:
        """Return this thread's connection to an entry; make it if needed."""
        if not hasattr(self.thread_local, "connections"):
            self.thread_local.connections = {}
        connections: dict[str, http.client.HTTPConnection]
        connections = self.thread_local.connections
        if url not in connections:
            parts = urllib.parse.urlsplit(url)
            connections[url] = http.client.HTTPConnection(
                parts.hostname or "", parts.port, timeout=REQUEST_TIMEOUT_S
            )
        return connections[url]

    def make_summary(
        self, results: list[RequestResult], batch_efficiency: float
    ) -> RunSummary:
        """Return the figures, with the violations of results and engines."""
        violations = [r.violation for r in results if r.violation]
        ledgers = self.cluster.read_ledgers()
        evicted = sum(ledger["evicted_in_use"] for ledger in ledgers)
        violations += ["adapter evicted in use"] * evicted
        prompts = {f"request {a.number}": a.model for a in self.arrivals}
        for ledger in ledgers:
            for run in ledger["runs"]:
                if prompts[run["prompt"]] != run["model"]:
                    violations.append("request ran on another adapter")
        slots = self.profile.target_count * self.profile.adapter_slots
        min_loads = profiles.count_optimal_loads(
            [arrival.model for arrival in self.arrivals], slots
        )
        loads = sum(ledger["loads"] for ledger in ledgers)
        return RunSummary(
            results,
            batch_efficiency,
            loads,
            min_loads,
            violations,
            self.speed,
        )


def read_stream(
    arrival: profiles.Arrival,
    response: http.client.HTTPResponse,
    started_at: float,
) -> RequestResult:
    """Read one streamed response and check its text and adapter.

    ``started_at`` is the time when the request was sent.
    """
    first_s = 0.0
    text = ""
    end: dict[str, typing.Any] | None = None
    error: dict[str, typing.Any] | None = None
    for raw in response:
        if not raw.startswith(b"data: ") or raw.startswith(b"data: [DONE]"):
            continue
        first_s = first_s or time.monotonic() - started_at
        event = json.loads(raw[6:])
        if "error" in event:
            error = event["error"]
            continue
        text += event["choices"][0]["text"]
        end = event.get("hemlockkeel", end)
    if end is None:
        error = error or {"verdict": "unknown", "code": "cut_off"}
        return RequestResult(
            arrival, False, error["verdict"], error["code"], 0, 0, ""
        )
    violation = find_violation(arrival, text, end)
    stall_s = end["load_stall_us"] / 1e6
    return RequestResult(arrival, True, "ran", "", stall_s, first_s, violation)


def find_violation(
    arrival: profiles.Arrival, text: str, end: dict[str, typing.Any]
) -> str:
    """Return what is wrong with a complete response, or an empty string."""
    expected = "".join(
        engine.make_token(arrival.model, f"request {arrival.number}", n)
        for n in range(arrival.tokens)
    )
    if text != expected:
        return f"response {arrival.number} does not have the expected text"
    if end["adapter"] != arrival.model:
        return f"response {arrival.number} names adapter {end['adapter']}"
    return ""
