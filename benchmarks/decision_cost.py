"""Two checkouts side by side: cost of a decision, memory after the start, time to start.

Usage:
  decision_cost.py OLD NEW [--runs N] [--jobs N]

Options:
  --runs N  Runs of each checkout, in turn: old, new, old, new ... [default: 5].
  --jobs N  Jobs in one run of the simulator's adapter [default: 3000].

Each run is a process of its own, started by the command that the checkout's deploy/balancer.toml
names. A first run of each is not counted: it fills a cache of compiled modules outside the
checkouts. The cost of a job is the processor time of the adapter for its request, its outcome and
the timers beside it. Replies are compared too: the same settings, seed and events have to bring
the same actions; if they do not, the exit code is 1. On a busy machine the lowest figures of a few
runs say more than the medians. Linux only.
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
from http.client import HTTPConnection
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from random import Random
from socket import socket
from statistics import median
from time import monotonic
from urllib.parse import parse_qs, urlsplit

from docopt import docopt

LOCAL = "127.0.0.1"
WORKER_COUNTS = (16, 1024)
SEED = 20_260
JOB_GAP_US = 2_000  # between two requests
IN_FLIGHT = 24  # jobs that are out at the same time
LONGEST_START_S = 30.0
POLL_S = 0.002
STOP_S = 15.0

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
    """A copy of the project, and where its compiled modules are kept meanwhile."""

    root: Path
    cache: Path

    def start(self, command: str, **environment: str) -> subprocess.Popen:
        """Start the command of this name in the checkout's deploy file."""
        deploy = tomllib.loads((self.root / "deploy" / "balancer.toml").read_text())
        own = {"PYTHONPYCACHEPREFIX": str(self.cache), **environment}
        return subprocess.Popen(
            ["/bin/sh", "-c", deploy[command]],
            cwd=self.root,
            env={**os.environ, **own},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )


# -- the simulator's adapter ----------------------------------------------------------------


class Adapter:
    """The wire to one adapter process, with one instance in it."""

    def __init__(self, process: subprocess.Popen) -> None:
        self.process = process
        self.batches = 0
        self.digest = sha256()

    def batch(self, now_us: int, lines: list[str]) -> list[str]:
        """The lines of the reply, without the last one."""
        self.batches += 1
        head, first = f"MARK t_us={now_us} batch={self.batches}", "SWITCH_TO dispatcher=0"
        self.process.stdin.write("\n".join((head, first, *lines, "END")) + "\n")
        self.process.stdin.flush()
        reply = []
        while not (line := self.process.stdout.readline()).startswith("FINISHED"):
            if not line or line.startswith("PANIC"):
                raise RuntimeError(f"the adapter has failed: {line!r}")
            self.digest.update(line.encode())
            reply.append(line.rstrip("\n"))
        return reply

    def processor_s(self) -> float:
        """Time on a processor so far."""
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1e9


class Load:
    """Clients and workers that answer each push after a drawn while."""

    def __init__(self, adapter: Adapter, workers: int) -> None:
        self.adapter, self.workers = adapter, workers
        self.random = Random(SEED)
        self.now_us = 1_000_000
        self.due: list[tuple[int, int, str]] = []
        self.sent = 0
        self.tries: dict[str, int] = {}

    def introduce(self) -> None:
        """Settings and list, as the first batch brings them."""
        pairs = " ".join(f"{key}={value}" for key, value in SETTINGS.items())
        table = [f"TABLE sheet=0 lines={self.workers}"]
        for number in range(self.workers):
            place = f"campus={number % 2} type=0 cluster={number % 8} mode=IN weight=1"
            table.append(f"RUNNER runner=10.0.{number // 250}.{number % 250}:5000 {place}")
        told = "TOPOLOGY serial=1 sheet=0 mode=Persisted"
        self.play([f"ENLIST rng_seed={SEED} {pairs}", *table, told])

    def job(self, number: int) -> None:
        """One request, with all that has come due before it."""
        self.now_us += JOB_GAP_US
        events = []
        while self.due and self.due[0][0] <= self.now_us:
            events.append(heappop(self.due)[2])
        kind = number % 2
        key = f" path_key={number % 200:016x}" if kind else ""
        self.play([*events, f"REQUEST msg_id={number:016x} type={kind}{key} budget_us=5000000"])

    def play(self, events: list[str]) -> None:
        for line in self.adapter.batch(self.now_us, events):
            name, *parts = line.split(" ")
            fields = dict(part.split("=", 1) for part in parts)
            if name == "RELAY":
                self.push(fields["msg_id"], fields["runner"])
            elif name == "WAKE_ME":
                self.later(int(fields["moment_us"]), f"WAKE ctx={fields['ctx']}")

    def push(self, job: str, worker: str) -> None:
        attempt = self.tries.get(job, 0)
        self.tries[job] = attempt + 1
        spent_us = int(self.random.uniform(0.5, 1.5) * IN_FLIGHT * JOB_GAP_US)
        served = self.random.random() < 0.97
        how = "state_code=OK finished=1" if served else "state_code=UNAVAILABLE"
        gauge = f" gauge={self.random.randrange(2)},{self.random.randrange(1, 6)}" if served else ""
        answer = f"ANSWER msg_id={job} n={attempt} runner={worker} {how} spent_us={spent_us}"
        self.later(self.now_us + spent_us, answer + gauge)

    def later(self, at_us: int, event: str) -> None:
        self.sent += 1
        heappush(self.due, (at_us, self.sent, event))


def decision_cost(checkout: Checkout, workers: int, jobs: int) -> tuple[float, str]:
    """Processor microseconds for one job, and a digest of all replies."""
    process = checkout.start("sim")
    try:
        adapter = Adapter(process)
        load = Load(adapter, workers)
        load.introduce()
        begun_s = adapter.processor_s()
        for number in range(jobs):
            load.job(number)
        cost_us = (adapter.processor_s() - begun_s) / jobs * 1e6
        return cost_us, adapter.digest.hexdigest()
    finally:
        end(process)


# -- the dispatcher -------------------------------------------------------------------------


class Targets(BaseHTTPRequestHandler):
    """A stand-in for discovery: an unchanging list, and watches that end without news."""

    protocol_version = "HTTP/1.1"
    rows = [
        {"id": f"worker-{number}", "addr": f"{LOCAL}:9", "zone": number % 2, "cell": number % 8}
        for number in range(WORKER_COUNTS[0])
    ]

    def do_GET(self) -> None:  # noqa: N802
        query = parse_qs(urlsplit(self.path).query)
        watched = "index" in query
        if watched:
            time.sleep(int(query.get("wait", ["0"])[0]) / 1000)
        rows = [] if watched else self.rows
        body = json.dumps({"version": 1, "full": not watched, "servers": rows})
        with suppress(ConnectionError):  # a dispatcher that was measured is gone
            self.send_response(200)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body.encode())

    def log_message(self, *arguments: object) -> None:
        """Calls are not logged."""


@contextmanager
def discovery() -> Iterator[int]:
    """The port of a stand-in for discovery while it runs."""
    server = ThreadingHTTPServer((LOCAL, 0), Targets)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    try:
        yield server.server_port
    finally:
        server.shutdown()


def nested(pairs: dict[str, str]) -> dict:
    """Dotted keys as the nested JSON of a configuration; the classes as a list."""
    root: dict = {}
    for path, value in pairs.items():
        if not path.startswith("services."):
            *outer, last = path.split(".")
            place = root
            for name in outer:
                place = place.setdefault(name, {})
            place[last] = value
    services: list[dict] = [{} for _ in range(int(pairs["services.count"]))]
    for path, value in pairs.items():
        if path.startswith("services.") and path.count(".") == 2:
            _, number, key = path.split(".")
            services[int(number)][key] = value
    return {**root, "services": services}


def free_port() -> int:
    with socket() as probe:
        probe.bind((LOCAL, 0))
        return probe.getsockname()[1]


def start_figures(checkout: Checkout, discovery_port: int) -> dict[str, float]:
    """Milliseconds from the start to the first yes of /-/ready, and the memory then."""
    port = free_port()
    config = {
        "name": "measured",
        "listen": f"{LOCAL}:{port}",
        "discovery": f"{LOCAL}:{discovery_port}",
        "seed": "1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": nested(SETTINGS),
    }
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(config, file)
        file.flush()
        begun = monotonic()
        process = checkout.start("run", EDGE_CONFIG=file.name)
        try:
            while not ready(port):
                if process.poll() is not None or monotonic() - begun > LONGEST_START_S:
                    raise RuntimeError(f"{checkout.root}: the dispatcher did not become ready")
                time.sleep(POLL_S)
            ready_ms = (monotonic() - begun) * 1e3
            return {"start to ready, ms": ready_ms, **memory(process.pid)}
        finally:
            end(process)


def ready(port: int) -> bool:
    connection = HTTPConnection(LOCAL, port, timeout=1.0)
    try:
        connection.request("GET", "/-/ready")
        return connection.getresponse().status == 200
    except OSError:
        return False
    finally:
        connection.close()


def memory(pid: int) -> dict[str, float]:
    """Resident memory now and at its highest, in KiB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    figures = dict(line.split(":", 1) for line in lines)
    return {f"{name} at ready, KiB": int(figures[name].split()[0]) for name in ("VmRSS", "VmHWM")}


def end(process: subprocess.Popen) -> None:
    """Close its input, which ends an adapter; a dispatcher needs no graceful stop here."""
    process.stdin.close()
    if process.poll() is None:
        process.kill()
    process.wait(STOP_S)
    process.stdout.close()


# -- the comparison -------------------------------------------------------------------------


Figures = dict[str, float]


def one_run(checkout: Checkout, jobs: int, discovery_port: int) -> tuple[Figures, list[str]]:
    """All figures of one run, and the digests of the replies."""
    figures, digests = {}, []
    for workers in WORKER_COUNTS:
        cost_us, digest = decision_cost(checkout, workers, jobs)
        figures[f"a job at {workers} workers, CPU us"] = cost_us
        digests.append(digest)
    return {**figures, **start_figures(checkout, discovery_port)}, digests


def compare(checkouts: list[Checkout], runs: int, jobs: int) -> tuple[list[list[Figures]], bool]:
    """The figures by checkout and run, and whether all replies are the same."""
    figures: list[list[Figures]] = [[] for _ in checkouts]
    replies: set[tuple[str, ...]] = set()
    with discovery() as port:
        for number in range(runs + 1):
            for place, checkout in enumerate(checkouts):
                measured, digests = one_run(checkout, jobs, port)
                replies.add(tuple(digests))
                if number:
                    figures[place].append(measured)
    return figures, len(replies) == 1


def print_table(old: list[Figures], new: list[Figures]) -> None:
    """Medians and lowest values of each figure, and their ratios."""
    columns = ("old", "new", "new/old", "old low", "new low", "new/old")
    print(" " * 34 + "".join(f"{column:>10}" for column in columns))
    for name in old[0]:
        cells = []
        for middle in (median, min):
            before, after = (middle([run[name] for run in runs]) for runs in (old, new))
            cells.append(f"{before:10.1f}{after:10.1f}{after / before:10.3f}")
        print(f"{name:34}" + "".join(cells))


def main() -> int:
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
