"""A loopback TCP proxy that injects network faults."""

import asyncio
import contextlib
import enum
import random

CHUNK_BYTES = 65536
CONNECT_TIMEOUT_S = 1.0


class Direction(enum.Enum):
    """Direction in which bytes pass through a proxy."""

    TO_TARGET = "to_target"
    TO_CLIENT = "to_client"


class Proxy:
    """Forwards connections to a target, with faults if told to."""

    def __init__(self, name: str, rng: random.Random) -> None:
        self.name = name
        self.rng = rng
        self.target = ("", 0)
        self.server: asyncio.Server | None = None
        self.connections: set[tuple[asyncio.StreamWriter, ...]] = set()
        # Mean delay of a chunk of data, seconds.
        self.delay_s = 0.0
        # Directions in which data is held back until the proxy is healed.
        self.blocked: set[Direction] = set()
        # Connections that stay open while their data is dropped.
        self.dropping: set[tuple[asyncio.StreamWriter, ...]] = set()
        self.unblocked = asyncio.Event()
        self.unblocked.set()

    async def start(
        self, host: str, port: int, target: tuple[str, int]
    ) -> None:
        """Listen at an address and forward connections to a target."""
        self.target = target
        self.server = await asyncio.start_server(self.serve, host, port)

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        self.reset()
        self.heal()
        if self.server is not None:
            self.server.close()

    # Faults

    def reset(self) -> None:
        """Reset all connections."""
        for connection in list(self.connections):
            for writer in connection:
                writer.transport.abort()

    def drop_data(self) -> None:
        """Drop all further data of the present connections."""
        self.dropping |= self.connections

    def block(self, *directions: Direction) -> None:
        """Hold back the data of some directions until healed.

        New connections wait as well.
        """
        self.blocked.update(directions)
        self.unblocked.clear()

    def heal(self) -> None:
        """End delays and blocking; drop the same connections' data further."""
        self.delay_s = 0.0
        self.blocked.clear()
        self.unblocked.set()

    # Connections

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection in both directions."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                while self.blocked:
                    await self.unblocked.wait()
                target_reader, target_writer = await asyncio.open_connection(
                    *self.target
                )
        except (OSError, TimeoutError):
            writer.transport.abort()
            return
        connection = (writer, target_writer)
        self.connections.add(connection)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self.forward(
                        reader, target_writer, connection, Direction.TO_TARGET
                    )
                )
                group.create_task(
                    self.forward(
                        target_reader, writer, connection, Direction.TO_CLIENT
                    )
                )
        except* (OSError, asyncio.CancelledError):
            for each in connection:
                each.transport.abort()
        finally:
            self.connections.discard(connection)
            self.dropping.discard(connection)
            for each in connection:
                each.close()

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: tuple[asyncio.StreamWriter, ...],
        direction: Direction,
    ) -> None:
        """Forward one direction of a connection."""
        while data := await reader.read(CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.rng.uniform(0.0, 2 * self.delay_s))
            while direction in self.blocked:
                await self.unblocked.wait()
            if connection in self.dropping:
                continue
            writer.write(data)
            await writer.drain()
        if connection not in self.dropping:
            with contextlib.suppress(OSError):
                writer.write_eof()
