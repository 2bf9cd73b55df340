"""Records of keyed requests and the order of sessions.

A record is committed before its request is dispatched, so a second copy of
the request finds it whichever entry it arrives at.
"""

import msgspec

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.state import commands

RECORD_RETENTION_S = 24 * 3600.0


class SessionRecord(msgspec.Struct):
    """Progress of one session."""

    target_id: str
    begun: int = 0
    finished: int = 0
    last_at: float = 0.0


class RequestTable:
    """Request records by key and sessions by name."""

    def __init__(self) -> None:
        self.records: dict[str, commands.RequestRecord] = {}
        self.sessions: dict[str, SessionRecord] = {}

    def begin(self, command: commands.BeginRequest) -> commands.Outcome:
        """Record a dispatch, or return the record that stands already."""
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
        """Return the outcome of a second request with the same key."""
        if (record.digest, record.caller) != (command.digest, command.caller):
            return commands.Outcome(commands.Status.KEY_CONFLICT)
        if record.request_id == command.request_id:
            # The first answer to this very command was lost on its way.
            return commands.Outcome(commands.Status.OK, record=record)
        return commands.Outcome(commands.Status.DUPLICATE, record=record)

    def check_session(
        self, command: commands.BeginRequest
    ) -> commands.Outcome | None:
        """Return a refusal if the request is out of its session's order."""
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
        """Advance a session; a superseding request ends earlier ones."""
        if not command.session:
            return
        session = self.sessions.get(command.session)
        if session is None:
            session = SessionRecord(command.target_id)
            self.sessions[command.session] = session
        exceptions.require(
            command.session_sequence > session.begun,
            "session %s began %d after %d",
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
        """Mark unfinished earlier requests of a session."""
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
        """Move an attempt that did not run to another target."""
        record = self.records.get(command.key)
        if record is None:
            return commands.Outcome(commands.Status.UNKNOWN)
        if record.request_id != command.request_id:
            return commands.Outcome(commands.Status.STALE, record=record)
        moved = (record.target_id, record.attempt) == (
            command.target_id,
            command.attempt + 1,
        )
        if moved:
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
        """Record how an attempt ended; the first word stands."""
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
        """Drop the record of a request that did not run."""
        del self.records[record.key]
        session = self.sessions.get(record.session)
        if session is not None and session.begun == record.session_sequence:
            # The sequence number may be used again.
            session.begun = record.session_sequence - 1
        return commands.Outcome(commands.Status.OK, record=record)

    def record_session_finish(self, record: commands.RequestRecord) -> None:
        """Let the next request of a session begin."""
        session = self.sessions.get(record.session)
        if session is None:
            return
        session.finished = max(session.finished, record.session_sequence)

    def expire(self, at: float) -> int:
        """Drop records and sessions past their window; return how many."""
        limit = at - RECORD_RETENTION_S
        old = [
            key
            for key, record in self.records.items()
            if max(record.begun_at, record.finished_at) < limit
        ]
        for key in old:
            del self.records[key]
        idle = [
            name
            for name, session in self.sessions.items()
            if session.last_at < limit
        ]
        for name in idle:
            del self.sessions[name]
        return len(old) + len(idle)
