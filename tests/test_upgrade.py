"""The hot restart: the handed-over state, damaged in each way; bans across an upgrade; news passed on."""

import json
import os
import signal
import subprocess
import sys
import threading
import time

import pytest
from net_helpers import LIMITS, SETTINGS, WORKERS
from test_admin import call
from test_dispatch import Desk
from test_node import PATIENCE, ROOT, World, ask, free_port, job_bytes, wait_for

from stepstream.admin.calls import Verdict
from stepstream.admin.driver import AdminListener
from stepstream.dispatch import Neighbour, News, PassOn, StartCall, Told
from stepstream.maintenance import Bans, BanState
from stepstream.net.discovery import DestinationSet
from stepstream.net.http1 import Message
from stepstream.net.platform import DiscoverySide, news_body, read_news
from stepstream.upgrade.driver import Keeper
from stepstream.upgrade.state import (
    DamagedError,
    Handover,
    Process,
    decode,
    encode,
    sibling,
    with_own,
)

OLD, NEW = Process(100, "127.0.0.1:9901", 1_000, True), Process(200, "127.0.0.1:9902", 2_000, True)
LISTED = {
    "version": 7,
    "full": True,
    "servers": [{"id": "s-1", "addr": "127.0.0.1:9", "state": "draining"}],
}
STATE = Handover(BanState(3, frozenset({"s-1"}), (("s-2", 1_500),)), (OLD, NEW), LISTED)


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
    bans = Bans()
    keeper = Keeper(str(tmp_path), "n0", NEW, bans, LIMITS)
    assert keeper.load() is None and bans.snapshot() == BanState()
    assert len(capsys.readouterr().err.splitlines()) == 1


def test_the_own_entry_is_new_and_ended_processes_are_gone():
    again = Process(100, OLD.admin, 5_000, False)
    assert with_own(STATE, again, alive={200}).processes == (NEW, again)
    assert with_own(STATE, again, alive={200}).listed == LISTED
    assert with_own(STATE, again, alive=set()).processes == (again,)
    assert sibling(STATE, 100) == NEW and sibling(Handover(processes=(OLD,)), 100) is None


def test_bans_pass_to_the_next_process_and_back(tmp_path):
    mine = Process(os.getpid(), "127.0.0.1:9901", 1_000, True)
    first_bans = Bans()
    first = Keeper(str(tmp_path), "n0", mine, first_bans, LIMITS)
    first_bans.ban("s-1")
    first.write()
    assert [p.name for p in tmp_path.iterdir()] == [
        "stepstream-n0.handover"
    ]  # nothing half written stays
    second_bans = Bans()
    second = Keeper(
        str(tmp_path), "n0", Process(os.getppid(), "127.0.0.1:9902", 2_000), second_bans, LIMITS
    )
    assert second.load() is not None and second_bans.holds("s-1")
    second_bans.lift("s-1", 3_000)
    second.write(ready=True)
    assert first.watch() and not first_bans.holds("s-1")
    assert first.successor() is not None and first.successor().pid == os.getppid()
    assert not first.watch()  # nothing new since


def test_news_of_a_request_that_is_not_here_goes_to_the_process_beside_once():
    desk = Desk()
    told = Told("zz", WORKERS[0].worker, News.DONE, "x")
    assert desk.tell(told) == []
    desk.tell(Neighbour(True))
    assert desk.tell(told) == [PassOn(told)]
    assert desk.tell(Told("zz", WORKERS[0].worker, News.DONE, "x", relayed=True)) == []
    taken, commands = desk.take("aa")
    (start,) = [c for c in commands if isinstance(c, StartCall)]
    own = Told("aa", start.call.worker, News.DONE, "y")
    assert not [c for c in desk.tell(own) if isinstance(c, PassOn)]


def test_news_passed_on_reads_back_as_it_came():
    told = Told("zz", "s-1", News.RUNNING, None, (400, 1000))
    assert read_news(Message(method="POST", body=news_body(told)), relayed=True) == Told(
        "zz", "s-1", News.RUNNING, None, (400, 1000), True
    )


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
        keeper = Keeper(str(tmp_path), "n0", OLD, Bans(), LIMITS)
        keeper.relay(
            Process(os.getpid(), f"127.0.0.1:{port}", 0), Told("aa", "s-1", News.DONE, "5")
        )
        (asked,) = got
        assert read_news(Message(method="POST", body=asked.body)) == Told(
            "aa", "s-1", News.DONE, "5"
        )
    finally:
        listener.listener.close()


def test_what_discovery_told_passes_over_in_its_own_form():
    side = DiscoverySide(SETTINGS)
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
    assert again.version == 42 and again.addresses == {"s-1": ("127.0.0.1", 81)}
    assert again.told.entries == told.told.entries[:1]


def test_a_newer_list_is_taken_over_and_an_older_one_is_not(tmp_path):
    first = Keeper(
        str(tmp_path), "n0", Process(os.getpid(), "127.0.0.1:9901", 1_000), Bans(), LIMITS
    )
    first.listed = LISTED
    first.write()
    second = Keeper(
        str(tmp_path), "n0", Process(os.getppid(), "127.0.0.1:9902", 2_000), Bans(), LIMITS
    )
    second.listed = {**LISTED, "version": 9}
    second.load()
    assert second.listed["version"] == 9
    third = Keeper(
        str(tmp_path), "n0", Process(os.getppid(), "127.0.0.1:9902", 2_000), Bans(), LIMITS
    )
    assert third.load().listed == LISTED and third.listed == LISTED
