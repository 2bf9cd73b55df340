"""Reads a control member's settings."""

import pathlib

from hemlockkeel._internal.consensus import core
from hemlockkeel._internal.coordinator import settings as coordinator
from hemlockkeel.platform import settings_file

# Raft timing of the control members, seconds. A lost leader is replaced well
# within the limit for acknowledging a change, and the timeouts are far above
# the few milliseconds of latency between data centres.
RAFT_HEARTBEAT_INTERVAL_S = 0.08
ELECTION_TIMEOUT_RANGE_S = (0.4, 0.8)


def read_control(path: pathlib.Path) -> coordinator.ControlSettings:
    """Read the settings of a control member.

    :raises OSError: when the file cannot be read.
    :raises ValueError: when a setting is missing or invalid.
    """
    source = settings_file.SettingsFile(path)
    return coordinator.ControlSettings(
        source.get("nodeName"),
        source.get("zone"),
        source.get("ip"),
        source.get_port("listen.control"),
        source.get_link_port(settings_file.CONTROL_PORT_OFFSET),
        pathlib.Path(source.get("dataDir")),
        source.get_control_addresses(),
        # True only for the first start of a new cluster.
        source.get("bootstrap") == "true",
        core.Timing(RAFT_HEARTBEAT_INTERVAL_S, *ELECTION_TIMEOUT_RANGE_S),
        source.get_limits(),
        source.get_quota_tolerance(),
        source.get_count("faultTolerance.machines"),
    )
