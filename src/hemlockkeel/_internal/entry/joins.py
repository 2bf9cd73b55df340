"""Reads the answer of an attempt that was started by another request.

This serves duplicates of a keyed request, and callers that resume a stream,
possibly through another entry.
"""

import time

from hemlockkeel._internal.entry import attempts
from hemlockkeel._internal.entry import context
from hemlockkeel._internal.entry import target_links
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.rpc import client
from hemlockkeel._internal.state import commands

RETRY_INTERVAL_S = 0.1
JOIN_WAIT_S = 2.0


class AttemptJoiner:
    """Attaches one request to an attempt that is running or has finished."""

    def __init__(
        self,
        targets: target_links.TargetLinks,
        request: context.RequestContext,
    ) -> None:
        self.target_links = targets
        self.request = request

    def join(
        self, record: commands.RequestRecord
    ) -> attempts.Attempt | outcomes.Refused:
        """Attach to the attempt of the request that used the key first.

        That attempt's order may still be on its way to the target, so this
        retries for a while. The last try also blocks the attempt, so that it
        cannot start after this request has been refused.
        """
        if record.state is commands.RequestState.SUPERSEDED:
            return attempts.refuse_for_status(
                commands.Status.SUPERSEDED, outcomes.Verdict.MAY_HAVE_RUN
            )
        limit = min(self.request.deadline, time.monotonic() + JOIN_WAIT_S)
        while True:
            last = time.monotonic() >= limit
            joined = self.try_join(record, block=last)
            if joined is not None:
                return joined
            time.sleep(RETRY_INTERVAL_S)

    def try_join(
        self, record: commands.RequestRecord, block: bool
    ) -> attempts.Attempt | outcomes.Refused | None:
        """Attach to a recorded attempt; None while it may still arrive.

        With ``block``, the agent refuses the attempt if it arrives later.
        """
        link = self.target_links.get_link(record.target_id)
        if link is None:
            return self.refuse_without_target(record)
        offset = 0
        if self.request.last_event_id is not None:
            offset = self.request.last_event_id.offset
        stream = link.open_stream(record.request_id, record.attempt, offset)
        try:
            reply = link.attach(stream, block)
        except client.CALL_ERRORS:
            link.remove_stream(stream)
            return self.refuse_without_target(record) if block else None
        if reply.known:
            return attempts.Attempt(
                record.attempt,
                record.target_id,
                record.target_incarnation,
                link,
                stream,
            )
        link.remove_stream(stream)
        if reply.target_incarnation != record.target_incarnation:
            return self.refuse_without_target(record)
        if record.state is commands.RequestState.FINISHED:
            return self.refuse_without_target(record)
        if not reply.blocked:
            return None
        # The agent has not seen the attempt and has now blocked it.
        return outcomes.refuse(
            outcomes.RefusalCode.STALE_TARGET,
            "the first request with this key never started",
        )

    def refuse_without_target(
        self, record: commands.RequestRecord
    ) -> outcomes.Refused:
        """Return the refusal when the answer can no longer be read.

        The record tells whether the request ran, if it has finished.
        """
        if record.state is commands.RequestState.FINISHED:
            verdict = outcomes.Verdict(record.verdict)
            message = (
                "the request ran, but its answer is no longer stored"
                if verdict is outcomes.Verdict.RAN
                else f"the request ended without an answer ({record.code})"
            )
            return outcomes.Refused(
                outcomes.RefusalCode.LOST, message, verdict
            )
        return outcomes.Refused(
            outcomes.RefusalCode.LOST,
            "the target that received this request is no longer available",
            outcomes.Verdict.MAY_HAVE_RUN,
        )

    def attach_to_event(
        self, event_id: context.EventId
    ) -> attempts.Attempt | outcomes.Refused:
        """Attach to the answer that an event id names, at its offset."""
        unavailable = outcomes.Refused(
            outcomes.RefusalCode.LOST,
            "the answer that Last-Event-ID names is no longer available",
            outcomes.Verdict.MAY_HAVE_RUN,
        )
        link = self.target_links.get_link(event_id.target_id)
        if link is None:
            return unavailable
        stream = link.open_stream(
            event_id.request_id, event_id.attempt, event_id.offset
        )
        try:
            reply = link.attach(stream, block=False)
        except client.CALL_ERRORS:
            link.remove_stream(stream)
            return unavailable
        if not reply.known or reply.content_digest != self.request.digest:
            link.remove_stream(stream)
            return unavailable
        return attempts.Attempt(
            event_id.attempt,
            event_id.target_id,
            reply.target_incarnation,
            link,
            stream,
        )
