"""``hemlockkeel restore``: make a data folder from a backup."""

import pathlib
import typing

import typer

from hemlockkeel._internal.cli import options
from hemlockkeel._internal.state import backup

app = typer.Typer(add_completion=False)


@app.command()
def restore(
    source: typing.Annotated[pathlib.Path, typer.Argument(help="backup file")],
    data_dir: typing.Annotated[
        pathlib.Path,
        typer.Option("--data-dir", help="blank folder of the first member"),
    ],
    address: typing.Annotated[
        str, typer.Option("--address", help="host:port the member will use")
    ],
    as_json: options.AsJson = False,
) -> None:
    """Make the data folder of a new one-member cluster from a backup.

    Use it only when the whole quorum is lost: changes after the backup are
    gone, and versions go on above every earlier one.
    """
    identity = backup.restore(source, data_dir, address)
    value = {"member": identity.member_id, "cluster": identity.cluster_id}
    text = (
        f"{data_dir} is ready; start member {identity.member_id} on "
        f"{address} and add further members"
    )
    options.print_result(value, as_json, text)
