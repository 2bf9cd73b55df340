"""Generates the pages of settings and metrics from the code."""

import pathlib
import typing

import typer.main

from hemlockkeel._internal.cli import daemon
from hemlockkeel._internal.utils import metrics

FOLDER = pathlib.Path(__file__).parent.parent / "docs" / "operations"

SETTINGS_HEAD = """\
# Settings

Generated from the code by `make pages`. Each setting of `hemlockkeeld` is a
flag and an environment variable; the flag takes precedence. All invalid
settings are reported together at start-up.

| flag | variable | default | meaning |
| --- | --- | --- | --- |
"""

METRICS_HEAD = """\
# Metrics and audit

Generated from the code by `make pages`. Metrics are sent to statsd with the
prefix `hemlockkeel` when `--statsd-host` is set. `GET /v1/counters` returns
the counters of an entry, and of a control member with the operators' token.
Logs have a line only where a state changes.

`hemlockkeel audit` shows who changed what and when, from which version to
which version, and the outcome, for refused changes too. The last 20,000 lines
are kept in the persistent state.

| name | kind |
| --- | --- |
"""


def make_settings() -> str:
    """Return the Markdown page of settings."""
    command: typing.Any = typer.main.get_command(daemon.app)
    rows = []
    for parameter in command.params:
        if not parameter.envvar:
            continue
        flag = parameter.opts[0]
        default = "" if parameter.default is None else parameter.default
        rows.append(
            f"| `{flag}` | `{parameter.envvar}` | {default} "
            f"| {parameter.help} |"
        )
    return SETTINGS_HEAD + "\n".join(rows) + "\n"


def make_metrics() -> str:
    """Return the Markdown page of metrics."""
    rows = [f"| `{counter.value}` | counter |" for counter in metrics.Counter]
    rows += [f"| `{timer.value}` | timer, ms |" for timer in metrics.Timer]
    return METRICS_HEAD + "\n".join(rows) + "\n"


PAGES = {"settings.md": make_settings, "metrics.md": make_metrics}


def main() -> None:
    """Write every generated page."""
    for name, make in PAGES.items():
        (FOLDER / name).write_text(make())


if __name__ == "__main__":
    main()
