"""The admin listener on loopback sockets."""

import socket
import time

import pytest

from stepstream.admin.listener import AdminListener
from stepstream.admin.routing import AdminAction, OperatorRequest
from stepstream.ports.admin import AdminResponse
from tests.admin.calls import call_admin, running_listener
from tests.config.configurations import LIMITS
from tests.runtime.ports import free_port
from tests.runtime.waiting import PATIENCE_SECONDS

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
    idle[0].settimeout(PATIENCE_SECONDS)
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
