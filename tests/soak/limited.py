"""Runs a program of the platform with the limits of a control machine.

``HEMLOCKKEEL_SOAK_SYNC_S`` is the time that each sync of a file takes besides,
in seconds.
"""

import os
import resource
import runpy
import time

SYNC_DELAY_VARIABLE = "HEMLOCKKEEL_SOAK_SYNC_S"
MAX_MEMORY_BYTES = 296_000_000
MAX_FILE_BYTES = 128_000_000


def limit_resources() -> None:
    """Limit the address space and the size of files."""
    for kind, most in (
        (resource.RLIMIT_AS, MAX_MEMORY_BYTES),
        (resource.RLIMIT_FSIZE, MAX_FILE_BYTES),
    ):
        resource.setrlimit(kind, (most, most))


def slow_down_syncs(delay_s: float) -> None:
    """Let each sync of a file take longer."""
    sync = os.fsync

    def sync_slowly(descriptor: int) -> None:
        time.sleep(delay_s)
        sync(descriptor)

    os.fsync = sync_slowly  # type: ignore[assignment]


if __name__ == "__main__":
    limit_resources()
    slow_down_syncs(float(os.environ[SYNC_DELAY_VARIABLE]))
    runpy.run_module("hemlockkeel.platform", run_name="__main__")
