"""Helpers that benchmarks share: process pools, CPU times, quantiles, tables, result files.

Times are in seconds unless a name says otherwise. Linux only: CPU time is read from /proc.
"""

import json
import os
import statistics
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

Job = TypeVar("Job")
Result = TypeVar("Result")

JSON_INDENT = 1
P99 = 0.99
# Indexes of `utime` and `stime` (proc(5)) in /proc/PID/stat, from 0 behind the command's name.
USER_TICKS_FIELD = 11
SYSTEM_TICKS_FIELD = 12


def run_in_processes(
    function: Callable[[Job], Result], jobs: Iterable[Job], processes: int, chunk_size: int = 1
) -> list[Result]:
    """Run each job in a pool of processes; return the results in the order of the jobs.

    `chunk_size` is the number of jobs that a process takes at once.
    """
    with ProcessPoolExecutor(max_workers=processes) as pool:
        return list(pool.map(function, jobs, chunksize=chunk_size))


def process_cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used, which the kernel counts in /proc/PID/stat."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])
    return ticks / os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True)
class Quantiles:
    """The median, the 99th percentile and the greatest of some values."""

    median: float
    p99: float
    greatest: float


def quantiles_of(values: Sequence[float]) -> Quantiles:
    """Return the quantiles of at least one value; the 99th percentile is one of the values."""
    ordered = sorted(values)
    p99_index = min(int(len(ordered) * P99), len(ordered) - 1)
    return Quantiles(statistics.median(ordered), ordered[p99_index], ordered[-1])


def mean_with_range(values: Sequence[float]) -> str:
    """Return `mean (least to greatest)` of the values, without decimals."""
    return f"{statistics.mean(values):.0f} ({min(values):.0f} to {max(values):.0f})"


def markdown_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a Markdown table; cells are converted by `str`."""
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join(f"| {' | '.join(map(str, cells))} |" for cells in lines)


def write_json(folder: Path, name: str, data: object) -> None:
    """Write results as JSON to a file of a folder; create the folder if it is missing."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / name).write_text(json.dumps(data, indent=JSON_INDENT))


def print_and_write(text: str, path: str | None) -> None:
    """Print a report, and write it to the file at `path` if there is one."""
    if path:
        Path(path).write_text(text, encoding="utf-8")
    print(text)
