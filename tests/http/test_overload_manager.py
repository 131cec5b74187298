"""The overload manager: what follows from the resident memory, whatever takes it."""

from dataclasses import replace
from types import SimpleNamespace

import pytest

from stepstream.http.codec import write_request
from stepstream.http.overload_manager import MemoryPressure, OverloadManager, memory_pressure
from stepstream.http.worker_api import NOTIFICATION_PATH
from tests.config.configurations import LIMITS
from tests.http.server_harness import NOTIFICATION, READINESS_CHECK, WORKER_HOST, ServerHarness
from tests.runtime.byte_reservations import reserved
from tests.runtime.waiting import wait_for

MB = 1024 * 1024
LIMITED = replace(LIMITS, memory=replace(LIMITS.memory, process_bytes=100 * MB))


class FixedResident:
    """Stands for the resident memory; the test sets it."""

    def __init__(self, megabytes):
        self.megabytes = megabytes

    def counted_bytes(self):
        return self.megabytes * MB

    def count_files(self):
        pass


@pytest.mark.parametrize(
    ("megabytes", "pressure"),
    [
        (0, MemoryPressure.NONE),
        (74, MemoryPressure.NONE),
        (75, MemoryPressure.SHRINK),
        (85, MemoryPressure.SHED),
        (92, MemoryPressure.REJECT),
        (200, MemoryPressure.REJECT),
    ],
)
def test_the_pressure_rises_with_the_memory_and_is_none_without_a_limit(megabytes, pressure):
    assert memory_pressure(megabytes * MB, 100 * MB) is pressure
    assert memory_pressure(megabytes * MB, 0) is MemoryPressure.NONE


def test_under_pressure_only_small_requests_are_admitted():
    resident = FixedResident(50)
    manager = OverloadManager(LIMITED, resident, list)
    assert manager.has_room_for_payload(64 * 1024)
    resident.megabytes = 86
    assert not manager.has_room_for_payload(64 * 1024)
    assert manager.has_room_for_payload(100)


def test_large_requests_leave_room_for_small_ones():
    # Guards against sound requests that are rejected as large ones hold the whole budget.
    manager = OverloadManager(LIMITED, FixedResident(50), list)
    budget = manager.open_request_memory
    with reserved(budget, budget.limit_bytes - 64 * 1024):
        assert not manager.has_room_for_payload(60 * 1024)
        assert manager.has_room_for_payload(100)


def test_under_pressure_messages_are_ended_though_their_budget_has_room():
    # Guards against memory that no budget counts.
    resident = FixedResident(50)
    ended = []
    connections = [
        SimpleNamespace(
            buffered_bytes=lambda: 1000,
            has_open_request=lambda: False,
            is_external=True,
            shed_buffered_message=lambda number=number: ended.append(number),
        )
        for number in range(8)
    ]
    manager = OverloadManager(LIMITED, resident, lambda: connections)
    with reserved(manager.buffered_memory, 8000):
        manager.relieve()
        assert ended == []
        resident.megabytes = 86
        manager.relieve()
    assert len(ended) == 5  # a half, and an eighth in addition


@pytest.fixture
def harness():
    harness = ServerHarness(LIMITED)
    yield harness
    harness.close()


def test_at_the_limit_clients_are_rejected_and_those_that_are_connected_are_served(harness):
    # Guards against a process that goes on accepting until the platform ends it.
    resident = FixedResident(50)
    harness.server.overload_manager.resident = resident
    connected = harness.connect()
    connected.sendall(READINESS_CHECK)
    assert connected.recv(100).startswith(b"HTTP/1.1 200")
    resident.megabytes = 93
    connected.sendall(READINESS_CHECK)
    assert connected.recv(100).startswith(b"HTTP/1.1 200")
    with harness.connect() as rejected:
        assert rejected.recv(100).startswith(b"HTTP/1.1 503")
    with harness.connect(WORKER_HOST) as worker:
        worker.sendall(NOTIFICATION)
        assert worker.recv(100).startswith(b"HTTP/1.1 200")
    resident.megabytes = 50
    with harness.connect() as accepted:
        accepted.sendall(READINESS_CHECK)
        assert accepted.recv(100).startswith(b"HTTP/1.1 200")
    connected.close()


def test_the_result_of_a_notification_counts_until_the_core_has_handled_it(harness):
    # Guards against results that wait for the core in a queue that is bounded by their number.
    budget = harness.server.overload_manager.queued_result_memory
    body = b'{"id":"01","from":"s","state":"done","result":"%s"}' % (b"x" * 500)
    with harness.connect(WORKER_HOST) as worker:
        worker.sendall(write_request("POST", NOTIFICATION_PATH, {}, body))
        worker.recv(100)
        wait_for(lambda: harness.events)
        assert budget.used_bytes == 500
        harness.events.clear()
        wait_for(lambda: budget.used_bytes == 0)
