"""Reads an agent's settings."""

import pathlib

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.orders import process as orders
from hemlockkeel.platform import settings_file


def read_agent(path: pathlib.Path) -> orders.AgentSettings:
    """Read the settings of an agent.

    :raises OSError: when the file cannot be read.
    :raises ValueError: when a setting is missing or invalid.
    """
    source = settings_file.SettingsFile(path)
    return orders.AgentSettings(
        source.get("nodeName"),
        source.get("ip"),
        source.get_link_port(settings_file.AGENT_PORT_OFFSET),
        source.get_control_addresses(),
        # Address of the target that runs on the same instance.
        source.get("app"),
        records.ServiceName(source.get("service")),
        source.get("zone"),
        # Whether targets refuse orders with an older fencing token.
        source.values.get("bounds.requireFence") == "true",
        source.get_limits(),
    )
