"""The record of a run: what was sent, answered and run, with the time of each."""

import os
import time
from pathlib import Path
from typing import Self


class Record:
    """Writes a line for each event to `record.txt` in the folder of a case."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8", buffering=1)
        self.started_at = time.monotonic()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.file.close()

    def seconds(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.started_at

    def write(self, text: str, at: float | None = None) -> None:
        """Write a line; `at` is a time.monotonic(), now by default."""
        seconds = self.seconds() if at is None else at - self.started_at
        if not self.file.closed:
            self.file.write(f"{seconds:9.3f} {text}\n")


def has_trouble() -> bool:
    """Return whether the run has its disruption; TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"
