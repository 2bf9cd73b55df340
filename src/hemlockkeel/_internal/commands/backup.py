"""``hemlockkeel backup``: write the committed state to a file."""

import pathlib
import typing

import typer

from hemlockkeel._internal.cli import options
from hemlockkeel._internal.consensus import disk

app = typer.Typer(add_completion=False)


@app.command()
def backup(
    to: typing.Annotated[pathlib.Path, typer.Argument(help="file to write")],
    control_url: options.ControlUrl = "",
    admin_token: options.AdminToken = "",
    as_json: options.AsJson = False,
) -> None:
    """Write the leader's complete state to a file and sync it to disk."""
    client = options.make_client(control_url, admin_token)
    data: bytes = client.call("GET", "/v1/backup")
    folder = disk.FolderDisk(to.resolve().parent, "choose another file")
    folder.replace(to.name, data)
    folder.close()
    value = {"file": str(to), "bytes": len(data)}
    options.print_result(value, as_json, f"{len(data)} bytes written to {to}")
