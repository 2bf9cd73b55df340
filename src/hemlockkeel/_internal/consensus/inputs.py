"""Queue of the consensus thread, bounded in bytes."""

import queue
import threading
import typing

_Item = typing.TypeVar("_Item")


class InputQueue(typing.Generic[_Item]):
    """Items for one consumer, with the sizes of their data.

    Items without data, such as heartbeats and votes, always fit.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.queued_bytes = 0
        self.lock = threading.Lock()
        self.items: queue.SimpleQueue[tuple[_Item, int]] = queue.SimpleQueue()

    def put(self, item: _Item, size: int = 0) -> bool:
        """Queue an item with ``size`` bytes; return whether it fits."""
        with self.lock:
            if size and self.queued_bytes + size > self.max_bytes:
                return False
            self.queued_bytes += size
        self.items.put((item, size))
        return True

    def get(self, timeout_s: float) -> tuple[_Item, int]:
        """Wait for an item and return it with its size.

        :raises queue.Empty: when there is none in time.
        """
        return self.remove(self.items.get(timeout=timeout_s))

    def get_nowait(self) -> tuple[_Item, int]:
        """Return the next item with its size.

        :raises queue.Empty: when there is none.
        """
        return self.remove(self.items.get_nowait())

    def remove(self, found: tuple[_Item, int]) -> tuple[_Item, int]:
        """Stop counting the bytes of an item that was taken."""
        with self.lock:
            self.queued_bytes -= found[1]
        return found
