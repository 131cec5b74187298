"""A dispatcher's process for the golden samples, with a scripted worker and discovery."""

import contextlib
import json
import re
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Callable, Iterator
from pathlib import Path

from golden.fronts.configurations import CONFIGURATION, environment_without_configuration
from golden.fronts.http_requests import END_OF_HEAD, READINESS_REQUEST, discovery_answer
from golden.fronts.wire_samples import INPUTS, WORKER_ANSWERS

from tests.runtime.ports import free_port
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS, wait_for

ROOT = Path(__file__).resolve().parents[3]
LOG_PREFIX = "stepstream: "  # of plain lines of the log
NO_ANSWER = b""


class RecordingServer:
    """Listen on 127.0.0.1, keep the bytes of requests, and answer by `reply(bytes)`."""

    def __init__(self, reply: Callable[[bytes], bytes]) -> None:
        """Start to listen on a free port."""
        self.reply = reply
        self.requests: list[bytes] = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Serve each connection by a thread, until the listener is closed."""
        with contextlib.suppress(OSError):
            while True:
                peer, _ = self.listener.accept()
                threading.Thread(target=self.serve, args=(peer,), daemon=True).start()

    def serve(self, peer: socket.socket) -> None:
        """Answer the requests of one connection."""
        with peer, contextlib.suppress(OSError):
            while data := receive_message(peer):
                self.requests.append(data)
                peer.sendall(self.reply(data))

    def first_request(self, beginning: bytes) -> bytes:
        """Wait for a request with this beginning; return the first one."""
        return wait_for(
            lambda: next((data for data in self.requests if data.startswith(beginning)), b"")
        )

    def close(self) -> None:
        """Stop listening, which ends the thread that accepts."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()


def receive_message(peer: socket.socket) -> bytes:
    """Return one message by its Content-Length; no bytes at the end of the connection."""
    data = b""
    while END_OF_HEAD not in data:
        piece = peer.recv(65536)
        if not piece:
            return b""
        data += piece
    head, _, body = data.partition(END_OF_HEAD)
    length = re.search(rb"(?i)content-length: (\d+)", head)
    body_bytes = int(length[1]) if length else 0
    while len(body) < body_bytes:
        body += peer.recv(65536)
    return head + END_OF_HEAD + body


def exchange(port: int, data: bytes) -> bytes:
    """Send bytes on a new connection; return the message that comes back."""
    with socket.create_connection(("127.0.0.1", port), timeout=WAIT_TIMEOUT_SECONDS) as peer:
        peer.sendall(data)
        return receive_message(peer)


class RunningDispatcher:
    """A dispatcher's process, a worker, and a discovery that names the worker."""

    def __init__(self, folder: Path, operator: str | None) -> None:
        """Prepare the files; `operator` may name {gearman}, {fleet} and {folder}."""
        self.worker = RecordingServer(self.worker_reply)
        self.discovery = RecordingServer(self.discovery_reply)
        names = ("http", "admin", "gearman", "fleet")
        self.ports = {name: free_port() for name in names}
        self.error_file = folder / "stderr"
        self.process: subprocess.Popen | None = None
        config_file = folder / "config.json"
        config_file.write_text(json.dumps(self.configuration(with_admin=bool(operator))))
        self.words = [sys.executable, "-m", "stepstream", "serve"]
        if operator is not None:
            operator_file = folder / "operator.toml"
            operator_file.write_text(operator.format(folder=folder, **self.ports))
            self.words += ["--operator", str(operator_file)]
        self.environment = environment_without_configuration()
        self.environment.pop("TMPDIR", None)  # a handover file of another process could be there
        self.environment["EDGE_CONFIG"] = str(config_file)

    def configuration(self, *, with_admin: bool) -> dict:
        """Return the configuration with this process's addresses."""
        admin = f"127.0.0.1:{self.ports['admin']}"
        return {
            **CONFIGURATION,
            "listen": f"127.0.0.1:{self.ports['http']}",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "known": {},
            "operator": admin if with_admin else "",
            "settings": {**CONFIGURATION["settings"], "safety": {}},
        }

    def start(self) -> None:
        """Start the process and wait until it is ready."""
        with self.error_file.open("wb") as stream:
            self.process = subprocess.Popen(
                self.words, cwd=ROOT, env=self.environment, stderr=stream
            )
        wait_for(self.is_ready)

    def discovery_reply(self, data: bytes) -> bytes:
        """Answer with one worker; leave a watch without an answer."""
        if b"index=" in data.partition(b"\r\n")[0]:
            return NO_ANSWER
        row = {**INPUTS["endpoint_lists"]["without full"]["servers"][0]}
        row |= {"addr": f"127.0.0.1:{self.worker.port}", "zone": "petrzalka", "started_ms": 1}
        return discovery_answer({"version": 3, "full": True, "servers": [row]})

    def worker_reply(self, data: bytes) -> bytes:
        """Accept a call; answer anything else with 503."""
        return WORKER_ANSWERS["202" if data.startswith(b"POST") else "503"]

    def is_ready(self) -> bool:
        """Return whether the process serves clients; raise ChildProcessError if it has ended."""
        if self.process.poll() is not None:
            raise ChildProcessError(self.error_file.read_text())
        try:
            answer = exchange(self.ports["http"], READINESS_REQUEST)
        except OSError:
            return False
        return answer.startswith(b"HTTP/1.1 200")

    def masked(self, text: str) -> str:
        """Replace ports by their names, and the remaining time of a request by N."""
        ports = {**self.ports, "worker": self.worker.port, "discovery": self.discovery.port}
        for name, port in ports.items():
            text = text.replace(f"127.0.0.1:{port}", f"127.0.0.1:{name.upper()}")
        return re.sub(r"(Request-Timeout-Ms: )\d+", r"\1N", text)

    def stop(self) -> list[str]:
        """End the process by SIGTERM; return the plain lines of its log."""
        self.process.send_signal(signal.SIGTERM)
        self.process.wait(WAIT_TIMEOUT_SECONDS)
        lines = self.masked(self.error_file.read_text()).splitlines()
        return [line for line in lines if line.startswith(LOG_PREFIX)]

    def close(self) -> None:
        """End the process if it still runs, and stop the worker and the discovery."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        self.worker.close()
        self.discovery.close()


@contextlib.contextmanager
def running_dispatcher(folder: Path, operator: str | None) -> Iterator[RunningDispatcher]:
    """Yield a process that serves; end it afterwards."""
    with contextlib.closing(RunningDispatcher(folder, operator)) as dispatcher:
        dispatcher.start()
        yield dispatcher
