"""Links to every target that an entry may use."""

import threading

from hemlockkeel._internal.entry import links
from hemlockkeel._internal.follower import follower
from hemlockkeel._internal.models import members
from hemlockkeel._internal.policy import routing
from hemlockkeel._internal.rpc import client
from hemlockkeel._internal.rpc.gen.hk import Agent
from hemlockkeel._internal.utils import metrics

RECONCILE_S = 0.1


class Fleet:
    """Keeps one link a registered target of this site."""

    def __init__(
        self,
        follow: follower.Follower,
        secret: str,
        counters: metrics.Metrics,
    ) -> None:
        self.follow = follow
        self.secret = secret
        self.counters = counters
        self.lock = threading.Lock()
        self.links: dict[str, links.AgentLink] = {}
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name="fleet", daemon=True
        )

    def start(self) -> None:
        """Start following the members."""
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
        """Reconcile links with members until stopped."""
        while not self.stopping.wait(RECONCILE_S):
            self.reconcile()

    def reconcile(self) -> None:
        """Open links to new targets and close those of removed ones."""
        catalog = self.follow.catalog
        with catalog.lock:
            wanted = {
                member.description.target.target_id: member
                for member in catalog.members.values()
                if member.description.target is not None
            }
        with self.lock:
            gone = [
                link
                for target_id, link in self.links.items()
                if target_id not in wanted
                or wanted[target_id].description.address
                != link.member.description.address
            ]
            for link in gone:
                target = link.member.description.target
                assert target is not None
                del self.links[target.target_id]
            for target_id, member in wanted.items():
                self.keep(target_id, member)
        for link in gone:
            link.stop()

    def keep(self, target_id: str, member: members.Member) -> None:
        """Open a link or update its member; the lock is held."""
        link = self.links.get(target_id)
        if link is not None:
            link.member = member
            return
        rpc = client.RpcClient(
            Agent.Client,
            member.description.address,
            self.secret,
            self.follow.description.member_id,
        )
        link = links.AgentLink(
            member,
            rpc,
            self.follow.description.member_id,
            lambda: self.follow.incarnation,
            self.counters,
        )
        self.links[target_id] = link
        link.start()

    def get_link(self, target_id: str) -> links.AgentLink | None:
        """Return the link to a target."""
        with self.lock:
            return self.links.get(target_id)

    def count_holders(self, name: str) -> int:
        """Return how many targets hold an adapter."""
        with self.lock:
            return sum(
                1 for link in self.links.values() if name in link.adapter_set
            )

    def find_views(
        self, service: str, base_model: str, excluded: frozenset[str]
    ) -> list[routing.TargetView]:
        """Return what is known of the targets that may get new work."""
        with self.lock:
            candidates = list(self.links.items())
        views = []
        for target_id, link in candidates:
            if target_id in excluded or not is_usable(
                link, service, base_model
            ):
                continue
            views.append(make_view(target_id, link))
        return views


def is_usable(link: links.AgentLink, service: str, base_model: str) -> bool:
    """Tell whether a target may get new work."""
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
    """Return what is known of one target."""
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
