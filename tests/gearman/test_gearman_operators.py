"""Tests of operators' text commands and of access control, on the service without sockets."""

from stepstream.gearman.codec import PacketKind
from stepstream.ports.access_control import Rejection, RejectionKind
from tests.gearman.service_harness import (
    OUTCOME_KINDS,
    ServiceHarness,
    error_code,
    harness_with_worker,
    section_with,
    submit_job,
)


def run_command(harness, line):
    peer = harness.connect()
    peer.send_bytes(line.encode() + b"\n")
    return peer.command_output.decode()


def test_text_commands_list_workers_functions_and_jobs_and_cancel_a_job():
    harness, worker = harness_with_worker()
    client = harness.connect()
    handle = submit_job(client, unique="u").decode()
    assert "127.0.0.1 w : nav-publish revalue\n" in run_command(harness, "workers")
    assert "tatra-invest/revalue\t1\t1\t1\n" in run_command(harness, "status")
    assert run_command(harness, "status").endswith(".\n")
    assert run_command(harness, "version").startswith("OK ")
    assert f"{handle}\topen\t1\t1\ttatra-invest/revalue\n" in run_command(harness, "show jobs")
    assert run_command(harness, "show unique jobs") == "u\n.\n"
    assert run_command(harness, "cancel job H:none").startswith("ERR JOB_NOT_FOUND")
    assert run_command(harness, f"cancel job {handle}") == "OK\n"
    assert [packet.kind for packet in client.packets_of(*OUTCOME_KINDS)] == [PacketKind.WORK_FAIL]
    assert worker.grab_job() is None


def test_maxqueue_limits_the_open_jobs_of_a_function_until_it_is_removed():
    harness = ServiceHarness()
    client = harness.connect()
    assert run_command(harness, "maxqueue tatra-invest/revalue 1") == "OK\n"
    submit_job(client)
    assert error_code(client.send(PacketKind.SUBMIT_JOB, "revalue", "", "x")) == "JOB_QUEUE_FULL"
    assert run_command(harness, "maxqueue tatra-invest/revalue") == "OK\n"
    submit_job(client)
    assert run_command(harness, "maxqueue revalue 1").startswith("ERR UNKNOWN_FUNCTION")
    assert run_command(harness, "maxqueue tatra-invest/revalue -1").startswith("ERR BAD_NUMBER")


def test_shutdown_is_rejected_unless_the_operators_file_allows_it():
    harness = ServiceHarness()
    assert run_command(harness, "shutdown").startswith("ERR NOT_ALLOWED")
    assert not harness.shutdown_requested
    harness = ServiceHarness(section=section_with(allow_shutdown=True))
    assert run_command(harness, "shutdown") == "OK\n"
    assert harness.shutdown_requested


class FakeAccessControl:
    """Admits workers with the token `good` while `admits_workers` is set; rejects all clients."""

    def __init__(self):
        self.admits_workers = True
        self.worker_checks = 0

    def authorize_request(self, front, credential, kind, tenant):
        return Rejection(RejectionKind.UNAUTHENTICATED, "no_credential")

    def authorize_worker(self, front, credential, name):
        self.worker_checks += 1
        is_allowed = self.admits_workers and credential.token == b"good"
        return None if is_allowed else Rejection(RejectionKind.FORBIDDEN, "somebody_else")


def test_a_worker_whose_credential_expired_gets_no_job_but_may_end_those_it_holds():
    harness = ServiceHarness()
    harness.host.access_control = access_control = FakeAccessControl()
    worker, client = harness.connect(), harness.connect()
    assert error_code(worker.send(PacketKind.CAN_DO, "revalue")) == "NOT_ALLOWED"
    worker.send(PacketKind.OPTION_REQ, "token:good")
    worker.register_worker("w")
    assert error_code(client.send(PacketKind.SUBMIT_JOB, "revalue", "", "x")) == "NOT_IDENTIFIED"
    harness.host.access_control = None
    submit_job(client)
    submit_job(client)
    harness.host.access_control = access_control
    assigned = worker.grab_job()[0]
    check_count = access_control.worker_checks
    worker.send(PacketKind.GRAB_JOB)
    assert access_control.worker_checks == check_count  # the credential was verified a moment ago
    access_control.admits_workers = False
    worker.send(PacketKind.WORK_COMPLETE, assigned, "r")
    assert len(client.packets_of(PacketKind.WORK_COMPLETE)) == 1
    harness.now_us += 600_000
    assert error_code(worker.send(PacketKind.GRAB_JOB)) == "NOT_ALLOWED"
