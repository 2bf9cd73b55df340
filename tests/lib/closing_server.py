"""A plain HTTP service that reads requests and never responds."""

import socket
import threading

WAIT_S = 10.0


class ClosingServer:
    """Accepts connections in a thread until it is closed."""

    def __init__(self) -> None:
        self.port = 0
        self.connections: list[socket.socket] = []
        self.bodies: list[str] = []
        self.changed = threading.Condition()
        self.start()

    def start(self) -> None:
        """Listen, after a crash at the same port as before."""
        self.listener = socket.create_server(("127.0.0.1", self.port))
        self.port = self.listener.getsockname()[1]
        threading.Thread(
            target=self.serve, args=(self.listener,), daemon=True
        ).start()

    def serve(self, listener: socket.socket) -> None:
        """Read one request from each connection."""
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self.read, args=(connection,), daemon=True
            ).start()

    def read(self, connection: socket.socket) -> None:
        """Read a request whose body has no line break."""
        data = b""
        while b"\r\n\r\n" not in data or data.endswith(b"\r\n\r\n"):
            received = connection.recv(4096)
            if not received:
                return
            data += received
        with self.changed:
            self.connections.append(connection)
            self.bodies.append(data.rpartition(b"\r\n\r\n")[2].decode())
            self.changed.notify_all()

    def wait_for_requests(self, count: int, wait_s: float = WAIT_S) -> bool:
        """Wait for a number of requests; return whether they have come."""
        with self.changed:
            return self.changed.wait_for(
                lambda: len(self.bodies) >= count, wait_s
            )

    def drop_connections(self) -> None:
        """Close the connections without a response."""
        with self.changed:
            for connection in self.connections:
                connection.shutdown(socket.SHUT_RDWR)
                connection.close()
            self.connections.clear()

    def crash(self) -> None:
        """Stop listening and close all connections."""
        self.close()
        self.drop_connections()

    def close(self) -> None:
        """Stop listening."""
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            return
        finally:
            self.listener.close()
