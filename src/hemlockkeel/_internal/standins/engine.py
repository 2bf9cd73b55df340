"""Simulated inference engine.

Models continuous batching, adapter slots, a prefix cache and fencing, and
injects faults on request. It generates tokens from a hash instead of a model,
so that a test can compute the expected answer.
"""

import collections
import dataclasses
import random
import threading
import time
import typing
import uuid

from hemlockkeel._internal.engines import base
from hemlockkeel._internal.utils import digests

DEFAULT_MAX_TOKENS = 16
MAX_CACHE_EVENTS = 1000
MAX_LEDGER_ENTRIES = 100_000
MAX_REPORTS = 200


@dataclasses.dataclass
class InjectedFaults:
    """Faults that are injected with ``POST /engine/faults``.

    A request whose prompt contains ``crash_marker``, or for the adapter
    ``crash_adapter``, crashes the engine. The
    ``_share`` fields are probabilities, of failed loads and of lost cache
    events. ``slow_factor`` multiplies the duration of a step, ``stalled``
    stops all progress, and load reports are ``report_lag_s`` old.
    """

    crash_marker: str = ""
    crash_adapter: str = ""
    load_failure_share: float = 0.0
    slow_factor: float = 1.0
    stalled: bool = False
    event_loss_share: float = 0.0
    report_lag_s: float = 0.0


@dataclasses.dataclass
class EngineOptions:
    """Size and speed of a simulated engine.

    A step of the batch takes ``step_s`` seconds. A prompt that is not in the
    prefix cache, which holds ``prefix_slots`` prompts, takes
    ``prefill_steps`` steps before its first token. An engine
    without ``obeys_fencing`` accepts orders with outdated fences.
    """

    base_model: str = "base-7b"
    batch_slots: int = 8
    adapter_slots: int = 4
    step_s: float = 0.01
    prefill_steps: int = 1
    prefix_slots: int = 32
    obeys_fencing: bool = True
    seed: int = 0


@dataclasses.dataclass
class EngineRequest:
    """State of one request in the engine.

    ``failure`` is why the request failed, and empty unless it did.
    """

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int
    arrival_number: int
    boot_id: str
    prefill_steps_left: int = 0
    tokens: list[str] = dataclasses.field(default_factory=list)
    done: bool = False
    failure: str = ""
    crashes_engine: bool = False


class EngineError(Exception):
    """An order was refused or a request failed.

    ``status`` is the HTTP status of the response.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.message = message


FetchWeights = typing.Callable[[], float]
"""Fetches one adapter's weights and returns the seconds it took."""


def make_token(model: str, prompt: str, index: int) -> str:
    """Return the token at an index of a request's answer.

    The token is a hash of the arguments. An answer thus shows when it was
    produced by another adapter, for another prompt or in another order.
    """
    if index == 0:
        return f"[{model}]"
    digest = digests.digest_content(
        model.encode(), prompt.encode(), str(index).encode()
    )
    return f" {digest[:6]}"


class StandInEngine:
    """Simulated engine; a thread generates one step of the batch at a time.

    A request that is waiting moves to the batch, in order of priority and
    arrival, when a batch slot is free.
    """

    def __init__(
        self, options: EngineOptions, fetch_weights: FetchWeights
    ) -> None:
        self.options = options
        self.fetch_weights = fetch_weights
        self.faults = InjectedFaults()
        self.rng = random.Random(options.seed)
        self.changed = threading.Condition()
        self.stopping = False
        self.boot_id = uuid.uuid4().hex
        self.role = base.EngineRole.MIXED
        self.base_model = options.base_model
        self.software_version = ""
        self.loaded: dict[str, None] = {}
        self.fence = 0
        self.requests: dict[str, EngineRequest] = {}
        self.waiting: list[EngineRequest] = []
        self.running: list[EngineRequest] = []
        self.arrival_count = 0
        self.prefixes: collections.OrderedDict[str, bytes] = (
            collections.OrderedDict()
        )
        self.events: collections.deque[base.CacheEvent] = collections.deque(
            maxlen=MAX_CACHE_EVENTS
        )
        self.event_sequence = 0
        self.reports: collections.deque[base.Report] = collections.deque(
            maxlen=MAX_REPORTS
        )
        # Requests in order of arrival, and counts, for tests and benchmarks.
        self.ledger: collections.deque[dict[str, typing.Any]] = (
            collections.deque(maxlen=MAX_LEDGER_ENTRIES)
        )
        self.busy_steps = 0
        self.filled_slots = 0
        self.load_count = 0
        self.evicted_in_use = 0
        self.thread = threading.Thread(
            target=self.run_steps, name="engine-step", daemon=True
        )
        self.thread.start()

    # Batch

    def run_steps(self) -> None:
        """Run steps at their interval until stopped."""
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
            delay_s = next_at - time.monotonic()
            if delay_s > 0:
                time.sleep(delay_s)
            with self.changed:
                if not self.faults.stalled:
                    self.step()
                self.changed.notify_all()

    def step(self) -> None:
        """Fill the batch and generate one token for each running request."""
        self.fill_batch()
        if not self.running:
            return
        self.busy_steps += 1
        self.filled_slots += len(self.running)
        if any(request.crashes_engine for request in self.running):
            self.crash()
            return
        for request in list(self.running):
            if request.prefill_steps_left > 0:
                request.prefill_steps_left -= 1
                continue
            index = len(request.tokens)
            request.tokens.append(
                make_token(request.model, request.prompt, index)
            )
            if len(request.tokens) >= request.max_tokens:
                self.finish(request)

    def fill_batch(self) -> None:
        """Move waiting requests into free batch slots."""
        free = self.options.batch_slots - len(self.running)
        if free <= 0:
            return
        self.waiting.sort(
            key=lambda request: (request.priority, request.arrival_number)
        )
        self.running.extend(self.waiting[:free])
        del self.waiting[:free]

    def finish(self, request: EngineRequest) -> None:
        """End a request whose answer is complete."""
        request.done = True
        self.running.remove(request)
        self.cache_prompt(request)

    def crash(self) -> None:
        """Fail all requests and restart, as after a crash of the process."""
        for request in [*self.running, *self.waiting]:
            request.failure = "engine crashed"
        self.restart()

    def restart(self) -> None:
        """Fail all requests, clear adapters and caches, get a new boot id.

        The caller holds ``changed``.
        """
        for request in [*self.running, *self.waiting]:
            request.failure = request.failure or "engine restarted"
        self.running.clear()
        self.waiting.clear()
        self.loaded.clear()
        self.prefixes.clear()
        self.requests.clear()
        self.boot_id = uuid.uuid4().hex
        self.changed.notify_all()

    def stop(self) -> None:
        """Fail all requests and stop the engine's thread."""
        with self.changed:
            self.stopping = True
            self.restart()
        self.thread.join(5.0)

    # Orders

    def check_fence(self, fence: int) -> None:
        """Check and store the fencing token of an order.

        :raises EngineError: when the token is older than an earlier one and
            the engine obeys fencing.
        """
        if not self.options.obeys_fencing:
            return
        if fence < self.fence:
            raise EngineError(412, f"fence {fence} is older than {self.fence}")
        self.fence = fence

    def submit(self, body: dict[str, typing.Any], fence: int) -> EngineRequest:
        """Queue a request of the completions API.

        :raises EngineError: when the fence is old, the adapter is not loaded
            or the request id is in use.
        """
        model = str(body["model"])
        prompt = get_prompt(body)
        with self.changed:
            self.check_fence(fence)
            if model != self.base_model and model not in self.loaded:
                raise EngineError(409, f"adapter {model} is not loaded")
            request_id = str(body.get("request_id") or uuid.uuid4().hex)
            if request_id in self.requests:
                raise EngineError(409, f"request {request_id} already exists")
            marker = self.faults.crash_marker
            request = EngineRequest(
                request_id,
                model,
                prompt,
                int(body.get("max_tokens") or DEFAULT_MAX_TOKENS),
                int(body.get("priority", 1)),
                self.arrival_count,
                self.boot_id,
                0 if prompt in self.prefixes else self.options.prefill_steps,
                crashes_engine=bool(marker and marker in prompt)
                or model == self.faults.crash_adapter,
            )
            self.arrival_count += 1
            self.requests[request_id] = request
            self.waiting.append(request)
            self.ledger.append(
                {"request_id": request_id, "model": model, "prompt": prompt}
            )
            self.changed.notify_all()
        return request

    def wait_for_tokens(
        self, request: EngineRequest, offset: int
    ) -> list[str]:
        """Wait for tokens from an offset on; return none at the end.

        :raises EngineError: when the request failed.
        """
        with self.changed:
            while len(request.tokens) <= offset and not request.done:
                if request.failure:
                    raise EngineError(500, request.failure)
                self.changed.wait(1.0)
            return request.tokens[offset:]

    def find_request(self, request_id: str) -> EngineRequest:
        """Return a request by its id.

        :raises EngineError: when there is none since the last restart.
        """
        with self.changed:
            request = self.requests.get(request_id)
        if request is None:
            raise EngineError(404, f"no request {request_id}")
        return request

    def cancel(self, request_id: str, fence: int) -> bool:
        """Cancel a request; return False if it is unknown or done."""
        with self.changed:
            self.check_fence(fence)
            request = self.requests.get(request_id)
            if request is None or request.done:
                return False
            request.failure = "cancelled"
            for queue in (self.running, self.waiting):
                if request in queue:
                    queue.remove(request)
            self.changed.notify_all()
            return True

    def load_adapter(self, name: str, fence: int) -> None:
        """Load an adapter from the weight store, unless it is loaded.

        :raises EngineError: when no slot is free, the load fails or the
            engine restarts meanwhile.
        """
        with self.changed:
            self.check_fence(fence)
            if name in self.loaded:
                return
            if len(self.loaded) >= self.options.adapter_slots:
                raise EngineError(409, "no free adapter slot")
            boot_id = self.boot_id
            self.load_count += 1
            injected_failure = (
                self.rng.random() < self.faults.load_failure_share
            )
        self.fetch_weights()
        with self.changed:
            if injected_failure or self.boot_id != boot_id:
                raise EngineError(500, f"loading {name} failed")
            if len(self.loaded) >= self.options.adapter_slots:
                raise EngineError(409, "no free adapter slot")
            self.loaded[name] = None

    def unload_adapter(self, name: str, fence: int) -> None:
        """Unload an adapter and free its slot.

        :raises EngineError: when a request uses the adapter.
        """
        with self.changed:
            self.check_fence(fence)
            in_use = any(
                request.model == name
                for request in [*self.running, *self.waiting]
            )
            if in_use:
                self.evicted_in_use += 1
                raise EngineError(409, f"adapter {name} is in use")
            self.loaded.pop(name, None)

    def load_model(self, name: str, fence: int) -> None:
        """Change the base model and unload all adapters.

        :raises EngineError: when there are requests.
        """
        with self.changed:
            self.check_fence(fence)
            if self.running or self.waiting:
                raise EngineError(409, "requests are running")
            self.base_model = name
            self.loaded.clear()

    def change_role(self, role: base.EngineRole, fence: int) -> None:
        """Change the engine's role."""
        with self.changed:
            self.check_fence(fence)
            self.role = role

    # Prefix cache

    def cache_prompt(self, request: EngineRequest) -> None:
        """Add the prompt of a finished request to the prefix cache."""
        self.cache_prefix(request.prompt, request.prompt.encode())

    def cache_prefix(self, prefix: str, data: bytes) -> None:
        """Cache a prefix and evict the least recently used ones."""
        if prefix not in self.prefixes:
            self.publish_event(prefix, True)
        self.prefixes[prefix] = data
        self.prefixes.move_to_end(prefix)
        while len(self.prefixes) > self.options.prefix_slots:
            old, _ = self.prefixes.popitem(last=False)
            self.publish_event(old, False)

    def publish_event(self, prefix: str, present: bool) -> None:
        """Append a cache event, unless fault injection drops it."""
        self.event_sequence += 1
        if self.rng.random() < self.faults.event_loss_share:
            return
        digest = digests.digest_content(prefix.encode())
        self.events.append(
            base.CacheEvent(self.event_sequence, digest, present)
        )

    # Reports

    def get_report(self) -> base.Report:
        """Return the load as it was before the injected report lag."""
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
            newest_taken_at = now - self.faults.report_lag_s
            old = [r for r in self.reports if r.taken_at <= newest_taken_at]
            return old[-1] if old else self.reports[0]


def get_prompt(body: dict[str, typing.Any]) -> str:
    """Return the prompt of a completion or chat request."""
    if "messages" in body:
        return "\n".join(
            f"{message.get('role', '')}: {message.get('content', '')}"
            for message in body["messages"]
        )
    return str(body.get("prompt", ""))
