"""Links to all targets that an entry may send requests to."""

import threading

from hemlockkeel._internal.entry import links
from hemlockkeel._internal.follower import follower
from hemlockkeel._internal.models import members
from hemlockkeel._internal.policy import placement
from hemlockkeel._internal.policy import routing
from hemlockkeel._internal.rpc import client
from hemlockkeel._internal.rpc.gen.hk import Agent
from hemlockkeel._internal.utils import metrics
from hemlockkeel._internal.utils import supervision

RECONCILE_INTERVAL_S = 0.1


class TargetLinks:
    """Maintains one link per registered target of this site."""

    def __init__(
        self,
        follower: follower.Follower,
        secret: str,
        counters: metrics.Metrics,
    ) -> None:
        self.follower = follower
        self.secret = secret
        self.counters = counters
        self.lock = threading.Lock()
        self.members_epoch = -1
        self.links: dict[str, links.AgentLink] = {}
        self.placement = placement.Placement()
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=supervision.keep_thread_running,
            args=(self.run, self.stopping),
            name="fleet",
            daemon=True,
        )

    def start(self) -> None:
        """Start reconciling the links with the registered targets."""
        self.thread.start()

    def stop(self) -> None:
        """Stop all links."""
        self.stopping.set()
        if self.thread.is_alive():
            self.thread.join(2.0)
        with self.lock:
            stopped, self.links = list(self.links.values()), {}
        for link in stopped:
            link.stop()

    def run(self) -> None:
        """Reconcile periodically until stopped."""
        while not self.stopping.wait(RECONCILE_INTERVAL_S):
            self.reconcile()

    def reconcile(self) -> None:
        """Open links to new targets and stop those to removed ones.

        A target whose address changed gets a new link.
        """
        catalog = self.follower.catalog
        with catalog.lock:
            self.members_epoch = catalog.members_epoch
            wanted = {
                member.description.target.target_id: member
                for member in catalog.members.values()
                if member.description.target is not None
            }
        with self.lock:
            removed = [
                link
                for target_id, link in self.links.items()
                if target_id not in wanted
                or wanted[target_id].description.address
                != link.member.description.address
            ]
            for link in removed:
                target = link.member.description.target
                assert target is not None
                del self.links[target.target_id]
            for target_id, member in wanted.items():
                self.ensure_link(target_id, member)
            self.placement.set_targets(group_by_service(wanted))
        for link in removed:
            link.stop()

    def ensure_link(self, target_id: str, member: members.Member) -> None:
        """Open a link to a target, or update the description of its member.

        The caller holds the lock.
        """
        link = self.links.get(target_id)
        if link is not None:
            link.member = member
            return
        rpc = client.RpcClient(
            Agent.Client,
            member.description.address,
            self.secret,
            self.follower.description.member_id,
        )
        link = links.AgentLink(
            member,
            rpc,
            self.follower.description.member_id,
            lambda: self.follower.incarnation,
            lambda names: self.update_adapters(target_id, names),
            self.counters,
        )
        self.links[target_id] = link
        link.start()

    def get_link(self, target_id: str) -> links.AgentLink | None:
        """Return the link to a target; None when it is not registered."""
        with self.lock:
            return self.links.get(target_id)

    def count_holders(self, name: str) -> int:
        """Return how many targets have an adapter loaded or loading."""
        with self.lock:
            return len(self.placement.adapter_index.get(name))

    def update_adapters(self, target_id: str, names: frozenset[str]) -> None:
        """Store which adapters a target has loaded or is loading."""
        with self.lock:
            if target_id in self.links:
                self.placement.adapter_index.update(target_id, names)

    def find_version(self, engine_version: str) -> list[str]:
        """Return the ids of the engines of a software version."""
        return [
            target_id
            for target_id, link in self.links.items()
            if link.engine_version == engine_version
        ]

    def has_version(self, engine_version: str) -> bool:
        """Return whether an engine has a software version, usable or not."""
        with self.lock:
            return bool(self.find_version(engine_version))

    def list_candidates(
        self,
        service: str,
        base_model: str,
        routing_key: str,
        excluded: frozenset[str],
        engine_version: str | None = None,
    ) -> list[routing.TargetView]:
        """Return the candidate targets that the router compares.

        ``routing_key`` is the adapter that a request needs, or the digest of
        its prompt prefix when it needs none. An ``engine_version`` leaves out
        the engines of other software versions.
        """
        if self.members_epoch != self.follower.catalog.members_epoch:
            # The entry confirms a configuration version when it receives it,
            # before the periodic reconciliation. A drain in that version must
            # take effect at once, as control then reports it as in force.
            self.reconcile()
        with self.lock:
            # Few engines may have the version, so that all are compared.
            found = (
                self.placement.find_candidates(service, routing_key)
                if engine_version is None
                else self.find_version(engine_version)
            )
            candidates = [
                (target_id, self.links[target_id])
                for target_id in found
                if target_id not in excluded and target_id in self.links
            ]
        return [
            make_view(target_id, link)
            for target_id, link in candidates
            if is_usable(link, service, base_model)
        ]


def group_by_service(
    wanted: dict[str, members.Member],
) -> dict[str, list[str]]:
    """Return the target ids of each service."""
    grouped: dict[str, list[str]] = {}
    for target_id, member in sorted(wanted.items()):
        assert member.description.target is not None
        service = member.description.target.service
        grouped.setdefault(service, []).append(target_id)
    return grouped


def is_usable(link: links.AgentLink, service: str, base_model: str) -> bool:
    """Return whether a target accepts new requests for a service and model."""
    member = link.member
    target = member.description.target
    if target is None or target.service != service:
        return False
    if base_model and target.base_model != base_model:
        return False
    if member.drained or member.state is not members.MemberState.ACTIVE:
        return False
    return link.reachable and link.load is not None and link.load.accepting


def make_view(target_id: str, link: links.AgentLink) -> routing.TargetView:
    """Return the state of one target, as the router needs it."""
    with link.lock:
        load = link.load
        assert load is not None
        return routing.TargetView(
            target_id=target_id,
            data_centre=link.member.description.data_centre,
            running=load.running,
            queued_by_rank=tuple(load.queued_by_rank),
            batch_slots=load.batch_slots,
            unreported=link.unreported,
            adapters=link.adapter_set,
            loading=link.loading_set,
            free_slots=load.free_slots,
            eviction_value=load.eviction_value,
            prefixes=link.prefix_set,
        )
