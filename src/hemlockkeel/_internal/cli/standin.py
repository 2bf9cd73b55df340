"""Command line of ``hemlockkeel-standin``.

Runs simulated engines, weight stores and plain services as processes, for
tests and trials without accelerators.
"""

import contextlib
import http.client
import signal
import threading
import typing

import typer

from hemlockkeel._internal.rpc import client
from hemlockkeel._internal.standins import engine
from hemlockkeel._internal.standins import engine_app
from hemlockkeel._internal.standins import plain
from hemlockkeel._internal.standins import weight_store
from hemlockkeel._internal.utils import web_server

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    help="Run a stand-in for an external system.",
)
SERVER_THREADS = 64
DEFAULT_LOADS_PER_SECOND = 4.0
MAX_BODY_BYTES = 4 * 1024 * 1024
FETCH_TIMEOUT_S = 120.0

Port = typing.Annotated[
    int, typer.Option("--port", help="port to listen on; 0 for any free port")
]


@app.command("engine")
def run_engine(
    port: Port = 0,
    base_model: str = "scribe-7b",
    weights: typing.Annotated[
        str,
        typer.Option(
            help="host:port of the weight store; empty to simulate one"
        ),
    ] = "",
    batch_slots: int = 8,
    adapter_slots: int = 4,
    step_ms: float = 10.0,
    ignore_fencing: bool = False,
    seed: int = 0,
) -> None:
    """Run a stand-in model engine."""
    options = engine.EngineOptions(
        base_model=base_model,
        batch_slots=batch_slots,
        adapter_slots=adapter_slots,
        step_s=step_ms / 1000.0,
        obeys_fencing=not ignore_fencing,
        seed=seed,
    )
    fetch_weights = weight_store.WeightStore(DEFAULT_LOADS_PER_SECOND).fetch
    if weights:
        fetch_weights = RemoteWeightStore(weights).fetch
    stand_in = engine.StandInEngine(options, fetch_weights)
    serve(engine_app.EngineApp(stand_in), port, "engine")


@app.command("weights")
def run_weights(
    port: Port = 0, loads_per_second: float = DEFAULT_LOADS_PER_SECOND
) -> None:
    """Run a stand-in weight store."""
    store = weight_store.WeightStore(loads_per_second)
    serve(weight_store.WeightStoreApp(store), port, "weight store")


@app.command("plain")
def run_plain(port: Port = 0, delay_ms: float = 0.0) -> None:
    """Run a stand-in plain service."""
    serve(plain.PlainServiceApp(delay_ms / 1000.0), port, "plain service")


class RemoteWeightStore:
    """Fetches weights from a weight store in another process."""

    def __init__(self, address: str) -> None:
        self.host, self.port = client.parse_address(address)

    def fetch(self) -> float:
        """Fetch one adapter's weights and return 0.0.

        The engine waits for the fetch and ignores the returned duration.
        """
        connection = http.client.HTTPConnection(
            self.host, self.port, timeout=FETCH_TIMEOUT_S
        )
        with contextlib.closing(connection):
            connection.request("GET", "/weights/any")
            connection.getresponse().read()
        return 0.0


def serve(application: object, port: int, name: str) -> None:
    """Serve a WSGI application until SIGTERM or SIGINT."""
    server = web_server.WebServer(
        application, "127.0.0.1", port, SERVER_THREADS, MAX_BODY_BYTES
    )
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda number, frame: stopped.set())
    signal.signal(signal.SIGINT, lambda number, frame: stopped.set())
    server.start()
    typer.echo(f"{name} on {server.address}")
    stopped.wait()
    server.stop()


def run() -> None:
    """Run the program."""
    app()
