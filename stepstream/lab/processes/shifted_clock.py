"""Run a module as a program with a shifted Unix time; its monotonic clock is unchanged.

    python -m stepstream.lab.processes.shifted_clock OFFSET_SECONDS MODULE ARGUMENT...

The offset may be negative.
"""

import runpy
import sys
import time

NS_PER_SECOND = 1_000_000_000


def shift_unix_time(offset_seconds: float) -> None:
    """Add an offset to `time.time` and `time.time_ns` of this process."""
    offset_ns = int(offset_seconds * NS_PER_SECOND)
    real_time = time.time
    real_time_ns = time.time_ns
    time.time = lambda: real_time() + offset_ns / NS_PER_SECOND
    time.time_ns = lambda: real_time_ns() + offset_ns


if __name__ == "__main__":
    offset_text, module = sys.argv[1:3]
    shift_unix_time(float(offset_text))
    sys.argv = sys.argv[2:]
    runpy.run_module(module, run_name="__main__", alter_sys=True)
