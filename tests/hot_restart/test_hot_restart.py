"""The hot restart: the handed-over state, damaged in each way; bans across an upgrade; news passed on."""

import json
import os
import signal
import subprocess
import sys
import threading
import time

import pytest
from admin_helpers import call
from core_helpers import DispatcherHarness
from net_helpers import LIMITS, SETTINGS, WORKERS, job_bytes
from node_helpers import PATIENCE, ROOT, World, ask, free_port, wait_for

from stepstream.admin.listener import AdminListener
from stepstream.admin.routing import Verdict
from stepstream.core.commands import ForwardNotification, StartCall
from stepstream.core.events import JobNotification, JobStatus, SiblingProcessChanged
from stepstream.core.maintenance import MaintenanceRegistry, MaintenanceState
from stepstream.hot_restart.controller import HotRestartController
from stepstream.hot_restart.state import (
    DamagedError,
    Handover,
    ProcessRecord,
    decode,
    encode,
    sibling,
    with_own,
)
from stepstream.http.codec import Message
from stepstream.http.destination_set import DestinationSet
from stepstream.http.platform_api import DiscoveryApi, notification_body, read_notification

OLD, NEW = (
    ProcessRecord(100, "127.0.0.1:9901", 1_000, True),
    ProcessRecord(200, "127.0.0.1:9902", 2_000, True),
)
LISTED = {
    "version": 7,
    "full": True,
    "servers": [{"id": "s-1", "addr": "127.0.0.1:9", "state": "draining"}],
}
STATE = Handover(MaintenanceState(3, frozenset({"s-1"}), (("s-2", 1_500),)), (OLD, NEW), LISTED)


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
            from zlib import crc32

            return json.dumps({**outer, "body": body, "sum": crc32(body.encode())}).encode()


@pytest.mark.parametrize(
    "kind",
    ["cut short", "empty", "another version", "another format", "a changed byte", "a wrong type"],
)
def test_a_damaged_state_is_refused_whole(kind):
    with pytest.raises(DamagedError):
        decode(damaged(kind))


@pytest.mark.parametrize("kind", ["missing", "cut short", "another version", "a changed byte"])
def test_a_process_starts_clean_from_a_damaged_or_missing_state_with_one_line(
    tmp_path, kind, capsys
):
    if kind != "missing":
        (tmp_path / "stepstream-n0.handover").write_bytes(damaged(kind))
    bans = MaintenanceRegistry()
    keeper = HotRestartController(str(tmp_path), "n0", NEW, bans, LIMITS)
    assert keeper.load() is None
    assert bans.snapshot() == MaintenanceState()
    assert len(capsys.readouterr().err.splitlines()) == 1


def test_the_own_entry_is_new_and_ended_processes_are_gone():
    again = ProcessRecord(100, OLD.admin, 5_000, False)
    assert with_own(STATE, again, alive={200}).processes == (NEW, again)
    assert with_own(STATE, again, alive={200}).listed == LISTED
    assert with_own(STATE, again, alive=set()).processes == (again,)
    assert sibling(STATE, 100) == NEW
    assert sibling(Handover(processes=(OLD,)), 100) is None


def test_bans_pass_to_the_next_process_and_back(tmp_path):
    mine = ProcessRecord(os.getpid(), "127.0.0.1:9901", 1_000, True)
    first_bans = MaintenanceRegistry()
    first = HotRestartController(str(tmp_path), "n0", mine, first_bans, LIMITS)
    first_bans.begin("s-1")
    first.write()
    assert [p.name for p in tmp_path.iterdir()] == [
        "stepstream-n0.handover"
    ]  # nothing half written stays
    second_bans = MaintenanceRegistry()
    second = HotRestartController(
        str(tmp_path),
        "n0",
        ProcessRecord(os.getppid(), "127.0.0.1:9902", 2_000),
        second_bans,
        LIMITS,
    )
    assert second.load() is not None
    assert second_bans.contains("s-1")
    second_bans.release("s-1", 3_000)
    second.write(ready=True)
    assert first.watch()
    assert not first_bans.contains("s-1")
    assert first.successor() is not None
    assert first.successor().pid == os.getppid()
    assert not first.watch()  # nothing new since


def test_news_of_a_request_that_is_not_here_goes_to_the_process_beside_once():
    harness = DispatcherHarness()
    told = JobNotification("zz", WORKERS[0].worker_id, JobStatus.DONE, "x")
    assert harness.post(told) == []
    harness.post(SiblingProcessChanged(True))
    assert harness.post(told) == [ForwardNotification(told)]
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


def test_news_passed_on_reads_back_as_it_came():
    told = JobNotification("zz", "s-1", JobStatus.RUNNING, None, (400, 1000))
    assert read_notification(
        Message(method="POST", body=notification_body(told)), relayed=True
    ) == JobNotification("zz", "s-1", JobStatus.RUNNING, None, (400, 1000), True)


# -- two processes on one address -------------------------------------------------------------------------


def test_a_hot_restart_keeps_bans_serves_throughout_and_the_old_process_leaves_well(tmp_path):
    folder = tmp_path / "tmp"
    folder.mkdir()
    os.environ["TMPDIR"] = str(folder)
    try:
        world = World(tmp_path, operator=f"127.0.0.1:{free_port()}")
        try:
            upgrade(world, tmp_path)
        finally:
            world.process.kill()
            world.process.communicate()
    finally:
        del os.environ["TMPDIR"]


def upgrade(world, tmp_path):
    old_admin = int(world.config["operator"].rpartition(":")[2])
    assert call(old_admin, b"PUT /workers/s-1/maint HTTP/1.1\r\n\r\n").status == 200
    new_admin = free_port()
    path = tmp_path / "new.json"
    path.write_text(json.dumps({**world.config, "operator": f"127.0.0.1:{new_admin}"}))
    new = subprocess.Popen(
        [sys.executable, "-m", "stepstream", "serve"],
        cwd=ROOT,
        env={**os.environ, "EDGE_CONFIG": str(path)},
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        wait_for(lambda: healthy(new_admin))
        # The ban holds in the new process: a second call out changes nothing there.
        assert call(new_admin, b"PUT /workers/s-1/maint HTTP/1.1\r\n\r\n").body.startswith(
            b"OK: out"
        )
        assert call(new_admin, b"PUT /workers/s-1/ready HTTP/1.1\r\n\r\n").status == 200
        wait_for(lambda: ask(world.port, job_bytes(f"{time.monotonic_ns():016x}")).status == 200)
        world.process.send_signal(signal.SIGTERM)
        assert world.process.wait(timeout=PATIENCE) == 0
        assert "stopping for the process beside this one" in world.process.stderr.read()
        for k in range(5):  # the address is served on by the new process alone
            assert ask(world.port, job_bytes(f"00000000000000e{k}")).status == 200
    finally:
        new.kill()
        new.communicate()


def healthy(port):
    try:
        return call(port, b"GET /healthcheck HTTP/1.1\r\n\r\n").status == 200
    except OSError:
        return False


def test_news_passed_on_reaches_the_admin_listener_of_the_process_beside(tmp_path):
    port, got = free_port(), []

    def answer(asked):
        got.append(asked)
        return Verdict(200, "OK")

    listener = AdminListener(("127.0.0.1", port), LIMITS, answer, lambda now: None)
    threading.Thread(target=listener.run, daemon=True).start()
    try:
        keeper = HotRestartController(str(tmp_path), "n0", OLD, MaintenanceRegistry(), LIMITS)
        keeper.relay(
            ProcessRecord(os.getpid(), f"127.0.0.1:{port}", 0),
            JobNotification("aa", "s-1", JobStatus.DONE, "5"),
        )
        (asked,) = got
        assert read_notification(Message(method="POST", body=asked.body)) == JobNotification(
            "aa", "s-1", JobStatus.DONE, "5"
        )
    finally:
        listener.listener.close()


def test_what_discovery_told_passes_over_in_its_own_form():
    side = DiscoveryApi(SETTINGS)
    told = side.read(
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
    assert destinations.listed() is None
    destinations.apply(told)
    destinations.apply(
        side.read({"version": 42, "full": False, "servers": [{"id": "s-2", "state": "gone"}]})
    )
    again = side.read(destinations.listed(), kept=True)
    assert again.version == 42
    assert again.addresses == {"s-1": ("127.0.0.1", 81)}
    assert again.update.endpoints == told.update.endpoints[:1]


def test_a_newer_list_is_taken_over_and_an_older_one_is_not(tmp_path):
    first = HotRestartController(
        str(tmp_path),
        "n0",
        ProcessRecord(os.getpid(), "127.0.0.1:9901", 1_000),
        MaintenanceRegistry(),
        LIMITS,
    )
    first.listed = LISTED
    first.write()
    second = HotRestartController(
        str(tmp_path),
        "n0",
        ProcessRecord(os.getppid(), "127.0.0.1:9902", 2_000),
        MaintenanceRegistry(),
        LIMITS,
    )
    second.listed = {**LISTED, "version": 9}
    second.load()
    assert second.listed["version"] == 9
    third = HotRestartController(
        str(tmp_path),
        "n0",
        ProcessRecord(os.getppid(), "127.0.0.1:9902", 2_000),
        MaintenanceRegistry(),
        LIMITS,
    )
    assert third.load().listed == LISTED
    assert third.listed == LISTED
