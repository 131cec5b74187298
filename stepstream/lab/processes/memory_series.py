"""What a dispatcher's processes take of the memory over time, as the platform counts it.

The platform counts the resident memory of all processes and the files in `$TMPDIR`. Times are
monotonic seconds, sizes MiB.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from statistics import fmean

KIB_PER_MB = 1024
BYTES_PER_MB = 1024 * 1024
BYTES_PER_BLOCK = 512  # of `st_blocks`


@dataclass(frozen=True, slots=True)
class MemorySample:
    """What was counted at one time."""

    at_seconds: float
    resident_mb: float
    files_mb: float

    @property
    def counted_mb(self) -> float:
        """What the platform compares with `memory_mb`."""
        return self.resident_mb + self.files_mb


@dataclass(slots=True)
class MemorySeries:
    """The samples of a run, in order, and when its load began and ended."""

    samples: list[MemorySample] = field(default_factory=list)
    load_began_at_seconds: float = 0.0
    load_ended_at_seconds: float = 0.0

    def add(self, at_seconds: float, resident: float, files: float) -> None:
        """Append a sample."""
        self.samples.append(MemorySample(at_seconds, resident, files))

    def begin_load(self, at_seconds: float) -> None:
        """Note when the hostile clients began."""
        self.load_began_at_seconds = at_seconds

    def end_load(self, at_seconds: float) -> None:
        """Note when the hostile clients left."""
        self.load_ended_at_seconds = at_seconds

    @property
    def idle_mb(self) -> float:
        """What was counted just before the load."""
        before = [one for one in self.samples if one.at_seconds <= self.load_began_at_seconds]
        return before[-1].counted_mb if before else 0.0

    @property
    def peak_mb(self) -> float:
        """The most that was counted at any time."""
        return max((one.counted_mb for one in self.samples), default=0.0)

    @property
    def remaining_mb(self) -> float:
        """What was counted last."""
        return self.samples[-1].counted_mb if self.samples else 0.0

    @property
    def growth_in_last_third_mb(self) -> float:
        """The mean of the last sixth of the load, less that of the sixth before it."""
        sixth_seconds = (self.load_ended_at_seconds - self.load_began_at_seconds) / 6
        middle = self.load_ended_at_seconds - sixth_seconds
        earlier = self._between(middle - sixth_seconds, middle)
        later = self._between(middle, self.load_ended_at_seconds)
        return mean_mb(later) - mean_mb(earlier)

    def _between(self, from_seconds: float, to_seconds: float) -> Sequence[MemorySample]:
        return [one for one in self.samples if from_seconds <= one.at_seconds < to_seconds]


def mean_mb(samples: Sequence[MemorySample]) -> float:
    """Return the mean of what was counted; 0 without samples."""
    return fmean(one.counted_mb for one in samples) if samples else 0.0


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process; 0 once it has ended."""
    try:
        text = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    for line in text.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KIB_PER_MB
    return 0.0


def files_mb(folder: Path) -> float:
    """Return what the files below a folder take of its file system."""
    blocks = 0
    for path in folder.rglob("*"):
        try:
            blocks += path.lstat().st_blocks
        except FileNotFoundError:
            continue  # it was removed meanwhile
    return blocks * BYTES_PER_BLOCK / BYTES_PER_MB
