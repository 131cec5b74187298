"""Transcripts of the admin listener: a client that records its answers, and the calls."""

import contextlib
import json
import socket
from collections.abc import Iterable, Sequence
from types import SimpleNamespace

from golden.recorded_data import bytes_of, read_inputs
from golden.state.forms import FOLDER
from golden.state.process_doubles import LIMITS, FakeClock, discarded_output

from stepstream.admin.listener import AdminListener
from stepstream.admin.service import AdminService
from stepstream.core.drain import DrainState
from stepstream.core.events import JobNotification
from stepstream.http.destination_set import DestinationSet
from stepstream.ports.admin import AdminResponse, AdminRoute

INPUTS = read_inputs(FOLDER, "admin")
METHODS_WITH_BODY = ("PUT", "POST")
KNOWN_WORKERS = {"s-1", "10.0.0.7:5000"}


def http_call(method: str, target: str, body: bytes = b"") -> bytes:
    """Return a call of the admin listener."""
    head = f"{method} {target} HTTP/1.1\r\nHost: admin\r\n"
    if body or method in METHODS_WITH_BODY:
        head += f"Content-Length: {len(body)}\r\n"
    return f"{head}\r\n".encode() + body


def read_available(connection: socket.socket, received: bytearray) -> bool:
    """Read what has arrived without blocking; return whether the peer has closed."""
    with contextlib.suppress(BlockingIOError):
        while piece := connection.recv(65_536):
            received += piece
        return True
    return False


class RecordingAdminClient:
    """Send calls to an admin listener over its socket; record each call and its answer."""

    def __init__(self, service: AdminService, routes: Sequence[AdminRoute] = ()) -> None:
        """Start a listener for this service."""
        self.transcript: list[list[str]] = []
        self.listener = AdminListener(
            ("127.0.0.1", 0), LIMITS, service.answer, service.run_periodic_tasks, routes
        )
        self.address = self.listener.listening_socket.getsockname()

    def call(self, method: str, target: str, body: bytes = b"") -> None:
        """Send a call."""
        words = [method, target]
        if body:
            words.append(body.decode())
        self.send(" ".join(words), http_call(method, target, body))

    def call_all(self, calls: Iterable[tuple[str, str]]) -> None:
        """Send calls without a body, one after the other."""
        for method, target in calls:
            self.call(method, target)

    def send(self, title: str, data: bytes) -> None:
        """Send bytes; record the answer under this title."""
        with socket.create_connection(self.address) as connection:
            connection.sendall(data)
            connection.setblocking(False)
            answer = bytearray()
            ended = False
            while not ended:
                self.listener.poll_once()
                ended = read_available(connection, answer)
        self.transcript.append([title, answer.decode()])

    def close(self) -> None:
        """Stop listening."""
        self.listener.listening_socket.close()


def admin_service(clock: FakeClock, events: list) -> AdminService:
    """Return the service of a process that knows two workers and does not yet take clients."""
    state = SimpleNamespace(shutting_down=False, draining=False, drain_closing=False)
    server = SimpleNamespace(state=state, close_idle=lambda: None)
    endpoints = SimpleNamespace(contains=KNOWN_WORKERS.__contains__)
    context = SimpleNamespace(
        server=server,
        destinations=DestinationSet(),
        core=SimpleNamespace(endpoints=endpoints),
        clock=clock,
        post=events.append,
    )
    return AdminService(context, DrainState(0.5))


def failing_answer(call: object) -> object:
    """Fail as a route with a fault would."""
    raise ValueError("planted")


def echo_answer(call: object) -> AdminResponse:
    """Answer with the parts of the path."""
    return AdminResponse(200, repr(call.path_parameters))


ROUTES = (
    AdminRoute(r"/broken", frozenset({"GET"}), failing_answer),
    AdminRoute(r"/plain/([^/]+)", frozenset({"GET", "HEAD"}), echo_answer),
)


def notification_row(event: JobNotification) -> list:
    """Return the values of a notification that the service posted."""
    return [
        event.request_id,
        event.worker_id,
        event.status.value,
        event.result,
        event.progress,
        event.forwarded,
    ]


def play_admin_calls(client: RecordingAdminClient, service: AdminService) -> None:
    """Send every call of the listener itself, those that it rejects, and malformed bytes."""
    client.call("GET", "/healthcheck")
    service.started = True
    client.call("GET", "/healthcheck")
    client.call("HEAD", "/healthcheck")
    for name in INPUTS["healthcheck_calls"]:
        client.call("PUT", f"/healthcheck/{name}")
        client.call("GET", "/healthcheck")
    for name in INPUTS["maintenance_calls"]:
        client.call("PUT", f"/workers/s-1/{name}")
    client.call_all(INPUTS["calls"])
    for body in INPUTS["notification_bodies"]:
        client.call("POST", "/_jobs/news", body.encode())
    for title, text in INPUTS["malformed_calls"].items():
        client.send(title, bytes_of(text))


def admin_answers() -> list[list[str]]:
    """Return the calls and answers, and the notifications that the service posted."""
    clock = FakeClock()
    events: list[object] = []
    service = admin_service(clock, events)
    with (
        discarded_output(),
        clock.as_process_clock(),
        contextlib.closing(RecordingAdminClient(service, ROUTES)) as client,
    ):
        play_admin_calls(client, service)
    notifications = [
        notification_row(event) for event in events if isinstance(event, JobNotification)
    ]
    return [*client.transcript, ["news taken", json.dumps(notifications)]]
