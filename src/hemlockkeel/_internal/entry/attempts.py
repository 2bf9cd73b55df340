"""Attempts to run a request, and the checks of their results."""

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
        "this idempotency key was already used with a different request; "
        "use a new key",
    ),
    commands.Status.OUT_OF_ORDER: (
        outcomes.RefusalCode.OUT_OF_ORDER,
        "an earlier request of this session has not finished",
    ),
    commands.Status.SUPERSEDED: (
        outcomes.RefusalCode.SUPERSEDED,
        "a later request of this session superseded this one",
    ),
    commands.Status.UNKNOWN: (
        outcomes.RefusalCode.STALE_TARGET,
        "the record of this request no longer exists",
    ),
}


# Refusals after which the entry makes no further attempt.
NON_RETRYABLE_CODES = frozenset(
    [
        outcomes.RefusalCode.QUARANTINED,
        outcomes.RefusalCode.KEY_CONFLICT,
        outcomes.RefusalCode.OUT_OF_ORDER,
        outcomes.RefusalCode.SUPERSEDED,
        outcomes.RefusalCode.DEADLINE,
        outcomes.RefusalCode.NO_RECORD,
        outcomes.RefusalCode.BAD_REQUEST,
        outcomes.RefusalCode.VERSION_GONE,
    ]
)


AttemptEvents = collections.abc.Generator[
    context.AnswerEvent, None, outcomes.Refused | None
]


@dataclasses.dataclass
class Attempt:
    """One attempt on a target, and the stream that receives its answer."""

    number: int
    target_id: str
    incarnation: int
    link: links.AgentLink
    stream: links.Stream
    # Software version of the engine when the attempt was sent.
    engine_version: str = ""

    def find_origin_version(self) -> str | None:
        """Return the version of the engine that has begun the answer.

        None if the engine has changed it since the attempt was sent.
        """
        changed = self.link.engine_version != self.engine_version
        return None if changed else self.engine_version


class ReceivedTokens:
    """Digest and end offset of the tokens received from one attempt."""

    def __init__(self, offset: int) -> None:
        self.offset = offset
        self.digest = digests.TokenDigest()

    def add(self, tokens: list[str]) -> None:
        """Add the next tokens, in order."""
        self.digest.update(tokens)

    @property
    def end_offset(self) -> int:
        """Return the offset after the last token."""
        return self.offset + self.digest.length


def is_answer_valid(
    request: context.RequestContext,
    attempt: Attempt,
    frame: ttypes.AnswerFrame,
    received: ReceivedTokens,
) -> bool:
    """Return whether an answer is complete and belongs to the request.

    Checks the length, the digest and the adapter version that the end frame
    names. The digest covers the answer from its first token, so it is only
    checked when the attempt was followed from there.
    """
    if request.kind is context.RequestKind.SERVICE:
        found = (len(frame.payload), digests.digest_content(frame.payload))
        return found == (frame.length, frame.digest)
    length: int = frame.length
    if received.end_offset != length:
        return False
    if received.offset == 0 and received.digest.hexdigest() != frame.digest:
        return False
    if request.ref is None:
        return not frame.adapter
    wanted = (request.ref.name, request.ref.version)
    return wanted == (frame.adapter, frame.adapter_version)


def parse_failure(frame: ttypes.AnswerFrame) -> outcomes.Refused:
    """Return the refusal that a failure frame describes."""
    return outcomes.Refused(
        outcomes.parse_code(frame.code),
        frame.message,
        outcomes.Verdict(frame.verdict),
    )


def refuse_for_status(
    status: commands.Status,
    verdict: outcomes.Verdict = outcomes.Verdict.NOT_RUN,
) -> outcomes.Refused:
    """Return the refusal for the status of a record operation."""
    code, message = _STATUS_REFUSALS[status]
    return outcomes.Refused(code, message, verdict, RETRY_AFTER_MS)
