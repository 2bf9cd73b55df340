"""The platform's settings file.

Each role's settings are read by a module of its own, so that a process loads
only what its role needs.
"""

import math
import pathlib
import re

from hemlockkeel._internal.policy import credit
from hemlockkeel._internal.utils import process_budget

MS_PER_S = 1000.0
# Instances are measured in MiB.
BYTES_PER_MB = 1024 * 1024
# Ports for links, as offsets from the first port of portRange.
CONTROL_PORT_OFFSET = 0
AGENT_PORT_OFFSET = 1
PORT = re.compile(r"\d{1,5}", re.ASCII)
MAX_PORT = 65535
BOOLEANS = {"true": True, "false": False}


class SettingsFile:
    """Settings file of lines ``name=value``; other lines are ignored."""

    def __init__(self, path: pathlib.Path) -> None:
        self.values: dict[str, str] = {}
        for line in path.read_text(encoding="utf-8").splitlines():
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

    def get_bool(self, name: str, default: bool) -> bool:
        """Return a setting that is true or false, or its default if absent.

        :raises ValueError: when it has another value.
        """
        value = self.values.get(name) or str(default)
        if value.lower() not in BOOLEANS:
            raise ValueError(f"{name} must be true or false")
        return BOOLEANS[value.lower()]

    def get_number(self, name: str, default: float | None = None) -> float:
        """Return the value of a setting as a number.

        :raises ValueError: when it is missing without a default, or not a
            finite number of at least 0.
        """
        if default is not None and not self.values.get(name):
            return default
        value = float(self.get(name))
        if not 0 <= value < math.inf:
            raise ValueError(f"{name} must be a finite number of at least 0")
        return value

    def get_count(self, name: str) -> int:
        """Return an optional setting as a whole number; 0 if it is absent.

        :raises ValueError: when it is not a whole number of at least 0.
        """
        value = self.get_number(name, 0.0)
        if not value.is_integer():
            raise ValueError(f"{name} must be a whole number")
        return int(value)

    def get_limits(self) -> process_budget.ProcessLimits:
        """Return the memory and descriptors of the process, if limited.

        :raises ValueError: when a limit is not a number above 0.
        """
        memory_mb = self.get_limit("limits.memoryMb")
        max_fds = self.get_limit("limits.maxFds")
        return process_budget.ProcessLimits(
            None if memory_mb is None else int(memory_mb * BYTES_PER_MB),
            None if max_fds is None else int(max_fds),
        )

    def get_quota_tolerance(self) -> credit.Tolerance:
        """Return what a window may hold beyond a quota; nothing if not set.

        :raises ValueError: when a setting is not a finite number.
        """
        names = ("quotaWindowS", "quotaOverage", "quotaSlack")
        if not all(self.values.get(f"bounds.{name}") for name in names):
            return credit.NO_TOLERANCE
        return credit.Tolerance(
            *(self.get_number(f"bounds.{name}") for name in names)
        )

    def get_limit(self, name: str) -> float | None:
        """Return the value of an optional limit.

        :raises ValueError: when it is not a finite number of at least 1.
        """
        if not self.values.get(name):
            return None
        value = self.get_number(name)
        if value < 1:
            raise ValueError(f"{name} must be at least 1")
        return value

    def get_port(self, name: str) -> int:
        """Return the port in a setting of the form host:port.

        :raises ValueError: when the setting is missing or has no port.
        """
        return read_port(name, self.get(name).rpartition(":")[2])

    def get_link_port(self, offset: int) -> int:
        """Return the port for links at an offset from portRange's first."""
        first = self.get("portRange").partition(",")[0]
        return read_port("portRange", first) + offset

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


def read_port(name: str, text: str) -> int:
    """Return a port in a setting.

    :raises ValueError: when it is no port.
    """
    if not PORT.fullmatch(text) or int(text) > MAX_PORT:
        raise ValueError(f"{name} has no port from 0 to {MAX_PORT}")
    return int(text)
