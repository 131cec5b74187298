"""The hot restart: the state file, whole and damaged; maintenance across it; forwarded notifications."""

import json
import os
import re
import signal
import time
from types import SimpleNamespace
from zlib import crc32

import pytest

from stepstream.admin.listener import AdminListener
from stepstream.admin.subsystem import AdminSubsystem
from stepstream.core.commands import ForwardNotification, StartCall
from stepstream.core.events import JobNotification, JobStatus, SiblingProcessChanged
from stepstream.core.maintenance import MaintenanceRegistry, MaintenanceState
from stepstream.hot_restart.controller import HotRestartController
from stepstream.hot_restart.forwarder import NotificationForwarder
from stepstream.hot_restart.precedence import newest_sibling, replace_own_record
from stepstream.hot_restart.process import ProcessRecord
from stepstream.hot_restart.state import (
    HandoverState,
    StateChecksumError,
    StateFieldError,
    StateFormatError,
    StateVersionError,
    decode,
    encode,
)
from stepstream.hot_restart.state_file import StateFile
from stepstream.http.codec import Message
from stepstream.http.destination_set import DestinationSet
from stepstream.http.discovery_api import DiscoveryApi
from stepstream.http.worker_api import notification_body, read_notification
from stepstream.ports.admin import AdminResponse
from tests.admin.calls import call_admin, running_listener
from tests.config.configurations import LIMITS, POLICY_SETTINGS
from tests.core.builders import WORKERS
from tests.core.harness import DispatcherHarness
from tests.http.messages import job_request
from tests.http.scripted_server import exchange
from tests.node.dispatcher_process import running_process
from tests.runtime.ports import free_port
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS, wait_for

OLD = ProcessRecord(100, "127.0.0.1:9901", 1_000, True)
NEW = ProcessRecord(200, "127.0.0.1:9902", 2_000, True)
ENDPOINT_LIST = {
    "version": 7,
    "full": True,
    "servers": [{"id": "s-1", "addr": "127.0.0.1:9", "state": "draining"}],
}
STATE = HandoverState(
    MaintenanceState(3, frozenset({"s-1"}), (("s-2", 1_500),)), (OLD, NEW), ENDPOINT_LIST
)


def controller_for(folder, own, maintenance=None):
    file = StateFile(str(folder), "n0", own.pid, LIMITS.sizes.handover_bytes)
    return HotRestartController(file, own, maintenance or MaintenanceRegistry(), LIMITS)


def test_a_state_reads_back_as_it_was_written():
    assert decode(encode(STATE)) == STATE


def damaged(kind):
    data = encode(STATE)
    outer = json.loads(data)
    match kind:
        case "cut short":
            return data[: len(data) // 2]
        case "empty":
            return b""
        case "another version":
            return json.dumps({**outer, "version": 2}).encode()
        case "another format":
            return json.dumps({**outer, "format": "x"}).encode()
        case "a changed byte":
            return json.dumps({**outer, "body": outer["body"].replace("s-1", "s-7")}).encode()
        case "a wrong type":
            body = json.dumps({**json.loads(outer["body"]), "banned": 5}, sort_keys=True)
            return json.dumps({**outer, "body": body, "sum": crc32(body.encode())}).encode()


@pytest.mark.parametrize(
    ("kind", "error"),
    [
        ("cut short", StateFormatError),
        ("empty", StateFormatError),
        ("another version", StateVersionError),
        ("another format", StateFormatError),
        ("a changed byte", StateChecksumError),
        ("a wrong type", StateFieldError),
    ],
)
def test_a_damaged_state_is_rejected_whole(kind, error):
    with pytest.raises(error):
        decode(damaged(kind))


@pytest.mark.parametrize("kind", ["missing", "cut short", "another version", "a changed byte"])
def test_a_process_starts_clean_from_a_damaged_or_missing_state_with_one_line(
    tmp_path, kind, capsys
):
    if kind != "missing":
        (tmp_path / "stepstream-n0.handover").write_bytes(damaged(kind))
    maintenance = MaintenanceRegistry()
    assert controller_for(tmp_path, NEW, maintenance).load() is None
    assert maintenance.snapshot() == MaintenanceState()
    assert len(capsys.readouterr().err.splitlines()) == 1


def test_the_own_record_is_renewed_and_those_of_ended_processes_are_dropped():
    renewed = ProcessRecord(100, OLD.admin_address, 5_000, False)
    assert replace_own_record((OLD, NEW), renewed, alive_pids={200}) == (NEW, renewed)
    assert replace_own_record((OLD, NEW), renewed, alive_pids=set()) == (renewed,)


def test_the_sibling_is_the_newest_other_process():
    oldest = ProcessRecord(50, "127.0.0.1:9900", 500, True)
    assert newest_sibling((oldest, OLD, NEW), 100) == NEW
    assert newest_sibling((oldest, OLD, NEW), 200) == OLD
    assert newest_sibling((OLD,), 100) is None


def test_a_write_keeps_the_endpoint_list_that_was_taken_over(tmp_path):
    first = controller_for(tmp_path, ProcessRecord(os.getpid(), "127.0.0.1:9901", 1_000))
    first.endpoint_list = ENDPOINT_LIST
    first.write()
    second = controller_for(tmp_path, ProcessRecord(os.getppid(), "127.0.0.1:9902", 2_000))
    second.load()
    second.write()
    state = second.file.read()
    assert state.endpoint_list == ENDPOINT_LIST
    assert [process.pid for process in state.processes] == [os.getpid(), os.getppid()]


def test_a_handed_over_list_whose_version_is_no_number_does_not_replace_the_own_one(tmp_path):
    first = controller_for(tmp_path, ProcessRecord(os.getpid(), "127.0.0.1:9901", 1_000))
    first.endpoint_list = {**ENDPOINT_LIST, "version": "seven"}
    first.write()
    second = controller_for(tmp_path, ProcessRecord(os.getppid(), "127.0.0.1:9902", 2_000))
    second.endpoint_list = ENDPOINT_LIST
    second.load()
    assert second.endpoint_list == ENDPOINT_LIST


def test_maintenance_passes_to_the_successor_and_back(tmp_path):
    first_maintenance, second_maintenance = MaintenanceRegistry(), MaintenanceRegistry()
    own = ProcessRecord(os.getpid(), "127.0.0.1:9901", 1_000, True)
    first = controller_for(tmp_path, own, first_maintenance)
    first_maintenance.begin("s-1")
    first.write()
    names = [path.name for path in tmp_path.iterdir()]
    assert names == ["stepstream-n0.handover"]  # nothing unfinished stays
    second = controller_for(
        tmp_path, ProcessRecord(os.getppid(), "127.0.0.1:9902", 2_000), second_maintenance
    )
    assert second.load() is not None
    assert second_maintenance.contains("s-1")
    second_maintenance.release("s-1", 3_000)
    second.write(ready=True)
    assert first.check_file()
    assert not first_maintenance.contains("s-1")
    assert first.successor() is not None
    assert first.successor().pid == os.getppid()
    assert not first.check_file()  # nothing new since


@pytest.mark.parametrize(
    ("sibling", "successor"),
    [
        (ProcessRecord(os.getppid(), "127.0.0.1:9902", 2_000, True), True),
        (ProcessRecord(os.getppid(), "127.0.0.1:9902", 2_000, False), False),
        (ProcessRecord(os.getppid(), "127.0.0.1:9902", 500, True), False),
    ],
    ids=["later and ready", "later and not ready", "earlier"],
)
def test_a_successor_started_later_and_takes_clients(tmp_path, sibling, successor):
    controller_for(tmp_path, sibling).write()
    own = controller_for(tmp_path, ProcessRecord(os.getpid(), "127.0.0.1:9901", 1_000, True))
    own.load()
    assert own.sibling() == sibling
    assert own.successor() == (sibling if successor else None)


def test_the_state_file_names_a_successor_before_its_first_health_check_succeeds():
    # Guards against SIGTERM in between, which would end its predecessor without a hot restart.
    subsystem = AdminSubsystem.__new__(AdminSubsystem)
    started_at_write = []
    hot_restart = SimpleNamespace(
        write=lambda ready: started_at_write.append(subsystem.service.started)
    )
    subsystem.service = SimpleNamespace(started=False, hot_restart=hot_restart)
    subsystem.on_serving()
    assert started_at_write == [False]
    assert subsystem.service.started


def test_the_last_check_at_sigterm_applies_what_the_successor_has_changed():
    # Guards against jobs at a worker that the successor's operators took out just before.
    subsystem = AdminSubsystem.__new__(AdminSubsystem)
    adopted = []
    hot_restart = SimpleNamespace(check_file=lambda: True, successor=lambda: NEW)
    subsystem.service = SimpleNamespace(
        hot_restart=hot_restart, adopt_maintenance=lambda: adopted.append(True)
    )
    assert subsystem.begin_shutdown()
    assert adopted


def test_an_own_record_that_a_sibling_did_not_know_is_written_again(tmp_path):
    own = controller_for(tmp_path, ProcessRecord(os.getpid(), "127.0.0.1:9901", 1_000, True))
    own.write()
    controller_for(tmp_path, ProcessRecord(os.getppid(), "127.0.0.1:9902", 2_000)).write()
    assert not own.check_file()  # the maintenance state is the same
    pids = {process.pid for process in own.file.read().processes}
    assert pids == {os.getpid(), os.getppid()}


def test_a_notification_of_an_unknown_request_is_forwarded_to_the_sibling_once():
    harness = DispatcherHarness()
    notification = JobNotification("zz", WORKERS[0].worker_id, JobStatus.DONE, "x")
    assert harness.post(notification) == []
    harness.post(SiblingProcessChanged(True))
    assert harness.post(notification) == [ForwardNotification(notification)]
    assert (
        harness.post(
            JobNotification("zz", WORKERS[0].worker_id, JobStatus.DONE, "x", forwarded=True)
        )
        == []
    )
    taken, commands = harness.receive("aa")
    (start,) = [c for c in commands if isinstance(c, StartCall)]
    own = JobNotification("aa", start.call.worker_id, JobStatus.DONE, "y")
    assert not [c for c in harness.post(own) if isinstance(c, ForwardNotification)]


def test_a_forwarded_notification_reads_back_as_it_came():
    notification = JobNotification("zz", "s-1", JobStatus.RUNNING, None, (400, 1000))
    assert read_notification(
        Message(method="POST", body=notification_body(notification)), forwarded=True
    ) == JobNotification("zz", "s-1", JobStatus.RUNNING, None, (400, 1000), True)


# -- two processes on one address -------------------------------------------------------------------------


def test_a_hot_restart_keeps_maintenance_serves_throughout_and_the_old_process_ends_cleanly(
    tmp_path, monkeypatch, start_dispatcher
):
    folder = tmp_path / "tmp"
    folder.mkdir()
    monkeypatch.setenv("TMPDIR", str(folder))
    dispatcher = start_dispatcher(operator=f"127.0.0.1:{free_port()}")
    old_admin = int(dispatcher.config["operator"].rpartition(":")[2])
    assert call_admin(old_admin, b"PUT /workers/s-1/maint HTTP/1.1\r\n\r\n").status == 200
    new_admin = free_port()
    path = tmp_path / "new.json"
    path.write_text(json.dumps({**dispatcher.config, "operator": f"127.0.0.1:{new_admin}"}))
    with running_process(path):
        wait_for(lambda: healthy(new_admin))
        # Maintenance holds in the new process: a second request changes nothing there.
        assert call_admin(new_admin, b"PUT /workers/s-1/maint HTTP/1.1\r\n\r\n").body.startswith(
            b"OK: out"
        )
        assert call_admin(new_admin, b"PUT /workers/s-1/ready HTTP/1.1\r\n\r\n").status == 200
        wait_for(
            lambda: (
                exchange(dispatcher.port, job_request(f"{time.monotonic_ns():016x}")).status == 200
            )
        )
        dispatcher.process.send_signal(signal.SIGTERM)
        assert dispatcher.process.wait(timeout=WAIT_TIMEOUT_SECONDS) == 0
        log = dispatcher.process.stderr.read()
        assert re.search(r"shutdown_started open_requests=\d+ hot_restart=true", log)
        for k in range(5):  # the address is served on by the new process alone
            assert exchange(dispatcher.port, job_request(f"00000000000000e{k}")).status == 200


def healthy(port):
    try:
        return call_admin(port, b"GET /healthcheck HTTP/1.1\r\n\r\n").status == 200
    except OSError:
        return False


def test_a_forwarded_notification_reaches_the_admin_listener_of_the_sibling(tmp_path):
    port = free_port()
    requests = []

    def answer(operator_request):
        requests.append(operator_request)
        return AdminResponse(200, "OK")

    listener = AdminListener(("127.0.0.1", port), LIMITS, answer, lambda now: None)
    notification = JobNotification("aa", "s-1", JobStatus.DONE, "5")
    with running_listener(listener):
        sibling = ProcessRecord(os.getpid(), f"127.0.0.1:{port}", 0)
        NotificationForwarder(LIMITS).forward(sibling, notification)
    (forwarded,) = requests
    assert read_notification(Message(method="POST", body=forwarded.body)) == notification


def test_the_endpoint_list_is_handed_over_in_discoverys_form():
    side = DiscoveryApi(POLICY_SETTINGS)
    listed = side.read(
        {
            "version": 41,
            "full": True,
            "servers": [
                {
                    "id": "s-1",
                    "addr": "127.0.0.1:81",
                    "zone": "petrzalka",
                    "kind": "old-blade",
                    "cell": 3,
                    "state": "draining",
                    "weight": 0.5,
                    "started_ms": 1700,
                },
                {"id": "s-2", "addr": "127.0.0.1:82", "state": "ready"},
            ],
        }
    )
    destinations = DestinationSet()
    assert destinations.export_list() is None
    destinations.apply(listed)
    destinations.apply(
        side.read({"version": 42, "full": False, "servers": [{"id": "s-2", "state": "gone"}]})
    )
    again = side.read(destinations.export_list(), persisted=True)
    assert again.version == 42
    assert again.addresses == {"s-1": ("127.0.0.1", 81)}
    assert again.update.endpoints == listed.update.endpoints[:1]


def test_a_newer_list_is_taken_over_and_an_older_one_is_not(tmp_path):
    predecessor = ProcessRecord(os.getpid(), "127.0.0.1:9901", 1_000)
    successor = ProcessRecord(os.getppid(), "127.0.0.1:9902", 2_000)
    first = controller_for(tmp_path, predecessor)
    first.endpoint_list = ENDPOINT_LIST
    first.write()
    second = controller_for(tmp_path, successor)
    second.endpoint_list = {**ENDPOINT_LIST, "version": 9}
    second.load()
    assert second.endpoint_list["version"] == 9
    third = controller_for(tmp_path, successor)
    assert third.load().endpoint_list == ENDPOINT_LIST
    assert third.endpoint_list == ENDPOINT_LIST
