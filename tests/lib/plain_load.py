"""Plays plain requests from many entries to a few targets of unequal speed.

Nothing waits in real time. ``python -m tests.lib.plain_choosers`` prints the
table of `docs/design/target-speed.md`.
"""

import collections.abc
import dataclasses
import enum
import heapq
import itertools
import random

SLOTS = 6
DEADLINE_S = 0.69
SLO_S = 0.167
# Part of the machine's period for which it is slow.
PERIOD_S = 0.6


# Speeds change at multiples of this.
TICK_S = 0.01
TICKS_PER_S = 100
# Mean and shape of the gamma distribution of a request's work.
WORK_S = 0.0225
WORK_SHAPE = 4.0
ROUNDING_S = 1e-9


class Event(enum.Enum):
    """What happens in a play."""

    TICK = "tick"
    ARRIVAL = "arrival"
    END = "end"
    DEADLINE = "deadline"


@dataclasses.dataclass(frozen=True)
class Request:
    """A request at a target."""

    entry: int
    sent_at: float


@dataclasses.dataclass(frozen=True)
class Report:
    """What a target says with a response."""

    running: int
    waiting: int
    slowdown: float


@dataclasses.dataclass
class Target:
    """A target whose running requests progress at the same speed."""

    speed_factor: float
    # Multiple of the duration, and share of each period for which it applies.
    pulse: float = 1.0
    pulse_share: float = 0.0
    # Interval within which work takes ``fault`` times as long.
    fault: float = 1.0
    fault_from_s: float = 0.0
    fault_until_s: float = 0.0
    # Requests beyond this number slow each other down.
    knee: float = SLOTS
    done: float = 0.0
    updated_at: float = 0.0
    running: list[tuple[float, int, Request]] = dataclasses.field(
        default_factory=list
    )
    waiting: list[tuple[float, int, Request]] = dataclasses.field(
        default_factory=list
    )

    def get_pace(self, now: float) -> float:
        """Return the relative duration of work that the target reports."""
        pulsed = (now % PERIOD_S) < self.pulse_share * PERIOD_S
        return self.speed_factor * (self.pulse if pulsed else 1.0)

    def get_factor(self, now: float) -> float:
        """Return the relative duration of work, with what is not reported."""
        faulty = self.fault_from_s <= now < self.fault_until_s
        return self.get_pace(now) * (self.fault if faulty else 1.0)

    def advance(self, now: float) -> None:
        """Let the running requests progress until now."""
        crowd = max(1.0, len(self.running) / self.knee)
        elapsed_s = now - self.updated_at
        self.done += elapsed_s / (self.get_factor(self.updated_at) * crowd)
        self.updated_at = now

    def pop_complete(self) -> list[Request]:
        """Remove and return the requests whose work is done."""
        complete = []
        while self.running and self.running[0][0] <= self.done + ROUNDING_S:
            complete.append(heapq.heappop(self.running)[2])
        return complete

    def start_waiting(self) -> None:
        """Start waiting requests in free slots."""
        while len(self.running) < SLOTS and self.waiting:
            work_s, number, request = self.waiting.pop(0)
            heapq.heappush(self.running, (self.done + work_s, number, request))

    def find_next_end(self) -> float:
        """Return when the next request ends at the present speed."""
        crowd = max(1.0, len(self.running) / self.knee)
        left_s = max(0.0, self.running[0][0] - self.done)
        factor = self.get_factor(self.updated_at)
        return self.updated_at + left_s * crowd * factor

    def make_report(self, now: float) -> Report:
        """Return the load as the target reports it."""
        return Report(len(self.running), len(self.waiting), self.get_pace(now))

    def drop_expired(self, now: float) -> list[Request]:
        """Remove and return the requests whose deadline has come."""
        dropped = []
        for queue in (self.running, self.waiting):
            kept = []
            for item in queue:
                expired = item[2].sent_at + DEADLINE_S <= now + ROUNDING_S
                if expired:
                    dropped.append(item[2])
                else:
                    kept.append(item)
            queue[:] = kept
        heapq.heapify(self.running)
        return dropped


class Chooser:
    """Chooses targets for the requests of one entry."""

    def choose(self, now: float) -> int:
        """Return the target of a new request."""
        raise NotImplementedError

    def on_response(
        self, target: int, response_s: float, report: Report, now: float
    ) -> None:
        """Learn from a response."""

    def on_timeout(self, target: int, waited_s: float, now: float) -> None:
        """Learn from a request that was not answered within its deadline."""


@dataclasses.dataclass
class Result:
    """Response times with the arrival time and target of each request."""

    answers: list[tuple[float, int, float]]

    def get_share_on_time(
        self, since_s: float = 0.0, until_s: float = 1e9
    ) -> float:
        """Return the share answered within the objective."""
        times = [
            taken for at, _, taken in self.answers if since_s <= at < until_s
        ]
        return sum(taken <= SLO_S for taken in times) / max(1, len(times))

    def get_p99_s(self) -> float:
        """Return the 99th percentile of the response times."""
        times = sorted(taken for _, _, taken in self.answers)
        return times[int(len(times) * 0.99)]

    def get_share_of(
        self, target: int, since_s: float, until_s: float
    ) -> float:
        """Return a target's share of the requests of an interval."""
        chosen = [
            where for at, where, _ in self.answers if since_s <= at < until_s
        ]
        return chosen.count(target) / max(1, len(chosen))


class Player:
    """Plays requests that arrive at random until all are answered."""

    def __init__(
        self,
        targets: list[Target],
        choosers: list[Chooser],
        rate_per_s: float,
        duration_s: float,
        seed: int,
    ) -> None:
        self.targets = targets
        self.choosers = choosers
        self.rate_per_s = rate_per_s
        self.duration_s = duration_s
        self.rng = random.Random(seed)
        self.order = itertools.count()
        # Time, sequence number, kind and index of the target.
        self.events: list[tuple[float, int, Event, int]] = []
        self.answers: list[tuple[float, int, float]] = []

    def add_event(self, at: float, kind: Event, index: int = 0) -> None:
        """Schedule an event."""
        heapq.heappush(self.events, (at, next(self.order), kind, index))

    def run(
        self, on_second: collections.abc.Callable[[float], None]
    ) -> Result:
        """Play all events; call ``on_second`` with the time every second."""
        for step in range(int(self.duration_s / TICK_S)):
            self.add_event(step * TICK_S, Event.TICK, step)
        self.add_event(0.0, Event.ARRIVAL)
        while self.events:
            now, _, kind, index = heapq.heappop(self.events)
            if kind is Event.ARRIVAL:
                self.handle_arrival(now)
            elif kind is Event.TICK:
                for number in range(len(self.targets)):
                    self.update(number, now)
                if index % TICKS_PER_S == 0:
                    on_second(now)
            else:
                self.update(index, now)
        self.answers.sort()
        return Result(self.answers)

    def handle_arrival(self, now: float) -> None:
        """Send a request to the target that its entry chooses."""
        if now >= self.duration_s:
            return
        self.add_event(
            now + self.rng.expovariate(self.rate_per_s), Event.ARRIVAL
        )
        entry = self.rng.randrange(len(self.choosers))
        index = self.choosers[entry].choose(now)
        work_s = self.rng.gammavariate(WORK_SHAPE, WORK_S / WORK_SHAPE)
        request = Request(entry, now)
        target = self.targets[index]
        target.advance(now)
        target.waiting.append((work_s, next(self.order), request))
        self.add_event(now + DEADLINE_S, Event.DEADLINE, index)
        self.update(index, now)

    def update(self, index: int, now: float) -> None:
        """End and start requests at a target as time has advanced."""
        target = self.targets[index]
        target.advance(now)
        for request in target.pop_complete():
            taken_s = now - request.sent_at
            self.answers.append((request.sent_at, index, taken_s))
            self.choosers[request.entry].on_response(
                index, taken_s, target.make_report(now), now
            )
        for request in target.drop_expired(now):
            self.answers.append((request.sent_at, index, DEADLINE_S))
            self.choosers[request.entry].on_timeout(index, DEADLINE_S, now)
        target.start_waiting()
        if target.running:
            self.add_event(target.find_next_end(), Event.END, index)


def ignore_second(now: float) -> None:
    """Do nothing every second."""


def play(
    targets: list[Target],
    choosers: list[Chooser],
    rate_per_s: float,
    duration_s: float,
    seed: int,
    on_second: collections.abc.Callable[[float], None] = ignore_second,
) -> Result:
    """Return the response times of requests that arrive at random."""
    player = Player(targets, choosers, rate_per_s, duration_s, seed)
    return player.run(on_second)
