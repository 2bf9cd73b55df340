"""``hemlockkeel control``: list and change the control members."""

import enum
import time
import typing

import typer

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.cli import operator_client
from hemlockkeel._internal.cli import options

app = typer.Typer(add_completion=False)
CATCH_UP_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.1


class Action(enum.Enum):
    """Operation on the set of control members."""

    LIST = "list"
    ADD = "add"
    REMOVE = "remove"
    REPLACE = "replace"


@app.command()
def control(
    action: typing.Annotated[Action, typer.Argument(help="operation")],
    member: typing.Annotated[
        str, typer.Argument(help="member to add, remove or replace")
    ] = "",
    new_member: typing.Annotated[
        str, typer.Argument(help="member that takes its place (replace)")
    ] = "",
    address: typing.Annotated[
        str,
        typer.Option(
            "--address", help="host:port of the new member (add, replace)"
        ),
    ] = "",
    control_url: options.ControlUrl = "",
    admin_token: options.AdminToken = "",
    operator: options.Operator = "",
    as_json: options.AsJson = False,
) -> None:
    """List the control members, or add, remove or replace one.

    A new member gets a vote once it has caught up with the log; replace
    adds the new member first and then removes the old one.
    """
    client = options.make_client(control_url, admin_token)
    name = options.get_operator(operator)
    match action:
        case Action.ADD:
            add_member(client, member, address, name)
        case Action.REMOVE:
            require_argument(member, "the id of the member to remove")
            change_membership(client, {"operator": name, "remove_id": member})
        case Action.REPLACE:
            require_argument(member, "the id of the member to replace")
            add_member(client, new_member, address, name)
            change_membership(client, {"operator": name, "remove_id": member})
    reply = client.call("GET", "/v1/status")["control"]
    rows = [["MEMBER", "ADDRESS", "VOTES", "LEADS"]]
    for peer in reply["peers"]:
        rows.append(
            [
                peer["member_id"],
                peer["address"],
                "yes" if peer["voter"] else "not yet",
                "yes" if peer["member_id"] == reply["leader"] else "",
            ]
        )
    options.print_result(reply, as_json, options.format_table(rows))


def require_argument(value: str, what: str) -> None:
    """Check that an argument is given.

    :raises BadSettingError: when it is empty.
    """
    if not value:
        raise exceptions.BadSettingError(f"an argument is missing: {what}")


def change_membership(
    client: operator_client.OperatorClient, body: dict[str, str]
) -> typing.Any:
    """Add or remove one member; return the control members after it."""
    return client.call("POST", "/v1/control", body)


def add_member(
    client: operator_client.OperatorClient,
    member: str,
    address: str,
    operator: str,
) -> None:
    """Add a member and wait until it has a vote.

    :raises ControlUnavailableError: when it does not catch up in time.
    """
    require_argument(
        member, "the id of the new member, which it prints when it starts"
    )
    require_argument(address, "--address, host:port of the new member")
    change_membership(
        client,
        {"operator": operator, "add_id": member, "add_address": address},
    )
    deadline = time.monotonic() + CATCH_UP_TIMEOUT_S
    while time.monotonic() < deadline:
        reply = client.call("GET", "/v1/status")["control"]
        voting = [p["member_id"] for p in reply["peers"] if p["voter"]]
        if member in voting:
            return
        time.sleep(POLL_INTERVAL_S)
    raise exceptions.ControlUnavailableError(
        f"member {member} has not caught up with the log; check that it "
        f"runs at {address}"
    )
