"""The hot restart: the state file, intact or damaged; maintenance; forwarded notifications."""

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
from tests.admin.calls import call_admin, is_healthy, running_listener
from tests.config.configurations import LIMITS, POLICY_SETTINGS
from tests.core.builders import WORKERS
from tests.core.harness import DispatcherHarness
from tests.http.messages import job_request
from tests.http.scripted_server import exchange
from tests.node.dispatcher_process import running_process
from tests.runtime.ports import free_port
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS, wait_for

OLD_PROCESS = ProcessRecord(100, "127.0.0.1:9901", 1_000, True)
NEW_PROCESS = ProcessRecord(200, "127.0.0.1:9902", 2_000, True)
ENDPOINT_LIST = {
    "version": 7,
    "full": True,
    "servers": [{"id": "s-1", "addr": "127.0.0.1:9", "state": "draining"}],
}
STATE = HandoverState(
    MaintenanceState(3, frozenset({"s-1"}), (("s-2", 1_500),)),
    (OLD_PROCESS, NEW_PROCESS),
    ENDPOINT_LIST,
)


def controller_for(folder, process, maintenance=None):
    file = StateFile(str(folder), "n0", process.pid, LIMITS.sizes.handover_bytes)
    return HotRestartController(file, process, maintenance or MaintenanceRegistry(), LIMITS)


def test_a_state_is_decoded_as_it_was_encoded():
    assert decode(encode(STATE)) == STATE


def damaged_state(damage):
    data = encode(STATE)
    envelope = json.loads(data)
    match damage:
        case "cut short":
            return data[: len(data) // 2]
        case "empty":
            return b""
        case "another version":
            return json.dumps({**envelope, "version": 2}).encode()
        case "another format":
            return json.dumps({**envelope, "format": "x"}).encode()
        case "a changed byte":
            return json.dumps({**envelope, "body": envelope["body"].replace("s-1", "s-7")}).encode()
        case "a wrong type":
            body = json.dumps({**json.loads(envelope["body"]), "banned": 5}, sort_keys=True)
            return json.dumps({**envelope, "body": body, "sum": crc32(body.encode())}).encode()


@pytest.mark.parametrize(
    ("damage", "error"),
    [
        ("cut short", StateFormatError),
        ("empty", StateFormatError),
        ("another version", StateVersionError),
        ("another format", StateFormatError),
        ("a changed byte", StateChecksumError),
        ("a wrong type", StateFieldError),
    ],
)
def test_a_damaged_state_is_rejected_with_the_error_for_its_damage(damage, error):
    with pytest.raises(error):
        decode(damaged_state(damage))


@pytest.mark.parametrize("damage", ["missing", "cut short", "another version", "a changed byte"])
def test_a_damaged_or_missing_state_is_not_loaded_and_logs_one_line(tmp_path, damage, capsys):
    if damage != "missing":
        (tmp_path / "stepstream-n0.handover").write_bytes(damaged_state(damage))
    maintenance = MaintenanceRegistry()
    assert controller_for(tmp_path, NEW_PROCESS, maintenance).load() is None
    assert maintenance.snapshot() == MaintenanceState()
    assert len(capsys.readouterr().err.splitlines()) == 1


def test_the_own_record_is_replaced_and_records_of_ended_processes_are_dropped():
    new_record = ProcessRecord(100, OLD_PROCESS.admin_address, 5_000, False)
    assert replace_own_record((OLD_PROCESS, NEW_PROCESS), new_record, alive_pids={200}) == (
        NEW_PROCESS,
        new_record,
    )
    assert replace_own_record((OLD_PROCESS, NEW_PROCESS), new_record, alive_pids=set()) == (
        new_record,
    )


def test_the_sibling_is_the_newest_other_process():
    oldest = ProcessRecord(50, "127.0.0.1:9900", 500, True)
    assert newest_sibling((oldest, OLD_PROCESS, NEW_PROCESS), 100) == NEW_PROCESS
    assert newest_sibling((oldest, OLD_PROCESS, NEW_PROCESS), 200) == OLD_PROCESS
    assert newest_sibling((OLD_PROCESS,), 100) is None


def test_a_write_keeps_the_endpoint_list_that_was_loaded(tmp_path):
    first = controller_for(tmp_path, ProcessRecord(os.getpid(), "127.0.0.1:9901", 1_000))
    first.endpoint_list = ENDPOINT_LIST
    first.write()
    second = controller_for(tmp_path, ProcessRecord(os.getppid(), "127.0.0.1:9902", 2_000))
    second.load()
    second.write()
    state = second.file.read()
    assert state.endpoint_list == ENDPOINT_LIST
    assert [process.pid for process in state.processes] == [os.getpid(), os.getppid()]


def test_a_handed_over_list_with_a_version_that_is_no_number_is_ignored(tmp_path):
    first = controller_for(tmp_path, ProcessRecord(os.getpid(), "127.0.0.1:9901", 1_000))
    first.endpoint_list = {**ENDPOINT_LIST, "version": "seven"}
    first.write()
    second = controller_for(tmp_path, ProcessRecord(os.getppid(), "127.0.0.1:9902", 2_000))
    second.endpoint_list = ENDPOINT_LIST
    second.load()
    assert second.endpoint_list == ENDPOINT_LIST


def test_maintenance_changes_pass_to_the_successor_and_back(tmp_path):
    first_maintenance, second_maintenance = MaintenanceRegistry(), MaintenanceRegistry()
    predecessor = ProcessRecord(os.getpid(), "127.0.0.1:9901", 1_000, True)
    first = controller_for(tmp_path, predecessor, first_maintenance)
    first_maintenance.begin("s-1")
    first.write()
    file_names = [path.name for path in tmp_path.iterdir()]
    assert file_names == ["stepstream-n0.handover"]  # no unfinished file is left
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
    assert not first.check_file()  # no change since the last check


@pytest.mark.parametrize(
    ("sibling", "is_successor"),
    [
        (ProcessRecord(os.getppid(), "127.0.0.1:9902", 2_000, True), True),
        (ProcessRecord(os.getppid(), "127.0.0.1:9902", 2_000, False), False),
        (ProcessRecord(os.getppid(), "127.0.0.1:9902", 500, True), False),
    ],
    ids=["later and ready", "later and not ready", "earlier"],
)
def test_a_successor_is_a_sibling_that_started_later_and_accepts_clients(
    tmp_path, sibling, is_successor
):
    controller_for(tmp_path, sibling).write()
    own = controller_for(tmp_path, ProcessRecord(os.getpid(), "127.0.0.1:9901", 1_000, True))
    own.load()
    assert own.sibling() == sibling
    assert own.successor() == (sibling if is_successor else None)


def test_the_state_file_names_a_successor_before_its_first_health_check_succeeds():
    # Guards against SIGTERM between the first successful health check and the write of the state
    # file: the predecessor would find no successor in the file and end without a hot restart.
    subsystem = AdminSubsystem.__new__(AdminSubsystem)
    started_at_write = []
    hot_restart = SimpleNamespace(
        write=lambda ready: started_at_write.append(subsystem.service.started)
    )
    subsystem.service = SimpleNamespace(started=False, hot_restart=hot_restart)
    subsystem.on_serving()
    assert started_at_write == [False]
    assert subsystem.service.started


def test_a_shutdown_applies_the_successors_latest_maintenance_changes():
    # Guards against jobs that are sent to a worker after the successor has put it into maintenance.
    subsystem = AdminSubsystem.__new__(AdminSubsystem)
    adoptions = []
    hot_restart = SimpleNamespace(check_file=lambda: True, successor=lambda: NEW_PROCESS)
    subsystem.service = SimpleNamespace(
        hot_restart=hot_restart, adopt_maintenance=lambda: adoptions.append(True)
    )
    assert subsystem.begin_shutdown()
    assert adoptions


def test_the_state_file_has_both_records_after_the_first_write_of_a_sibling(tmp_path):
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
    _request, commands = harness.receive("aa")
    (start,) = [command for command in commands if isinstance(command, StartCall)]
    known = JobNotification("aa", start.call.worker_id, JobStatus.DONE, "y")
    assert not [
        command for command in harness.post(known) if isinstance(command, ForwardNotification)
    ]


def test_a_forwarded_notification_is_read_as_it_was_sent():
    notification = JobNotification("zz", "s-1", JobStatus.RUNNING, None, (400, 1000))
    assert read_notification(
        Message(method="POST", body=notification_body(notification)), forwarded=True
    ) == JobNotification("zz", "s-1", JobStatus.RUNNING, None, (400, 1000), True)


# -- two processes on one address ----------------------------------------------------------------


def test_a_hot_restart_keeps_maintenance_and_service_and_the_old_process_exits_with_0(
    tmp_path, monkeypatch, start_dispatcher
):
    state_folder = tmp_path / "tmp"
    state_folder.mkdir()
    monkeypatch.setenv("TMPDIR", str(state_folder))
    dispatcher = start_dispatcher(operator=f"127.0.0.1:{free_port()}")
    old_admin_port = int(dispatcher.config["operator"].rpartition(":")[2])
    assert call_admin(old_admin_port, b"PUT /workers/s-1/maint HTTP/1.1\r\n\r\n").status == 200
    new_admin_port = free_port()
    new_config_path = tmp_path / "new.json"
    new_config_path.write_text(
        json.dumps({**dispatcher.config, "operator": f"127.0.0.1:{new_admin_port}"})
    )
    with running_process(new_config_path):
        wait_for(lambda: is_healthy(new_admin_port))
        # The new process has adopted the maintenance of s-1, so a second request changes nothing.
        assert call_admin(
            new_admin_port, b"PUT /workers/s-1/maint HTTP/1.1\r\n\r\n"
        ).body.startswith(b"OK: out")
        assert call_admin(new_admin_port, b"PUT /workers/s-1/ready HTTP/1.1\r\n\r\n").status == 200
        wait_for(
            lambda: (
                exchange(dispatcher.port, job_request(f"{time.monotonic_ns():016x}")).status == 200
            )
        )
        dispatcher.process.send_signal(signal.SIGTERM)
        assert dispatcher.process.wait(timeout=WAIT_TIMEOUT_SECONDS) == 0
        log = dispatcher.process.stderr.read()
        assert re.search(r"shutdown_started open_requests=\d+ hot_restart=true", log)
        for k in range(5):  # only the new process still serves the address
            assert exchange(dispatcher.port, job_request(f"00000000000000e{k}")).status == 200


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


def test_the_endpoint_list_is_exported_in_discoverys_form():
    discovery_api = DiscoveryApi(POLICY_SETTINGS)
    full_update = discovery_api.read(
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
    destinations.apply(full_update)
    destinations.apply(
        discovery_api.read(
            {"version": 42, "full": False, "servers": [{"id": "s-2", "state": "gone"}]}
        )
    )
    handed_over = discovery_api.read(destinations.export_list(), persisted=True)
    assert handed_over.version == 42
    assert handed_over.addresses == {"s-1": ("127.0.0.1", 81)}
    assert handed_over.update.endpoints == full_update.update.endpoints[:1]


def test_a_newer_endpoint_list_is_adopted_and_an_older_one_is_not(tmp_path):
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
