"""Reads the platform's settings file."""

import pathlib

from hemlockkeel._internal.consensus import core
from hemlockkeel._internal.coordinator import settings as coordinator
from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.orders import process as orders
from hemlockkeel._internal.relay import process as relay
from hemlockkeel._internal.routes import budget

MS_PER_S = 1000.0
# Ports for links, as offsets from the first port of portRange.
CONTROL_PORT_OFFSET = 0
AGENT_PORT_OFFSET = 1
# Raft timing of the control members, seconds. A lost leader is replaced well
# within the limit for acknowledging a change, and the timeouts are far above
# the few milliseconds of latency between data centres.
RAFT_HEARTBEAT_INTERVAL_S = 0.08
ELECTION_TIMEOUT_RANGE_S = (0.4, 0.8)


class SettingsFile:
    """Settings file of lines ``name=value``; other lines are ignored."""

    def __init__(self, path: pathlib.Path) -> None:
        self.values: dict[str, str] = {}
        for line in path.read_text().splitlines():
            key, separator, value = line.partition("=")
            if separator:
                self.values[key.strip()] = value.strip()

    def get(self, name: str) -> str:
        """Return the value of a setting.

        :raises ValueError: when it is missing or empty.
        """
        if not self.values.get(name):
            raise ValueError(f"the settings file has no {name}")
        return self.values[name]

    def get_number(self, name: str) -> float:
        """Return the value of a setting as a number.

        :raises ValueError: when it is missing or not a number.
        """
        return float(self.get(name))

    def get_port(self, name: str) -> int:
        """Return the port in a setting of the form host:port.

        :raises ValueError: when the setting is missing or has no port.
        """
        return int(self.get(name).rpartition(":")[2])

    def get_link_port(self, offset: int) -> int:
        """Return the port for links at an offset from portRange's first."""
        first = self.get("portRange").partition(",")[0]
        return int(first) + offset

    def get_control_addresses(self) -> frozenset[str]:
        """Return the addresses at which control members accept links.

        The file lists their addresses for HTTP calls; the port for links is
        the same on every instance.
        """
        port = self.get_link_port(CONTROL_PORT_OFFSET)
        seeds = self.get("seedNodes").split(",")
        return frozenset(
            f"{seed.rpartition(':')[0]}:{port}" for seed in seeds if seed
        )


def read_entry(path: pathlib.Path) -> relay.EntrySettings:
    """Read the settings of an entry.

    :raises OSError: when the file cannot be read.
    :raises ValueError: when a setting is missing or invalid.
    """
    source = SettingsFile(path)
    return relay.EntrySettings(
        source.get("nodeName"),
        source.get("zone"),
        source.get("ip"),
        source.get_port("listen.front"),
        source.get_port("listen.ready"),
        source.get_control_addresses(),
        source.get_link_port(AGENT_PORT_OFFSET),
        source.get_number("heartbeatMs") / MS_PER_S,
        source.get_number("bounds.graceS"),
        budget.RetryBudgetLimits(
            source.get_number("bounds.retryBudgetRatio"),
            source.get_number("bounds.budgetWindowS"),
            source.get_number("bounds.retryBudgetSlack"),
        ),
    )


def read_control(path: pathlib.Path) -> coordinator.ControlSettings:
    """Read the settings of a control member.

    :raises OSError: when the file cannot be read.
    :raises ValueError: when a setting is missing or invalid.
    """
    source = SettingsFile(path)
    return coordinator.ControlSettings(
        source.get("nodeName"),
        source.get("zone"),
        source.get("ip"),
        source.get_port("listen.control"),
        source.get_link_port(CONTROL_PORT_OFFSET),
        pathlib.Path(source.get("dataDir")),
        source.get_control_addresses(),
        # True only for the first start of a new cluster.
        source.get("bootstrap") == "true",
        core.Timing(RAFT_HEARTBEAT_INTERVAL_S, *ELECTION_TIMEOUT_RANGE_S),
    )


def read_agent(path: pathlib.Path) -> orders.AgentSettings:
    """Read the settings of an agent.

    :raises OSError: when the file cannot be read.
    :raises ValueError: when a setting is missing or invalid.
    """
    source = SettingsFile(path)
    return orders.AgentSettings(
        source.get("nodeName"),
        source.get("ip"),
        source.get_link_port(AGENT_PORT_OFFSET),
        source.get_control_addresses(),
        # Address of the target that runs on the same instance.
        source.get("app"),
        records.ServiceName(source.get("service")),
        source.get("zone"),
        # Whether targets refuse orders with an older fencing token.
        source.values.get("bounds.requireFence") == "true",
    )
