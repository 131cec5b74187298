"""Measure the CPU time and the memory of a process, as proc(5) reports them."""

import os
from dataclasses import dataclass
from pathlib import Path

BYTES_PER_MB = 1e6
# Indexes of fields of /proc/PID/stat, counted from the state (field 3 in proc(5)), which follows
# the process's name.
STAT_USER_TICKS = 11
STAT_SYSTEM_TICKS = 12
STAT_RESIDENT_PAGES = 21


@dataclass(slots=True)
class ProcessCost:
    """What a process used: CPU in seconds, resident memory in megabytes."""

    cpu_s: float = 0.0
    rss_mb: float = 0.0


def read_cost(process_id: int) -> ProcessCost:
    """Return what a process has used since its start; zeros if it has ended."""
    try:
        stat = Path(f"/proc/{process_id}/stat").read_text()
    except OSError:
        return ProcessCost()
    values = stat.rpartition(")")[2].split()  # the name in parentheses may contain spaces
    ticks = int(values[STAT_USER_TICKS]) + int(values[STAT_SYSTEM_TICKS])
    resident_bytes = int(values[STAT_RESIDENT_PAGES]) * os.sysconf("SC_PAGE_SIZE")
    return ProcessCost(ticks / os.sysconf("SC_CLK_TCK"), resident_bytes / BYTES_PER_MB)
