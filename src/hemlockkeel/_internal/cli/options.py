"""Flags that several commands share."""

import getpass
import json
import typing
import uuid

import typer

from hemlockkeel._internal import settings
from hemlockkeel._internal.cli import operator_client

ControlUrl = typing.Annotated[
    str,
    typer.Option(
        "--control-url",
        envvar="HEMLOCKKEEL_CONTROL_URL",
        help="URLs of the admin API, http://host:port,...",
    ),
]
AdminToken = typing.Annotated[
    str,
    typer.Option(
        "--admin-token",
        envvar="HEMLOCKKEEL_ADMIN_TOKEN",
        help="bearer token of the admin API",
    ),
]
AsJson = typing.Annotated[bool, typer.Option("--json", help="print JSON")]
Operator = typing.Annotated[
    str,
    typer.Option(
        "--operator",
        envvar="HEMLOCKKEEL_OPERATOR",
        help="name to record in the audit log; your user name if empty",
    ),
]
ChangeId = typing.Annotated[
    str,
    typer.Option(
        "--change-id",
        help="id of this change; use the same one to retry it safely",
    ),
]


def make_client(url: str, token: str) -> operator_client.OperatorClient:
    """Return a client for a comma-separated list of control URLs."""
    return operator_client.OperatorClient(settings.split_list(url), token)


def get_operator(name: str) -> str:
    """Return the operator's name, or the login name if it is empty."""
    return name or getpass.getuser()


def get_change_id(change_id: str) -> str:
    """Return the change id, or a new random one if it is empty."""
    return change_id or uuid.uuid4().hex


def print_result(value: typing.Any, as_json: bool, text: str) -> None:
    """Print a result as JSON or as text."""
    typer.echo(json.dumps(value) if as_json else text)


def format_table(rows: list[list[str]]) -> str:
    """Return rows as text with aligned columns."""
    if not rows:
        return ""
    widths = [max(len(row[n]) for row in rows) for n in range(len(rows[0]))]
    lines = []
    for row in rows:
        cells = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)
