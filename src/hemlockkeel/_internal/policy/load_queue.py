"""Grants permits to load adapters from the weight store of a site.

The weight store serves only one load at full speed, so the loads of a site
run one after another. Requests of all agents are ordered by the weight of
the work that waits for each load, and requests over an age limit go first so
that none starves. All methods take the current time in seconds.
"""

import abc
import dataclasses

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.models import adapters

# Agents repeat a request while work waits for the load; one that has not
# been repeated for this long is dropped.
REQUEST_LIFETIME_S = 1.0
PERMIT_LIFETIME_S = 5.0
# Requests older than this are served before heavier ones.
MAX_REQUEST_AGE_S = 4.0
# Grants are spaced by the duration of one load at full speed. A second
# permit lets the next load start while the agent reports the end of the
# previous one.
MAX_CONCURRENT_PERMITS = 2


@dataclasses.dataclass(frozen=True)
class LoadRequest:
    """An agent's request to load an adapter."""

    agent: str
    ref: adapters.AdapterRef
    # Sum of the weights of the work that waits for the load.
    weight: float
    requested_at: float
    # Whether no work waits for the adapter yet.
    preload: bool = False


@dataclasses.dataclass(frozen=True)
class Permit:
    """Permission to load one adapter until it expires."""

    agent: str
    ref: adapters.AdapterRef
    expires_at: float


class LoadSelectionPolicy(abc.ABC):
    """Chooses the load request that is granted next."""

    @abc.abstractmethod
    def choose(self, requests: list[LoadRequest], now: float) -> LoadRequest:
        """Return the request to grant; ``requests`` must not be empty."""


class FirstComeFirstServed(LoadSelectionPolicy):
    """Grants requests in the order of their arrival."""

    def choose(self, requests: list[LoadRequest], now: float) -> LoadRequest:
        return min(
            requests,
            key=lambda request: (request.requested_at, str(request.ref)),
        )


class HeaviestFirst(LoadSelectionPolicy):
    """Grants the heaviest request, but those over the age limit first."""

    def choose(self, requests: list[LoadRequest], now: float) -> LoadRequest:
        overdue = [
            request
            for request in requests
            if now - request.requested_at > MAX_REQUEST_AGE_S
        ]
        if overdue:
            return min(
                overdue,
                key=lambda request: (request.requested_at, str(request.ref)),
            )
        return max(
            requests,
            key=lambda request: (
                request.weight,
                -request.requested_at,
                str(request.ref),
            ),
        )


class LoadPermitQueue:
    """Load requests and permits of one site."""

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
        # No grants before this time: a new leader does not know the permits
        # that its predecessor granted.
        self.quiet_until = quiet_until
        self.requests: dict[tuple[str, adapters.AdapterRef], LoadRequest] = {}
        # When each agent last sent its requests.
        self.refreshed_at: dict[str, float] = {}
        self.permits: dict[tuple[str, adapters.AdapterRef], Permit] = {}
        self.next_grant_at = 0.0
        self.next_preload_at = 0.0

    def update(
        self, agent: str, requests: list[LoadRequest], now: float
    ) -> None:
        """Replace an agent's requests; repeated ones keep their age."""
        previous = {
            key: request
            for key, request in self.requests.items()
            if key[0] == agent
        }
        for key in previous:
            del self.requests[key]
        for request in requests:
            key = (agent, request.ref)
            if key in self.permits:
                continue
            known = previous.get(key)
            since = (
                known.requested_at
                if known is not None
                else request.requested_at
            )
            self.requests[key] = dataclasses.replace(
                request, requested_at=since
            )
        self.refreshed_at[agent] = now

    def end_permit(self, agent: str, ref: adapters.AdapterRef) -> None:
        """End a permit whose load has finished."""
        self.permits.pop((agent, ref), None)

    def release_unused(
        self, agent: str, ref: adapters.AdapterRef, now: float
    ) -> None:
        """End a permit that was not used, so that the next is due at once."""
        if self.permits.pop((agent, ref), None) is not None:
            self.next_grant_at = min(self.next_grant_at, now)

    def restore_permits(
        self, agent: str, refs: list[adapters.AdapterRef], now: float
    ) -> None:
        """Create permits for loads that an earlier leader granted."""
        for ref in refs:
            key = (agent, ref)
            if key not in self.permits:
                until = now + PERMIT_LIFETIME_S
                self.permits[key] = Permit(agent, ref, until)

    def expire(self, now: float) -> None:
        """Drop expired permits and requests that are no longer repeated."""
        self.permits = {
            key: permit
            for key, permit in self.permits.items()
            if permit.expires_at > now
        }
        limit = now - REQUEST_LIFETIME_S
        self.requests = {
            key: request
            for key, request in self.requests.items()
            if self.refreshed_at.get(key[0], 0.0) >= limit
        }

    def grant(self, now: float) -> list[Permit]:
        """Grant and return all permits that are due."""
        self.expire(now)
        granted: list[Permit] = []
        if now < self.quiet_until:
            return granted
        while len(self.permits) < self.max_permits:
            request = self.choose(now)
            if request is None:
                return granted
            granted.append(self.issue(request, now))
        return granted

    def choose(self, now: float) -> LoadRequest | None:
        """Return the request to grant next; None when none is due.

        Preloads are granted only when no other request waits, and only at a
        share of the rate.
        """
        if now < self.next_grant_at or not self.requests:
            return None
        demanded = [
            request
            for request in self.requests.values()
            if not request.preload
        ]
        if demanded:
            return self.policy.choose(demanded, now)
        if now < self.next_preload_at:
            return None
        return self.policy.choose(list(self.requests.values()), now)

    def issue(self, request: LoadRequest, now: float) -> Permit:
        """Replace a request by a permit."""
        key = (request.agent, request.ref)
        del self.requests[key]
        permit = Permit(request.agent, request.ref, now + PERMIT_LIFETIME_S)
        self.permits[key] = permit
        self.next_grant_at = now + self.interval_s
        if request.preload:
            pause_s = self.interval_s / self.preload_share
            self.next_preload_at = now + pause_s
        exceptions.require(
            len(self.permits) <= self.max_permits, "too many load permits"
        )
        return permit

    def get_wait(self, now: float) -> float:
        """Return the seconds until the next grant can be due."""
        until = max(self.next_grant_at, self.quiet_until)
        return max(0.0, until - now)
