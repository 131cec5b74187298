"""Play soaks of stops, one a seed, and print what broke.

Usage:
  stop_soak [--seed N] [--seeds N] [--seconds N] [--keep DIR]

Options:
  --seed N     The first seed [default: 1].
  --seeds N    How many seeds, in order [default: 1].
  --seconds N  Length of the load of each run [default: 10].
  --keep DIR   Where the logs of a broken run are kept [default: found].

Run it as `python -m stepstream.lab.reports.stop_soak`. One seed repeats the plan, the load and the
faults of workers; what the machine adds differs. Exit code 1 if a run broke a rule.
"""

import asyncio
import shutil
import sys
from dataclasses import dataclass
from pathlib import Path

import msgspec
from docopt import docopt

from stepstream.lab.faults.stop_plan import StopPlan, generate_stop_plan
from stepstream.lab.load.scenario import generate_scenario
from stepstream.lab.load.site import read_site
from stepstream.lab.processes.stop_soak import StopSoak

DISPATCHERS = 3
LOAD = 0.35  # requested work over the workers' capacity: what breaks is no overload
DEADLINE_MS = 2500


@dataclass(frozen=True, slots=True)
class SoakResult:
    """The outcome of one seed."""

    seed: int
    plan: StopPlan
    requests: int
    killed: int  # stops that the platform's kill had to end
    crossed: int  # requests that a close crossed unread
    breaches: tuple[str, ...]
    kept: str  # folder of the logs of a broken run; empty if it broke nothing


def play_seed(seed: int, seconds: int, keep: Path) -> SoakResult:
    """Play the soak of one seed, in an event loop of its own."""
    return asyncio.run(play_soak(seed, seconds, keep))


async def play_soak(seed: int, seconds: int, keep: Path) -> SoakResult:
    """Play the soak of one seed."""
    site = read_site()
    classes = tuple(
        msgspec.structs.replace(table, deadline_ms=DEADLINE_MS) for table in site.job_classes
    )
    site = msgspec.structs.replace(site, job_classes=classes, load=LOAD)
    plan = generate_stop_plan(seed, DISPATCHERS, seconds)
    soak = StopSoak(
        generate_scenario(site, seed, seconds, "http"),
        seed,
        dispatcher_count=DISPATCHERS,
        plan=plan,
    )
    kept = ""
    async with soak:
        await soak.play_plan()
        if soak.verifier.breaches:
            kept = str(keep_logs(soak.folder, keep / f"stop-soak-{seed}"))
    return SoakResult(
        seed,
        plan,
        len(soak.verifier.records),
        soak.killed_count,
        soak.unread_request_count,
        tuple(soak.verifier.breaches),
        kept,
    )


def keep_logs(folder: Path, target: Path) -> Path:
    """Copy the logs and configurations of a run; return where they are."""
    shutil.rmtree(target, ignore_errors=True)
    shutil.copytree(folder, target)
    return target


def print_result(result: SoakResult, seconds: int) -> None:
    """Print a line on a seed, and for a broken one what broke and how to repeat it."""
    crowd = ", with a crowd" if result.plan.has_extra_connections else ""
    print(
        f"seed {result.seed}: {len(result.plan.stops)} stops{crowd}, {result.requests} jobs,"
        f" {result.crossed} crossed a close, {result.killed} stops killed,"
        f" {len(result.breaches)} breaches",
        flush=True,
    )
    if not result.breaches:
        return
    for breach in result.breaches:
        print(f"  {breach}")
    for stop in result.plan.stops:
        print(f"  {stop.at_seconds:.2f} s n{stop.dispatcher_index}: {stop.kind.value}")
    print(f"  logs: {result.kept}")
    command = "python -m stepstream.lab.reports.stop_soak"
    print(f"  repeat: {command} --seed {result.seed} --seconds {seconds}")


def main(command_line: list[str] | None = None) -> int:
    """Play the seeds; return 1 if one of them broke a rule."""
    arguments = docopt(__doc__ or "", command_line)
    first, count = int(arguments["--seed"]), int(arguments["--seeds"])
    seconds = int(arguments["--seconds"])
    broken = 0
    for seed in range(first, first + count):
        result = play_seed(seed, seconds, Path(arguments["--keep"]))
        print_result(result, seconds)
        broken += bool(result.breaches)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
