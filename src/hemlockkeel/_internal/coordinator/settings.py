"""Settings of a control member and of the initial cluster."""

import dataclasses
import pathlib

from hemlockkeel._internal.consensus import core
from hemlockkeel._internal.consensus import messages
from hemlockkeel._internal.consensus import node
from hemlockkeel._internal.coordinator import membership
from hemlockkeel._internal.policy import credit
from hemlockkeel._internal.utils import process_budget

# A group that declares fewer is kept as if it bore one, so that its members
# can be restarted in turn.
MIN_TOLERATED_LOSSES = 1


@dataclasses.dataclass(frozen=True)
class ControlSettings:
    """Settings of a control member."""

    name: str
    data_centre: str
    host: str
    # HTTP port for the calls of operators and targets.
    api_port: int
    # Port for links from other processes; the same on every member.
    link_port: int
    data_dir: pathlib.Path
    # Link addresses of control members to connect to at the start.
    seeds: frozenset[str]
    # Whether the seeds form a new cluster on blank disks.
    bootstrap: bool
    timing: core.Timing
    limits: process_budget.ProcessLimits = dataclasses.field(
        default_factory=process_budget.ProcessLimits
    )
    quota_tolerance: credit.Tolerance = credit.NO_TOLERANCE
    # Control members that the deployment bears to lose at once.
    tolerated_losses: int = MIN_TOLERATED_LOSSES

    @property
    def link_address(self) -> str:
        """Return the address at which other processes connect."""
        return f"{self.host}:{self.link_port}"

    @property
    def vote_policy(self) -> membership.VotePolicy:
        """Return which members may vote.

        A majority is left of them after the declared losses. A voter may be
        silent for as long as a leader, without which another one is elected.
        """
        losses = max(self.tolerated_losses, MIN_TOLERATED_LOSSES)
        return membership.VotePolicy(
            2 * losses + 1, self.timing.election_min_s
        )


def make_initial_cluster(
    settings: ControlSettings,
) -> node.InitialCluster | None:
    """Return the cluster that the seeds form at the first start.

    None if this member is not one of the seeds or joins a cluster that exists
    already.
    """
    if not settings.bootstrap or settings.link_address not in settings.seeds:
        return None
    seeds = sorted(settings.seeds)
    return node.InitialCluster(
        "control-" + settings.link_address,
        "cluster-" + ",".join(seeds),
        tuple(messages.Peer("control-" + seed, seed) for seed in seeds),
    )
