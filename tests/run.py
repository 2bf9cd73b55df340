"""Runs every test module, several in parallel: ``python -m tests.run``.

The last line of the output is the number of tests that passed and failed.
"""

import concurrent.futures
import dataclasses
import pathlib
import re
import subprocess
import sys

WORKERS = 4
ROOT = pathlib.Path(__file__).parent.parent
# Started first, as they take longest.
SLOW_MODULES = ("test_control", "test_outcomes", "test_daemons")


@dataclasses.dataclass(frozen=True)
class Result:
    """Outcome of one test module."""

    module: str
    ran: int
    failed: int
    output: str


def find_modules() -> list[str]:
    """Return the names of all test modules, the slow ones first."""
    paths = sorted((ROOT / "tests").glob("*/test_*.py"))
    paths.sort(key=lambda path: path.stem not in SLOW_MODULES)
    return [f"tests.{path.parent.name}.{path.stem}" for path in paths]


def run_module(module: str) -> Result:
    """Run one test module in a process of its own."""
    completed = subprocess.run(
        [
            sys.executable,
            "-W",
            "ignore::ResourceWarning",
            "-m",
            "unittest",
            module,
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    output = completed.stdout + completed.stderr
    ran = sum(int(n) for n in re.findall(r"^Ran (\d+) test", output, re.M))
    failed = sum(
        int(n) for n in re.findall(r"(?:failures|errors)=(\d+)", output)
    )
    if completed.returncode != 0:
        failed = max(1, failed)
    return Result(module, ran, failed, output)


def main() -> int:
    """Run all test modules; return the exit code."""
    ran = failed = 0
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        for result in pool.map(run_module, find_modules()):
            ran += result.ran
            failed += result.failed
            outcome = "failed" if result.failed else "ok"
            print(
                f"{result.module}: {result.ran} tests, {outcome}", flush=True
            )
            if result.failed:
                print(result.output, flush=True)
    if ran == 0:
        failed = 1
    print(f"{max(0, ran - failed)} passed, {failed} failed", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
