"""The frame of a case: its record, its processes, its time limit and its exit code."""

import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
TIME_LIMIT_SECONDS = 110.0
HOST = "127.0.0.1"


class CannotRunError(Exception):
    """The case could not run, so that it has no result."""


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port of the loopback address that nobody uses now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Case:
    """One run: writes `record.txt`, owns a temporary folder and ends its processes."""

    def __init__(self, folder: str) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self.temporary = tempfile.mkdtemp(prefix="review2-")
        self.processes: list[tuple[str, subprocess.Popen[bytes], Path]] = []
        self.broken: list[str] = []
        self.log(f"TROUBLE={int(self.trouble)}")

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started

    def log(self, text: str) -> None:
        """Write one line to the record."""
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()

    def break_rule(self, text: str) -> None:
        """Note that the rule was broken."""
        self.broken.append(text)
        self.log(f"RULE BROKEN: {text}")

    # -- processes --

    def start(
        self, name: str, command: str, environment: dict[str, str]
    ) -> "subprocess.Popen[bytes]":
        """Start a command by /bin/sh from the root; its output goes to a file."""
        output = Path(self.temporary) / f"{name}.log"
        with output.open("ab") as stream:
            process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env={**os.environ, **environment},
                stdin=subprocess.DEVNULL,
                stdout=stream,
                stderr=stream,
                start_new_session=True,
            )
        self.processes.append((name, process, output))
        self.log(f"started {name}")
        return process

    def output_of(self, name: str) -> str:
        """Return what a process has written."""
        texts = [
            path.read_text("utf-8", "replace") for known, _, path in self.processes if known == name
        ]
        return texts[-1] if texts else ""

    def start_dispatcher(
        self, config: dict[str, object], operator: str = "", name: str = "dispatcher"
    ) -> "subprocess.Popen[bytes]":
        """Start one dispatcher by `run` of the deploy file, with its configuration and files."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        folder = Path(self.temporary) / name
        folder.mkdir(exist_ok=True)
        config_path = Path(self.temporary) / f"{name}.json"
        config_path.write_text(json.dumps(config))
        environment = {"EDGE_CONFIG": str(config_path), "TMPDIR": str(folder)}
        if operator:
            operator_path = Path(self.temporary) / f"{name}.toml"
            operator_path.write_text(operator)
            environment["STEPSTREAM_OPERATOR"] = str(operator_path)
        return self.start(name, deploy["run"], environment)

    def close(self) -> None:
        """End every process that the case has started, and remove its folder."""
        for name, process, output in self.processes:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(process.pid, signal.SIGKILL)
            process.wait()
            lines = output.read_text("utf-8", "replace").splitlines()
            self.log(f"{name} ended with {process.returncode}; the last of its log:")
            for line in lines[-12:]:
                self.log(f"  {line[:300]}")
        shutil.rmtree(self.temporary, ignore_errors=True)


def wait_until(condition: Callable[[], object], seconds: float, what: str) -> None:
    """Wait for a condition; raise `CannotRunError` if it does not come true in time."""
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise CannotRunError(f"{what}: not within {seconds:g} s")
        time.sleep(0.01)


def run_case(folder: str, body: Callable[[Case], None]) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    case = Case(folder)

    def give_up() -> None:
        case.log("the time limit has passed")
        case.close()
        os._exit(NOT_RUN)

    timer = threading.Timer(TIME_LIMIT_SECONDS, give_up)
    timer.daemon = True
    timer.start()
    code = NOT_RUN
    try:
        body(case)
        code = BROKEN if case.broken else HELD
    except CannotRunError as error:
        case.log(f"could not run: {error}")
    except Exception as error:  # noqa: BLE001
        case.log(f"could not run: {type(error).__name__}: {error}")
    finally:
        case.close()
    result = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "no result"}[code]
    case.log(f"exit {code}: {result}")
    print(result, *case.broken, sep="\n  ")
    sys.stdout.flush()
    os._exit(code)
