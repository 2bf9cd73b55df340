"""Attempts at a request, and what can be said when they fail."""

import collections.abc
import dataclasses

from hemlockkeel._internal.entry import context
from hemlockkeel._internal.entry import links
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.rpc.gen.hk import ttypes
from hemlockkeel._internal.state import commands
from hemlockkeel._internal.utils import digests

RETRY_AFTER_MS = 1000

_STATUS_REFUSALS = {
    commands.Status.KEY_CONFLICT: (
        outcomes.RefusalCode.KEY_CONFLICT,
        "this key was used with another request; use a new key",
    ),
    commands.Status.OUT_OF_ORDER: (
        outcomes.RefusalCode.OUT_OF_ORDER,
        "an earlier request of this session has not ended",
    ),
    commands.Status.SUPERSEDED: (
        outcomes.RefusalCode.SUPERSEDED,
        "a later request of this session made this one obsolete",
    ),
    commands.Status.UNKNOWN: (
        outcomes.RefusalCode.STALE_TARGET,
        "the record of this request is gone",
    ),
}


NON_RETRYABLE_CODES = frozenset(
    [
        outcomes.RefusalCode.QUARANTINED,
        outcomes.RefusalCode.KEY_CONFLICT,
        outcomes.RefusalCode.OUT_OF_ORDER,
        outcomes.RefusalCode.SUPERSEDED,
        outcomes.RefusalCode.DEADLINE,
        outcomes.RefusalCode.NO_RECORD,
        outcomes.RefusalCode.BAD_REQUEST,
    ]
)


AttemptEvents = collections.abc.Generator[
    context.AnswerEvent, None, outcomes.Refused | None
]


@dataclasses.dataclass
class Attempt:
    """One attempt under way."""

    number: int
    target_id: str
    incarnation: int
    link: links.AgentLink
    stream: links.Stream


class ReceivedTokens:
    """Digest and length of what one attempt has delivered."""

    def __init__(self, offset: int) -> None:
        self.offset = offset
        self.digest = digests.AnswerDigest()

    def add(self, tokens: list[str]) -> None:
        """Add tokens in order."""
        self.digest.add(tokens)

    @property
    def end(self) -> int:
        """Return the offset after the last token."""
        return self.offset + self.digest.length


def is_answer_valid(
    request: context.RequestContext,
    attempt: Attempt,
    frame: ttypes.AnswerFrame,
    received: ReceivedTokens,
) -> bool:
    """Tell whether an answer is whole and the request's own."""
    if request.kind is context.RequestKind.SERVICE:
        found = (len(frame.payload), digests.digest_content(frame.payload))
        return found == (frame.length, frame.digest)
    length: int = frame.length
    if received.end != length:
        return False
    if received.offset == 0 and received.digest.value() != frame.digest:
        return False
    if request.ref is None:
        return not frame.adapter
    wanted = (request.ref.name, request.ref.version)
    return wanted == (frame.adapter, frame.adapter_version)


def parse_failure(frame: ttypes.AnswerFrame) -> outcomes.Refused:
    """Return the refusal that a failure frame carries."""
    return outcomes.Refused(
        outcomes.parse_code(frame.code),
        frame.message,
        outcomes.Verdict(frame.verdict),
    )


def refuse_for_status(
    status: commands.Status,
    verdict: outcomes.Verdict = outcomes.Verdict.NOT_RUN,
) -> outcomes.Refused:
    """Return the refusal that a record's status calls for."""
    code, message = _STATUS_REFUSALS[status]
    return outcomes.Refused(code, message, verdict, RETRY_AFTER_MS)
