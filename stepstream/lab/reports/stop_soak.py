"""Run one stop soak per seed, and print the breaches of the delivery rules.

Usage:
  stop_soak [--seed N] [--seeds N] [--seconds N] [--keep DIR]

Options:
  --seed N     The first seed [default: 1].
  --seeds N    How many seeds, in order [default: 1].
  --seconds N  Length of the load of each run [default: 10].
  --keep DIR   Folder for the logs of runs with breaches [default: found].

Run it as `python -m stepstream.lab.reports.stop_soak`. The same seed repeats the plan, the load and
the faults of workers; the timing on the machine differs. Exit code 1 if a run broke a rule.
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
LOAD = 0.35  # requested work over the workers' capacity; low, so that no breach is from overload
DEADLINE_MS = 2500


@dataclass(frozen=True, slots=True)
class SoakResult:
    """The outcome of one seed."""

    seed: int
    plan: StopPlan
    job_count: int
    killed_count: int  # stops that ended with a kill because of a timeout
    unread_request_count: int  # requests that a close left unread, sent again
    breaches: tuple[str, ...]
    log_folder: str  # folder of the logs of a run with breaches; empty without breaches


def play_seed(seed: int, seconds: int, keep: Path) -> SoakResult:
    """Run the soak of one seed in its own event loop."""
    return asyncio.run(play_soak(seed, seconds, keep))


async def play_soak(seed: int, seconds: int, keep: Path) -> SoakResult:
    """Run the soak of one seed."""
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
    log_folder = ""
    async with soak:
        await soak.play_plan()
        if soak.verifier.breaches:
            log_folder = str(keep_logs(soak.folder, keep / f"stop-soak-{seed}"))
    return SoakResult(
        seed,
        plan,
        len(soak.verifier.records),
        soak.killed_count,
        soak.unread_request_count,
        tuple(soak.verifier.breaches),
        log_folder,
    )


def keep_logs(folder: Path, target: Path) -> Path:
    """Copy the logs and configurations of a run to `target`, and return it."""
    shutil.rmtree(target, ignore_errors=True)
    shutil.copytree(folder, target)
    return target


def print_result(result: SoakResult, seconds: int) -> None:
    """Print a line about a seed; if it has breaches, print them and how to repeat the run."""
    extra = f", a crowd of {result.plan.crowd_kind}" if result.plan.crowd_kind else ""
    print(
        f"seed {result.seed}: {len(result.plan.stops)} stops{extra}, {result.job_count} jobs,"
        f" {result.unread_request_count} requests sent again after a close,"
        f" {result.killed_count} stops ended by a kill,"
        f" {len(result.breaches)} breaches",
        flush=True,
    )
    if not result.breaches:
        return
    for breach in result.breaches:
        print(f"  {breach}")
    for stop in result.plan.stops:
        print(f"  {stop.at_seconds:.2f} s n{stop.dispatcher_index}: {stop.kind.value}")
    print(f"  logs: {result.log_folder}")
    command = "python -m stepstream.lab.reports.stop_soak"
    print(f"  repeat: {command} --seed {result.seed} --seconds {seconds}")


def main(command_line: list[str] | None = None) -> int:
    """Run the soak of each seed; return 1 if a run broke a rule."""
    arguments = docopt(__doc__ or "", command_line)
    first_seed, seed_count = int(arguments["--seed"]), int(arguments["--seeds"])
    seconds = int(arguments["--seconds"])
    runs_with_breaches = 0
    for seed in range(first_seed, first_seed + seed_count):
        result = play_seed(seed, seconds, Path(arguments["--keep"]))
        print_result(result, seconds)
        runs_with_breaches += bool(result.breaches)
    return 1 if runs_with_breaches else 0


if __name__ == "__main__":
    sys.exit(main())
