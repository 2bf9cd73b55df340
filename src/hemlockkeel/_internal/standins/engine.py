"""Stand-in model engine: continuous batching, slots, cache and faults."""

import collections
import dataclasses
import random
import threading
import time
import typing
import uuid

from hemlockkeel._internal.engines import base
from hemlockkeel._internal.utils import digests

DEFAULT_TOKENS = 16
MAX_EVENTS = 1000
LEDGER_SIZE = 100_000


@dataclasses.dataclass
class Faults:
    """Faults on demand."""

    crash_marker: str = ""
    load_failure_share: float = 0.0
    slow_factor: float = 1.0
    stalled: bool = False
    event_loss_share: float = 0.0
    report_lag_s: float = 0.0


@dataclasses.dataclass
class EngineOptions:
    """Size and speed of a stand-in engine."""

    base_model: str = "base-7b"
    batch_slots: int = 8
    adapter_slots: int = 4
    step_s: float = 0.01
    prefill_steps: int = 1
    prefix_slots: int = 32
    obeys_fencing: bool = True
    seed: int = 0


@dataclasses.dataclass
class Run:
    """One request inside the engine."""

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int
    arrived: int
    boot_id: str
    prefill_left: int = 0
    tokens: list[str] = dataclasses.field(default_factory=list)
    done: bool = False
    failed: str = ""
    crashes: bool = False


class RefusedError(Exception):
    """The engine refuses an order."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.message = message


FetchWeights = typing.Callable[[], float]


def make_token(model: str, prompt: str, index: int) -> str:
    """Return a token that depends on everything that it should."""
    if index == 0:
        return f"[{model}]"
    digest = digests.digest_content(
        model.encode(), prompt.encode(), str(index).encode()
    )
    return f" {digest[:6]}"


class StandInEngine:
    """The engine's state, advanced by a thread one step at a time."""

    def __init__(
        self, options: EngineOptions, fetch_weights: FetchWeights
    ) -> None:
        self.options = options
        self.fetch_weights = fetch_weights
        self.faults = Faults()
        self.rng = random.Random(options.seed)
        self.changed = threading.Condition()
        self.stopping = False
        self.boot_id = uuid.uuid4().hex
        self.role = base.EngineRole.MIXED
        self.base_model = options.base_model
        self.loaded: dict[str, None] = {}
        self.fence = 0
        self.runs: dict[str, Run] = {}
        self.waiting: list[Run] = []
        self.running: list[Run] = []
        self.arrivals = 0
        self.prefixes: collections.OrderedDict[str, bytes] = (
            collections.OrderedDict()
        )
        self.events: collections.deque[base.CacheEvent] = collections.deque(
            maxlen=MAX_EVENTS
        )
        self.event_sequence = 0
        self.reports: collections.deque[base.Report] = collections.deque(
            maxlen=200
        )
        # For tests and measurements.
        self.ledger: collections.deque[dict[str, typing.Any]] = (
            collections.deque(maxlen=LEDGER_SIZE)
        )
        self.busy_steps = 0
        self.filled_slots = 0
        self.load_count = 0
        self.evicted_in_use = 0
        self.thread = threading.Thread(
            target=self.step_forever, name="engine-step", daemon=True
        )
        self.thread.start()

    # Stepping

    def step_forever(self) -> None:
        """Advance the batch until stopped."""
        next_at = time.monotonic()
        while True:
            with self.changed:
                while not self.waiting and not self.running:
                    if self.stopping:
                        return
                    self.changed.wait(0.5)
                    next_at = time.monotonic()
                if self.stopping:
                    return
            next_at += self.options.step_s * self.faults.slow_factor
            pause = next_at - time.monotonic()
            if pause > 0:
                time.sleep(pause)
            with self.changed:
                if not self.faults.stalled:
                    self.step()
                self.changed.notify_all()

    def step(self) -> None:
        """Fill the batch and produce one token a running request."""
        self.fill_batch()
        if not self.running:
            return
        self.busy_steps += 1
        self.filled_slots += len(self.running)
        if any(run.crashes for run in self.running):
            self.crash()
            return
        for run in list(self.running):
            if run.prefill_left > 0:
                run.prefill_left -= 1
                continue
            index = len(run.tokens)
            run.tokens.append(make_token(run.model, run.prompt, index))
            if len(run.tokens) >= run.max_tokens:
                self.finish(run)

    def fill_batch(self) -> None:
        """Move waiting requests into free batch slots."""
        free = self.options.batch_slots - len(self.running)
        if free <= 0:
            return
        self.waiting.sort(key=lambda run: (run.priority, run.arrived))
        self.running.extend(self.waiting[:free])
        del self.waiting[:free]

    def finish(self, run: Run) -> None:
        """End a run with a whole answer."""
        run.done = True
        self.running.remove(run)
        self.touch_prefix(run)

    def crash(self) -> None:
        """Lose everything and start cold."""
        for run in [*self.running, *self.waiting]:
            run.failed = "engine crashed"
        self.restart()

    def restart(self) -> None:
        """Start cold: nothing loaded, nothing running, a new boot id."""
        for run in [*self.running, *self.waiting]:
            run.failed = run.failed or "engine restarted"
        self.running.clear()
        self.waiting.clear()
        self.loaded.clear()
        self.prefixes.clear()
        self.runs.clear()
        self.boot_id = uuid.uuid4().hex
        self.changed.notify_all()

    def stop(self) -> None:
        """Stop the engine's thread."""
        with self.changed:
            self.stopping = True
            self.restart()
        self.thread.join(5.0)

    # Orders

    def check_fence(self, fence: int) -> None:
        """Refuse an order with an old fencing number, if set to."""
        if not self.options.obeys_fencing:
            return
        if fence < self.fence:
            raise RefusedError(
                412, f"fence {fence} is older than {self.fence}"
            )
        self.fence = fence

    def submit(self, body: dict[str, typing.Any], fence: int) -> Run:
        """Take a request."""
        model = str(body["model"])
        prompt = get_prompt(body)
        with self.changed:
            self.check_fence(fence)
            if model != self.base_model and model not in self.loaded:
                raise RefusedError(409, f"adapter {model} is not loaded")
            request_id = str(body.get("request_id") or uuid.uuid4().hex)
            if request_id in self.runs:
                raise RefusedError(409, f"request {request_id} runs already")
            marker = self.faults.crash_marker
            run = Run(
                request_id,
                model,
                prompt,
                int(body.get("max_tokens") or DEFAULT_TOKENS),
                int(body.get("priority", 1)),
                self.arrivals,
                self.boot_id,
                0 if prompt in self.prefixes else self.options.prefill_steps,
                crashes=bool(marker) and marker in prompt,
            )
            self.arrivals += 1
            self.runs[request_id] = run
            self.waiting.append(run)
            self.ledger.append(
                {"request_id": request_id, "model": model, "prompt": prompt}
            )
            self.changed.notify_all()
        return run

    def wait_for_tokens(self, run: Run, offset: int) -> list[str]:
        """Wait for tokens past an offset; empty at the end.

        :raises RefusedError: when the run failed.
        """
        with self.changed:
            while len(run.tokens) <= offset and not run.done:
                if run.failed:
                    raise RefusedError(500, run.failed)
                self.changed.wait(1.0)
            return run.tokens[offset:]

    def find_run(self, request_id: str) -> Run:
        """Return a run that this boot knows."""
        with self.changed:
            run = self.runs.get(request_id)
        if run is None:
            raise RefusedError(404, f"no request {request_id}")
        return run

    def cancel(self, request_id: str, fence: int) -> bool:
        """Stop a run."""
        with self.changed:
            self.check_fence(fence)
            run = self.runs.get(request_id)
            if run is None or run.done:
                return False
            run.failed = "cancelled"
            for place in (self.running, self.waiting):
                if run in place:
                    place.remove(run)
            self.changed.notify_all()
            return True

    def load_adapter(self, name: str, fence: int) -> None:
        """Load an adapter from the weight store."""
        with self.changed:
            self.check_fence(fence)
            if name in self.loaded:
                return
            if len(self.loaded) >= self.options.adapter_slots:
                raise RefusedError(409, "no free adapter slot")
            boot_id = self.boot_id
            self.load_count += 1
            fails = self.rng.random() < self.faults.load_failure_share
        self.fetch_weights()
        with self.changed:
            if fails or self.boot_id != boot_id:
                raise RefusedError(500, f"loading {name} failed")
            if len(self.loaded) >= self.options.adapter_slots:
                raise RefusedError(409, "no free adapter slot")
            self.loaded[name] = None

    def unload_adapter(self, name: str, fence: int) -> None:
        """Free an adapter's slot."""
        with self.changed:
            self.check_fence(fence)
            in_use = any(
                run.model == name for run in [*self.running, *self.waiting]
            )
            if in_use:
                self.evicted_in_use += 1
                raise RefusedError(409, f"adapter {name} is in use")
            self.loaded.pop(name, None)

    def load_model(self, name: str, fence: int) -> None:
        """Change the base model."""
        with self.changed:
            self.check_fence(fence)
            if self.running or self.waiting:
                raise RefusedError(409, "requests are running")
            self.base_model = name
            self.loaded.clear()

    def change_role(self, role: base.EngineRole, fence: int) -> None:
        """Change the engine's role."""
        with self.changed:
            self.check_fence(fence)
            self.role = role

    # Prefix cache

    def touch_prefix(self, run: Run) -> None:
        """Cache a finished run's prompt."""
        self.put_prefix(run.prompt, run.prompt.encode())

    def put_prefix(self, prefix: str, data: bytes) -> None:
        """Cache a prefix, evicting the oldest over the limit."""
        if prefix not in self.prefixes:
            self.add_event(prefix, True)
        self.prefixes[prefix] = data
        self.prefixes.move_to_end(prefix)
        while len(self.prefixes) > self.options.prefix_slots:
            old, _ = self.prefixes.popitem(last=False)
            self.add_event(old, False)

    def add_event(self, prefix: str, present: bool) -> None:
        """Publish a cache event, or lose it."""
        self.event_sequence += 1
        if self.rng.random() < self.faults.event_loss_share:
            return
        digest = digests.digest_content(prefix.encode())
        self.events.append(
            base.CacheEvent(self.event_sequence, digest, present)
        )

    # Reports

    def get_report(self) -> base.Report:
        """Return the load, as old as the set lag."""
        now = time.monotonic()
        with self.changed:
            report = base.Report(
                self.boot_id,
                len(self.running),
                len(self.waiting),
                list(self.loaded),
                now,
            )
            self.reports.append(report)
            if not self.faults.report_lag_s:
                return report
            limit = now - self.faults.report_lag_s
            old = [r for r in self.reports if r.taken_at <= limit]
            return old[-1] if old else self.reports[0]


def get_prompt(body: dict[str, typing.Any]) -> str:
    """Return the prompt of a completion or chat request."""
    if "messages" in body:
        return "\n".join(
            f"{message.get('role', '')}: {message.get('content', '')}"
            for message in body["messages"]
        )
    return str(body.get("prompt", ""))
