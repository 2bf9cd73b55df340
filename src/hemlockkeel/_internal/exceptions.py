"""Exceptions raised inside hemlockkeel."""


class HemlockkeelError(Exception):
    """Base class; the message says what to do next."""


class BadSettingError(HemlockkeelError):
    """One or more settings are invalid."""


class BadDeclarationError(HemlockkeelError):
    """A declaration file is invalid."""


class InvariantError(HemlockkeelError):
    """An internal invariant does not hold."""


class StorageError(HemlockkeelError):
    """The data folder cannot be read or written."""


class UnreachableError(HemlockkeelError):
    """No connection could be made, so nothing was sent."""


class InterruptedCallError(HemlockkeelError):
    """A call was sent but no answer came back."""


class ControlUnavailableError(HemlockkeelError):
    """No control leader answered in time."""


class EngineOrderError(HemlockkeelError):
    """An engine refused an order."""


class OperatorApiError(HemlockkeelError):
    """The control role refused an operator's call."""

    def __init__(self, message: str, status: int, code: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code


def require(condition: bool, message: str, *details: object) -> None:
    """Raise an `InvariantError` unless the condition holds."""
    if condition:
        return
    raise InvariantError(message % details if details else message)
