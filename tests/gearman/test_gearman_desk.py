"""Gearman's clients and workers on the real core and module, on one clock and without a socket."""

from dataclasses import replace

import pytest
from gearman_helpers import SECTION, THREE, Floor
from hypothesis import strategies as st
from net_helpers import LIMITS
from walk import walks

from stepstream.core.events import JobStatus, ShutdownStarted
from stepstream.gearman.codec import Kind
from stepstream.model.events import SettingsChanged
from stepstream.ports.access_control import Rejection, RejectionKind

FINALS = (Kind.WORK_COMPLETE, Kind.WORK_FAIL)


def floor_with_worker(**more):
    floor = Floor(**more)
    worker = floor.plug().join()
    floor.later(10_000)
    return floor, worker


def submit(plug, function="revalue", unique="", data="x", kind=Kind.SUBMIT_JOB):
    """The handle."""
    (packet,) = [p for p in plug.send(kind, function, unique, data) if p.kind is Kind.JOB_CREATED]
    return packet.args[0]


def code(packets):
    (packet,) = [p for p in packets if p.kind is Kind.ERROR]
    return packet.args[0].decode()


def status(plug, handle):
    """Known, running, numerator, denominator."""
    (packet,) = [p for p in plug.send(Kind.GET_STATUS, handle) if p.kind is Kind.STATUS_RES]
    return tuple(int(x) for x in packet.args[1:])


# -- jobs and outcomes ------------------------------------------------------------------------------------


def test_a_job_goes_to_a_worker_and_its_result_comes_back_in_the_order_sent():
    floor, worker = floor_with_worker()
    client = floor.plug()
    handle = submit(client, "tatra-invest/revalue+2", "u1", "body")
    held, function, unique, workload = worker.grab()
    assert (function, workload) == (b"revalue", b"body")
    assert held != handle
    worker.send(Kind.WORK_STATUS, held, "1", "4")
    worker.send(Kind.WORK_DATA, held, "part")
    worker.send(Kind.WORK_WARNING, held, "hm")
    worker.send(Kind.WORK_COMPLETE, held, "end")
    kinds = [(p.kind, p.args[1:]) for p in client.got]
    assert kinds == [
        (Kind.JOB_CREATED, ()),
        (Kind.WORK_STATUS, (b"1", b"4")),
        (Kind.WORK_DATA, (b"part",)),
        (Kind.WORK_WARNING, (b"hm",)),
        (Kind.WORK_COMPLETE, (b"end",)),
    ]
    assert not floor.core.requests
    assert not floor.desk.jobs.by_handle
    assert floor.desk.jobs.held == 0


def test_a_job_that_failed_after_data_serves_only_what_the_second_worker_made():
    floor, first = floor_with_worker()
    second = floor.plug().join("v")
    client = floor.plug()
    submit(client)
    worker, other = (first, second) if (taken := first.grab()) else (second, first)
    held = (taken or worker.grab())[0]
    worker.send(Kind.WORK_DATA, held, "half of the first")
    worker.leave()
    other.send(Kind.WORK_COMPLETE, other.grab()[0], "whole of the second")
    assert [p.args[1] for p in client.of(Kind.WORK_DATA, Kind.WORK_COMPLETE)] == [
        b"whole of the second"
    ]


def test_a_gearman_job_runs_on_an_http_node_with_its_key_and_progress():
    floor = Floor()
    floor.http_worker()
    client = floor.plug()
    submit(client, "nav-publish", "key-1", "body")
    (call,) = floor.http
    assert (call.request.payload.path, call.request.payload.body) == ("/nav-publish", b"body")
    assert call.request.payload.idempotency_key == "key-1"
    floor.http_news(call, JobStatus.RUNNING, progress=(400, 1000))
    floor.http_done(call)
    assert [p.args[1:] for p in client.got[1:]] == [(b"400", b"1000"), (b"17.5",)]


def test_refused_and_failed_are_told_apart_and_say_when_to_come_back():
    floor = Floor()  # no worker at all: refused once its patience ends
    client, asks = floor.plug(), floor.plug()
    asks.send(Kind.OPTION_REQ, "exceptions")
    submit(client)
    submit(asks)
    floor.later(1_000_000)
    assert [p.kind for p in client.got[1:]] == [Kind.WORK_WARNING, Kind.WORK_FAIL]
    assert client.got[1].args[1].startswith(b"refused retry-after=")
    assert [p.kind for p in asks.got[2:]] == [Kind.WORK_EXCEPTION, Kind.WORK_FAIL]
    floor, worker = floor_with_worker()
    client = floor.plug()
    submit(client, "once")
    worker.send(Kind.CAN_DO, "once")
    floor.later(10_000)
    worker.send(Kind.WORK_EXCEPTION, worker.grab()[0], "no market data")
    assert client.got[-2].args[1] == b"failed no market data"
    assert client.got[-1].kind is Kind.WORK_FAIL


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
def test_what_cannot_be_a_job_is_an_error_with_a_code(function, unique, expected):
    floor = Floor()
    client = floor.plug()
    assert code(client.send(Kind.SUBMIT_JOB, function, unique, "x")) == expected
    assert not client.ended
    assert not floor.core.requests


def test_too_much_is_refused_with_the_time_to_come_back_and_bounds_memory():
    small = replace(
        LIMITS,
        gearman=replace(LIMITS.gearman, in_flight_workload_bytes=100),
        sizes=replace(LIMITS.sizes, body_bytes=90),
    )
    floor = Floor(limits=small, section=replace_section(jobs_a_connection=2))
    client = floor.plug()
    assert code(client.send(Kind.SUBMIT_JOB, "revalue", "", "x" * 91)) == "WORKLOAD_TOO_LARGE"
    submit(client, data="x" * 80)
    fault = client.send(Kind.SUBMIT_JOB, "revalue", "", "x" * 30)
    assert code(fault) == "JOB_QUEUE_FULL"
    assert b"retry-after=2.000" in fault[0].args[1]
    submit(client)
    assert code(client.send(Kind.SUBMIT_JOB, "revalue", "", "")) == "JOB_QUEUE_FULL"
    few = Floor(limits=replace(LIMITS, gearman=replace(LIMITS.gearman, open_jobs=2)))
    for _ in range(2):
        submit(few.plug(), kind=Kind.SUBMIT_JOB_BG)
    assert code(few.plug().send(Kind.SUBMIT_JOB_BG, "revalue", "", "")) == "JOB_QUEUE_FULL"
    floor.full = True
    assert code(floor.plug().send(Kind.SUBMIT_JOB, "revalue", "", "")) == "JOB_QUEUE_FULL"
    floor.closing = True
    assert code(floor.plug().send(Kind.SUBMIT_JOB, "revalue", "", "")) == "SHUTTING_DOWN"


def replace_section(**more):
    from msgspec.structs import replace as with_fields

    return with_fields(SECTION, **more)


# -- clients that leave, coalesce or stay away -------------------------------------------------------------


def test_a_client_that_drops_mid_job_has_it_given_up_and_cancelled_at_the_http_node():
    floor = Floor()
    floor.http_worker()
    client = floor.plug()
    submit(client)
    client.leave()
    assert [call.worker_id for call in floor.stopped] == ["s-1"]
    assert not floor.core.requests
    assert not floor.desk.jobs.by_handle


def test_a_job_that_waits_for_its_worker_is_taken_back_when_its_client_drops():
    floor, worker = floor_with_worker()
    client = floor.plug()
    submit(client)
    client.leave()
    assert worker.grab() is None


def test_of_coalesced_clients_only_the_last_one_that_leaves_gives_the_job_up():
    floor, worker = floor_with_worker()
    clients = [floor.plug() for _ in range(3)]
    handles = {submit(client, unique="same", data=f"{k}") for k, client in enumerate(clients)}
    assert len(handles) == 1
    assert len(floor.core.requests) == 1
    held = worker.grab()
    assert held[3] == b"0"
    assert worker.grab() is None
    clients[0].leave()
    clients[1].leave()
    assert floor.core.open_count == 1
    worker.send(Kind.WORK_COMPLETE, held[0], "r")
    assert [p.args[1] for p in clients[2].of(*FINALS)] == [b"r"]
    # Ended: the same unique is a new job.
    assert submit(clients[2], unique="same") not in handles
    clients[2].leave()
    assert floor.core.open_count == 0


def test_one_client_that_submits_the_same_twice_is_owed_two_outcomes():
    floor, worker = floor_with_worker()
    client = floor.plug()
    assert submit(client, unique="u") == submit(client, unique="u")
    worker.send(Kind.WORK_COMPLETE, worker.grab()[0], "r")
    assert len(client.of(Kind.WORK_COMPLETE)) == 2


def test_the_same_unique_of_another_tenant_or_class_is_another_job():
    floor, _ = floor_with_worker()
    client = floor.plug()
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
    floor, worker = floor_with_worker()
    client, asker = floor.plug(), floor.plug()
    handle = submit(client, unique="bg", kind=Kind.SUBMIT_JOB_LOW_BG)
    client.leave()
    held = worker.grab()[0]
    worker.send(Kind.WORK_STATUS, held, "3", "9")
    assert status(asker, handle) == (1, 1, 3, 9)
    worker.send(Kind.WORK_COMPLETE, held, "r")
    assert status(asker, handle) == (1, 0, 9, 9)
    (packet,) = asker.send(Kind.GET_STATUS_UNIQUE, "bg")
    assert packet.args == (b"bg", b"1", b"0", b"9", b"9", b"0")
    floor.later((SECTION.keep_s + 1) * 1_000_000, step=10_000_000)
    assert status(asker, handle) == (0, 0, 0, 0)
    assert not floor.desk.jobs.latest


def test_refused_and_failed_background_jobs_have_their_own_numbers():
    floor = Floor()
    asker = floor.plug()
    handle = submit(asker, kind=Kind.SUBMIT_JOB_BG)
    assert status(asker, handle) == (1, 0, 0, 0)
    floor.later(1_000_000)
    known, running, pause_ms, of = status(asker, handle)
    assert (known, running, of) == (1, 0, 0)
    assert pause_ms >= 1
    floor, worker = floor_with_worker()
    worker.send(Kind.CAN_DO, "once")
    asker = floor.plug()
    handle = submit(asker, "once", kind=Kind.SUBMIT_JOB_BG)
    worker.send(Kind.WORK_FAIL, worker.grab()[0])
    assert status(asker, handle) == (1, 0, 0, 1)


def test_a_foreground_client_that_joins_a_background_job_may_leave_it_again():
    floor, worker = floor_with_worker()
    away, here = floor.plug(), floor.plug()
    assert submit(away, unique="u", kind=Kind.SUBMIT_JOB_BG) == submit(here, unique="u")
    here.leave()
    assert worker.grab() is not None
    assert floor.core.open_count == 1


def test_only_so_many_outcomes_are_kept_the_oldest_go_first():
    floor, worker = floor_with_worker(section=replace_section(keep_most=2))
    client = floor.plug()
    handles = []
    for _ in range(3):
        handles.append(submit(client, kind=Kind.SUBMIT_JOB_BG))
        worker.send(Kind.WORK_COMPLETE, worker.grab()[0], "")
    assert [status(client, handle)[0] for handle in handles] == [0, 1, 1]


# -- workers ----------------------------------------------------------------------------------------------


def test_a_new_connection_is_a_cold_start_unless_it_says_when_it_began():
    floor = Floor()
    floor.plug().send(Kind.CAN_DO, "revalue")
    floor.plug().join("w", extra=";zone=petrzalka;kind=old-blade;cell=3;slots=4;weight=0.5")
    new, told = [w.endpoint for w in floor.core.load_balancer.state.workers.values()]
    assert new.worker_id == "gearman:c1"
    assert new.started_us == floor.now
    assert new.supported_jobs == {"revalue"}
    assert (told.zone, told.worker_kind, told.cell, told.weight, told.started_us) == (
        1,
        1,
        3,
        0.5,
        1_000,
    )


def test_two_connections_of_one_id_are_two_workers():
    floor = Floor()
    first, second = floor.plug().join("w"), floor.plug().join("w")
    assert sorted(floor.core.load_balancer.state.workers) == ["gearman:w", "gearman:w~2"]
    first.leave()
    assert sorted(floor.core.load_balancer.state.workers) == ["gearman:w~2"]
    assert second.peer.member


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
    plug = Floor().plug()
    assert code(plug.send(Kind.SET_CLIENT_ID, said)) == "BAD_CLIENT_ID"
    assert plug.peer.client_id == b""


def test_a_worker_gets_only_what_it_can_do_by_the_name_that_it_gave():
    floor = Floor()
    worker = floor.plug().join("w", "hron-asset/revalue", "nav-publish")
    client = floor.plug()
    submit(client, "tatra-invest/revalue")
    assert worker.grab() is None
    submit(client, "hron-asset/revalue")
    assert worker.grab()[1] == b"hron-asset/revalue"


def test_only_the_worker_that_has_work_is_woken_and_once():
    floor = Floor(limits=replace(LIMITS, gearman=replace(LIMITS.gearman, workers=1000)))
    workers = [floor.plug().join(f"w{k}") for k in range(1000)]
    for worker in workers:
        worker.send(Kind.PRE_SLEEP)
    submit(floor.plug())
    woken = [w for w in workers if w.of(Kind.NOOP)]
    assert len(woken) == 1
    assert len(woken[0].of(Kind.NOOP)) == 1
    assert woken[0].grab() is not None


def test_work_that_came_before_the_worker_slept_wakes_it_at_once():
    floor, worker = floor_with_worker()
    submit(floor.plug())
    assert [p.kind for p in worker.send(Kind.PRE_SLEEP)] == [Kind.NOOP]


def test_beyond_slots_and_queue_the_answer_is_full_and_the_module_tries_elsewhere():
    floor, worker = floor_with_worker(section=replace_section(queue=1))
    floor.http_worker()
    client = floor.plug()
    for _ in range(6):
        submit(client)
    member = worker.peer.member
    assert len(member.queue) == 2
    assert floor.http


@pytest.mark.parametrize("how", ["cant", "reset", "close"])
def test_what_waits_at_a_worker_that_drains_has_never_run_and_goes_elsewhere(how):
    floor, worker = floor_with_worker()
    submit(floor.plug(), "once")
    assert not floor.http
    worker.send(Kind.CAN_DO, "once")
    floor.later(1_000)
    assert len(worker.peer.member.queue) == 1
    floor.http_worker()
    if how == "close":
        worker.leave()
    else:
        worker.send(*((Kind.CANT_DO, "once") if how == "cant" else (Kind.RESET_ABILITIES,)))
        assert worker.grab() is None  # at once, not only after 500 ms
    # Even what must never run twice may be sent again: it was never handed over.
    assert [call.request.job_class for call in floor.http] == [2]


@pytest.mark.parametrize(
    ("function", "again"), [("revalue", True), ("nav-publish", True), ("once", False)]
)
def test_a_worker_that_disconnects_after_progress_is_repeated_only_as_the_class_allows(
    function, again
):
    floor, worker = floor_with_worker()
    worker.send(Kind.CAN_DO, "once")
    client = floor.plug()
    submit(client, function, "key")
    held = worker.grab()[0]
    worker.send(Kind.WORK_STATUS, held, "1", "2")
    floor.http_worker()
    worker.leave()
    assert len(floor.http) == again
    if not again:
        assert [p.kind for p in client.of(*FINALS)] == [Kind.WORK_FAIL]


def test_a_keyed_job_stays_in_the_cell_of_the_worker_that_may_have_run_it_and_in_its_window():
    floor = Floor()
    workers = [
        floor.plug().join(f"w{k}", extra=f";cell={cell}") for k, cell in enumerate((1, 1, 2, 2))
    ]
    client = floor.plug()
    submit(client, "nav-publish", "key")
    (first,) = [w for w in workers if w.peer.member.queue]
    cell = first.peer.member.identity.cell
    first.grab()
    first.leave()
    floor.later(1_000)
    (second,) = [w for w in workers if w.peer.member and w.peer.member.queue]
    assert second.peer.member.identity.cell == cell
    assert second is not first
    second.grab()
    second.leave()
    # Nobody of the cell is left: the others never see it.
    floor.later(5_000_000)
    assert not any(w.peer.member.queue for w in workers if w.peer.member)
    assert [p.kind for p in client.of(*FINALS)] == [Kind.WORK_FAIL]


@pytest.mark.parametrize(("after_us", "again"), [(300_000, 1), (700_000, 0)])
def test_a_keyed_job_is_repeated_inside_its_window_only(after_us, again):
    keyed = replace(THREE.classes[1], latency_objective_us=4_000_000, idempotency_window_us=500_000)
    settings = replace(THREE, classes=(THREE.classes[0], keyed, THREE.classes[2]))
    floor, first = floor_with_worker(settings=settings)
    client = floor.plug()
    submit(client, "nav-publish", "key")
    first.grab()
    second = floor.plug().join("second")
    floor.later(after_us)
    first.leave()
    assert len(second.peer.member.queue) == again
    assert len(client.of(Kind.WORK_FAIL)) == 1 - again


def test_a_worker_that_grabs_and_goes_silent_ends_with_the_deadline_and_what_waits_behind_goes_on():
    floor, worker = floor_with_worker()
    client = floor.plug()
    submit(client)
    worker.grab()
    submit(client)
    assert len(worker.peer.member.queue) == 1
    floor.http_worker()
    floor.later(1_200_000)
    assert not worker.peer.member.queue
    assert len(floor.http) == 1
    floor.http_done(floor.http[0])
    floor.later(4_000_000)
    assert len(client.of(*FINALS)) == 2


def test_words_from_a_worker_that_does_not_hold_the_job_change_nothing():
    floor, worker = floor_with_worker()
    thief, client = floor.plug().join("thief"), floor.plug()
    floor.later(10_000)
    handle = submit(client)
    owner, other = (worker, thief) if (taken := worker.grab()) else (thief, worker)
    held = (taken or owner.grab())[0]
    for name in (held, handle, b"H:n0:999"):
        assert code(other.send(Kind.WORK_COMPLETE, name, "stolen")) == "JOB_NOT_FOUND"
    assert code(client.send(Kind.WORK_COMPLETE, held, "stolen")) == "JOB_NOT_FOUND"
    owner.send(Kind.WORK_COMPLETE, held, "own")
    assert owner.send(Kind.WORK_COMPLETE, held, "twice") == []  # its own, ended: passed over
    assert [p.args[1] for p in client.of(*FINALS)] == [b"own"]


def test_a_worker_that_came_back_does_not_complete_what_it_held_before():
    floor, worker = floor_with_worker()
    client = floor.plug()
    submit(client)
    held = worker.grab()[0]
    worker.leave()
    again = floor.plug().join("w")
    assert code(again.send(Kind.WORK_COMPLETE, held, "late")) == "JOB_NOT_FOUND"
    again.send(Kind.WORK_COMPLETE, again.grab()[0], "new")
    assert [p.args[1] for p in client.of(*FINALS)] == [b"new"]


def test_can_do_timeout_is_kept_and_its_late_result_still_serves_while_nothing_else_has():
    patient = replace(THREE.classes[0], latency_objective_us=4_000_000)
    floor, worker = floor_with_worker(
        settings=replace(THREE, classes=(patient, *THREE.classes[1:]))
    )
    worker.send(Kind.CAN_DO_TIMEOUT, "revalue", "1")
    client = floor.plug()
    submit(client)
    held = worker.grab()[0]
    floor.http_worker()
    floor.later(900_000)
    assert not floor.http
    floor.later(200_000)
    assert [call.worker_id for call in floor.http] == ["s-1"]
    worker.send(Kind.WORK_COMPLETE, held, "late but its own")
    assert [p.args[1] for p in client.of(*FINALS)] == [b"late but its own"]
    assert floor.stopped[-1].worker_id == "s-1"


def test_pieces_without_end_fail_the_job_and_not_the_program():
    floor, worker = floor_with_worker(
        limits=replace(LIMITS, gearman=replace(LIMITS.gearman, partial_result_bytes=10))
    )
    worker.send(Kind.CAN_DO, "once")
    client = floor.plug()
    submit(client, "once")
    held = worker.grab()[0]
    worker.send(Kind.WORK_DATA, held, "123456")
    assert code(worker.send(Kind.WORK_DATA, held, "123456")) == "RESULT_TOO_LARGE"
    assert [p.kind for p in client.of(*FINALS)] == [Kind.WORK_FAIL]


def test_an_id_changes_only_while_nothing_is_held():
    floor, worker = floor_with_worker()
    worker.send(Kind.SET_CLIENT_ID, "other;slots=2")
    assert list(floor.core.load_balancer.state.workers) == ["gearman:other"]
    submit(floor.plug())
    worker.grab()
    assert code(worker.send(Kind.SET_CLIENT_ID, "third")) == "BAD_CLIENT_ID"


def test_members_and_functions_are_bounded():
    floor = Floor(
        limits=replace(LIMITS, gearman=replace(LIMITS.gearman, workers=1, functions_per_worker=2))
    )
    floor.plug().join("a")
    assert code(floor.plug().send(Kind.CAN_DO, "revalue")) == "TOO_MANY_WORKERS"
    assert code(floor.plugs[0].send(Kind.CAN_DO, "third")) == "TOO_MANY_FUNCTIONS"
    assert code(floor.plugs[0].send(Kind.CAN_DO, "a b")) == "BAD_FUNCTION"


def test_after_the_last_call_foreground_and_background_jobs_are_answered():
    floor, worker = floor_with_worker()
    client = floor.plug()
    submit(client)
    handle = submit(client, kind=Kind.SUBMIT_JOB_BG)
    worker.grab()
    floor.tell(ShutdownStarted(floor.now + 300_000))
    floor.later(400_000)
    assert len(client.of(*FINALS)) == 1
    assert status(client, handle)[:2] == (1, 0)
    assert floor.core.open_count == 0


def test_a_reload_keeps_jobs_and_members():
    floor, worker = floor_with_worker()
    client = floor.plug()
    submit(client)
    turned = replace(THREE, classes=THREE.classes[::-1])
    floor.tell(SettingsChanged(turned))
    floor.desk.reconfigure(SECTION, turned, LIMITS)
    submit(client, "nav-publish", "k")
    held = [worker.grab() for _ in range(2)][0]
    assert held[1] == b"revalue"
    worker.send(Kind.WORK_COMPLETE, held[0], "r")
    assert worker.grab()[1] == b"nav-publish"


# -- text commands ----------------------------------------------------------------------------------------


def told(floor, line):
    plug = floor.plug()
    plug.raw(line.encode() + b"\n")
    return plug.text.decode()


def test_the_text_commands_say_what_is():
    floor, worker = floor_with_worker()
    client = floor.plug()
    handle = submit(client, unique="u").decode()
    assert "127.0.0.1 w : nav-publish revalue\n" in told(floor, "workers")
    assert "tatra-invest/revalue\t1\t1\t1\n" in told(floor, "status")
    assert told(floor, "status").endswith(".\n")
    assert told(floor, "version").startswith("OK ")
    assert f"{handle}\topen\t1\t1\ttatra-invest/revalue\n" in told(floor, "show jobs")
    assert told(floor, "show unique jobs") == "u\n.\n"
    assert told(floor, "cancel job H:none").startswith("ERR JOB_NOT_FOUND")
    assert told(floor, f"cancel job {handle}") == "OK\n"
    assert [p.kind for p in client.of(*FINALS)] == [Kind.WORK_FAIL]
    assert worker.grab() is None


def test_maxqueue_bounds_a_function_and_is_lifted_again():
    floor = Floor()
    client = floor.plug()
    assert told(floor, "maxqueue tatra-invest/revalue 1") == "OK\n"
    submit(client)
    assert code(client.send(Kind.SUBMIT_JOB, "revalue", "", "x")) == "JOB_QUEUE_FULL"
    assert told(floor, "maxqueue tatra-invest/revalue") == "OK\n"
    submit(client)
    assert told(floor, "maxqueue revalue 1").startswith("ERR UNKNOWN_FUNCTION")
    assert told(floor, "maxqueue tatra-invest/revalue -1").startswith("ERR BAD_NUMBER")


def test_shutdown_is_refused_unless_the_file_allows_it():
    floor = Floor()
    assert told(floor, "shutdown").startswith("ERR NOT_ALLOWED")
    assert not floor.shut
    floor = Floor(section=replace_section(allow_shutdown=True))
    assert told(floor, "shutdown") == "OK\n"
    assert floor.shut


# -- random steps against a model -------------------------------------------------------------------------


class FloorRig:
    """The model: what each client is owed, and how often each workload was handed over."""

    def __init__(self):
        self.floor = Floor()
        self.clients = [self.floor.plug() for _ in range(3)]
        self.workers = [
            self.floor.plug().join(f"w{k}", "revalue", "nav-publish", "once") for k in range(2)
        ]
        self.holding = {worker: [] for worker in self.workers}
        self.owed = {client: 0 for client in self.clients}
        self.handed, self.serial = {}, 0

    def submit(self, move):
        k, function, unique, background = move
        client = self.clients[k]
        if client not in self.owed:
            return
        self.serial += 1
        kind = Kind.SUBMIT_JOB_HIGH_BG if background else Kind.SUBMIT_JOB
        unique = unique or (f"own{self.serial}" if function == "nav-publish" else "")
        assert submit(client, function, unique, f"{function} {self.serial}", kind)
        self.owed[client] += not background

    def grab(self, k):
        worker = self.workers[k]
        if worker.peer.gone:
            return
        taken = worker.grab()
        if taken is not None:
            self.holding[worker].append(taken)
            self.handed[taken[3]] = self.handed.get(taken[3], 0) + 1

    def report(self, move):
        k, kind = move
        worker = self.workers[k]
        if not self.holding[worker]:
            return
        handle, _, _, workload = self.holding[worker][0]
        if kind is Kind.WORK_STATUS:
            worker.send(kind, handle, "1", "2")
            return
        self.holding[worker].pop(0)
        worker.send(
            kind, handle, *((b"made of " + workload,) if kind is Kind.WORK_COMPLETE else ())
        )

    def leave(self, k):
        client = self.clients[k]
        if client in self.owed:
            client.leave()
            del self.owed[client]

    def renew(self, k):
        worker = self.workers[k]
        worker.leave()
        del self.holding[worker]
        self.workers[k] = again = self.floor.plug().join(f"w{k}", "revalue", "nav-publish", "once")
        self.holding[again] = []

    def drain(self, k):
        self.workers[k].send(Kind.RESET_ABILITIES)
        assert not self.workers[k].peer.member.queue

    def undrain(self, k):
        for function in ("revalue", "nav-publish", "once"):
            self.workers[k].send(Kind.CAN_DO, function)

    def wait(self, ms):
        self.floor.later(ms * 1000)

    def check(self):
        floor, jobs = self.floor, self.floor.desk.jobs
        assert not floor.faults
        for client, owed in self.owed.items():
            assert len(client.of(*FINALS)) + jobs.count_of(client.peer) == owed
            for packet in client.of(Kind.WORK_COMPLETE):
                assert packet.args[1].startswith(b"made of ")
        opened = [job for job in jobs.by_handle.values() if job.request is not None]
        assert jobs.held == sum(job.size for job in opened)
        assert sum(jobs.open.values()) == len(opened)
        assert floor.core.open_count == len(opened)
        waiting = [w.call for m in floor.desk.workers.members.values() for w in m.queue]
        assert all(call.open for call in waiting)
        assert len(set(map(id, waiting))) == len(waiting)
        assert all(n == 1 for workload, n in self.handed.items() if workload.startswith(b"once"))

    def finish(self):
        self.floor.later(12_000_000, step=500_000)
        for client, owed in self.owed.items():
            assert len(client.of(*FINALS)) == owed
        assert self.floor.core.open_count == 0
        assert not self.floor.desk.jobs.hanging
        assert set(self.floor.desk.jobs.by_handle) == set(self.floor.desk.jobs.kept)


test_clients_and_workers_against_their_model = walks(
    FloorRig,
    submit=st.tuples(
        st.integers(0, 2),
        st.sampled_from(("revalue", "nav-publish", "once")),
        st.sampled_from(("", "same")),
        st.booleans(),
    ),
    grab=st.integers(0, 1),
    report=st.tuples(
        st.integers(0, 1), st.sampled_from((Kind.WORK_COMPLETE, Kind.WORK_FAIL, Kind.WORK_STATUS))
    ),
    leave=st.integers(0, 2),
    renew=st.integers(0, 1),
    drain=st.integers(0, 1),
    undrain=st.integers(0, 1),
    wait=st.integers(1, 800),
)


# -- who is calling ---------------------------------------------------------------------------------------


class Gatekeeper:
    """A gate of the tests' own: who shows `good` may, and it may be closed to workers."""

    def __init__(self):
        self.open_to_workers, self.asked = True, 0

    def authorize_request(self, front, credential, kind, tenant):
        return Rejection(RejectionKind.UNAUTHENTICATED, "no_credential")

    def authorize_worker(self, front, credential, name):
        self.asked += 1
        good = self.open_to_workers and credential.token == b"good"
        return None if good else Rejection(RejectionKind.FORBIDDEN, "somebody_else")


def test_a_worker_whose_credential_has_ended_gets_nothing_more_and_ends_what_it_holds():
    floor = Floor()
    floor.desk.house.gate = gate = Gatekeeper()
    worker, client = floor.plug(), floor.plug()
    assert code(worker.send(Kind.CAN_DO, "revalue")) == "NOT_ALLOWED"
    worker.send(Kind.OPTION_REQ, "token:good")
    worker.join("w")
    assert code(client.send(Kind.SUBMIT_JOB, "revalue", "", "x")) == "NOT_IDENTIFIED"
    floor.desk.house.gate = None
    submit(client)
    submit(client)
    floor.desk.house.gate = gate
    held = worker.grab()[0]
    asked = gate.asked
    worker.send(Kind.GRAB_JOB)
    assert gate.asked == asked  # found good a moment ago
    gate.open_to_workers = False
    worker.send(Kind.WORK_COMPLETE, held, "r")
    assert len(client.of(Kind.WORK_COMPLETE)) == 1
    floor.now += 600_000
    assert code(worker.send(Kind.GRAB_JOB)) == "NOT_ALLOWED"
