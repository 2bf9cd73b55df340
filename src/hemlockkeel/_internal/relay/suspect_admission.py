"""Whether a request that may crash targets is sent on now.

Written for callers that repeat a fatal request at once and at several entries,
beside harmless requests that were in progress at the same crashes. The
functions have no side effects; times are loop times in seconds.
"""

import dataclasses

from hemlockkeel._internal.discovery import crash_ledger
from hemlockkeel._internal.relay import results

# A request that was lost this often within the time is held back: the news
# that its targets have returned may still be on its way.
MAX_RECENT_LOSSES = 3
LOSS_WINDOW_S = 3.0
# Bounds of the time from a crash until an entry sends a contested request
# again. Random, so that one entry is the first and the others learn the
# outcome.
TRIAL_DELAY_S = (0.5, 4.0)


@dataclasses.dataclass(frozen=True)
class Hold:
    """Why a request is not sent on."""

    cause: results.Cause
    reason: str
    # Time after which it may be sent, if known; otherwise 0. Seconds.
    wait_s: float = 0.0


# A shared trait that is blamed is tried again after this many times the delay
# of a contested one, and later after each trial that fails: the blame may be
# wrong, and then no other request would clear it.
RETRIAL_RATIO = 2.0
RETRIAL_GROWTH = 4.0
# Requests with several traits that may be to blame are tried this many times
# later than others, which clear a harmless trait if they complete.
AMBIGUOUS_RATIO = 2.0
MAX_RETRIAL_DELAY_S = 1800.0


QUARANTINED = Hold(
    results.Cause.QUARANTINED,
    "request is quarantined because it, or what it has in common with others,"
    " crashed targets",
)


@dataclasses.dataclass(frozen=True)
class SuspectState:
    """What an entry knows of requests with one trait."""

    suspicion: crash_ledger.Suspicion
    # Time of the last crash at which one was in progress.
    last_crash_at: float
    # How many are in progress through this entry.
    copies: int
    # Whether another contested request is in progress through this entry.
    other_contested: bool
    # Times of their latest lost responses at this entry, in order.
    losses: tuple[float, ...]


def get_retrial_delay_s(
    trial_delay_s: float, failed_trials: int, ambiguous: bool
) -> float:
    """Return the time from a crash until a blamed trait is tried, seconds.

    ``trial_delay_s`` is this entry's draw from `TRIAL_DELAY_S`;
    ``ambiguous`` tells whether the request may have several traits to blame.
    """
    delay_s = trial_delay_s * RETRIAL_RATIO
    delay_s *= RETRIAL_GROWTH ** min(10, failed_trials)
    if ambiguous:
        delay_s *= AMBIGUOUS_RATIO
    return min(MAX_RETRIAL_DELAY_S, delay_s)


def find_hold(
    state: SuspectState, trial_delay_s: float, now: float
) -> Hold | None:
    """Return why a request must not be sent on now; None if it may be.

    ``trial_delay_s`` is this entry's draw from `TRIAL_DELAY_S`.
    """
    if state.suspicion is crash_ledger.Suspicion.BLAMED:
        return QUARANTINED
    recent = [at for at in state.losses if at > now - LOSS_WINDOW_S]
    if len(recent) >= MAX_RECENT_LOSSES:
        return Hold(
            results.Cause.SUSPECTED,
            "several targets lost this request a moment ago",
            recent[-MAX_RECENT_LOSSES] + LOSS_WINDOW_S - now,
        )
    if state.suspicion is crash_ledger.Suspicion.NONE:
        return None
    if state.copies:
        return Hold(
            results.Cause.SUSPECTED,
            "a target crashed with this request, and a copy is in progress",
        )
    if state.suspicion is crash_ledger.Suspicion.SUSPECTED:
        return None
    if state.other_contested:
        return Hold(
            results.Cause.SUSPECTED,
            "another request that may have crashed targets is in progress",
        )
    wait_s = state.last_crash_at + trial_delay_s - now
    if wait_s > 0.0:
        return Hold(
            results.Cause.SUSPECTED,
            "targets crashed with this request or another one",
            wait_s,
        )
    return None
