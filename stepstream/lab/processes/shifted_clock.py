"""Run a module as a program whose time of day is off; its monotonic clock is not.

    python -m stepstream.lab.processes.shifted_clock OFFSET_SECONDS MODULE ARGUMENT...

The offset may be negative.
"""

import runpy
import sys
import time

NANOSECONDS = 1_000_000_000


def shift_time_of_day(offset_seconds: float) -> None:
    """Add an offset to `time.time` and `time.time_ns` of this process."""
    offset_ns = int(offset_seconds * NANOSECONDS)
    real_time = time.time
    real_time_ns = time.time_ns
    time.time = lambda: real_time() + offset_ns / NANOSECONDS
    time.time_ns = lambda: real_time_ns() + offset_ns


if __name__ == "__main__":
    offset_text, module = sys.argv[1:3]
    shift_time_of_day(float(offset_text))
    sys.argv = sys.argv[2:]
    runpy.run_module(module, run_name="__main__", alter_sys=True)
