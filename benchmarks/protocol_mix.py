"""Compare a seeded load over HTTP only, over Gearman only and over both, on the lab's workers.

Usage:
  protocol_mix [--seeds N] [--seconds N] [--loads LIST] [--out FILE]

Options:
  --seeds N     Seeds 1 to N [default: 5].
  --seconds N   Length of the load of each run [default: 25].
  --loads LIST  Offered work divided by the workers' capacity, comma-separated [default: 0.55,0.8].
  --out FILE    Write the tables to this file too, as Markdown.

Measured for each mix: the score of the run (0 to 1), the dispatcher's CPU per job (us) and its
resident memory (MB), each against HTTP only. The three runs of a seed are played at the same time,
so that a noisy machine affects all three. HTTP only runs the dispatcher as the platform does,
without the operator's file.
"""

import asyncio
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from statistics import mean

import msgspec
from docopt import docopt

from benchmarks.harness import markdown_table, mean_with_range, print_and_write
from stepstream.lab.load.scenario import generate_scenario
from stepstream.lab.load.site import read_site
from stepstream.lab.processes.load_test import LoadTest, LoadTestResult

MIXES = ("http", "gearman", "mixed")
US_PER_SECOND = 1e6


@dataclass(frozen=True)
class SeedRuns:
    """The runs of one seed at one load, by mix."""

    load: float
    seed: int
    job_count: int
    results: dict[str, LoadTestResult]

    def score(self, mix: str) -> float:
        """Return the score of the run with this mix, 0 to 1."""
        return self.results[mix].figures.score

    def mixed_gain(self) -> float:
        """Return the score of the mixed run minus that of the run with HTTP only."""
        return self.score("mixed") - self.score("http")


async def run_load_test(
    seed: int, seconds: int, load: float, mix: str
) -> tuple[int, LoadTestResult]:
    """Run one load test; return the number of its jobs, and its result."""
    site = msgspec.structs.replace(read_site(), load=load)
    scenario = generate_scenario(site, seed, seconds, mix)
    async with LoadTest(scenario, seed, with_gearman=mix != "http") as load_test:
        return len(scenario.requests), await load_test.play()


def run_in_own_loop(seed: int, seconds: int, load: float, mix: str) -> tuple[int, LoadTestResult]:
    """Run one load test on an event loop of this process."""
    return asyncio.run(run_load_test(seed, seconds, load, mix))


def run_seed(seed: int, seconds: int, load: float) -> SeedRuns:
    """Run all mixes of a seed at once, each in a process: event loops must not share a process."""
    with ProcessPoolExecutor(len(MIXES)) as pool:
        runs = {mix: pool.submit(run_in_own_loop, seed, seconds, load, mix) for mix in MIXES}
        results = {mix: run.result() for mix, run in runs.items()}
    job_count = results[MIXES[0]][0]
    return SeedRuns(load, seed, job_count, {mix: result for mix, (_, result) in results.items()})


def score_table(rows: list[SeedRuns]) -> str:
    """Return the scores by seed, and their means."""
    header = (
        "seed",
        "jobs",
        "HTTP",
        "Gearman",
        "mixed",
        "mixed less HTTP",
        "breaches",
        "lab late, ms",
    )
    gains = [row.mixed_gain() for row in rows]
    gain = f"{mean(gains):+.3f} ({min(gains):+.3f} to {max(gains):+.3f})"
    means = [f"{mean(row.score(mix) for row in rows):.3f}" for mix in MIXES]
    return markdown_table(header, [*map(score_row, rows), ("mean", "", *means, gain, "", "")])


def score_row(row: SeedRuns) -> list[object]:
    """Return the table cells of one seed."""
    scores = [f"{row.score(mix):.3f}" for mix in MIXES]
    breach_count = sum(len(row.results[mix].figures.breaches) for mix in MIXES)
    late_ms = max(row.results[mix].late_ms for mix in MIXES)
    gain = f"{row.mixed_gain():+.3f}"
    return [row.seed, row.job_count, *scores, gain, breach_count, f"{late_ms:.0f}"]


def cpu_us_per_job(row: SeedRuns, mix: str) -> float:
    """Return the dispatcher's CPU time per job, in microseconds."""
    return US_PER_SECOND * row.results[mix].cost.cpu_s / row.job_count


def cost_table(rows: list[SeedRuns]) -> str:
    """Return the dispatcher's CPU and memory by mix."""
    header = ("mix", "CPU a job, us: mean (least to most)", "against HTTP", "resident, MB")
    return markdown_table(header, [cost_row(rows, mix) for mix in MIXES])


def cost_row(rows: list[SeedRuns], mix: str) -> list[object]:
    """Return the table cells of one mix."""
    cpu_us = [cpu_us_per_job(row, mix) for row in rows]
    ratio = mean(cpu_us_per_job(row, mix) / cpu_us_per_job(row, "http") for row in rows)
    memory_mb = max(row.results[mix].cost.rss_mb for row in rows)
    return [mix, mean_with_range(cpu_us), f"{ratio:.2f}", f"{memory_mb:.0f}"]


def breach_lines(rows: list[SeedRuns]) -> list[str]:
    """Return a line for each breach of an invariant."""
    return [
        f"- seed {row.seed}, {mix}: {breach}"
        for row in rows
        for mix in MIXES
        for breach in row.results[mix].figures.breaches
    ]


def report(rows: list[SeedRuns]) -> str:
    """Return the tables of all loads as Markdown."""
    parts: list[str] = []
    for load in dict.fromkeys(row.load for row in rows):
        rows_of_load = [row for row in rows if row.load == load]
        parts += [f"Load {load}:", "", score_table(rows_of_load), "", cost_table(rows_of_load), ""]
        breaches = breach_lines(rows_of_load)
        if breaches:
            parts += [*breaches, ""]
    return "\n".join(parts)


def main() -> None:
    """Run the benchmark with the options of the command line."""
    arguments = docopt(__doc__)
    seeds = range(1, int(arguments["--seeds"]) + 1)
    seconds = int(arguments["--seconds"])
    loads = [float(load) for load in arguments["--loads"].split(",")]
    rows = [run_seed(seed, seconds, load) for load in loads for seed in seeds]
    print_and_write(report(rows), arguments["--out"])


if __name__ == "__main__":
    main()
