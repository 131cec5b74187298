"""Tests of clients that disconnect, share one job or submit background jobs."""

from stepstream.gearman.codec import PacketKind
from tests.gearman.service_harness import (
    OUTCOME_KINDS,
    SECTION,
    ServiceHarness,
    harness_with_worker,
    job_status,
    section_with,
    submit_job,
)


def test_a_job_whose_client_disconnects_is_cancelled_at_its_http_worker():
    harness = ServiceHarness()
    harness.list_http_worker()
    client = harness.connect()
    submit_job(client)
    client.disconnect()
    assert [call.worker_id for call in harness.stopped_calls] == ["s-1"]
    assert not harness.core.requests
    assert not harness.state.jobs.by_handle


def test_a_queued_job_is_dropped_when_its_client_disconnects():
    harness, worker = harness_with_worker()
    client = harness.connect()
    submit_job(client)
    client.disconnect()
    assert worker.grab_job() is None


def test_a_coalesced_job_is_cancelled_when_its_last_client_disconnects():
    harness, worker = harness_with_worker()
    clients = [harness.connect() for _ in range(3)]
    handles = {
        submit_job(client, unique="same", workload=f"{index}")
        for index, client in enumerate(clients)
    }
    assert len(handles) == 1
    assert len(harness.core.requests) == 1
    assigned = worker.grab_job()
    assert assigned[3] == b"0"
    assert worker.grab_job() is None
    clients[0].disconnect()
    clients[1].disconnect()
    assert harness.core.open_count == 1
    worker.send(PacketKind.WORK_COMPLETE, assigned[0], "r")
    assert [packet.args[1] for packet in clients[2].packets_of(*OUTCOME_KINDS)] == [b"r"]
    # The job has ended, so the same unique id opens a new job.
    assert submit_job(clients[2], unique="same") not in handles
    clients[2].disconnect()
    assert harness.core.open_count == 0


def test_a_client_that_submits_one_unique_id_twice_gets_two_outcomes():
    harness, worker = harness_with_worker()
    client = harness.connect()
    assert submit_job(client, unique="u") == submit_job(client, unique="u")
    worker.send(PacketKind.WORK_COMPLETE, worker.grab_job()[0], "r")
    assert len(client.packets_of(PacketKind.WORK_COMPLETE)) == 2


def test_the_same_unique_id_of_another_tenant_or_class_is_another_job():
    harness, _ = harness_with_worker()
    client = harness.connect()
    functions = (
        "tatra-invest/revalue",
        "hron-asset/revalue",
        "tatra-invest/nav-publish",
        "revalue",
    )
    # A function name without a tenant means tatra-invest, so two of the names give the same job.
    assert len({submit_job(client, function, "u") for function in functions}) == 3
    assert submit_job(client, "revalue", "-", "w") == submit_job(client, "revalue", "-", "w")
    assert submit_job(client, "revalue", "-", "v") != submit_job(client, "revalue", "-", "w")


def test_a_background_job_goes_on_after_its_client_disconnects_and_has_a_status():
    harness, worker = harness_with_worker()
    submitter = harness.connect()
    client = harness.connect()
    handle = submit_job(submitter, unique="bg", kind=PacketKind.SUBMIT_JOB_LOW_BG)
    submitter.disconnect()
    assigned = worker.grab_job()[0]
    worker.send(PacketKind.WORK_STATUS, assigned, "3", "9")
    assert job_status(client, handle) == (1, 1, 3, 9)
    worker.send(PacketKind.WORK_COMPLETE, assigned, "r")
    assert job_status(client, handle) == (1, 0, 9, 9)
    (packet,) = client.send(PacketKind.GET_STATUS_UNIQUE, "bg")
    assert packet.args == (b"bg", b"1", b"0", b"9", b"9", b"0")
    harness.advance_time((SECTION.outcome_retention_seconds + 1) * 1_000_000, step_us=10_000_000)
    assert job_status(client, handle) == (0, 0, 0, 0)
    assert not harness.state.jobs.latest_by_unique


def test_the_status_differs_for_rejected_and_failed_background_jobs():
    harness = ServiceHarness()
    client = harness.connect()
    handle = submit_job(client, kind=PacketKind.SUBMIT_JOB_BG)
    assert job_status(client, handle) == (1, 0, 0, 0)
    harness.advance_time(1_000_000)
    known, running, retry_after_ms, denominator = job_status(client, handle)
    assert (known, running, denominator) == (1, 0, 0)
    assert retry_after_ms >= 1
    harness, worker = harness_with_worker()
    worker.send(PacketKind.CAN_DO, "once")
    client = harness.connect()
    handle = submit_job(client, "once", kind=PacketKind.SUBMIT_JOB_BG)
    worker.send(PacketKind.WORK_FAIL, worker.grab_job()[0])
    assert job_status(client, handle) == (1, 0, 0, 1)


def test_a_background_job_goes_on_when_a_foreground_client_of_it_disconnects():
    harness, worker = harness_with_worker()
    background_handle = submit_job(harness.connect(), unique="u", kind=PacketKind.SUBMIT_JOB_BG)
    foreground = harness.connect()
    assert submit_job(foreground, unique="u") == background_handle
    foreground.disconnect()
    assert worker.grab_job() is not None
    assert harness.core.open_count == 1


def test_retained_outcomes_are_limited_and_the_oldest_are_dropped_first():
    harness, worker = harness_with_worker(section=section_with(max_retained_outcomes=2))
    client = harness.connect()
    handles = []
    for _ in range(3):
        handles.append(submit_job(client, kind=PacketKind.SUBMIT_JOB_BG))
        worker.send(PacketKind.WORK_COMPLETE, worker.grab_job()[0], "")
    assert [job_status(client, handle)[0] for handle in handles] == [0, 1, 1]
