"""Compare health checks by a lease-holding leader with those by each dispatcher, on the same loads.

Usage:
  health_check_leader [--quick] [--out DIR]

Options:
  --quick    Three seeds instead of ten.
  --out DIR  The folder for sweep.json [default: docs/results].

Measured on the lab's `probed` site, for clusters of dispatchers and faults of the leader. Each seed
is run with the leader and without it. Results: health checks per worker and second, the gain of
the score (0 to 1) with its standard error, and the greatest delay of the lab itself (ms). Tables
go to standard output as Markdown.
"""

import statistics
from dataclasses import dataclass
from pathlib import Path

from docopt import docopt

from benchmarks.harness import markdown_table, run_in_processes, write_json
from stepstream.lab.processes.cluster_scenarios import (
    HealthCheckRun,
    HealthCheckRunResult,
    LeaderFault,
    play_health_check_run,
)

RUN_SECONDS = 12
SEEDS = 10
QUICK_SEEDS = 3
RUNS_AT_ONCE = 4
LARGE_CLUSTER = 8  # dispatchers from which fewer runs take place at the same time
LARGE_CLUSTER_RUNS_AT_ONCE = 2


@dataclass(frozen=True)
class Setup:
    """A number of dispatchers, and the fault of the leader."""

    dispatchers: int
    leader_fault: LeaderFault = LeaderFault.NONE

    def matches(self, row: HealthCheckRunResult) -> bool:
        """Return whether a result is of this setup."""
        return row["dispatchers"] == self.dispatchers and row["harm"] == self.leader_fault.value


SETUPS = (
    Setup(4),
    Setup(4, LeaderFault.KILL),
    Setup(4, LeaderFault.SUSPEND),
    Setup(16),
)


def run_setup(setup: Setup, seeds: int) -> list[HealthCheckRunResult]:
    """Run each seed of one setup without and with the leader."""
    jobs = [
        HealthCheckRun(seed, has_leader, setup.dispatchers, RUN_SECONDS, setup.leader_fault)
        for seed in range(seeds)
        for has_leader in (False, True)
    ]
    is_large = setup.dispatchers >= LARGE_CLUSTER
    runs_at_once = LARGE_CLUSTER_RUNS_AT_ONCE if is_large else RUNS_AT_ONCE
    return run_in_processes(play_health_check_run, jobs, runs_at_once)


def setup_row(setup: Setup, rows: list[HealthCheckRunResult]) -> list[object]:
    """Return the table cells of one setup."""
    without_leader = [row for row in rows if not row["sweep"]]
    with_leader = [row for row in rows if row["sweep"]]
    gains = [
        after["score"] - before["score"]
        for before, after in zip(without_leader, with_leader, strict=True)
    ]
    error = statistics.stdev(gains) / len(gains) ** 0.5
    checks = [
        statistics.mean(row["probes_a_worker_s"] for row in part)
        for part in (without_leader, with_leader)
    ]
    late_ms = max(row["late_ms"] for row in rows)
    breaches = [row["breaches"] for row in rows if row["breaches"]]
    return [
        setup.dispatchers,
        setup.leader_fault.value or "well",
        *(f"{value:.2f}" for value in checks),
        f"{statistics.mean(gains):+.3f}, standard error {error:.3f}",
        f"{late_ms:.0f}",
        breaches or "",
    ]


def table(rows: list[HealthCheckRunResult]) -> str:
    """Return the comparison of all setups."""
    header = (
        "dispatchers",
        "leader",
        "health checks a worker and second: each dispatcher",
        "leader only",
        "score: gain",
        "lab late, ms",
        "breaches",
    )
    return markdown_table(
        header,
        [setup_row(setup, [row for row in rows if setup.matches(row)]) for setup in SETUPS],
    )


def main() -> None:
    """Run the benchmark with the options of the command line."""
    arguments = docopt(__doc__)
    seeds = QUICK_SEEDS if arguments["--quick"] else SEEDS
    rows = [row for setup in SETUPS for row in run_setup(setup, seeds)]
    write_json(Path(arguments["--out"]), "sweep.json", rows)
    print(table(rows))


if __name__ == "__main__":
    main()
