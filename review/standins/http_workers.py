"""Stand-ins for workers that speak the platform's HTTP, in threads of the case's process.

A body is a run time in milliseconds. A worker runs as many jobs at once as it has slots and lets
the others wait in order. It reports each start and end on a connection of its own, until the call
is answered, at most ten times. The result of a job is a text made from its id.
"""

import json
import threading
import time
from collections.abc import Callable
from http.client import HTTPConnection, HTTPException
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

from review.standins.record import Record

MOST_CALLS = 10
CALL_PAUSE_SECONDS = 0.1


class HttpWorker:
    """One worker."""

    def __init__(
        self,
        name: str,
        host: str,
        slots: int,
        result_of: Callable[[str], str],
        record: Record,
    ) -> None:
        """Open the listener; the dispatcher's address is set before the first job."""
        self.name = name
        self.slots = slots
        self.free_slots = threading.Semaphore(slots)
        self.running = 0
        self.waiting = 0
        self.result_of = result_of
        self.record = record
        self.dispatcher: tuple[str, int] = ("127.0.0.1", 0)
        self.acknowledged_at: dict[str, float] = {}  # `done`, by job; time.monotonic()
        handler = type("Bound", (Handler,), {"worker": self})
        self.server = ThreadingHTTPServer((host, 0), handler)
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def row(self, zone: str, kind: str) -> dict[str, Any]:
        """Return its entry in discovery's list; it has run for long."""
        host, port = self.server.server_address[:2]
        return {
            "id": self.name,
            "addr": f"{host!s}:{port}",
            "zone": zone,
            "kind": kind,
            "cell": 1,
            "state": "ready",
            "weight": 1.0,
            "started_ms": 0,
        }

    def run_job(self, job: str, run_ms: int) -> None:
        """Run a job and report its start and its result."""
        self.waiting += 1
        with self.free_slots:
            self.waiting -= 1
            self.running += 1
            self.record.write(f"{self.name} begins {job}, {run_ms} ms")
            self.report(job, {"state": "started"})
            time.sleep(run_ms / 1000)
            self.running -= 1
        result = self.result_of(job)
        if self.report(job, {"state": "done", "result": result}):
            self.acknowledged_at[job] = time.monotonic()
            self.record.write(f"{self.name} has reported {job} as done, and got 200")

    def report(self, job: str, fields: dict[str, str]) -> bool:
        """Send a notification until it is answered; return whether it was."""
        notification = {"id": job, "from": self.name, **fields}
        body = json.dumps(notification, ensure_ascii=False).encode()
        for _ in range(MOST_CALLS):
            connection = HTTPConnection(*self.dispatcher, timeout=2.0)
            try:
                connection.request("POST", "/_jobs/news", body)
                if connection.getresponse().status in (200, 204):
                    return True
            except (OSError, HTTPException):
                pass  # the call is repeated
            finally:
                connection.close()
            time.sleep(CALL_PAUSE_SECONDS)
        return False


class Handler(BaseHTTPRequestHandler):
    """Answers calls of a dispatcher."""

    protocol_version = "HTTP/1.1"
    worker: HttpWorker

    def do_POST(self) -> None:  # noqa: N802  the library's name
        """Accept a job."""
        run_ms = int(self.rfile.read(int(self.headers["Content-Length"])))
        job = self.headers["Request-Id"]
        self.answer(202)
        threading.Thread(target=self.worker.run_job, args=(job, run_ms), daemon=True).start()

    def do_DELETE(self) -> None:  # noqa: N802
        """Take a cancellation, which stops nothing here."""
        self.answer(200)

    def do_GET(self) -> None:  # noqa: N802
        """Answer a probe with the load."""
        worker = self.worker
        report = f"TEXT queue={worker.waiting}, x0={worker.slots - worker.running}"
        self.answer(200, report.encode())

    def answer(self, status: int, body: bytes = b"") -> None:
        """Send an answer."""
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_: object) -> None:
        """Write no log."""
