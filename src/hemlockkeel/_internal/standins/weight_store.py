"""Simulated weight store with a fixed total bandwidth."""

import threading
import time

from hemlockkeel._internal.utils import http

# Fraction of a load; absorbs rounding errors of the remaining fraction.
COMPLETION_TOLERANCE = 1e-9


class WeightStore:
    """Serves loads at ``loads_per_second`` in total.

    A load on its own takes ``1 / loads_per_second`` seconds; concurrent loads
    share the bandwidth evenly.
    """

    def __init__(self, loads_per_second: float) -> None:
        self.loads_per_second = loads_per_second
        # Fraction of each load that is still to be transferred.
        self.remaining: dict[int, float] = {}
        self.updated_at = time.monotonic()
        self.changed = threading.Condition()
        self.next_id = 0
        self.loads = 0
        self.max_concurrent = 0

    def fetch(self) -> float:
        """Fetch one adapter's weights; return the seconds it took."""
        started_at = time.monotonic()
        with self.changed:
            self.update_progress()
            load_id = self.next_id
            self.next_id += 1
            self.loads += 1
            self.remaining[load_id] = 1.0
            self.max_concurrent = max(self.max_concurrent, len(self.remaining))
            self.changed.notify_all()
            while self.remaining[load_id] > COMPLETION_TOLERANCE:
                rate = self.loads_per_second / len(self.remaining)
                self.changed.wait(self.remaining[load_id] / rate)
                self.update_progress()
            del self.remaining[load_id]
            self.changed.notify_all()
        return time.monotonic() - started_at

    def update_progress(self) -> None:
        """Subtract what was transferred since the last call."""
        now = time.monotonic()
        elapsed, self.updated_at = now - self.updated_at, now
        if not self.remaining:
            return
        done = elapsed * self.loads_per_second / len(self.remaining)
        for load_id in self.remaining:
            self.remaining[load_id] = max(0.0, self.remaining[load_id] - done)


class WeightStoreApp:
    """WSGI application: GET /weights/NAME returns once the load is done."""

    def __init__(self, store: WeightStore) -> None:
        self.store = store

    def __call__(
        self, environ: http.Environ, start_response: http.StartResponse
    ) -> http.Body:
        path = http.get_path(environ)
        if path.startswith("/weights/"):
            seconds = self.store.fetch()
            body = {"seconds": seconds}
            return http.send(
                http.make_json_response(200, body), start_response
            )
        if path == "/stats":
            body = {
                "loads": self.store.loads,
                "max_concurrent": self.store.max_concurrent,
            }
            return http.send(
                http.make_json_response(200, body), start_response
            )
        response = http.make_error_response(
            404, "not_found", f"no route for {path}"
        )
        return http.send(response, start_response)
