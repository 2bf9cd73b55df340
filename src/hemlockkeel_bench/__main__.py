"""Load generator: ``python -m hemlockkeel_bench --profile NAME``.

Starts the real entry, agent and control code with stand-in engines and a
stand-in weight store over loopback, sends an open-loop arrival stream, and
prints one JSON object as its last line.
"""

import json
import logging as std_logging
import typing

from absl import logging
import typer

from hemlockkeel_bench import load
from hemlockkeel_bench import profiles

FAULTS = ("restart", "load-failures")


def main(
    profile: typing.Annotated[
        str, typer.Option(help="bushline or summons")
    ] = "bushline",
    policy: typing.Annotated[
        str, typer.Option(help="baseline or default")
    ] = "default",
    seconds: typing.Annotated[
        float, typer.Option(help="length of the arrival stream")
    ] = 60.0,
    seed: int = 1,
    faults: typing.Annotated[
        str, typer.Option(help="restart,load-failures or none")
    ] = "",
    compare: typing.Annotated[
        bool, typer.Option(help="run both policies on the same arrivals")
    ] = False,
    shifts: typing.Annotated[
        bool, typer.Option(help="let popularity shift")
    ] = True,
    speed: typing.Annotated[
        float,
        typer.Option(
            help="run loads, steps and arrivals this much faster; figures "
            "are scaled back"
        ),
    ] = 1.0,
) -> None:
    """Run one workload and print its figures."""
    logging.set_verbosity(logging.WARNING)
    std_logging.getLogger("waitress").setLevel(std_logging.CRITICAL)
    chosen = profiles.PROFILES.get(profile)
    wanted = frozenset(part for part in faults.split(",") if part)
    if chosen is None or not wanted <= set(FAULTS):
        raise typer.BadParameter(
            f"profiles: {', '.join(profiles.PROFILES)}; faults: "
            f"{', '.join(FAULTS)}"
        )
    arrivals = profiles.make_arrivals(chosen, seconds, seed, shifts)
    names = ["baseline", "default"] if compare else [policy]
    figures = {}
    for name in names:
        run = load.WorkloadRun(chosen, name, arrivals, speed, wanted)
        figures[name] = run.run().to_dict()
        print(f"{name}: {json.dumps(figures[name])}", flush=True)
    print(json.dumps(figures if compare else figures[policy]), flush=True)


if __name__ == "__main__":
    typer.run(main)
