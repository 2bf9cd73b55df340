"""Prometheus counters and latency histograms of event-loop processes."""

import prometheus_client

from hemlockkeel._internal.utils import process_budget

# Upper bounds, seconds; finest near the latency objectives of 0.2 to 1 s.
LATENCY_BUCKETS_S = (
    0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.0, 2.0, 5.0, 15.0,
)  # fmt: skip


class Instruments:
    """Metrics of one process, in a separate registry."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.answers = prometheus_client.Counter(
            "hemlockkeel_answers",
            "Responses to callers by route kind, status and cause",
            ["kind", "status", "cause"],
            registry=self.registry,
        )
        self.attempts = prometheus_client.Counter(
            "hemlockkeel_attempts",
            "Requests sent to targets by outcome",
            ["outcome"],
            registry=self.registry,
        )
        self.target_probes = prometheus_client.Counter(
            "hemlockkeel_target_probes",
            "Connections opened to see whether a target has ended, by outcome",
            ["outcome"],
            registry=self.registry,
        )
        self.first_byte = prometheus_client.Histogram(
            "hemlockkeel_first_byte_seconds",
            "Time from a request's arrival to the first byte of its response",
            ["kind"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.adapter_wait = prometheus_client.Histogram(
            "hemlockkeel_adapter_wait_seconds",
            "Time that requests wait for an adapter's slot and load",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.service_time = prometheus_client.Gauge(
            "hemlockkeel_target_service_seconds",
            "Expected service time of each plain target, without its queue",
            ["target"],
            registry=self.registry,
        )
        self.late_pauses = prometheus_client.Counter(
            "hemlockkeel_late_pauses",
            "Pauses between events of streams beyond the route's objective",
            ["route"],
            registry=self.registry,
        )
        self.adapter_loads = prometheus_client.Counter(
            "hemlockkeel_adapter_loads",
            "Loads of adapters that an agent has ordered, by cause",
            ["cause"],
            registry=self.registry,
        )
        self.events = prometheus_client.Counter(
            "hemlockkeel_events",
            "State changes by name",
            ["name"],
            registry=self.registry,
        )

    def watch_budget(self, budget: process_budget.ProcessBudget) -> None:
        """Show how much of the budget of a process is used."""
        for name, text, get in (
            ("used", "Memory held for clients", lambda: budget.used_bytes),
            ("limit", "Most of it", lambda: budget.limit_bytes),
        ):
            prometheus_client.Gauge(
                f"hemlockkeel_budget_{name}_bytes",
                text,
                registry=self.registry,
            ).set_function(get)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
