"""Validation of settings from flags and environment variables."""

import collections.abc
import pathlib

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.rpc import client

ENV_PREFIX = "HEMLOCKKEEL_"
MIN_SECRET_LENGTH = 8
MAX_PORT = 65_535


class Checker:
    """Collects the errors of all settings, to report them together."""

    def __init__(self) -> None:
        self.errors: list[str] = []

    def check_required(self, value: str, flag: str, expected: str) -> None:
        """Check that a setting without a default is given."""
        if value:
            return
        self.errors.append(f"{flag} is missing; set it to {expected}")

    def check_secret(self, value: str, flag: str) -> None:
        """Check that a secret has the minimum length."""
        if len(value) >= MIN_SECRET_LENGTH:
            return
        self.errors.append(
            f"{flag} is {len(value)} characters long; use at least "
            f"{MIN_SECRET_LENGTH}, preferably in the environment variable "
            f"{get_variable_name(flag)}"
        )

    def check_addresses(
        self, values: collections.abc.Sequence[str], flag: str
    ) -> None:
        """Check that there is an address and that each is ``host:port``."""
        if not values:
            self.errors.append(f"{flag} is missing; set it to host:port,...")
        for value in values:
            try:
                client.parse_address(value)
            except exceptions.BadSettingError as error:
                self.errors.append(f"{flag}: {error}")

    def check_port(self, value: int, flag: str) -> None:
        """Check a port number; 0 lets the operating system choose one."""
        if 0 <= value <= MAX_PORT:
            return
        self.errors.append(f"{flag} is {value}; use 0 to {MAX_PORT}")

    def check_positive(self, value: float, flag: str) -> None:
        """Check that a number is greater than 0."""
        if value > 0:
            return
        self.errors.append(f"{flag} is {value}; use a number above 0")

    def check_folder(self, value: pathlib.Path | None, flag: str) -> None:
        """Check that a data folder is given."""
        if value is not None:
            return
        self.errors.append(
            f"{flag} is missing; set it to a folder on persistent storage"
        )

    def finish(self) -> None:
        """Report the collected errors.

        :raises BadSettingError: when there are any, naming all.
        """
        if not self.errors:
            return
        lines = "\n".join(f"  - {error}" for error in self.errors)
        raise exceptions.BadSettingError(f"settings are invalid:\n{lines}")


def get_variable_name(flag: str) -> str:
    """Return the name of the environment variable for a flag."""
    return ENV_PREFIX + flag.lstrip("-").replace("-", "_").upper()


def split_list(text: str) -> list[str]:
    """Split a comma-separated list; empty items are left out."""
    return [part.strip() for part in text.split(",") if part.strip()]
