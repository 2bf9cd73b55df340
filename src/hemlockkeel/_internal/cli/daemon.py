"""Command line of ``hemlockkeeld``."""

import logging as std_logging
import os
import pathlib
import signal
import sys
import threading
import types
import typing
import uuid

from absl import logging
import typer

from hemlockkeel._internal import exceptions
from hemlockkeel._internal import settings
from hemlockkeel._internal.cli import exit_codes
from hemlockkeel._internal.cli import roles
from hemlockkeel._internal.utils import logs

app = typer.Typer(
    add_completion=False,
    help="Run one process of hemlockkeel. Every flag can also be set by an "
    "environment variable, HEMLOCKKEEL_ and the flag's name.",
    pretty_exceptions_enable=False,
)
FORCE_STOP_EXIT = 3


def option(default: typing.Any, flag: str, text: str) -> typing.Any:
    """Return a flag with its environment variable."""
    return typer.Option(
        default, flag, envvar=settings.get_variable_name(flag), help=text
    )


@app.command()
def main(
    role: str = option("", "--role", "entry, agent, control or dev"),
    secret: str = option("", "--secret", "secret shared by all processes"),
    control: str = option(
        "", "--control", "addresses of control members, host:port,..."
    ),
    site: str = option("", "--site", "site of this process"),
    data_centre: str = option("", "--data-centre", "its data centre"),
    member_id: str = option(
        "", "--member-id", "name of an entry; random when empty"
    ),
    host: str = option("127.0.0.1", "--host", "address to listen on"),
    port: int = option(0, "--port", "port to listen on; 0 for any"),
    admin_host: str = option(
        "127.0.0.1", "--admin-host", "address of the operators' interface"
    ),
    admin_port: int = option(
        0, "--admin-port", "port of the operators' interface; 0 for any"
    ),
    admin_token: str = option(
        "", "--admin-token", "operators' bearer token (control)"
    ),
    data_dir: pathlib.Path | None = option(  # noqa: B008
        None, "--data-dir", "folder of durable state (control)"
    ),
    bootstrap: bool = option(
        False, "--bootstrap", "start a new cluster on a blank disk (control)"
    ),
    target_id: str = option("", "--target-id", "name of the target (agent)"),
    target_address: str = option(
        "", "--target-address", "host:port of the target (agent)"
    ),
    target_kind: str = option(
        "engine", "--target-kind", "engine or plain (agent)"
    ),
    service: str = option("", "--service", "service of the target (agent)"),
    max_in_flight: int = option(
        256, "--max-in-flight", "requests at a time (entry)"
    ),
    max_queued: int = option(
        256, "--max-queued", "requests waiting at a target (agent)"
    ),
    balancer_notice: float = option(
        1.0,
        "--balancer-notice",
        "seconds of not-ready before a stop (entry)",
    ),
    statsd_host: str = option("", "--statsd-host", "statsd server; none"),
    statsd_port: int = option(8125, "--statsd-port", "statsd port"),
    log_level: str = option("info", "--log-level", "info, warning or error"),
) -> None:
    """Run one process until SIGTERM; a second SIGTERM stops it at once."""
    values = roles.Values(
        role=role,
        secret=secret,
        control=settings.split_list(control),
        site=site,
        data_centre=data_centre,
        member_id=member_id or f"entry-{uuid.uuid4().hex[:8]}",
        host=host,
        port=port,
        admin_host=admin_host,
        admin_port=admin_port,
        admin_token=admin_token,
        data_dir=data_dir,
        bootstrap=bootstrap,
        target_id=target_id,
        target_address=target_address,
        target_kind=target_kind,
        service=service,
        max_in_flight=max_in_flight,
        max_queued=max_queued,
        balancer_notice=balancer_notice,
        statsd_host=statsd_host,
        statsd_port=statsd_port,
    )
    set_up_logs(log_level)
    try:
        values.check()
        process = roles.make_process(values)
    except exceptions.HemlockkeelError as fault:
        typer.echo(f"hemlockkeeld: {fault}", err=True)
        raise typer.Exit(exit_codes.USAGE) from fault
    except OSError as fault:
        typer.echo(
            f"hemlockkeeld: cannot listen on {host}:{port}: {fault}", err=True
        )
        raise typer.Exit(exit_codes.USAGE) from fault
    run_until_signal(process)


def set_up_logs(level: str) -> None:
    """Send log lines to standard error at a level."""
    logging.set_verbosity(level)
    logging.use_absl_handler()
    # Waitress logs each broken connection as a stack trace.
    std_logging.getLogger("waitress").setLevel(std_logging.CRITICAL)


def run_until_signal(process: roles.Process) -> None:
    """Run a process, drain it on a signal, stop it on a second one."""
    asked = threading.Event()

    def handle_signal(number: int, frame: types.FrameType | None) -> None:
        if asked.is_set():
            logs.log_error(
                "stopped_by_second_signal", cut_off=process.count_unfinished()
            )
            sys.stderr.flush()
            # Threads that serve requests would hold up a normal exit.
            force_exit(FORCE_STOP_EXIT)
        asked.set()

    signal.signal(signal.SIGTERM, handle_signal)
    signal.signal(signal.SIGINT, handle_signal)
    process.start()
    typer.echo(process.describe())
    sys.stdout.flush()
    asked.wait()
    logs.log_event("draining", unfinished=process.count_unfinished())
    process.drain()
    process.stop()
    logs.log_event("stopped")
    logging.flush()
    force_exit(exit_codes.OK)


def force_exit(code: int) -> typing.NoReturn:
    """Exit without waiting for threads."""

    os._exit(code)


def run() -> None:
    """Entry point of the program."""
    app()
