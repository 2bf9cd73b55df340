"""A loopback proxy that harms the connections that pass through it."""

import asyncio
import contextlib
import enum
import random

CHUNK_BYTES = 65536
CONNECT_TIMEOUT_S = 1.0


class Direction(enum.Enum):
    """Which way bytes go."""

    THERE = "there"
    BACK = "back"


class Proxy:
    """Forwards an address to another, as well as it is told to."""

    def __init__(self, name: str, rng: random.Random) -> None:
        self.name = name
        self.rng = rng
        self.target = ("", 0)
        self.server: asyncio.Server | None = None
        self.pairs: set[tuple[asyncio.StreamWriter, ...]] = set()
        # Added to every chunk, seconds.
        self.delay_s = 0.0
        # Ways in which bytes are held back.
        self.cut: set[Direction] = set()
        # Connections of before that stay open and silent.
        self.silenced: set[tuple[asyncio.StreamWriter, ...]] = set()
        self.mended = asyncio.Event()
        self.mended.set()

    async def start(
        self, host: str, port: int, target: tuple[str, int]
    ) -> None:
        """Listen at an address for connections to a target."""
        self.target = target
        self.server = await asyncio.start_server(self.serve, host, port)

    async def stop(self) -> None:
        """Stop listening and end all connections."""
        self.reset()
        self.heal()
        if self.server is not None:
            self.server.close()

    # Faults

    def reset(self) -> None:
        """Break all connections with a reset."""
        for pair in list(self.pairs):
            for writer in pair:
                writer.transport.abort()

    def silence(self) -> None:
        """Let the connections of now carry nothing any more."""
        self.silenced |= self.pairs

    def hold_back(self, *directions: Direction) -> None:
        """Hold bytes back that go a way, until healed."""
        self.cut.update(directions)
        self.mended.clear()

    def heal(self) -> None:
        """Carry everything again; silent connections stay silent."""
        self.delay_s = 0.0
        self.cut.clear()
        self.mended.set()

    # Connections

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carry one connection."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                while self.cut:
                    await self.mended.wait()
                far_reader, far_writer = await asyncio.open_connection(
                    *self.target
                )
        except (OSError, TimeoutError):
            writer.transport.abort()
            return
        pair = (writer, far_writer)
        self.pairs.add(pair)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self.carry(reader, far_writer, pair, Direction.THERE)
                )
                group.create_task(
                    self.carry(far_reader, writer, pair, Direction.BACK)
                )
        except* (OSError, asyncio.CancelledError):
            for end in pair:
                end.transport.abort()
        finally:
            self.pairs.discard(pair)
            self.silenced.discard(pair)
            for end in pair:
                end.close()

    async def carry(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pair: tuple[asyncio.StreamWriter, ...],
        direction: Direction,
    ) -> None:
        """Carry one way of a connection."""
        while data := await reader.read(CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.rng.uniform(0.0, 2 * self.delay_s))
            while direction in self.cut:
                await self.mended.wait()
            if pair in self.silenced:
                continue
            writer.write(data)
            await writer.drain()
        if pair not in self.silenced:
            with contextlib.suppress(OSError):
                writer.write_eof()
