"""Calls of operators and targets, as the product understands them."""

import abc
import dataclasses

from hemlockkeel._internal.discovery import records


@dataclasses.dataclass(frozen=True)
class PutConfiguration:
    """Put a configuration in force."""

    version: int
    body: bytes


@dataclasses.dataclass(frozen=True)
class ReadConfiguration:
    """Return the newest configuration."""


@dataclasses.dataclass(frozen=True)
class NameVersion:
    """Name the newest version of an adapter."""

    model: str
    adapter: str
    version: int


@dataclasses.dataclass(frozen=True)
class Announce:
    """A target's heartbeat."""

    record: records.TargetRecord


@dataclasses.dataclass(frozen=True)
class Withdraw:
    """A target says that it ends."""

    instance_id: records.InstanceId


Call = PutConfiguration | ReadConfiguration | NameVersion | Announce | Withdraw


class BadCallError(Exception):
    """A call that is invalid."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class ApiCodec(abc.ABC):
    """Reads a deployment's form of the calls."""

    @abc.abstractmethod
    def decode(self, method: str, path: str, body: bytes) -> Call:
        """Return a checked call.

        :raises BadCallError: when it is invalid or unknown.
        """
