"""Which adapter load may use the weight store next.

The weight store serves one load at a time at full speed, so loads run one
after the other a site. Wants of all agents are ordered by waiting work per
second of load, with a bound on age so that none starves. Time is passed in.
"""

import abc
import dataclasses

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.models import adapters

# A want that its agent no longer repeats has nobody waiting for it.
REQUEST_LIFETIME_S = 1.0
PERMIT_LIFETIME_S = 5.0
MAX_REQUEST_AGE_S = 4.0
# Grants are spaced by the time of one load at full speed. A second permit
# lets the next load begin while the end of the last one is being reported.
MAX_CONCURRENT_PERMITS = 2


@dataclasses.dataclass(frozen=True)
class LoadRequest:
    """An agent's wish to load an adapter."""

    agent: str
    ref: adapters.AdapterRef
    weight: float
    requested_at: float
    preload: bool = False


@dataclasses.dataclass(frozen=True)
class Permit:
    """Leave to load one adapter, until a time."""

    agent: str
    ref: adapters.AdapterRef
    expires_at: float


class LoadSelectionPolicy(abc.ABC):
    """Chooses the next want."""

    @abc.abstractmethod
    def choose(self, wants: list[LoadRequest], now: float) -> LoadRequest:
        """Return the want to serve; ``wants`` is not empty."""


class FirstComeFirstServed(LoadSelectionPolicy):
    """Serves wants in the order of their arrival."""

    def choose(self, wants: list[LoadRequest], now: float) -> LoadRequest:
        return min(wants, key=lambda want: (want.requested_at, str(want.ref)))


class HeaviestFirst(LoadSelectionPolicy):
    """Serves the largest waiting work; wants over the age bound first."""

    def choose(self, wants: list[LoadRequest], now: float) -> LoadRequest:
        aged = [
            want
            for want in wants
            if now - want.requested_at > MAX_REQUEST_AGE_S
        ]
        if aged:
            return min(
                aged, key=lambda want: (want.requested_at, str(want.ref))
            )
        return max(
            wants,
            key=lambda want: (want.weight, -want.requested_at, str(want.ref)),
        )


class LoadPermitQueue:
    """Wants and permits of one site."""

    def __init__(
        self,
        policy: LoadSelectionPolicy,
        loads_per_second: float,
        max_permits: int = MAX_CONCURRENT_PERMITS,
        preload_share: float = 0.5,
        quiet_until: float = 0.0,
    ) -> None:
        self.policy = policy
        self.interval_s = 1.0 / loads_per_second
        self.max_permits = max_permits
        self.preload_share = preload_share
        # A new leader does not know the permits of its predecessor.
        self.quiet_until = quiet_until
        self.requests: dict[tuple[str, adapters.AdapterRef], LoadRequest] = {}
        self.refreshed_at: dict[str, float] = {}
        self.permits: dict[tuple[str, adapters.AdapterRef], Permit] = {}
        self.next_grant_at = 0.0
        self.next_preload_at = 0.0

    def update(self, agent: str, wants: list[LoadRequest], now: float) -> None:
        """Replace an agent's wants, keeping the age of repeated ones."""
        old = {
            key: want for key, want in self.requests.items() if key[0] == agent
        }
        for key in old:
            del self.requests[key]
        for want in wants:
            key = (agent, want.ref)
            if key in self.permits:
                continue
            known = old.get(key)
            since = (
                known.requested_at if known is not None else want.requested_at
            )
            self.requests[key] = dataclasses.replace(want, requested_at=since)
        self.refreshed_at[agent] = now

    def end_permit(self, agent: str, ref: adapters.AdapterRef) -> None:
        """End a permit; the next load may start."""
        self.permits.pop((agent, ref), None)

    def release_unused(
        self, agent: str, ref: adapters.AdapterRef, now: float
    ) -> None:
        """End a permit that did not use the weight store."""
        if self.permits.pop((agent, ref), None) is not None:
            self.next_grant_at = min(self.next_grant_at, now)

    def restore_permits(
        self, agent: str, refs: list[adapters.AdapterRef], now: float
    ) -> None:
        """Count loads that an agent has under way from an older leader."""
        for ref in refs:
            key = (agent, ref)
            if key not in self.permits:
                until = now + PERMIT_LIFETIME_S
                self.permits[key] = Permit(agent, ref, until)

    def expire(self, now: float) -> None:
        """Drop permits past their time and wants nobody repeats."""
        self.permits = {
            key: permit
            for key, permit in self.permits.items()
            if permit.expires_at > now
        }
        limit = now - REQUEST_LIFETIME_S
        self.requests = {
            key: want
            for key, want in self.requests.items()
            if self.refreshed_at.get(key[0], 0.0) >= limit
        }

    def grant(self, now: float) -> list[Permit]:
        """Return the permits that can be given now."""
        self.expire(now)
        granted: list[Permit] = []
        if now < self.quiet_until:
            return granted
        while len(self.permits) < self.max_permits:
            want = self.choose(now)
            if want is None:
                return granted
            granted.append(self.issue(want, now))
        return granted

    def choose(self, now: float) -> LoadRequest | None:
        """Return the want to serve next; None when it must wait."""
        if now < self.next_grant_at or not self.requests:
            return None
        demands = [want for want in self.requests.values() if not want.preload]
        if demands:
            return self.policy.choose(demands, now)
        if now < self.next_preload_at:
            return None
        return self.policy.choose(list(self.requests.values()), now)

    def issue(self, want: LoadRequest, now: float) -> Permit:
        """Turn a want into a permit."""
        key = (want.agent, want.ref)
        del self.requests[key]
        permit = Permit(want.agent, want.ref, now + PERMIT_LIFETIME_S)
        self.permits[key] = permit
        self.next_grant_at = now + self.interval_s
        if want.preload:
            pause_s = self.interval_s / self.preload_share
            self.next_preload_at = now + pause_s
        exceptions.require(
            len(self.permits) <= self.max_permits, "too many load permits"
        )
        return permit

    def get_wait(self, now: float) -> float:
        """Return the seconds after which a grant may become possible."""
        until = max(self.next_grant_at, self.quiet_until)
        return max(0.0, until - now)
