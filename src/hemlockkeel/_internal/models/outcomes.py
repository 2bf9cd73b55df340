"""Refusals of requests, and whether a refused request may have run."""

import dataclasses
import enum


class Verdict(enum.IntEnum):
    """Whether a request has run; the values are those of the thrift enum.

    A request that may have run must not be retried unless it is idempotent.
    """

    NOT_RUN = 0
    MAY_HAVE_RUN = 1
    RAN = 2

    @property
    def label(self) -> str:
        """Return the name used in responses to callers."""
        return self.name.lower()


class RefusalCode(enum.Enum):
    """Reason for a refusal, with its code in responses and HTTP status."""

    BAD_REQUEST = ("bad_request", 400)
    NOT_FOUND = ("not_found", 404)
    UNKNOWN_MODEL = ("unknown_model", 404)
    UNKNOWN_SERVICE = ("unknown_service", 404)
    METHOD = ("method_not_allowed", 405)
    # The idempotency key was used with another request.
    KEY_CONFLICT = ("key_conflict", 409)
    # An earlier request of the session is not finished.
    OUT_OF_ORDER = ("out_of_order", 409)
    # A later request of the session replaced this one.
    SUPERSEDED = ("superseded", 409)
    TOO_LARGE = ("too_large", 413)
    # Requests with the same content crashed several targets.
    QUARANTINED = ("quarantined", 422)
    BUSY = ("busy", 429)
    CALLER_LIMIT = ("caller_limit", 429)
    ENGINE_FAILED = ("engine_failed", 502)
    # The response was interrupted or is invalid.
    LOST = ("lost", 502)
    NO_TARGET = ("no_target", 503)
    # The process has no valid lease.
    NOT_READY = ("not_ready", 503)
    # The control members could not record the request.
    NO_RECORD = ("no_record", 503)
    # The process is shutting down.
    LEAVING = ("leaving", 503)
    # The target was replaced or restarted, or the attempt was given up.
    STALE_TARGET = ("stale_target", 503)
    LOAD_FAILED = ("load_failed", 503)
    # No engine can write the rest of an answer that has begun.
    VERSION_GONE = ("version_gone", 502)
    DEADLINE = ("deadline", 504)
    INTERNAL = ("internal", 500)

    def __init__(self, code: str, status: int) -> None:
        self.code = code
        self.status = status


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A refusal, or a failure after which there is no complete response.

    ``retry_after_ms`` is None if a retry would fail as well.
    """

    code: RefusalCode
    message: str
    verdict: Verdict
    retry_after_ms: int | None = None


def refuse(
    code: RefusalCode, message: str, retry_after_ms: int | None = None
) -> Refused:
    """Return a refusal of a request that has not run."""
    return Refused(code, message, Verdict.NOT_RUN, retry_after_ms)


_BY_CODE = {code.code: code for code in RefusalCode}


def parse_code(text: str) -> RefusalCode:
    """Return the refusal code for a name; INTERNAL if it is unknown."""
    return _BY_CODE.get(text, RefusalCode.INTERNAL)
