"""Commands of ``hemlockkeel``, each in a module imported on demand."""

import importlib
import typing

import typer

COMMANDS: dict[str, str] = {
    "apply": "apply",
    "diff": "diff",
    "status": "status",
    "targets": "targets",
    "drain": "drain",
    "undrain": "undrain",
    "audit": "audit",
    "quarantine": "quarantine",
    "control": "control",
    "backup": "backup",
    "restore": "restore",
    "request": "request",
    "version": "version",
}
"""Module of this package that implements each command."""


def load_command(name: str) -> typer.Typer:
    """Import a command's module and return its typer application."""
    module = importlib.import_module(f"{__name__}.{COMMANDS[name]}")
    return typing.cast(typer.Typer, module.app)
