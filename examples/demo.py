"""Demonstrates hemlockkeel on a development cluster.

Applies the example declarations, sends requests to adapters and to a plain
service, and prints the audit log, the status and some counters.
"""

import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import urllib.request

EXAMPLES_FOLDER = pathlib.Path(__file__).parent
BIN_FOLDER = pathlib.Path(sys.executable).parent
TOKEN = "demo-operator-token"  # noqa: S105
COMMAND_TIMEOUT_S = 60
MODELS = ("check-0001@1", "club-0002@1", "check-0001@1", "club-0003@1")
SHOWN_COUNTERS = (
    "requests",
    "requests.answered",
    "adapters.loads",
    "adapters.hits",
)


def run_command(*arguments: str) -> str:
    """Run ``hemlockkeel`` and print the last lines of its output."""
    print("$ hemlockkeel", *arguments, flush=True)
    completed = subprocess.run(
        [str(BIN_FOLDER / "hemlockkeel"), *arguments],
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
        check=False,
    )
    print("\n".join(line[:160] for line in completed.stdout.splitlines()[-4:]))
    if completed.returncode != 0:
        print(completed.stderr, file=sys.stderr)
        raise SystemExit(completed.returncode)
    return completed.stdout


def parse_urls(line: str) -> tuple[str, str]:
    """Return the URLs for callers and operators from the start-up line."""
    found = re.findall(r"http://[\d.:]+", line)
    return found[0], found[1]


def run_demo(entry: str, control: str) -> None:
    """Apply the example declarations, send requests, print the outcome."""
    os.environ["HEMLOCKKEEL_CONTROL_URL"] = control
    os.environ["HEMLOCKKEEL_ENTRY_URL"] = entry
    os.environ["HEMLOCKKEEL_ADMIN_TOKEN"] = TOKEN
    overlay = f"tas-north={EXAMPLES_FOLDER / 'bushline-tas-north.toml'}"
    run_command(
        "apply", str(EXAMPLES_FOLDER / "bushline.toml"), "--overlay", overlay
    )
    for model in MODELS:
        run_command("request", "Which course suits a W12?", "--model", model)
    entry_flags = ("--service", "entries-app/entries", "--key", "easter-42")
    body = json.dumps({"runner": "A Junior", "class": "W12"})
    run_command("request", body, *entry_flags)
    run_command("request", body, *entry_flags)
    run_command("audit", "--limit", "1")
    status = json.loads(run_command("status", "--json"))
    print(f"in force everywhere: {status['in_force']}")


def print_counters(entry: str) -> None:
    """Print the counters that the demo has changed."""
    with urllib.request.urlopen(f"{entry}/v1/counters") as reply:
        counters = json.load(reply)
    for name in SHOWN_COUNTERS:
        print(f"{name}: {counters.get(name, 0)}")


def main() -> None:
    """Start a development cluster, run the demo and stop the cluster."""
    daemon = subprocess.Popen(
        [
            str(BIN_FOLDER / "hemlockkeeld"),
            "--role",
            "dev",
            "--admin-token",
            TOKEN,
        ],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    try:
        assert daemon.stdout is not None
        line = daemon.stdout.readline()
        print(line, end="")
        entry, control = parse_urls(line)
        run_demo(entry, control)
        print_counters(entry)
    finally:
        daemon.send_signal(signal.SIGTERM)
        daemon.wait(COMMAND_TIMEOUT_S)
    print("demo done")


if __name__ == "__main__":
    main()
