"""The replicated state machine, which applies committed commands in order."""

import collections

import msgspec

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.models import items
from hemlockkeel._internal.models import members
from hemlockkeel._internal.state import commands
from hemlockkeel._internal.state import config
from hemlockkeel._internal.state import conflicts
from hemlockkeel._internal.state import requests
from hemlockkeel._internal.state import suspects
from hemlockkeel._internal.state import view

MAX_AUDIT_ENTRIES = 20_000
CHANGE_OUTCOME_RETENTION_S = 24 * 3600.0


class ChangeOutcome(msgspec.Struct, frozen=True):
    """The first outcome of a change id, returned if the change is resent.

    ``at`` is the leader's wall-clock time in seconds.
    """

    at: float
    outcome: commands.Outcome


class Snapshot(msgspec.Struct, frozen=True):
    """The whole state as it is stored in snapshots and backups."""

    applied: int
    items: dict[str, bytes]
    item_versions: dict[str, int]
    config_version: int
    members: dict[str, members.Member]
    drains: list[str]
    records: dict[str, commands.RequestRecord]
    sessions: dict[str, requests.SessionRecord]
    suspects: dict[str, suspects.Suspect]
    change_outcomes: dict[str, ChangeOutcome]
    audit: list[commands.AuditEntry]
    view_items: dict[str, bytes]
    view_version: int


SNAPSHOT_DECODER = msgspec.msgpack.Decoder(Snapshot)


class StateMachine:
    """The state of a cluster, the same on every control member.

    The members apply the same commands in the same order, so applying one
    must be deterministic. The reasons for a refusal are part of the state.
    The ``index`` of a handler is the log index of its command.
    """

    def __init__(
        self, conflict_rule: conflicts.ConflictRule | None = None
    ) -> None:
        self.config = config.ConfigState(
            conflict_rule or conflicts.WritesetCertification()
        )
        self.members: dict[str, members.Member] = {}
        self.drained_targets: set[str] = set()
        self.requests = requests.RequestTable()
        self.suspects = suspects.SuspectTable()
        self.change_outcomes: dict[str, ChangeOutcome] = {}
        self.audit: collections.deque[commands.AuditEntry] = collections.deque(
            maxlen=MAX_AUDIT_ENTRIES
        )
        self.view = view.ViewLog()
        self.applied_index = 0

    def apply(
        self, index: int, command: commands.AnyCommand
    ) -> commands.Outcome:
        """Apply the command at a log index and return its outcome.

        :raises InvariantError: when the index is not greater than the last.
        """
        exceptions.require(
            index > self.applied_index, "index %d applied twice", index
        )
        self.applied_index = index
        outcome = self.dispatch(index, command)
        exceptions.require(
            self.view.version <= index, "view is ahead of the log"
        )
        return outcome

    def dispatch(
        self, index: int, command: commands.AnyCommand
    ) -> commands.Outcome:
        """Call the handler of a command and return its outcome."""
        outcome = self.dispatch_request(command)
        if outcome is None:
            outcome = self.dispatch_member(index, command)
        if outcome is None:
            outcome = self.dispatch_change(index, command)
        return outcome

    def dispatch_request(
        self, command: commands.AnyCommand
    ) -> commands.Outcome | None:
        """Handle commands on request records; return None for others."""
        match command:
            case commands.BeginRequest():
                return self.begin_request(command)
            case commands.ReassignRequest():
                return self.requests.reassign(command)
            case commands.FinishRequest():
                return self.requests.finish(command)
        return None

    def dispatch_member(
        self, index: int, command: commands.AnyCommand
    ) -> commands.Outcome | None:
        """Handle commands on members and suspects; return None for others."""
        match command:
            case commands.RegisterMember():
                return self.register_member(index, command)
            case commands.SetMemberState():
                return self.set_member_state(index, command)
            case commands.RemoveMember():
                return self.remove_member(index, command)
            case commands.ReportCrash():
                return self.report_crash(index, command)
            case commands.ClearSuspect():
                return self.clear_suspect(index, command)
        return None

    def dispatch_change(
        self, index: int, command: commands.AnyCommand
    ) -> commands.Outcome:
        """Handle commands of operators and of the leader."""
        match command:
            case commands.ApplyChange():
                return self.apply_change(index, command)
            case commands.SetDrain():
                return self.set_drain(index, command)
            case commands.ReleaseQuarantine():
                return self.release_quarantine(index, command)
            case commands.RecordAudit():
                return self.record_audit(index, command)
            case commands.ExpireRecords():
                return self.expire(index, command)
        raise exceptions.InvariantError(f"no handler for {command!r}")

    def apply_change(
        self, index: int, command: commands.ApplyChange
    ) -> commands.Outcome:
        """Commit a configuration change as a whole, or refuse it.

        A change id that was seen before returns its first outcome.
        """
        first = self.change_outcomes.get(command.change_id)
        if first is not None:
            return first.outcome
        from_version = self.config.version
        outcome = self.evaluate_change(index, command)
        if outcome.status is commands.Status.OK:
            self.config.commit(command.writes, index)
            for write in command.writes:
                self.view.put(
                    index, view.make_config_key(write.key), write.value
                )
            exceptions.require(
                self.config.version > from_version,
                "configuration version did not increase",
            )
        self.store_change_outcome(command.change_id, command.at, outcome)
        self.append_audit_entry(
            command.at,
            command.operator,
            command.change_id,
            "apply",
            from_version,
            outcome,
            describe_writes(command.writes, outcome.reasons),
        )
        return outcome

    def evaluate_change(
        self, index: int, command: commands.ApplyChange
    ) -> commands.Outcome:
        """Return the outcome of a change without applying it."""
        conflicting_keys = self.config.find_conflicts(
            command.writes, command.reads, command.read_version
        )
        if conflicting_keys:
            listed = ", ".join(conflicting_keys[:5])
            return commands.Outcome(
                commands.Status.CONFLICT,
                self.config.version,
                [
                    f"{len(conflicting_keys)} items changed since version "
                    f"{command.read_version}: {listed}; look at the new "
                    "state with 'hemlockkeel diff' and apply again"
                ],
            )
        errors = self.config.find_errors(command.writes)
        if errors:
            return commands.Outcome(
                commands.Status.INVALID, self.config.version, errors
            )
        return commands.Outcome(commands.Status.OK, index)

    def store_change_outcome(
        self, change_id: str, at: float, outcome: commands.Outcome
    ) -> None:
        """Store the outcome of a change id, to return it if it is resent."""
        exceptions.require(
            change_id not in self.change_outcomes,
            "change %s already has an outcome",
            change_id,
        )
        self.change_outcomes[change_id] = ChangeOutcome(at, outcome)

    def append_audit_entry(
        self,
        at: float,
        operator: str,
        change_id: str,
        action: str,
        from_version: int,
        outcome: commands.Outcome,
        detail: str,
    ) -> None:
        """Append an entry to the audit trail."""
        self.audit.append(
            commands.AuditEntry(
                at,
                operator,
                change_id,
                action,
                from_version,
                outcome.version,
                outcome.status,
                detail,
            )
        )

    def register_member(
        self, index: int, command: commands.RegisterMember
    ) -> commands.Outcome:
        """Register a member and give it the log index as its incarnation."""
        description = command.description
        old = self.members.get(description.member_id)
        if old is not None and old.description == description:
            # The process sent the command again because the reply was lost.
            return commands.Outcome(
                commands.Status.OK, incarnation=old.incarnation
            )
        exceptions.require(
            old is None or index > old.incarnation,
            "incarnation of %s did not increase",
            description.member_id,
        )
        if old is not None and old.description.site != description.site:
            self.publish_member(index, old, None)
        member = members.Member(
            description,
            index,
            drained=self.is_drained(description),
        )
        self.members[description.member_id] = member
        self.publish_member(index, member, member)
        return commands.Outcome(commands.Status.OK, incarnation=index)

    def is_drained(self, description: members.Description) -> bool:
        """Return whether an operator drained this member's target."""
        target = description.target
        return target is not None and target.target_id in self.drained_targets

    def publish_member(
        self,
        index: int,
        key_member: members.Member,
        member: members.Member | None,
    ) -> None:
        """Publish a member in the view.

        ``key_member`` determines the key; ``member`` is the value, and None
        removes the key.
        """
        key = view.make_member_key(
            key_member.description.site, key_member.description.member_id
        )
        value = None if member is None else commands.encode(member)
        self.view.put(index, key, value)

    def set_member_state(
        self, index: int, command: commands.SetMemberState
    ) -> commands.Outcome:
        """Change a member's state, unless it is leaving already."""
        member = self.members.get(command.member_id)
        if member is None or member.incarnation != command.incarnation:
            return commands.Outcome(commands.Status.STALE)
        if member.state is members.MemberState.LEAVING:
            return commands.Outcome(commands.Status.OK)
        member = msgspec.structs.replace(member, state=command.state)
        self.members[command.member_id] = member
        self.publish_member(index, member, member)
        return commands.Outcome(commands.Status.OK)

    def remove_member(
        self, index: int, command: commands.RemoveMember
    ) -> commands.Outcome:
        """Remove one incarnation of a member."""
        member = self.members.get(command.member_id)
        if member is None or member.incarnation != command.incarnation:
            return commands.Outcome(commands.Status.STALE)
        del self.members[command.member_id]
        self.publish_member(index, member, None)
        return commands.Outcome(commands.Status.OK)

    def set_drain(
        self, index: int, command: commands.SetDrain
    ) -> commands.Outcome:
        """Drain or undrain a target."""
        first = self.change_outcomes.get(command.change_id)
        if first is not None:
            return first.outcome
        outcome = commands.Outcome(commands.Status.OK, index)
        if command.drained:
            self.drained_targets.add(command.target_id)
        else:
            self.drained_targets.discard(command.target_id)
        for member in self.find_members_by_target(command.target_id):
            changed = msgspec.structs.replace(member, drained=command.drained)
            self.members[member.description.member_id] = changed
            self.publish_member(index, changed, changed)
        self.store_change_outcome(command.change_id, command.at, outcome)
        self.append_audit_entry(
            command.at,
            command.operator,
            command.change_id,
            "drain" if command.drained else "undrain",
            self.config.version,
            outcome,
            command.target_id,
        )
        return outcome

    def find_members_by_target(self, target_id: str) -> list[members.Member]:
        """Return the members that serve a target."""
        return [
            member
            for member in self.members.values()
            if member.description.target is not None
            and member.description.target.target_id == target_id
        ]

    def begin_request(
        self, command: commands.BeginRequest
    ) -> commands.Outcome:
        """Record a dispatch, unless the request's content is quarantined.

        A key that has a record is handled as a duplicate in either case.
        """
        if self.suspects.is_quarantined(command.digest, command.at):
            known = self.requests.records.get(command.key)
            if known is None:
                return commands.Outcome(commands.Status.QUARANTINED)
        return self.requests.begin(command)

    def report_crash(
        self, index: int, command: commands.ReportCrash
    ) -> commands.Outcome:
        """Record a crash for the requests that were running."""
        changed = self.suspects.report(
            command.target_id,
            command.boot_id,
            command.digests,
            command.at,
            command.adapters,
        )
        for suspect in changed:
            self.view.put(
                index,
                view.make_suspect_key(suspect.digest),
                commands.encode(suspect),
            )
        return commands.Outcome(commands.Status.OK)

    def clear_suspect(
        self, index: int, command: commands.ClearSuspect
    ) -> commands.Outcome:
        """Clear suspects that ran without a crash."""
        for digest in self.suspects.clear(command.digests):
            self.view.put(index, view.make_suspect_key(digest), None)
        return commands.Outcome(commands.Status.OK)

    def release_quarantine(
        self, index: int, command: commands.ReleaseQuarantine
    ) -> commands.Outcome:
        """Release a quarantined request."""
        first = self.change_outcomes.get(command.change_id)
        if first is not None:
            return first.outcome
        known = self.suspects.release(command.digest)
        if known:
            self.view.put(index, view.make_suspect_key(command.digest), None)
        status = commands.Status.OK if known else commands.Status.UNKNOWN
        outcome = commands.Outcome(status, index)
        self.store_change_outcome(command.change_id, command.at, outcome)
        self.append_audit_entry(
            command.at,
            command.operator,
            command.change_id,
            "release",
            self.config.version,
            outcome,
            command.digest,
        )
        return outcome

    def record_audit(
        self, index: int, command: commands.RecordAudit
    ) -> commands.Outcome:
        """Record a change that did not go through the state machine."""
        outcome = commands.Outcome(commands.Status.OK, index)
        self.append_audit_entry(
            command.at,
            command.operator,
            "",
            command.action,
            self.config.version,
            outcome,
            command.detail,
        )
        return outcome

    def expire(
        self, index: int, command: commands.ExpireRecords
    ) -> commands.Outcome:
        """Delete expired request records, suspects and change outcomes."""
        self.requests.expire(command.at)
        for digest in self.suspects.expire(command.at):
            self.view.put(index, view.make_suspect_key(digest), None)
        limit = command.at - CHANGE_OUTCOME_RETENTION_S
        expired = [
            change_id
            for change_id, stored in self.change_outcomes.items()
            if stored.at < limit
        ]
        for change_id in expired:
            del self.change_outcomes[change_id]
        return commands.Outcome(commands.Status.OK)

    def publish_control_member(
        self, index: int, member_id: str, address: str | None
    ) -> None:
        """Publish a control member's address; None removes the member."""
        value = None if address is None else address.encode()
        self.view.put(index, view.make_control_key(member_id), value)

    def encode_snapshot(self) -> bytes:
        """Encode the whole state."""
        return msgspec.msgpack.encode(
            Snapshot(
                applied=self.applied_index,
                items=self.config.items,
                item_versions=self.config.item_versions,
                config_version=self.config.version,
                members=self.members,
                drains=sorted(self.drained_targets),
                records=self.requests.records,
                sessions=self.requests.sessions,
                suspects=self.suspects.suspects,
                change_outcomes=self.change_outcomes,
                audit=list(self.audit),
                view_items=self.view.items,
                view_version=self.view.version,
            )
        )

    def restore_snapshot(self, data: bytes) -> None:
        """Replace the whole state with an encoded snapshot.

        :raises InvariantError: when the snapshot is older than the state.
        """
        stored = SNAPSHOT_DECODER.decode(data)
        exceptions.require(
            stored.applied >= self.applied_index,
            "snapshot is older than the state",
        )
        self.applied_index = stored.applied
        self.config.restore(
            stored.items, stored.item_versions, stored.config_version
        )
        self.members = stored.members
        self.drained_targets = set(stored.drains)
        self.requests.records = stored.records
        self.requests.sessions = stored.sessions
        self.suspects.suspects = stored.suspects
        self.change_outcomes = stored.change_outcomes
        self.audit = collections.deque(stored.audit, maxlen=MAX_AUDIT_ENTRIES)
        self.view.restore(stored.view_items, stored.view_version)


def describe_writes(writes: list[items.Write], reasons: list[str]) -> str:
    """Return a summary of a change for the audit trail."""
    listed = ", ".join(write.key for write in writes[:3])
    more = f" and {len(writes) - 3} more" if len(writes) > 3 else ""
    text = f"{len(writes)} items: {listed}{more}"
    if reasons:
        text += "; refused: " + "; ".join(reasons[:3])
    return text
