"""Exceptions of hemlockkeel."""


class HemlockkeelError(Exception):
    """Base class; the message is shown to operators and tells what to do."""


class BadSettingError(HemlockkeelError):
    """One or more settings are invalid."""


class BadDeclarationError(HemlockkeelError):
    """A declaration file or a configuration is invalid."""


class InvariantError(HemlockkeelError):
    """An internal invariant is violated, which is a bug."""


class StorageError(HemlockkeelError):
    """The data folder cannot be read or written."""


class DiskFullError(StorageError):
    """There is no space left on the disk of the data folder."""


class UnreachableError(HemlockkeelError):
    """The other process could not be reached.

    Raised by `RpcClient`, it means that the call was not sent.
    """


class InterruptedCallError(HemlockkeelError):
    """A call may have been sent, but no reply was received."""


class ControlUnavailableError(HemlockkeelError):
    """No control leader replied in time."""


class EngineOrderError(HemlockkeelError):
    """An engine refused an order or another request."""


class OperatorApiError(HemlockkeelError):
    """A control member refused an operator's request."""

    def __init__(self, message: str, status: int, code: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code


def require(condition: bool, message: str, *details: object) -> None:
    """Raise an `InvariantError` unless the condition holds."""
    if condition:
        return
    raise InvariantError(message % details if details else message)
