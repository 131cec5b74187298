"""The admin service on a stub of the node: requests, other dispatchers' changes, drains."""

import time
from types import SimpleNamespace

import pytest

from stepstream.admin.routing import AdminAction, OperatorRequest
from stepstream.admin.service import AdminService, RemoteMaintenanceChange
from stepstream.core.drain import DrainState
from stepstream.core.events import JobNotification, JobStatus, MaintenanceChanged
from stepstream.http.destination_set import DestinationSet

NOW_US = 5_000_000
WORKER = "s-1"


@pytest.fixture
def context():
    """A stub of the node that knows one worker, records events and counts `close_idle` calls."""
    state = SimpleNamespace(shutting_down=False, draining=False, drain_closing=False)
    server = SimpleNamespace(state=state, closings=0)

    def close_idle():
        server.closings += 1

    server.close_idle = close_idle
    posted = []
    return SimpleNamespace(
        server=server,
        destinations=DestinationSet(),
        core=SimpleNamespace(endpoints=SimpleNamespace(contains={WORKER}.__contains__)),
        clock=SimpleNamespace(now_us=lambda: NOW_US),
        post=posted.append,
        posted=posted,
    )


@pytest.fixture
def service(context):
    return AdminService(context, DrainState(close_after_seconds=0.5))


def send_request(service, action, worker_id=""):
    return service.answer(OperatorRequest(action, worker_id))


def test_maintenance_is_posted_to_the_core_before_the_answer(service, context):
    assert send_request(service, AdminAction.START_MAINTENANCE, WORKER).status == 200
    assert send_request(service, AdminAction.START_MAINTENANCE, WORKER).text == "OK: out already"
    (change,) = context.posted
    assert isinstance(change, MaintenanceChanged)
    assert change.state.in_maintenance == frozenset({WORKER})
    assert send_request(service, AdminAction.END_MAINTENANCE, WORKER).status == 200
    assert context.posted[-1].state.released == ((WORKER, NOW_US),)


def test_a_request_for_an_unknown_worker_is_counted_and_not_posted(service, context):
    assert send_request(service, AdminAction.START_MAINTENANCE, "s-9").status == 404
    assert service.maintenance.counts.unknown == 1
    assert context.posted == []


def test_other_dispatchers_are_notified_of_each_accepted_maintenance_request(service):
    notified = []
    service.on_maintenance_change = lambda worker_id, is_start: notified.append(
        (worker_id, is_start)
    )
    for action in (AdminAction.START_MAINTENANCE, AdminAction.START_MAINTENANCE):
        send_request(service, action, WORKER)
    send_request(service, AdminAction.END_MAINTENANCE, WORKER)
    send_request(service, AdminAction.START_MAINTENANCE, "s-9")
    send_request(service, AdminAction.CHECK_HEALTH)
    assert notified == [(WORKER, True), (WORKER, True), (WORKER, False)]


def test_another_dispatchers_changes_apply_at_the_next_turn_even_to_unknown_workers(
    service, context, capsys
):
    notified = []
    service.on_maintenance_change = lambda worker_id, starts: notified.append(worker_id)
    service.queue_remote_change(RemoteMaintenanceChange("s-9", True, "n1", 1_000))
    assert not service.maintenance.contains("s-9")
    service.run_periodic_tasks(0.0)
    assert service.maintenance.contains("s-9")
    service.queue_remote_change(RemoteMaintenanceChange("s-9", False, "n1", 2_000))
    service.run_periodic_tasks(0.0)
    assert service.maintenance.snapshot().released == (("s-9", 2_000),)
    assert len(context.posted) == 2
    assert notified == []  # changes of another dispatcher are not sent back
    assert capsys.readouterr().err.splitlines() == [
        "stepstream: info worker_maintenance_started worker=s-9 requested_at=n1 in_maintenance=1",
        "stepstream: info worker_maintenance_ended worker=s-9 requested_at=n1 in_maintenance=0",
    ]


def test_a_drain_fails_health_checks_and_closes_idle_connections_once_a_period(service, context):
    service.started = True
    assert send_request(service, AdminAction.CHECK_HEALTH).status == 200
    send_request(service, AdminAction.START_DRAIN)
    assert send_request(service, AdminAction.CHECK_HEALTH).status == 503
    begun = time.monotonic()
    service.run_periodic_tasks(begun)
    assert not context.server.state.drain_closing
    for seconds, closings in ((0.6, 1), (0.65, 1), (0.71, 2)):
        service.run_periodic_tasks(begun + seconds)
        assert context.server.closings == closings
    assert context.server.state.drain_closing
    send_request(service, AdminAction.CANCEL_DRAIN)
    assert not context.server.state.draining
    assert not context.server.state.drain_closing
    assert send_request(service, AdminAction.CHECK_HEALTH).status == 200


@pytest.mark.parametrize(
    ("body", "status", "posted"),
    [
        (
            b'{"id": "j1", "from": "s-1", "state": "done", "result": 3}',
            200,
            [JobNotification("j1", "s-1", JobStatus.DONE, 3, forwarded=True)],
        ),
        (b'{"id": "j1", "from": "s-1", "state": "unheard"}', 200, []),
        (b"[]", 400, []),
    ],
    ids=["known status", "unknown status", "malformed"],
)
def test_a_forwarded_notification_is_posted_and_marked_as_forwarded(
    service, context, body, status, posted
):
    rejected = []
    service.on_rejected_notification = rejected.append
    request = OperatorRequest(AdminAction.TAKE_NOTIFICATION, body=body)
    assert service.answer(request).status == status
    assert context.posted == posted
    assert len(rejected) == (status == 400)
