"""Base class of event-loop processes: signals, reload, logs, metrics."""

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
from hemlockkeel._internal.utils import process_budget

LOG_FLUSH_INTERVAL_S = 0.1
# Interval of the check whether the settings file has changed.
SETTINGS_POLL_INTERVAL_S = 1.0
BUDGET_LOG_INTERVAL_S = 1.0


class EventProcess(abc.ABC):
    """A process with one event loop.

    Subclasses start their servers in `start`; in `stop` they wait for the
    requests in flight and close the servers.
    """

    def __init__(
        self,
        settings_path: pathlib.Path,
        log: event_log.EventLog,
        limits: process_budget.ProcessLimits | None = None,
    ) -> None:
        self.settings_path = settings_path
        self.log = log
        self.budget = process_budget.ProcessBudget(
            limits or process_budget.ProcessLimits()
        )
        self.instruments = instruments.Instruments()
        self.instruments.watch_budget(self.budget)
        self.stopped = asyncio.Event()
        self.loaded_settings = b""
        self.exit_code = 0

    @abc.abstractmethod
    async def start(self) -> None:
        """Start the servers."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Wait for the requests in flight and stop the servers."""

    @abc.abstractmethod
    def reload(self) -> None:
        """Read the settings file again and apply it.

        :raises OSError: when the file cannot be read.
        :raises ValueError: when a setting is invalid.
        """

    async def run(self, metrics_port: int) -> int:
        """Run until SIGTERM or SIGINT; return the exit code.

        A ``metrics_port`` of 0 serves no metrics.
        """
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.on_signal, "SIGTERM")
        loop.add_signal_handler(signal.SIGINT, self.on_signal, "SIGINT")
        loop.add_signal_handler(signal.SIGHUP, self.on_reload, "SIGHUP")
        self.loaded_settings = self.settings_path.read_bytes()
        loop.set_exception_handler(self.on_unhandled_error)
        flusher = loop.create_task(self.flush_logs())
        watcher = loop.create_task(self.watch_settings())
        budget_logger = loop.create_task(self.log_budget())
        if self.budget.limits.memory_bytes is not None:
            process_budget.return_freed_memory()
        self.log.write("starting", settings=str(self.settings_path))
        if metrics_port:
            await self.serve_metrics(metrics_port)
        await self.start()
        # Objects that exist now live as long as the process; exclude them
        # from garbage collection.
        gc.collect()
        gc.freeze()
        self.log.write("started")
        await self.stopped.wait()
        await self.stop()
        self.log.write("stopped", exit_code=self.exit_code)
        flusher.cancel()
        watcher.cancel()
        budget_logger.cancel()
        self.log.flush()
        return self.exit_code

    async def serve_metrics(self, port: int) -> None:
        """Serve metrics on all addresses of this instance.

        If the port cannot be bound, the process runs without them.
        """
        listener = http_service.HttpListener(
            http_service.MetricsHandler(self.instruments.render),
            self.budget,
            self.budget.limits.check_connections,
        )
        try:
            await listener.start("0.0.0.0", port)
        except OSError as error:
            self.log.write("metrics_unavailable", reason=str(error))

    def on_unhandled_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        """Log and count an exception that no task handled."""
        self.instruments.events.labels("unhandled_fault").inc()
        self.log.write(
            "unhandled_fault",
            message=str(context.get("message")),
            fault=repr(context.get("exception")),
        )

    def on_signal(self, name: str) -> None:
        """Log the signal and let `run` stop the process."""
        self.log.write("stopping", signal=name)
        self.stopped.set()

    def on_reload(self, reason: str) -> None:
        """Reload the settings; keep the current ones if that fails."""
        try:
            self.loaded_settings = self.settings_path.read_bytes()
            self.reload()
        except (OSError, ValueError) as error:
            self.log.write("reload_failed", reason=str(error))
            return
        self.log.write("reloaded", reason=reason)

    async def flush_logs(self) -> None:
        """Write buffered log lines periodically."""
        while True:
            await asyncio.sleep(LOG_FLUSH_INTERVAL_S)
            self.log.flush()

    async def log_budget(self) -> None:
        """Log what was shed or refused, if anything was, periodically."""
        logged: dict[str, int] = {}
        while True:
            await asyncio.sleep(BUDGET_LOG_INTERVAL_S)
            counts = dict(self.budget.counts)
            if counts == logged:
                continue
            for name, count in counts.items():
                self.instruments.events.labels(f"budget_{name}").inc(
                    count - logged.get(name, 0)
                )
            logged = counts
            self.log.write(
                "process_budget",
                used=self.budget.used_bytes,
                peak=self.budget.peak_bytes,
                limit=self.budget.limit_bytes,
                holders=len(self.budget.holders),
                **counts,
            )

    async def watch_settings(self) -> None:
        """Reload the settings whenever the content of the file changes."""
        while True:
            await asyncio.sleep(SETTINGS_POLL_INTERVAL_S)
            try:
                content = self.settings_path.read_bytes()
            except OSError as error:
                self.log.write("settings_unreadable", reason=str(error))
                continue
            if content != self.loaded_settings:
                self.on_reload("file changed")


def exit_now(code: int) -> None:
    """Exit without waiting for threads or running exit handlers."""
    sys.stdout.flush()
    os._exit(code)
