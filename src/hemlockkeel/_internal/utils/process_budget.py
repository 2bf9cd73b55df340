"""Budget of a process for what its clients make it hold.

All listeners of a process share one budget of memory. A holder is a
connection, or another part of the process that buffers what clients send or
receive. When the memory is exhausted, the largest and slowest requests that
are still incomplete are shed first; a request that runs is never cut.
"""

import abc
import collections
import collections.abc
import ctypes
import dataclasses
import enum
import math
import time

MIB = 1024 * 1024
# Memory of the process's own state: interpreter, modules, tables, logs. An
# entry without load takes 30 MiB.
MIN_STATE_BYTES = 40 * MIB
STATE_SHARE = 0.4
# Short-lived copies, and what arrives before a shed request has gone.
TRANSIENT_BYTES = 16 * MIB
# Less would not leave room for one request of the largest usual size, whose
# body is held twice while it is sent.
MIN_BUDGET_BYTES = 12 * MIB
# Budget where the settings name no memory.
DEFAULT_BUDGET_BYTES = 1024 * MIB
# Task, parser and transport of a connection. Measured 13 KiB.
CONNECTION_BYTES = 16 * 1024
# Holders and requests of at most this size are served last of all.
SMALL_BYTES = 64 * 1024
# Part of the budget that only small requests may use.
SMALL_SHARE = 1 / 8
# Age from which an incomplete request is shed for a new one, and time
# without progress from which a response is no longer kept for its reader.
SLOW_AFTER_S = 1.0
# Added to the age of a request, so that of several that have just begun the
# largest is shed.
MIN_AGE_S = 0.1
# Shares of the descriptors that accepted connections may take; the rest is
# for connections to targets, links and files.
CALLER_SHARE = 0.5
API_SHARE = 0.25
LINK_SHARE = 0.6
# Connections to each of the readiness and metrics addresses.
CHECK_CONNECTIONS = 16
# Options of mallopt(3).
M_MMAP_THRESHOLD = -3
# Below what is read at once, so that reads do not fragment the heap either.
MMAP_THRESHOLD_BYTES = 32 * 1024


@dataclasses.dataclass(frozen=True)
class ProcessLimits:
    """Memory and descriptors of a process; None where not limited."""

    memory_bytes: int | None = None
    max_fds: int | None = None

    @property
    def budget_bytes(self) -> int:
        """Return the memory for what clients make the process hold."""
        if self.memory_bytes is None:
            return DEFAULT_BUDGET_BYTES
        state = max(MIN_STATE_BYTES, int(STATE_SHARE * self.memory_bytes))
        return max(
            MIN_BUDGET_BYTES, self.memory_bytes - state - TRANSIENT_BYTES
        )

    def get_connections(self, share: float) -> float:
        """Return how many connections a share of the descriptors allows."""
        if self.max_fds is None:
            return math.inf
        return max(1, int(self.max_fds * share))

    @property
    def check_connections(self) -> float:
        """Return the connections for readiness checks or for metrics."""
        return math.inf if self.max_fds is None else CHECK_CONNECTIONS


class Activity(enum.Enum):
    """What the owner of a holder is doing."""

    # No request; a response may not have been sent completely.
    WAITING = "waiting"
    # Part of a request has arrived.
    RECEIVING = "receiving"
    # A complete request is handled, or may run at a target.
    RUNNING = "running"
    # A link of another process of the product is idle.
    LINKED = "linked"


# Activities in which what is not read may be dropped.
UNREAD_ACTIVITIES = frozenset({Activity.WAITING, Activity.LINKED})


class Owner(abc.ABC):
    """What holds memory for a client."""

    @abc.abstractmethod
    def shed(self) -> None:
        """Free at once what is held, and reject the request or close."""

    def get_unsent_bytes(self) -> int:
        """Return what waits to be sent to the client."""
        return 0

    def has_unread_bytes(self) -> bool:
        """Return whether something has arrived that was not looked at."""
        return False


class Holder:
    """Memory that one owner holds."""

    def __init__(self, owner: Owner, now: float) -> None:
        self.owner = owner
        self.held_bytes = 0
        self.activity = Activity.WAITING
        # Since when the activity lasts.
        self.since = now
        self.unsent_bytes = 0
        # When the unsent bytes were last seen to change.
        self.sent_at = now
        self.is_shed = False

    def get_score(self, now: float) -> float:
        """Return how large and slow an incomplete request is."""
        return self.held_bytes * (now - self.since + MIN_AGE_S)

    def is_slow(self, now: float) -> bool:
        """Return whether the activity has lasted for a while."""
        return now - self.since >= SLOW_AFTER_S


class ProcessBudget:
    """Accounts for the memory of all holders of a process."""

    def __init__(
        self,
        limits: ProcessLimits,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.limits = limits
        self.clock = clock
        self.limit_bytes = limits.budget_bytes
        self.used_bytes = 0
        self.peak_bytes = 0
        self.holders: set[Holder] = set()
        # How often the budget was applied, by what was done.
        self.counts: collections.Counter[str] = collections.Counter()

    def add(self, owner: Owner) -> Holder:
        """Return a new holder, which counts until it is removed."""
        holder = Holder(owner, self.clock())
        self.holders.add(holder)
        return holder

    def remove(self, holder: Holder) -> None:
        """Stop to count a holder."""
        self.holders.discard(holder)
        self.used_bytes -= holder.held_bytes
        holder.held_bytes = 0

    def set_activity(self, holder: Holder, activity: Activity) -> None:
        """Record what the owner does from now on."""
        holder.activity = activity
        holder.since = self.clock()

    def resize(self, holder: Holder, count: int) -> bool:
        """Set what a holder holds, and shed others if that is too much.

        Returns whether all fits. The holder itself may be shed.
        """
        if holder not in self.holders:
            return True
        self.used_bytes += count - holder.held_bytes
        holder.held_bytes = count
        while self.used_bytes > self.limit_bytes:
            if not self.shed_one(0.0):
                return False
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)
        return True

    def try_resize(self, holder: Holder, count: int) -> bool:
        """Set what a holder holds, unless there is no room for it."""
        added = count - holder.held_bytes
        while self.used_bytes + added > self.limit_bytes:
            if not self.shed_one(0.0, holder):
                self.counts["refused"] += 1
                return False
        return self.resize(holder, count)

    def make_room(self, count: int) -> bool:
        """Return whether a request of a size may be received now.

        Slower requests that are incomplete are shed for it.
        """
        limit = float(self.limit_bytes)
        if count > SMALL_BYTES:
            limit *= 1 - SMALL_SHARE
        while self.used_bytes + count > limit:
            if not self.shed_one(SLOW_AFTER_S):
                self.counts["refused"] += 1
                return False
        return True

    def shed_one(self, min_age_s: float, kept: Holder | None = None) -> bool:
        """Shed the largest and slowest holder; return whether there is one.

        Large incomplete requests go first, then responses that are not read,
        then small requests that remain incomplete.
        """
        now = self.clock()
        incomplete = [
            holder
            for holder in self.holders
            if holder.activity is Activity.RECEIVING
            and not holder.is_shed
            and holder is not kept
            and now - holder.since >= min_age_s
        ]
        chosen = max(
            (each for each in incomplete if each.held_bytes > SMALL_BYTES),
            key=lambda each: each.get_score(now),
            default=None,
        )
        chosen = chosen or self.find_unread(now)
        if chosen is None:
            chosen = max(
                (each for each in incomplete if each.is_slow(now)),
                key=lambda each: each.get_score(now),
                default=None,
            )
        if chosen is None:
            return False
        self.shed(chosen)
        return True

    def find_unread(self, now: float) -> Holder | None:
        """Return the largest complete response that is not being read."""
        unread = []
        for holder in self.holders:
            if holder.activity not in UNREAD_ACTIVITIES or holder.is_shed:
                continue
            unsent = holder.owner.get_unsent_bytes()
            if unsent != holder.unsent_bytes:
                holder.unsent_bytes = unsent
                holder.sent_at = now
            elif unsent and now - holder.sent_at >= SLOW_AFTER_S:
                unread.append(holder)
        return max(unread, key=lambda each: each.unsent_bytes, default=None)

    def shed(self, holder: Holder) -> None:
        """Let an owner free what it holds."""
        holder.is_shed = True
        self.counts[f"shed_{holder.activity.value}"] += 1
        self.used_bytes -= holder.held_bytes
        holder.held_bytes = 0
        holder.owner.shed()


class ConnectionLimit:
    """Accepted connections of one listener."""

    def __init__(self, budget: ProcessBudget, limit: float) -> None:
        self.budget = budget
        self.limit = limit
        self.holders: set[Holder] = set()
        # Accepted connections that are not holders yet.
        self.pending = 0

    def is_full(self) -> bool:
        """Return whether another connection needs room to be made."""
        return len(self.holders) + self.pending >= self.limit

    def remove(self, holder: Holder) -> None:
        """Stop to count a connection that is closed, and its memory."""
        self.holders.discard(holder)
        self.budget.remove(holder)

    def make_room(self) -> bool:
        """Close the connection that has waited longest, if one waits.

        Otherwise the slowest incomplete request is shed. Its rejection takes
        a while, so that it makes room for a later connection only. Returns
        whether another connection may be accepted now.
        """
        if not self.is_full():
            return True
        longest = self.find_oldest(Activity.WAITING, 0.0)
        if longest is not None:
            self.budget.counts["connection_closed"] += 1
            longest.is_shed = True
            longest.owner.shed()
            return True
        self.budget.counts["connection_refused"] += 1
        slowest = self.find_oldest(Activity.RECEIVING, SLOW_AFTER_S)
        if slowest is not None:
            self.budget.shed(slowest)
        return False

    def find_oldest(
        self, activity: Activity, min_age_s: float
    ) -> Holder | None:
        """Return the holder that has been in an activity for longest.

        Those with data that waits to be sent or handled are left out.
        """
        begun_before = self.budget.clock() - min_age_s
        return min(
            (
                holder
                for holder in self.holders
                if holder.activity is activity
                and not holder.is_shed
                and holder.since <= begun_before
                and not holder.owner.get_unsent_bytes()
                and not holder.owner.has_unread_bytes()
            ),
            key=lambda each: each.since,
            default=None,
        )


def return_freed_memory() -> None:
    """Let the allocator return each large block once it is freed.

    By default glibc raises the size from which blocks are mapped separately
    to that of the largest one freed, and bodies then fragment the heap.
    """
    libc = ctypes.CDLL(None)
    if hasattr(libc, "mallopt"):
        libc.mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
