"""Random series of replaced control members, and a command that plays them.

``python -m hemlockkeel_bench.replacement_series`` plays many seeds. Each draws
one to three replacements, one after another or side by side, planned or not,
with a signal or without, and restarts, pauses, cuts and lost disks between and
after them. By the deployment's own count (`LossLedger`), no more machines are
lost at once than the group bears; in addition halves are cut from each other
and all members restart, after which they have their time to recover.
"""

import collections
import collections.abc
import concurrent.futures
import dataclasses
import enum
import json
import random
import typing

import typer

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.coordinator import process
from hemlockkeel_bench import member_rules
from hemlockkeel_bench import replacement_simulation

# Time for which a machine counts as lost after it is back or new.
CATCH_UP_S = 4.0
# From the start of a machine to that of its member.
START_S = (0.4, 1.0)
# Interval at which what waits for its turn asks again.
RETRY_S = 0.1
CHECK_INTERVAL_S = 0.5
TROUBLE_UNTIL_S = 40.0
SNAPSHOT_INTERVAL_S = 5.0
DEFAULT_NOTICE_S = 2.5

# A part of a series: yields the seconds until it goes on.
Script = collections.abc.Generator[float, None, None]


class Trouble(enum.Enum):
    """What may happen to a machine beside replacements."""

    RESTART = "restart"
    SIGNAL = "signal"
    PAUSE = "pause"
    CUT = "cut"
    DISK = "disk"
    SPLIT = "split"
    RESTART_ALL = "restart all"


class LossLedger:
    """Counts the machines that are lost, as deployments do.

    A machine is lost while it is away, and for ``catch_up_s`` after it is back
    or new. One that was removed is lost until another one has taken its place
    and has had that time, so that the others are as many as before.
    """

    def __init__(self, size: int, catch_up_s: float = CATCH_UP_S) -> None:
        self.size = size
        self.catch_up_s = catch_up_s
        # Times at which the machines have caught up.
        self.ready_at: dict[str, float] = {}
        self.away: set[str] = set()
        # Machines that are about to be removed.
        self.leaving: set[str] = set()

    @property
    def tolerated(self) -> int:
        """Return how many machines the group bears to lose at once."""
        return (self.size - 1) // 2

    def add(self, address: str, now: float) -> None:
        """Record that a machine has started, or is back."""
        self.ready_at[address] = now + self.catch_up_s
        self.away.discard(address)

    def remove(self, address: str) -> None:
        """Record that a machine has been removed for good."""
        del self.ready_at[address]
        self.away.discard(address)
        self.leaving.discard(address)

    @property
    def spare(self) -> int:
        """Return how many machines there are beyond the size of the group."""
        return len(self.ready_at) - len(self.leaving) - self.size

    def count(self, now: float) -> int:
        """Return the number of machines that are lost."""
        return max(0, -self.spare) + sum(
            address in self.away or ready_at > now
            for address, ready_at in self.ready_at.items()
            if address not in self.leaving
        )

    def list_sound(self, now: float) -> list[str]:
        """Return the machines that are not lost."""
        return [
            address
            for address, ready_at in self.ready_at.items()
            if address not in self.away | self.leaving and ready_at <= now
        ]


class SeriesSimulation(replacement_simulation.ReplacementSimulation):
    """Members whose guarantees are checked while a series is played."""

    def __init__(
        self,
        size: int,
        rng: random.Random,
        rule: member_rules.MemberRule | None,
    ) -> None:
        super().__init__(size, rng, rule)
        self.ledger = LossLedger(size)
        # Since when no more machines are lost than the group bears; None
        # while more are.
        self.sound_since: float | None = None
        self.last_progress_at = self.now
        self.progress = 0
        # Whether more is lost than the group bears, whatever the ledger says.
        self.is_overtaxed = False

    def check_step(self) -> None:
        """Check that changes are acknowledged, and none of them is lost.

        :raises InvariantError: when no change was acknowledged for the time
            that members have to recover, although no more are lost than the
            group bears; or when the leader lacks an acknowledged one.
        """
        if len(self.acknowledged_values) > self.progress:
            self.progress = len(self.acknowledged_values)
            self.last_progress_at = self.now
        lost = self.ledger.count(self.now)
        if self.is_overtaxed or lost > self.ledger.tolerated:
            self.sound_since = None
        elif self.sound_since is None:
            self.sound_since = self.now
        if self.is_due("progress", CHECK_INTERVAL_S):
            self.check_progress()
            self.check_reads()

    def check_progress(self) -> None:
        """Check that changes are acknowledged."""
        if self.sound_since is None:
            return
        waited_s = self.now - max(self.sound_since, self.last_progress_at)
        exceptions.require(
            waited_s <= replacement_simulation.RECOVERY_S,
            "no change was acknowledged for %.1f s",
            waited_s,
        )

    def check_reads(self) -> None:
        """Check that whoever may answer reads knows what was acknowledged."""
        for member in self.list_running():
            raft = member.raft
            assert raft is not None
            if self.addresses[member.member_id] in self.paused:
                continue
            if member.applied_index < raft.term_start_index:
                continue
            if not raft.has_lease(self.read_clock(member)):
                continue
            lost = self.acknowledged_values - set(member.applied_values)
            exceptions.require(
                not lost, "a read would lack changes %s", sorted(lost)
            )


class Series:
    """One series of replacements, drawn by a seed.

    ``notice_s`` is the least time from a removal without a signal, of a
    machine whose successor has caught up, to a loss that other members cannot
    tell from a cut, and between such a loss and such a removal.
    """

    def __init__(
        self,
        seed: int,
        size: int,
        rule: member_rules.MemberRule | None = None,
        notice_s: float = DEFAULT_NOTICE_S,
    ) -> None:
        self.rng = random.Random(seed)
        self.notice_s = notice_s
        self.cluster = SeriesSimulation(size, self.rng, rule)
        self.ledger = self.cluster.ledger
        for address in self.cluster.machines:
            self.ledger.ready_at[address] = 0.0
        # Times of the last removal without a signal that counts as no loss,
        # and of the last loss.
        self.removed_at = float("-inf")
        self.lost_at = float("-inf")
        # Machines that are in the hands of a script.
        self.taken: set[str] = set()
        self.begun_at = self.cluster.now
        self.added_count = 0
        self.events: list[str] = []

    @property
    def now(self) -> float:
        """Return the simulated time in seconds."""
        return self.cluster.now

    def note(self, what: str, address: str = "") -> None:
        """Record an event for the report of a violation."""
        seconds = self.now - self.begun_at
        self.events.append(f"{seconds:.2f} {what} {address}".rstrip())

    def run(self) -> None:
        """Play the series.

        :raises InvariantError: when a guarantee is violated.
        """
        cluster = self.cluster
        cluster.play(3.0)
        scripts = [(self.now, self.make_trouble())]
        scripts += [(self.now, script) for script in self.draw_replacements()]
        scripts.append((self.now, self.take_snapshots()))
        while scripts:
            due, script = min(scripts, key=lambda each: each[0])
            scripts.remove((due, script))
            if due > self.now:
                cluster.play(due - self.now)
            pause_s = next(script, None)
            if pause_s is not None:
                scripts.append((max(due, self.now) + pause_s, script))
        cluster.play(CATCH_UP_S)
        cluster.check_recovery()

    # Replacements

    def draw_replacements(self) -> list[Script]:
        """Return scripts of replacements, which are played side by side."""
        count = self.rng.randint(1, 3)
        if self.rng.random() < 0.5:
            return [self.run_in_turn(count)]
        return [self.run_after(self.rng.uniform(0, 4)) for _ in range(count)]

    def run_in_turn(self, count: int) -> Script:
        """Replace machines one after another."""
        for _ in range(count):
            yield from self.replace()
            yield self.rng.choice([0.0, 0.5, 3.0, 8.0])

    def run_after(self, delay_s: float) -> Script:
        """Replace a machine after a while."""
        yield delay_s
        yield from self.replace()

    def replace(self) -> Script:
        """Replace a machine by a new one, which starts before or after."""
        if self.rng.random() < 0.4:
            yield from self.remove_first()
            return
        while True:
            address = yield from self.start_new()
            yield CATCH_UP_S + self.rng.choice([0.0, 0.0, 2.0, 6.0])
            if self.rng.random() > 0.15:
                break
            yield from self.take_away_again(address)
        while not self.may_remove():
            yield RETRY_S
        yield from self.remove_one()

    def take_away_again(self, address: str) -> Script:
        """Remove a new machine, whose predecessor still runs."""
        while not self.may_remove() or address in self.taken:
            yield RETRY_S
        if address not in self.ledger.ready_at:
            # Another replacement has removed it.
            return
        self.note("goes again", address)
        yield from self.remove(address)
        yield self.rng.uniform(0.0, 3.0)

    def remove_first(self) -> Script:
        """Remove a machine, and start another one later."""
        while not self.may_lose_silently() or not self.list_free():
            yield RETRY_S
        self.lost_at = self.now
        yield from self.remove_one()
        yield self.rng.choice([0.5, 1.0, 2.0, 4.0])
        yield from self.start_new(is_permitted=True)
        yield CATCH_UP_S

    def start_new(
        self, is_permitted: bool = False
    ) -> collections.abc.Generator[float, None, str]:
        """Start a new machine and return its address."""
        while not is_permitted and not self.may_lose():
            yield RETRY_S
        self.added_count += 1
        address = f"host-new-{self.added_count}:1"
        self.note("starts", address)
        self.ledger.add(address, self.now)
        self.taken.add(address)
        if self.rng.random() < 0.2:
            self.cluster.lossy.add(address)
        yield self.rng.uniform(*START_S)
        self.cluster.add_machine(address)
        self.taken.discard(address)
        yield 1.0
        self.cluster.lossy.discard(address)
        return address

    def remove_one(self) -> Script:
        """Remove a sound machine, which leads in half of the cases."""
        sound = self.list_free()
        leader = self.cluster.get_leader_address()
        if leader in sound and self.rng.random() < 0.5:
            yield from self.remove(leader)
            return
        yield from self.remove(self.rng.choice(sound))

    def remove(self, address: str) -> Script:
        """Remove a machine for good, after a signal in half of the cases."""
        self.taken.add(address)
        self.ledger.leaving.add(address)
        if self.rng.random() < 0.5:
            yield from self.signal(address)
        else:
            self.removed_at = self.now
        self.note("is removed", address)
        self.cluster.remove_machine(address)
        self.draw_refusal(address)
        self.ledger.remove(address)
        self.taken.discard(address)

    def signal(self, address: str) -> Script:
        """Let a member leave, as far as it does, before it ends."""
        self.note("is signalled", address)
        machine = self.cluster.machines[address]
        machine.is_leaving = True
        ends_at = self.now + process.LEAVE_TIMEOUT_S
        while self.now < ends_at and not self.has_left(address):
            yield process.LEAVE_RETRY_INTERVAL_S

    def has_left(self, address: str) -> bool:
        """Return whether a leader has removed the member of a machine."""
        leader = self.cluster.get_leader_address()
        if not leader:
            return False
        raft = self.cluster.find_running(leader).raft
        member_id = self.cluster.machines[address].member_id
        return (
            raft is not None
            and raft.members.is_confirmed
            and raft.membership.get(member_id) is None
        )

    # Permission

    def list_free(self) -> list[str]:
        """Return the machines that are sound and in no script's hands."""
        return [
            each
            for each in self.ledger.list_sound(self.now)
            if each not in self.taken
        ]

    def may_lose(self, count: int = 1) -> bool:
        """Return whether further machines may be lost now."""
        lost = self.ledger.count(self.now) + count
        return not self.cluster.is_overtaxed and lost <= self.ledger.tolerated

    def may_lose_silently(self, count: int = 1) -> bool:
        """Return whether machines may be lost so that it looks like a cut."""
        since_s = self.now - self.removed_at
        return since_s >= self.notice_s and self.may_lose(count)

    def may_remove(self) -> bool:
        """Return whether a machine that has a successor may be removed."""
        since_s = self.now - max(self.removed_at, self.lost_at)
        return (
            since_s >= self.notice_s
            and self.may_lose(0)
            and self.ledger.spare > 0
            and bool(self.list_free())
        )

    # Other trouble

    def make_trouble(self) -> Script:
        """Let machines fail now and then."""
        ends_at = self.now + TROUBLE_UNTIL_S
        while self.now < ends_at:
            yield self.rng.choice([0.1, 0.5, 1.0, 3.0, 6.0])
            kind = self.rng.choices(
                list(Trouble), weights=[2, 1, 2, 2, 4, 1, 0.5]
            )[0]
            yield from self.play_trouble(kind)

    def play_trouble(self, kind: Trouble) -> Script:
        """Play one trouble, if it may come now, until its machine is back."""
        if kind in (Trouble.SPLIT, Trouble.RESTART_ALL):
            if self.ledger.count(self.now) == 0 and not self.taken:
                yield from self.overtax(kind)
            return
        count = self.rng.randint(1, self.ledger.tolerated)
        permitted = (
            self.may_lose(count)
            if kind is Trouble.DISK
            else self.may_lose_silently(count)
        )
        candidates = self.list_free()
        if not permitted or len(candidates) < count:
            return
        lost = self.rng.sample(candidates, count)
        self.taken |= set(lost)
        self.ledger.away |= set(lost)
        if kind is Trouble.SIGNAL:
            for address in lost:
                yield from self.signal(address)
        self.lost_at = self.now
        for address in lost:
            self.note(kind.value, address)
            self.begin(kind, address)
        yield self.draw_duration(kind)
        for address in lost:
            self.note("is back", address)
            self.end(kind, address)
            self.ledger.add(address, self.now)
        self.taken -= set(lost)

    def draw_duration(self, kind: Trouble) -> float:
        """Return for how long a machine is lost."""
        if kind in (Trouble.PAUSE, Trouble.CUT):
            return self.rng.choice([0.3, 1.0, 3.0, 9.0, 20.0])
        return self.rng.choice([0.3, 1.0, 3.0])

    def begin(self, kind: Trouble, address: str) -> None:
        """Let a machine fail."""
        cluster = self.cluster
        match kind:
            case Trouble.PAUSE:
                cluster.paused.add(address)
            case Trouble.CUT:
                cluster.cut_machines({address}, set(cluster.machines))
            case Trouble.DISK:
                cluster.lose_disk(address)
                self.draw_refusal(address)
            case Trouble.RESTART | Trouble.SIGNAL:
                cluster.stop_machine(address)
                self.draw_refusal(address)

    def draw_refusal(self, address: str) -> None:
        """Choose whether a machine without a member runs or is silent."""
        if self.rng.random() < 0.5:
            self.note("refuses connections", address)
            self.cluster.refusing.add(address)

    def end(self, kind: Trouble, address: str) -> None:
        """Let a machine work again."""
        cluster = self.cluster
        match kind:
            case Trouble.PAUSE:
                cluster.paused.discard(address)
            case Trouble.CUT:
                cluster.cuts = {
                    cut for cut in cluster.cuts if address not in cut
                }
            case Trouble.DISK:
                cluster.add_machine(address)
            case Trouble.RESTART | Trouble.SIGNAL:
                cluster.machines[address].is_leaving = False
                cluster.restart_machine(address)

    def overtax(self, kind: Trouble) -> Script:
        """Cut halves from each other, or restart all members."""
        cluster = self.cluster
        addresses = sorted(cluster.machines)
        self.taken |= set(addresses)
        cluster.is_overtaxed = True
        self.note(kind.value)
        if kind is Trouble.SPLIT:
            half = set(self.rng.sample(addresses, len(addresses) // 2))
            cluster.cut_machines(half, set(addresses) - half)
            yield self.rng.choice([1.0, 3.0, 6.0])
            cluster.cuts.clear()
        else:
            for address in addresses:
                cluster.stop_machine(address)
                cluster.refusing.add(address)
            yield self.rng.uniform(0.1, 1.0)
            for address in addresses:
                cluster.restart_machine(address)
        self.note("is over")
        for address in addresses:
            self.ledger.add(address, self.now)
        cluster.is_overtaxed = False
        self.lost_at = self.now
        self.taken -= set(addresses)

    def take_snapshots(self) -> Script:
        """Compact logs, so that new members need a snapshot."""
        ends_at = self.now + TROUBLE_UNTIL_S
        while self.now < ends_at:
            yield SNAPSHOT_INTERVAL_S
            for member in self.cluster.list_running():
                self.cluster.take_snapshot(member)


@dataclasses.dataclass(frozen=True)
class Violation:
    """A series that violated a guarantee."""

    seed: int
    reason: str
    events: list[str]


def play_seed(
    seed: int, size: int, rule_name: str, notice_s: float
) -> Violation | None:
    """Play the series of a seed; return its violation, if there is one."""
    rule = member_rules.make_rule(rule_name, size)
    series = Series(seed, size, rule, notice_s)
    try:
        series.run()
    except exceptions.InvariantError as error:
        return Violation(seed, str(error), series.events)
    return None


def play_seeds(
    seeds: collections.abc.Iterable[int],
    size: int,
    rule_name: str,
    notice_s: float,
    jobs: int,
) -> list[Violation]:
    """Play series in parallel and return the violations."""
    with concurrent.futures.ProcessPoolExecutor(jobs) as executor:
        futures = [
            executor.submit(play_seed, seed, size, rule_name, notice_s)
            for seed in seeds
        ]
        found = [future.result() for future in futures]
    return [violation for violation in found if violation is not None]


def main(
    seed: typing.Annotated[int, typer.Option(help="the first seed")] = 1,
    count: typing.Annotated[
        int, typer.Option(help="number of series", min=1)
    ] = 100,
    size: typing.Annotated[
        int, typer.Option(help="members of the group", min=3)
    ] = 3,
    rule: typing.Annotated[
        str, typer.Option(help=", ".join(member_rules.RULES))
    ] = "product",
    notice_s: typing.Annotated[
        float,
        typer.Option(
            help="least time between a removal without a signal and a loss "
            "that looks like a cut"
        ),
    ] = DEFAULT_NOTICE_S,
    jobs: typing.Annotated[
        int, typer.Option(help="series at a time", min=1)
    ] = 4,
    events: typing.Annotated[
        bool, typer.Option(help="print what happened in violated series")
    ] = False,
) -> None:
    """Play series of replacements; exit with 1 if a guarantee is violated."""
    violations = play_seeds(
        range(seed, seed + count), size, rule, notice_s, jobs
    )
    for violation in violations:
        print(f"VIOLATION seed {violation.seed}: {violation.reason}")
        for event in violation.events if events else ():
            print(f"    {event}")
    reasons = collections.Counter(
        violation.reason.split(" for ")[0].split(" [")[0]
        for violation in violations
    )
    print(
        json.dumps(
            {
                "rule": rule,
                "size": size,
                "notice_s": notice_s,
                "seeds": [seed, seed + count - 1],
                "violated": len(violations),
                "reasons": dict(reasons.most_common()),
            }
        )
    )
    raise typer.Exit(1 if violations else 0)


if __name__ == "__main__":
    typer.run(main)
