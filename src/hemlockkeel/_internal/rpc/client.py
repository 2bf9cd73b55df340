"""Thrift client with a connection pool and a deadline for each call."""

import collections.abc
import contextlib
import socket
import threading
import time
import typing

from thrift import Thrift
from thrift.protocol import TProtocol

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.rpc import auth
from hemlockkeel._internal.rpc import frames
from hemlockkeel._internal.rpc.gen.hk import ttypes

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 8
# Exceptions that `RpcClient.call` raises.
CALL_ERRORS = (
    exceptions.UnreachableError,
    exceptions.InterruptedCallError,
    ttypes.RpcFault,
)


class Connection:
    """A connection to a server and the thrift client that uses it."""

    def __init__(self, sock: socket.socket, make_client: typing.Any) -> None:
        self.sock = sock
        self.transport = frames.FrameTransport(sock)
        self.protocol = frames.ReplyProtocol(self.transport)
        self.stub = make_client(self.protocol)

    def close(self) -> None:
        """Close the socket."""
        with contextlib.suppress(OSError):
            self.sock.close()

    def is_stale(self) -> bool:
        """Return whether this idle connection can no longer be used."""
        self.sock.setblocking(False)
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        # The peer closed the connection, or sent data without a call.
        return True


def parse_address(address: str) -> tuple[str, int]:
    """Parse ``host:port``.

    :raises BadSettingError: when the address has another form.
    """
    host, separator, port = address.rpartition(":")
    if not separator or not host or not port.isdigit():
        raise exceptions.BadSettingError(
            f"'{address}' is not an address; write it as host:port"
        )
    return host, int(port)


class RpcClient:
    """Calls methods of the thrift service at one address; thread-safe."""

    def __init__(
        self,
        make_client: collections.abc.Callable[..., typing.Any],
        address: str,
        secret: str,
        peer_id: str,
    ) -> None:
        self.make_client = make_client
        self.address = address
        self.secret = secret
        self.peer_id = peer_id
        self.idle: list[Connection] = []
        self.lock = threading.Lock()
        self.closed = False

    def call(
        self, method: str, *args: object, timeout_s: float = 2.0
    ) -> typing.Any:
        """Call a method and return its result.

        :raises UnreachableError: when the call was not sent.
        :raises InterruptedCallError: when the call may have been sent but no
            valid reply was received within ``timeout_s`` seconds.
        :raises RpcFault: when the server refused the call.
        """
        deadline = time.monotonic() + timeout_s
        connection = self.acquire_connection(deadline)
        connection.transport.deadline = deadline
        connection.transport.sent = False
        try:
            reply = getattr(connection.stub, method)(*args)
        except ttypes.RpcFault:
            self.release_connection(connection)
            raise
        except (
            OSError,
            EOFError,
            frames.PeerClosedError,
            frames.FrameTooLargeError,
            Thrift.TException,
            TProtocol.TProtocolException,
        ) as error:
            sent = connection.transport.sent
            connection.close()
            reason = str(error) or type(error).__name__
            text = f"call of {method} at {self.address} failed: {reason}"
            if not sent:
                raise exceptions.UnreachableError(text) from error
            raise exceptions.InterruptedCallError(text) from error
        self.release_connection(connection)
        return reply

    def acquire_connection(self, deadline: float) -> Connection:
        """Return an idle connection, or open one if there is none.

        :raises UnreachableError: when no connection can be opened.
        """
        while True:
            with self.lock:
                connection = self.idle.pop() if self.idle else None
            if connection is None:
                return self.connect(deadline)
            if not connection.is_stale():
                return connection
            connection.close()

    def release_connection(self, connection: Connection) -> None:
        """Return a connection to the pool; close it if the pool is full."""
        with self.lock:
            if not self.closed and len(self.idle) < MAX_IDLE_CONNECTIONS:
                self.idle.append(connection)
                return
        connection.close()

    def connect(self, deadline: float) -> Connection:
        """Open a connection and authenticate.

        :raises UnreachableError: when either fails.
        """
        connect_deadline = min(deadline, time.monotonic() + CONNECT_TIMEOUT_S)
        try:
            sock = socket.create_connection(
                parse_address(self.address),
                frames.get_remaining_s(connect_deadline),
            )
        except OSError as error:
            raise exceptions.UnreachableError(
                f"cannot connect to {self.address}: {error}"
            ) from error
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(sock, self.make_client)
        connection.transport.deadline = connect_deadline
        try:
            self.authenticate(connection)
        except ttypes.RpcFault as fault:
            connection.close()
            raise exceptions.UnreachableError(
                f"{self.address} refused the connection: {fault.message}"
            ) from fault
        except (OSError, frames.PeerClosedError, Thrift.TException) as error:
            connection.close()
            raise exceptions.UnreachableError(
                f"handshake with {self.address} failed: {error}"
            ) from error
        return connection

    def authenticate(self, connection: Connection) -> None:
        """Prove to the server that this client knows the shared secret."""
        challenge = connection.stub.challenge()
        version = auth.PROTOCOL_VERSION
        proof = auth.make_proof(self.secret, challenge, self.peer_id, version)
        connection.stub.hello(ttypes.Hello(version, self.peer_id, proof))

    def close(self) -> None:
        """Close the pool; connections in use are closed after their call."""
        with self.lock:
            self.closed = True
            connections, self.idle = self.idle, []
        for connection in connections:
            connection.close()


class ClientCache:
    """Clients by address, created on first use."""

    def __init__(
        self,
        make_client: collections.abc.Callable[..., typing.Any],
        secret: str,
        peer_id: str,
    ) -> None:
        self.make_client = make_client
        self.secret = secret
        self.peer_id = peer_id
        self.clients: dict[str, RpcClient] = {}
        self.lock = threading.Lock()

    def get(self, address: str) -> RpcClient:
        """Return the client for an address."""
        with self.lock:
            client = self.clients.get(address)
            if client is None:
                client = RpcClient(
                    self.make_client, address, self.secret, self.peer_id
                )
                self.clients[address] = client
            return client

    def close(self) -> None:
        """Close all clients."""
        with self.lock:
            clients, self.clients = list(self.clients.values()), {}
        for client in clients:
            client.close()
