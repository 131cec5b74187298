"""The admin listener on loopback sockets."""

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
    """A recording service, and the port on which a listener passes requests on to it."""
    service = RecordingService()
    port = free_port()
    listener = AdminListener(
        ("127.0.0.1", port), LIMITS, service.answer, service.run_periodic_tasks
    )
    with running_listener(listener):
        yield service, port


def test_a_request_is_answered_beside_callers_that_hold_their_connections(admin):
    service, port = admin
    slow = [
        socket.create_connection(("127.0.0.1", port)) for _ in range(LIMITS.connections.admin // 2)
    ]
    for sock in slow:
        sock.sendall(b"PUT /healthcheck/fa")
    begun = time.monotonic()
    assert call_admin(port, b"GET /healthcheck HTTP/1.1\r\n\r\n").status == 200
    assert time.monotonic() - begun < 1.0
    assert service.requests == [HEALTH_CHECK]
    for sock in slow:
        sock.close()


def test_a_connection_beyond_the_bound_evicts_the_oldest(admin):
    _, port = admin
    idle = [
        socket.create_connection(("127.0.0.1", port)) for _ in range(LIMITS.connections.admin + 4)
    ]
    idle[0].settimeout(WAIT_TIMEOUT_SECONDS)
    assert idle[0].recv(10) == b""  # the oldest is evicted
    assert call_admin(port, b"PUT /healthcheck/ok HTTP/1.1\r\n\r\n").status == 200
    for sock in idle:
        sock.close()


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"PUT /workers/s 1/maint HTTP/1.1\r\n\r\n", 400),
        (b"DELETE /healthcheck HTTP/1.1\r\n\r\n", 405),
        (b"GET /stats/x HTTP/1.1\r\n\r\n", 404),
        (b"\x16\x03\x01\x00\xa5garbage\r\n\r\n", 400),
        (b"PUT /healthcheck/ok HTTP/1.1\r\nContent-Length: 99999\r\n\r\n", 413),
    ],
)
def test_bad_requests_get_a_4xx_and_change_nothing(admin, data, status):
    service, port = admin
    assert call_admin(port, data).status == status
    assert service.requests == []
    assert call_admin(port, b"GET /healthcheck HTTP/1.1\r\n\r\n").status == 200


@pytest.fixture
def make_listener():
    """Makes listeners that the test turns itself, and closes them."""
    made = []

    def make(answer=None, run_periodic_tasks=lambda now: None):
        service = RecordingService()
        made.append(
            AdminListener(
                ("127.0.0.1", free_port()), LIMITS, answer or service.answer, run_periodic_tasks
            )
        )
        return made[-1]

    yield make
    for listener in made:
        for connection in list(listener.connections.values()):
            listener._close(connection)
        listener.listening_socket.close()


def caller_of(listener):
    sock = caller_of_socket(listener.listening_socket)
    sock.settimeout(WAIT_TIMEOUT_SECONDS)
    return sock


def turn_until(listener, done):
    """Turn the listener, within a bound, until `done()`."""
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while not done():
        assert time.monotonic() < deadline
        listener.poll_once()


def test_an_event_of_an_evicted_connection_does_not_close_a_new_caller(make_listener):
    # Guards against a caller that is closed unanswered: it got the evicted one's descriptor.
    listener = make_listener()
    old = [caller_of(listener) for _ in range(LIMITS.connections.admin)]
    turn_until(listener, lambda: len(listener.connections) == LIMITS.connections.admin)
    old[0].sendall(b"GET /heal")
    new = [caller_of(listener) for _ in range(2)]
    listener.poll_once()
    for caller in new:
        caller.sendall(b"GET /healthcheck HTTP/1.1\r\n\r\n")
    turn_until(listener, lambda: len(listener.connections) <= LIMITS.connections.admin - 2)
    assert [caller.recv(12) for caller in new] == [b"HTTP/1.1 200"] * 2
    for caller in (*old, *new):
        caller.close()


def test_a_fault_in_an_own_route_or_a_periodic_task_is_answered_and_logged(make_listener, capfd):
    # Guards against an admin thread that ends for good at one fault.
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


class FullSocket:
    """A listening socket whose process has no free descriptor."""

    def __init__(self, sock):
        self.sock = sock
        self.tries = 0

    def fileno(self):
        return self.sock.fileno()

    def close(self):
        self.sock.close()

    def accept(self):
        self.tries += 1
        raise OSError(errno.EMFILE, "Too many open files")


def test_without_a_free_descriptor_the_listener_pauses_and_logs_one_line(make_listener, capfd):
    # Guards against a thread that turns without rest while a caller waits to be accepted.
    listener = make_listener()
    real = listener.listening_socket
    listener.listening_socket = full = FullSocket(real)
    with caller_of_socket(real) as caller:
        until = time.monotonic() + 0.5
        turns = 0
        while time.monotonic() < until:
            listener.poll_once()
            turns += 1
        assert 1 <= full.tries <= 6  # one each ACCEPT_PAUSE_SECONDS
        assert turns < 30
        assert capfd.readouterr().err.count("accept_failed") == 1
        listener.listening_socket = real
        caller.sendall(b"GET /healthcheck HTTP/1.1\r\n\r\n")
        caller.settimeout(0.0)
        answer = bytearray()

        def is_answered():
            with contextlib.suppress(BlockingIOError):
                answer.extend(caller.recv(100))
            return answer

        turn_until(listener, is_answered)
    assert answer.startswith(b"HTTP/1.1 200")


def caller_of_socket(listening_socket):
    return socket.create_connection(listening_socket.getsockname())
