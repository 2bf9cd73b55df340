"""Keeps where streams began, for callers that resume them at any entry."""

from hemlockkeel._internal.discovery import stream_origins
from hemlockkeel._internal.links import messages

MAX_STREAMS = 100_000


class StreamOrigins:
    """The streams that one control member has been told of.

    They are kept in memory only: entries tell theirs again to a member that
    has restarted.
    """

    def __init__(self) -> None:
        self.table = stream_origins.OriginTable(MAX_STREAMS)

    def record(self, message: messages.StreamsBegun, now: float) -> None:
        """Store where streams began."""
        for stream in message.streams:
            self.table.add(
                stream.request_id, stream.origin, now + stream.lifetime_s
            )
        for request_id in message.pending:
            self.table.add_pending(request_id, now)

    def find(
        self, call: messages.FindOrigin, now: float
    ) -> messages.OriginReply:
        """Return the reply to an entry whose caller resumes a stream."""
        return messages.OriginReply(
            origin=self.table.find(call.request_id, now),
            pending=self.table.is_pending(call.request_id, now),
        )
