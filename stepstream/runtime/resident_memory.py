"""The memory of this process as the platform counts it: resident pages, and files in $TMPDIR.

The source is /proc/self/statm, see proc(5). Any thread may use it.
"""

import os
import time

STATM_BYTES = 128
RESIDENT_FIELD = 1  # of statm, in pages
SAMPLE_SECONDS = 0.005  # a read of statm takes about a microsecond
FILE_PREFIX = "stepstream-"  # of the program's own files
BYTES_PER_BLOCK = 512  # of `st_blocks`


class ResidentMemory:
    """Reads the counted memory; it is 0 where the system does not tell it."""

    def __init__(self, folder: str | None) -> None:
        """`folder` is $TMPDIR; None if it is not set."""
        self._folder = folder
        self._page_bytes = os.sysconf("SC_PAGE_SIZE")
        self._sampled_at_seconds = 0.0  # monotonic
        self._resident_bytes = 0
        self.files_bytes = 0  # as of the last `count_files`
        try:
            self._statm = os.open("/proc/self/statm", os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            self._statm = -1

    def counted_bytes(self) -> int:
        """Return resident pages and files, as of a few milliseconds ago at most."""
        now_seconds = time.monotonic()
        if now_seconds - self._sampled_at_seconds >= SAMPLE_SECONDS:
            self._sampled_at_seconds = now_seconds
            self._resident_bytes = self._read_resident_bytes()
        return self._resident_bytes + self.files_bytes

    def _read_resident_bytes(self) -> int:
        if self._statm < 0:
            return 0
        fields = os.pread(self._statm, STATM_BYTES, 0).split()
        return int(fields[RESIDENT_FIELD]) * self._page_bytes

    def count_files(self) -> None:
        """Count the program's files; one thread calls it from time to time."""
        if self._folder is None:
            return
        blocks = 0
        try:
            with os.scandir(self._folder) as entries:
                for entry in entries:
                    if entry.name.startswith(FILE_PREFIX):
                        blocks += entry.stat(follow_symlinks=False).st_blocks
        except OSError:
            return  # a file was removed meanwhile, or the folder cannot be read for a moment
        self.files_bytes = blocks * BYTES_PER_BLOCK
