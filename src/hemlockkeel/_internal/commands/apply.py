"""``hemlockkeel apply``: submit a change made from declaration files."""

import pathlib
import time
import typing

import typer

from hemlockkeel._internal.cli import exit_codes
from hemlockkeel._internal.cli import operator_client
from hemlockkeel._internal.cli import options
from hemlockkeel._internal.commands import plan

app = typer.Typer(add_completion=False)
POLL_INTERVAL_S = 0.05


@app.command()
def apply(
    base: typing.Annotated[
        pathlib.Path, typer.Argument(help="base declaration file")
    ],
    overlay: typing.Annotated[
        list[str] | None,
        typer.Option(
            "--overlay", help="SITE=FILE, overlay of a site; repeatable"
        ),
    ] = None,
    dry_run: typing.Annotated[
        bool,
        typer.Option(
            "--dry-run", help="print the change without submitting it"
        ),
    ] = False,
    wait: typing.Annotated[
        float,
        typer.Option(
            "--wait",
            help="seconds to wait until every member applies the change",
        ),
    ] = 15.0,
    control_url: options.ControlUrl = "",
    admin_token: options.AdminToken = "",
    operator: options.Operator = "",
    change_id: options.ChangeId = "",
    as_json: options.AsJson = False,
) -> None:
    """Submit declarations as one change, applied as a whole or refused."""
    client = options.make_client(control_url, admin_token)
    planned = plan.make_plan(client, base, overlay or [])
    if not as_json:
        typer.echo(plan.describe_plan(planned))
    if dry_run or not planned.writes:
        options.print_result(
            {
                "version": planned.version,
                "writes": plan.encode_writes(planned.writes),
                "dry_run": dry_run,
            },
            as_json,
            "nothing was submitted",
        )
        return
    submitted_id = options.get_change_id(change_id)
    reply = client.call(
        "POST",
        "/v1/changes",
        {
            "change_id": submitted_id,
            "operator": options.get_operator(operator),
            "read_version": planned.version,
            "writes": plan.encode_writes(planned.writes),
        },
    )
    seconds = wait_until_in_force(client, reply["version"], wait)
    print_outcome(reply["version"], submitted_id, seconds, as_json)


def wait_until_in_force(
    client: operator_client.OperatorClient, version: int, timeout_s: float
) -> float | None:
    """Poll until a version is in force; return the seconds it took.

    Returns None when that takes longer than ``timeout_s``.
    """
    started_at = time.monotonic()
    while True:
        state = client.call("GET", f"/v1/versions/{version}")
        elapsed = time.monotonic() - started_at
        if state["in_force"]:
            return elapsed
        if elapsed >= timeout_s:
            return None
        time.sleep(POLL_INTERVAL_S)


def print_outcome(
    version: int, change_id: str, seconds: float | None, as_json: bool
) -> None:
    """Print the outcome of an accepted change.

    :raises typer.Exit: when the change is not in force yet.
    """
    value = {
        "version": version,
        "change_id": change_id,
        "in_force": seconds is not None,
        "seconds": seconds,
    }
    if seconds is None:
        text = (
            f"version {version} is accepted (change {change_id}) but not in "
            "force everywhere yet; 'hemlockkeel status' lists the members "
            "that lag"
        )
        options.print_result(value, as_json, text)
        raise typer.Exit(exit_codes.NOT_IN_FORCE)
    text = (
        f"version {version} is in force everywhere after {seconds:.2f} s "
        f"(change {change_id})"
    )
    options.print_result(value, as_json, text)
