"""Plays seeds of the soak: ``python -m tests.soak --seed 1 --count 50``."""

import asyncio
import json
import pathlib

import typer

from tests.soak import run as soak_run


async def play(
    seed: int, count: int, seconds: float, jobs: int, keep: pathlib.Path
) -> int:
    """Play seeds side by side; return how many broke a promise."""
    limit = asyncio.Semaphore(jobs)
    broken = 0

    async def play_one(each: int) -> None:
        nonlocal broken
        async with limit:
            outcome = await soak_run.run(each, seconds, keep)
        broken += bool(outcome.wrong)
        print(json.dumps(outcome.describe()), flush=True)

    await asyncio.gather(*(play_one(seed + n) for n in range(count)))
    return broken


def main(
    seed: int = 1,
    count: int = 1,
    seconds: float = 15.0,
    jobs: int = 2,
    keep: pathlib.Path = pathlib.Path("build/soak"),
) -> None:
    """Play seeds and print a line for each; exit with 1 if one broke."""
    broken = asyncio.run(play(seed, count, seconds, jobs, keep))
    print(f"{broken} of {count} seeds broke a promise", flush=True)
    raise typer.Exit(1 if broken else 0)


if __name__ == "__main__":
    typer.run(main)
