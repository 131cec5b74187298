"""Messages that are nested too deeply, on every way into a running dispatcher.

Each is rejected where it arrives, with an answer to its sender and a line of the log. The dispatcher
goes on, and a request that it had accepted before gets its answer.
"""

import contextlib
import json
import signal
import socket
from zlib import crc32

import pytest

from stepstream.config.json_decoding import MAX_NESTING_LEVELS
from stepstream.http.codec import write_answer, write_request
from tests.admin.calls import call_admin, is_healthy
from tests.config.nested_json import TOO_MANY_LEVELS, nested_lists, nested_objects
from tests.http.messages import job_request
from tests.http.scripted_server import exchange
from tests.node.dispatcher_process import end_process, is_ready, running_process, start_serving
from tests.runtime.ports import free_port
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS, wait_for

OPEN_REQUEST = "0a"
SPOILT_REQUEST = "0b"
REASON = "JSON nested more than 128 levels deep"
RESULTS = {"lists": nested_lists, "objects": nested_objects}
# The message's own object is one more level. The parser itself reads no more than 1,024.
LEVELS = (MAX_NESTING_LEVELS, TOO_MANY_LEVELS, 10_000)


@pytest.fixture
def state_folder(tmp_path, monkeypatch):
    """The folder of the state file of a hot restart."""
    folder = tmp_path / "state"
    folder.mkdir()
    monkeypatch.setenv("TMPDIR", str(folder))
    return folder


@pytest.fixture
def dispatcher(state_folder, start_dispatcher):
    """A dispatcher with an admin listener whose worker holds its jobs."""
    dispatcher = start_dispatcher(operator=f"127.0.0.1:{free_port()}")
    dispatcher.hold_jobs.set()
    return dispatcher


@pytest.fixture
def open_request(dispatcher):
    """A client's connection with a request that a worker has accepted."""
    with open_job(dispatcher, OPEN_REQUEST) as peer:
        yield peer


@contextlib.contextmanager
def open_job(dispatcher, request_id):
    """Send a job and wait until the worker has it; yield the client's connection."""
    address = ("127.0.0.1", dispatcher.port)
    with socket.create_connection(address, timeout=WAIT_TIMEOUT_SECONDS) as peer:
        peer.sendall(job_request(request_id))
        wait_for(lambda: request_id in [c.headers["request-id"] for c in dispatcher.job_calls()])
        yield peer


def admin_port(dispatcher):
    return int(dispatcher.config["operator"].rpartition(":")[2])


def notification(member, value, request_id=SPOILT_REQUEST):
    """Return the call of a worker that a job is done, with this JSON text as a member."""
    body = f'{{"id":"{request_id}","from":"s-1","state":"done","{member}":{value}}}'
    return write_request("POST", "/_jobs/news", {}, body.encode())


def assert_serving(dispatcher, peer):
    """Check that the request that was open before is answered; close its connection."""
    assert dispatcher.notify(OPEN_REQUEST, "done", "17.5") == 200
    with peer:
        answer = exchange(0, b"", peer)
    assert (answer.status, answer.body) == (200, b"17.5")
    assert dispatcher.process.poll() is None


def log_after_stop(dispatcher):
    """End the dispatcher as the platform does; return its log."""
    dispatcher.process.send_signal(signal.SIGTERM)
    _, log = dispatcher.process.communicate(timeout=WAIT_TIMEOUT_SECONDS)
    assert dispatcher.process.returncode == 0
    assert "internal_fault" not in log
    return log


@pytest.mark.parametrize("shape", RESULTS)
@pytest.mark.parametrize("member", ["result", "load", "unknown"])
def test_a_workers_notification_is_rejected_and_its_job_may_still_be_done(
    dispatcher, open_request, member, shape
):
    # Guards against a worker's result that ends the process, with all that it has accepted.
    with open_job(dispatcher, SPOILT_REQUEST) as spoilt_request:
        for levels in LEVELS:
            answer = exchange(dispatcher.port, notification(member, RESULTS[shape](levels)))
            assert (answer.status, answer.body.decode()) == (400, f"the body is {REASON}\n")
        assert dispatcher.notify(SPOILT_REQUEST, "done", "18.5") == 200
        assert exchange(0, b"", spoilt_request).body == b"18.5"
    assert_serving(dispatcher, open_request)
    log = log_after_stop(dispatcher)
    assert log.count(f'job_notification_rejected reason="the body is {REASON}"') == len(LEVELS)


def test_a_clients_job_is_opaque_and_served_at_any_depth(dispatcher):
    body = nested_lists(10_000).encode()
    dispatcher.hold_jobs.clear()
    assert exchange(dispatcher.port, job_request(body=body)).status == 200
    assert [call.body for call in dispatcher.job_calls()] == [body]


def test_a_result_at_the_bound_is_served(dispatcher):
    result = nested_lists(MAX_NESTING_LEVELS - 1)
    with open_job(dispatcher, SPOILT_REQUEST) as peer:
        assert exchange(dispatcher.port, notification("result", result)).status == 200
        answer = exchange(0, b"", peer)
    assert (answer.status, answer.body.decode()) == (200, result)


def test_a_notification_on_a_connection_is_rejected_after_those_before_it(dispatcher, open_request):
    sound = notification("result", '"18.5"')
    with open_job(dispatcher, SPOILT_REQUEST) as peer:
        spoilt = notification("result", nested_lists(), request_id=OPEN_REQUEST)
        assert exchange(dispatcher.port, sound + spoilt).status == 200
        assert exchange(0, b"", peer).body == b"18.5"
    assert_serving(dispatcher, open_request)


def test_a_notification_that_a_sibling_process_forwards_is_rejected(dispatcher, open_request):
    # Guards against a deep result that comes by the admin listener and reaches an open request.
    data = notification("result", nested_lists(), request_id=OPEN_REQUEST)
    answer = call_admin(admin_port(dispatcher), data)
    assert (answer.status, answer.body.decode()) == (400, f"the body is {REASON}\n")
    assert_serving(dispatcher, open_request)
    assert "job_notification_rejected" in log_after_stop(dispatcher)


def test_a_notification_of_an_unknown_request_is_rejected_before_it_is_forwarded(
    dispatcher, open_request, tmp_path
):
    # Guards against a process of a hot restart that ends when it writes a deep result again.
    new_config_path = tmp_path / "new.json"
    new_admin_port = free_port()
    new_config = {**dispatcher.config, "operator": f"127.0.0.1:{new_admin_port}"}
    new_config_path.write_text(json.dumps(new_config))
    with running_process(new_config_path) as sibling:
        wait_for(lambda: is_healthy(new_admin_port))
        for _ in range(20):  # the kernel gives each connection to one of the two processes
            answer = exchange(dispatcher.port, notification("result", nested_lists(), "ff"))
            assert answer.status == 400
        assert is_healthy(new_admin_port)
        assert is_healthy(admin_port(dispatcher))
        assert sibling.poll() is None
        assert dispatcher.process.poll() is None


@pytest.mark.parametrize("member", ["id", "zone", "unknown"])
def test_an_answer_of_discovery_is_rejected_and_the_old_list_stays(
    dispatcher, open_request, member
):
    row = {**dispatcher.endpoint(), member: "DEEP"}
    text = json.dumps({"version": 9, "full": True, "servers": [row]})
    spoilt = write_answer(200, text.replace('"DEEP"', nested_lists()).encode())
    dispatcher.discovery.reply = lambda _message: spoilt
    sent_before = len(dispatcher.discovery.requests)
    wait_for(lambda: len(dispatcher.discovery.requests) > sent_before + 1)
    assert_serving(dispatcher, open_request)
    assert f'discovery_call_failed reason="the body is {REASON}"' in log_after_stop(dispatcher)


@pytest.mark.parametrize("key", ["known", "settings"])
def test_a_configuration_is_rejected_as_a_whole_at_a_reload(dispatcher, open_request, key):
    text = json.dumps({**dispatcher.config, key: "DEEP"})
    dispatcher.config_file.write_text(text.replace('"DEEP"', nested_objects()))
    dispatcher.process.send_signal(signal.SIGHUP)
    line = next(line for line in dispatcher.process.stderr if "reload" in line)
    assert "reload_failed" in line
    assert REASON in line
    assert_serving(dispatcher, open_request)


def write_deep_state(folder):
    """Write a state file whose endpoint list is newer than any other and too deep."""
    body = (
        '{"generation":0,"banned":[],"lifted":[],'
        '"processes":[[1,"127.0.0.1:9",1,false]],'
        f'"list":{{"version":99,"full":true,"servers":[],"unknown":{nested_lists()}}}}}'
    )
    envelope = {
        "format": "stepstream-handover",
        "version": 1,
        "sum": crc32(body.encode()),
        "body": body,
    }
    unfinished = folder / "unfinished"
    unfinished.write_text(json.dumps(envelope))
    unfinished.rename(folder / "stepstream-n0.handover")


def test_a_state_file_is_ignored_while_the_dispatcher_runs(dispatcher, open_request, state_folder):
    # Guards against an endpoint list that ends the process when it is merged and written again.
    write_deep_state(state_folder)
    line = next(line for line in dispatcher.process.stderr if "handover_state_ignored" in line)
    assert REASON in line
    assert is_healthy(admin_port(dispatcher))
    put = b"PUT /workers/s-1/maint HTTP/1.1\r\n\r\n"
    assert call_admin(admin_port(dispatcher), put).status == 200  # writes the state again
    assert_serving(dispatcher, open_request)


def test_a_state_file_is_ignored_at_a_start(dispatcher, state_folder):
    end_process(dispatcher.process)
    write_deep_state(state_folder)
    dispatcher.process = start_serving(dispatcher.config_file)
    wait_for(lambda: is_ready(dispatcher.port))
    log = log_after_stop(dispatcher)
    assert f'handover_state_ignored reason="{REASON}" at_start=true' in log
