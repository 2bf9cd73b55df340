"""``hemlockkeel diff``: compare declaration files with the configuration."""

import pathlib
import typing

import typer

from hemlockkeel._internal.cli import options
from hemlockkeel._internal.commands import plan

app = typer.Typer(add_completion=False)


@app.command()
def diff(
    base: typing.Annotated[
        pathlib.Path, typer.Argument(help="base declaration file")
    ],
    overlay: typing.Annotated[
        list[str] | None,
        typer.Option(
            "--overlay", help="SITE=FILE, overlay of a site; repeatable"
        ),
    ] = None,
    control_url: options.ControlUrl = "",
    admin_token: options.AdminToken = "",
    as_json: options.AsJson = False,
) -> None:
    """Print the changes that applying these files would make."""
    client = options.make_client(control_url, admin_token)
    planned = plan.make_plan(client, base, overlay or [])
    value = {
        "version": planned.version,
        "writes": plan.encode_writes(planned.writes),
    }
    options.print_result(value, as_json, plan.describe_plan(planned))
