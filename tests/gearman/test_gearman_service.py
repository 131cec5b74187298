"""Gearman's clients and workers on the real core and policy, on one clock and without a socket."""

from dataclasses import replace

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from stepstream.core.events import JobStatus, ShutdownStarted
from stepstream.gearman.codec import Kind
from stepstream.model.events import SettingsChanged
from stepstream.ports.access_control import Rejection, RejectionKind
from tests.config.configurations import LIMITS
from tests.gearman.service_harness import SECTION, SETTINGS_WITH_UNSAFE, ServiceHarness

FINALS = (Kind.WORK_COMPLETE, Kind.WORK_FAIL)


def harness_with_worker(**more):
    harness = ServiceHarness(**more)
    worker = harness.connect().join()
    harness.advance(10_000)
    return harness, worker


def submit(peer, function="revalue", unique="", data="x", kind=Kind.SUBMIT_JOB):
    """Submit a job; return its handle."""
    (packet,) = [p for p in peer.send(kind, function, unique, data) if p.kind is Kind.JOB_CREATED]
    return packet.args[0]


def code(packets):
    (packet,) = [p for p in packets if p.kind is Kind.ERROR]
    return packet.args[0].decode()


def status(peer, handle):
    """Return known, running, numerator and denominator."""
    (packet,) = [p for p in peer.send(Kind.GET_STATUS, handle) if p.kind is Kind.STATUS_RES]
    return tuple(int(x) for x in packet.args[1:])


# -- jobs and outcomes ------------------------------------------------------------------------------------


def test_a_job_goes_to_a_worker_and_its_result_comes_back_in_the_order_sent():
    harness, worker = harness_with_worker()
    client = harness.connect()
    handle = submit(client, "tatra-invest/revalue+2", "u1", "body")
    assigned, function, unique, workload = worker.grab()
    assert (function, workload) == (b"revalue", b"body")
    assert assigned != handle
    worker.send(Kind.WORK_STATUS, assigned, "1", "4")
    worker.send(Kind.WORK_DATA, assigned, "part")
    worker.send(Kind.WORK_WARNING, assigned, "hm")
    worker.send(Kind.WORK_COMPLETE, assigned, "end")
    kinds = [(p.kind, p.args[1:]) for p in client.received]
    assert kinds == [
        (Kind.JOB_CREATED, ()),
        (Kind.WORK_STATUS, (b"1", b"4")),
        (Kind.WORK_DATA, (b"part",)),
        (Kind.WORK_WARNING, (b"hm",)),
        (Kind.WORK_COMPLETE, (b"end",)),
    ]
    assert not harness.core.requests
    assert not harness.state.jobs.by_handle
    assert harness.state.jobs.open_workload_bytes == 0


def test_a_job_that_failed_after_data_serves_only_what_the_second_worker_made():
    harness, first = harness_with_worker()
    second = harness.connect().join("v")
    client = harness.connect()
    submit(client)
    worker, other = (first, second) if (taken := first.grab()) else (second, first)
    assigned = (taken or worker.grab())[0]
    worker.send(Kind.WORK_DATA, assigned, "half of the first")
    worker.disconnect()
    other.send(Kind.WORK_COMPLETE, other.grab()[0], "whole of the second")
    assert [p.args[1] for p in client.of(Kind.WORK_DATA, Kind.WORK_COMPLETE)] == [
        b"whole of the second"
    ]


def test_a_gearman_job_runs_on_an_http_node_with_its_key_and_progress():
    harness = ServiceHarness()
    harness.http_worker()
    client = harness.connect()
    submit(client, "nav-publish", "key-1", "body")
    (call,) = harness.http_calls
    assert (call.request.payload.path, call.request.payload.body) == ("/nav-publish", b"body")
    assert call.request.payload.idempotency_key == "key-1"
    harness.notify_http(call, JobStatus.RUNNING, progress=(400, 1000))
    harness.complete_http(call)
    assert [p.args[1:] for p in client.received[1:]] == [(b"400", b"1000"), (b"17.5",)]


def test_rejected_and_failed_jobs_differ_and_a_rejected_one_has_a_retry_after():
    harness = ServiceHarness()  # no worker at all: refused once its patience ends
    client, asks = harness.connect(), harness.connect()
    asks.send(Kind.OPTION_REQ, "exceptions")
    submit(client)
    submit(asks)
    harness.advance(1_000_000)
    assert [p.kind for p in client.received[1:]] == [Kind.WORK_WARNING, Kind.WORK_FAIL]
    assert client.received[1].args[1].startswith(b"refused retry-after=")
    assert [p.kind for p in asks.received[2:]] == [Kind.WORK_EXCEPTION, Kind.WORK_FAIL]
    harness, worker = harness_with_worker()
    client = harness.connect()
    submit(client, "once")
    worker.send(Kind.CAN_DO, "once")
    harness.advance(10_000)
    worker.send(Kind.WORK_EXCEPTION, worker.grab()[0], "no market data")
    assert client.received[-2].args[1] == b"failed no market data"
    assert client.received[-1].kind is Kind.WORK_FAIL


@pytest.mark.parametrize(
    ("function", "unique", "expected"),
    [
        ("nothing", "", "UNKNOWN_FUNCTION"),
        ("nobody/revalue", "", "UNKNOWN_FUNCTION"),
        ("revalue+0", "", "BAD_FUNCTION"),
        ("revalue+x", "", "BAD_FUNCTION"),
        ("nav-publish", "", "BAD_UNIQUE"),
        ("nav-publish", "two words", "BAD_UNIQUE"),
        ("revalue", "u" * 300, "BAD_UNIQUE"),
    ],
)
def test_an_invalid_submission_is_answered_with_an_error_code(function, unique, expected):
    harness = ServiceHarness()
    client = harness.connect()
    assert code(client.send(Kind.SUBMIT_JOB, function, unique, "x")) == expected
    assert not client.ended
    assert not harness.core.requests


def test_slots_beyond_the_bound_are_refused_whatever_zeros_lead_them():
    client = ServiceHarness().connect()
    client.send(Kind.SUBMIT_JOB, "revalue+0000010249999999", "", "x")
    assert [(packet.kind, packet.args[0]) for packet in client.received] == [
        (Kind.ERROR, b"BAD_FUNCTION")
    ]


def test_submissions_beyond_a_limit_are_rejected_with_a_retry_after():
    small = replace(
        LIMITS,
        gearman=replace(LIMITS.gearman, in_flight_workload_bytes=100),
        sizes=replace(LIMITS.sizes, body_bytes=90),
    )
    harness = ServiceHarness(limits=small, section=replace_section(jobs_a_connection=2))
    client = harness.connect()
    assert code(client.send(Kind.SUBMIT_JOB, "revalue", "", "x" * 91)) == "WORKLOAD_TOO_LARGE"
    submit(client, data="x" * 80)
    fault = client.send(Kind.SUBMIT_JOB, "revalue", "", "x" * 30)
    assert code(fault) == "JOB_QUEUE_FULL"
    assert b"retry-after=2.000" in fault[0].args[1]
    submit(client)
    assert code(client.send(Kind.SUBMIT_JOB, "revalue", "", "")) == "JOB_QUEUE_FULL"
    few = ServiceHarness(limits=replace(LIMITS, gearman=replace(LIMITS.gearman, open_jobs=2)))
    for _ in range(2):
        submit(few.connect(), kind=Kind.SUBMIT_JOB_BG)
    assert code(few.connect().send(Kind.SUBMIT_JOB_BG, "revalue", "", "")) == "JOB_QUEUE_FULL"
    harness.overloaded = True
    assert code(harness.connect().send(Kind.SUBMIT_JOB, "revalue", "", "")) == "JOB_QUEUE_FULL"
    harness.closing = True
    assert code(harness.connect().send(Kind.SUBMIT_JOB, "revalue", "", "")) == "SHUTTING_DOWN"


def replace_section(**more):
    from msgspec.structs import replace as with_fields

    return with_fields(SECTION, **more)


# -- clients that disconnect, coalesce or submit in the background -------------------------------------------------------------


def test_a_job_whose_client_disconnects_is_given_up_and_cancelled_at_the_http_node():
    harness = ServiceHarness()
    harness.http_worker()
    client = harness.connect()
    submit(client)
    client.disconnect()
    assert [call.worker_id for call in harness.stopped_calls] == ["s-1"]
    assert not harness.core.requests
    assert not harness.state.jobs.by_handle


def test_a_queued_job_is_dropped_when_its_client_disconnects():
    harness, worker = harness_with_worker()
    client = harness.connect()
    submit(client)
    client.disconnect()
    assert worker.grab() is None


def test_a_coalesced_job_is_given_up_when_its_last_client_disconnects():
    harness, worker = harness_with_worker()
    clients = [harness.connect() for _ in range(3)]
    handles = {submit(client, unique="same", data=f"{k}") for k, client in enumerate(clients)}
    assert len(handles) == 1
    assert len(harness.core.requests) == 1
    assigned = worker.grab()
    assert assigned[3] == b"0"
    assert worker.grab() is None
    clients[0].disconnect()
    clients[1].disconnect()
    assert harness.core.open_count == 1
    worker.send(Kind.WORK_COMPLETE, assigned[0], "r")
    assert [p.args[1] for p in clients[2].of(*FINALS)] == [b"r"]
    # Ended: the same unique is a new job.
    assert submit(clients[2], unique="same") not in handles
    clients[2].disconnect()
    assert harness.core.open_count == 0


def test_a_client_that_submits_one_unique_twice_gets_two_outcomes():
    harness, worker = harness_with_worker()
    client = harness.connect()
    assert submit(client, unique="u") == submit(client, unique="u")
    worker.send(Kind.WORK_COMPLETE, worker.grab()[0], "r")
    assert len(client.of(Kind.WORK_COMPLETE)) == 2


def test_the_same_unique_of_another_tenant_or_class_is_another_job():
    harness, _ = harness_with_worker()
    client = harness.connect()
    functions = (
        "tatra-invest/revalue",
        "hron-asset/revalue",
        "tatra-invest/nav-publish",
        "revalue",
    )
    assert (
        len({submit(client, function, "u") for function in functions}) == 3
    )  # a bare one is tatra-invest's
    assert submit(client, "revalue", "-", "w") == submit(client, "revalue", "-", "w")
    assert submit(client, "revalue", "-", "v") != submit(client, "revalue", "-", "w")


def test_a_background_job_goes_on_without_its_client_and_its_outcome_can_be_asked_for():
    harness, worker = harness_with_worker()
    client, asker = harness.connect(), harness.connect()
    handle = submit(client, unique="bg", kind=Kind.SUBMIT_JOB_LOW_BG)
    client.disconnect()
    assigned = worker.grab()[0]
    worker.send(Kind.WORK_STATUS, assigned, "3", "9")
    assert status(asker, handle) == (1, 1, 3, 9)
    worker.send(Kind.WORK_COMPLETE, assigned, "r")
    assert status(asker, handle) == (1, 0, 9, 9)
    (packet,) = asker.send(Kind.GET_STATUS_UNIQUE, "bg")
    assert packet.args == (b"bg", b"1", b"0", b"9", b"9", b"0")
    harness.advance((SECTION.keep_s + 1) * 1_000_000, step=10_000_000)
    assert status(asker, handle) == (0, 0, 0, 0)
    assert not harness.state.jobs.latest_by_unique


def test_the_status_tells_rejected_and_failed_background_jobs_apart():
    harness = ServiceHarness()
    asker = harness.connect()
    handle = submit(asker, kind=Kind.SUBMIT_JOB_BG)
    assert status(asker, handle) == (1, 0, 0, 0)
    harness.advance(1_000_000)
    known, running, pause_ms, of = status(asker, handle)
    assert (known, running, of) == (1, 0, 0)
    assert pause_ms >= 1
    harness, worker = harness_with_worker()
    worker.send(Kind.CAN_DO, "once")
    asker = harness.connect()
    handle = submit(asker, "once", kind=Kind.SUBMIT_JOB_BG)
    worker.send(Kind.WORK_FAIL, worker.grab()[0])
    assert status(asker, handle) == (1, 0, 0, 1)


def test_a_foreground_client_that_joins_a_background_job_may_leave_it_again():
    harness, worker = harness_with_worker()
    away, here = harness.connect(), harness.connect()
    assert submit(away, unique="u", kind=Kind.SUBMIT_JOB_BG) == submit(here, unique="u")
    here.disconnect()
    assert worker.grab() is not None
    assert harness.core.open_count == 1


def test_retained_outcomes_are_bounded_and_the_oldest_go_first():
    harness, worker = harness_with_worker(section=replace_section(keep_most=2))
    client = harness.connect()
    handles = []
    for _ in range(3):
        handles.append(submit(client, kind=Kind.SUBMIT_JOB_BG))
        worker.send(Kind.WORK_COMPLETE, worker.grab()[0], "")
    assert [status(client, handle)[0] for handle in handles] == [0, 1, 1]


# -- workers ----------------------------------------------------------------------------------------------


def test_a_worker_without_a_start_time_counts_as_started_now():
    harness = ServiceHarness()
    harness.connect().send(Kind.CAN_DO, "revalue")
    harness.connect().join("w", extra=";zone=petrzalka;kind=old-blade;cell=3;slots=4;weight=0.5")
    new, described = [w.endpoint for w in harness.core.load_balancer.state.workers.by_id.values()]
    assert new.worker_id == "gearman:c1"
    assert new.started_us == harness.now_us
    assert new.supported_jobs == {"revalue"}
    assert (
        described.zone,
        described.worker_kind,
        described.cell,
        described.weight,
        described.started_us,
    ) == (
        1,
        1,
        3,
        0.5,
        1_000,
    )


def test_two_connections_of_one_id_are_two_workers():
    harness = ServiceHarness()
    first, second = harness.connect().join("w"), harness.connect().join("w")
    assert sorted(harness.core.load_balancer.state.workers.by_id) == ["gearman:w", "gearman:w~2"]
    first.disconnect()
    assert sorted(harness.core.load_balancer.state.workers.by_id) == ["gearman:w~2"]
    assert second.peer.worker


@pytest.mark.parametrize(
    "said",
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
def test_a_client_id_that_cannot_be_read_is_an_error_and_changes_nothing(said):
    peer = ServiceHarness().connect()
    assert code(peer.send(Kind.SET_CLIENT_ID, said)) == "BAD_CLIENT_ID"
    assert peer.peer.client_id == b""


def test_a_worker_is_assigned_only_functions_that_it_registered():
    harness = ServiceHarness()
    worker = harness.connect().join("w", "hron-asset/revalue", "nav-publish")
    client = harness.connect()
    submit(client, "tatra-invest/revalue")
    assert worker.grab() is None
    submit(client, "hron-asset/revalue")
    assert worker.grab()[1] == b"hron-asset/revalue"


def test_only_the_worker_that_has_work_is_woken_and_once():
    harness = ServiceHarness(limits=replace(LIMITS, gearman=replace(LIMITS.gearman, workers=1000)))
    workers = [harness.connect().join(f"w{k}") for k in range(1000)]
    for worker in workers:
        worker.send(Kind.PRE_SLEEP)
    submit(harness.connect())
    woken = [w for w in workers if w.of(Kind.NOOP)]
    assert len(woken) == 1
    assert len(woken[0].of(Kind.NOOP)) == 1
    assert woken[0].grab() is not None


def test_work_that_came_before_the_worker_slept_wakes_it_at_once():
    harness, worker = harness_with_worker()
    submit(harness.connect())
    assert [p.kind for p in worker.send(Kind.PRE_SLEEP)] == [Kind.NOOP]


def test_a_worker_with_a_full_queue_rejects_calls_and_the_policy_tries_elsewhere():
    harness, worker = harness_with_worker(section=replace_section(queue=1))
    harness.http_worker()
    client = harness.connect()
    for _ in range(6):
        submit(client)
    member = worker.peer.worker
    assert len(member.queue) == 2
    assert harness.http_calls


@pytest.mark.parametrize("how", ["cant", "reset", "close"])
def test_calls_queued_at_a_draining_worker_have_never_run_and_go_elsewhere(how):
    harness, worker = harness_with_worker()
    submit(harness.connect(), "once")
    assert not harness.http_calls
    worker.send(Kind.CAN_DO, "once")
    harness.advance(1_000)
    assert len(worker.peer.worker.queue) == 1
    harness.http_worker()
    if how == "close":
        worker.disconnect()
    else:
        worker.send(*((Kind.CANT_DO, "once") if how == "cant" else (Kind.RESET_ABILITIES,)))
        assert worker.grab() is None  # at once, not only after 500 ms
    # Even what must never run twice may be sent again: it was never handed over.
    assert [call.request.job_class for call in harness.http_calls] == [2]


@pytest.mark.parametrize(
    ("function", "again"), [("revalue", True), ("nav-publish", True), ("once", False)]
)
def test_a_worker_that_disconnects_after_progress_is_repeated_only_as_the_class_allows(
    function, again
):
    harness, worker = harness_with_worker()
    worker.send(Kind.CAN_DO, "once")
    client = harness.connect()
    submit(client, function, "key")
    assigned = worker.grab()[0]
    worker.send(Kind.WORK_STATUS, assigned, "1", "2")
    harness.http_worker()
    worker.disconnect()
    assert len(harness.http_calls) == again
    if not again:
        assert [p.kind for p in client.of(*FINALS)] == [Kind.WORK_FAIL]


def test_a_keyed_job_stays_in_the_cell_of_the_worker_that_may_have_run_it_and_in_its_window():
    harness = ServiceHarness()
    workers = [
        harness.connect().join(f"w{k}", extra=f";cell={cell}")
        for k, cell in enumerate((1, 1, 2, 2))
    ]
    client = harness.connect()
    submit(client, "nav-publish", "key")
    (first,) = [w for w in workers if w.peer.worker.queue]
    cell = first.peer.worker.identity.cell
    first.grab()
    first.disconnect()
    harness.advance(1_000)
    (second,) = [w for w in workers if w.peer.worker and w.peer.worker.queue]
    assert second.peer.worker.identity.cell == cell
    assert second is not first
    second.grab()
    second.disconnect()
    # Nobody of the cell is left: the others never see it.
    harness.advance(5_000_000)
    assert not any(w.peer.worker.queue for w in workers if w.peer.worker)
    assert [p.kind for p in client.of(*FINALS)] == [Kind.WORK_FAIL]


@pytest.mark.parametrize(("after_us", "again"), [(300_000, 1), (700_000, 0)])
def test_a_keyed_job_is_repeated_inside_its_window_only(after_us, again):
    keyed = replace(
        SETTINGS_WITH_UNSAFE.classes[1],
        latency_objective_us=4_000_000,
        idempotency_window_us=500_000,
    )
    settings = replace(
        SETTINGS_WITH_UNSAFE,
        classes=(SETTINGS_WITH_UNSAFE.classes[0], keyed, SETTINGS_WITH_UNSAFE.classes[2]),
    )
    harness, first = harness_with_worker(settings=settings)
    client = harness.connect()
    submit(client, "nav-publish", "key")
    first.grab()
    second = harness.connect().join("second")
    harness.advance(after_us)
    first.disconnect()
    assert len(second.peer.worker.queue) == again
    assert len(client.of(Kind.WORK_FAIL)) == 1 - again


def test_a_worker_that_grabs_and_goes_silent_ends_with_the_deadline_and_what_waits_behind_goes_on():
    harness, worker = harness_with_worker()
    client = harness.connect()
    submit(client)
    worker.grab()
    submit(client)
    assert len(worker.peer.worker.queue) == 1
    harness.http_worker()
    harness.advance(1_200_000)
    assert not worker.peer.worker.queue
    assert len(harness.http_calls) == 1
    harness.complete_http(harness.http_calls[0])
    harness.advance(4_000_000)
    assert len(client.of(*FINALS)) == 2


def test_reports_on_jobs_that_are_not_assigned_to_the_worker_change_nothing():
    harness, worker = harness_with_worker()
    thief, client = harness.connect().join("thief"), harness.connect()
    harness.advance(10_000)
    handle = submit(client)
    owner, other = (worker, thief) if (taken := worker.grab()) else (thief, worker)
    assigned = (taken or owner.grab())[0]
    for name in (assigned, handle, b"H:n0:999"):
        assert code(other.send(Kind.WORK_COMPLETE, name, "stolen")) == "JOB_NOT_FOUND"
    assert code(client.send(Kind.WORK_COMPLETE, assigned, "stolen")) == "JOB_NOT_FOUND"
    owner.send(Kind.WORK_COMPLETE, assigned, "own")
    assert owner.send(Kind.WORK_COMPLETE, assigned, "twice") == []  # its own, ended: passed over
    assert [p.args[1] for p in client.of(*FINALS)] == [b"own"]


def test_a_worker_that_reconnects_cannot_complete_its_earlier_jobs():
    harness, worker = harness_with_worker()
    client = harness.connect()
    submit(client)
    assigned = worker.grab()[0]
    worker.disconnect()
    again = harness.connect().join("w")
    assert code(again.send(Kind.WORK_COMPLETE, assigned, "late")) == "JOB_NOT_FOUND"
    again.send(Kind.WORK_COMPLETE, again.grab()[0], "new")
    assert [p.args[1] for p in client.of(*FINALS)] == [b"new"]


def test_can_do_timeout_is_kept_and_its_late_result_still_serves_while_nothing_else_has():
    patient = replace(SETTINGS_WITH_UNSAFE.classes[0], latency_objective_us=4_000_000)
    harness, worker = harness_with_worker(
        settings=replace(SETTINGS_WITH_UNSAFE, classes=(patient, *SETTINGS_WITH_UNSAFE.classes[1:]))
    )
    worker.send(Kind.CAN_DO_TIMEOUT, "revalue", "1")
    client = harness.connect()
    submit(client)
    assigned = worker.grab()[0]
    harness.http_worker()
    harness.advance(900_000)
    assert not harness.http_calls
    harness.advance(200_000)
    assert [call.worker_id for call in harness.http_calls] == ["s-1"]
    worker.send(Kind.WORK_COMPLETE, assigned, "late but its own")
    assert [p.args[1] for p in client.of(*FINALS)] == [b"late but its own"]
    assert harness.stopped_calls[-1].worker_id == "s-1"


def test_too_many_result_chunks_fail_the_job():
    harness, worker = harness_with_worker(
        limits=replace(LIMITS, gearman=replace(LIMITS.gearman, partial_result_bytes=10))
    )
    worker.send(Kind.CAN_DO, "once")
    client = harness.connect()
    submit(client, "once")
    assigned = worker.grab()[0]
    worker.send(Kind.WORK_DATA, assigned, "123456")
    assert code(worker.send(Kind.WORK_DATA, assigned, "123456")) == "RESULT_TOO_LARGE"
    assert [p.kind for p in client.of(*FINALS)] == [Kind.WORK_FAIL]


def test_a_client_id_changes_only_while_no_job_is_assigned():
    harness, worker = harness_with_worker()
    worker.send(Kind.SET_CLIENT_ID, "other;slots=2")
    assert list(harness.core.load_balancer.state.workers.by_id) == ["gearman:other"]
    submit(harness.connect())
    worker.grab()
    assert code(worker.send(Kind.SET_CLIENT_ID, "third")) == "BAD_CLIENT_ID"


def test_workers_and_their_functions_are_bounded():
    harness = ServiceHarness(
        limits=replace(LIMITS, gearman=replace(LIMITS.gearman, workers=1, functions_per_worker=2))
    )
    harness.connect().join("a")
    assert code(harness.connect().send(Kind.CAN_DO, "revalue")) == "TOO_MANY_WORKERS"
    assert code(harness.peers[0].send(Kind.CAN_DO, "third")) == "TOO_MANY_FUNCTIONS"
    assert code(harness.peers[0].send(Kind.CAN_DO, "a b")) == "BAD_FUNCTION"


def test_a_shutdown_answers_foreground_and_background_jobs():
    harness, worker = harness_with_worker()
    client = harness.connect()
    submit(client)
    handle = submit(client, kind=Kind.SUBMIT_JOB_BG)
    worker.grab()
    harness.post(ShutdownStarted(harness.now_us + 300_000))
    harness.advance(400_000)
    assert len(client.of(*FINALS)) == 1
    assert status(client, handle)[:2] == (1, 0)
    assert harness.core.open_count == 0


def test_a_reload_keeps_jobs_and_workers():
    harness, worker = harness_with_worker()
    client = harness.connect()
    submit(client)
    turned = replace(SETTINGS_WITH_UNSAFE, classes=SETTINGS_WITH_UNSAFE.classes[::-1])
    harness.post(SettingsChanged(turned))
    harness.service.reconfigure(SECTION, turned, LIMITS)
    submit(client, "nav-publish", "k")
    assigned = [worker.grab() for _ in range(2)][0]
    assert assigned[1] == b"revalue"
    worker.send(Kind.WORK_COMPLETE, assigned[0], "r")
    assert worker.grab()[1] == b"nav-publish"


# -- text commands ----------------------------------------------------------------------------------------


def run_command(harness, line):
    peer = harness.connect()
    peer.send_bytes(line.encode() + b"\n")
    return peer.text.decode()


def test_text_commands_report_workers_functions_and_jobs():
    harness, worker = harness_with_worker()
    client = harness.connect()
    handle = submit(client, unique="u").decode()
    assert "127.0.0.1 w : nav-publish revalue\n" in run_command(harness, "workers")
    assert "tatra-invest/revalue\t1\t1\t1\n" in run_command(harness, "status")
    assert run_command(harness, "status").endswith(".\n")
    assert run_command(harness, "version").startswith("OK ")
    assert f"{handle}\topen\t1\t1\ttatra-invest/revalue\n" in run_command(harness, "show jobs")
    assert run_command(harness, "show unique jobs") == "u\n.\n"
    assert run_command(harness, "cancel job H:none").startswith("ERR JOB_NOT_FOUND")
    assert run_command(harness, f"cancel job {handle}") == "OK\n"
    assert [p.kind for p in client.of(*FINALS)] == [Kind.WORK_FAIL]
    assert worker.grab() is None


def test_maxqueue_bounds_a_function_and_is_lifted_again():
    harness = ServiceHarness()
    client = harness.connect()
    assert run_command(harness, "maxqueue tatra-invest/revalue 1") == "OK\n"
    submit(client)
    assert code(client.send(Kind.SUBMIT_JOB, "revalue", "", "x")) == "JOB_QUEUE_FULL"
    assert run_command(harness, "maxqueue tatra-invest/revalue") == "OK\n"
    submit(client)
    assert run_command(harness, "maxqueue revalue 1").startswith("ERR UNKNOWN_FUNCTION")
    assert run_command(harness, "maxqueue tatra-invest/revalue -1").startswith("ERR BAD_NUMBER")


def test_shutdown_is_refused_unless_the_file_allows_it():
    harness = ServiceHarness()
    assert run_command(harness, "shutdown").startswith("ERR NOT_ALLOWED")
    assert not harness.shut_down
    harness = ServiceHarness(section=replace_section(allow_shutdown=True))
    assert run_command(harness, "shutdown") == "OK\n"
    assert harness.shut_down


# -- random steps against a model -------------------------------------------------------------------------


FUNCTIONS = ("revalue", "nav-publish", "once")
PLACES_OF_CLIENTS = st.integers(0, 2)
PLACES_OF_WORKERS = st.integers(0, 1)
PAST_EVERY_DEADLINE_US = 12_000_000


class ServiceMachine(RuleBasedStateMachine):
    """The model: the answers due to each client, and how often each workload was assigned."""

    def __init__(self):
        super().__init__()
        self.harness = ServiceHarness()
        self.clients = [self.harness.connect() for _ in range(3)]
        self.workers = [self.connect_worker(place) for place in range(2)]
        self.assigned = {worker: [] for worker in self.workers}
        self.due_answers = {client: 0 for client in self.clients}
        self.assignments = {}  # their number by workload
        self.submitted = 0

    def connect_worker(self, place):
        return self.harness.connect().join(f"w{place}", *FUNCTIONS)

    # -- rules ----------------------------------------------------------------------------------

    @rule(
        place=PLACES_OF_CLIENTS,
        function=st.sampled_from(FUNCTIONS),
        unique=st.sampled_from(("", "same")),
        background=st.booleans(),
    )
    def submit(self, place, function, unique, background):
        client = self.clients[place]
        if client not in self.due_answers:
            return
        self.submitted += 1
        kind = Kind.SUBMIT_JOB_HIGH_BG if background else Kind.SUBMIT_JOB
        if not unique and function == "nav-publish":
            unique = f"own{self.submitted}"
        assert submit(client, function, unique, f"{function} {self.submitted}", kind)
        if not background:
            self.due_answers[client] += 1

    @rule(place=PLACES_OF_WORKERS)
    def grab(self, place):
        worker = self.workers[place]
        if worker.peer.disconnected:
            return
        job = worker.grab()
        if job is not None:
            workload = job[3]
            self.assigned[worker].append(job)
            self.assignments[workload] = self.assignments.get(workload, 0) + 1

    @rule(
        place=PLACES_OF_WORKERS,
        kind=st.sampled_from((Kind.WORK_COMPLETE, Kind.WORK_FAIL, Kind.WORK_STATUS)),
    )
    def report(self, place, kind):
        worker = self.workers[place]
        if not self.assigned[worker]:
            return
        handle, _, _, workload = self.assigned[worker][0]
        if kind is Kind.WORK_STATUS:
            worker.send(kind, handle, "1", "2")
            return
        self.assigned[worker].pop(0)
        if kind is Kind.WORK_COMPLETE:
            worker.send(kind, handle, b"made of " + workload)
        else:
            worker.send(kind, handle)

    @rule(place=PLACES_OF_CLIENTS)
    def disconnect_client(self, place):
        client = self.clients[place]
        if client in self.due_answers:
            client.disconnect()
            del self.due_answers[client]

    @rule(place=PLACES_OF_WORKERS)
    def reconnect_worker(self, place):
        worker = self.workers[place]
        worker.disconnect()
        del self.assigned[worker]
        self.workers[place] = self.connect_worker(place)
        self.assigned[self.workers[place]] = []

    @rule(place=PLACES_OF_WORKERS)
    def drain(self, place):
        self.workers[place].send(Kind.RESET_ABILITIES)
        assert not self.workers[place].peer.worker.queue

    @rule(place=PLACES_OF_WORKERS)
    def end_drain(self, place):
        for function in FUNCTIONS:
            self.workers[place].send(Kind.CAN_DO, function)

    @rule(duration_ms=st.integers(1, 800))
    def wait(self, duration_ms):
        self.harness.advance(duration_ms * 1000)

    # -- checks ---------------------------------------------------------------------------------

    @invariant()
    def agrees_with_the_model(self):
        assert not self.harness.log.events
        self.check_answers()
        self.check_open_jobs()
        self.check_queues()

    def check_answers(self):
        jobs = self.harness.state.jobs
        for client, due in self.due_answers.items():
            assert len(client.of(*FINALS)) + jobs.submission_count(client.peer) == due
            for packet in client.of(Kind.WORK_COMPLETE):
                assert packet.args[1].startswith(b"made of ")

    def check_open_jobs(self):
        jobs = self.harness.state.jobs
        open_jobs = [job for job in jobs.by_handle.values() if job.request is not None]
        assert jobs.open_workload_bytes == sum(job.workload_bytes for job in open_jobs)
        assert jobs.open_count == len(open_jobs)
        assert self.harness.core.open_count == len(open_jobs)

    def check_queues(self):
        workers = self.harness.state.workers.by_id.values()
        waiting = [waiter.call for worker in workers for waiter in worker.queue]
        assert all(call.open for call in waiting)
        assert len(set(map(id, waiting))) == len(waiting)
        for workload, count in self.assignments.items():
            assert count == 1 or not workload.startswith(b"once")

    def teardown(self):
        """Check that every client has its answers past every deadline."""
        self.harness.advance(PAST_EVERY_DEADLINE_US, step=500_000)
        for client, due in self.due_answers.items():
            assert len(client.of(*FINALS)) == due
        assert self.harness.core.open_count == 0
        assert not self.harness.state.jobs.submissions
        assert set(self.harness.state.jobs.by_handle) == set(self.harness.state.jobs.retained)


def test_clients_and_workers_against_their_model(run_state_machine):
    run_state_machine(ServiceMachine)


# -- access control ---------------------------------------------------------------------------------------


class FakeAccessControl:
    """Admits workers with the token `good`, until it admits none; rejects all clients."""

    def __init__(self):
        self.admits_workers = True
        self.worker_checks = 0

    def authorize_request(self, front, credential, kind, tenant):
        return Rejection(RejectionKind.UNAUTHENTICATED, "no_credential")

    def authorize_worker(self, front, credential, name):
        self.worker_checks += 1
        good = self.admits_workers and credential.token == b"good"
        return None if good else Rejection(RejectionKind.FORBIDDEN, "somebody_else")


def test_a_worker_whose_credential_expired_is_assigned_nothing_more_and_may_end_its_jobs():
    harness = ServiceHarness()
    harness.host.access_control = access_control = FakeAccessControl()
    worker, client = harness.connect(), harness.connect()
    assert code(worker.send(Kind.CAN_DO, "revalue")) == "NOT_ALLOWED"
    worker.send(Kind.OPTION_REQ, "token:good")
    worker.join("w")
    assert code(client.send(Kind.SUBMIT_JOB, "revalue", "", "x")) == "NOT_IDENTIFIED"
    harness.host.access_control = None
    submit(client)
    submit(client)
    harness.host.access_control = access_control
    assigned = worker.grab()[0]
    check_count = access_control.worker_checks
    worker.send(Kind.GRAB_JOB)
    assert access_control.worker_checks == check_count  # found good a moment ago
    access_control.admits_workers = False
    worker.send(Kind.WORK_COMPLETE, assigned, "r")
    assert len(client.of(Kind.WORK_COMPLETE)) == 1
    harness.now_us += 600_000
    assert code(worker.send(Kind.GRAB_JOB)) == "NOT_ALLOWED"
