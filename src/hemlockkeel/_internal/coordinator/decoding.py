"""Memory that the decoding of large calls may take."""

import asyncio
import collections.abc
import contextlib
import http

from hemlockkeel._internal.coordinator import api
from hemlockkeel._internal.utils import process_budget

# Memory of what a character of JSON stands for: an object, a list, an item
# and half of a string. Four megabytes of objects in a list take 125 MiB.
DECODED_BYTES = {b"{": 150, b"[": 80, b",": 30, b'"': 15}


def estimate_decoded_bytes(body: bytes) -> int:
    """Return about how much memory a decoded JSON value takes at most."""
    return sum(
        body.count(character) * size
        for character, size in DECODED_BYTES.items()
    )


class DecodingMemory(process_budget.Owner):
    """Reserves the memory for decoding one large call at a time."""

    def __init__(self, budget: process_budget.ProcessBudget) -> None:
        self.budget = budget
        self.holder = budget.add(self)
        budget.set_activity(self.holder, process_budget.Activity.RUNNING)
        self.lock = asyncio.Lock()

    def shed(self) -> None:
        """Do nothing: the call is being decoded."""

    @contextlib.asynccontextmanager
    async def reserve(
        self, body: bytes
    ) -> collections.abc.AsyncIterator[None]:
        """Reserve the memory for a call.

        :raises BadCallError: when there is not enough; the call has not run.
        """
        async with self.lock:
            size = estimate_decoded_bytes(body)
            if not self.budget.try_resize(self.holder, size):
                raise api.BadCallError(
                    http.HTTPStatus.SERVICE_UNAVAILABLE,
                    "no memory left to decode this call",
                )
            try:
                yield
            finally:
                self.budget.resize(self.holder, 0)
