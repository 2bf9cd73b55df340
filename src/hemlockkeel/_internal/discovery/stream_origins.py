"""Where streams began: what may write the rest of them."""

import collections
import collections.abc

import msgspec

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.models import ids


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """The service and the software version that began a stream.

    What two versions write does not fit together, so a stream goes on only
    at targets of the same service and version.
    """

    service: records.ServiceName
    software_version: str

    def matches(self, record: records.TargetRecord) -> bool:
        """Return whether a target may go on with the stream."""
        return (
            record.service == self.service
            and record.software_version == self.software_version
        )


# Time within which a target whose connections were lost is identified again:
# its next announcement, and the time for which that is under way.
PENDING_S = 3.0


class OriginTable:
    """The origins of streams that callers may still resume.

    A stream is known by the id of the request that brought its first event.
    Times are loop times in seconds. Beyond ``capacity`` streams, the ones
    added first are dropped.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        # Origins, with the time until which each is kept.
        self.origins: collections.OrderedDict[
            ids.RequestId, tuple[StreamOrigin, float]
        ] = collections.OrderedDict()
        # Streams whose origin will be known, with the time until which that
        # is expected.
        self.pending: collections.OrderedDict[ids.RequestId, float] = (
            collections.OrderedDict()
        )

    def add_pending(self, request_id: ids.RequestId, now: float) -> None:
        """Store that the origin of a stream will be known soon."""
        self.pending[request_id] = now + PENDING_S
        self.pending.move_to_end(request_id)
        if len(self.pending) > self.capacity:
            self.pending.popitem(last=False)

    def list_pending(self, now: float) -> list[ids.RequestId]:
        """Return the streams whose origin is expected to be known."""
        return [
            request_id
            for request_id, expected_until in self.pending.items()
            if now < expected_until
        ]

    def is_pending(self, request_id: ids.RequestId, now: float) -> bool:
        """Return whether the origin of a stream is expected to be known."""
        return now < self.pending.get(request_id, 0.0)

    def add(
        self,
        request_id: ids.RequestId,
        origin: StreamOrigin,
        expires_at: float,
    ) -> None:
        """Store where a stream began; keep it the longer of two times."""
        _, known_until = self.origins.get(request_id, (origin, expires_at))
        self.origins[request_id] = (origin, max(known_until, expires_at))
        self.origins.move_to_end(request_id)
        if len(self.origins) > self.capacity:
            self.origins.popitem(last=False)

    def find(
        self, request_id: ids.RequestId, now: float
    ) -> StreamOrigin | None:
        """Return where a stream began; None if that is not known."""
        origin, expires_at = self.origins.get(request_id, (None, 0.0))
        return origin if now < expires_at else None

    def list_current(
        self, now: float
    ) -> collections.abc.Iterator[tuple[ids.RequestId, StreamOrigin, float]]:
        """Yield each stream with its origin and the time it is kept for."""
        for request_id, (origin, expires_at) in self.origins.items():
            if now < expires_at:
                yield request_id, origin, expires_at - now

    def expire(self, now: float) -> None:
        """Drop the streams that are not kept any longer."""
        expired = [
            request_id
            for request_id, (_, expires_at) in self.origins.items()
            if now >= expires_at
        ]
        for request_id in expired:
            del self.origins[request_id]
        while self.pending and next(iter(self.pending.values())) <= now:
            self.pending.popitem(last=False)
