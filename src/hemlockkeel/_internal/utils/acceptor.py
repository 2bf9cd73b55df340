"""Accepts connections on a TCP port, within a limit."""

import asyncio
import collections.abc
import errno
import socket

from hemlockkeel._internal.utils import process_budget

# Connections accepted before other events are handled, so that those closed
# for them return their descriptors first.
ACCEPTED_PER_TURN = 8
# Pause after the process or the machine ran out of descriptors.
RETRY_AFTER_S = 0.1
NO_RESOURCES = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
)


class Acceptor:
    """Listens on an address until it is closed.

    A connection beyond the limit is closed after ``refusal`` has been sent.
    """

    def __init__(
        self,
        make_protocol: collections.abc.Callable[[], asyncio.BaseProtocol],
        limit: process_budget.ConnectionLimit,
        refusal: bytes = b"",
    ) -> None:
        self.make_protocol = make_protocol
        self.limit = limit
        self.refusal = refusal
        self.loop = asyncio.get_running_loop()
        self.sockets: list[socket.socket] = []
        self.tasks: set[asyncio.Task[object]] = set()

    async def start(self, host: str, port: int, backlog: int) -> None:
        """Listen on an address.

        :raises OSError: when it cannot be bound.
        """
        for family, kind, protocol, _, address in await self.loop.getaddrinfo(
            host, port, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE
        ):
            sock = socket.socket(family, kind, protocol)
            self.sockets.append(sock)
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sock.setblocking(False)
                sock.bind(address)
                sock.listen(backlog)
            except OSError:
                self.close()
                raise
            self.loop.add_reader(sock, self.accept, sock)

    async def accept_waiting(self) -> None:
        """Accept all connections that wait, and attach them."""
        for sock in self.sockets:
            while self.accept(sock):
                continue
        if self.tasks:
            await asyncio.wait(self.tasks)

    def accept(self, listening: socket.socket) -> bool:
        """Accept some connections; return whether more may wait."""
        for _ in range(ACCEPTED_PER_TURN):
            try:
                sock, _ = listening.accept()
            except (BlockingIOError, InterruptedError, ConnectionError):
                return False
            except OSError as error:
                if error.errno not in NO_RESOURCES:
                    raise
                self.loop.remove_reader(listening)
                self.loop.call_later(RETRY_AFTER_S, self.resume, listening)
                return False
            sock.setblocking(False)
            if not self.limit.make_room():
                self.refuse(sock)
                continue
            task: asyncio.Task[object] = self.loop.create_task(
                self.loop.connect_accepted_socket(  # type: ignore[arg-type]
                    self.make_protocol, sock
                )
            )
            self.tasks.add(task)
            self.limit.pending += 1
            task.add_done_callback(self.on_connected)
        return True

    def on_connected(self, task: asyncio.Task[object]) -> None:
        """Forget a connection that counts as a holder, or has failed."""
        self.tasks.discard(task)
        self.limit.pending -= 1
        if not task.cancelled() and task.exception() is not None:
            self.loop.call_exception_handler(
                {
                    "message": "connection not accepted",
                    "exception": task.exception(),
                }
            )

    def refuse(self, sock: socket.socket) -> None:
        """Close a connection beyond the limit."""
        try:
            sock.send(self.refusal)
        except OSError:
            return
        finally:
            sock.close()

    def resume(self, listening: socket.socket) -> None:
        """Accept again, unless the socket was closed meanwhile."""
        if listening in self.sockets:
            self.loop.add_reader(listening, self.accept, listening)

    def close(self) -> None:
        """Stop listening; accepted connections stay open."""
        for sock in self.sockets:
            self.loop.remove_reader(sock)
            sock.close()
        self.sockets = []
