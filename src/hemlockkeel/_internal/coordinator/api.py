"""HTTP calls of operators and targets, independent of their encoding."""

import abc
import dataclasses
import http

import msgspec

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.routes import organisations


@dataclasses.dataclass(frozen=True)
class PutConfiguration:
    """Put a configuration in force.

    ``body`` is the configuration as the operator sent it.
    """

    version: int
    body: bytes


@dataclasses.dataclass(frozen=True)
class ReadConfiguration:
    """Return the newest committed configuration."""


@dataclasses.dataclass(frozen=True)
class NameVersion:
    """Set the newest version of an adapter."""

    model: str
    adapter: str
    version: int


@dataclasses.dataclass(frozen=True)
class Announce:
    """Announce a target; targets send this periodically as a heartbeat."""

    record: records.TargetRecord


@dataclasses.dataclass(frozen=True)
class Withdraw:
    """Report that a target has stopped."""

    instance_id: records.InstanceId


Call = PutConfiguration | ReadConfiguration | NameVersion | Announce | Withdraw


class BadCallError(Exception):
    """A call is invalid; ``status`` is the HTTP status of the response."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class ApiCodec(abc.ABC):
    """Decodes the calls from the HTTP requests of a platform."""

    @abc.abstractmethod
    def decode(self, method: str, path: str, body: bytes) -> Call:
        """Return the validated call in an HTTP request.

        :raises BadCallError: when the call is unknown or invalid.
        """

    @abc.abstractmethod
    def decode_quotas(
        self, body: bytes
    ) -> dict[organisations.OrganisationName, organisations.Quota]:
        """Return the quotas of organisations in a configuration.

        :raises BadDeclarationError: when the configuration is invalid.
        """


def check_encodable(call: Call) -> None:
    """Check that what a call carries can be stored and sent on.

    :raises BadCallError: when a field cannot be encoded.
    """
    try:
        msgspec.msgpack.encode(call)
    except (ValueError, OverflowError, TypeError) as error:
        raise BadCallError(
            http.HTTPStatus.BAD_REQUEST,
            f"a field cannot be encoded: {str(error)!a}",
        ) from error
