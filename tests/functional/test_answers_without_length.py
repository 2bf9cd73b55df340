"""Responses without length or chunks, which end with the connection."""

import asyncio
import socket
import struct

from tests.functional import test_relay
from tests.lib import fake_target

HEAD = b"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n"
STREAM_HEAD = HEAD + b"Content-Type: text/event-stream\r\n\r\n"
EVENT = b"id: 1\ndata: a\n\n"
# The end of a chunked body, which marks a forwarded stream as complete.
LAST_CHUNK = b"0\r\n\r\n"


def make_handler(
    data: bytes, reset: bool = False
) -> fake_target.RequestHandler:
    """Return a handler that writes a response and closes or resets."""

    async def respond(target, request, writer) -> bool:  # type: ignore
        writer.write(data)
        await writer.drain()
        if reset:
            # The entry reads what was written before.
            await asyncio.sleep(0.1)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        return False

    return respond


class TestAnswersWithoutLength(test_relay.RelayCase):
    """Which of them count as complete."""

    async def get_response(
        self, kind: str, data: bytes, reset: bool = False
    ) -> bytes:
        """Return what a caller gets from a target that writes ``data``."""
        self.configure()
        await self.add_target(make_handler(data, reset))
        return await self.send_request(kind)

    async def test_stream_that_ends_after_an_event_is_complete(self) -> None:
        response = await self.get_response("stream", STREAM_HEAD + EVENT)
        self.assertIn(EVENT, response)
        self.assertTrue(response.endswith(LAST_CHUNK), response)

    async def test_stream_that_ends_inside_an_event_is_broken_off(
        self,
    ) -> None:
        response = await self.get_response(
            "stream", STREAM_HEAD + EVENT + b"id: 2\nda"
        )
        self.assertIn(EVENT, response)
        self.assertNotIn(b"id: 2", response)
        self.assertFalse(response.endswith(LAST_CHUNK), response)

    async def test_stream_that_is_reset_is_broken_off(self) -> None:
        response = await self.get_response("stream", STREAM_HEAD + EVENT, True)
        self.assertIn(EVENT, response)
        self.assertFalse(response.endswith(LAST_CHUNK), response)

    async def test_stream_without_any_event_is_broken_off(self) -> None:
        response = await self.get_response("stream", STREAM_HEAD)
        self.assertTrue(response.startswith(b"HTTP/1.1 502"), response)

    async def test_body_that_is_closed_is_complete(self) -> None:
        response = await self.get_response("once", HEAD + b"\r\nwhole")
        self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)
        self.assertTrue(response.endswith(b"whole"), response)

    async def test_body_that_is_reset_is_broken_off(self) -> None:
        response = await self.get_response("once", HEAD + b"\r\nwho", True)
        self.assertTrue(response.startswith(b"HTTP/1.1 502"), response)

    async def test_broken_stream_to_an_http_1_0_caller_is_reset(self) -> None:
        self.configure()
        await self.add_target(make_handler(STREAM_HEAD + EVENT + b"id: 2"))
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.transport.abort)
        writer.write(
            b"POST /stream/x HTTP/1.0\r\nHost: a.example\r\n"
            b"X-Request-Id: r1\r\nContent-Length: 0\r\n\r\n"
        )
        with self.assertRaises(ConnectionError):
            await reader.read()
