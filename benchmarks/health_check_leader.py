"""Compare health checks by a lease-holding leader with those by each dispatcher, on the same days.

Usage:
  health_check_leader [--quick] [--out DIR]

Options:
  --quick    Three seeds in place of ten.
  --out DIR  Where sweep.json is kept [default: docs/results].

Measured on the lab's `probed` site, for clusters of dispatchers and faults of the leader, each day
with the leader beside the same day without it: health checks a worker and second, the gain of
the score (0 to 1) with its standard error, and by how much the lab itself was late (ms). Tables go
to standard output as Markdown.
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

DAY_SECONDS = 12
SEEDS = 10
QUICK_SEEDS = 3
DAYS_AT_ONCE = 4
LARGE_CLUSTER = 8  # dispatchers from which fewer days run at once
LARGE_CLUSTER_DAYS_AT_ONCE = 2


@dataclass(frozen=True)
class Setup:
    """A number of dispatchers, and what happens to the leader."""

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


def run_days(setup: Setup, seeds: int) -> list[HealthCheckRunResult]:
    """Run the days of one setup, each seed without and with the leader."""
    jobs = [
        HealthCheckRun(seed, has_leader, setup.dispatchers, DAY_SECONDS, setup.leader_fault)
        for seed in range(seeds)
        for has_leader in (False, True)
    ]
    is_large = setup.dispatchers >= LARGE_CLUSTER
    days_at_once = LARGE_CLUSTER_DAYS_AT_ONCE if is_large else DAYS_AT_ONCE
    return run_in_processes(play_health_check_run, jobs, days_at_once)


def setup_row(setup: Setup, rows: list[HealthCheckRunResult]) -> list[object]:
    """Return one setup's cells."""
    alone = [row for row in rows if not row["sweep"]]
    led = [row for row in rows if row["sweep"]]
    gains = [after["score"] - before["score"] for before, after in zip(alone, led, strict=True)]
    error = statistics.stdev(gains) / len(gains) ** 0.5
    checks = [statistics.mean(row["probes_a_worker_s"] for row in part) for part in (alone, led)]
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
        "late, ms",
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
    rows = [row for setup in SETUPS for row in run_days(setup, seeds)]
    write_json(Path(arguments["--out"]), "sweep.json", rows)
    print(table(rows))


if __name__ == "__main__":
    main()
