"""What it costs the dispatcher to know who is calling: plain, tokens and client certificates, side by side.

Usage:
  identity.py [--seconds N] [--rates LIST] [--rounds N] [--out FILE]

Options:
  --seconds N   Of load in each run [default: 10].
  --rates LIST  Requests a second, with commas [default: 100,500].
  --rounds N    Runs of each [default: 3].
  --out FILE    Write the tables there, as Markdown; else print them.

The four ways run at the same time, each with a dispatcher, a worker and clients of its own, so that a noisy
machine meets all of them. Figures are the dispatcher's CPU by the kernel's account, without its start.
"""

import datetime
import os
import socket
import ssl
import subprocess
import sys
import tempfile
import threading
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import mean

import trustme
import ujson
from docopt import docopt

from stepstream.config.limits import Limits
from stepstream.gearman import codec
from stepstream.gearman.codec import Kind
from stepstream.http.codec import Parser, write_request
from stepstream.identity.key_rotation import SigningKeyStore
from stepstream.identity.key_set import KeyState

WAYS = ("plain", "token, cached", "token, new each", "certificate, kept")
LINKS = 8
LIMITS = Limits()
SETTINGS = {
    "services": [
        {"name": "revalue", "deadline_us": 4_000_000, "goal_time_us": 1_000_000, "effect": "pure"}
    ],
    "extra": {"class_kind": [-1], "class_stretch": [0.0], "reports_start": True},
    "projects": [{"name": "north-fund", "quota_per_s": 1000.0}],
    "limits": {"try_limit": 4, "max_open": 20_000},
}
GEARMAN = '[gearman]\nlisten = "{host}:{gearman}"\nqueue = 1000\n[gearman.worker]\nslots = 64\n'
IDENTITY = """[identity]
keys = "{folder}/keys.json"
issuer = "bench"
audience = "bench"
[[identity.caller]]
name = "client"
subjects = ["client", "dns:client.test"]
tenants = ["north-fund"]
classes = ["*"]
"""
TLS = """[identity.tls]
listen = "{host}:{tls}"
certificate = "{folder}/server.pem"
key = "{folder}/server.key"
clients_ca = "{folder}/ca.pem"
"""


class Bench:
    """One way: a dispatcher, a Gearman worker that completes at once, and open-loop clients on kept
    connections.
    """

    def __init__(self, way: str) -> None:
        self.way, self.folder = way, Path(tempfile.mkdtemp(prefix="stepstream-bench-"))
        self.host = f"127.78.{os.getpid() >> 8 & 255}.{os.getpid() & 255}"
        self.http, self.gearman, self.tls = (self.port() for _ in range(3))
        self.keeper, self.ca = SigningKeyStore(self.folder), trustme.CA()
        self.keeper.create_key("EdDSA", "k1", KeyState.ACTIVE, 0)
        self.sent = self.done = 0
        self.process = self.start()

    def port(self) -> int:
        with socket.create_server((self.host, 0)) as probe:
            return probe.getsockname()[1]

    def start(self) -> subprocess.Popen:
        server = self.ca.issue_cert(self.host)
        (self.folder / "server.pem").write_bytes(
            b"".join(b.bytes() for b in server.cert_chain_pems)
        )
        (self.folder / "server.key").write_bytes(server.private_key_pem.bytes())
        (self.folder / "ca.pem").write_bytes(self.ca.cert_pem.bytes())
        config = {
            "name": "b",
            "listen": f"{self.host}:{self.http}",
            "discovery": f"{self.host}:1",
            "limits": {"memory_mb": 192, "sockets": 1024},
            "settings": SETTINGS,
        }
        (self.folder / "config.json").write_text(ujson.dumps(config))
        text = GEARMAN + (IDENTITY if self.way != "plain" else "")
        text += TLS if self.way.startswith("certificate") else ""
        text = text.format(host=self.host, gearman=self.gearman, tls=self.tls, folder=self.folder)
        (self.folder / "operator.toml").write_text(text)
        return subprocess.Popen(
            [
                sys.executable,
                "-m",
                "stepstream",
                "serve",
                "--operator",
                str(self.folder / "operator.toml"),
            ],
            env={**os.environ, "EDGE_CONFIG": str(self.folder / "config.json")},
            stderr=subprocess.DEVNULL,
        )

    def token(self, subject: str, number: int = 0) -> str:
        now = int(time.time())
        claims = {"iss": "bench", "aud": "bench", "sub": subject, "iat": now, "exp": now + 3600}
        return self.keeper.issue_token({**claims, "jti": str(number)})

    def work(self) -> None:
        """The worker's thread."""
        while True:
            try:
                sock = socket.create_connection((self.host, self.gearman))
                break
            except OSError:
                time.sleep(0.05)
        parser = codec.Parser(LIMITS, answers=True)
        hello = (
            [(Kind.OPTION_REQ, f"token:{self.token('worker/w')}")] if self.way != "plain" else []
        )
        for kind, arg in (*hello, (Kind.SET_CLIENT_ID, "w;start=1"), (Kind.CAN_DO, "revalue")):
            sock.sendall(codec.request(kind, arg))
        sock.sendall(codec.request(Kind.GRAB_JOB))
        while data := sock.recv(65536):
            parser.feed(data)
            while (packet := parser.next()) is not None:
                if packet.kind is Kind.JOB_ASSIGN:
                    sock.sendall(
                        codec.request(Kind.WORK_COMPLETE, packet.args[0], "1")
                        + codec.request(Kind.GRAB_JOB)
                    )
                elif packet.kind is Kind.NO_JOB:
                    sock.sendall(codec.request(Kind.PRE_SLEEP))
                elif packet.kind is Kind.NOOP:
                    sock.sendall(codec.request(Kind.GRAB_JOB))

    def connect(self) -> socket.socket:
        if not self.way.startswith("certificate"):
            return socket.create_connection((self.host, self.http))
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        self.ca.configure_trust(context)
        self.ca.issue_cert("client.test").configure_cert(context)
        return context.wrap_socket(
            socket.create_connection((self.host, self.tls)), server_hostname=self.host
        )

    def client(
        self, link: int, rate: float, seconds: float, tokens: list[str], begin: float
    ) -> None:
        sock, parser, n = self.connect(), Parser(LIMITS, answers=True), 0
        while (at := begin + (n + link / LINKS) * LINKS / rate) < begin + seconds:
            time.sleep(max(at - time.monotonic(), 0))
            headers = {"Host": "b", "Request-Id": f"{link:x}-{n:x}", "Tenant": "north-fund"}
            if tokens:
                headers["Authorization"] = f"Bearer {tokens[(n * LINKS + link) % len(tokens)]}"
            sock.sendall(write_request("POST", "/revalue", headers, b"x"))
            n += 1
            self.sent += 1
            while (message := parser.next()) is None:
                parser.feed(sock.recv(65536))
            self.done += message.status == 200

    def cpu(self) -> float:
        stat = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK")

    def handshakes(self, count: int) -> float:
        """Dispatcher CPU of one, in seconds."""
        before = self.cpu()
        for _ in range(count):
            self.connect().close()
        time.sleep(0.2)
        return (self.cpu() - before) / count

    def run(self, rate: float, seconds: float) -> dict:
        threading.Thread(target=self.work, daemon=True).start()
        time.sleep(2.0)
        tokens = []
        if self.way.startswith("token"):
            count = int(rate * seconds) + 1 if "new" in self.way else 1
            tokens = [self.token("client", k) for k in range(count)]
        begin, before = time.monotonic() + 0.5, self.cpu()
        clients = [
            threading.Thread(target=self.client, args=(k, rate, seconds, tokens, begin))
            for k in range(LINKS)
        ]
        for thread in clients:
            thread.start()
        for thread in clients:
            thread.join()
        used = self.cpu() - before
        shake = self.handshakes(100) if self.way.startswith("certificate") else 0.0
        return {
            "us": 1e6 * used / max(self.sent, 1),
            "sent": self.sent,
            "done": self.done,
            "handshake_us": 1e6 * shake,
        }


def measured(way: str, rate: float, seconds: float) -> dict:
    bench = Bench(way)
    try:
        return bench.run(rate, seconds)
    finally:
        bench.process.kill()
        bench.process.wait()


def report(rate: float, rounds: list[dict[str, dict]]) -> str:
    lines = [
        f"{rate:g} requests a second:",
        "",
        "| way | CPU a request, us: mean (least to most) | share spent on identity | answered 200 |",
        "| --- | --- | --- | --- |",
    ]
    for way in WAYS:
        us = [found[way]["us"] for found in rounds]
        share = mean(1 - found["plain"]["us"] / found[way]["us"] for found in rounds)
        done, sent = (sum(found[way][key] for found in rounds) for key in ("done", "sent"))
        spread = f"{mean(us):.0f} ({min(us):.0f} to {max(us):.0f})"
        lines.append(f"| {way} | {spread} | {share:+.1%} | {done} of {sent} |")
    shakes = [found[WAYS[3]]["handshake_us"] for found in rounds]
    lines += [
        "",
        f"A handshake with a client certificate: {mean(shakes):.0f} us of the dispatcher's CPU.",
        "",
    ]
    return "\n".join(lines)


def main() -> None:
    arguments = docopt(__doc__)
    seconds, rounds = float(arguments["--seconds"]), int(arguments["--rounds"])
    parts = [f"Measured {datetime.date.today()}, {rounds} rounds of {seconds:g} s.", ""]
    for rate in (float(text) for text in arguments["--rates"].split(",")):
        found = []
        for _ in range(rounds):
            with ProcessPoolExecutor(len(WAYS)) as pool:
                runs = {way: pool.submit(measured, way, rate, seconds) for way in WAYS}
                found.append({way: run.result() for way, run in runs.items()})
        parts.append(report(rate, found))
    text = "\n".join(parts)
    if arguments["--out"]:
        Path(arguments["--out"]).write_text(text)
    print(text)


if __name__ == "__main__":
    main()
