"""Measures what entry and agent add to direct calls of a stand-in engine.

``python -m hemlockkeel_bench.path`` prints rate and latency both ways as JSON.
"""

import concurrent.futures
import contextlib
import http.client
import json
import threading
import time
import typing
import urllib.parse

import typer

from hemlockkeel._internal.standins import dev
from hemlockkeel._internal.standins import engine
from hemlockkeel_bench import declare
from hemlockkeel_bench import histograms

REQUEST_TIMEOUT_S = 60.0
TOKENS = 8
MODEL = "club-0001@1"


class CallerConnection:
    """The connection of one caller thread."""

    def __init__(self, url: str) -> None:
        parts = urllib.parse.urlsplit(url)
        self.connection = http.client.HTTPConnection(
            parts.hostname or "", parts.port, timeout=REQUEST_TIMEOUT_S
        )

    def complete(self, body: dict[str, typing.Any]) -> int:
        """Send one completion request and return the response's status."""
        data = json.dumps(body).encode()
        self.connection.request("POST", "/v1/completions", data)
        response = self.connection.getresponse()
        response.read()
        return response.status


def measure_completions(
    url: str, requests: int, callers: int
) -> dict[str, float | int]:
    """Send requests from concurrent callers and return rate and latency."""
    durations = histograms.DurationHistogram()
    failures = 0
    local = threading.local()

    def send(number: int) -> int:
        if not hasattr(local, "caller"):
            local.caller = CallerConnection(url)
        body = {
            "model": MODEL,
            "prompt": f"prompt {number}",
            "max_tokens": TOKENS,
        }
        sent_at = time.monotonic()
        status: int = local.caller.complete(body)
        durations.record(time.monotonic() - sent_at)
        return status

    started_at = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(callers) as executor:
        for status in executor.map(send, range(requests)):
            failures += status != http.client.OK
    elapsed_s = time.monotonic() - started_at
    return {
        "requests": requests,
        "callers": callers,
        "failures": failures,
        "requests_per_s": round(requests / elapsed_s, 1),
        "p50_s": durations.get_percentile_s(50),
        "p99_s": durations.get_percentile_s(99),
    }


def main(requests: int = 400, step_ms: float = 2.0) -> None:
    """Measure direct calls and calls through an entry, by 1 and 8 callers."""
    options = engine.EngineOptions(
        base_model="scribe-7b",
        step_s=step_ms / 1000.0,
        batch_slots=16,
        # Direct calls carry no fencing token.
        obeys_fencing=False,
    )
    cluster = dev.DevCluster(
        dev.DevSettings(engines=1, plain_services=0, engine_options=options)
    )
    cluster.start()
    with contextlib.ExitStack() as stack:
        stack.callback(cluster.stop)
        declare.apply_single_deployment(cluster)
        entry_url = cluster.entries[0].url
        engine_url = f"http://{cluster.targets[0].server.address}"
        measure_completions(entry_url, 20, 2)
        results = {}
        for callers in (1, 8):
            direct = measure_completions(engine_url, requests, callers)
            path = measure_completions(entry_url, requests, callers)
            results[f"callers_{callers}"] = {
                "direct": direct,
                "path": path,
                "added_p50_s": round(path["p50_s"] - direct["p50_s"], 6),
                "added_p99_s": round(path["p99_s"] - direct["p99_s"], 6),
            }
    print(json.dumps(results))


if __name__ == "__main__":
    typer.run(main)
