"""``hemlockkeel diff``: compare declarations with what is accepted."""

import pathlib
import typing

import typer

from hemlockkeel._internal.cli import options
from hemlockkeel._internal.commands import plan

app = typer.Typer(add_completion=False)


@app.command()
def diff(
    base: typing.Annotated[pathlib.Path, typer.Argument(help="base file")],
    overlay: typing.Annotated[
        list[str] | None,
        typer.Option("--overlay", help="SITE=FILE; may be given again"),
    ] = None,
    control_url: options.ControlUrl = "",
    admin_token: options.AdminToken = "",
    as_json: options.AsJson = False,
) -> None:
    """Print what applying these files would change."""
    client = options.make_client(control_url, admin_token)
    planned = plan.make_plan(client, base, overlay or [])
    value = {
        "version": planned.version,
        "writes": plan.encode_writes(planned.writes),
    }
    options.print_result(value, as_json, plan.describe_plan(planned))
