"""Compare two checkouts: CPU of a decision, memory after the start, start time.

Usage:
  decision_cost OLD NEW [--runs N] [--jobs N]

Options:
  --runs N  Runs of each checkout, alternating: old, new, old, new ... [default: 5].
  --jobs N  Jobs in one run of the simulator's adapter [default: 3000].

Each run is a process of its own, started by the command in the checkout's deploy/balancer.toml. The
first run of each checkout is not counted: it fills a cache of compiled modules outside the
checkouts. The cost of a job is the CPU time of the adapter for the job's request, its outcome and
the timers that are due meanwhile, in microseconds. Memory is in KiB, the start time in
milliseconds. Replies are compared too: the same settings, seed and events must lead to the same
actions; if they do not, the exit code is 1. On a busy machine the lowest values of a few runs are
more reliable than the medians. Linux only.
"""

import json
import os
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from hashlib import sha256
from heapq import heappop, heappush
from http import HTTPStatus
from http.client import HTTPConnection
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from random import Random
from socket import socket
from statistics import median
from time import monotonic
from typing import IO, Any
from urllib.parse import parse_qs, urlsplit

from docopt import docopt

LOCAL = "127.0.0.1"
WORKER_COUNTS = (16, 1024)
SEED = 20_260
JOB_GAP_US = 2_000  # between two requests
MEAN_JOBS_IN_FLIGHT = 24  # attempts running at the same time, on average
SERVED_FRACTION = 0.97  # of the attempts; the others fail
KEY_COUNT = 200
START_US = 1_000_000
MAX_START_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.002
STOP_TIMEOUT_SECONDS = 15.0
CLASS_KEY_PARTS = 3  # services.NUMBER.KEY

SETTINGS = {
    "discovery": "automatic",
    "fleet_size": "2",
    "limits.may_duplicate": "false",
    "limits.try_limit": "3",
    "load_report.columns": "queue,x0",
    "load_report.how": "answers",
    "extra.report_x0": "free_slots",
    "quantum_us": "1000",
    "services.count": "2",
    "services.0.name": "revalue",
    "services.0.effect": "pure",
    "services.0.goal_time_us": "400000",
    "services.0.deadline_us": "5000000",
    "services.0.worth": "1.0",
    "services.1.name": "publish",
    "services.1.effect": "token",
    "services.1.key_scope": "cell",
    "services.1.goal_time_us": "400000",
    "services.1.deadline_us": "5000000",
    "services.1.window_us": "5000000",
    "services.1.worth": "3.0",
    "zones": "north,south",
}


@dataclass(frozen=True)
class Checkout:
    """A copy of the project, and the folder for its compiled modules during the benchmark."""

    root: Path
    cache: Path

    def start(self, command: str, **environment: str) -> subprocess.Popen[str]:
        """Start the command that has this name in the checkout's deploy file."""
        deploy = tomllib.loads((self.root / "deploy" / "balancer.toml").read_text())
        variables = {"PYTHONPYCACHEPREFIX": str(self.cache), **environment}
        return subprocess.Popen(
            ["/bin/sh", "-c", deploy[command]],
            cwd=self.root,
            env={**os.environ, **variables},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )


# -- the simulator's adapter ----------------------------------------------------------------


class Adapter:
    """The connection to an adapter process that runs one dispatcher."""

    def __init__(self, process: subprocess.Popen[str]) -> None:
        self.process = process
        self.requests = open_pipe(process.stdin)
        self.replies = open_pipe(process.stdout)
        self.batch_count = 0
        self.digest = sha256()

    def send_batch(self, now_us: int, lines: list[str]) -> list[str]:
        """Send the lines of one moment; return the lines of the reply without the last one."""
        self.batch_count += 1
        head = f"MARK t_us={now_us} batch={self.batch_count}"
        first = "SWITCH_TO dispatcher=0"
        self.requests.write("\n".join((head, first, *lines, "END")) + "\n")
        self.requests.flush()
        reply = []
        while not (line := self.replies.readline()).startswith("FINISHED"):
            if not line or line.startswith("PANIC"):
                raise RuntimeError(f"the adapter has failed: {line!r}")
            self.digest.update(line.encode())
            reply.append(line.rstrip("\n"))
        return reply

    def cpu_seconds(self) -> float:
        """Return the CPU time of the process so far, from /proc/PID/schedstat."""
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1e9


def open_pipe(pipe: IO[str] | None) -> IO[str]:
    """Return a pipe of a process; raise RuntimeError if the process was started without it."""
    if pipe is None:
        raise RuntimeError("the process has no pipe for its input or output")
    return pipe


class Load:
    """Emulated clients and workers; a worker answers each attempt after a random time."""

    def __init__(self, adapter: Adapter, workers: int) -> None:
        self.adapter = adapter
        self.workers = workers
        self.rng = Random(SEED)
        self.now_us = START_US
        # The time of an event, a serial number for a stable order, and the event's line.
        self.scheduled: list[tuple[int, int, str]] = []
        self.scheduled_count = 0
        self.attempts: dict[str, int] = {}  # by job

    def send_settings(self) -> None:
        """Send the first batch: the settings and the endpoint list."""
        pairs = " ".join(f"{key}={value}" for key, value in SETTINGS.items())
        table = [f"TABLE sheet=0 lines={self.workers}"]
        for number in range(self.workers):
            place = f"campus={number % 2} type=0 cluster={number % 8} mode=IN weight=1"
            table.append(f"RUNNER runner=10.0.{number // 250}.{number % 250}:5000 {place}")
        topology = "TOPOLOGY serial=1 sheet=0 mode=Persisted"
        self.send([f"ENLIST rng_seed={SEED} {pairs}", *table, topology])

    def submit_job(self, number: int) -> None:
        """Send one request, after all events that are due by then."""
        self.now_us += JOB_GAP_US
        events = []
        while self.scheduled and self.scheduled[0][0] <= self.now_us:
            events.append(heappop(self.scheduled)[2])
        job_class = number % 2
        key = f" path_key={number % KEY_COUNT:016x}" if job_class else ""
        request = f"REQUEST msg_id={number:016x} type={job_class}{key} budget_us=5000000"
        self.send([*events, request])

    def send(self, events: list[str]) -> None:
        """Send events, and carry out the actions of the reply."""
        for line in self.adapter.send_batch(self.now_us, events):
            name, *parts = line.split(" ")
            fields = dict(part.split("=", 1) for part in parts)
            if name == "RELAY":
                self.start_attempt(fields["msg_id"], fields["runner"])
            elif name == "WAKE_ME":
                self.schedule(int(fields["moment_us"]), f"WAKE ctx={fields['ctx']}")

    def start_attempt(self, job: str, worker: str) -> None:
        """Choose a random duration and outcome of an attempt, and schedule its end."""
        attempt = self.attempts.get(job, 0)
        self.attempts[job] = attempt + 1
        elapsed_us = int(self.rng.uniform(0.5, 1.5) * MEAN_JOBS_IN_FLIGHT * JOB_GAP_US)
        is_served = self.rng.random() < SERVED_FRACTION
        outcome = "state_code=OK finished=1" if is_served else "state_code=UNAVAILABLE"
        report = f" gauge={self.rng.randrange(2)},{self.rng.randrange(1, 6)}" if is_served else ""
        answer = f"ANSWER msg_id={job} n={attempt} runner={worker} {outcome} spent_us={elapsed_us}"
        self.schedule(self.now_us + elapsed_us, answer + report)

    def schedule(self, at_us: int, event: str) -> None:
        """Send an event with the first request that comes after its time."""
        self.scheduled_count += 1
        heappush(self.scheduled, (at_us, self.scheduled_count, event))


def decision_cost(checkout: Checkout, workers: int, jobs: int) -> tuple[float, str]:
    """Return the CPU microseconds of one job, and a digest of all replies."""
    process = checkout.start("sim")
    try:
        adapter = Adapter(process)
        load = Load(adapter, workers)
        load.send_settings()
        before_seconds = adapter.cpu_seconds()
        for number in range(jobs):
            load.submit_job(number)
        cost_us = (adapter.cpu_seconds() - before_seconds) / jobs * 1e6
        return cost_us, adapter.digest.hexdigest()
    finally:
        end_process(process)


# -- the dispatcher -------------------------------------------------------------------------


class DiscoveryHandler(BaseHTTPRequestHandler):
    """Emulate discovery with a list that never changes, and watches that end without a change."""

    protocol_version = "HTTP/1.1"
    rows = [
        {"id": f"worker-{number}", "addr": f"{LOCAL}:9", "zone": number % 2, "cell": number % 8}
        for number in range(WORKER_COUNTS[0])
    ]

    def do_GET(self) -> None:  # noqa: N802  the name that the base class calls
        """Answer a call or a watch."""
        query = parse_qs(urlsplit(self.path).query)
        watched = "index" in query
        if watched:
            time.sleep(int(query.get("wait", ["0"])[0]) / 1000)
        rows = [] if watched else self.rows
        body = json.dumps({"version": 1, "full": not watched, "servers": rows})
        with suppress(ConnectionError):  # the measured dispatcher may have ended
            self.send_response(200)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body.encode())

    def log_message(self, *arguments: object) -> None:
        """Log nothing."""


@contextmanager
def running_discovery() -> Iterator[int]:
    """Run the emulated discovery; yield its port."""
    server = ThreadingHTTPServer((LOCAL, 0), DiscoveryHandler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    try:
        yield server.server_port
    finally:
        server.shutdown()


def nested_configuration(pairs: dict[str, str]) -> dict[str, Any]:
    """Return the nested JSON of a configuration from dotted keys; the classes become a list."""
    root: dict[str, Any] = {}
    for path, value in pairs.items():
        if not path.startswith("services."):
            *outer, last = path.split(".")
            section = root
            for name in outer:
                section = section.setdefault(name, {})
            section[last] = value
    services: list[dict[str, str]] = [{} for _ in range(int(pairs["services.count"]))]
    for path, value in pairs.items():
        parts = path.split(".")
        if path.startswith("services.") and len(parts) == CLASS_KEY_PARTS:
            _, number, key = parts
            services[int(number)][key] = value
    return {**root, "services": services}


def free_port() -> int:
    """Return a port that is free now."""
    with socket() as listener:
        listener.bind((LOCAL, 0))
        port: int = listener.getsockname()[1]
        return port


def start_figures(checkout: Checkout, discovery_port: int) -> dict[str, float]:
    """Return the milliseconds until the first 200 of /-/ready, and the memory used at that time."""
    port = free_port()
    config = {
        "name": "measured",
        "listen": f"{LOCAL}:{port}",
        "discovery": f"{LOCAL}:{discovery_port}",
        "seed": "1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": nested_configuration(SETTINGS),
    }
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(config, file)
        file.flush()
        started_seconds = monotonic()
        process = checkout.start("run", EDGE_CONFIG=file.name)
        try:
            while not is_ready(port):
                if process.poll() is not None or monotonic() - started_seconds > MAX_START_SECONDS:
                    raise RuntimeError(f"{checkout.root}: the dispatcher did not become ready")
                time.sleep(POLL_INTERVAL_SECONDS)
            ready_ms = (monotonic() - started_seconds) * 1e3
            return {"start to ready, ms": ready_ms, **memory_figures(process.pid)}
        finally:
            end_process(process)


def is_ready(port: int) -> bool:
    """Return whether the dispatcher answers /-/ready with 200."""
    connection = HTTPConnection(LOCAL, port, timeout=1.0)
    try:
        connection.request("GET", "/-/ready")
        return connection.getresponse().status == HTTPStatus.OK
    except OSError:
        return False
    finally:
        connection.close()


def memory_figures(pid: int) -> dict[str, float]:
    """Return the resident memory now and at its highest, in KiB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    figures = dict(line.split(":", 1) for line in lines)
    return {f"{name} at ready, KiB": int(figures[name].split()[0]) for name in ("VmRSS", "VmHWM")}


def end_process(process: subprocess.Popen[str]) -> None:
    """Close the input, which ends an adapter; kill a dispatcher: it needs no graceful stop here."""
    open_pipe(process.stdin).close()
    if process.poll() is None:
        process.kill()
    process.wait(STOP_TIMEOUT_SECONDS)
    open_pipe(process.stdout).close()


# -- the comparison -------------------------------------------------------------------------


Figures = dict[str, float]


def measure_run(checkout: Checkout, jobs: int, discovery_port: int) -> tuple[Figures, list[str]]:
    """Return all figures of one run, and the digests of the replies."""
    figures: Figures = {}
    digests: list[str] = []
    for workers in WORKER_COUNTS:
        cost_us, digest = decision_cost(checkout, workers, jobs)
        figures[f"a job at {workers} workers, CPU us"] = cost_us
        digests.append(digest)
    return {**figures, **start_figures(checkout, discovery_port)}, digests


def compare(checkouts: list[Checkout], runs: int, jobs: int) -> tuple[list[list[Figures]], bool]:
    """Return the figures by checkout and run, and whether all replies are the same."""
    figures: list[list[Figures]] = [[] for _ in checkouts]
    replies: set[tuple[str, ...]] = set()
    with running_discovery() as port:
        for number in range(runs + 1):
            for index, checkout in enumerate(checkouts):
                measured, digests = measure_run(checkout, jobs, port)
                replies.add(tuple(digests))
                if number:  # the first run is not counted
                    figures[index].append(measured)
    return figures, len(replies) == 1


def print_table(old: list[Figures], new: list[Figures]) -> None:
    """Print the medians and lowest values of each figure, and their ratios."""
    columns = ("old", "new", "new/old", "old low", "new low", "new/old")
    print(" " * 34 + "".join(f"{column:>10}" for column in columns))
    for name in old[0]:
        cells = []
        for summary in (median, min):
            before, after = (summary([run[name] for run in runs]) for runs in (old, new))
            cells.append(f"{before:10.1f}{after:10.1f}{after / before:10.3f}")
        print(f"{name:34}" + "".join(cells))


def main() -> int:
    """Run the benchmark with the options of the command line; return the exit code."""
    arguments = docopt(__doc__)
    runs, jobs = int(arguments["--runs"]), int(arguments["--jobs"])
    if runs < 1 or jobs < 1:
        print("--runs and --jobs must be at least 1", file=sys.stderr)
        return 2
    with tempfile.TemporaryDirectory() as folder:
        roots = [Path(arguments[name]).resolve() for name in ("OLD", "NEW")]
        caches = [Path(folder) / name for name in ("old", "new")]
        checkouts = [Checkout(*pair) for pair in zip(roots, caches, strict=True)]
        (old, new), same = compare(checkouts, runs, jobs)
    print_table(old, new)
    print("replies: the same" if same else "replies: they differ")
    return 0 if same else 1


if __name__ == "__main__":
    sys.exit(main())
