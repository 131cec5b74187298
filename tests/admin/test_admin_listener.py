"""The admin listener, tested over loopback sockets."""

import contextlib
import errno
import socket
import time

import pytest

from stepstream.admin.listener import AdminListener
from stepstream.admin.routing import AdminAction, OperatorRequest
from stepstream.ports.admin import AdminResponse
from tests.admin.calls import call_admin, running_listener
from tests.config.configurations import LIMITS
from tests.runtime.ports import free_port
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS

HEALTH_CHECK = OperatorRequest(AdminAction.CHECK_HEALTH)


class RecordingService:
    """Answers every request with 200 and records it."""

    def __init__(self):
        self.requests = []

    def answer(self, request):
        self.requests.append(request)
        return AdminResponse(200, "OK")

    def run_periodic_tasks(self, now):
        pass


@pytest.fixture
def admin():
    """A recording service, and the port of a listener that passes requests to it."""
    service = RecordingService()
    port = free_port()
    listener = AdminListener(
        ("127.0.0.1", port), LIMITS, service.answer, service.run_periodic_tasks
    )
    with running_listener(listener):
        yield service, port


def test_callers_with_incomplete_requests_do_not_delay_other_callers(admin):
    service, port = admin
    slow_callers = [
        socket.create_connection(("127.0.0.1", port)) for _ in range(LIMITS.connections.admin // 2)
    ]
    for sock in slow_callers:
        sock.sendall(b"PUT /healthcheck/fa")
    begun = time.monotonic()
    assert call_admin(port, b"GET /healthcheck HTTP/1.1\r\n\r\n").status == 200
    assert time.monotonic() - begun < 1.0
    assert service.requests == [HEALTH_CHECK]
    for sock in slow_callers:
        sock.close()


def test_a_connection_beyond_the_bound_evicts_the_oldest_one(admin):
    _, port = admin
    idle_callers = [
        socket.create_connection(("127.0.0.1", port)) for _ in range(LIMITS.connections.admin + 4)
    ]
    idle_callers[0].settimeout(WAIT_TIMEOUT_SECONDS)
    assert idle_callers[0].recv(10) == b""  # the oldest is evicted
    assert call_admin(port, b"PUT /healthcheck/ok HTTP/1.1\r\n\r\n").status == 200
    for sock in idle_callers:
        sock.close()


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (b"PUT /workers/s 1/maint HTTP/1.1\r\n\r\n", 400),
        (b"DELETE /healthcheck HTTP/1.1\r\n\r\n", 405),
        (b"GET /stats/x HTTP/1.1\r\n\r\n", 404),
        (b"\x16\x03\x01\x00\xa5garbage\r\n\r\n", 400),
        (b"PUT /healthcheck/ok HTTP/1.1\r\nContent-Length: 99999\r\n\r\n", 413),
    ],
)
def test_a_bad_request_gets_a_4xx_and_is_not_passed_on(admin, request_bytes, status):
    service, port = admin
    assert call_admin(port, request_bytes).status == status
    assert service.requests == []
    assert call_admin(port, b"GET /healthcheck HTTP/1.1\r\n\r\n").status == 200


@pytest.fixture
def make_listener():
    """Create listeners without a thread, whose turns the test runs; close them afterwards."""
    listeners = []

    def create(answer=None, run_periodic_tasks=lambda now: None):
        service = RecordingService()
        listeners.append(
            AdminListener(
                ("127.0.0.1", free_port()), LIMITS, answer or service.answer, run_periodic_tasks
            )
        )
        return listeners[-1]

    yield create
    for listener in listeners:
        for connection in list(listener.connections.values()):
            listener._close(connection)
        listener.listening_socket.close()


def connect_to(listener):
    sock = connect_to_socket(listener.listening_socket)
    sock.settimeout(WAIT_TIMEOUT_SECONDS)
    return sock


def poll_until(listener, condition):
    """Run turns of the listener until `condition()` holds; fail if it takes too long."""
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < deadline
        listener.poll_once()


def test_an_event_of_an_evicted_connection_does_not_close_a_new_connection(make_listener):
    # Guards against a new caller that gets no answer: its connection reuses the descriptor of
    # an evicted one, and a late event of the evicted connection closes the new connection.
    listener = make_listener()
    old_callers = [connect_to(listener) for _ in range(LIMITS.connections.admin)]
    poll_until(listener, lambda: len(listener.connections) == LIMITS.connections.admin)
    old_callers[0].sendall(b"GET /heal")
    new_callers = [connect_to(listener) for _ in range(2)]
    listener.poll_once()
    for caller in new_callers:
        caller.sendall(b"GET /healthcheck HTTP/1.1\r\n\r\n")
    poll_until(listener, lambda: len(listener.connections) <= LIMITS.connections.admin - 2)
    assert [caller.recv(12) for caller in new_callers] == [b"HTTP/1.1 200"] * 2
    for caller in (*old_callers, *new_callers):
        caller.close()


def test_the_listener_logs_faults_in_a_route_or_a_periodic_task_and_goes_on(make_listener, capfd):
    # Guards against a fault that ends the listener's thread.
    def fail(_):
        raise KeyError("lost")

    listener = make_listener(answer=fail, run_periodic_tasks=fail)
    with running_listener(listener):
        port = listener.listening_socket.getsockname()[1]
        for _ in range(2):
            assert call_admin(port, b"GET /healthcheck HTTP/1.1\r\n\r\n").status == 500
    log = capfd.readouterr().err
    assert log.count('internal_fault where="an admin call" error_type=KeyError') == 2
    assert log.count('internal_fault where="admin tasks" error_type=KeyError') == 1


class ExhaustedListeningSocket:
    """A listening socket on which every accept fails, because no descriptor is free."""

    def __init__(self, sock):
        self.sock = sock
        self.accept_count = 0

    def fileno(self):
        return self.sock.fileno()

    def close(self):
        self.sock.close()

    def accept(self):
        self.accept_count += 1
        raise OSError(errno.EMFILE, "Too many open files")


def test_without_a_free_descriptor_the_listener_pauses_and_logs_one_line(make_listener, capfd):
    # Guards against a thread that polls without a pause while a caller waits to be accepted.
    listener = make_listener()
    real_socket = listener.listening_socket
    listener.listening_socket = exhausted_socket = ExhaustedListeningSocket(real_socket)
    with connect_to_socket(real_socket) as caller:
        end_seconds = time.monotonic() + 0.5
        turns = 0
        while time.monotonic() < end_seconds:
            listener.poll_once()
            turns += 1
        assert 1 <= exhausted_socket.accept_count <= 6  # one per ACCEPT_PAUSE_SECONDS
        assert turns < 30
        assert capfd.readouterr().err.count("accept_failed") == 1
        listener.listening_socket = real_socket
        caller.sendall(b"GET /healthcheck HTTP/1.1\r\n\r\n")
        caller.settimeout(0.0)
        answer = bytearray()

        def is_answered():
            with contextlib.suppress(BlockingIOError):
                answer.extend(caller.recv(100))
            return answer

        poll_until(listener, is_answered)
    assert answer.startswith(b"HTTP/1.1 200")


def connect_to_socket(listening_socket):
    return socket.create_connection(listening_socket.getsockname())
