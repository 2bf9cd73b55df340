"""WSGI server (waitress) in a background thread."""

import threading
import typing

import waitress.server
import waitress.wasyncore

MAX_HEADER_BYTES = 65_536
# Idle connections are closed after this time, which costs the caller only a
# reconnect.
IDLE_TIMEOUT_S = 120
POLL_TIMEOUT_S = 1.0


class WebServer:
    """Serves a WSGI application until `stop` is called."""

    def __init__(
        self,
        app: typing.Any,
        host: str,
        port: int,
        threads: int,
        max_body_bytes: int,
        connection_limit: int = 2000,
    ) -> None:
        make_server: typing.Any = waitress.server.create_server
        self.server = make_server(
            app,
            host=host,
            port=port,
            threads=threads,
            max_request_body_size=max_body_bytes,
            max_request_header_size=MAX_HEADER_BYTES,
            connection_limit=connection_limit,
            channel_timeout=IDLE_TIMEOUT_S,
            channel_request_lookahead=1,
            asyncore_use_poll=True,
            clear_untrusted_proxy_headers=True,
            ident=None,
        )
        self.host = host
        self.port = int(self.server.effective_port)
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name=f"web-{self.port}", daemon=True
        )

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return f"{self.host}:{self.port}"

    def start(self) -> None:
        """Start the server thread."""
        self.thread.start()

    def run(self) -> None:
        """Poll the sockets until `stop` is called; runs in the thread."""
        while not self.stopping.is_set():
            waitress.wasyncore.loop(
                timeout=POLL_TIMEOUT_S,
                use_poll=True,
                map=self.server._map,
                count=1,
            )

    def count_unsent(self) -> int:
        """Return the number of connections with an unsent response."""
        channels = list(self.server.active_channels.values())
        return sum(
            bool(channel.requests) or channel.total_outbufs_len > 0
            for channel in channels
        )

    def count_incomplete(self) -> int:
        """Return the number of requests of which a part has arrived."""
        channels = list(self.server.active_channels.values())
        return sum(channel.request is not None for channel in channels)

    def stop(self) -> None:
        """Stop the server and close open connections.

        Requests in flight are interrupted, not finished.
        """
        self.stopping.set()
        if self.thread.is_alive():
            self.server.pull_trigger()
            self.thread.join(2.0)
        for channel in list(self.server.active_channels.values()):
            channel.handle_close()
        self.server.task_dispatcher.shutdown(cancel_pending=True, timeout=0.2)
        self.server.close()
