"""Tests of workers: assignment, drains, disconnects and the repetition of their jobs."""

from dataclasses import replace

import pytest

from stepstream.core.events import ShutdownStarted
from stepstream.gearman.codec import PacketKind
from stepstream.model.events import SettingsChanged
from tests.config.configurations import LIMITS
from tests.gearman.service_harness import (
    OUTCOME_KINDS,
    SECTION,
    SETTINGS_WITH_NOT_IDEMPOTENT_CLASS,
    ServiceHarness,
    error_code,
    harness_with_worker,
    job_status,
    section_with,
    submit_job,
)


def test_a_worker_without_a_start_time_counts_as_started_when_it_registers():
    harness = ServiceHarness()
    harness.connect().send(PacketKind.CAN_DO, "revalue")
    harness.connect().register_worker(
        "w", fields=";zone=petrzalka;kind=old-blade;cell=3;slots=4;weight=0.5"
    )
    first, second = [
        worker.endpoint for worker in harness.core.load_balancer.state.workers.by_id.values()
    ]
    assert first.worker_id == "gearman:c1"
    assert first.started_us == harness.now_us
    assert first.supported_jobs == {"revalue"}
    assert (
        second.zone,
        second.worker_kind,
        second.cell,
        second.weight,
        second.started_us,
    ) == (
        1,
        1,
        3,
        0.5,
        1_000,
    )


def test_two_connections_with_one_client_id_are_two_workers():
    harness = ServiceHarness()
    first, second = harness.connect().register_worker("w"), harness.connect().register_worker("w")
    assert sorted(harness.core.load_balancer.state.workers.by_id) == ["gearman:w", "gearman:w~2"]
    first.disconnect()
    assert sorted(harness.core.load_balancer.state.workers.by_id) == ["gearman:w~2"]
    assert second.peer.worker


@pytest.mark.parametrize(
    "client_id",
    [
        "",
        "a b",
        "w;zone=mars",
        "w;slots=0",
        "w;slots=x",
        "w;cell=-1",
        "w;weight=nan",
        "w;x=1",
        "w;cell=1;cell=2",
    ],
)
def test_an_invalid_client_id_is_an_error_and_is_not_stored(client_id):
    peer = ServiceHarness().connect()
    assert error_code(peer.send(PacketKind.SET_CLIENT_ID, client_id)) == "BAD_CLIENT_ID"
    assert peer.peer.client_id == b""


def test_a_worker_is_assigned_only_functions_that_it_registered():
    harness = ServiceHarness()
    worker = harness.connect().register_worker("w", "hron-asset/revalue", "nav-publish")
    client = harness.connect()
    submit_job(client, "tatra-invest/revalue")
    assert worker.grab_job() is None
    submit_job(client, "hron-asset/revalue")
    assert worker.grab_job()[1] == b"hron-asset/revalue"


def test_only_the_worker_that_has_work_is_woken_and_only_once():
    harness = ServiceHarness(limits=replace(LIMITS, gearman=replace(LIMITS.gearman, workers=1000)))
    workers = [harness.connect().register_worker(f"w{index}") for index in range(1000)]
    for worker in workers:
        worker.send(PacketKind.PRE_SLEEP)
    submit_job(harness.connect())
    woken = [worker for worker in workers if worker.packets_of(PacketKind.NOOP)]
    assert len(woken) == 1
    assert len(woken[0].packets_of(PacketKind.NOOP)) == 1
    assert woken[0].grab_job() is not None


def test_a_worker_that_goes_to_sleep_with_a_queued_call_is_woken_at_once():
    harness, worker = harness_with_worker()
    submit_job(harness.connect())
    assert [packet.kind for packet in worker.send(PacketKind.PRE_SLEEP)] == [PacketKind.NOOP]


def test_calls_beyond_a_workers_queue_are_sent_to_another_worker():
    harness, worker = harness_with_worker(section=section_with(queue=1))
    harness.list_http_worker()
    client = harness.connect()
    for _ in range(6):
        submit_job(client)
    registered_worker = worker.peer.worker
    assert len(registered_worker.queue) == 2
    assert harness.http_calls


@pytest.mark.parametrize("departure", ["cant", "reset", "close"])
def test_calls_queued_at_a_leaving_worker_are_sent_to_another_worker(departure):
    harness, worker = harness_with_worker()
    submit_job(harness.connect(), "once")
    assert not harness.http_calls
    worker.send(PacketKind.CAN_DO, "once")
    harness.advance_time(1_000)
    assert len(worker.peer.worker.queue) == 1
    harness.list_http_worker()
    if departure == "close":
        worker.disconnect()
    else:
        worker.send(
            *(
                (PacketKind.CANT_DO, "once")
                if departure == "cant"
                else (PacketKind.RESET_ABILITIES,)
            )
        )
        # The job has left the queue at once, not only after the queue wait of 1,000 ms.
        assert worker.grab_job() is None
    # Even a job that must not run twice may be sent again, because it was never assigned.
    assert [call.request.job_class for call in harness.http_calls] == [2]


@pytest.mark.parametrize(
    ("function", "is_repeated"), [("revalue", True), ("nav-publish", True), ("once", False)]
)
def test_a_job_is_repeated_after_its_worker_disconnects_only_if_its_class_allows_it(
    function, is_repeated
):
    harness, worker = harness_with_worker()
    worker.send(PacketKind.CAN_DO, "once")
    client = harness.connect()
    submit_job(client, function, "key")
    assigned = worker.grab_job()[0]
    worker.send(PacketKind.WORK_STATUS, assigned, "1", "2")
    harness.list_http_worker()
    worker.disconnect()
    assert len(harness.http_calls) == is_repeated
    if not is_repeated:
        assert [packet.kind for packet in client.packets_of(*OUTCOME_KINDS)] == [
            PacketKind.WORK_FAIL
        ]


def test_a_keyed_job_is_repeated_only_in_the_cell_of_the_worker_that_may_have_run_it():
    harness = ServiceHarness()
    workers = [
        harness.connect().register_worker(f"w{index}", fields=f";cell={cell}")
        for index, cell in enumerate((1, 1, 2, 2))
    ]
    client = harness.connect()
    submit_job(client, "nav-publish", "key")
    (first,) = [worker for worker in workers if worker.peer.worker.queue]
    cell = first.peer.worker.identity.cell
    first.grab_job()
    first.disconnect()
    harness.advance_time(1_000)
    (second,) = [worker for worker in workers if worker.peer.worker and worker.peer.worker.queue]
    assert second.peer.worker.identity.cell == cell
    assert second is not first
    second.grab_job()
    second.disconnect()
    # No worker of the cell is left; the workers of the other cell never get the job.
    harness.advance_time(5_000_000)
    assert not any(worker.peer.worker.queue for worker in workers if worker.peer.worker)
    assert [packet.kind for packet in client.packets_of(*OUTCOME_KINDS)] == [PacketKind.WORK_FAIL]


@pytest.mark.parametrize(("after_us", "is_repeated"), [(300_000, 1), (700_000, 0)])
def test_a_keyed_job_is_repeated_only_within_its_idempotency_window(after_us, is_repeated):
    keyed_class = replace(
        SETTINGS_WITH_NOT_IDEMPOTENT_CLASS.classes[1],
        latency_objective_us=4_000_000,
        idempotency_window_us=500_000,
    )
    settings = replace(
        SETTINGS_WITH_NOT_IDEMPOTENT_CLASS,
        classes=(
            SETTINGS_WITH_NOT_IDEMPOTENT_CLASS.classes[0],
            keyed_class,
            SETTINGS_WITH_NOT_IDEMPOTENT_CLASS.classes[2],
        ),
    )
    harness, first = harness_with_worker(settings=settings)
    client = harness.connect()
    submit_job(client, "nav-publish", "key")
    first.grab_job()
    second = harness.connect().register_worker("second")
    harness.advance_time(after_us)
    first.disconnect()
    assert len(second.peer.worker.queue) == is_repeated
    assert len(client.packets_of(PacketKind.WORK_FAIL)) == 1 - is_repeated


def test_a_silent_workers_job_ends_at_its_deadline_and_its_queued_call_goes_elsewhere():
    harness, worker = harness_with_worker()
    client = harness.connect()
    submit_job(client)
    worker.grab_job()
    submit_job(client)
    assert len(worker.peer.worker.queue) == 1
    harness.list_http_worker()
    harness.advance_time(1_200_000)
    assert not worker.peer.worker.queue
    assert len(harness.http_calls) == 1
    harness.complete_http_call(harness.http_calls[0])
    harness.advance_time(4_000_000)
    assert len(client.packets_of(*OUTCOME_KINDS)) == 2


def test_reports_on_jobs_that_the_sender_does_not_hold_change_nothing():
    harness, worker = harness_with_worker()
    other_worker, client = harness.connect().register_worker("other"), harness.connect()
    harness.advance_time(10_000)
    handle = submit_job(client)
    owner, other = (
        (worker, other_worker) if (taken := worker.grab_job()) else (other_worker, worker)
    )
    assigned = (taken or owner.grab_job())[0]
    for name in (assigned, handle, b"H:n0:999"):
        assert (
            error_code(other.send(PacketKind.WORK_COMPLETE, name, "of the wrong worker"))
            == "JOB_NOT_FOUND"
        )
    assert (
        error_code(client.send(PacketKind.WORK_COMPLETE, assigned, "of the wrong worker"))
        == "JOB_NOT_FOUND"
    )
    owner.send(PacketKind.WORK_COMPLETE, assigned, "own")
    # The owner's second report on a job that it has already ended is ignored.
    assert owner.send(PacketKind.WORK_COMPLETE, assigned, "twice") == []
    assert [packet.args[1] for packet in client.packets_of(*OUTCOME_KINDS)] == [b"own"]


def test_a_worker_that_reconnects_cannot_complete_its_earlier_jobs():
    harness, worker = harness_with_worker()
    client = harness.connect()
    submit_job(client)
    assigned = worker.grab_job()[0]
    worker.disconnect()
    reconnected = harness.connect().register_worker("w")
    assert (
        error_code(reconnected.send(PacketKind.WORK_COMPLETE, assigned, "late")) == "JOB_NOT_FOUND"
    )
    reconnected.send(PacketKind.WORK_COMPLETE, reconnected.grab_job()[0], "new")
    assert [packet.args[1] for packet in client.packets_of(*OUTCOME_KINDS)] == [b"new"]


def test_a_result_after_the_can_do_timeout_is_used_if_it_is_the_first():
    slow_class = replace(
        SETTINGS_WITH_NOT_IDEMPOTENT_CLASS.classes[0], latency_objective_us=4_000_000
    )
    harness, worker = harness_with_worker(
        settings=replace(
            SETTINGS_WITH_NOT_IDEMPOTENT_CLASS,
            classes=(slow_class, *SETTINGS_WITH_NOT_IDEMPOTENT_CLASS.classes[1:]),
        )
    )
    worker.send(PacketKind.CAN_DO_TIMEOUT, "revalue", "1")
    client = harness.connect()
    submit_job(client)
    assigned = worker.grab_job()[0]
    harness.list_http_worker()
    harness.advance_time(900_000)
    assert not harness.http_calls
    harness.advance_time(200_000)
    assert [call.worker_id for call in harness.http_calls] == ["s-1"]
    worker.send(PacketKind.WORK_COMPLETE, assigned, "late but its own")
    assert [packet.args[1] for packet in client.packets_of(*OUTCOME_KINDS)] == [b"late but its own"]
    assert harness.stopped_calls[-1].worker_id == "s-1"


def test_too_many_result_chunks_fail_the_job():
    harness, worker = harness_with_worker(
        limits=replace(LIMITS, gearman=replace(LIMITS.gearman, partial_result_bytes=10))
    )
    worker.send(PacketKind.CAN_DO, "once")
    client = harness.connect()
    submit_job(client, "once")
    assigned = worker.grab_job()[0]
    worker.send(PacketKind.WORK_DATA, assigned, "123456")
    assert error_code(worker.send(PacketKind.WORK_DATA, assigned, "123456")) == "RESULT_TOO_LARGE"
    assert [packet.kind for packet in client.packets_of(*OUTCOME_KINDS)] == [PacketKind.WORK_FAIL]


def test_a_client_id_changes_only_while_no_job_is_assigned():
    harness, worker = harness_with_worker()
    worker.send(PacketKind.SET_CLIENT_ID, "other;slots=2")
    assert list(harness.core.load_balancer.state.workers.by_id) == ["gearman:other"]
    submit_job(harness.connect())
    worker.grab_job()
    assert error_code(worker.send(PacketKind.SET_CLIENT_ID, "third")) == "BAD_CLIENT_ID"


def test_workers_and_their_functions_are_limited_in_number():
    harness = ServiceHarness(
        limits=replace(LIMITS, gearman=replace(LIMITS.gearman, workers=1, functions_per_worker=2))
    )
    harness.connect().register_worker("a")
    assert error_code(harness.connect().send(PacketKind.CAN_DO, "revalue")) == "TOO_MANY_WORKERS"
    assert error_code(harness.peers[0].send(PacketKind.CAN_DO, "third")) == "TOO_MANY_FUNCTIONS"
    assert error_code(harness.peers[0].send(PacketKind.CAN_DO, "a b")) == "BAD_FUNCTION"


def test_a_shutdown_answers_foreground_and_background_jobs():
    harness, worker = harness_with_worker()
    client = harness.connect()
    submit_job(client)
    handle = submit_job(client, kind=PacketKind.SUBMIT_JOB_BG)
    worker.grab_job()
    harness.post_events(ShutdownStarted(harness.now_us + 300_000))
    harness.advance_time(400_000)
    assert len(client.packets_of(*OUTCOME_KINDS)) == 1
    assert job_status(client, handle)[:2] == (1, 0)
    assert harness.core.open_count == 0


def test_open_jobs_and_workers_survive_a_reload():
    harness, worker = harness_with_worker()
    client = harness.connect()
    submit_job(client)
    reversed_classes = replace(
        SETTINGS_WITH_NOT_IDEMPOTENT_CLASS, classes=SETTINGS_WITH_NOT_IDEMPOTENT_CLASS.classes[::-1]
    )
    harness.post_events(SettingsChanged(reversed_classes))
    harness.service.reconfigure(SECTION, reversed_classes, LIMITS)
    submit_job(client, "nav-publish", "k")
    assigned = [worker.grab_job() for _ in range(2)][0]
    assert assigned[1] == b"revalue"
    worker.send(PacketKind.WORK_COMPLETE, assigned[0], "r")
    assert worker.grab_job()[1] == b"nav-publish"
