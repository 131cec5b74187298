"""Tests of submitted jobs and their outcomes, with the real core and policy, without sockets."""

import re
from dataclasses import replace

import pytest

from stepstream.core.events import JobStatus
from stepstream.gearman.admission_rules import idempotency_key
from stepstream.gearman.codec import PacketKind
from tests.config.configurations import LIMITS
from tests.gearman.service_harness import (
    ServiceHarness,
    error_code,
    harness_with_worker,
    section_with,
    submit_job,
)


def test_a_job_runs_at_a_worker_whose_reports_reach_the_client_in_order():
    harness, worker = harness_with_worker()
    client = harness.connect()
    handle = submit_job(client, "tatra-invest/revalue+2", "u1", "body")
    assigned, function, unique, workload = worker.grab_job()
    assert (function, workload) == (b"revalue", b"body")
    assert assigned != handle
    worker.send(PacketKind.WORK_STATUS, assigned, "1", "4")
    worker.send(PacketKind.WORK_DATA, assigned, "part")
    worker.send(PacketKind.WORK_WARNING, assigned, "hm")
    worker.send(PacketKind.WORK_COMPLETE, assigned, "end")
    kinds = [(packet.kind, packet.args[1:]) for packet in client.received]
    assert kinds == [
        (PacketKind.JOB_CREATED, ()),
        (PacketKind.WORK_STATUS, (b"1", b"4")),
        (PacketKind.WORK_DATA, (b"part",)),
        (PacketKind.WORK_WARNING, (b"hm",)),
        (PacketKind.WORK_COMPLETE, (b"end",)),
    ]
    assert not harness.core.requests
    assert not harness.state.jobs.by_handle
    assert harness.state.jobs.open_workload_bytes == 0


def test_a_repeated_job_returns_only_the_data_of_the_worker_that_completed_it():
    harness, first = harness_with_worker()
    second = harness.connect().register_worker("v")
    client = harness.connect()
    submit_job(client)
    worker, other = (first, second) if (taken := first.grab_job()) else (second, first)
    assigned = (taken or worker.grab_job())[0]
    worker.send(PacketKind.WORK_DATA, assigned, "half of the first")
    worker.disconnect()
    other.send(PacketKind.WORK_COMPLETE, other.grab_job()[0], "whole of the second")
    assert [
        packet.args[1]
        for packet in client.packets_of(PacketKind.WORK_DATA, PacketKind.WORK_COMPLETE)
    ] == [b"whole of the second"]


def test_a_gearman_job_runs_at_an_http_worker_with_its_key_and_progress():
    harness = ServiceHarness()
    harness.list_http_worker()
    client = harness.connect()
    submit_job(client, "nav-publish", "key-1", "body")
    (call,) = harness.http_calls
    assert (call.request.payload.path, call.request.payload.body) == ("/nav-publish", b"body")
    assert call.request.payload.idempotency_key == "key-1"
    harness.notify_from_http_worker(call, JobStatus.RUNNING, progress=(400, 1000))
    harness.complete_http_call(call)
    assert [packet.args[1:] for packet in client.received[1:]] == [(b"400", b"1000"), (b"17.5",)]


def test_rejected_and_failed_jobs_differ_and_a_rejected_one_has_a_retry_after():
    harness = ServiceHarness()  # without a worker the job is rejected after a while
    client = harness.connect()
    with_exceptions = harness.connect()
    with_exceptions.send(PacketKind.OPTION_REQ, "exceptions")
    submit_job(client)
    submit_job(with_exceptions)
    harness.advance_time(1_000_000)
    assert [packet.kind for packet in client.received[1:]] == [
        PacketKind.WORK_WARNING,
        PacketKind.WORK_FAIL,
    ]
    assert client.received[1].args[1].startswith(b"refused retry-after=")
    assert [packet.kind for packet in with_exceptions.received[2:]] == [
        PacketKind.WORK_EXCEPTION,
        PacketKind.WORK_FAIL,
    ]
    harness, worker = harness_with_worker()
    client = harness.connect()
    submit_job(client, "once")
    worker.send(PacketKind.CAN_DO, "once")
    harness.advance_time(10_000)
    worker.send(PacketKind.WORK_EXCEPTION, worker.grab_job()[0], "no market data")
    assert client.received[-2].args[1] == b"failed no market data"
    assert client.received[-1].kind is PacketKind.WORK_FAIL


@pytest.mark.parametrize(
    ("function", "unique", "expected"),
    [
        ("nothing", "", "UNKNOWN_FUNCTION"),
        ("nobody/revalue", "", "UNKNOWN_FUNCTION"),
        ("revalue+0", "", "BAD_FUNCTION"),
        ("revalue+x", "", "BAD_FUNCTION"),
        ("nav-publish", "", "BAD_UNIQUE"),
        ("nav-publish", "u" * 129, "BAD_UNIQUE"),
        ("nav-publish", b"\xff" * 129, "BAD_UNIQUE"),
        ("revalue", "u" * 300, "BAD_UNIQUE"),
    ],
)
def test_an_invalid_submission_is_answered_with_an_error_code(function, unique, expected):
    harness = ServiceHarness()
    client = harness.connect()
    assert error_code(client.send(PacketKind.SUBMIT_JOB, function, unique, "x")) == expected
    assert not client.closed_by_service
    assert not harness.core.requests


@pytest.mark.parametrize("unique", [b"two words", b"\x01\xff" * 8, b"\xfe" * 128])
def test_a_unique_id_of_arbitrary_bytes_becomes_a_key_and_identifies_the_job(unique):
    # Guards against BAD_UNIQUE for the raw bytes that a client library sends as the unique id of
    # a class with idempotency keys.
    harness = ServiceHarness()
    harness.list_http_worker()
    client = harness.connect()
    handles = [
        submit_job(client, "nav-publish", same_unique, "body") for same_unique in (unique, unique)
    ]
    assert handles[0] == handles[1]
    (call,) = harness.http_calls
    assert call.request.payload.idempotency_key == idempotency_key(unique)
    assert submit_job(client, "nav-publish", unique[:-1] + b"\x02", "body") != handles[0]


def test_different_unique_ids_have_different_valid_keys():
    hashed = idempotency_key(b"\x00raw")
    uniques = [b"plain", b"%41", b"A", b"a b", b"\x00raw", hashed.encode(), b"\xff" * 128]
    keys = [idempotency_key(unique) for unique in uniques]
    assert len(set(keys)) == len(uniques)
    assert keys[0] == "plain"
    assert all(re.fullmatch("[!-~]{1,128}", key) for key in keys)


@pytest.mark.parametrize("kind", [PacketKind.GET_STATUS, PacketKind.GET_STATUS_UNIQUE])
def test_a_nul_in_a_status_request_is_an_error_and_the_connection_goes_on(kind):
    # Guards against an exception that ends the connection: the response cannot repeat the NUL.
    client = ServiceHarness().connect()
    assert error_code(client.send(kind, b"H:a\0b")) == "BAD_ARGUMENTS"
    assert not client.closed_by_service
    assert client.send(PacketKind.ECHO_REQ, "on")[0].kind is PacketKind.ECHO_RES


def test_too_many_slots_are_rejected_despite_leading_zeros():
    client = ServiceHarness().connect()
    client.send(PacketKind.SUBMIT_JOB, "revalue+0000010249999999", "", "x")
    assert [(packet.kind, packet.args[0]) for packet in client.received] == [
        (PacketKind.ERROR, b"BAD_FUNCTION")
    ]


def test_submissions_beyond_a_limit_are_rejected_with_a_retry_after():
    small_limits = replace(
        LIMITS,
        gearman=replace(LIMITS.gearman, in_flight_workload_bytes=100),
        sizes=replace(LIMITS.sizes, body_bytes=90),
    )
    harness = ServiceHarness(limits=small_limits, section=section_with(jobs_a_connection=2))
    client = harness.connect()
    assert (
        error_code(client.send(PacketKind.SUBMIT_JOB, "revalue", "", "x" * 91))
        == "WORKLOAD_TOO_LARGE"
    )
    submit_job(client, workload="x" * 80)
    errors = client.send(PacketKind.SUBMIT_JOB, "revalue", "", "x" * 30)
    assert error_code(errors) == "JOB_QUEUE_FULL"
    assert b"retry-after=2.000" in errors[0].args[1]
    submit_job(client)
    assert error_code(client.send(PacketKind.SUBMIT_JOB, "revalue", "", "")) == "JOB_QUEUE_FULL"
    harness_of_two_jobs = ServiceHarness(
        limits=replace(LIMITS, gearman=replace(LIMITS.gearman, open_jobs=2))
    )
    for _ in range(2):
        submit_job(harness_of_two_jobs.connect(), kind=PacketKind.SUBMIT_JOB_BG)
    assert (
        error_code(harness_of_two_jobs.connect().send(PacketKind.SUBMIT_JOB_BG, "revalue", "", ""))
        == "JOB_QUEUE_FULL"
    )
    harness.overloaded = True
    assert (
        error_code(harness.connect().send(PacketKind.SUBMIT_JOB, "revalue", "", ""))
        == "JOB_QUEUE_FULL"
    )
    harness.closing = True
    assert (
        error_code(harness.connect().send(PacketKind.SUBMIT_JOB, "revalue", "", ""))
        == "SHUTTING_DOWN"
    )
