"""Control members that are replaced while others lose their disks.

Guards against a replacement during which one lost disk, which a deployment
may bear at any time, ends the majority for good.
"""

import itertools
import random
import unittest

from hemlockkeel._internal.consensus import quorums
from hemlockkeel._internal.coordinator import membership
from hemlockkeel_bench import replacement_series
from hemlockkeel_bench import replacement_simulation

NEW = "host-new:1"
CATCH_UP_S = 4.0
# From the loss of a disk to the start of its machine with an empty one.
BACK_S = 1.0
GRACE_S = 2.0
RECOVERY_S = 12.0


class Replacement:
    """One replacement of a machine, and disks that others lose.

    ``removed_at`` counts from the start of the successor; the removal is
    planned if it comes after ``CATCH_UP_S``. The disks are lost ``gap_s``
    after the removal, or once the successor has had its time.
    """

    def __init__(self, seed: int, size: int = 3) -> None:
        self.rng = random.Random(seed)
        self.cluster = replacement_simulation.ReplacementSimulation(
            size, self.rng
        )
        self.old = list(self.cluster.machines)
        self.cluster.play(3.0)

    def run_without_successor(self, gone_at: float, gap_s: float) -> None:
        """Let the successor go again, and then another one lose its disk."""
        self.cluster.add_machine(NEW)
        self.cluster.play(gone_at)
        self.cluster.remove_machine(NEW)
        self.cluster.play(gap_s)
        self.lose_disks(1)
        self.cluster.check_recovery()

    def choose_removed(self, leads: bool) -> str:
        """Return the machine that leads, or another of the old ones."""
        leader = self.cluster.get_leader_address()
        if leads:
            return leader
        return self.rng.choice([a for a in self.old if a != leader])

    def run(
        self,
        removed_at: float,
        leads: bool,
        stops: bool,
        gap_s: float,
        lost_count: int = 1,
    ) -> None:
        """Play the replacement and check that the cluster recovers."""
        cluster = self.cluster
        if removed_at < 0:
            removed = self.choose_removed(leads)
            cluster.remove_machine(removed)
            cluster.play(-removed_at)
        cluster.add_machine(NEW)
        if removed_at >= 0:
            cluster.play(removed_at)
            removed = self.choose_removed(leads)
            self.remove(removed, stops)
        cluster.play(max(gap_s, CATCH_UP_S - removed_at))
        self.lose_disks(lost_count)
        cluster.check_recovery()

    def remove(self, address: str, stops: bool) -> None:
        """Remove a machine, after a signal if it ``stops``."""
        if stops:
            self.cluster.machines[address].is_leaving = True
            self.cluster.play(GRACE_S * self.rng.random())
        self.cluster.remove_machine(address)

    def lose_disks(self, count: int) -> None:
        """Let machines lose their disks and start again."""
        lost = self.rng.sample(list(self.cluster.machines), count)
        for address in lost:
            self.cluster.lose_disk(address)
        self.cluster.play(BACK_S)
        for address in lost:
            self.cluster.add_machine(address)


class TestReplacement(unittest.TestCase):
    """The losses that a deployment allows, at moments of a replacement."""

    def check(self, size: int, lost_count: int, seeds: range) -> None:
        """Play all kinds of replacements."""
        for removed_at, leads, stops, gap_s, seed in itertools.product(
            (-3.0, 0.5, CATCH_UP_S, 9.0),
            (True, False),
            (True, False),
            (0.0, 0.1, 0.3, 1.0, 2.4, 3.2),
            seeds,
        ):
            with self.subTest(
                removed_at=removed_at,
                leads=leads,
                stops=stops,
                gap_s=gap_s,
                seed=seed,
            ):
                Replacement(seed, size).run(
                    removed_at, leads, stops, gap_s, lost_count
                )

    def test_lost_disk_of_one_of_three(self) -> None:
        """Two of four voters were left, and no majority."""
        self.check(3, 1, range(1))

    def test_successor_that_is_gone_again(self) -> None:
        """Whether it was a voter by then or not."""
        for gone_at, gap_s, seed in itertools.product(
            (0.1, 0.3, 0.6, 1.0, 9.0), (0.0, 0.3, 1.0, 2.4), range(3)
        ):
            with self.subTest(gone_at=gone_at, gap_s=gap_s, seed=seed):
                Replacement(seed).run_without_successor(gone_at, gap_s)

    def test_lost_disks_of_two_of_five(self) -> None:
        """Three of six voters were left."""
        self.check(5, 2, range(1))


class TestTwoReplacements(unittest.TestCase):
    """Members that are replaced after their successors have started."""

    def check(self, size: int, stops: bool) -> None:
        """Replace two members, then let as many as allowed lose disks."""
        cluster = replacement_simulation.ReplacementSimulation(
            size, random.Random(size)
        )
        old = list(cluster.machines)
        cluster.play(3.0)
        for number in range(2):
            cluster.add_machine(f"host-new-{number}:1")
            cluster.play(CATCH_UP_S)
        for address in old[:2]:
            cluster.machines[address].is_leaving = stops
            cluster.play(GRACE_S)
            cluster.remove_machine(address)
            cluster.play(RECOVERY_S)
        lost = list(cluster.machines)[: size // 2]
        for address in lost:
            cluster.lose_disk(address)
        cluster.play(BACK_S)
        for address in lost:
            cluster.add_machine(address)
        cluster.check_recovery()

    def test_replaced_members_do_not_stay_voters(self) -> None:
        """They stayed in an odd number, and lost disks ended the majority."""
        for size, stops in itertools.product((3, 5), (True, False)):
            with self.subTest(size=size, stops=stops):
                self.check(size, stops)


class TestNewMember(unittest.TestCase):
    """A new member whose first answers take a while."""

    def test_slow_first_answer_does_not_remove_it(self) -> None:
        """It was removed after 0.2 s, and added again and again."""
        cluster = replacement_simulation.ReplacementSimulation(
            3, random.Random(1)
        )
        cluster.play(3.0)
        cluster.add_machine(NEW)
        added = cluster.find_running(NEW).member_id
        leader = cluster.find_leader()
        assert leader is not None and leader.raft is not None
        while leader.raft.membership.get(added) is None:
            cluster.play(replacement_simulation.STEP_S)
        cluster.cut_machines({NEW}, set(cluster.machines))
        cluster.play(membership.UNRESPONSIVE_AFTER_S - 0.1)
        self.assertIsNotNone(leader.raft.membership.get(added))
        cluster.play(0.4)
        self.assertIsNone(leader.raft.membership.get(added))


class TestSilentMembers(unittest.TestCase):
    """Members that are lost soon after a replaced one, but for good."""

    # After a process ended, and after a machine fell silent: the time of an
    # election and of the former leader's answer, with two leader checks.
    ENDED_GAP_S = 1.0
    SILENT_GAP_S = 2.0

    def check(
        self, size: int, leads: bool, refuses: bool, kind: str, seed: int
    ) -> None:
        """Remove a replaced machine, then lose as many as may be at once."""
        replacement = Replacement(seed, size)
        cluster = replacement.cluster
        cluster.add_machine(NEW)
        cluster.play(2 * CATCH_UP_S)
        removed = replacement.choose_removed(leads)
        if refuses:
            cluster.refusing.add(removed)
        cluster.remove_machine(removed)
        cluster.play(self.ENDED_GAP_S if refuses else self.SILENT_GAP_S)
        lost = replacement.rng.sample(list(cluster.machines), size // 2)
        cluster.cut_machines(set(lost), set(cluster.machines))
        if kind == "pause":
            cluster.paused |= set(lost)
        if kind == "removal":
            for number, address in enumerate(lost):
                cluster.remove_machine(address)
                cluster.add_machine(f"host-more-{number}:1")
        before = len(cluster.acknowledged_values)
        cluster.play(RECOVERY_S)
        self.assertGreater(len(cluster.acknowledged_values), before)
        cluster.cuts.clear()
        cluster.paused.clear()
        cluster.check_recovery()

    def test_second_loss_that_looks_like_a_cut(self) -> None:
        """Two of four voters were left for good."""
        for size, leads, refuses, kind, seed in itertools.product(
            (3, 5),
            (True, False),
            (True, False),
            ("cut", "pause", "removal"),
            range(2),
        ):
            with self.subTest(
                size=size, leads=leads, refuses=refuses, kind=kind, seed=seed
            ):
                self.check(size, leads, refuses, kind, seed)


class TestSeries(unittest.TestCase):
    """Random series of replacements with other losses around them.

    Each combines what single cases leave out; `python -m
    hemlockkeel_bench.replacement_series` plays more of them.
    """

    NOTICE_S = TestSilentMembers.SILENT_GAP_S

    def check(self, size: int, seeds: range) -> None:
        """Play series and check all guarantees."""
        for seed in seeds:
            with self.subTest(size=size, seed=seed):
                replacement_series.Series(
                    seed, size, notice_s=self.NOTICE_S
                ).run()

    def test_three_members(self) -> None:
        self.check(3, range(60))

    def test_five_members(self) -> None:
        self.check(5, range(30))


class TestLossLedger(unittest.TestCase):
    """Machines that count as lost."""

    def test_removed_machine_counts_until_its_successor_caught_up(
        self,
    ) -> None:
        ledger = replacement_series.LossLedger(3, 4.0)
        for address in "abc":
            ledger.add(address, -4.0)
        self.assertEqual(ledger.count(0.0), 0)
        ledger.remove("a")
        self.assertEqual(ledger.count(0.0), 1)
        ledger.add("d", 1.0)
        self.assertEqual([ledger.count(t) for t in (1.0, 4.9, 5.0)], [1, 1, 0])
        # The other way round, only the new one counts.
        ledger.add("e", 6.0)
        ledger.leaving.add("b")
        self.assertEqual([ledger.count(t) for t in (6.0, 10.0)], [1, 0])
        ledger.remove("b")
        self.assertEqual(ledger.count(10.0), 0)
        ledger.away.add("c")
        self.assertEqual(ledger.list_sound(10.0), ["d", "e"])
        self.assertEqual(ledger.count(10.0), 1)


class TestQuorums(unittest.TestCase):
    """Quorums of the same voters, some of which lose their disks."""

    def list_minimal(self, quorum: quorums.Quorum) -> list[set[str]]:
        """Return the quorums without which no smaller set is one."""
        return [
            set(members)
            for size in range(1, len(quorum.voters) + 1)
            for members in itertools.combinations(sorted(quorum.voters), size)
            if quorum.is_met_by(set(members))
            and not any(
                quorum.is_met_by(set(members) - {one}) for one in members
            )
        ]

    def test_any_two_have_a_member_with_its_disk_in_common(self) -> None:
        """Else two leaders commit different entries."""
        for size in range(1, 8):
            voters = frozenset("abcdefg"[:size])
            for more in range((size - 1) // 2 + 1):
                for fewer in range(more + 1):
                    earlier = quorums.Quorum(
                        voters, frozenset("abcdefg"[:fewer])
                    )
                    later = quorums.Quorum(voters, frozenset("abcdefg"[:more]))
                    for one, other in itertools.product(
                        self.list_minimal(earlier), self.list_minimal(later)
                    ):
                        if one & later.lost and other & later.lost:
                            # No voter votes after it has lost its disk.
                            continue
                        self.assertTrue(one & other, (earlier, later))


class TestSafety(unittest.TestCase):
    """Random cuts, ends and lost disks around replacements."""

    RUNS = 16
    ROUNDS = 3

    def make_trouble(
        self, cluster: replacement_simulation.ReplacementSimulation
    ) -> None:
        """Cut links and end processes at random for a while."""
        rng = cluster.rng
        for _ in range(rng.randint(0, 4)):
            members = cluster.list_running()
            member = rng.choice(members).member_id
            match rng.choice(["cut", "isolate", "restart", "heal"]):
                case "cut":
                    half = rng.sample(members, len(members) // 2)
                    for one, other in itertools.product(half, members):
                        if other not in half:
                            cluster.partition_pair(
                                one.member_id, other.member_id
                            )
                case "isolate":
                    cluster.isolate(member)
                case "restart":
                    cluster.crash(cluster.members[member])
                    cluster.restart(cluster.members[member])
                case "heal":
                    cluster.heal()
            cluster.play(rng.choice([0.04, 0.2, 0.8, 3.0]))

    def run_round(
        self, cluster: replacement_simulation.ReplacementSimulation, new: str
    ) -> None:
        """Replace a machine; another one loses its disk at some moment."""
        rng = cluster.rng
        cluster.add_machine(new)
        cluster.play(rng.choice([0.5, CATCH_UP_S]))
        self.make_trouble(cluster)
        removed = rng.choice([a for a in cluster.machines if a != new])
        lost = rng.choice([a for a in cluster.machines if a != removed])
        removes = rng.random() < 0.5
        if removes:
            cluster.heal()
            cluster.play(CATCH_UP_S)
            cluster.remove_machine(removed)
            cluster.play(rng.choice([0.0, 0.2, 1.0]))
        cluster.lose_disk(lost)
        self.make_trouble(cluster)
        cluster.add_machine(lost)
        self.make_trouble(cluster)
        cluster.heal()
        cluster.play(RECOVERY_S)
        if not removes:
            cluster.remove_machine(removed)
        cluster.check_recovery()

    def test_removal_needs_a_quorum_of_the_voters_before_it(self) -> None:
        """Else the removed voter decides with another one beside it."""
        cluster = replacement_simulation.ReplacementSimulation(
            3, random.Random(1)
        )
        cluster.play(2.0)
        cluster.add_machine(NEW)
        cluster.play(CATCH_UP_S)
        leader = cluster.get_leader_address()
        lost, left = [a for a in cluster.machines if a not in (leader, NEW)]
        ids = {a: m.member_id for a, m in cluster.machines.items()}
        # The leader proposes to remove the new member, of which it has heard
        # nothing for long, and only one other voter gets that.
        cluster.isolate(ids[NEW])
        cluster.play(membership.UNRESPONSIVE_AFTER_S - 0.1)
        cluster.isolate(ids[left])
        cluster.play(1.0)
        raft = cluster.find_running(leader).raft
        assert raft is not None
        self.assertNotIn(ids[NEW], raft.membership.voters)
        # The rest of the voters before it get together, and a disk is lost.
        cluster.heal()
        cluster.isolate(ids[leader])
        cluster.lose_disk(lost)
        cluster.play(BACK_S)
        cluster.add_machine(lost)
        cluster.play(5.0)
        cluster.heal()
        cluster.check_recovery()

    def test_nothing_acknowledged_is_lost(self) -> None:
        """Half of the voters must not decide beside a majority."""
        for seed in range(self.RUNS):
            rng = random.Random(seed)
            cluster = replacement_simulation.ReplacementSimulation(3, rng)
            cluster.play(2.0)
            for number in range(self.ROUNDS):
                with self.subTest(seed=seed, round=number):
                    self.run_round(cluster, f"host-{number + 10}:1")


if __name__ == "__main__":
    unittest.main()
