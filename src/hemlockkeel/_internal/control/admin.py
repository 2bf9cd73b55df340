"""Admin HTTP API for operators, served by the control role."""

import collections.abc
import hmac
import re
import typing
import urllib.parse

import msgspec

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.consensus import core
from hemlockkeel._internal.consensus import messages
from hemlockkeel._internal.consensus import node
from hemlockkeel._internal.control import service
from hemlockkeel._internal.models import items
from hemlockkeel._internal.rpc import frames
from hemlockkeel._internal.rpc.gen.hk import ttypes
from hemlockkeel._internal.state import backup
from hemlockkeel._internal.state import commands
from hemlockkeel._internal.state import queries
from hemlockkeel._internal.utils import http
from hemlockkeel._internal.utils import metrics

# A change has to fit in one frame between control members.
MAX_BODY_BYTES = frames.MAX_FRAME_BYTES // 2
MEMBERSHIP_TIMEOUT_S = 5.0
MAX_VERSION = 2**63 - 1
DEFAULT_AUDIT_LIMIT = "50"
NUMBER = re.compile(r"\d{1,15}", re.ASCII)

_HTTP_STATUSES = {
    commands.Status.OK: 200,
    commands.Status.CONFLICT: 409,
    commands.Status.INVALID: 422,
    commands.Status.UNKNOWN: 404,
}


class ChangeBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A configuration change.

    ``writes`` holds the JSON text of each written item, or None to delete
    the item.
    """

    change_id: str
    operator: str
    read_version: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]
    writes: dict[str, str | None]


class DrainBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request to drain or undrain a target."""

    change_id: str
    operator: str
    target_id: str
    drained: bool


class ReleaseBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request to release a quarantined request."""

    change_id: str
    operator: str
    digest: str


class MembershipBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A change of the control members; empty fields change nothing."""

    operator: str
    add_id: str = ""
    add_address: str = ""
    remove_id: str = ""


_Body = typing.TypeVar("_Body", bound=msgspec.Struct)
Handler = collections.abc.Callable[[http.Environ, str], http.Response]


class AdminApp:
    """WSGI application of the admin API.

    A handler takes the WSGI environment and the part of the path that
    follows the route.
    """

    def __init__(
        self,
        control: service.ControlService,
        token: str,
        counters: metrics.Metrics,
    ) -> None:
        self.control = control
        self.token = token
        self.counters = counters
        self.routes: dict[tuple[str, str], Handler] = {
            ("GET", "/v1/status"): self.get_status,
            ("GET", "/v1/config"): self.get_config,
            ("POST", "/v1/changes"): self.post_change,
            ("GET", "/v1/versions"): self.get_version,
            ("GET", "/v1/targets"): self.get_targets,
            ("POST", "/v1/drains"): self.post_drain,
            ("GET", "/v1/audit"): self.get_audit,
            ("GET", "/v1/quarantine"): self.get_quarantine,
            ("POST", "/v1/quarantine"): self.post_release,
            ("GET", "/v1/control"): self.get_control,
            ("POST", "/v1/control"): self.post_control,
            ("GET", "/v1/requests"): self.get_request,
            ("GET", "/v1/counters"): self.get_counters,
            ("GET", "/v1/backup"): self.get_backup,
        }

    def __call__(
        self, environ: http.Environ, start_response: http.StartResponse
    ) -> http.Body:
        return http.send(self.handle_request(environ), start_response)

    def handle_request(self, environ: http.Environ) -> http.Response:
        """Authorize a request and call the handler of its route."""
        path = http.get_path(environ)
        if path == "/healthz":
            return http.make_json_response(200, {"ok": True})
        if not self.is_authorized(environ):
            return http.make_error_response(
                401,
                "unauthorized",
                "the bearer token is wrong or missing; set "
                "HEMLOCKKEEL_ADMIN_TOKEN to the control role's token",
            )
        method = str(environ["REQUEST_METHOD"])
        route, argument = split_path(path)
        handler = self.routes.get((method, route))
        if handler is None:
            return http.make_error_response(
                404, "not_found", f"there is no route {method} {path}"
            )
        try:
            return handler(environ, argument)
        except ttypes.RpcFault as fault:
            return make_fault_response(fault)
        except (
            msgspec.DecodeError,
            RecursionError,
            exceptions.BadDeclarationError,
        ) as error:
            return http.make_error_response(400, "bad_request", str(error))
        except http.BodyTooLargeError as error:
            return http.make_error_response(413, "too_large", str(error))

    def is_authorized(self, environ: http.Environ) -> bool:
        """Return whether the request carries the bearer token."""
        credentials = http.get_header(environ, "Authorization")
        expected = f"Bearer {self.token}"
        return hmac.compare_digest(credentials.encode(), expected.encode())

    # Reads

    def get_status(
        self, environ: http.Environ, argument: str
    ) -> http.Response:
        """Return a summary of the cluster's state."""
        self.control.require_leadership()
        with self.control.applier.lock:
            state = self.control.applier.state
            version = state.config.version
            view_version = state.view.version
            counts = count_items(state.config.items)
            members = [describe_member(m) for m in state.members.values()]
            records = len(state.requests.records)
        lagging = self.control.find_lagging(version)
        return http.make_json_response(
            200,
            {
                "version": version,
                "view_version": view_version,
                "in_force": not lagging,
                "lagging": lagging,
                "counts": counts,
                "members": members,
                "request_records": records,
                "control": self.describe_control(),
            },
        )

    def describe_control(self) -> dict[str, object]:
        """Return this control member's view of the Raft group."""
        consensus = self.control.node
        with consensus.lock:
            # An uncommitted change is in use, but the next one is refused.
            committed = consensus.core.get_membership_at(
                consensus.core.commit_index
            )
            return {
                "member": consensus.member_id,
                "state": consensus.core.state.value,
                "leader": consensus.core.leader_id,
                "term": consensus.core.term,
                "commit": consensus.core.commit_index,
                "peers": [
                    msgspec.to_builtins(peer) for peer in committed.peers
                ],
            }

    def get_config(
        self, environ: http.Environ, argument: str
    ) -> http.Response:
        """Return the committed configuration and its version."""
        self.control.require_leadership()
        with self.control.applier.lock:
            state = self.control.applier.state
            version = state.config.version
            stored = dict(state.config.items)
        config_items = {key: value.decode() for key, value in stored.items()}
        return http.make_json_response(
            200, {"version": version, "items": config_items}
        )

    def get_version(
        self, environ: http.Environ, argument: str
    ) -> http.Response:
        """Return whether a version is in force, and who has not confirmed."""
        self.control.require_leadership()
        if not NUMBER.fullmatch(argument):
            return http.make_error_response(
                400,
                "bad_request",
                "the version must be a number: /v1/versions/NUMBER",
            )
        lagging = self.control.find_lagging(int(argument))
        return http.make_json_response(
            200,
            {
                "version": int(argument),
                "in_force": not lagging,
                "lagging": lagging,
            },
        )

    def get_targets(
        self, environ: http.Environ, argument: str
    ) -> http.Response:
        """Return the members that serve a target."""
        self.control.require_leadership()
        with self.control.applier.lock:
            registered = list(self.control.applier.state.members.values())
        targets = [
            describe_member(member)
            for member in registered
            if member.description.target is not None
        ]
        return http.make_json_response(200, {"targets": targets})

    def get_audit(self, environ: http.Environ, argument: str) -> http.Response:
        """Return the latest entries of the audit trail.

        The query may set ``limit`` and select one ``operator``.
        """
        self.control.require_leadership()
        query = http.get_query(environ)
        limit = query.get("limit") or DEFAULT_AUDIT_LIMIT
        if not NUMBER.fullmatch(limit):
            return http.make_error_response(
                400, "bad_request", "limit must be a number of entries"
            )
        operator = query.get("operator", "")
        with self.control.applier.lock:
            entries = list(self.control.applier.state.audit)
        selected = [
            msgspec.to_builtins(entry)
            for entry in entries
            if not operator or entry.operator == operator
        ]
        return http.make_json_response(200, {"audit": selected[-int(limit) :]})

    def get_quarantine(
        self, environ: http.Environ, argument: str
    ) -> http.Response:
        """Return suspected and quarantined requests."""
        self.control.require_leadership()
        with self.control.applier.lock:
            suspects = list(
                self.control.applier.state.suspects.suspects.values()
            )
        return http.make_json_response(
            200, {"suspects": [msgspec.to_builtins(s) for s in suspects]}
        )

    def get_control(
        self, environ: http.Environ, argument: str
    ) -> http.Response:
        """Return this control member's view of the Raft group.

        Unlike most routes it is answered by members that do not lead, too.
        """
        return http.make_json_response(200, self.describe_control())

    def get_request(
        self, environ: http.Environ, argument: str
    ) -> http.Response:
        """Return the record of an idempotency key."""
        self.control.require_leadership()
        with self.control.applier.lock:
            result = queries.answer_query(
                self.control.applier.state, queries.GetRequest(argument)
            )
        if result.record is None:
            return http.make_error_response(
                404, "not_found", "there is no record of this idempotency key"
            )
        return http.make_json_response(200, msgspec.to_builtins(result.record))

    def get_counters(
        self, environ: http.Environ, argument: str
    ) -> http.Response:
        """Return this control member's counters."""
        return http.make_json_response(200, self.counters.snapshot())

    def get_backup(
        self, environ: http.Environ, argument: str
    ) -> http.Response:
        """Return a backup of the whole state."""
        self.control.require_leadership()
        with self.control.applier.lock:
            data = backup.make_backup(self.control.applier.state)
        return http.Response(200, data, "application/octet-stream")

    # Changes

    def commit(self, command: commands.AnyCommand) -> commands.Outcome:
        """Commit a command and return its outcome."""
        self.control.require_leadership()
        outcome = self.control.commit(command).outcome
        assert isinstance(outcome, commands.Outcome)
        return outcome

    def post_change(
        self, environ: http.Environ, argument: str
    ) -> http.Response:
        """Commit a configuration change as a whole, or refuse it."""
        body = decode_body(environ, ChangeBody)
        writes = [
            items.Write(key, None if value is None else value.encode())
            for key, value in sorted(body.writes.items())
        ]
        outcome = self.commit(
            commands.ApplyChange(
                change_id=body.change_id,
                operator=body.operator,
                read_version=body.read_version,
                writes=writes,
            )
        )
        accepted = outcome.status is commands.Status.OK
        self.counters.count(
            metrics.Counter.CHANGES_ACCEPTED
            if accepted
            else metrics.Counter.CHANGES_REFUSED
        )
        return make_outcome_response(outcome)

    def post_drain(
        self, environ: http.Environ, argument: str
    ) -> http.Response:
        """Drain or undrain a target."""
        self.control.require_leadership()
        body = decode_body(environ, DrainBody)
        with self.control.applier.lock:
            state = self.control.applier.state
            known = bool(state.find_members_by_target(body.target_id))
            known = known or body.target_id in state.drained_targets
        if not known:
            return http.make_error_response(
                404,
                "not_found",
                f"unknown target '{body.target_id}'; list the targets with "
                "'hemlockkeel targets'",
            )
        outcome = self.commit(
            commands.SetDrain(
                change_id=body.change_id,
                operator=body.operator,
                target_id=body.target_id,
                drained=body.drained,
            )
        )
        return make_outcome_response(outcome)

    def post_release(
        self, environ: http.Environ, argument: str
    ) -> http.Response:
        """Release a quarantined request."""
        body = decode_body(environ, ReleaseBody)
        outcome = self.commit(
            commands.ReleaseQuarantine(
                change_id=body.change_id,
                operator=body.operator,
                digest=body.digest,
            )
        )
        return make_outcome_response(outcome)

    def post_control(
        self, environ: http.Environ, argument: str
    ) -> http.Response:
        """Add or remove one control member.

        A member that is added becomes a learner until it has caught up.
        """
        self.control.require_leadership()
        body = decode_body(environ, MembershipBody)
        consensus = self.control.node
        with consensus.lock:
            current = consensus.core.membership
        changed = change_membership(current, body)
        if changed == current:
            return http.make_json_response(200, self.describe_control())
        future = consensus.propose(
            core.encode_membership(changed),
            messages.EntryKind.MEMBERSHIP,
        )
        try:
            future.result(MEMBERSHIP_TIMEOUT_S)
        except (
            node.NotLeaderError,
            exceptions.ControlUnavailableError,
            TimeoutError,
        ):
            return http.make_error_response(
                409,
                "membership",
                "the membership change was not confirmed: another change is "
                "in progress or the leader has just been elected; check "
                "'hemlockkeel control list' and try again",
            )
        self.commit(
            commands.RecordAudit(
                operator=body.operator,
                action="control",
                detail=describe_membership_change(body),
            )
        )
        return http.make_json_response(200, self.describe_control())


def describe_membership_change(body: MembershipBody) -> str:
    """Describe a change of the control members for the audit trail."""
    if body.remove_id:
        return f"removed {body.remove_id}"
    return f"added {body.add_id} at {body.add_address}"


def split_path(path: str) -> tuple[str, str]:
    """Split ``/v1/versions/7`` into the route and its argument."""
    parts = path.split("/", 3)
    argument = parts[3] if len(parts) > 3 else ""
    return "/".join(parts[:3]), urllib.parse.unquote(argument)


def change_membership(
    current: messages.Membership, body: MembershipBody
) -> messages.Membership:
    """Return the membership after a change; a new member has no vote yet."""
    peers = [p for p in current.peers if p.member_id != body.remove_id]
    known = {peer.member_id for peer in peers}
    if body.add_id and body.add_id not in known:
        peers.append(messages.Peer(body.add_id, body.add_address, False))
    return messages.Membership(peers)


def decode_body(environ: http.Environ, kind: type[_Body]) -> _Body:
    """Decode the JSON body of a request.

    :raises msgspec.DecodeError: when the body is not of that structure.
    """
    data = http.read_body(environ, MAX_BODY_BYTES)
    return msgspec.json.decode(data, type=kind)


def make_outcome_response(outcome: commands.Outcome) -> http.Response:
    """Return the response to a request that committed a command."""
    status = _HTTP_STATUSES.get(outcome.status, 409)
    body = {
        "status": outcome.status.value,
        "version": outcome.version,
        "reasons": outcome.reasons,
    }
    return http.make_json_response(status, body)


def make_fault_response(fault: ttypes.RpcFault) -> http.Response:
    """Return the response for a fault of the control service."""
    may_have_run = fault.verdict == ttypes.Verdict.MAY_HAVE_RUN
    return http.make_error_response(
        503,
        fault.code,
        fault.message,
        [("Retry-After", "1")],
        leader=fault.leader,
        may_have_run=may_have_run,
    )


def describe_member(member: object) -> object:
    """Return a member as plain types that can be encoded as JSON."""
    return msgspec.to_builtins(member)


def count_items(stored: dict[str, bytes]) -> dict[str, int]:
    """Return the number of items by ``layer/kind``."""
    counts: dict[str, int] = {}
    for key in stored:
        layer, kind, _ = key.split(items.SEPARATOR, 2)
        name = f"{layer}/{kind}"
        counts[name] = counts.get(name, 0) + 1
    return counts
