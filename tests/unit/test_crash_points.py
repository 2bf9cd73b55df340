"""Losses of power at each step of a member's work on its disk."""

import collections.abc
import dataclasses
import unittest

from hemlockkeel._internal.consensus import core
from hemlockkeel._internal.consensus import log as log_module
from hemlockkeel._internal.consensus import messages
from hemlockkeel._internal.consensus import storage
from tests.lib import crashing_disk

Summary = tuple[int, str, int, tuple[tuple[int, int], ...]]


def make_entry(index: int, term: int) -> messages.Entry:
    """Return an entry."""
    data = bytes([index, term]) * 20
    return messages.Entry(index, term, messages.EntryKind.COMMAND, data)


def summarize(
    hard_state: messages.HardState, log: log_module.Log, snapshot_index: int
) -> Summary:
    """Return what must last, after the snapshot."""
    entries = tuple(
        (entry.index, entry.term)
        for entry in log.entries
        if entry.index > snapshot_index
    )
    return hard_state.term, hard_state.voted_for, snapshot_index, entries


def summarize_saved(saved: core.PersistentState) -> Summary:
    """Return what was recovered."""
    index = saved.snapshot[0].index if saved.snapshot else 0
    return summarize(saved.hard_state, saved.log, index)


@dataclasses.dataclass
class Promise:
    """What the last call that returned made durable, and what the next does.

    A loss of power during a call leaves the state before or after it.
    """

    before: Summary | None = None
    during: Summary | None = None
    member_id: str = ""


class Work:
    """What a member does: entries, votes, a new tail, a snapshot."""

    def __init__(self, disk: crashing_disk.CrashingDisk) -> None:
        self.disk = disk
        self.promise = Promise()

    def run(self) -> None:
        """Do it all, unless power is lost."""
        stored = storage.Storage(self.disk)
        self.promise.member_id = stored.load_identity(
            storage.Identity("member")
        ).member_id
        saved = stored.load()
        log, vote = saved.log, saved.hard_state
        index = 0
        self.promise.before = summarize(vote, log, index)
        steps: list[tuple[messages.HardState | None, list[messages.Entry]]] = [
            (messages.HardState(1, "a"), [make_entry(1, 1)]),
            (None, [make_entry(2, 1), make_entry(3, 1)]),
            (messages.HardState(2, "b"), []),
            (messages.HardState(3, "c"), [make_entry(2, 3)]),
        ]
        for hard_state, entries in steps:
            vote = hard_state or vote
            for entry in entries:
                if entry.index <= log.last_index:
                    log.truncate(entry.index)
                log.append(entry)
            with_step = summarize(vote, log, index)
            self.keep(with_step, stored.append, hard_state, entries)
        index = 1
        meta = messages.SnapshotMeta(1, 1, messages.Membership([]))
        log.compact(1)
        self.keep(
            summarize(vote, log, index),
            stored.save_snapshot,
            meta,
            b"state" * 9,
            vote,
            log,
        )
        log.append(make_entry(3, 3))
        self.keep(
            summarize(vote, log, index),
            stored.append,
            None,
            [make_entry(3, 3)],
        )

    def keep(
        self,
        after: Summary,
        call: collections.abc.Callable[..., None],
        *args: object,
    ) -> None:
        """Make a call that leads to a state."""
        self.promise.during = after
        call(*args)
        self.promise.before, self.promise.during = after, None


def count_steps() -> int:
    """Return how many steps all the work takes."""
    disk = crashing_disk.CrashingDisk()
    Work(disk).run()
    return disk.steps


class TestCrashPoints(unittest.TestCase):
    """Every step, and everything that may be left after it."""

    def crash(self, step: int) -> tuple[crashing_disk.CrashingDisk, Promise]:
        """Work until a step."""
        disk = crashing_disk.CrashingDisk()
        disk.fails_at = step
        work = Work(disk)
        try:
            work.run()
        except crashing_disk.PowerLostError:
            pass
        return disk, work.promise

    def recover(
        self, state: crashing_disk.State
    ) -> tuple[crashing_disk.CrashingDisk, str, Summary]:
        """Start on what is left."""
        disk = crashing_disk.CrashingDisk(state)
        stored = storage.Storage(disk)
        identity = stored.load_identity(storage.Identity("other"))
        return disk, identity.member_id, summarize_saved(stored.load())

    def check(self, promise: Promise, member_id: str, found: Summary) -> None:
        """Nothing that was promised is gone, and nothing is made up."""
        if promise.member_id:
            self.assertEqual(member_id, promise.member_id)
        if promise.before is not None:
            self.assertIn(found, (promise.before, promise.during))

    def test_power_is_lost(self) -> None:
        tried = 0
        for step in range(count_steps() + 1):
            disk, promise = self.crash(step)
            for state in disk.state.list_after_power_loss():
                with self.subTest(step=step):
                    _, member_id, found = self.recover(state)
                    self.check(promise, member_id, found)
                tried += 1
        self.assertGreater(tried, 100)

    def test_process_is_killed_and_then_power_is_lost(self) -> None:
        """What a restarted process tells others must last already."""
        for step in range(count_steps() + 1):
            disk, promise = self.crash(step)
            restarted, member_id, found = self.recover(disk.state)
            with self.subTest(step=step):
                self.check(promise, member_id, found)
            for state in restarted.state.list_after_power_loss():
                with self.subTest(step=step):
                    _, again_id, again = self.recover(state)
                    self.assertEqual((again_id, again), (member_id, found))

    def test_power_is_lost_while_recovering(self) -> None:
        for step in range(count_steps() + 1):
            disk, promise = self.crash(step)
            for state in disk.state.list_after_power_loss():
                whole = self.recover(state)[0].steps
                for second in range(whole):
                    crashed = crashing_disk.CrashingDisk(state)
                    crashed.fails_at = second
                    with self.assertRaises(crashing_disk.PowerLostError):
                        stored = storage.Storage(crashed)
                        stored.load_identity(storage.Identity("other"))
                        stored.load()
                    for left in crashed.state.list_after_power_loss():
                        with self.subTest(step=step, second=second):
                            _, member_id, found = self.recover(left)
                            self.check(promise, member_id, found)
