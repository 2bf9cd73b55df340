"""Counters and timers, sent to statsd and kept for status requests."""

import collections
import enum
import threading

import statsd


class Counter(enum.Enum):
    """Counters; the value is the name of the metric."""

    REQUESTS = "requests"
    ANSWERED = "requests.answered"
    REFUSED_NOT_RUN = "requests.refused.not_run"
    REFUSED_MAY_HAVE_RUN = "requests.refused.may_have_run"
    REFUSED_RAN = "requests.refused.ran"
    SHED = "requests.shed"
    RETRIES = "requests.retries"
    RETRY_BUDGET_EMPTY = "requests.retry_budget_empty"
    CALLER_GONE = "requests.caller_gone"
    DUPLICATES = "requests.duplicates"
    QUARANTINED = "requests.quarantined"
    REATTACHED = "streams.reattached"
    RERUN = "streams.rerun"
    FRAMES_DROPPED = "answers.frames_dropped"
    ANSWERS_REJECTED = "answers.rejected"
    ADAPTER_HITS = "adapters.hits"
    ADAPTER_LOADS = "adapters.loads"
    ADAPTER_LOADS_FAILED = "adapters.loads_failed"
    ADAPTER_EVICTIONS = "adapters.evictions"
    ADAPTER_PRELOADS = "adapters.preloads"
    ENGINE_RESTARTS = "engine.restarts"
    RPC_REJECTED = "rpc.rejected"
    RPC_BAD_FRAMES = "rpc.bad_frames"
    HEARTBEATS = "control.heartbeats"
    CHANGES_ACCEPTED = "control.changes_accepted"
    CHANGES_REFUSED = "control.changes_refused"
    ELECTIONS = "control.elections"
    PROPOSALS_REFUSED = "control.proposals_refused"
    RAFT_MESSAGES_DROPPED = "control.raft_messages_dropped"
    PERMITS = "control.permits"
    EVENT_GAPS = "engine.event_gaps"


class Timer(enum.Enum):
    """Timers; the value is the name of the metric.

    statsd gets milliseconds, `Metrics.snapshot` returns microseconds.
    """

    FIRST_TOKEN = "requests.first_token"
    TOTAL = "requests.total"
    LOAD_STALL = "adapters.load_stall"
    LOAD = "adapters.load"
    RECORD = "requests.record"
    COMMIT = "control.commit"
    FSYNC = "control.fsync"


class Metrics:
    """Thread-safe counters and timers; sent to statsd if a host is given."""

    def __init__(
        self, host: str = "", port: int = 8125, prefix: str = "hemlockkeel"
    ) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.lock = threading.Lock()
        self.client: statsd.StatsClient | None = None
        if host:
            self.client = statsd.StatsClient(host, port, prefix)

    def count(self, counter: Counter, amount: int = 1) -> None:
        """Increase a counter."""
        with self.lock:
            self.counts[counter.value] += amount
        if self.client is not None:
            self.client.incr(counter.value, amount)

    def time(self, timer: Timer, seconds: float) -> None:
        """Record a duration, in seconds."""
        with self.lock:
            self.counts[timer.value + ".count"] += 1
            self.counts[timer.value + ".total_us"] += int(seconds * 1e6)
        if self.client is not None:
            self.client.timing(timer.value, seconds * 1000.0)

    def snapshot(self) -> dict[str, int]:
        """Return a copy of all counters.

        A timer has two: ``.count``, and ``.total_us`` in microseconds.
        """
        with self.lock:
            return dict(self.counts)
