"""The dispatcher as the platform starts it: the deploy file's `run`, as a process of its own."""

import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from copy import copy
from http.client import HTTPConnection
from pathlib import Path
from typing import Any, Self

from review.standins import site
from review.standins.discovery import start_discovery
from review.standins.record import Record, has_trouble
from stepstream.lab.processes.addresses import free_port

ROOT = Path(__file__).resolve().parents[2]
LOG_TAIL_CHARACTERS = 1500
READY_SECONDS = 30.0  # the platform's bound for a start
# SIGKILL follows SIGTERM no sooner than this: 3 s for the longest deadline, and 0.7 s.
KILL_AFTER_TERM_SECONDS = 3.7
RULE_BROKEN = 3  # run.sh turns it into 1, which the interpreter uses for its own errors


class CannotRunError(Exception):
    """The case could not run; the text says why."""


def case_host(number: int = 1) -> str:
    """Return a loopback address for listeners that no other run uses."""
    pid = os.getpid()
    return f"127.{100 + (pid >> 14) % 20}.{(pid >> 6) % 250 + 1}.{(pid % 64) * 3 + number}"


def answers_yes(address: tuple[str, int], path: str) -> bool:
    """Return whether a GET is answered with 200."""
    connection = HTTPConnection(*address, timeout=1.0)
    try:
        connection.request("GET", path)
        return connection.getresponse().status == 200
    except OSError:
        return False
    finally:
        connection.close()


class Dispatcher:
    """One dispatcher; several starts of it may run one after the other."""

    def __init__(
        self,
        name: str,
        folder: Path,
        host: str,
        discovery: str,
        settings: dict[str, Any],
        operator_file: str = "",
        admin_address: str = "",
    ) -> None:
        """Write the files; `operator_file` is the text of the operator's file, if there is one."""
        folder = Path(tempfile.mkdtemp(prefix=f"{name}-", dir=folder))
        self.name = name
        self.folder = folder
        self.temporary_folder: Path | None = None  # of the process that was started last
        self.host = host
        self.port = free_port(host)
        self.log_path = folder / f"{name}.log"
        self.config_path = folder / f"{name}.json"
        self.operator_path = folder / f"{name}.toml"
        self.has_operator_file = bool(operator_file)
        self.process: subprocess.Popen[bytes] | None = None
        config: dict[str, Any] = {
            "name": name,
            "listen": f"{host}:{self.port}",
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings,
        }
        if admin_address:
            config["operator"] = admin_address
        self.config_path.write_text(json.dumps(config))
        self.operator_path.write_text(operator_file)

    def prepare_successor(self, admin_address: str) -> "Dispatcher":
        """Return the same dispatcher with another second address, for an upgrade."""
        successor = copy(self)
        successor.process = None
        successor.config_path = self.folder / "successor.json"
        successor.log_path = self.folder / "successor.log"
        config = json.loads(self.config_path.read_text())
        successor.config_path.write_text(json.dumps({**config, "operator": admin_address}))
        return successor

    def start(self, temporary_folder: Path | None = None) -> None:
        """Start the deploy file's `run`.

        Its temporary folder is empty, as the platform has it, or the given one at an upgrade.
        """
        self.temporary_folder = temporary_folder or Path(tempfile.mkdtemp(dir=self.folder))
        with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
            run = tomllib.load(file)["run"]
        environment = {
            **os.environ,
            "EDGE_CONFIG": str(self.config_path),
            "TMPDIR": str(self.temporary_folder),
        }
        if self.has_operator_file:
            environment["STEPSTREAM_OPERATOR"] = str(self.operator_path)
        with open(self.log_path, "ab") as log:
            # The shell replaces itself by the program, so the process id is the program's.
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def wait_until_ready(self) -> None:
        """Wait for 200 at `GET /-/ready`."""
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline:
            if self.process is None or self.process.poll() is not None:
                break
            if self.is_ready():
                return
            time.sleep(0.05)
        tail = self.log_path.read_text(errors="replace")[-LOG_TAIL_CHARACTERS:]
        raise CannotRunError(f"{self.name} is not ready: {tail}")

    def is_ready(self) -> bool:
        """Return whether `GET /-/ready` answers 200."""
        return answers_yes((self.host, self.port), "/-/ready")

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process that was started last."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal_number)

    def is_running(self) -> bool:
        """Return whether the process that was started last runs."""
        return self.process is not None and self.process.poll() is None

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()


class Scenario:
    """The temporary folder of a run and the processes in it; all end with the block."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="stepstream-case-"))
        self.dispatchers: list[Dispatcher] = []
        self.processes: list[subprocess.Popen[bytes]] = []
        self.events: list[tuple[Any, ...]] = []  # of the stand-ins: time, then the words of a line

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.processes:
            process.kill()
            process.wait()
        for dispatcher in self.dispatchers:
            dispatcher.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    def add(self, dispatcher: Dispatcher) -> Dispatcher:
        """End this dispatcher with the block."""
        self.dispatchers.append(dispatcher)
        return dispatcher

    def start_stand_in(self, module: str, record: Record, *arguments: object) -> None:
        """Start a module of the stand-ins as a process; record what it writes, line by line.

        A line begins with a time of the monotonic clock.
        """
        process = subprocess.Popen(
            [sys.executable, "-m", f"review.standins.{module}", *map(str, arguments)],
            cwd=ROOT,
            stdout=subprocess.PIPE,
        )
        self.processes.append(process)
        threading.Thread(target=self._record_lines, args=(process, record), daemon=True).start()

    def _record_lines(self, process: subprocess.Popen[bytes], record: Record) -> None:
        assert process.stdout is not None
        for line in process.stdout:
            at, _, text = line.decode().strip().partition(" ")
            record.write(text, float(at))
            self.events.append((float(at), *text.split()))


def start_gearman_dispatcher(
    scenario: Scenario, settings: dict[str, Any] | None = None
) -> tuple[Dispatcher, tuple[str, int]]:
    """Start one dispatcher with Gearman; return it and the address of its Gearman listener.

    Its settings are the site's, unless others are given.
    """
    host = case_host()
    address = (host, free_port(host))
    operator_file = f'[gearman]\nlisten = "{host}:{address[1]}"\ntenant = "tatra-invest"\n'
    settings = settings or site.settings()
    discovery = start_discovery(host)
    dispatcher = scenario.add(
        Dispatcher("n1", scenario.folder, host, discovery, settings, operator_file)
    )
    dispatcher.start()
    dispatcher.wait_until_ready()
    return dispatcher, address


def run_case(folder: Path, play: Callable[[Scenario, Record], bool]) -> int:
    """Play a case; return 0 if its rule held, RULE_BROKEN, or 2 if it could not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    with Record(folder) as record:
        record.write("with the disruption" if has_trouble() else "without the disruption")
        try:
            with Scenario() as scenario:
                held = play(scenario, record)
        except Exception as error:  # noqa: BLE001  whatever it is, the rule was not judged
            record.write(f"could not run: {type(error).__name__}: {error}")
            return 2
        record.write("the rule held" if held else "the rule was broken")
        return 0 if held else RULE_BROKEN
