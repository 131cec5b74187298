"""Two writers of the state file: threads of one process, and the two processes of a hot restart."""

import fcntl
import os
import threading

import pytest

from stepstream.core.maintenance import MaintenanceRegistry, MaintenanceState
from stepstream.hot_restart import state_file
from stepstream.hot_restart.controller import HotRestartController
from stepstream.hot_restart.precedence import merge_maintenance
from stepstream.hot_restart.process import ProcessRecord
from stepstream.hot_restart.state_file import StateFile
from tests.config.configurations import LIMITS

PAIRS = 200
OLD_PID, NEW_PID = os.getppid(), os.getpid()  # both exist


def controller_of(folder, pid, started_at_us):
    """A process's controller, with a maintenance registry of its own."""
    file = StateFile(str(folder), "n0", pid, LIMITS.sizes.handover_bytes)
    own = ProcessRecord(pid, f"127.0.0.1:{pid}", started_at_us)
    return HotRestartController(file, own, MaintenanceRegistry(), LIMITS)


@pytest.fixture
def processes(tmp_path):
    """The controllers of an old and a new process that know each other."""
    old, new = controller_of(tmp_path, OLD_PID, 1_000), controller_of(tmp_path, NEW_PID, 2_000)
    old.write()
    new.load()
    new.write()
    assert old.check_file() is False
    return old, new


def test_two_threads_that_write_at_once_leave_a_readable_file(tmp_path):
    # Guards against a state that is lost at a hot restart: both wrote one unfinished file.
    controller = controller_of(tmp_path, OLD_PID, 1_000)
    barrier = threading.Barrier(2)

    def write():
        for _ in range(PAIRS):
            barrier.wait()
            controller.write()

    threads = [threading.Thread(target=write) for _ in range(2)]
    for thread in threads:
        thread.start()
    unreadable = 0
    while any(thread.is_alive() for thread in threads):
        try:
            state = controller_of(tmp_path, NEW_PID, 2_000).file.read()
            unreadable += [process.pid for process in state.processes] != [OLD_PID]
        except FileNotFoundError:
            pass  # before the first write
        except Exception:
            unreadable += 1
    for thread in threads:
        thread.join()
    assert unreadable == 0
    assert not list(tmp_path.glob("*.part"))


def test_changes_of_both_processes_at_once_are_kept(processes):
    # Guards against maintenance that the other process's write undoes.
    old, new = processes
    old.maintenance.begin("s-1")
    new.maintenance.begin("s-2")
    old.write()
    assert new.write()  # it has learned of s-1
    assert old.check_file()
    both = frozenset(("s-1", "s-2"))
    assert old.maintenance.snapshot().in_maintenance == both
    assert new.maintenance.snapshot().in_maintenance == both
    assert old.maintenance.snapshot() == new.maintenance.snapshot()
    old.maintenance.release("s-2", 5_000)
    new.maintenance.begin("s-3")
    new.write()
    old.write()
    assert new.check_file()
    assert new.maintenance.snapshot().in_maintenance == frozenset(("s-1", "s-3"))
    assert new.maintenance.snapshot().released == (("s-2", 5_000),)


def test_a_write_between_a_read_and_its_signature_is_seen(processes, monkeypatch):
    # Guards against a sibling's change that is never read.
    old, new = processes
    new.maintenance.begin("s-1")
    stat = os.stat
    pending = [new.write]

    def write_first(*arguments, **options):
        if pending:
            pending.pop()()
        return stat(*arguments, **options)

    monkeypatch.setattr(os, "stat", write_first)
    old.load()
    old.check_file()
    assert old.maintenance.contains("s-1")


@pytest.mark.parametrize("step", ["open", "fsync", "replace"])
def test_a_writer_that_ends_at_any_step_leaves_the_earlier_state_and_no_lock(
    processes, monkeypatch, step
):
    old, new = processes
    new.maintenance.begin("s-1")
    new.write()

    class EndedError(BaseException):
        """Stands for the end of the process."""

    def end(*arguments, **options):
        raise EndedError

    new.maintenance.begin("s-2")
    with monkeypatch.context() as patch:
        if step == "open":
            patch.setattr(state_file, "encode", end)
        else:
            patch.setattr(os, step, end)
        with pytest.raises(EndedError):
            new.write()
    old.check_file()
    assert old.maintenance.snapshot().in_maintenance == frozenset(("s-1",))
    old.maintenance.begin("s-3")
    assert old.write() is False
    assert not old.is_write_due


def test_a_lock_that_is_held_delays_a_write_which_the_next_check_repeats(processes, capfd):
    # Guards against an operator's call that waits for a process that stands still.
    old, new = processes
    descriptor = os.open(old.file.folder, os.O_RDONLY)
    fcntl.flock(descriptor, fcntl.LOCK_EX)
    old.maintenance.begin("s-1")
    old.write()
    assert capfd.readouterr().err.count("handover_state_write_failed") == 1
    os.close(descriptor)
    old.check_file()
    assert new.check_file()
    assert new.maintenance.contains("s-1")


BASE = MaintenanceState(3, frozenset("a"), (("x", 1),))


@pytest.mark.parametrize(
    ("own", "theirs", "merged"),
    [
        (BASE, BASE, BASE),
        (
            MaintenanceState(5, frozenset("b"), ()),
            MaintenanceState(5, frozenset("b"), ()),
            (5, "b", {}),
        ),
        (BASE, MaintenanceState(4, frozenset("ab"), (("x", 1),)), (4, "ab", {"x": 1})),
        (MaintenanceState(4, frozenset("ab"), (("x", 1),)), BASE, (4, "ab", {"x": 1})),
        (
            MaintenanceState(4, frozenset("ab"), (("x", 1),)),
            MaintenanceState(4, frozenset("ac"), (("x", 1),)),
            (5, "abc", {"x": 1}),
        ),
        (
            MaintenanceState(4, frozenset(), (("x", 1), ("a", 7))),
            MaintenanceState(4, frozenset("ax"), ()),
            (5, "x", {"a": 7}),
        ),
        (
            MaintenanceState(4, frozenset(), (("x", 1), ("a", 7))),
            MaintenanceState(4, frozenset(), (("x", 1), ("a", 9))),
            (5, "", {"x": 1, "a": 9}),
        ),
    ],
)
def test_the_changes_of_both_processes_since_their_common_state_are_merged(own, theirs, merged):
    state = merge_maintenance(BASE, own, theirs)
    if isinstance(merged, MaintenanceState):
        assert state == merged
    else:
        found = (state.generation, "".join(sorted(state.in_maintenance)), dict(state.released))
        assert found == merged
