"""Queries that entries and agents send to the control leader."""

import msgspec

from hemlockkeel._internal.state import commands
from hemlockkeel._internal.state import machine


class Query(msgspec.Struct, frozen=True, tag=True):
    """Base class of all queries."""


class GetRequest(Query, frozen=True, tag=True):
    """Read the record of an idempotency key."""

    key: str


class GetSession(Query, frozen=True, tag=True):
    """Read the progress of a session."""

    session: str


AnyQuery = GetRequest | GetSession
QUERY_DECODER: msgspec.msgpack.Decoder[AnyQuery] = msgspec.msgpack.Decoder(
    AnyQuery
)


class SessionProgress(msgspec.Struct, frozen=True):
    """Progress of a session; the defaults stand for an unknown session.

    ``begun`` and ``finished`` are the highest sequence numbers whose request
    has begun and has finished.
    """

    target_id: str = ""
    begun: int = 0
    finished: int = 0


class QueryResult(msgspec.Struct, frozen=True):
    """Result of a query.

    ``record`` is None when the key has no record, and in answers to other
    queries; ``session`` is set for `GetSession` only.
    """

    record: commands.RequestRecord | None = None
    session: SessionProgress | None = None


RESULT_DECODER = msgspec.msgpack.Decoder(QueryResult)


def answer_query(state: machine.StateMachine, query: AnyQuery) -> QueryResult:
    """Execute a query on the state."""
    match query:
        case GetRequest(key):
            return QueryResult(record=state.requests.records.get(key))
        case GetSession(name):
            session = state.requests.sessions.get(name)
            if session is None:
                return QueryResult(session=SessionProgress())
            progress = SessionProgress(
                session.target_id, session.begun, session.finished
            )
            return QueryResult(session=progress)
