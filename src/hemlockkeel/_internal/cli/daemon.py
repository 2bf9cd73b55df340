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
CRASH_CHECK_INTERVAL_S = 0.5
FORCED_STOP_EXIT_CODE = 3
"""A second signal ended the process before its drain did."""


def make_option(default: typing.Any, flag: str, text: str) -> typing.Any:
    """Declare a flag that can also be set by an environment variable."""
    return typer.Option(
        default, flag, envvar=settings.get_variable_name(flag), help=text
    )


@app.command()
def main(
    role: str = make_option("", "--role", "entry, agent, control or dev"),
    secret: str = make_option(
        "", "--secret", "secret shared by all processes"
    ),
    control: str = make_option(
        "", "--control", "addresses of control members, host:port,..."
    ),
    site: str = make_option("", "--site", "site of this process"),
    data_centre: str = make_option(
        "", "--data-centre", "data centre of this process"
    ),
    member_id: str = make_option(
        "", "--member-id", "id of the entry; random if empty (entry)"
    ),
    host: str = make_option("127.0.0.1", "--host", "address to listen on"),
    port: int = make_option(
        0, "--port", "port to listen on; 0 for any free port"
    ),
    admin_host: str = make_option(
        "127.0.0.1",
        "--admin-host",
        "address of the admin API (control)",
    ),
    admin_port: int = make_option(
        0,
        "--admin-port",
        "port of the admin API; 0 for any free port (control, dev)",
    ),
    admin_token: str = make_option(
        "",
        "--admin-token",
        "bearer token of the admin API (control, dev)",
    ),
    data_dir: pathlib.Path | None = make_option(  # noqa: B008
        None, "--data-dir", "folder of the persistent state (control)"
    ),
    bootstrap: bool = make_option(
        False,
        "--bootstrap",
        "start a new cluster if the data folder is empty (control)",
    ),
    target_id: str = make_option(
        "", "--target-id", "id of the target (agent)"
    ),
    target_address: str = make_option(
        "", "--target-address", "host:port of the target (agent)"
    ),
    target_kind: str = make_option(
        "engine",
        "--target-kind",
        "kind of the target, engine or plain (agent)",
    ),
    service: str = make_option(
        "", "--service", "service that the target belongs to (agent)"
    ),
    max_in_flight: int = make_option(
        256, "--max-in-flight", "maximum number of concurrent requests (entry)"
    ),
    max_queued: int = make_option(
        256,
        "--max-queued",
        "maximum number of requests queued for the target (agent)",
    ),
    balancer_notice: float = make_option(
        1.0,
        "--balancer-notice",
        "seconds between failing readiness checks and shutting down, for "
        "load balancers to notice (entry)",
    ),
    statsd_host: str = make_option(
        "", "--statsd-host", "host of the statsd server; empty disables statsd"
    ),
    statsd_port: int = make_option(
        8125, "--statsd-port", "port of the statsd server"
    ),
    log_level: str = make_option(
        "info", "--log-level", "lowest level to log: info, warning or error"
    ),
) -> None:
    """Run one process until SIGTERM; a second SIGTERM skips the drain."""
    options = roles.DaemonOptions(
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
    configure_logging(log_level)
    try:
        options.validate()
        daemon_role = roles.make_role(options)
    except exceptions.HemlockkeelError as error:
        typer.echo(f"hemlockkeeld: {error}", err=True)
        raise typer.Exit(exit_codes.USAGE) from error
    except OSError as error:
        typer.echo(
            f"hemlockkeeld: cannot listen on {host}:{port}: {error}", err=True
        )
        raise typer.Exit(exit_codes.USAGE) from error
    run_until_signal(daemon_role)


def configure_logging(level: str) -> None:
    """Log to standard error from a level upwards."""
    logging.set_verbosity(level)
    logging.use_absl_handler()
    # Waitress logs a stack trace for every connection that breaks.
    std_logging.getLogger("waitress").setLevel(std_logging.CRITICAL)


def run_until_signal(role: roles.Role) -> None:
    """Run a role until SIGTERM or SIGINT, then drain and stop it.

    A second signal ends the process without waiting for the drain. A role
    that has crashed is stopped too, so that a supervisor starts it again.
    """
    stop_requested = threading.Event()

    def handle_signal(number: int, frame: types.FrameType | None) -> None:
        if stop_requested.is_set():
            logs.log_error(
                "stopped_by_second_signal", cut_off=role.count_unfinished()
            )
            sys.stderr.flush()
            # A normal exit would wait for the threads that serve requests.
            exit_immediately(FORCED_STOP_EXIT_CODE)
        stop_requested.set()

    signal.signal(signal.SIGTERM, handle_signal)
    signal.signal(signal.SIGINT, handle_signal)
    role.start()
    typer.echo(role.describe())
    sys.stdout.flush()
    while not stop_requested.wait(CRASH_CHECK_INTERVAL_S):
        if role.has_crashed():
            logs.log_error("stopped_after_crash")
            stop_role(role)
            exit_immediately(exit_codes.FAILED)
    logs.log_event("draining", unfinished=role.count_unfinished())
    role.drain()
    stop_role(role)
    exit_immediately(exit_codes.OK)


def stop_role(role: roles.Role) -> None:
    """Stop a role without waiting, and write the logs."""
    role.stop()
    logs.log_event("stopped")
    logging.flush()


def exit_immediately(code: int) -> typing.NoReturn:
    """Exit without waiting for threads or running exit handlers."""
    os._exit(code)


def run() -> None:
    """Run the program."""
    app()
