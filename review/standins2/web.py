"""HTTP stand-ins: discovery, a worker, a client and operators' calls, after PROTOCOL."""

import contextlib
import json
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from standins2.case import HOST, Case

NOTIFICATION_TRIES = 10


@dataclass
class Message:
    """A request or an answer."""

    first: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first.split(" ")[1])


class Stream:
    """A connection that reads whole messages."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.buffer = b""

    def read(self) -> Message | None:
        """Return the next message; None at the end of the connection."""
        while b"\r\n\r\n" not in self.buffer:
            data = self.sock.recv(65536)
            if not data:
                return None
            self.buffer += data
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        while len(self.buffer) < length:
            data = self.sock.recv(65536)
            if not data:
                return None
            self.buffer += data
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        return Message(first, headers, body)


def encode(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message."""
    fields = {**headers, "Content-Length": str(len(body))}
    lines = [first, *(f"{name}: {value}" for name, value in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def call(
    port: int,
    first: str,
    headers: dict[str, str],
    body: bytes = b"",
    seconds: float = 10.0,
) -> Message | None:
    """Make one call on a new connection; None if the connection ends without an answer."""
    with socket.create_connection((HOST, port), timeout=seconds) as sock:
        sock.settimeout(seconds)
        sock.sendall(encode(first, {"Host": f"{HOST}:{port}", **headers}, body))
        return Stream(sock).read()


def is_ready(port: int) -> bool:
    """Return whether a dispatcher answers 200 at its readiness path."""
    try:
        answer = call(port, "GET /-/ready HTTP/1.1", {}, seconds=1.0)
    except OSError:
        return False
    return answer is not None and answer.status == 200


def operate(case: Case, port: int, path: str) -> int:
    """Make an operator's call and return its status."""
    answer = call(port, f"PUT {path} HTTP/1.1", {"Connection": "close"}, seconds=2.0)
    status = answer.status if answer else 0
    case.log(f"operator: PUT {path} -> {status}")
    return status


class Server:
    """Accepts connections; a thread for each reads its requests one after the other."""

    def __init__(self) -> None:
        self.listener = socket.create_server((HOST, 0))
        self.port = int(self.listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        stream = Stream(sock)
        with contextlib.suppress(OSError), sock:
            while (message := stream.read()) is not None:
                sock.sendall(self.answer(message))

    def answer(self, message: Message) -> bytes:
        """Return the answer to a request."""
        raise NotImplementedError


class Discovery(Server):
    """Discovery with a list that does not change: the whole list, and watches that wait."""

    def __init__(self, servers: list[dict[str, object]]) -> None:
        self.servers = servers
        super().__init__()

    def answer(self, message: Message) -> bytes:
        """Answer the whole list at once, and a watch without changes after its wait."""
        target = message.first.split(" ")[1]
        query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if "=" in pair)
        is_watch = query.get("index") == "1"
        if is_watch:
            time.sleep(min(int(query.get("wait", "0")), 60_000) / 1000)
        servers = [] if is_watch else self.servers
        data = {"version": 1, "full": not is_watch, "servers": servers}
        return encode("HTTP/1.1 200 OK", {}, json.dumps(data).encode())


@dataclass
class Job:
    """A job that a worker has got."""

    request_id: str
    path: str
    key: str
    body: bytes
    at: float = field(default_factory=time.monotonic)


class Worker(Server):
    """A worker: takes each job with 202 and passes it to `run` in a thread of its own.

    With more than `most_jobs` at once it answers 503 with `Not-Started: 1`.
    """

    logs_jobs = True

    def __init__(
        self,
        case: Case,
        name: str,
        news_port: int,
        run: Callable[..., None],
        most_jobs: int = 1000,
    ) -> None:
        self.case = case
        self.name = name
        self.news_port = news_port
        self.run = run
        self.places = threading.Semaphore(most_jobs)  # running and waiting jobs; beyond it is full
        super().__init__()

    def entry(self, cell: int = 0) -> dict[str, object]:
        """Return the worker's entry of discovery's list."""
        return {
            "id": self.name,
            "addr": f"{HOST}:{self.port}",
            "zone": "a",
            "kind": "m",
            "cell": cell,
            "state": "ready",
            "weight": 1.0,
            "started_ms": 0,
        }

    def answer(self, message: Message) -> bytes:
        """Take a job with 202; answer a cancellation."""
        method, target, _ = message.first.split(" ")
        if method != "POST":
            return encode("HTTP/1.1 200 OK", {})
        request_id = message.headers.get("request-id", "")
        if not self.places.acquire(blocking=False):
            return encode("HTTP/1.1 503 Service Unavailable", {"Not-Started": "1"})
        job = Job(request_id, target, message.headers.get("idempotency-key", ""), message.body)
        if self.logs_jobs:
            self.case.log(f"{self.name}: got {request_id} {target} key={job.key or '-'}")
        threading.Thread(target=self._run, args=(job,), daemon=True).start()
        return encode("HTTP/1.1 202 Accepted", {})

    def _run(self, job: Job) -> None:
        try:
            self.run(self, job)
        finally:
            self.places.release()

    def tell(self, job: Job, state: str, result: str = "") -> None:
        """Tell what became of a job, up to ten times; `result` is JSON text."""
        body = f'{{"id":"{job.request_id}","from":"{self.name}","state":"{state}"'
        body += f',"result":{result}}}' if result else "}"
        for _ in range(NOTIFICATION_TRIES):
            try:
                answer = call(
                    self.news_port, "POST /_jobs/news HTTP/1.1", {}, body.encode(), seconds=2.0
                )
            except OSError as error:
                if self.logs_jobs:
                    self.case.log(f"{self.name}: told {state} of {job.request_id}: {error}")
                time.sleep(0.2)
                continue
            status = answer.status if answer else 0
            if self.logs_jobs:
                self.case.log(f"{self.name}: told {state} of {job.request_id}: {status}")
            if status in (200, 204):
                return
            time.sleep(0.2)
