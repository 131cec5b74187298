"""`stepstream demo`: a small day on this machine, its progress, and a table of what it came to."""

import asyncio
import contextlib
import signal
import sys
from dataclasses import asdict

import ujson
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from stepstream.config.errors import ConfigurationError
from stepstream.lab.clients import Clients
from stepstream.lab.referee import Figures
from stepstream.lab.rig import Result, Rig
from stepstream.lab.site import Day, draw_day, read_site

WIDTH = 120
LATE_MS = 100.0  # a lab later than this says so: its figures are the machine's as well


def run(mix: str, seconds: int, seed: int, json_path: str | None, hold: bool, site: str) -> int:
    """0 if all rules were kept, 1 if one was broken."""
    if not 1 <= seconds <= 3600:
        raise ConfigurationError(f"--seconds={seconds} is not between 1 and 3600")
    day = draw_day(read_site(name=site), seed, seconds, mix)
    if hold:
        return asyncio.run(held(day, seed))
    result = asyncio.run(played(day, seed))
    console = Console()
    console.width = max(console.width, WIDTH)  # written to a file it would be cut at 80
    show(console, day, mix, seed, result)
    if json_path:
        with open(json_path, "w", encoding="utf-8") as file:
            file.write(ujson.dumps(as_json(day, mix, seed, result), indent=1) + "\n")
    return 1 if result.figures.breaches else 0


def as_json(day: Day, mix: str, seed: int, result: Result) -> dict:
    figures = asdict(result.figures)
    head = {
        "mix": mix,
        "seed": seed,
        "seconds": day.seconds,
        "nodes": len(day.specs),
        "jobs": len(day.asks),
    }
    return {**head, **figures, **asdict(result.cost), "late_ms": result.late_ms}


async def held(day: Day, seed: int) -> int:
    """Fleet and dispatcher until SIGINT or SIGTERM."""
    rig, stop = Rig(day, seed), asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    try:
        await rig.start()
        where = {"http": "{}:{}".format(*rig.http), "gearman": "{}:{}".format(*rig.gearman)}
        print(ujson.dumps(where), flush=True)
        await stop.wait()
    finally:
        await rig.stop()
    return 0


async def played(day: Day, seed: int) -> Result:
    console = Console(stderr=True)
    columns = (
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeElapsedColumn(),
    )
    rig = Rig(day, seed)
    with contextlib.ExitStack() as stack:
        shown = None
        if console.is_terminal:
            progress = stack.enter_context(Progress(*columns, console=console))
            bar = progress.add_task("jobs", total=len(day.asks))
            shown = lambda clients: progress.update(bar, completed=clients.over)  # noqa: E731
        else:
            shown = Lines(len(day.asks)).show
        try:
            await rig.start()
            return await rig.play(shown)
        finally:
            await rig.stop()


class Lines:
    """Progress where there is no terminal: a line every tenth."""

    def __init__(self, total: int) -> None:
        self.total, self.tenths = total, 0

    def show(self, clients: Clients) -> None:
        tenths = 10 * clients.over // max(self.total, 1)
        if tenths > self.tenths:
            self.tenths = tenths
            print(f"{clients.over} of {self.total} jobs", file=sys.stderr, flush=True)


def show(console: Console, day: Day, mix: str, seed: int, result: Result) -> None:
    figures = result.figures
    table = Table(
        title=f"{mix}: {len(day.asks)} jobs in {day.seconds} s on {len(day.specs)} nodes, seed {seed}"
    )
    for name in ("class", "asked", "in time", "served", "refused", "failed", "median ms", "p99 ms"):
        table.add_column(name, justify="left" if name == "class" else "right")
    for name, row in figures.by_class.items():
        counts = [f"{row[key]:.0f}" for key in ("served", "refused", "failed", "p50_ms", "p99_ms")]
        table.add_row(name, f"{row['asked']:.0f}", f"{row['in_time']:.3f}", *counts)
    console.print(table)
    console.print(summary(figures))
    cpu_us = 1e6 * result.cost.cpu_s / max(len(day.asks), 1)
    console.print(f"dispatcher: {cpu_us:.0f} us of CPU a job, {result.cost.rss_mb:.0f} MB resident")
    if result.late_ms > LATE_MS:
        console.print(
            f"the lab itself ran late by {result.late_ms:.0f} ms: this machine was too busy to judge"
        )
    for breach in figures.breaches:
        console.print(f"broken rule at {breach}")
    if not figures.breaches:
        console.print("all four rules kept, as seen at the nodes and the clients")


def summary(figures: Figures) -> str:
    tenants = ", ".join(f"{name} {share:.3f}" for name, share in figures.by_tenant.items())
    return (
        f"score {figures.score:.3f} (whole run {figures.whole:.3f}, worst 10 s {figures.worst_window:.3f}, "
        f"worst class {figures.worst_class:.3f}, worst tenant {figures.worst_tenant:.3f}; {tenants})"
    )
