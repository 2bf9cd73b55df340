"""Translates the platform's settings file."""

import pathlib

from hemlockkeel._internal.consensus import core
from hemlockkeel._internal.coordinator import settings as coordinator
from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.orders import process as orders
from hemlockkeel._internal.relay import process as relay
from hemlockkeel._internal.routes import budget

MS_PER_S = 1000.0
# Ports for links, from the first that the platform leaves to the project.
CONTROL_PORT_OFFSET = 0
AGENT_PORT_OFFSET = 1
# Heartbeats among control members, and the bounds of their election
# time-outs, seconds: a lost leader is replaced well within the bound on
# acknowledgements, and links of a few milliseconds stay far below.
RAFT_HEARTBEAT_INTERVAL_S = 0.08
ELECTION_TIMEOUT_RANGE_S = (0.4, 0.8)


class SettingsFile:
    """Lines of the form ``a.b=value``; unknown ones are left alone."""

    def __init__(self, path: pathlib.Path) -> None:
        self.values: dict[str, str] = {}
        for line in path.read_text().splitlines():
            key, found, value = line.partition("=")
            if found:
                self.values[key.strip()] = value.strip()

    def get(self, name: str) -> str:
        """Return a value.

        :raises ValueError: when there is none.
        """
        if not self.values.get(name):
            raise ValueError(f"the settings file has no {name}")
        return self.values[name]

    def get_number(self, name: str) -> float:
        """Return a number."""
        return float(self.get(name))

    def get_port(self, name: str) -> int:
        """Return the port of an address."""
        return int(self.get(name).rpartition(":")[2])

    def get_link_port(self, offset: int) -> int:
        """Return a port for links between processes."""
        first = self.get("portRange").partition(",")[0]
        return int(first) + offset

    def get_control_links(self) -> frozenset[str]:
        """Return where control members take links.

        The file lists where they take calls; the link port is the same on
        every machine.
        """
        port = self.get_link_port(CONTROL_PORT_OFFSET)
        seeds = self.get("seedNodes").split(",")
        return frozenset(
            f"{seed.rpartition(':')[0]}:{port}" for seed in seeds if seed
        )


def read_entry(path: pathlib.Path) -> relay.EntrySettings:
    """Return an entry's settings."""
    node = SettingsFile(path)
    return relay.EntrySettings(
        node.get("nodeName"),
        node.get("zone"),
        node.get("ip"),
        node.get_port("listen.front"),
        node.get_port("listen.ready"),
        node.get_control_links(),
        node.get_link_port(AGENT_PORT_OFFSET),
        node.get_number("heartbeatMs") / MS_PER_S,
        node.get_number("bounds.graceS"),
        budget.RetryBudgetLimits(
            node.get_number("bounds.retryBudgetRatio"),
            node.get_number("bounds.budgetWindowS"),
            node.get_number("bounds.retryBudgetSlack"),
        ),
    )


def read_control(path: pathlib.Path) -> coordinator.ControlSettings:
    """Return a control member's settings."""
    node = SettingsFile(path)
    return coordinator.ControlSettings(
        node.get("nodeName"),
        node.get("zone"),
        node.get("ip"),
        node.get_port("listen.control"),
        node.get_link_port(CONTROL_PORT_OFFSET),
        pathlib.Path(node.get("dataDir")),
        node.get_control_links(),
        # True only at the first start of the whole system.
        node.get("bootstrap") == "true",
        core.Timing(RAFT_HEARTBEAT_INTERVAL_S, *ELECTION_TIMEOUT_RANGE_S),
    )


def read_agent(path: pathlib.Path) -> orders.AgentSettings:
    """Return an agent's settings."""
    node = SettingsFile(path)
    return orders.AgentSettings(
        node.get("nodeName"),
        node.get("ip"),
        node.get_link_port(AGENT_PORT_OFFSET),
        node.get_control_links(),
        # The replica that runs on the same machine.
        node.get("app"),
        records.ServiceName(node.get("service")),
        node.get("zone"),
        # Replicas refuse an older fence themselves where this is true.
        node.values.get("bounds.requireFence") == "true",
    )
