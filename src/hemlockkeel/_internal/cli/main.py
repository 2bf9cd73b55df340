"""Command line of ``hemlockkeel``."""

import sys
import typing

import typer
import typer.core
import typer.main

from hemlockkeel._internal import commands
from hemlockkeel._internal import exceptions
from hemlockkeel._internal.cli import exit_codes


class LazyGroup(typer.core.TyperGroup):
    """Group that imports a command's module only when it is needed."""

    def list_commands(self, ctx: typing.Any) -> list[str]:
        return list(commands.COMMANDS)

    def get_command(self, ctx: typing.Any, cmd_name: str) -> typing.Any:
        if cmd_name not in commands.COMMANDS:
            return None
        command = typer.main.get_command(commands.load_command(cmd_name))
        command.name = cmd_name
        return command


app = typer.Typer(
    cls=LazyGroup,
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Operate hemlockkeel. Exit codes: 0 done, 1 failed, 2 invalid "
    "input, 4 refused, 5 no control leader, 6 accepted but not in force "
    "everywhere yet.",
)


@app.callback()
def main() -> None:
    """Operate hemlockkeel."""


def run() -> None:
    """Run the program and map exceptions to exit codes."""
    try:
        app()
    except exceptions.OperatorApiError as error:
        exit_with_error(error, exit_codes.REFUSED)
    except exceptions.ControlUnavailableError as error:
        exit_with_error(error, exit_codes.UNAVAILABLE)
    except exceptions.HemlockkeelError as error:
        exit_with_error(error, exit_codes.USAGE)


def exit_with_error(error: Exception, code: int) -> typing.NoReturn:
    """Print an error to standard error and exit with a code."""
    typer.echo(f"hemlockkeel: {error}", err=True)
    sys.exit(code)
