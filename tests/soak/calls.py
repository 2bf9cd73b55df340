"""Calls of operators and targets."""

import asyncio
import http.client

CALL_TIMEOUT_S = 1.0


async def call(
    address: tuple[str, int], method: str, path: str, body: bytes = b""
) -> tuple[int, bytes]:
    """Return status and body of an answer; status 0 when there is none."""
    return await asyncio.to_thread(call_blocking, address, method, path, body)


def call_blocking(
    address: tuple[str, int], method: str, path: str, body: bytes
) -> tuple[int, bytes]:
    """Make a call on a connection of its own."""
    connection = http.client.HTTPConnection(*address, timeout=CALL_TIMEOUT_S)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()
