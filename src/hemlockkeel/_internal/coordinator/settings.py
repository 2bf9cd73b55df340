"""Settings of a control member, and the cluster that founders form."""

import dataclasses
import pathlib

from hemlockkeel._internal.consensus import core
from hemlockkeel._internal.consensus import messages
from hemlockkeel._internal.consensus import node


@dataclasses.dataclass(frozen=True)
class ControlSettings:
    """Settings of a control member."""

    name: str
    data_centre: str
    host: str
    # Port of operators' and targets' calls.
    api_port: int
    # Port of links; the same at every member.
    link_port: int
    data_dir: pathlib.Path
    # Addresses of control members for links.
    seeds: frozenset[str]
    bootstrap: bool
    timing: core.Timing

    @property
    def link_address(self) -> str:
        """Return where other processes dial this member."""
        return f"{self.host}:{self.link_port}"


def make_initial_cluster(
    settings: ControlSettings,
) -> node.InitialCluster | None:
    """Return the cluster that the seeds found; None for a later member."""
    if not settings.bootstrap or settings.link_address not in settings.seeds:
        return None
    seeds = sorted(settings.seeds)
    return node.InitialCluster(
        "control-" + settings.link_address,
        "cluster-" + ",".join(seeds),
        tuple(messages.Peer("control-" + seed, seed) for seed in seeds),
    )
