"""A running dispatcher with stand-ins for workers and discovery."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

from config_helpers import CONFIG
from net_helpers import LIMITS

from stepstream.http.codec import Parser, write_answer, write_request

ROOT = Path(__file__).parents[1]


PATIENCE = 20.0


class Server:
    """Answers each request on 127.0.0.1 by what `reply(message)` gives: bytes, or None to hang up."""

    def __init__(self, reply):
        self.reply, self.seen = reply, []
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.port = self.sock.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                peer, _ = self.sock.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(peer,), daemon=True).start()

    def serve(self, peer):
        with peer, contextlib.suppress(OSError):  # the other side may hang up at any time
            self.converse(peer, Parser(LIMITS))

    def converse(self, peer, parser):
        while data := peer.recv(65536):
            parser.feed(data)
            while (message := parser.next()) is not None:
                self.seen.append(message)
                answer = self.reply(message)
                if answer is None:
                    return
                peer.sendall(answer)


def ask(port, data, sock=None):
    """One exchange; on a connection of its own unless one is given."""
    peer = sock or socket.create_connection(("127.0.0.1", port), timeout=PATIENCE)
    parser = Parser(LIMITS, answers=True)
    peer.sendall(data)
    message = None
    while message is None:
        piece = peer.recv(65536)
        parser.feed(piece)
        message = parser.next() if piece else parser.end()
        if message is None and not piece:
            raise ConnectionError("no answer")
    if sock is None:
        peer.close()
    return message


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as probe:
        return probe.getsockname()[1]


def wait_for(seen):
    until = time.monotonic() + PATIENCE
    while not (found := seen()):
        assert time.monotonic() < until, "nothing came"
        time.sleep(0.01)
    return found


class World:
    """A dispatcher's process with one worker and a discovery that names it."""

    def __init__(self, folder, **more):
        """`more`: further keys of the configuration."""
        self.worker = Server(self.on_worker)
        self.discovery = Server(self.on_discovery)
        self.port = free_port()
        self.hold_jobs = threading.Event()  # while set, jobs are taken but not done
        self.worker_answers = []  # what the worker gives instead of a 202, first come
        entry = {
            "id": "s-1",
            "addr": f"127.0.0.1:{self.worker.port}",
            "state": "ready",
            "zone": "ruzinov",
        }
        self.endpoint_list = {"version": 3, "full": True, "servers": [entry]}
        # Without notified starts a job that is held here does not look like a sign of a full worker.
        settings = {
            **CONFIG["settings"],
            "extra": {**CONFIG["settings"]["extra"], "tells_start": False},
        }
        config = {
            **CONFIG,
            "settings": settings,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "known": self.endpoint_list,
            **more,
        }
        self.config, self.path = config, folder / "config.json"
        self.path.write_text(json.dumps(config))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "stepstream", "serve"],
            cwd=ROOT,
            env={**os.environ, "EDGE_CONFIG": str(self.path)},
            stderr=subprocess.PIPE,
            text=True,
        )
        wait_for(self.ready)

    def reload(self, config):
        """Replaces the file and sends SIGHUP; the log line that it causes."""
        self.path.write_text(json.dumps(config))
        self.process.send_signal(signal.SIGHUP)
        for line in self.process.stderr:
            if "configuration_reloaded" in line or "reload_failed" in line:
                return line
        raise AssertionError("the process ended without a line on the reload")

    def ready(self):
        try:
            return ask(self.port, b"GET /-/ready HTTP/1.1\r\n\r\n").status == 200
        except OSError:
            return False

    def on_worker(self, message):
        if message.method == "POST":
            if self.worker_answers:
                return self.worker_answers.pop(0)
            if not self.hold_jobs.is_set():
                self.notify(message.headers["request-id"], "done", "17.5")
            return write_answer(202)
        return write_answer(200)

    def on_discovery(self, message):
        if "wait=" in message.target:
            time.sleep(0.2)
        return write_answer(200, json.dumps(self.endpoint_list).encode())

    def notify(self, name, state, result=None):
        body = json.dumps({"id": name, "from": "s-1", "state": state, "result": result}).encode()
        return ask(
            self.port, write_request("POST", "/_jobs/news", {"Connection": "close"}, body)
        ).status

    def jobs(self):
        return [m for m in self.worker.seen if m.method == "POST"]
