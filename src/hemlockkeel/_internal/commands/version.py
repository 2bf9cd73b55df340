"""``hemlockkeel version``: print the version."""

import typer

import hemlockkeel
from hemlockkeel._internal.cli import options

app = typer.Typer(add_completion=False)


@app.command()
def version(as_json: options.AsJson = False) -> None:
    """Print the version of this program."""
    number = hemlockkeel.__version__
    options.print_result({"version": number}, as_json, f"hemlockkeel {number}")
