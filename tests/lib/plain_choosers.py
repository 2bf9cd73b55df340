"""Ways to choose a plain target, for comparison in `plain_load`."""

import collections.abc
import dataclasses
import random

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.policy import speed_sharing
from hemlockkeel._internal.policy import target_speed
from hemlockkeel._internal.relay import target_selection
from tests.lib import plain_load

# From an entry through a control member to the others.
NOTICE_DELAY_S = 0.1
NOTICE_BYTES = 60
REPORT_MAX_AGE_S = 0.5
REQUIREMENTS = target_selection.Requirements("dc1")


def make_record(index: int) -> records.TargetRecord:
    """Return the announcement of a target."""
    return records.TargetRecord(
        instance_id=records.InstanceId(str(index)),
        service=records.ServiceName("s"),
        address=f"{index}:80",
        data_centre="dc1",
        state=records.TargetState.READY,
        sequence=1,
        started_at_ms=1,
        slots=plain_load.SLOTS,
    )


class Learning(plain_load.Chooser):
    """The product's choice."""

    def __init__(self, targets: int, rng: random.Random) -> None:
        self.rng = rng
        self.estimates = [target_speed.SpeedEstimate() for _ in range(targets)]
        self.records = [make_record(index) for index in range(targets)]
        self.in_flight = [0] * targets

    def make_candidates(self, now: float) -> list[target_selection.Candidate]:
        """Return all targets as the entry knows them."""
        usual_s = target_speed.get_usual_s(
            self.estimates, target_selection.PRIOR_PLAIN_SERVICE_S
        )
        return [
            target_selection.Candidate(
                record,
                self.in_flight[index],
                0,
                0,
                0,
                plain_load.SLOTS,
                0.0,
                service_s=estimate.expect_service_s(usual_s, now),
                expected_ahead=estimate.expect_occupancy(now),
            )
            for index, (record, estimate) in enumerate(
                zip(self.records, self.estimates, strict=True)
            )
        ]

    def choose(self, now: float) -> int:
        chosen = target_selection.select_target(
            REQUIREMENTS, self.make_candidates(now), self.rng
        )
        assert chosen is not None
        index = int(chosen.record.instance_id)
        self.in_flight[index] += 1
        return index

    def on_response(
        self,
        target: int,
        response_s: float,
        report: plain_load.Report,
        now: float,
    ) -> None:
        self.in_flight[target] -= 1
        self.learn(target, response_s, report, now)

    def on_timeout(self, target: int, waited_s: float, now: float) -> None:
        self.in_flight[target] -= 1
        self.estimates[target].record_no_response(waited_s, now)

    def learn(
        self,
        target: int,
        response_s: float,
        report: plain_load.Report,
        now: float,
    ) -> None:
        """Store the report and the response time."""
        estimate = self.estimates[target]
        estimate.record_report(
            report.running + report.waiting, report.slowdown, now
        )
        estimate.record_response(response_s, plain_load.SLOTS, now)


class WithoutSlowdown(Learning):
    """The product's choice where targets send three figures."""

    def learn(
        self,
        target: int,
        response_s: float,
        report: plain_load.Report,
        now: float,
    ) -> None:
        estimate = self.estimates[target]
        estimate.record_report(report.running + report.waiting, None, now)
        estimate.record_response(response_s, plain_load.SLOTS, now)


class PowerOfTwo(Learning):
    """The better one of two random targets, by the same estimate."""

    def make_candidates(self, now: float) -> list[target_selection.Candidate]:
        return self.rng.sample(super().make_candidates(now), 2)


class Board:
    """Passes notices on to all entries, as a control member does."""

    def __init__(self) -> None:
        self.entries: list[Sharing] = []
        self.notices: speed_sharing.SpeedNotices[int] = (
            speed_sharing.SpeedNotices()
        )
        self.budget = speed_sharing.ByteBudget()
        self.sent = 0

    def publish(self, target: int, ratio: float, now: float) -> None:
        """Send a notice to all entries if it is news and affordable."""
        self.notices.expire(now)
        if not self.notices.is_news(target, ratio, ratio, now):
            return
        size = len(self.entries) * NOTICE_BYTES
        if not self.budget.try_spend(size, now):
            return
        self.sent += 1
        for each in self.entries:
            each.inbox.append((now + NOTICE_DELAY_S, target, ratio))


class Sharing(Learning):
    """The product's choice with notices between entries."""

    def __init__(self, targets: int, rng: random.Random, board: Board) -> None:
        super().__init__(targets, rng)
        self.board = board
        board.entries.append(self)
        self.notices: speed_sharing.SpeedNotices[int] = (
            speed_sharing.SpeedNotices()
        )
        self.inbox: list[tuple[float, int, float]] = []

    def choose(self, now: float) -> int:
        self.read_inbox(now)
        return super().choose(now)

    def learn(
        self,
        target: int,
        response_s: float,
        report: plain_load.Report,
        now: float,
    ) -> None:
        self.read_inbox(now)
        super().learn(target, response_s, report, now)
        self.publish(target, now)

    def on_timeout(self, target: int, waited_s: float, now: float) -> None:
        super().on_timeout(target, waited_s, now)
        self.publish(target, now)

    def get_usual_s(self) -> float:
        """Return the usual service time."""
        return target_speed.get_usual_s(
            self.estimates, target_selection.PRIOR_PLAIN_SERVICE_S
        )

    def read_inbox(self, now: float) -> None:
        """Apply the notices that have arrived."""
        while self.inbox and self.inbox[0][0] <= now:
            _, target, ratio = self.inbox.pop(0)
            if not self.notices.may_adopt(
                target, ratio, range(len(self.estimates))
            ):
                continue
            self.notices.record(target, ratio, now)
            if self.notices.is_slow(target):
                self.estimates[target].adopt(ratio * self.get_usual_s(), now)
            else:
                self.estimates[target].forget()

    def publish(self, target: int, now: float) -> None:
        """Tell the others what was measured if that is news."""
        self.notices.expire(now)
        estimate = self.estimates[target]
        usual_s = self.get_usual_s()
        ratio = estimate.service_s / usual_s
        solo_ratio = estimate.solo_s / usual_s
        if self.notices.is_news(target, ratio, solo_ratio, now):
            self.board.publish(target, ratio, now)


@dataclasses.dataclass
class LeastLoaded(plain_load.Chooser):
    """The target with the fewest requests in the last report, else at random.

    ``believes_reports`` is false for an entry that cannot read the reports.
    """

    targets: int
    rng: random.Random
    believes_reports: bool = True

    def __post_init__(self) -> None:
        self.reports = [(0, float("-inf"))] * self.targets
        self.in_flight = [0] * self.targets

    def choose(self, now: float) -> int:
        def get_load(index: int) -> tuple[int, float]:
            reported, at = self.reports[index]
            fresh = self.believes_reports and now - at < REPORT_MAX_AGE_S
            ahead = max(self.in_flight[index], reported if fresh else 0)
            return ahead, self.rng.random()

        index = min(range(self.targets), key=get_load)
        self.in_flight[index] += 1
        return index

    def on_response(
        self,
        target: int,
        response_s: float,
        report: plain_load.Report,
        now: float,
    ) -> None:
        self.in_flight[target] -= 1
        self.reports[target] = (report.running + report.waiting, now)

    def on_timeout(self, target: int, waited_s: float, now: float) -> None:
        self.in_flight[target] -= 1


@dataclasses.dataclass
class Oracle(plain_load.Chooser):
    """Knows the speed and the requests of all targets at each moment."""

    targets: list[plain_load.Target]

    def choose(self, now: float) -> int:
        def get_expected(index: int) -> float:
            target = self.targets[index]
            ahead = len(target.running) + len(target.waiting)
            crowd = max(1.0, (ahead + 1) / target.knee)
            return target.get_factor(now) * crowd

        return min(range(len(self.targets)), key=get_expected)


def make_choosers(
    name: str,
    targets: list[plain_load.Target],
    entries: int,
    rng: random.Random,
) -> list[plain_load.Chooser]:
    """Return the choosers of all entries, of one kind."""
    if name != SHARED:
        return [FACTORIES[name](targets, rng) for _ in range(entries)]
    board = Board()
    return [Sharing(len(targets), rng, board) for _ in range(entries)]


ChooserFactory = collections.abc.Callable[
    [list[plain_load.Target], random.Random], plain_load.Chooser
]
SHARED = "estimate, shared"
FACTORIES: dict[str, ChooserFactory] = {
    "blind": lambda targets, rng: LeastLoaded(len(targets), rng, False),
    "least loaded": lambda targets, rng: LeastLoaded(len(targets), rng),
    "power of two": lambda targets, rng: PowerOfTwo(len(targets), rng),
    "estimate, 3 figures": lambda targets, rng: WithoutSlowdown(
        len(targets), rng
    ),
    "estimate": lambda targets, rng: Learning(len(targets), rng),
    "oracle": lambda targets, _: Oracle(targets),
}


def make_targets(knee: float) -> list[plain_load.Target]:
    """Return targets of 1.0 and 1.3, on a busy machine, and with a fault."""
    return [
        plain_load.Target(1.0, knee=knee),
        plain_load.Target(1.3, knee=knee),
        plain_load.Target(1.0, 2.5, 0.4, knee=knee),
        plain_load.Target(
            1.0, fault=7.5, fault_from_s=15.0, fault_until_s=45.0, knee=knee
        ),
    ]


def main() -> None:
    """Print the share on time and the 99th percentile of each way."""
    for knee in (6.0, 2.0, 1.0):
        for rate_per_s in (35.0, 60.0, 90.0):
            for name in (*FACTORIES, SHARED):
                targets = make_targets(knee)
                rng = random.Random(7)
                choosers = make_choosers(name, targets, 42, rng)
                result = plain_load.play(targets, choosers, rate_per_s, 60, 1)
                print(
                    f"knee {knee:.0f} rate {rate_per_s:.0f} {name:20}"
                    f" on time {result.get_share_on_time():.4f}"
                    f" faulty {result.get_share_on_time(15, 45):.4f}"
                    f" p99 {result.get_p99_s():.3f}"
                    f" share of slow {result.get_share_of(3, 20, 45):.3f}"
                    f" after {result.get_share_of(3, 50, 60):.3f}"
                )


if __name__ == "__main__":
    main()
