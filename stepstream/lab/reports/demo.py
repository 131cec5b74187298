"""`stepstream demo`: run a small cluster under load on this machine and print the outcome.

Progress goes to standard error, the tables to standard output and, on request, the figures to a
JSON file. The module has no state; each run has its own event loop.
"""

import asyncio
import contextlib
import signal
import sys
from collections.abc import Callable, Iterator
from dataclasses import asdict
from typing import Any

import ujson
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from stepstream.config.errors import ConfigurationError
from stepstream.lab.emulator.clock import US_PER_SECOND
from stepstream.lab.load.clients import Clients
from stepstream.lab.load.scenario import Scenario, generate_scenario
from stepstream.lab.load.site import read_site
from stepstream.lab.processes.load_test import LoadTest, LoadTestResult
from stepstream.lab.verification.score import Figures

MIN_CONSOLE_COLUMNS = 120
# If a request is sent later than planned by more than this, a warning is printed: the machine's
# load affects the figures.
MAX_LATE_MS = 100.0
MAX_SECONDS = 3600
TABLE_COLUMNS = ("class", "asked", "in time", "served", "refused", "failed", "median ms", "p99 ms")
LAST_COLUMN_KEYS = ("served", "refused", "failed", "p50_ms", "p99_ms")  # in Figures.by_class


def run(
    mix: str,
    seconds: int,
    seed: int,
    json_path: str | None,
    hold: bool,  # noqa: FBT001  an option of the command, passed by name
    site: str,
) -> int:
    """Run the demo; return 0 if all invariants held and 1 if one was violated.

    With `hold`, start the cluster without load, print its addresses and wait for a signal.
    Raises ConfigurationError if an option is out of range.
    """
    if not 1 <= seconds <= MAX_SECONDS:
        raise ConfigurationError(f"--seconds={seconds} is not between 1 and {MAX_SECONDS}")
    scenario = generate_scenario(read_site(name=site), seed, seconds, mix)
    if hold:
        return asyncio.run(run_until_signal(scenario, seed))
    result = asyncio.run(play_schedule(scenario, seed))
    console = Console()
    console.width = max(console.width, MIN_CONSOLE_COLUMNS)  # rich assumes 80 for a file
    print_results(console, scenario, mix, seed, result)
    if json_path:
        with open(json_path, "w", encoding="utf-8") as file:
            file.write(ujson.dumps(as_json(scenario, mix, seed, result), indent=1) + "\n")
    return 1 if result.figures.breaches else 0


def as_json(scenario: Scenario, mix: str, seed: int, result: LoadTestResult) -> dict[str, Any]:
    """Return the content of the file that `--json` names."""
    run_parameters = {
        "mix": mix,
        "seed": seed,
        "seconds": scenario.seconds,
        "nodes": len(scenario.worker_specs),
        "jobs": len(scenario.requests),
    }
    figures = asdict(result.figures)
    return {**run_parameters, **figures, **asdict(result.cost), "late_ms": result.late_ms}


async def run_until_signal(scenario: Scenario, seed: int) -> int:
    """Run workers and dispatcher without load until SIGINT or SIGTERM; return the exit code.

    Once the dispatcher's listeners accept connections, their addresses are printed as a line of
    JSON.
    """
    stop = asyncio.Event()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop.set)
    async with LoadTest(scenario, seed) as test:
        http_host, http_port = test.http_addresses[0]
        gearman_host, gearman_port = test.gearman_address
        addresses = {
            "http": f"{http_host}:{http_port}",
            "gearman": f"{gearman_host}:{gearman_port}",
        }
        print(ujson.dumps(addresses), flush=True)
        await stop.wait()
    return 0


async def play_schedule(scenario: Scenario, seed: int) -> LoadTestResult:
    """Play the request schedule and return the outcome; progress goes to standard error."""
    console = Console(stderr=True)
    with contextlib.ExitStack() as stack:
        on_progress: Callable[[Clients], None]
        if console.is_terminal:
            on_progress = stack.enter_context(progress_bar(console, len(scenario.requests)))
        else:
            on_progress = ProgressLines(len(scenario.requests)).print_progress
        async with LoadTest(scenario, seed) as test:
            return await test.play(on_progress)


@contextlib.contextmanager
def progress_bar(console: Console, total: int) -> Iterator[Callable[[Clients], None]]:
    """Show a progress bar on a terminal; yield the function that updates the bar."""
    columns = (
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeElapsedColumn(),
    )
    with Progress(*columns, console=console) as progress:
        bar = progress.add_task("jobs", total=total)

        def update_bar(clients: Clients) -> None:
            progress.update(bar, completed=clients.finished_count)

        yield update_bar


class ProgressLines:
    """Progress without a terminal: a line on standard error for each tenth of the jobs."""

    def __init__(self, total: int) -> None:
        self.total = total
        self.printed_tenths = 0

    def print_progress(self, clients: Clients) -> None:
        """Print a line if another tenth of the jobs is complete."""
        tenths = 10 * clients.finished_count // max(self.total, 1)
        if tenths > self.printed_tenths:
            self.printed_tenths = tenths
            print(f"{clients.finished_count} of {self.total} jobs", file=sys.stderr, flush=True)


def print_results(
    console: Console, scenario: Scenario, mix: str, seed: int, result: LoadTestResult
) -> None:
    """Print the table of job classes, the score, the dispatcher's cost and all breaches."""
    figures = result.figures
    console.print(class_table(scenario, mix, seed, figures))
    console.print(summary(figures))
    cpu_us = US_PER_SECOND * result.cost.cpu_s / max(len(scenario.requests), 1)
    console.print(
        f"dispatcher: {cpu_us:.0f} us of CPU per job, {result.cost.rss_mb:.0f} MB resident memory"
    )
    if result.late_ms > MAX_LATE_MS:
        console.print(
            f"the lab sent requests up to {result.late_ms:.0f} ms late: "
            "this machine was too busy for a reliable result"
        )
    for breach in figures.breaches:
        console.print(f"broken rule at {breach}")
    if not figures.breaches:
        console.print("all four invariants held, as observed at the workers and the clients")


def class_table(scenario: Scenario, mix: str, seed: int, figures: Figures) -> Table:
    """Return the table with a row for each job class."""
    jobs = f"{len(scenario.requests)} jobs in {scenario.seconds} s"
    table = Table(title=f"{mix}: {jobs} on {len(scenario.worker_specs)} workers, seed {seed}")
    for name in TABLE_COLUMNS:
        table.add_column(name, justify="left" if name == "class" else "right")
    for name, row in figures.by_class.items():
        last_columns = [f"{row[key]:.0f}" for key in LAST_COLUMN_KEYS]
        table.add_row(name, f"{row['asked']:.0f}", f"{row['in_time']:.3f}", *last_columns)
    return table


def summary(figures: Figures) -> str:
    """Return the line with the score, its parts and the fraction in time of each tenant."""
    tenants = ", ".join(f"{name} {fraction:.3f}" for name, fraction in figures.by_tenant.items())
    return (
        f"score {figures.score:.3f} (whole run {figures.whole:.3f}, "
        f"worst 10 s {figures.worst_window:.3f}, "
        f"worst class {figures.worst_class:.3f}, worst tenant {figures.worst_tenant:.3f}; "
        f"{tenants})"
    )
