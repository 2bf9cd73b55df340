"""``hemlockkeel undrain``: resume sending work to a target."""

import typing

import typer

from hemlockkeel._internal.cli import options
from hemlockkeel._internal.commands import drains

app = typer.Typer(add_completion=False)


@app.command()
def undrain(
    target: typing.Annotated[str, typer.Argument(help="target id")],
    control_url: options.ControlUrl = "",
    admin_token: options.AdminToken = "",
    operator: options.Operator = "",
    change_id: options.ChangeId = "",
    as_json: options.AsJson = False,
) -> None:
    """Send a drained target new work again."""
    client = options.make_client(control_url, admin_token)
    drains.set_drain(client, target, False, operator, change_id, as_json)
