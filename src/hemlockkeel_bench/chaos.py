"""Requests of every kind while parts fail, and a check of what ran.

The checker compares what callers were told with what the stand-in engines
and plain services really ran.
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
MODELS = {
    "repeatable": [f"free-{n}@1" for n in range(8)],
    "once": [f"once-{n}@1" for n in range(4)],
}


@dataclasses.dataclass(frozen=True)
class RequestResult:
    """What a caller was told of one sending of a request."""

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
    """Return a cluster of two entries, four engines, three controls."""
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
    """One run: callers, faults, and the check at the end."""

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
        """Send requests while parts fail; return what went wrong."""
        self.cluster.start()
        try:
            operator = declare.make_operator_client(self.cluster)
            declare.apply_items(operator, make_items(), "chaos")
            breaker = threading.Thread(target=self.inject_faults)
            breaker.start()
            seeds = [self.rng.random() for _ in range(CALLER_THREADS)]
            with concurrent.futures.ThreadPoolExecutor(CALLER_THREADS) as pool:
                each = requests // CALLER_THREADS
                for future in [
                    pool.submit(self.send_requests, seed, each)
                    for seed in seeds
                ]:
                    future.result()
            self.callers_done.set()
            breaker.join()
            return self.find_violations()
        finally:
            self.callers_done.set()
            self.cluster.stop()

    # Faults

    def inject_faults(self) -> None:
        """Break one part after another until the callers are done."""
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
        """Return the stand-in engines."""
        found = [target.engine for target in self.cluster.targets]
        return [stand_in for stand_in in found if stand_in is not None]

    def restart_engine(self, rng: random.Random) -> None:
        """Start an engine cold, sometimes two at once."""
        for stand_in in rng.sample(self.list_engines(), rng.choice([1, 1, 2])):
            with stand_in.changed:
                stand_in.restart()

    def restart_agent(self, rng: random.Random) -> None:
        """Replace an agent process beside its engine."""
        self.cluster.restart_agent(rng.randrange(len(self.list_engines())))

    def fail_loads(self, rng: random.Random) -> None:
        """Let some loads of one engine fail from now on."""
        stand_in = rng.choice(self.list_engines())
        stand_in.faults.load_failure_share = rng.choice([0.0, 0.3])

    def partition_entry(self, rng: random.Random) -> None:
        """Cut an entry off from control for a while."""
        entry = rng.choice(self.cluster.entries)
        entry.control.partitioned = True
        self.callers_done.wait(rng.uniform(0.5, 4.0))
        entry.control.partitioned = False

    def stop_leader(self, rng: random.Random) -> None:
        """Stop a control member; only one, so that a quorum is left."""
        if self.fault_counts["control leader stops"] > 1:
            return
        leader = self.cluster.find_leader()
        if leader is not None:
            leader.stop()

    # Callers

    def send_requests(self, seed: float, count: int) -> None:
        """Send requests one after the other."""
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
        """Return a number for a new request."""
        with self.lock:
            self.last_number += 1
            return self.last_number

    def send_unkeyed(self, rng: random.Random) -> None:
        """Send a request without a key, once."""
        kind = rng.choice(list(MODELS))
        prompt = f"{kind} {self.get_next_number()}"
        model = rng.choice(MODELS[kind])
        self.send_and_record(
            rng, prompt, model, rng.randint(*TOKEN_COUNT_RANGE), {}
        )

    def send_keyed(self, rng: random.Random) -> None:
        """Send a request with a key, again and again, over any entry."""
        number = self.get_next_number()
        prompt = f"keyed {number}"
        model = rng.choice(MODELS["once"])
        tokens = rng.randint(*TOKEN_COUNT_RANGE)
        headers = {"Idempotency-Key": f"key-{number}"}
        for _ in range(rng.randint(1, 3)):
            told = self.send_and_record(rng, prompt, model, tokens, headers)
            if told.verdict == "ran" and rng.random() < 0.5:
                return

    def send_session(self, rng: random.Random) -> None:
        """Send a session's steps in order, some of them twice."""
        session = f"session-{self.get_next_number()}"
        model = rng.choice(MODELS["once"])
        for sequence in range(1, STEPS_PER_SESSION + 1):
            headers = {
                "Hemlockkeel-Session": session,
                "Hemlockkeel-Session-Sequence": str(sequence),
                "Hemlockkeel-Timeout": "20",
            }
            prompt = f"{session} step {sequence}"
            told = self.send_and_record(rng, prompt, model, 5, headers)
            if rng.random() < 0.2:
                self.send_and_record(rng, prompt, model, 5, headers)
            if told.verdict != "ran":
                return

    def send_and_record(
        self,
        rng: random.Random,
        prompt: str,
        model: str,
        tokens: int,
        headers: dict[str, str],
    ) -> RequestResult:
        """Send one request and write down what the caller was told."""
        url = rng.choice(self.cluster.entries).url
        told = send_completion(url, prompt, model, tokens, headers)
        with self.lock:
            self.results.append(told)
        return told

    # The check

    def find_violations(self) -> list[str]:
        """Return every broken promise."""
        runs: collections.Counter[str] = collections.Counter()
        models: dict[str, set[str]] = {}
        order: list[str] = []
        faults: list[str] = []
        for stand_in in self.list_engines():
            for run in list(stand_in.ledger):
                runs[run["prompt"]] += 1
                models.setdefault(run["prompt"], set()).add(run["model"])
                order.append(run["prompt"])
            if stand_in.evicted_in_use:
                faults.append("an adapter was evicted in use")
        faults += self.find_request_violations(runs, models)
        faults += find_session_order_violations(self.results, runs)
        return faults

    def find_request_violations(
        self, runs: collections.Counter[str], models: dict[str, set[str]]
    ) -> list[str]:
        """Check each answer and refusal against what ran."""
        faults = []
        by_prompt: dict[str, list[RequestResult]] = {}
        for told in self.results:
            by_prompt.setdefault(told.prompt, []).append(told)
        for prompt, all_told in by_prompt.items():
            once = not prompt.startswith("repeatable")
            if once and runs[prompt] > 1:
                faults.append(f"'{prompt}' ran {runs[prompt]} times")
            if models.get(prompt, set()) - {all_told[0].model}:
                faults.append(f"'{prompt}' ran on another adapter")
            verdicts = {told.verdict for told in all_told}
            if verdicts == {"not_run"} and runs[prompt]:
                faults.append(f"'{prompt}' ran but was told not run")
            for told in all_told:
                if told.text and told.text != make_expected_text(told):
                    faults.append(f"'{prompt}' got a wrong answer")
        return faults


def find_session_order_violations(
    told: list[RequestResult], runs: collections.Counter[str]
) -> list[str]:
    """Return steps that ran although an earlier one had not."""
    faults = []
    for step in told:
        if not step.session or step.sequence < 2 or not runs[step.prompt]:
            continue
        earlier = f"{step.session} step {step.sequence - 1}"
        if not runs[earlier]:
            faults.append(f"'{step.prompt}' ran before '{earlier}'")
    return faults


def make_expected_text(told: RequestResult) -> str:
    """Return the one right answer."""
    return "".join(
        engine.make_token(told.model, told.prompt, n)
        for n in range(told.tokens)
    )


def send_completion(
    url: str,
    prompt: str,
    model: str,
    tokens: int,
    headers: dict[str, str],
) -> RequestResult:
    """Send one completion; an unreadable reply counts as unknown."""
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
        reply: dict[str, typing.Any] = json.loads(response.read())
    except (OSError, http.client.HTTPException, ValueError):
        reply = {"error": {"verdict": "unknown", "code": "no_reply"}}
    finally:
        connection.close()
    if "error" in reply:
        error = reply["error"]
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
    text = reply["choices"][0]["text"]
    return RequestResult(
        prompt, model, tokens, "ran", text, "", key, session, sequence
    )


def summarize(chaos: ChaosRun) -> dict[str, typing.Any]:
    """Return what a run tried."""
    verdicts = collections.Counter(told.verdict for told in chaos.results)
    codes = collections.Counter(t.code for t in chaos.results if t.code)
    return {
        "seed": chaos.seed,
        "sent": len(chaos.results),
        "verdicts": dict(verdicts),
        "codes": dict(codes),
        "faults": dict(chaos.fault_counts),
    }


def measure(seed: int, requests: int) -> tuple[dict[str, object], list[str]]:
    """Run once; return what was tried and what went wrong."""
    begun = time.monotonic()
    chaos = ChaosRun(seed)
    faults = chaos.run(requests)
    figures = summarize(chaos)
    figures["seconds"] = round(time.monotonic() - begun, 1)
    return figures, faults
