"""Pauses that a server asks for by 503 and Retry-After, for threads."""

import http.client
import threading
import time

from hemlockkeel._internal.utils import logs
from hemlockkeel._internal.utils import retry_after


class Pause:
    """The time in which a server wants no requests."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        # Monotonic time, seconds.
        self.ends_at = float("-inf")

    def record_response(self, response: http.client.HTTPResponse) -> None:
        """Begin or prolong the pause if a response asks for one."""
        if response.status != http.HTTPStatus.SERVICE_UNAVAILABLE:
            return
        head = [
            (key.encode("latin-1"), value.encode("latin-1", "replace"))
            for key, value in response.getheaders()
        ]
        requested = retry_after.read(head, time.time())
        if requested.invalid:
            logs.log_event("retry_after_invalid", values=requested.invalid)
        if requested.delay_s is None:
            return
        with self.lock:
            ends_at = time.monotonic() + requested.delay_s
            self.ends_at = max(self.ends_at, ends_at)

    def get_remaining_s(self) -> float:
        """Return the rest of the pause in seconds; 0 without one."""
        with self.lock:
            return max(0.0, self.ends_at - time.monotonic())
