"""Long randomised runs: ``python -m hemlockkeel_bench.soak``.

Each round runs simulated Raft clusters under random faults, then a cluster of
all roles under requests and injected faults. Prints the figures of each round
and, at the end, the violations with the seeds that reproduce them. The exit
code is 1 if there are any.
"""

import json
import logging as std_logging
import random
import time

from absl import logging
import typer

from hemlockkeel._internal import exceptions
from hemlockkeel_bench import chaos
from hemlockkeel_bench import raft_simulation

CONSENSUS_ACTIONS = 4_000
CONSENSUS_RUNS_PER_ROUND = 20
REQUESTS_PER_ROUND = 120


def run_consensus(seed: int) -> tuple[int, str]:
    """Run one simulated Raft cluster.

    Returns the number of values that were acknowledged as committed, and the
    violated invariant or an empty string.
    """
    rng = random.Random(seed)
    cluster = raft_simulation.SimulatedCluster(rng.choice([1, 3, 3, 5]), rng)
    violation = ""
    try:
        for _ in range(CONSENSUS_ACTIONS):
            raft_simulation.take_random_action(cluster)
        cluster.heal_and_check()
    except exceptions.InvariantError as error:
        violation = f"consensus seed {seed}: {error}"
    return len(cluster.acknowledged_values), violation


def main(seed: int = 7, minutes: float = 2.0) -> None:
    """Run rounds until the given minutes have passed."""
    logging.set_verbosity(logging.FATAL)
    std_logging.getLogger("waitress").setLevel(std_logging.CRITICAL)
    ends_at = time.monotonic() + minutes * 60.0
    violations: list[str] = []
    round_seed = seed * 1_000
    while time.monotonic() < ends_at:
        acknowledged = 0
        for number in range(CONSENSUS_RUNS_PER_ROUND):
            values, violation = run_consensus(round_seed + number)
            acknowledged += values
            violations += [violation] if violation else []
        print(
            json.dumps(
                {
                    "consensus_seeds": [
                        round_seed,
                        round_seed + CONSENSUS_RUNS_PER_ROUND - 1,
                    ],
                    "actions": CONSENSUS_RUNS_PER_ROUND * CONSENSUS_ACTIONS,
                    "accepted": acknowledged,
                }
            ),
            flush=True,
        )
        figures, found = chaos.measure(round_seed, REQUESTS_PER_ROUND)
        print(json.dumps(figures), flush=True)
        violations += [
            f"system seed {round_seed}: {violation}" for violation in found
        ]
        round_seed += CONSENSUS_RUNS_PER_ROUND
    for violation in violations:
        print(f"VIOLATION {violation}", flush=True)
    print(f"{len(violations)} violations", flush=True)
    raise typer.Exit(1 if violations else 0)


if __name__ == "__main__":
    typer.run(main)
