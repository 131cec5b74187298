"""Measure the dispatcher's CPU for authenticating its clients.

Usage:
  identity [--seconds N] [--rates LIST] [--rounds N] [--out FILE]

Options:
  --seconds N   Length of the load of each run [default: 10].
  --rates LIST  Requests per second, comma-separated [default: 100,500].
  --rounds N    Runs of each way to authenticate [default: 3].
  --out FILE    Write the tables to this file too, as Markdown.

Measured: the dispatcher's CPU per request (us), as the kernel counts it and without the start, for
requests without identity, with one cached token, with a new token each and over TLS with a client
certificate; the last three are compared with the first. The four run at the same time, each with a
dispatcher, a worker and clients of its own, so that a noisy machine affects all of them.
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
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus
from pathlib import Path
from statistics import mean

import trustme
import ujson
from docopt import docopt

from benchmarks.harness import (
    markdown_table,
    mean_with_range,
    print_and_write,
    process_cpu_seconds,
)
from stepstream.config.limits import Limits
from stepstream.gearman import codec
from stepstream.gearman.codec import Packet, PacketKind
from stepstream.http.codec import Parser, write_request
from stepstream.identity.key_rotation import SigningKeyStore
from stepstream.identity.key_set import KeyState

CONNECTIONS = 8
HANDSHAKE_COUNT = 100
READ_BYTES = 65_536
WORKER_START_SECONDS = 2.0  # until the worker is registered
FIRST_REQUEST_SECONDS = 0.5  # until all client threads have their connection
HANDSHAKE_SETTLE_SECONDS = 0.2  # for the dispatcher to end the last handshake
CONNECT_RETRY_SECONDS = 0.05
TOKEN_LIFETIME_SECONDS = 3600
US_PER_SECOND = 1e6
LIMITS = Limits()
SETTINGS = {
    "services": [
        {"name": "revalue", "deadline_us": 4_000_000, "goal_time_us": 1_000_000, "effect": "pure"}
    ],
    "extra": {"class_kind": [-1], "class_stretch": [0.0], "reports_start": True},
    "projects": [{"name": "north-fund", "quota_per_s": 1000.0}],
    "limits": {"try_limit": 4, "max_open": 20_000},
}
GEARMAN_SECTION = """[gearman]
listen = "{host}:{gearman}"
queue = 1000
[gearman.worker]
slots = 64
"""
IDENTITY_SECTION = """[identity]
keys = "{folder}/keys.json"
issuer = "bench"
audience = "bench"
[[identity.caller]]
name = "client"
subjects = ["client", "dns:client.test"]
tenants = ["north-fund"]
classes = ["*"]
"""
TLS_SECTION = """[identity.tls]
listen = "{host}:{tls}"
certificate = "{folder}/server.pem"
key = "{folder}/server.key"
clients_ca = "{folder}/ca.pem"
"""


class Credential(StrEnum):
    """How clients identify themselves; the values are the rows of the table."""

    NONE = "plain"
    CACHED_TOKEN = "token, cached"  # noqa: S105  a name
    NEW_TOKENS = "token, new each"
    CERTIFICATE = "certificate, kept"


@dataclass(frozen=True)
class Measurement:
    """The result of one run; `handshake_us` is 0 for runs without client certificates."""

    cpu_us_per_request: float
    sent: int
    served: int
    handshake_us: float


class IdentityBenchmark:
    """One dispatcher, a Gearman worker that answers at once, and clients that keep connections."""

    def __init__(self, credential: Credential, folder: Path) -> None:
        self.credential = credential
        self.folder = folder
        self.host = f"127.78.{os.getpid() >> 8 & 255}.{os.getpid() & 255}"
        self.http_port = self.free_port()
        self.gearman_port = self.free_port()
        self.tls_port = self.free_port()
        self.signing_keys = SigningKeyStore(folder)
        self.signing_keys.create_key("EdDSA", "k1", KeyState.ACTIVE, 0)
        self.authority = trustme.CA()
        # Each client thread counts at an index of its own.
        self.sent = [0] * CONNECTIONS
        self.served = [0] * CONNECTIONS

    def free_port(self) -> int:
        """Return a port that is free now."""
        with socket.create_server((self.host, 0)) as listener:
            port: int = listener.getsockname()[1]
            return port

    # -- the dispatcher --

    @contextmanager
    def dispatcher(self) -> Iterator[subprocess.Popen[bytes]]:
        """Run the dispatcher's process."""
        self.write_certificates()
        self.write_configuration()
        operator_file = str(self.folder / "operator.toml")
        process = subprocess.Popen(
            [sys.executable, "-m", "stepstream", "serve", "--operator", operator_file],
            env={**os.environ, "EDGE_CONFIG": str(self.folder / "config.json")},
            stderr=subprocess.DEVNULL,
        )
        try:
            yield process
        finally:
            process.kill()
            process.wait()

    def write_certificates(self) -> None:
        """Write the listener's certificate and key, and the authority's certificate."""
        server = self.authority.issue_cert(self.host)
        chain = b"".join(blob.bytes() for blob in server.cert_chain_pems)
        (self.folder / "server.pem").write_bytes(chain)
        (self.folder / "server.key").write_bytes(server.private_key_pem.bytes())
        (self.folder / "ca.pem").write_bytes(self.authority.cert_pem.bytes())

    def write_configuration(self) -> None:
        """Write the dispatcher's configuration and operator's file."""
        config = {
            "name": "b",
            "listen": f"{self.host}:{self.http_port}",
            "discovery": f"{self.host}:1",
            "limits": {"memory_mb": 192, "sockets": 1024},
            "settings": SETTINGS,
        }
        (self.folder / "config.json").write_text(ujson.dumps(config))
        sections = [GEARMAN_SECTION]
        if self.credential is not Credential.NONE:
            sections.append(IDENTITY_SECTION)
        if self.credential is Credential.CERTIFICATE:
            sections.append(TLS_SECTION)
        text = "".join(sections).format(
            host=self.host, gearman=self.gearman_port, tls=self.tls_port, folder=self.folder
        )
        (self.folder / "operator.toml").write_text(text)

    def token(self, subject: str, number: int = 0) -> str:
        """Return a token of a subject; tokens of different numbers differ."""
        now = int(time.time())
        claims = {"iss": "bench", "aud": "bench", "sub": subject}
        times = {"iat": now, "exp": now + TOKEN_LIFETIME_SECONDS}
        return self.signing_keys.issue_token({**claims, **times, "jti": str(number)})

    # -- the worker --

    def run_worker(self) -> None:
        """Serve jobs until the dispatcher ends; runs on the worker's thread."""
        with self.connect_worker() as connection:
            parser = codec.Parser(LIMITS, responses=True)
            if self.credential is not Credential.NONE:
                token = f"token:{self.token('worker/w')}"
                connection.sendall(codec.encode_request(PacketKind.OPTION_REQ, token))
            connection.sendall(codec.encode_request(PacketKind.SET_CLIENT_ID, "w;start=1"))
            connection.sendall(codec.encode_request(PacketKind.CAN_DO, "revalue"))
            connection.sendall(codec.encode_request(PacketKind.GRAB_JOB))
            while data := connection.recv(READ_BYTES):
                parser.feed(data)
                while (packet := parser.next_message()) is not None:
                    if isinstance(packet, Packet):
                        connection.sendall(worker_reply(packet))

    def connect_worker(self) -> socket.socket:
        """Connect to the Gearman listener; retry until it is open."""
        while True:
            try:
                return socket.create_connection((self.host, self.gearman_port))
            except OSError:
                time.sleep(CONNECT_RETRY_SECONDS)

    # -- the clients --

    def connect_client(self) -> socket.socket:
        """Connect a client; with a certificate, over TLS."""
        if self.credential is not Credential.CERTIFICATE:
            return socket.create_connection((self.host, self.http_port))
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        self.authority.configure_trust(context)
        self.authority.issue_cert("client.test").configure_cert(context)
        connection = socket.create_connection((self.host, self.tls_port))
        return context.wrap_socket(connection, server_hostname=self.host)

    def run_client(self, index: int, schedule: "Schedule", tokens: list[str]) -> None:
        """Send the requests of one connection at their times; runs on a client's thread."""
        parser = Parser(LIMITS, answers=True)
        with self.connect_client() as connection:
            for number, at_seconds in enumerate(schedule.times(index)):
                time.sleep(max(at_seconds - time.monotonic(), 0))
                headers = {
                    "Host": "b",
                    "Request-Id": f"{index:x}-{number:x}",
                    "Tenant": "north-fund",
                }
                if tokens:
                    token = tokens[(number * CONNECTIONS + index) % len(tokens)]
                    headers["Authorization"] = f"Bearer {token}"
                connection.sendall(write_request("POST", "/revalue", headers, b"x"))
                self.sent[index] += 1
                while (message := parser.next()) is None:
                    parser.feed(connection.recv(READ_BYTES))
                self.served[index] += message.status == HTTPStatus.OK

    def client_tokens(self, request_count: int) -> list[str]:
        """Return the tokens that the clients use in turn."""
        match self.credential:
            case Credential.CACHED_TOKEN:
                return [self.token("client")]
            case Credential.NEW_TOKENS:
                return [self.token("client", number) for number in range(request_count)]
        return []

    # -- a run --

    def run(self, rate: float, seconds: float) -> Measurement:
        """Send requests at this rate per second; return the dispatcher's CPU for them."""
        with self.dispatcher() as process:
            threading.Thread(target=self.run_worker, name="worker", daemon=True).start()
            time.sleep(WORKER_START_SECONDS)
            tokens = self.client_tokens(int(rate * seconds) + 1)
            cpu_before = process_cpu_seconds(process.pid)
            self.run_clients(
                Schedule(time.monotonic() + FIRST_REQUEST_SECONDS, rate, seconds), tokens
            )
            cpu_seconds = process_cpu_seconds(process.pid) - cpu_before
            handshake_seconds = (
                self.measure_handshake(process.pid)
                if self.credential is Credential.CERTIFICATE
                else 0.0
            )
        sent = sum(self.sent)
        return Measurement(
            cpu_us_per_request=US_PER_SECOND * cpu_seconds / max(sent, 1),
            sent=sent,
            served=sum(self.served),
            handshake_us=US_PER_SECOND * handshake_seconds,
        )

    def run_clients(self, schedule: "Schedule", tokens: list[str]) -> None:
        """Run the client threads, and wait until all have ended."""
        clients = [
            threading.Thread(target=self.run_client, args=(index, schedule, tokens), name="client")
            for index in range(CONNECTIONS)
        ]
        for client in clients:
            client.start()
        for client in clients:
            client.join()

    def measure_handshake(self, pid: int) -> float:
        """Return the dispatcher's CPU seconds of one TLS handshake."""
        before = process_cpu_seconds(pid)
        for _ in range(HANDSHAKE_COUNT):
            self.connect_client().close()
        time.sleep(HANDSHAKE_SETTLE_SECONDS)
        return (process_cpu_seconds(pid) - before) / HANDSHAKE_COUNT


@dataclass(frozen=True)
class Schedule:
    """Requests at equal intervals, distributed to the connections in turn; times are monotonic."""

    start_seconds: float
    rate: float  # requests a second, of all connections
    seconds: float

    def times(self, index: int) -> Iterator[float]:
        """Yield the times of the requests of one connection."""
        number = 0
        end_seconds = self.start_seconds + self.seconds
        while True:
            at_seconds = self.start_seconds + (number * CONNECTIONS + index) / self.rate
            if at_seconds >= end_seconds:
                return
            yield at_seconds
            number += 1


def worker_reply(packet: Packet) -> bytes:
    """Return the worker's reply to a packet: to a job, its result and a request for the next."""
    match packet.kind:
        case PacketKind.JOB_ASSIGN:
            result = codec.encode_request(PacketKind.WORK_COMPLETE, packet.args[0], "1")
            return result + codec.encode_request(PacketKind.GRAB_JOB)
        case PacketKind.NO_JOB:
            return codec.encode_request(PacketKind.PRE_SLEEP)
        case PacketKind.NOOP:
            return codec.encode_request(PacketKind.GRAB_JOB)
    return b""


def measure_credential(credential: Credential, rate: float, seconds: float) -> Measurement:
    """Run one measurement in a folder of its own."""
    with tempfile.TemporaryDirectory(prefix="stepstream-benchmark-") as folder:
        return IdentityBenchmark(credential, Path(folder)).run(rate, seconds)


Round = dict[Credential, Measurement]


def run_round(rate: float, seconds: float) -> Round:
    """Measure all credentials at the same time, each in a process."""
    with ProcessPoolExecutor(len(Credential)) as pool:
        runs = {
            credential: pool.submit(measure_credential, credential, rate, seconds)
            for credential in Credential
        }
        return {credential: run.result() for credential, run in runs.items()}


def credential_row(credential: Credential, rounds: list[Round]) -> list[object]:
    """Return the table cells of one credential."""
    cpu_us = [results[credential].cpu_us_per_request for results in rounds]
    fraction = mean(
        1 - results[Credential.NONE].cpu_us_per_request / results[credential].cpu_us_per_request
        for results in rounds
    )
    sent = sum(results[credential].sent for results in rounds)
    served = sum(results[credential].served for results in rounds)
    return [credential, mean_with_range(cpu_us), f"{fraction:+.1%}", f"{served} of {sent}"]


def report(rate: float, rounds: list[Round]) -> str:
    """Return the table of one rate."""
    header = (
        "way",
        "CPU a request, us: mean (least to most)",
        "share spent on identity",
        "answered 200",
    )
    table = markdown_table(
        header, [credential_row(credential, rounds) for credential in Credential]
    )
    handshake_us = mean(results[Credential.CERTIFICATE].handshake_us for results in rounds)
    handshake = (
        f"A handshake with a client certificate: {handshake_us:.0f} us of the dispatcher's CPU."
    )
    return "\n".join([f"{rate:g} requests a second:", "", table, "", handshake, ""])


def main() -> None:
    """Run the benchmark with the options of the command line."""
    arguments = docopt(__doc__)
    seconds = float(arguments["--seconds"])
    round_count = int(arguments["--rounds"])
    today = datetime.datetime.now(tz=datetime.UTC).date()
    parts = [f"Measured {today}, {round_count} rounds of {seconds:g} s.", ""]
    for rate in map(float, arguments["--rates"].split(",")):
        parts.append(report(rate, [run_round(rate, seconds) for _ in range(round_count)]))
    print_and_write("\n".join(parts), arguments["--out"])


if __name__ == "__main__":
    main()
