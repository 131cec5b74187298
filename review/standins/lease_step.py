"""One step of a nightly script that runs under a lease: it writes to a resource for some seconds.

Arguments: FILE WHO STEP SECONDS. It appends a line to the file every 0.1 s: time of the monotonic
clock, who, step, the fencing token, the ids of this process and of its process group. It ends by
itself.
"""

import os
import sys
import time

INTERVAL_SECONDS = 0.1


def main(path: str, who: str, step: str, seconds: float) -> None:
    """Write until the time is over."""
    token = os.environ["STEPSTREAM_FENCE"]
    end_at = time.monotonic() + seconds
    ids = f"{os.getpid()} {os.getpgrp()}"
    with open(path, "a", encoding="utf-8", buffering=1) as file:
        while time.monotonic() < end_at:
            file.write(f"{time.monotonic():.6f} {who} {step} {token} {ids}\n")
            time.sleep(INTERVAL_SECONDS)


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2], sys.argv[3], float(sys.argv[4]))
