"""Learns the speed of plain targets and reports it to operators."""

import collections
import collections.abc

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.policy import target_speed
from hemlockkeel._internal.relay import exchange
from hemlockkeel._internal.relay import target as target_module
from hemlockkeel._internal.relay import target_registry
from hemlockkeel._internal.relay import target_selection
from hemlockkeel._internal.utils import event_log
from hemlockkeel._internal.utils import instruments as instruments_module

# Multiples of the usual service time from which on a target is reported as
# slow, and below which it no longer is.
SLOW_RATIO = 3.0
RECOVERED_RATIO = 2.0


class ExchangeTiming:
    """Learns from the time until the head of one response."""

    def __init__(
        self,
        registry: target_registry.TargetRegistry,
        target: target_module.Target,
        sent_at: float,
    ) -> None:
        self.registry = registry
        self.target = target
        # Loop time at which the request was sent.
        self.sent_at = sent_at
        self.answered = False

    def record_head(self, response: exchange.ResponseHead, now: float) -> None:
        """Learn from a response; refusals and errors tell no speed."""
        self.answered = True
        if response.metadata.load is not None:
            self.target.update_load(response.metadata.load, now)
        if self.target.engine is None and response.successful:
            slots = self.target.slots or self.target.record.slots
            self.target.speed.record_response(now - self.sent_at, slots, now)
            self.registry.on_measured(self.target, now)

    def record_first_event(self, expected_s: float, now: float) -> None:
        """Learn from the first event of a stream of an engine.

        ``expected_s`` is the time expected of a healthy engine, or 0.
        """
        self.target.prefill_speed.record(now - self.sent_at, expected_s, now)

    def end(self, now: float) -> None:
        """Learn from an exchange that ended without a response."""
        if not self.answered and self.target.engine is None:
            self.target.speed.record_no_response(now - self.sent_at, now)
            self.registry.on_measured(self.target, now)


class SpeedReport:
    """Tells operators the estimates, and which targets are passed over."""

    def __init__(
        self,
        log: event_log.EventLog,
        instruments: instruments_module.Instruments,
    ) -> None:
        self.log = log
        self.instruments = instruments
        self.slow: set[records.IncarnationKey] = set()
        self.reported: set[str] = set()

    def update(
        self,
        targets: collections.abc.Iterable[target_module.Target],
        now: float,
    ) -> None:
        """Set the gauges; log targets that became slow or recovered."""
        by_service = collections.defaultdict(list)
        for target in targets:
            if target.engine is None and target.speed.samples:
                by_service[target.record.service].append(target)
        named = set()
        slow = set()
        for group in by_service.values():
            usual_s = target_speed.get_usual_s(
                (target.speed for target in group),
                target_selection.PRIOR_PLAIN_SERVICE_S,
            )
            for target in group:
                expected_s = target.speed.expect_service_s(usual_s, now)
                name = str(target.record.instance_id)
                named.add(name)
                self.instruments.service_time.labels(name).set(expected_s)
                if self.check(target, expected_s, usual_s):
                    slow.add(target.incarnation_key)
        for name in self.reported - named:
            self.instruments.service_time.remove(name)
        self.reported = named
        self.slow = slow

    def check(
        self,
        target: target_module.Target,
        expected_s: float,
        usual_s: float,
    ) -> bool:
        """Return whether a target is slow; log a change."""
        was_slow = target.incarnation_key in self.slow
        limit = RECOVERED_RATIO if was_slow else SLOW_RATIO
        is_slow = expected_s > limit * usual_s
        if is_slow != was_slow:
            event = "target_slow" if is_slow else "target_recovered"
            self.instruments.events.labels(event).inc()
            self.log.write(
                event,
                target=target.record.instance_id,
                born_ms=target.record.started_at_ms,
                service=round(expected_s, 4),
                usual=round(usual_s, 4),
                slowdown=round(target.speed.slowdown.mean, 2),
                samples=target.speed.samples,
            )
        return is_slow
