"""Runs one event-loop process: signals, reload, logs and metrics."""

import abc
import asyncio
import gc
import os
import pathlib
import signal
import sys

from hemlockkeel._internal.utils import event_log
from hemlockkeel._internal.utils import http_service
from hemlockkeel._internal.utils import instruments

LOG_FLUSH_INTERVAL_S = 0.1
# How often a settings file is looked at for a change without a signal.
SETTINGS_POLL_INTERVAL_S = 1.0


class EventProcess(abc.ABC):
    """A process with one event loop.

    Subclasses start their servers in `start` and finish work in `stop`.
    """

    def __init__(
        self, settings_path: pathlib.Path, log: event_log.EventLog
    ) -> None:
        self.settings_path = settings_path
        self.log = log
        self.instruments = instruments.Instruments()
        self.stopped = asyncio.Event()
        self.loaded_settings = b""
        self.exit_code = 0

    @abc.abstractmethod
    async def start(self) -> None:
        """Start serving."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Finish what is in flight and stop serving."""

    @abc.abstractmethod
    def reload(self) -> None:
        """Read the settings again."""

    async def run(self, metrics_port: int) -> int:
        """Run until a signal; return the exit code."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.on_signal, "SIGTERM")
        loop.add_signal_handler(signal.SIGINT, self.on_signal, "SIGINT")
        loop.add_signal_handler(signal.SIGHUP, self.on_reload, "SIGHUP")
        self.loaded_settings = self.settings_path.read_bytes()
        loop.set_exception_handler(self.on_unhandled_error)
        flusher = loop.create_task(self.flush_logs())
        watcher = loop.create_task(self.watch_settings())
        self.log.write("starting", settings=str(self.settings_path))
        if metrics_port:
            await self.serve_metrics(metrics_port)
        await self.start()
        # What was loaded so far lives as long as the process.
        gc.collect()
        gc.freeze()
        self.log.write("started")
        await self.stopped.wait()
        await self.stop()
        self.log.write("stopped", exit_code=self.exit_code)
        flusher.cancel()
        watcher.cancel()
        self.log.flush()
        return self.exit_code

    async def serve_metrics(self, port: int) -> None:
        """Serve metrics on every address of this instance."""
        listener = http_service.HttpListener(
            http_service.MetricsHandler(self.instruments.render)
        )
        try:
            await listener.start("0.0.0.0", port)
        except OSError as fault:
            self.log.write("metrics_unavailable", reason=str(fault))

    def on_unhandled_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        """Log a fault that no task handled."""
        self.instruments.events.labels("unhandled_fault").inc()
        self.log.write(
            "unhandled_fault",
            message=str(context.get("message")),
            fault=repr(context.get("exception")),
        )

    def on_signal(self, name: str) -> None:
        """Begin to stop."""
        self.log.write("stopping", signal=name)
        self.stopped.set()

    def on_reload(self, reason: str) -> None:
        """Read the settings again; keep the old ones if they are bad."""
        try:
            self.loaded_settings = self.settings_path.read_bytes()
            self.reload()
        except (OSError, ValueError) as fault:
            self.log.write("reload_failed", reason=str(fault))
            return
        self.log.write("reloaded", reason=reason)

    async def flush_logs(self) -> None:
        """Write log lines now and then."""
        while True:
            await asyncio.sleep(LOG_FLUSH_INTERVAL_S)
            self.log.flush()

    async def watch_settings(self) -> None:
        """Notice a settings file that changes without a signal."""
        while True:
            await asyncio.sleep(SETTINGS_POLL_INTERVAL_S)
            try:
                content = self.settings_path.read_bytes()
            except OSError as fault:
                self.log.write("settings_unreadable", reason=str(fault))
                continue
            if content != self.loaded_settings:
                self.on_reload("file changed")


def exit_now(code: int) -> None:
    """End the process without waiting for its threads."""
    sys.stdout.flush()
    os._exit(code)
