"""A dispatcher's process with `[identity]`: tokens at each front, key rotation and revocation."""

import socket
import threading
import time

from stepstream.gearman.codec import PacketKind
from stepstream.http.codec import write_request
from tests.http.scripted_server import exchange
from tests.identity.program import status_and_challenge
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS, wait_for


def test_callers_are_served_within_their_permissions(program):
    program.start_worker()
    portal_token = program.issue_token()
    assert program.post_job(portal_token).body == b"17.5"
    # A request that names no tenant is assigned to the only tenant of its caller.
    assert program.post_job(portal_token, tenant=None).status == 200


def test_a_missing_or_faulty_token_gets_a_challenge_that_names_the_reason(program):
    assert status_and_challenge(program.post_job()) == (401, 'Bearer realm="stepstream"')
    for token, reason in (
        (program.issue_token(aud="another"), "wrong_audience"),
        (program.issue_token(exp=int(time.time()) - 60), "expired"),
        (program.issue_token()[:-6] + "AAAAAA", "bad_signature"),
        ("x" * 5000, "too_long"),
    ):
        status, header = status_and_challenge(program.post_job(token))
        assert status == 401
        assert f'error_description="{reason}"' in header


def test_a_request_without_permission_gets_403_with_the_reason(program):
    portal_token = program.issue_token()
    for answer, reason in (
        (program.post_job(portal_token, tenant="nobody"), "tenant_contradicts"),
        (program.post_job(portal_token, path="/nav-publish"), "class_not_allowed"),
        (
            program.post_job(program.issue_token("publisher"), path="/nav-publish"),
            "method_not_allowed",
        ),
        (program.post_job(program.issue_token("stranger")), "unknown_caller"),
    ):
        status, header = status_and_challenge(answer)
        assert status == 403
        assert 'error="insufficient_scope"' in header
        assert reason in header


def test_a_caller_over_its_rate_gets_a_retry_after_header(program):
    program.start_worker()
    slow_token = program.issue_token("slow")
    assert program.post_job(slow_token).status == 200
    rejection = program.post_job(slow_token)
    assert rejection.status == 503
    assert float(rejection.headers["retry-after"]) > 1


def test_the_connection_stays_open_after_a_request_is_rejected_with_401(program):
    program.start_worker()
    with socket.create_connection(
        ("127.0.0.1", program.http_port), timeout=WAIT_TIMEOUT_SECONDS
    ) as peer:
        statuses = [program.post_job(token, peer).status for token in (None, program.issue_token())]
    assert statuses == [401, 200]


def test_a_notification_is_accepted_only_with_the_token_of_its_worker(program):
    def notify(token):
        headers = {"Connection": "close"} | ({"Authorization": f"Bearer {token}"} if token else {})
        body = b'{"id":"0a","from":"s-1","state":"done","result":"forged"}'
        return exchange(
            program.http_port, write_request("POST", "/_jobs/news", headers, body)
        ).status

    tokens = (
        None,
        program.issue_token(),
        program.issue_token("worker/s-2"),
        program.issue_token("worker/s-1"),
    )
    assert [notify(token) for token in tokens] == [401, 403, 403, 200]


def test_a_worker_registers_only_under_the_id_that_its_token_names(program):
    for token, expected in (
        (None, b"NOT_IDENTIFIED"),
        (program.issue_token("worker/other"), b"NOT_ALLOWED"),
    ):
        peer = program.connect()
        if token:
            peer.send(PacketKind.OPTION_REQ, f"token:{token}").receive_until(PacketKind.OPTION_RES)
        peer.send(PacketKind.SET_CLIENT_ID, "w").send(PacketKind.CAN_DO, "revalue")
        assert peer.receive_until(PacketKind.ERROR).args[0] == expected


def test_gearman_clients_are_identified_by_their_token_and_see_only_their_own_jobs(program):
    program.start_worker()
    peer = program.connect()
    assert (
        peer.send(PacketKind.SUBMIT_JOB, "revalue", "", "x").receive_until(PacketKind.ERROR).args[0]
        == b"NOT_IDENTIFIED"
    )
    answer = peer.send(PacketKind.OPTION_REQ, f"token:{program.issue_token()}").receive_until(
        PacketKind.OPTION_RES
    )
    assert answer.args == (b"token",)  # the answer does not repeat the token
    handle = (
        peer.send(PacketKind.SUBMIT_JOB_BG, "revalue", "u", "x")
        .receive_until(PacketKind.JOB_CREATED)
        .args[0]
    )
    assert peer.send(PacketKind.SUBMIT_JOB, "nav-publish", "k", "x").receive_until(
        PacketKind.ERROR
    ).args == (
        b"NOT_ALLOWED",
        b"class_not_allowed",
    )
    assert (
        peer.send(PacketKind.GET_STATUS, handle).receive_until(PacketKind.STATUS_RES).args[1]
        == b"1"
    )
    other = program.connect().send(
        PacketKind.OPTION_REQ, f"token:{program.issue_token('publisher')}"
    )
    for kind, name in (
        (PacketKind.GET_STATUS, handle),
        (PacketKind.GET_STATUS_UNIQUE, "u"),
        (PacketKind.GET_STATUS, "H:none"),
    ):
        assert other.send(kind, name).receive_until(PacketKind.ERROR).args == (
            b"NOT_ALLOWED",
            b"anothers_job",
        )
    assert program.command("status").startswith("ERR NOT_IDENTIFIED")
    assert program.command("version").startswith("OK")


def test_a_rotation_under_load_rejects_no_valid_token_and_then_rejects_the_old_key(program):
    program.start_worker()
    statuses = []
    stop = threading.Event()

    def send_jobs():
        with socket.create_connection(
            ("127.0.0.1", program.http_port), timeout=WAIT_TIMEOUT_SECONDS
        ) as peer:
            while not stop.is_set():
                statuses.append(program.post_job(program.issue_token(ttl_seconds=30), peer).status)

    threads = [threading.Thread(target=send_jobs) for _ in range(3)]
    for thread in threads:
        thread.start()
    old_token = program.issue_token()
    wait_for(lambda: len(statuses) > 20)
    program.key_store.rotate(overlap_seconds=5, now=int(time.time()))
    count_at_rotation = len(statuses)
    wait_for(lambda: len(statuses) > count_at_rotation + 40)
    assert program.key_store.load_jwks()[0]["state"] == "retiring"
    wait_for(lambda: program.post_job(old_token).status == 401)
    assert "key_past" in status_and_challenge(program.post_job(old_token))[1]
    stop.set()
    for thread in threads:
        thread.join()
    # The policy may reject jobs under load, but no request is rejected for its credential.
    assert 200 in statuses
    assert not set(statuses) & {401, 403}


def test_a_cached_token_is_rejected_on_an_open_connection_after_its_key_is_revoked(program):
    program.start_worker()
    token = program.issue_token()
    with socket.create_connection(
        ("127.0.0.1", program.http_port), timeout=WAIT_TIMEOUT_SECONDS
    ) as peer:
        assert program.post_job(token, peer).status == 200
        program.key_store.revoke("k1")
        wait_for(lambda: program.post_job(token, peer).status == 401)
        assert "key_revoked" in status_and_challenge(program.post_job(token, peer))[1]


def test_a_truncated_key_file_is_logged_and_the_previous_keys_stay_in_force(program):
    program.start_worker()
    token = program.issue_token()
    key_file = program.folder / "keys.json"
    content = key_file.read_bytes()
    key_file.write_bytes(content[: len(content) // 2])
    line = next(line for line in program.process.stderr if "keys_reload" in line)
    assert "keys_reload_failed" in line
    assert 'in_force="previous keys"' in line
    assert program.post_job(token).status == 200


def test_no_signature_of_a_token_is_written_to_the_log(program):
    program.start_worker()
    tokens = [
        program.issue_token(),
        program.issue_token("stranger"),
        program.issue_token(aud="another"),
    ]
    for token in tokens:
        program.post_job(token)
    program.process.terminate()
    log = program.process.communicate(timeout=WAIT_TIMEOUT_SECONDS)[1]
    assert '"reason": "unknown_caller"' in log
    assert not any(token.split(".")[2] in log for token in tokens)
