"""Thrift server with a thread pool, one thread per connection.

Frames are limited in size, and a peer has to authenticate before it may call
any other method.
"""

import collections.abc
import concurrent.futures
import contextlib
import socket
import threading
import typing

from thrift.transport import TTransport

from hemlockkeel._internal.rpc import auth
from hemlockkeel._internal.rpc import frames
from hemlockkeel._internal.rpc.gen.hk import ttypes
from hemlockkeel._internal.utils import logs
from hemlockkeel._internal.utils import metrics
from hemlockkeel._internal.utils import supervision

HANDSHAKE_TIMEOUT_S = 5.0
ACCEPT_BACKLOG = 256
HANDSHAKE_METHODS = frozenset(["challenge", "hello"])


class NotAuthenticatedError(Exception):
    """A peer called a method before it was authenticated."""


class Processor(typing.Protocol):
    """The part of a generated thrift processor that the server uses."""

    def process(self, iprot: typing.Any, oprot: typing.Any) -> object:
        """Handle one call."""

    def on_message_begin(
        self, func: collections.abc.Callable[[str, int, int], None]
    ) -> None:
        """Set a callback that gets each call's name before it is handled."""


class Handshake:
    """Authentication of one connection; serves the handshake methods."""

    def __init__(self, secret: str) -> None:
        self.secret = secret
        self.challenge_value = auth.make_challenge()
        self.peer_id = ""
        self.authenticated = False

    def challenge(self) -> bytes:
        """Return the challenge of this connection."""
        return self.challenge_value

    def hello(self, hello: ttypes.Hello) -> None:
        """Authenticate the peer by its protocol version and proof.

        :raises RpcFault: when the version differs or the proof is invalid.
        """
        if hello.protocol_version != auth.PROTOCOL_VERSION:
            raise make_fault(
                "protocol",
                f"this process uses protocol version {auth.PROTOCOL_VERSION}, "
                f"the caller version {hello.protocol_version}; upgrade the "
                "older one",
            )
        valid = auth.verify_proof(
            self.secret,
            self.challenge_value,
            hello.peer_id,
            hello.protocol_version,
            hello.proof,
        )
        if not valid:
            raise make_fault(
                "secret",
                "the caller's shared secret differs; set the same "
                "HEMLOCKKEEL_SECRET on every instance",
            )
        self.peer_id = hello.peer_id
        self.authenticated = True

    def check_method(self, name: str, kind: int, sequence: int) -> None:
        """Check that the connection may call a method.

        :raises NotAuthenticatedError: when the peer is not authenticated and
            the method is not part of the handshake.
        """
        if self.authenticated or name in HANDSHAKE_METHODS:
            return
        raise NotAuthenticatedError(name)


class ConnectionHandler:
    """Service handler of one connection: the service plus the handshake."""

    def __init__(self, handshake: Handshake, service: object) -> None:
        self.handshake = handshake
        self.service = service
        self.challenge = handshake.challenge
        self.hello = handshake.hello

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self.service, name)


def make_fault(
    code: str,
    message: str,
    verdict: int = ttypes.Verdict.NOT_RUN,
    leader: str | None = None,
    retry_after_ms: int | None = None,
) -> ttypes.RpcFault:
    """Return an `RpcFault` for a service handler to raise.

    ``leader`` is the address of the control leader, if the called member is
    not the leader and knows it.
    """
    return ttypes.RpcFault(code, message, verdict, leader, retry_after_ms)


class RpcServer:
    """Serves a thrift service on a TCP address.

    At most ``max_connections`` are open; further ones are closed at once.
    """

    def __init__(
        self,
        make_processor: collections.abc.Callable[[object], Processor],
        service: object,
        secret: str,
        host: str,
        port: int,
        max_connections: int,
        counters: metrics.Metrics,
    ) -> None:
        self.make_processor = make_processor
        self.service = service
        self.secret = secret
        self.counters = counters
        self.max_connections = max_connections
        self.listener = socket.create_server(
            (host, port), backlog=ACCEPT_BACKLOG
        )
        self.host, self.port = self.listener.getsockname()[:2]
        self.executor = concurrent.futures.ThreadPoolExecutor(
            max_connections, f"rpc-{self.port}"
        )
        self.connections: set[socket.socket] = set()
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.accept_thread = threading.Thread(
            target=supervision.keep_thread_running,
            args=(self.accept_connections, self.stopping),
            daemon=True,
        )

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return f"{self.host}:{self.port}"

    def start(self) -> None:
        """Start accepting connections."""
        self.accept_thread.start()

    def stop(self) -> None:
        """Stop accepting and close every connection."""
        self.stopping.set()
        # close() alone does not interrupt a thread that waits in accept().
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        with self.lock:
            open_connections = list(self.connections)
        for connection in open_connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        self.executor.shutdown(wait=False, cancel_futures=True)

    def accept_connections(self) -> None:
        """Accept connections and serve them in the pool until `stop`.

        :raises OSError: when a connection cannot be accepted, for example
            for lack of descriptors.
        """
        while not self.stopping.is_set():
            try:
                connection, _ = self.listener.accept()
            except OSError:
                if self.stopping.is_set():
                    return
                raise
            if not self.register_connection(connection):
                connection.close()
                continue
            try:
                self.executor.submit(self.serve, connection)
            except RuntimeError:
                connection.close()
                return

    def register_connection(self, connection: socket.socket) -> bool:
        """Add a connection; return False if the limit is reached."""
        with self.lock:
            if len(self.connections) >= self.max_connections:
                self.counters.count(metrics.Counter.RPC_REJECTED)
                return False
            self.connections.add(connection)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return True

    def serve(self, connection: socket.socket) -> None:
        """Serve the calls of a connection until it is closed."""
        handshake = Handshake(self.secret)
        processor = self.make_processor(
            ConnectionHandler(handshake, self.service)
        )
        processor.on_message_begin(handshake.check_method)
        try:
            connection.settimeout(HANDSHAKE_TIMEOUT_S)
            while not self.stopping.is_set():
                self.serve_call(connection, processor)
                if handshake.authenticated:
                    connection.settimeout(None)
        except (frames.PeerClosedError, OSError):
            pass
        except NotAuthenticatedError:
            self.counters.count(metrics.Counter.RPC_REJECTED)
        except Exception as error:
            # Invalid data may raise any exception inside thrift's decoder.
            self.counters.count(metrics.Counter.RPC_BAD_FRAMES)
            logs.log_event("rpc_bad_frame", fault=type(error).__name__)
        finally:
            with self.lock:
                self.connections.discard(connection)
            connection.close()

    def serve_call(
        self, connection: socket.socket, processor: Processor
    ) -> None:
        """Receive a call, process it and send the reply."""
        payload = frames.receive_frame(connection)
        reply = TTransport.TMemoryBuffer()
        processor.process(
            frames.make_protocol(TTransport.TMemoryBuffer(payload)),
            frames.make_protocol(reply),
        )
        frames.send_frame(connection, reply.getvalue())
