"""Checks of settings that come from flags and environment variables."""

import collections.abc
import pathlib

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.rpc import client

ENV_PREFIX = "HEMLOCKKEEL_"
MIN_SECRET_LENGTH = 8
MAX_PORT = 65_535


class Checker:
    """Collects every fault, so that all are told at once."""

    def __init__(self) -> None:
        self.errors: list[str] = []

    def check_required(self, value: str, flag: str, what: str) -> None:
        """Require a setting that has no default."""
        if value:
            return
        self.errors.append(f"{flag} is missing; set it to {what}")

    def check_secret(self, value: str, flag: str) -> None:
        """Require a secret of some length."""
        if len(value) >= MIN_SECRET_LENGTH:
            return
        self.errors.append(
            f"{flag} is {len(value)} characters long; use at least "
            f"{MIN_SECRET_LENGTH}, best from the environment variable "
            f"{get_variable_name(flag)}"
        )

    def check_addresses(
        self, values: collections.abc.Sequence[str], flag: str
    ) -> None:
        """Require addresses of the form host:port."""
        if not values:
            self.errors.append(f"{flag} is missing; set it to host:port,...")
        for value in values:
            try:
                client.parse_address(value)
            except exceptions.BadSettingError as fault:
                self.errors.append(f"{flag}: {fault}")

    def check_port(self, value: int, flag: str) -> None:
        """Require a port number; 0 lets the system choose."""
        if 0 <= value <= MAX_PORT:
            return
        self.errors.append(f"{flag} is {value}; use 0 to {MAX_PORT}")

    def check_positive(self, value: float, flag: str) -> None:
        """Require a number above zero."""
        if value > 0:
            return
        self.errors.append(f"{flag} is {value}; use a number above 0")

    def check_folder(self, value: pathlib.Path | None, flag: str) -> None:
        """Require a data folder."""
        if value is not None:
            return
        self.errors.append(
            f"{flag} is missing; set it to a folder on a disk that lasts"
        )

    def finish(self) -> None:
        """Tell every fault.

        :raises BadSettingError: when there are any.
        """
        if not self.errors:
            return
        lines = "\n".join(f"  - {fault}" for fault in self.errors)
        raise exceptions.BadSettingError(f"settings are invalid:\n{lines}")


def get_variable_name(flag: str) -> str:
    """Return the environment variable of a flag."""
    return ENV_PREFIX + flag.lstrip("-").replace("-", "_").upper()


def split_list(text: str) -> list[str]:
    """Split a comma-separated setting."""
    return [part.strip() for part in text.split(",") if part.strip()]
