"""Runs the main job: a dev cluster, a change, requests, counters, audit."""

import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import urllib.request

FOLDER = pathlib.Path(__file__).parent
BIN = pathlib.Path(sys.executable).parent
TOKEN = "demo-operator-token"  # noqa: S105
TIMEOUT_S = 60
MODELS = ("check-0001@1", "club-0002@1", "check-0001@1", "club-0003@1")
SHOWN = ("requests", "requests.answered", "adapters.loads", "adapters.hits")


def run_tool(*words: str) -> str:
    """Run the command-line tool and print what it printed."""
    print("$ hemlockkeel", *words, flush=True)
    done = subprocess.run(
        [str(BIN / "hemlockkeel"), *words],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    print("\n".join(line[:160] for line in done.stdout.splitlines()[-4:]))
    if done.returncode != 0:
        print(done.stderr, file=sys.stderr)
        raise SystemExit(done.returncode)
    return done.stdout


def read_urls(line: str) -> tuple[str, str]:
    """Return the callers' and the operators' URL of the start line."""
    found = re.findall(r"http://[\d.:]+", line)
    return found[0], found[1]


def run_job(entry: str, control: str) -> None:
    """Apply the example, send requests, show what happened."""
    os.environ["HEMLOCKKEEL_CONTROL_URL"] = control
    os.environ["HEMLOCKKEEL_ENTRY_URL"] = entry
    os.environ["HEMLOCKKEEL_ADMIN_TOKEN"] = TOKEN
    overlay = f"tas-north={FOLDER / 'bushline-tas-north.toml'}"
    run_tool("apply", str(FOLDER / "bushline.toml"), "--overlay", overlay)
    for model in MODELS:
        run_tool("request", "Which course suits a W12?", "--model", model)
    entry_call = ("--service", "entries-app/entries", "--key", "easter-42")
    body = json.dumps({"runner": "A Junior", "class": "W12"})
    run_tool("request", body, *entry_call)
    run_tool("request", body, *entry_call)
    run_tool("audit", "--limit", "1")
    status = json.loads(run_tool("status", "--json"))
    print(f"in force everywhere: {status['in_force']}")


def show_counters(entry: str) -> None:
    """Print the counters of the demo."""
    with urllib.request.urlopen(f"{entry}/v1/counters") as reply:
        counters = json.load(reply)
    for name in SHOWN:
        print(f"{name}: {counters.get(name, 0)}")


def main() -> None:
    """Start the daemon, run the job, stop the daemon."""
    daemon = subprocess.Popen(
        [str(BIN / "hemlockkeeld"), "--role", "dev", "--admin-token", TOKEN],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    try:
        assert daemon.stdout is not None
        line = daemon.stdout.readline()
        print(line, end="")
        entry, control = read_urls(line)
        run_job(entry, control)
        show_counters(entry)
    finally:
        daemon.send_signal(signal.SIGTERM)
        daemon.wait(TIMEOUT_S)
    print("demo done")


if __name__ == "__main__":
    main()
