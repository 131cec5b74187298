"""Calls a function on a thread with the dispatcher's stack, in a process of its own.

A thread that exceeds its stack ends its process, which therefore must not be the test process.
"""

import subprocess
import sys

from tests.node.dispatcher_process import ROOT

PROGRAM = """
import threading
from stepstream.config.limits import Limits
from {module} import {function}

def run():
    {function}(*{arguments!r})
    completed.append(True)

completed = []
threading.stack_size(Limits().sizes.thread_stack_bytes)
thread = threading.Thread(target=run)
thread.start()
thread.join()
assert completed
"""


def call_on_thread_stack(function, *arguments):
    """Call a function of a test module; fail the test if it raises or ends the process.

    The arguments are written into the other process's program by their `repr`.
    """
    program = PROGRAM.format(
        module=function.__module__, function=function.__name__, arguments=arguments
    )
    command = [sys.executable, "-c", program]
    run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    assert (run.returncode, run.stderr) == (0, "")
