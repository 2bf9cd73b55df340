"""Finds out where streams began that callers resume at any entry.

An entry that forwards the first event of a stream tells several control
members, which keep the origin for as long as the caller may come back, and
asks them about streams that it has not begun itself.
"""

import asyncio
import collections.abc

from hemlockkeel._internal.discovery import stream_origins
from hemlockkeel._internal.links import dialer
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.models import ids
from hemlockkeel._internal.policy import routing
from hemlockkeel._internal.relay import resumption
from hemlockkeel._internal.utils import event_log

# Members that are told of each stream.
COPIES = 3
MAX_STREAMS = 20_000
# A caller is told within a multiple of this whether its stream goes on.
LOOKUP_TIMEOUT_S = 0.3


class OriginDirectory:
    """The streams that one entry has begun, and its questions on others."""

    def __init__(
        self, control: dialer.DialerSet, log: event_log.EventLog
    ) -> None:
        self.control = control
        self.log = log
        self.table = stream_origins.OriginTable(MAX_STREAMS)

    @property
    def now(self) -> float:
        """Return the time of the event loop in seconds."""
        return asyncio.get_running_loop().time()

    def record(
        self,
        request_id: ids.RequestId,
        origin: stream_origins.StreamOrigin,
        lifetime_s: float,
    ) -> None:
        """Store where a stream began, and tell control members.

        Its caller may resume it for ``lifetime_s``.
        """
        self.table.add(request_id, origin, self.now + lifetime_s)
        message = messages.StreamsBegun(
            streams=[messages.BegunStream(request_id, origin, lifetime_s)]
        )
        for peer in self.choose_holders(request_id):
            peer.send(message)

    def record_pending(self, request_id: ids.RequestId) -> None:
        """Tell control members that it will be known where a stream began."""
        self.table.add_pending(request_id, self.now)
        message = messages.StreamsBegun(streams=[], pending=[request_id])
        for peer in self.choose_holders(request_id):
            peer.send(message)

    def choose_holders(
        self, request_id: ids.RequestId
    ) -> collections.abc.Iterator[link.Link]:
        """Yield the links to the members that keep a stream's origin."""
        members = self.control.list_capable(messages.ORIGIN_PROTOCOL)
        ranked = sorted(
            members,
            key=lambda address: routing.get_rendezvous_hash(
                request_id, address
            ),
        )
        for address in ranked[-COPIES:]:
            yield members[address]

    def send_all(self, peer: link.Link) -> None:
        """Tell a member that has connected of all streams.

        It may have restarted, or the link may have been down.
        """
        streams = [
            messages.BegunStream(*each)
            for each in self.table.list_current(self.now)
        ]
        pending = self.table.list_pending(self.now)
        if peer.protocol < messages.ORIGIN_PROTOCOL:
            return
        if streams or pending:
            peer.send(messages.StreamsBegun(streams=streams, pending=pending))

    async def find(self, request_id: ids.RequestId) -> resumption.Lookup:
        """Return what this entry or any control member knows of a stream.

        ``request_id`` is empty if the caller has not named it.
        """
        origin = self.table.find(request_id, self.now)
        if origin is not None:
            return resumption.Lookup(origin, True)
        if not request_id:
            return resumption.Lookup(None, True)
        if self.table.is_pending(request_id, self.now):
            return resumption.Lookup(None, True, pending=True)
        members = self.control.list_capable(messages.ORIGIN_PROTOCOL)
        answered = 0
        pending = False
        questions = [
            asyncio.ensure_future(self.ask(address, peer, request_id))
            for address, peer in members.items()
        ]
        try:
            for finished in asyncio.as_completed(questions):
                reply = await finished
                if reply is not None and reply.origin is not None:
                    return resumption.Lookup(reply.origin, True)
                answered += reply is not None
                pending = pending or (reply is not None and reply.pending)
        finally:
            for question in questions:
                question.cancel()
        silent = len(self.control.dialers) - answered
        # The stream may be known to those that have not answered.
        conclusive = silent < min(COPIES, answered)
        return resumption.Lookup(None, conclusive, pending)

    async def ask(
        self, address: str, peer: link.Link, request_id: ids.RequestId
    ) -> messages.OriginReply | None:
        """Ask a member about a stream; return None if it does not answer."""
        call = messages.FindOrigin(request_id=request_id)
        try:
            reply = await peer.call(call, LOOKUP_TIMEOUT_S)
        except (link.LinkClosedError, TimeoutError) as error:
            self.log.write(
                "origin_call_failed",
                id=request_id,
                peer=address,
                reason=str(error) or type(error).__name__,
            )
            return None
        return reply if isinstance(reply, messages.OriginReply) else None

    def expire(self) -> None:
        """Drop streams that callers do not resume any more."""
        self.table.expire(self.now)
