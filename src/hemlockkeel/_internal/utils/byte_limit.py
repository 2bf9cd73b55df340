"""A limit on the bytes that several threads hold together."""

import threading


class ByteLimit:
    """Counts bytes up to a limit; safe for use by threads."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.lock = threading.Lock()

    def try_acquire(self, count: int) -> bool:
        """Count bytes unless they exceed the limit; return whether."""
        with self.lock:
            if self.held_bytes + count > self.max_bytes:
                return False
            self.held_bytes += count
            return True

    def release(self, count: int) -> None:
        """Stop to count bytes."""
        with self.lock:
            self.held_bytes -= count
