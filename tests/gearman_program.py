"""A running dispatcher with a Gearman listener."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys

from config_helpers import CONFIG
from net_helpers import LIMITS
from node_helpers import PATIENCE, ROOT, free_port, wait_for

from stepstream.gearman import codec
from stepstream.gearman.codec import Kind, Parser

SECTION = '[gearman]\nlisten = "127.0.0.1:{port}"\ntenant = "tatra-invest"\nqueue = 4\n'


class Peer:
    """A raw connection: packets out, packets in."""

    def __init__(self, port):
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=PATIENCE)
        self.parser = Parser(LIMITS, answers=True)

    def send(self, kind, *args):
        self.sock.sendall(codec.request(kind, *args))
        return self

    def next(self):
        while (packet := self.parser.next()) is None:
            data = self.sock.recv(65536)
            if not data:
                return None
            self.parser.feed(data)
        return packet

    def until(self, *kinds):
        """The next packet of these kinds; what comes before it is dropped."""
        while (packet := self.next()) is None or packet.kind not in kinds:
            assert packet is not None, "the connection ended"
        return packet

    def join(self, name="w", *functions):
        self.send(Kind.SET_CLIENT_ID, f"{name};start=1")
        for function in functions or ("revalue", "nav-publish"):
            self.send(Kind.CAN_DO, function)
        self.send(Kind.ECHO_REQ, "joined").until(Kind.ECHO_RES)
        return self

    def grab(self):
        """Sleeps until there is a job, as workers do."""
        while True:
            packet = self.send(Kind.GRAB_JOB_UNIQ).until(Kind.JOB_ASSIGN_UNIQ, Kind.NO_JOB)
            if packet.kind is Kind.JOB_ASSIGN_UNIQ:
                return packet.args
            self.send(Kind.PRE_SLEEP).until(Kind.NOOP)

    def close(self):
        self.sock.close()


class Program:
    def __init__(self, folder, section=SECTION):
        self.http, self.gearman = free_port(), free_port()
        self.path, self.operator = folder / "config.json", folder / "operator.toml"
        # No job's patience may end because the machine is busy: one that waits too long is refused.
        services = [
            {**kind, "goal_time_us": kind["deadline_us"]} for kind in CONFIG["settings"]["services"]
        ]
        self.config = {
            **CONFIG,
            "settings": {**CONFIG["settings"], "services": services},
            "listen": f"127.0.0.1:{self.http}",
            "discovery": f"127.0.0.1:{free_port()}",
        }
        self.path.write_text(json.dumps(self.config))
        self.operator.write_text(section.format(port=self.gearman))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "stepstream", "serve", "--operator", str(self.operator)],
            cwd=ROOT,
            env={**os.environ, "EDGE_CONFIG": str(self.path)},
            stderr=subprocess.PIPE,
            text=True,
        )
        wait_for(self.ready)

    def ready(self):
        with contextlib.suppress(OSError):
            Peer(self.gearman).close()
            return True

    def command(self, line):
        with socket.create_connection(("127.0.0.1", self.gearman), timeout=PATIENCE) as sock:
            sock.sendall(line.encode() + b"\n")
            text = b""
            while not text.endswith(b".\n") and not text.startswith((b"OK", b"ERR")):
                text += sock.recv(65536)
            return text.decode()

    def reload(self):
        self.process.send_signal(signal.SIGHUP)
        return next(
            line
            for line in self.process.stderr
            if "configuration_reloaded" in line or "reload_failed" in line
        )


def revalue(worker, job):
    worker.send_job_status(job, 1, 2)
    worker.send_job_data(job, b"part ")
    return job.data.upper()
