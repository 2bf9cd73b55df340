"""Runs a workload against real roles with stand-in targets."""

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
WARM_SHARE = 0.15
RESTART_SHARE = 0.5
FAILED_LOADS_SHARE = 0.05
TARGETS_A_HOST = 3
READY_TIMEOUT_S = 60.0
READY_POLL_S = 0.1
URGENT = "urgent"
ORDINARY = "ordinary"


@dataclasses.dataclass(frozen=True)
class Result:
    """What a caller saw of one request."""

    arrival: profiles.Arrival
    ok: bool
    verdict: str
    code: str
    stall_s: float
    first_token_s: float
    violation: str


@dataclasses.dataclass
class Summary:
    """Figures of one run, in seconds of the workload's time."""

    results: list[Result]
    batch_efficiency: float
    loads: int
    load_bound: int
    violations: list[str]
    speed: float

    def to_dict(self) -> dict[str, typing.Any]:
        """Return the JSON form."""
        answered = [r for r in self.results if r.ok]
        refused = collections.Counter(
            r.verdict for r in self.results if not r.ok
        )
        codes = collections.Counter(r.code for r in self.results if not r.ok)
        first = self.summarize([r.first_token_s for r in answered])
        stalls = self.summarize([r.stall_s for r in answered])
        by_priority = {
            name: self.summarize(
                [r.stall_s for r in answered if r.arrival.urgent is urgent]
            )
            for name, urgent in ((URGENT, True), (ORDINARY, False))
        }
        return {
            "requests": len(self.results),
            "ok": len(answered),
            "refused": dict(refused),
            "refused_codes": dict(codes),
            "load_stall_s": {**stalls, "by_priority": by_priority},
            "batch_efficiency": round(self.batch_efficiency, 4),
            "loads": self.loads,
            "load_bound": self.load_bound,
            "loads_over_bound": round(self.loads / self.load_bound, 3),
            "ttft_s": {"p50": first["p50"], "p99": first["p99"]},
            "violations": len(self.violations),
        }

    def summarize(self, values: list[float]) -> dict[str, float]:
        """Return total, mean and percentiles in workload seconds."""
        durations = histograms.Durations()
        for value in values:
            durations.add(value * self.speed)
        return {
            "total": round(durations.total_s, 3),
            "mean": durations.get_mean(),
            "p50": durations.get(50),
            "p99": durations.get(99),
        }


def make_declarations(
    profile: profiles.Profile, policy: policies.Policy, speed: float
) -> declaration_files.ItemMap:
    """Return the declarations of a workload."""
    hold_ms = int(profile.hold_ms / speed) if policy.holds else 0
    shared = {
        "base_model": "bench-7b",
        "service": processes.SERVICE,
        "stall_weight": profile.stall_weight,
        "batch_weight": profile.batch_weight,
    }
    ordinary = declarations.DeclaredDeployment(
        **shared,  # type: ignore[arg-type]
        priority=profile.priority,
        hold_ms=hold_ms,
        adapters=[f"club-{n:04}@1" for n in range(profiles.ADAPTERS)],
    )
    urgent = declarations.DeclaredDeployment(
        **shared,  # type: ignore[arg-type]
        priority=declarations.Priority.HIGH,
        adapters=[f"check-{n:04}@1" for n in range(profiles.URGENT_ADAPTERS)],
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


class Cluster:
    """The host processes of one run."""

    def __init__(
        self, profile: profiles.Profile, policy: str, speed: float
    ) -> None:
        spec = processes.Spec(
            policy=policy,
            site=profile.site,
            data_centres=list(profile.data_centres),
            loads_per_second=profile.loads_per_second * speed,
            batch_slots=profile.batch_slots,
            adapter_slots=profile.adapter_slots,
            step_s=profile.step_s / speed,
        )
        self.hosts: list[processes.Host] = []
        self.control = self.start("control", spec)
        spec = msgspec.structs.replace(
            spec,
            control=self.control["control"],
            weights=self.control["weights"],
        )
        self.engines: list[str] = []
        for first in range(0, profile.replicas, TARGETS_A_HOST):
            count = min(TARGETS_A_HOST, profile.replicas - first)
            group = msgspec.structs.replace(spec, first=first, count=count)
            self.engines += self.start("targets", group)["engines"]
        self.entries = [
            self.start("entry", msgspec.structs.replace(spec, first=number))[
                "entry"
            ]
            for number in range(profile.entries)
        ]
        self.operator = declare.OperatorCall(
            self.control["admin"], dev.DEV_TOKEN
        )
        self.wait_until_ready(profile.replicas)

    def start(self, kind: str, spec: processes.Spec) -> dict[str, typing.Any]:
        """Start a host process and return where it listens."""
        host = processes.start_host(kind, spec)
        self.hosts.append(host)
        return host.where

    def wait_until_ready(self, replicas: int) -> None:
        """Wait until every entry is ready and all targets registered."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while True:
            ready = all(
                call_json(f"{url}/readyz")["ready"] for url in self.entries
            )
            targets = self.operator.send("GET", "/v1/targets")["targets"]
            if ready and len(targets) == replicas:
                return
            if time.monotonic() > deadline:
                raise TimeoutError("the cluster did not become ready")
            time.sleep(READY_POLL_S)

    def read_ledgers(self) -> list[dict[str, typing.Any]]:
        """Return what ran on each engine so far."""
        return [
            call_json(f"http://{address}/engine/ledger")
            for address in self.engines
        ]

    def set_faults(self, faults: dict[str, typing.Any]) -> None:
        """Set faults on every engine."""
        for address in self.engines:
            call_json(f"http://{address}/engine/faults", "POST", faults)

    def restart_engine(self, number: int) -> None:
        """Start one engine cold."""
        address = self.engines[number]
        call_json(f"http://{address}/engine/restart", "POST", {})

    def stop(self) -> None:
        """Stop every host process."""
        for host in reversed(self.hosts):
            host.stop()


def call_json(
    url: str, method: str = "GET", body: typing.Any = None
) -> typing.Any:
    """Send one call and return its JSON reply, whatever its status."""
    parts = urllib.parse.urlsplit(url)
    connection = http.client.HTTPConnection(
        parts.hostname or "", parts.port, timeout=REQUEST_TIMEOUT_S
    )
    with contextlib.closing(connection):
        data = None if body is None else json.dumps(body)
        connection.request(method, parts.path, data)
        return json.loads(connection.getresponse().read())


class Run:
    """One run of one policy."""

    def __init__(
        self,
        profile: profiles.Profile,
        policy: str,
        arrivals: list[profiles.Arrival],
        speed: float,
        faults: frozenset[str],
    ) -> None:
        self.profile = profile
        self.policy = policies.make_policy(policy)
        self.arrivals = arrivals
        self.speed = speed
        self.faults = faults
        self.local = threading.local()
        self.cluster = Cluster(profile, policy, speed)
        self.urls = self.cluster.entries

    def run(self) -> Summary:
        """Send the arrivals and sum up."""
        with contextlib.ExitStack() as stack:
            stack.callback(self.cluster.stop)
            declare.apply_items(
                self.cluster.operator,
                make_declarations(self.profile, self.policy, self.speed),
                "bench",
            )
            if "load-failures" in self.faults:
                self.cluster.set_faults(
                    {"load_failure_share": FAILED_LOADS_SHARE}
                )
            results, filled = self.send_all()
            return self.sum_up(results, filled)

    def send_all(self) -> tuple[list[Result], float]:
        """Send the arrivals at their times; return batch efficiency too."""
        futures = []
        warm = int(len(self.arrivals) * WARM_SHARE)
        restart = int(len(self.arrivals) * RESTART_SHARE)
        before = (0, 0)
        begun = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(CALLER_THREADS) as pool:
            for arrival in self.arrivals:
                pause = begun + arrival.at / self.speed - time.monotonic()
                if pause > 0:
                    time.sleep(pause)
                if arrival.number == warm:
                    before = self.count_slots()
                if arrival.number == restart and "restart" in self.faults:
                    self.cluster.restart_engine(0)
                futures.append(pool.submit(self.send, arrival))
            after = self.count_slots()
            results = [future.result() for future in futures]
        steps = max(1, after[0] - before[0])
        filled = (after[1] - before[1]) / (steps * self.profile.batch_slots)
        return results, filled

    def count_slots(self) -> tuple[int, int]:
        """Return busy steps and filled batch slots of all engines."""
        ledgers = self.cluster.read_ledgers()
        return (
            sum(ledger["busy_steps"] for ledger in ledgers),
            sum(ledger["filled_slots"] for ledger in ledgers),
        )

    def send(self, arrival: profiles.Arrival) -> Result:
        """Send one request and read its stream."""
        try:
            return self.exchange(arrival)
        except (OSError, http.client.HTTPException, ValueError) as fault:
            self.local.connections = {}
            return Result(
                arrival, False, "unknown", type(fault).__name__, 0, 0, ""
            )

    def exchange(self, arrival: profiles.Arrival) -> Result:
        """Send one request over this thread's connection."""
        url = self.urls[arrival.number % len(self.urls)]
        connection = self.get_connection(url)
        body = {
            "model": arrival.model,
            "prompt": f"request {arrival.number}",
            "max_tokens": arrival.tokens,
            "stream": True,
        }
        begun = time.monotonic()
        connection.request("POST", "/v1/completions", json.dumps(body))
        response = connection.getresponse()
        if response.status != http.client.OK:
            error = json.loads(response.read())["error"]
            return Result(
                arrival, False, error["verdict"], error["code"], 0, 0, ""
            )
        return read_stream(arrival, response, begun)

    def get_connection(self, url: str) -> http.client.HTTPConnection:
        """Return this thread's connection to an entry."""
        if not hasattr(self.local, "connections"):
            self.local.connections = {}
        connections: dict[str, http.client.HTTPConnection]
        connections = self.local.connections
        if url not in connections:
            parts = urllib.parse.urlsplit(url)
            connections[url] = http.client.HTTPConnection(
                parts.hostname or "", parts.port, timeout=REQUEST_TIMEOUT_S
            )
        return connections[url]

    def sum_up(self, results: list[Result], filled: float) -> Summary:
        """Collect the figures and check what must hold."""
        violations = [r.violation for r in results if r.violation]
        ledgers = self.cluster.read_ledgers()
        evicted = sum(ledger["evicted_in_use"] for ledger in ledgers)
        violations += ["adapter evicted in use"] * evicted
        prompts = {f"request {a.number}": a.model for a in self.arrivals}
        for ledger in ledgers:
            for run in ledger["runs"]:
                if prompts[run["prompt"]] != run["model"]:
                    violations.append("request ran on another adapter")
        slots = self.profile.replicas * self.profile.adapter_slots
        bound = profiles.count_clairvoyant_loads(
            [arrival.model for arrival in self.arrivals], slots
        )
        loads = sum(ledger["loads"] for ledger in ledgers)
        return Summary(results, filled, loads, bound, violations, self.speed)


def read_stream(
    arrival: profiles.Arrival,
    response: http.client.HTTPResponse,
    begun: float,
) -> Result:
    """Read one answer and check that it is whole and the request's own."""
    first_s = 0.0
    text = ""
    end: dict[str, typing.Any] | None = None
    error: dict[str, typing.Any] | None = None
    for raw in response:
        if not raw.startswith(b"data: ") or raw.startswith(b"data: [DONE]"):
            continue
        first_s = first_s or time.monotonic() - begun
        event = json.loads(raw[6:])
        if "error" in event:
            error = event["error"]
            continue
        text += event["choices"][0]["text"]
        end = event.get("hemlockkeel", end)
    if end is None:
        error = error or {"verdict": "unknown", "code": "cut_off"}
        return Result(
            arrival, False, error["verdict"], error["code"], 0, 0, ""
        )
    violation = find_violation(arrival, text, end)
    stall_s = end["load_stall_us"] / 1e6
    return Result(arrival, True, "ran", "", stall_s, first_s, violation)


def find_violation(
    arrival: profiles.Arrival, text: str, end: dict[str, typing.Any]
) -> str:
    """Return what is wrong with an answer that claims to be whole."""
    expected = "".join(
        engine.make_token(arrival.model, f"request {arrival.number}", n)
        for n in range(arrival.tokens)
    )
    if text != expected:
        return f"answer {arrival.number} is not the request's own"
    if end["adapter"] != arrival.model:
        return f"answer {arrival.number} names adapter {end['adapter']}"
    return ""
