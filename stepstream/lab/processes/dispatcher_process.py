"""One dispatcher in a process of its own, with its files and its log.

A `DispatcherProcess` belongs to one thread. As a context manager it kills every process that it
has started.
"""

import os
import signal
import subprocess
import sys
from collections.abc import Iterator, Mapping, Sequence
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Self

import ujson

from stepstream.lab.processes.configuration_files import NodeConfiguration

STEPSTREAM_PROGRAM = ("-m", "stepstream")
"""Arguments with which the Python interpreter runs the real program."""

SHUTDOWN_TIMEOUT_SECONDS = 30.0
LOG_TAIL_CHARACTERS = 2000


class DispatcherProcessError(RuntimeError):
    """A dispatcher's process was not started, or ended before it was ready."""


def end_process(process: subprocess.Popen[bytes]) -> None:
    """Kill a process, even a suspended one, and wait for its end; do nothing if it has ended."""
    process.kill()
    process.wait()


@contextmanager
def child_process(arguments: Sequence[str]) -> Iterator[subprocess.Popen[bytes]]:
    """Run the Python interpreter with these arguments; kill it at the end of the block."""
    process = subprocess.Popen([sys.executable, *arguments])
    try:
        yield process
    finally:
        end_process(process)


class DispatcherProcess:
    """A dispatcher named `name` that keeps its files in `folder`."""

    def __init__(self, name: str, folder: Path) -> None:
        self.name = name
        self.folder = folder
        self.process: subprocess.Popen[bytes] | None = None  # the latest one that was started
        self._started_processes = ExitStack()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exception: object) -> None:
        self._started_processes.close()

    # -- files ------------------------------------------------------------------------------------

    @property
    def configuration_path(self) -> Path:
        """The platform's configuration file."""
        return self.folder / f"{self.name}.json"

    @property
    def operator_path(self) -> Path:
        """The operator's file; if it does not exist, the dispatcher runs without one."""
        return self.folder / f"{self.name}.toml"

    @property
    def log_path(self) -> Path:
        """The log: the standard error of all processes that were started."""
        return self.folder / f"{self.name}.log"

    def write_files(self, configuration: NodeConfiguration, operator_text: str | None) -> None:
        """Write the configuration and, unless its text is None, the operator's file."""
        self.configuration_path.write_text(ujson.dumps(configuration))
        if operator_text is not None:
            self.operator_path.write_text(operator_text)

    def read_log(self) -> str:
        """Return the whole log."""
        return self.log_path.read_text(encoding="utf-8")

    def log_tail(self) -> str:
        """Return the end of the log; empty before the first start."""
        if not self.log_path.exists():
            return ""
        return self.read_log()[-LOG_TAIL_CHARACTERS:].strip()

    # -- process ----------------------------------------------------------------------------------

    def spawn(
        self,
        program: Sequence[str] = STEPSTREAM_PROGRAM,
        environment: Mapping[str, str] | None = None,
    ) -> subprocess.Popen[bytes]:
        """Start a process and return it, without waiting until it is ready.

        `program` holds the interpreter's arguments before the command `serve`. `environment` is
        added to this process's own. An earlier process that still runs is not stopped.
        """
        arguments = [sys.executable, *program, "serve"]
        if self.operator_path.exists():
            arguments += ["--operator", str(self.operator_path)]
        variables = {
            **os.environ,
            "EDGE_CONFIG": str(self.configuration_path),
            **(environment or {}),
        }
        with open(self.log_path, "a", encoding="utf-8") as log:
            process = subprocess.Popen(arguments, env=variables, stderr=log)
        self._started_processes.callback(end_process, process)
        self.process = process
        return process

    def is_running(self) -> bool:
        """Return whether the latest process exists and has not ended; it may be suspended."""
        return self.process is not None and self.process.poll() is None

    def started_process(self) -> subprocess.Popen[bytes]:
        """Return the latest process; raise DispatcherProcessError if none was started."""
        if self.process is None:
            raise DispatcherProcessError(f"{self.name} was never started")
        return self.process

    def require_running(self) -> None:
        """Raise DispatcherProcessError with the end of the log if the process has ended."""
        exit_code = self.started_process().poll()
        if exit_code is not None:
            message = f"{self.name} did not start, exit code {exit_code}: {self.log_tail()}"
            raise DispatcherProcessError(message)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the latest process; do nothing if it has ended."""
        self.started_process().send_signal(number)

    def suspend(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process; do nothing if it is not suspended."""
        self.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        end_process(self.started_process())

    def terminate(self) -> None:
        """Send SIGTERM without waiting for the end."""
        self.send_signal(signal.SIGTERM)

    def stop(self) -> int:
        """Send SIGTERM, wait for the end and return the exit code."""
        self.terminate()
        return self.started_process().wait(SHUTDOWN_TIMEOUT_SECONDS)
