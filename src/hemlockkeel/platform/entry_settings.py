"""Reads an entry's settings."""

import pathlib

from hemlockkeel._internal.relay import process as relay
from hemlockkeel._internal.routes import budget
from hemlockkeel.platform import settings_file

DEFAULT_REVOKE_MS = 5000.0


def read_entry(path: pathlib.Path) -> relay.EntrySettings:
    """Read the settings of an entry.

    :raises OSError: when the file cannot be read.
    :raises ValueError: when a setting is missing or invalid.
    """
    source = settings_file.SettingsFile(path)
    revoke_ms = source.get_number("bounds.revokeMs", DEFAULT_REVOKE_MS)
    if revoke_ms <= 0:
        raise ValueError("bounds.revokeMs must be greater than 0")
    return relay.EntrySettings(
        source.get("nodeName"),
        source.get("zone"),
        source.get("ip"),
        source.get_port("listen.front"),
        source.get_port("listen.ready"),
        source.get_control_addresses(),
        source.get_link_port(settings_file.AGENT_PORT_OFFSET),
        source.get_number("heartbeatMs") / settings_file.MS_PER_S,
        source.get_number("bounds.graceS"),
        budget.RetryBudgetLimits(
            source.get_number("bounds.retryBudgetRatio"),
            source.get_number("bounds.budgetWindowS"),
            source.get_number("bounds.retryBudgetSlack"),
        ),
        source.get_bool("bounds.strictRevoke", False),
        revoke_ms / settings_file.MS_PER_S,
        source.get_limits(),
        source.get_quota_tolerance(),
    )
