"""The running program with `[identity]`: tokens at every front, rotation and revocation of keys."""

import socket
import threading
import time

from stepstream.gearman.codec import PacketKind
from stepstream.http.codec import write_request
from tests.http.scripted_server import exchange
from tests.identity.program import challenge
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS, wait_for


def test_callers_are_served_within_their_permissions(program):
    program.start_worker()
    portal = program.token()
    assert program.post(portal).body == b"17.5"
    assert program.post(portal, tenant=None).status == 200  # it belongs to one tenant alone


def test_each_faulty_token_is_challenged_with_its_reason(program):
    assert challenge(program.post()) == (401, 'Bearer realm="stepstream"')
    for token, reason in (
        (program.token(aud="another"), "wrong_audience"),
        (program.token(exp=int(time.time()) - 60), "expired"),
        (program.token()[:-6] + "AAAAAA", "bad_signature"),
        ("x" * 5000, "too_long"),
    ):
        status, header = challenge(program.post(token))
        assert status == 401
        assert f'error_description="{reason}"' in header


def test_a_request_beyond_the_permissions_is_forbidden_with_its_reason(program):
    portal = program.token()
    for answer, reason in (
        (program.post(portal, tenant="nobody"), "tenant_contradicts"),
        (program.post(portal, path="/nav-publish"), "class_not_allowed"),
        (program.post(program.token("publisher"), path="/nav-publish"), "method_not_allowed"),
        (program.post(program.token("stranger")), "unknown_caller"),
    ):
        status, header = challenge(answer)
        assert status == 403
        assert 'error="insufficient_scope"' in header
        assert reason in header


def test_a_caller_over_its_rate_gets_a_retry_after(program):
    program.start_worker()
    slow = program.token("slow")
    assert program.post(slow).status == 200
    rejection = program.post(slow)
    assert rejection.status == 503
    assert float(rejection.headers["retry-after"]) > 1


def test_the_connection_of_a_rejected_client_stays_open(program):
    program.start_worker()
    with socket.create_connection(
        ("127.0.0.1", program.http_port), timeout=WAIT_TIMEOUT_SECONDS
    ) as peer:
        statuses = [program.post(token, peer).status for token in (None, program.token())]
    assert statuses == [401, 200]


def test_a_notification_needs_the_token_of_the_worker_that_it_names(program):
    def notify(token):
        headers = {"Connection": "close"} | ({"Authorization": f"Bearer {token}"} if token else {})
        body = b'{"id":"0a","from":"s-1","state":"done","result":"forged"}'
        return exchange(
            program.http_port, write_request("POST", "/_jobs/news", headers, body)
        ).status

    tokens = (None, program.token(), program.token("worker/s-2"), program.token("worker/s-1"))
    assert [notify(token) for token in tokens] == [401, 403, 403, 200]


def test_a_worker_registers_only_under_the_id_that_its_token_names(program):
    for token, expected in (
        (None, b"NOT_IDENTIFIED"),
        (program.token("worker/other"), b"NOT_ALLOWED"),
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
    answer = peer.send(PacketKind.OPTION_REQ, f"token:{program.token()}").receive_until(
        PacketKind.OPTION_RES
    )
    assert answer.args == (b"token",)  # never the token itself
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
    other = program.connect().send(PacketKind.OPTION_REQ, f"token:{program.token('publisher')}")
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


def test_a_rotation_under_load_drops_no_good_request_and_ends_the_old_key(program):
    program.start_worker()
    statuses = []
    stop = threading.Event()

    def load():
        with socket.create_connection(
            ("127.0.0.1", program.http_port), timeout=WAIT_TIMEOUT_SECONDS
        ) as peer:
            while not stop.is_set():
                statuses.append(program.post(program.token(ttl=30), peer).status)

    threads = [threading.Thread(target=load) for _ in range(3)]
    for thread in threads:
        thread.start()
    old = program.token()
    wait_for(lambda: len(statuses) > 20)
    program.key_store.rotate(overlap_seconds=5, now=int(time.time()))
    count_at_rotation = len(statuses)
    wait_for(lambda: len(statuses) > count_at_rotation + 40)
    assert program.key_store.load_jwks()[0]["state"] == "retiring"
    wait_for(lambda: program.post(old).status == 401)
    assert "key_past" in challenge(program.post(old))[1]
    stop.set()
    for thread in threads:
        thread.join()
    # The policy may reject under load; nobody was rejected for the credential.
    assert 200 in statuses
    assert not set(statuses) & {401, 403}


def test_a_revoked_key_ends_cached_tokens_on_open_connections(program):
    program.start_worker()
    token = program.token()
    with socket.create_connection(
        ("127.0.0.1", program.http_port), timeout=WAIT_TIMEOUT_SECONDS
    ) as peer:
        assert program.post(token, peer).status == 200
        program.key_store.revoke("k1")
        wait_for(lambda: program.post(token, peer).status == 401)
        assert "key_revoked" in challenge(program.post(token, peer))[1]


def test_a_key_file_half_written_changes_nothing(program):
    program.start_worker()
    token = program.token()
    key_file = program.folder / "keys.json"
    complete = key_file.read_bytes()
    key_file.write_bytes(complete[: len(complete) // 2])
    line = next(line for line in program.process.stderr if "keys_reload" in line)
    assert "keys_reload_failed" in line
    assert 'in_force="previous keys"' in line
    assert program.post(token).status == 200


def test_no_token_and_no_key_is_written_to_the_log(program):
    program.start_worker()
    tokens = [program.token(), program.token("stranger"), program.token(aud="another")]
    for token in tokens:
        program.post(token)
    program.process.terminate()
    log = program.process.communicate(timeout=WAIT_TIMEOUT_SECONDS)[1]
    assert '"reason": "unknown_caller"' in log
    assert not any(token.split(".")[2] in log for token in tokens)
