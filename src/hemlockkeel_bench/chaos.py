"""Sends requests of every kind under injected faults and checks the results.

The check compares what callers were told with the requests that the stand-in
engines recorded as run.
"""

import collections
import concurrent.futures
import dataclasses
import http.client
import json
import random
import threading
import time
import typing
import urllib.parse

from hemlockkeel._internal.models import declarations
from hemlockkeel._internal.standins import dev
from hemlockkeel._internal.standins import engine
from hemlockkeel._internal.state import declaration_files
from hemlockkeel_bench import declare

CALLER_THREADS = 12
REQUEST_TIMEOUT_S = 40.0
FAULT_INTERVAL_RANGE_S = (0.3, 1.2)
TOKEN_COUNT_RANGE = (4, 40)
STEPS_PER_SESSION = 4
# Adapters of each deployment; only "repeatable" is declared idempotent.
MODELS = {
    "repeatable": [f"free-{n}@1" for n in range(8)],
    "once": [f"once-{n}@1" for n in range(4)],
}


@dataclasses.dataclass(frozen=True)
class RequestResult:
    """What a caller was told about one sending of a request.

    ``verdict`` is that of the response, ``unknown`` without a readable one.
    """

    prompt: str
    model: str
    tokens: int
    verdict: str
    text: str
    code: str
    key: str = ""
    session: str = ""
    sequence: int = 0


def make_cluster(seed: int) -> dev.DevCluster:
    """Return a cluster with 2 entries, 4 engines and 3 control members."""
    return dev.DevCluster(
        dev.DevSettings(
            entries=2,
            engines=4,
            plain_services=1,
            control_members=3,
            loads_per_second=40.0,
            engine_options=engine.EngineOptions(
                base_model="scribe-7b",
                step_s=0.01,
                adapter_slots=3,
                batch_slots=4,
                seed=seed,
                # Cover engines that enforce fencing and ones that do not.
                obeys_fencing=seed % 2 == 0,
            ),
        )
    )


def make_items() -> declaration_files.ItemMap:
    """Return the declarations of a chaos run."""
    shared = {"base_model": "scribe-7b", "service": "scribe-models"}
    deployments = {
        name: declarations.DeclaredDeployment(
            **shared,  # type: ignore[arg-type]
            idempotent=name == "repeatable",
            adapters=models,
        )
        for name, models in MODELS.items()
    }
    return declaration_files.make_base_items(
        declarations.BaseFile(
            sites={"tas-north": declarations.Site(["launceston-hall"], 40.0)},
            deployments=deployments,
            services={"entries-app": declarations.PlainService()},
        )
    )


class ChaosRun:
    """One run: concurrent callers, injected faults and the final check."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.cluster = make_cluster(seed)
        self.results: list[RequestResult] = []
        self.lock = threading.Lock()
        self.callers_done = threading.Event()
        self.last_number = 0
        self.fault_counts: collections.Counter[str] = collections.Counter()

    def run(self, requests: int) -> list[str]:
        """Send requests under faults and return the violations found."""
        self.cluster.start()
        try:
            operator = declare.make_operator_client(self.cluster)
            declare.apply_items(operator, make_items(), "chaos")
            fault_thread = threading.Thread(target=self.inject_faults)
            fault_thread.start()
            seeds = [self.rng.random() for _ in range(CALLER_THREADS)]
            with concurrent.futures.ThreadPoolExecutor(CALLER_THREADS) as pool:
                requests_per_caller = requests // CALLER_THREADS
                for future in [
                    pool.submit(self.send_requests, seed, requests_per_caller)
                    for seed in seeds
                ]:
                    future.result()
            self.callers_done.set()
            fault_thread.join()
            return self.find_violations()
        finally:
            self.callers_done.set()
            self.cluster.stop()

    # Faults

    def inject_faults(self) -> None:
        """Inject one random fault after another until the callers are done."""
        rng = random.Random(self.seed + 1)
        actions = {
            "engine restart": self.restart_engine,
            "agent restart": self.restart_agent,
            "failed loads": self.fail_loads,
            "entry cut off": self.partition_entry,
            "control leader stops": self.stop_leader,
        }
        while not self.callers_done.wait(rng.uniform(*FAULT_INTERVAL_RANGE_S)):
            name = rng.choice(list(actions))
            self.fault_counts[name] += 1
            actions[name](rng)

    def list_engines(self) -> list[engine.StandInEngine]:
        """Return the stand-in engines of the cluster."""
        engines = [target.engine for target in self.cluster.targets]
        return [stand_in for stand_in in engines if stand_in is not None]

    def restart_engine(self, rng: random.Random) -> None:
        """Restart one random engine or two, which clears all their state."""
        for stand_in in rng.sample(self.list_engines(), rng.choice([1, 1, 2])):
            with stand_in.changed:
                stand_in.restart()

    def restart_agent(self, rng: random.Random) -> None:
        """Restart the agent of a random engine, which keeps running."""
        self.cluster.restart_agent(rng.randrange(len(self.list_engines())))

    def fail_loads(self, rng: random.Random) -> None:
        """Set the share of adapter loads that fail on a random engine."""
        stand_in = rng.choice(self.list_engines())
        stand_in.faults.load_failure_share = rng.choice([0.0, 0.3])

    def partition_entry(self, rng: random.Random) -> None:
        """Partition a random entry from control for up to 4 seconds."""
        entry = rng.choice(self.cluster.entries)
        entry.control.partitioned = True
        self.callers_done.wait(rng.uniform(0.5, 4.0))
        entry.control.partitioned = False

    def stop_leader(self, rng: random.Random) -> None:
        """Stop the control leader, but only once, so that a quorum is left."""
        if self.fault_counts["control leader stops"] > 1:
            return
        leader = self.cluster.find_leader()
        if leader is not None:
            leader.stop()

    # Callers

    def send_requests(self, seed: float, count: int) -> None:
        """Send requests of random kinds one after the other."""
        rng = random.Random(seed)
        for _ in range(count):
            choice = rng.random()
            if choice < 0.4:
                self.send_unkeyed(rng)
            elif choice < 0.85:
                self.send_keyed(rng)
            else:
                self.send_session(rng)

    def get_next_number(self) -> int:
        """Return a number that no other request of this run has."""
        with self.lock:
            self.last_number += 1
            return self.last_number

    def send_unkeyed(self, rng: random.Random) -> None:
        """Send a request without an idempotency key, once."""
        kind = rng.choice(list(MODELS))
        prompt = f"{kind} {self.get_next_number()}"
        model = rng.choice(MODELS[kind])
        self.send_and_record(
            rng, prompt, model, rng.randint(*TOKEN_COUNT_RANGE), {}
        )

    def send_keyed(self, rng: random.Random) -> None:
        """Send a request with an idempotency key up to three times.

        Each attempt goes to a random entry.
        """
        number = self.get_next_number()
        prompt = f"keyed {number}"
        model = rng.choice(MODELS["once"])
        tokens = rng.randint(*TOKEN_COUNT_RANGE)
        headers = {"Idempotency-Key": f"key-{number}"}
        for _ in range(rng.randint(1, 3)):
            result = self.send_and_record(rng, prompt, model, tokens, headers)
            if result.verdict == "ran" and rng.random() < 0.5:
                return

    def send_session(self, rng: random.Random) -> None:
        """Send the steps of a session in order, some of them twice."""
        session = f"session-{self.get_next_number()}"
        model = rng.choice(MODELS["once"])
        for sequence in range(1, STEPS_PER_SESSION + 1):
            headers = {
                "Hemlockkeel-Session": session,
                "Hemlockkeel-Session-Sequence": str(sequence),
                "Hemlockkeel-Timeout": "20",
            }
            prompt = f"{session} step {sequence}"
            result = self.send_and_record(rng, prompt, model, 5, headers)
            if rng.random() < 0.2:
                self.send_and_record(rng, prompt, model, 5, headers)
            if result.verdict != "ran":
                return

    def send_and_record(
        self,
        rng: random.Random,
        prompt: str,
        model: str,
        tokens: int,
        headers: dict[str, str],
    ) -> RequestResult:
        """Send one request to a random entry and record its result."""
        url = rng.choice(self.cluster.entries).url
        result = send_completion(url, prompt, model, tokens, headers)
        with self.lock:
            self.results.append(result)
        return result

    # Check

    def find_violations(self) -> list[str]:
        """Return the violations in what ran and what callers were told."""
        run_counts: collections.Counter[str] = collections.Counter()
        models: dict[str, set[str]] = {}
        violations: list[str] = []
        for stand_in in self.list_engines():
            for run in list(stand_in.ledger):
                run_counts[run["prompt"]] += 1
                models.setdefault(run["prompt"], set()).add(run["model"])
            if stand_in.evicted_in_use:
                violations.append("an adapter was evicted while in use")
        violations += self.find_request_violations(run_counts, models)
        violations += find_session_order_violations(self.results, run_counts)
        return violations

    def find_request_violations(
        self, run_counts: collections.Counter[str], models: dict[str, set[str]]
    ) -> list[str]:
        """Return results that disagree with what the engines ran.

        ``run_counts`` and ``models`` give, by prompt, how often a request ran
        and on which adapters.
        """
        violations = []
        by_prompt: dict[str, list[RequestResult]] = {}
        for result in self.results:
            by_prompt.setdefault(result.prompt, []).append(result)
        for prompt, prompt_results in by_prompt.items():
            once = not prompt.startswith("repeatable")
            if once and run_counts[prompt] > 1:
                violations.append(f"'{prompt}' ran {run_counts[prompt]} times")
            if models.get(prompt, set()) - {prompt_results[0].model}:
                violations.append(f"'{prompt}' ran on another adapter")
            verdicts = {result.verdict for result in prompt_results}
            if verdicts == {"not_run"} and run_counts[prompt]:
                violations.append(
                    f"'{prompt}' ran although its callers were told not_run"
                )
            for result in prompt_results:
                if result.text and result.text != make_expected_text(result):
                    violations.append(f"'{prompt}' got a wrong response text")
        return violations


def find_session_order_violations(
    results: list[RequestResult], run_counts: collections.Counter[str]
) -> list[str]:
    """Return steps that ran although the step before them had not run."""
    violations = []
    for step in results:
        if (
            not step.session
            or step.sequence < 2
            or not run_counts[step.prompt]
        ):
            continue
        earlier = f"{step.session} step {step.sequence - 1}"
        if not run_counts[earlier]:
            violations.append(f"'{step.prompt}' ran before '{earlier}'")
    return violations


def make_expected_text(result: RequestResult) -> str:
    """Return the text that the engine must produce for a request."""
    return "".join(
        engine.make_token(result.model, result.prompt, n)
        for n in range(result.tokens)
    )


def send_completion(
    url: str,
    prompt: str,
    model: str,
    tokens: int,
    headers: dict[str, str],
) -> RequestResult:
    """Send one completion request and return its result.

    The verdict is ``unknown`` when no readable response arrives.
    """
    parts = urllib.parse.urlsplit(url)
    connection = http.client.HTTPConnection(
        parts.hostname or "", parts.port, timeout=REQUEST_TIMEOUT_S
    )
    body = json.dumps({"model": model, "prompt": prompt, "max_tokens": tokens})
    session = headers.get("Hemlockkeel-Session", "")
    sequence = int(headers.get("Hemlockkeel-Session-Sequence", "0"))
    key = headers.get("Idempotency-Key", "")
    headers = {**headers, "Hemlockkeel-Caller": "chaos"}
    try:
        connection.request("POST", "/v1/completions", body, headers)
        response = connection.getresponse()
        response_body: dict[str, typing.Any] = json.loads(response.read())
    except (OSError, http.client.HTTPException, ValueError):
        response_body = {"error": {"verdict": "unknown", "code": "no_reply"}}
    finally:
        connection.close()
    if "error" in response_body:
        error = response_body["error"]
        return RequestResult(
            prompt,
            model,
            tokens,
            error["verdict"],
            "",
            error["code"],
            key,
            session,
            sequence,
        )
    text = response_body["choices"][0]["text"]
    return RequestResult(
        prompt, model, tokens, "ran", text, "", key, session, sequence
    )


def summarize(chaos: ChaosRun) -> dict[str, typing.Any]:
    """Return the counts of requests, verdicts and faults of a run."""
    verdicts = collections.Counter(result.verdict for result in chaos.results)
    codes = collections.Counter(
        result.code for result in chaos.results if result.code
    )
    return {
        "seed": chaos.seed,
        "sent": len(chaos.results),
        "verdicts": dict(verdicts),
        "codes": dict(codes),
        "faults": dict(chaos.fault_counts),
    }


def measure(seed: int, requests: int) -> tuple[dict[str, object], list[str]]:
    """Run once and return the figures and the violations found."""
    started_at = time.monotonic()
    chaos = ChaosRun(seed)
    violations = chaos.run(requests)
    figures = summarize(chaos)
    figures["seconds"] = round(time.monotonic() - started_at, 1)
    return figures, violations
