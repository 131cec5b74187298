"""The admin service on a context of the tests' own: effects, other dispatchers' changes, drains."""

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
    """A process that knows one worker, records what is posted and counts closings of connections."""
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


def ask(service, action, worker_id=""):
    return service.answer(OperatorRequest(action, worker_id))


def test_maintenance_is_posted_to_the_core_before_the_answer(service, context):
    assert ask(service, AdminAction.START_MAINTENANCE, WORKER).status == 200
    assert ask(service, AdminAction.START_MAINTENANCE, WORKER).text == "OK: out already"
    (change,) = context.posted
    assert isinstance(change, MaintenanceChanged)
    assert change.state.in_maintenance == frozenset({WORKER})
    assert ask(service, AdminAction.END_MAINTENANCE, WORKER).status == 200
    assert context.posted[-1].state.released == ((WORKER, NOW_US),)


def test_an_unknown_worker_is_counted_and_nothing_is_posted(service, context):
    assert ask(service, AdminAction.START_MAINTENANCE, "s-9").status == 404
    assert service.maintenance.counts.unknown == 1
    assert context.posted == []


def test_each_accepted_maintenance_request_is_spread_even_without_a_change_here(service):
    spread = []
    service.on_maintenance_change = lambda worker_id, starts: spread.append((worker_id, starts))
    for action in (AdminAction.START_MAINTENANCE, AdminAction.START_MAINTENANCE):
        ask(service, action, WORKER)
    ask(service, AdminAction.END_MAINTENANCE, WORKER)
    ask(service, AdminAction.START_MAINTENANCE, "s-9")
    ask(service, AdminAction.CHECK_HEALTH)
    assert spread == [(WORKER, True), (WORKER, True), (WORKER, False)]


def test_another_dispatchers_changes_hold_from_the_next_turn_for_unknown_workers_too(
    service, context, capsys
):
    spread = []
    service.on_maintenance_change = lambda worker_id, starts: spread.append(worker_id)
    service.queue_remote_change(RemoteMaintenanceChange("s-9", True, "n1", 1_000))
    assert not service.maintenance.contains("s-9")
    service.run_periodic_tasks(0.0)
    assert service.maintenance.contains("s-9")
    service.queue_remote_change(RemoteMaintenanceChange("s-9", False, "n1", 2_000))
    service.run_periodic_tasks(0.0)
    assert service.maintenance.snapshot().released == (("s-9", 2_000),)
    assert len(context.posted) == 2
    assert spread == []  # it came from there
    assert capsys.readouterr().err.splitlines() == [
        "stepstream: info worker_maintenance_started worker=s-9 requested_at=n1 in_maintenance=1",
        "stepstream: info worker_maintenance_ended worker=s-9 requested_at=n1 in_maintenance=0",
    ]


def test_a_drain_ends_health_and_closes_idle_connections_once_a_period(service, context):
    service.started = True
    assert ask(service, AdminAction.CHECK_HEALTH).status == 200
    ask(service, AdminAction.START_DRAIN)
    assert ask(service, AdminAction.CHECK_HEALTH).status == 503
    begun = time.monotonic()
    service.run_periodic_tasks(begun)
    assert not context.server.state.drain_closing
    for seconds, closings in ((0.6, 1), (0.65, 1), (0.71, 2)):
        service.run_periodic_tasks(begun + seconds)
        assert context.server.closings == closings
    assert context.server.state.drain_closing
    ask(service, AdminAction.CANCEL_DRAIN)
    assert not context.server.state.draining
    assert not context.server.state.drain_closing
    assert ask(service, AdminAction.CHECK_HEALTH).status == 200


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
def test_a_forwarded_notification_is_posted_as_one(service, context, body, status, posted):
    request = OperatorRequest(AdminAction.TAKE_NOTIFICATION, body=body)
    assert service.answer(request).status == status
    assert context.posted == posted
