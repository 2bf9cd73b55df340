"""Estimates how long a target takes for one request, from its responses.

The estimate follows observed response times, which also cover targets that
report good health while they are slow. A response time is divided by the load
at that time, so that what is learned is the service time at an idle target.
The slowdown that a target reports changes within a request; it scales the
estimate for a moment and is not used for learning. Callers pass the current
time in seconds.
"""

import collections.abc
import dataclasses
import math
import statistics

# Weights of a sample that is longer or shorter than the estimate. A target
# that becomes slow is noticed after one or two responses; a single fast one
# does not clear it.
RISE_WEIGHT = 0.5
FALL_WEIGHT = 0.2
# Without samples, the ratio of an estimate to that of the other targets halves
# (on a logarithmic scale) in this time, so that a slow target is tried again.
FORGET_HALF_LIFE_S = 4.0
# The same once another entry has measured it: one of all entries tries the
# target again, and its notice holds the others back.
SHARED_HALF_LIFE_S = 2.0
# Weight of the newest value in the mean of a reported figure.
REPORT_WEIGHT = 0.2
# Time constant with which a reported figure returns to its mean. Occupancy and
# slowdown change several times a second.
REPORT_RELAXATION_S = 0.1
# Additional service time at a target with as many requests as slots, as a
# share of the service time: some targets slow down before they are full.
CONTENTION_RATIO = 0.5
# Bounds of a reported slowdown; others are mistakes or rounding to 0.
SLOWDOWN_BOUNDS = (0.1, 100.0)
# Shortest service time, which bounds ratios of estimates.
MIN_SERVICE_S = 0.0001


@dataclasses.dataclass(slots=True)
class ReportedFigure:
    """A reported figure that changes faster than it is reported."""

    mean: float = 0.0
    last: float = 0.0
    # Time of the last report; infinitely long ago without one.
    reported_at: float = float("-inf")

    def record(self, value: float, now: float) -> None:
        """Store a report."""
        if self.reported_at == float("-inf"):
            self.mean = value
        self.mean += REPORT_WEIGHT * (value - self.mean)
        self.last, self.reported_at = value, now

    def expect(self, now: float) -> float:
        """Return the expected value: the last one at first, then the mean."""
        age_s = max(0.0, now - self.reported_at)
        weight = math.exp(-age_s / REPORT_RELAXATION_S)
        return self.mean + (self.last - self.mean) * weight


@dataclasses.dataclass(slots=True)
class SpeedEstimate:
    """Service time of one incarnation of a target."""

    # Service time at an idle target; 0 before the first sample.
    service_s: float = 0.0
    # Time of the last sample, and number of samples.
    sampled_at: float = float("-inf")
    samples: int = 0
    half_life_s: float = FORGET_HALF_LIFE_S
    # The last response time, divided by the requests at the target.
    solo_s: float = 0.0
    slowdown: ReportedFigure = dataclasses.field(
        default_factory=lambda: ReportedFigure(1.0, 1.0)
    )
    # Requests running and waiting at the target.
    occupancy: ReportedFigure = dataclasses.field(
        default_factory=ReportedFigure
    )

    def record_report(
        self, occupancy: int, slowdown: float | None, now: float
    ) -> None:
        """Store the load that a target reported."""
        self.occupancy.record(occupancy, now)
        if slowdown is not None:
            low, high = SLOWDOWN_BOUNDS
            self.slowdown.record(min(high, max(low, slowdown)), now)

    def expect_occupancy(self, now: float) -> float | None:
        """Return the expected requests there; None without any report."""
        if self.occupancy.reported_at == float("-inf"):
            return None
        return self.occupancy.expect(now)

    def record_response(
        self, response_s: float, slots: int, now: float
    ) -> None:
        """Add the time from a request to the head of its response.

        A load report in the response is to be recorded before.
        """
        occupancy = self.occupancy.expect(now)
        self.solo_s = response_s / (occupancy + 1.0)
        ahead = max(0.0, occupancy - 1.0)
        self.add_sample(response_s / get_load_factor(ahead, slots), now)

    def record_no_response(self, waited_s: float, now: float) -> None:
        """Add a request that was given up: it would have taken longer."""
        self.solo_s = waited_s / (self.occupancy.expect(now) + 1.0)
        if waited_s > self.service_s:
            self.add_sample(waited_s, now)

    def add_sample(self, sample_s: float, now: float) -> None:
        """Move the estimate towards a service time that was observed."""
        weight = RISE_WEIGHT if sample_s > self.service_s else FALL_WEIGHT
        # What is old has less weight, also against a faster response.
        weight = max(weight, 1.0 - self.get_trust(now) ** 2)
        self.service_s += weight * (sample_s - self.service_s)
        self.service_s = max(MIN_SERVICE_S, self.service_s)
        self.half_life_s = FORGET_HALF_LIFE_S
        self.sampled_at = now
        self.samples += 1

    def adopt(self, service_s: float, now: float) -> None:
        """Take over what another entry has measured."""
        self.service_s = max(MIN_SERVICE_S, service_s)
        self.half_life_s = SHARED_HALF_LIFE_S
        self.sampled_at = now
        self.samples += 1

    def forget(self) -> None:
        """Count as one of the others again, since the target recovered."""
        self.samples = 0
        self.sampled_at = float("-inf")

    def get_trust(self, now: float) -> float:
        """Return the weight of the estimate, from 1 down to 0 with its age."""
        age_s = max(0.0, now - self.sampled_at)
        return float(0.5 ** (age_s / self.half_life_s))

    def expect_service_s(self, usual_s: float, now: float) -> float:
        """Return the expected service time.

        ``usual_s`` is the service time of comparable targets.
        """
        if not self.samples:
            return usual_s
        ratio = self.service_s / max(MIN_SERVICE_S, usual_s)
        current = self.slowdown.expect(now) / self.slowdown.mean
        return float(usual_s * ratio ** self.get_trust(now) * current)


def get_load_factor(ahead: float, slots: int) -> float:
    """Return how many times longer a request takes behind others."""
    slots = max(1, slots)
    return max(1.0, (ahead + 1.0) / slots) + CONTENTION_RATIO * ahead / slots


def get_usual_s(
    estimates: collections.abc.Iterable[SpeedEstimate], prior_s: float
) -> float:
    """Return the median service time of targets; the prior without samples.

    The lower median, so that with two targets the faster one is usual.
    """
    known = [each.service_s for each in estimates if each.samples]
    return statistics.median_low(known) if known else prior_s
