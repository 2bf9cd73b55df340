"""Long randomised runs: ``python -m hemlockkeel_bench.soak``.

Alternates between the consensus cores under a failing network and the whole
system with requests while parts fail. Prints what it tried, and exits with 1
on any violation, naming the seed that brings it back.
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
    """Run the consensus cores once; return values accepted and a fault."""
    rng = random.Random(seed)
    cluster = raft_simulation.SimulatedCluster(rng.choice([1, 3, 3, 5]), rng)
    try:
        for _ in range(CONSENSUS_ACTIONS):
            raft_simulation.take_random_action(cluster)
        cluster.heal_and_check()
    except exceptions.InvariantError as fault:
        return len(
            cluster.acknowledged_values
        ), f"consensus seed {seed}: {fault}"
    return len(cluster.acknowledged_values), ""


def main(seed: int = 7, minutes: float = 2.0) -> None:
    """Run until the time is over."""
    logging.set_verbosity(logging.FATAL)
    std_logging.getLogger("waitress").setLevel(std_logging.CRITICAL)
    end = time.monotonic() + minutes * 60.0
    violations: list[str] = []
    round_seed = seed * 1_000
    while time.monotonic() < end:
        accepted = 0
        for number in range(CONSENSUS_RUNS_PER_ROUND):
            values, fault = run_consensus(round_seed + number)
            accepted += values
            violations += [fault] if fault else []
        print(
            json.dumps(
                {
                    "consensus_seeds": [
                        round_seed,
                        round_seed + CONSENSUS_RUNS_PER_ROUND - 1,
                    ],
                    "actions": CONSENSUS_RUNS_PER_ROUND * CONSENSUS_ACTIONS,
                    "accepted": accepted,
                }
            ),
            flush=True,
        )
        figures, faults = chaos.measure(round_seed, REQUESTS_PER_ROUND)
        print(json.dumps(figures), flush=True)
        violations += [f"system seed {round_seed}: {f}" for f in faults]
        round_seed += CONSENSUS_RUNS_PER_ROUND
    for violation in violations:
        print(f"VIOLATION {violation}", flush=True)
    print(f"{len(violations)} violations", flush=True)
    raise typer.Exit(1 if violations else 0)


if __name__ == "__main__":
    typer.run(main)
