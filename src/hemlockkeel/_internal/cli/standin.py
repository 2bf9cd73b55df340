"""Command line of ``hemlockkeel-standin``: stand-ins as processes."""

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
    help="Run a stand-in for an outside system.",
)
SERVER_THREADS = 64
MAX_BODY_BYTES = 4 * 1024 * 1024
FETCH_TIMEOUT_S = 120.0

Port = typing.Annotated[int, typer.Option("--port", help="0 for any")]


@app.command("engine")
def run_engine(
    port: Port = 0,
    base_model: str = "scribe-7b",
    weights: typing.Annotated[
        str, typer.Option(help="host:port of the weight store")
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
    fetch_weights = weight_store.WeightStore(4.0).fetch
    if weights:
        fetch_weights = RemoteWeightStore(weights).fetch
    stand_in = engine.StandInEngine(options, fetch_weights)
    serve(engine_app.EngineApp(stand_in), port, "engine")


@app.command("weights")
def run_weights(port: Port = 0, loads_per_second: float = 4.0) -> None:
    """Run a stand-in weight store."""
    store = weight_store.WeightStore(loads_per_second)
    serve(weight_store.WeightStoreApp(store), port, "weight store")


@app.command("plain")
def run_plain(port: Port = 0, delay_ms: float = 0.0) -> None:
    """Run a stand-in plain service."""
    serve(plain.PlainServiceApp(delay_ms / 1000.0), port, "plain service")


class RemoteWeightStore:
    """Fetches weights from a weight store process."""

    def __init__(self, address: str) -> None:
        self.host, self.port = client.parse_address(address)

    def fetch(self) -> float:
        """Fetch one adapter's weights."""
        connection = http.client.HTTPConnection(
            self.host, self.port, timeout=FETCH_TIMEOUT_S
        )
        with contextlib.closing(connection):
            connection.request("GET", "/weights/any")
            connection.getresponse().read()
        return 0.0


def serve(application: object, port: int, name: str) -> None:
    """Serve until SIGTERM."""
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
    """Entry point of the program."""
    app()
