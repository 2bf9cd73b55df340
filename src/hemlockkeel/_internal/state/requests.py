"""Records of requests with an idempotency key, and order within sessions.

A record is committed before its request is dispatched, so that a duplicate
of the request finds the record at whichever entry it arrives.
"""

import msgspec

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.state import commands

# Also the retention of sessions.
RECORD_RETENTION_S = 24 * 3600.0


class SessionRecord(msgspec.Struct):
    """Progress of one session.

    ``begun`` and ``finished`` are the highest sequence numbers whose request
    has begun and has finished; ``last_at`` is when the last one began.
    """

    target_id: str
    begun: int = 0
    finished: int = 0
    last_at: float = 0.0


class RequestTable:
    """Request records by idempotency key, and sessions by name."""

    def __init__(self) -> None:
        self.records: dict[str, commands.RequestRecord] = {}
        self.sessions: dict[str, SessionRecord] = {}

    def begin(self, command: commands.BeginRequest) -> commands.Outcome:
        """Record a dispatch, or refuse it.

        The outcome carries the existing record if the key has one already.
        """
        record = self.records.get(command.key)
        if record is not None:
            return self.answer_duplicate(record, command)
        refusal = self.check_session(command)
        if refusal is not None:
            return refusal
        record = commands.RequestRecord(
            key=command.key,
            caller=command.caller,
            digest=command.digest,
            request_id=command.request_id,
            target_id=command.target_id,
            target_incarnation=command.target_incarnation,
            attempt=1,
            begun_at=command.at,
            session=command.session,
            session_sequence=command.session_sequence,
        )
        self.records[command.key] = record
        self.advance_session(command)
        return commands.Outcome(commands.Status.OK, record=record)

    def answer_duplicate(
        self,
        record: commands.RequestRecord,
        command: commands.BeginRequest,
    ) -> commands.Outcome:
        """Return the outcome for a key that has a record already."""
        if (record.digest, record.caller) != (command.digest, command.caller):
            return commands.Outcome(commands.Status.KEY_CONFLICT)
        if record.request_id == command.request_id:
            # The command was sent again because its reply was lost.
            return commands.Outcome(commands.Status.OK, record=record)
        return commands.Outcome(commands.Status.DUPLICATE, record=record)

    def check_session(
        self, command: commands.BeginRequest
    ) -> commands.Outcome | None:
        """Return a refusal if the request breaks its session's order.

        A request may begin when the one before it has finished, unless it
        supersedes earlier requests. A number that has begun is refused.
        """
        if not command.session:
            return None
        session = self.sessions.get(command.session)
        begun = session.begun if session else 0
        finished = session.finished if session else 0
        sequence = command.session_sequence
        if sequence <= begun:
            return commands.Outcome(commands.Status.SUPERSEDED)
        if command.supersedes:
            return None
        if sequence != begun + 1 or finished < begun:
            return commands.Outcome(
                commands.Status.OUT_OF_ORDER, version=finished
            )
        return None

    def advance_session(self, command: commands.BeginRequest) -> None:
        """Move a session on to a request that begins.

        A request that supersedes earlier ones marks them as superseded.
        """
        if not command.session:
            return
        session = self.sessions.get(command.session)
        if session is None:
            session = SessionRecord(command.target_id)
            self.sessions[command.session] = session
        exceptions.require(
            command.session_sequence > session.begun,
            "session %s: request %d began after request %d",
            command.session,
            command.session_sequence,
            session.begun,
        )
        if command.supersedes:
            self.supersede(command.session, command.session_sequence)
            session.finished = command.session_sequence - 1
        session.begun = command.session_sequence
        session.target_id = command.target_id
        session.last_at = command.at

    def supersede(self, session: str, before: int) -> None:
        """Mark a session's unfinished requests before a number as superseded.

        ``before`` is a sequence number.
        """
        for key, record in self.records.items():
            if record.session != session:
                continue
            if record.session_sequence >= before:
                continue
            if record.state is commands.RequestState.DISPATCHED:
                self.records[key] = msgspec.structs.replace(
                    record, state=commands.RequestState.SUPERSEDED
                )

    def reassign(self, command: commands.ReassignRequest) -> commands.Outcome:
        """Assign a request to another target after an attempt did not run."""
        record = self.records.get(command.key)
        if record is None:
            return commands.Outcome(commands.Status.UNKNOWN)
        if record.request_id != command.request_id:
            return commands.Outcome(commands.Status.STALE, record=record)
        already_reassigned = (record.target_id, record.attempt) == (
            command.target_id,
            command.attempt + 1,
        )
        if already_reassigned:
            return commands.Outcome(commands.Status.OK, record=record)
        if record.state is commands.RequestState.SUPERSEDED:
            return commands.Outcome(commands.Status.SUPERSEDED, record=record)
        if record.attempt != command.attempt:
            return commands.Outcome(commands.Status.STALE, record=record)
        record = msgspec.structs.replace(
            record,
            attempt=command.attempt + 1,
            target_id=command.target_id,
            target_incarnation=command.target_incarnation,
        )
        self.records[command.key] = record
        return commands.Outcome(commands.Status.OK, record=record)

    def finish(self, command: commands.FinishRequest) -> commands.Outcome:
        """Record how an attempt ended; later reports do not change it."""
        record = self.records.get(command.key)
        if record is None:
            return commands.Outcome(commands.Status.UNKNOWN)
        stale = (record.request_id, record.attempt) != (
            command.request_id,
            command.attempt,
        )
        if stale:
            return commands.Outcome(commands.Status.STALE, record=record)
        if record.state is commands.RequestState.SUPERSEDED:
            return commands.Outcome(commands.Status.SUPERSEDED, record=record)
        if record.state is commands.RequestState.FINISHED:
            return commands.Outcome(commands.Status.OK, record=record)
        if command.verdict == outcomes.Verdict.NOT_RUN:
            return self.delete_record(record)
        record = msgspec.structs.replace(
            record,
            state=commands.RequestState.FINISHED,
            verdict=command.verdict,
            code=command.code,
            answer_digest=command.answer_digest,
            length=command.length,
            finished_at=command.at,
        )
        self.records[command.key] = record
        self.record_session_finish(record)
        return commands.Outcome(commands.Status.OK, record=record)

    def delete_record(
        self, record: commands.RequestRecord
    ) -> commands.Outcome:
        """Delete the record of a request that did not run.

        The key, and the sequence number if it is the session's latest, may
        then be used again.
        """
        del self.records[record.key]
        session = self.sessions.get(record.session)
        if session is not None and session.begun == record.session_sequence:
            session.begun = record.session_sequence - 1
        return commands.Outcome(commands.Status.OK, record=record)

    def record_session_finish(self, record: commands.RequestRecord) -> None:
        """Record that a session's request finished, so the next may begin."""
        session = self.sessions.get(record.session)
        if session is None:
            return
        session.finished = max(session.finished, record.session_sequence)

    def expire(self, at: float) -> int:
        """Delete expired records and sessions; return how many."""
        limit = at - RECORD_RETENTION_S
        expired_keys = [
            key
            for key, record in self.records.items()
            if max(record.begun_at, record.finished_at) < limit
        ]
        for key in expired_keys:
            del self.records[key]
        expired_sessions = [
            name
            for name, session in self.sessions.items()
            if session.last_at < limit
        ]
        for name in expired_sessions:
            del self.sessions[name]
        return len(expired_keys) + len(expired_sessions)
