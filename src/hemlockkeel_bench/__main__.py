"""Load generator: ``python -m hemlockkeel_bench --profile NAME``.

Starts real entry, agent and control processes with stand-in engines and a
stand-in weight store on the loopback interface, sends requests at the arrival
times of a workload (open loop), and prints the figures as one JSON object in
the last line.
"""

import json
import logging as std_logging
import typing

from absl import logging
import typer

from hemlockkeel_bench import load
from hemlockkeel_bench import profiles

FAULT_NAMES = ("restart", "load-failures")


def main(
    profile: typing.Annotated[
        str, typer.Option(help="bushline or summons")
    ] = "bushline",
    policy: typing.Annotated[
        str, typer.Option(help="baseline or default")
    ] = "default",
    seconds: typing.Annotated[
        float, typer.Option(help="duration of the workload in seconds")
    ] = 60.0,
    seed: int = 1,
    faults: typing.Annotated[
        str,
        typer.Option(
            help="faults to inject, separated by commas: restart, "
            "load-failures"
        ),
    ] = "",
    compare: typing.Annotated[
        bool,
        typer.Option(
            help="run the baseline and the default policies on the same "
            "arrivals"
        ),
    ] = False,
    shifts: typing.Annotated[
        bool, typer.Option(help="let the popularity of adapters change")
    ] = True,
    speed: typing.Annotated[
        float,
        typer.Option(
            help="run loads, steps and arrivals faster by this factor; "
            "durations are printed at normal speed"
        ),
    ] = 1.0,
) -> None:
    """Run one workload and print its figures."""
    logging.set_verbosity(logging.WARNING)
    std_logging.getLogger("waitress").setLevel(std_logging.CRITICAL)
    workload_profile = profiles.PROFILES.get(profile)
    fault_names = frozenset(name for name in faults.split(",") if name)
    if workload_profile is None or not fault_names <= set(FAULT_NAMES):
        raise typer.BadParameter(
            f"unknown profile or fault; profiles: "
            f"{', '.join(profiles.PROFILES)}; faults: "
            f"{', '.join(FAULT_NAMES)}"
        )
    arrivals = profiles.make_arrivals(workload_profile, seconds, seed, shifts)
    policy_names = ["baseline", "default"] if compare else [policy]
    figures = {}
    for name in policy_names:
        run = load.WorkloadRun(
            workload_profile, name, arrivals, speed, fault_names
        )
        figures[name] = run.run().to_dict()
        print(f"{name}: {json.dumps(figures[name])}", flush=True)
    print(json.dumps(figures if compare else figures[policy]), flush=True)


if __name__ == "__main__":
    typer.run(main)
