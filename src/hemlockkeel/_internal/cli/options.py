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
        help="operators' interfaces, http://host:port,...",
    ),
]
AdminToken = typing.Annotated[
    str,
    typer.Option(
        "--admin-token",
        envvar="HEMLOCKKEEL_ADMIN_TOKEN",
        help="operators' bearer token",
    ),
]
AsJson = typing.Annotated[
    bool, typer.Option("--json", help="print JSON, for programs")
]
Operator = typing.Annotated[
    str,
    typer.Option(
        "--operator",
        envvar="HEMLOCKKEEL_OPERATOR",
        help="your name for the audit trail",
    ),
]
ChangeId = typing.Annotated[
    str,
    typer.Option(
        "--change-id",
        help="id of this change; give the same one to send it again",
    ),
]


def make_client(url: str, token: str) -> operator_client.OperatorClient:
    """Return a client for the control URLs."""
    return operator_client.OperatorClient(settings.split_list(url), token)


def get_operator(name: str) -> str:
    """Return the operator's name, by default the user's."""
    return name or getpass.getuser()


def get_change_id(change_id: str) -> str:
    """Return the change id, by default a new one."""
    return change_id or uuid.uuid4().hex


def print_result(value: typing.Any, as_json: bool, text: str) -> None:
    """Print a result for a program or for a person."""
    typer.echo(json.dumps(value) if as_json else text)


def format_table(rows: list[list[str]]) -> str:
    """Return rows as columns of equal width."""
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
