"""``hemlockkeel restore``: create a data folder from a backup."""

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
        typer.Option(
            "--data-dir", help="empty data folder of the first member"
        ),
    ],
    address: typing.Annotated[
        str,
        typer.Option(
            "--address", help="host:port on which the member will listen"
        ),
    ],
    as_json: options.AsJson = False,
) -> None:
    """Create the data folder of a new one-member cluster from a backup.

    Use it only when the quorum is lost for good: changes made after the
    backup are lost. Versions continue above every earlier one.
    """
    identity = backup.restore(source, data_dir, address)
    value = {"member": identity.member_id, "cluster": identity.cluster_id}
    text = (
        f"{data_dir} is ready; start member {identity.member_id} on "
        f"{address} and add the other members"
    )
    options.print_result(value, as_json, text)
