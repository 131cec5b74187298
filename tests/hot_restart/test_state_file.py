"""Two writers of the state file: two threads of a process, or both processes of a hot restart."""

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

WRITE_ROUNDS = 200
OLD_PID, NEW_PID = os.getppid(), os.getpid()  # both exist


def controller_of(folder, pid, started_at_us):
    """Return the controller of a process, with its own maintenance registry."""
    file = StateFile(str(folder), "n0", pid, LIMITS.sizes.handover_bytes)
    own = ProcessRecord(pid, f"127.0.0.1:{pid}", started_at_us)
    return HotRestartController(file, own, MaintenanceRegistry(), LIMITS)


@pytest.fixture
def controllers(tmp_path):
    """The controllers of an old and a new process that know each other."""
    old, new = controller_of(tmp_path, OLD_PID, 1_000), controller_of(tmp_path, NEW_PID, 2_000)
    old.write()
    new.load()
    new.write()
    assert old.check_file() is False
    return old, new


def test_a_file_written_by_two_threads_at_once_stays_readable(tmp_path):
    # Guards against a lost state at a hot restart: both threads wrote to the same unfinished file.
    controller = controller_of(tmp_path, OLD_PID, 1_000)
    barrier = threading.Barrier(2)

    def write():
        for _ in range(WRITE_ROUNDS):
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


def test_simultaneous_changes_of_both_processes_are_kept(controllers):
    # Guards against a write that undoes a change of maintenance by the other process.
    old, new = controllers
    old.maintenance.begin("s-1")
    new.maintenance.begin("s-2")
    old.write()
    assert new.write()  # the write has adopted s-1
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


def test_a_write_just_before_the_signature_is_taken_is_read_later(controllers, monkeypatch):
    # Guards against a sibling's change that is never read. The sibling can replace the file after
    # this process has read it and before this process takes its signature. The signature must be
    # that of the file that was read.
    old, new = controllers
    new.maintenance.begin("s-1")
    stat = os.stat
    pending_writes = [new.write]

    def write_first(*arguments, **options):
        if pending_writes:
            pending_writes.pop()()
        return stat(*arguments, **options)

    monkeypatch.setattr(os, "stat", write_first)
    old.load()
    old.check_file()
    assert old.maintenance.contains("s-1")


@pytest.mark.parametrize("step", ["open", "fsync", "replace"])
def test_a_writer_that_ends_at_any_step_leaves_the_earlier_state_and_no_lock(
    controllers, monkeypatch, step
):
    old, new = controllers
    new.maintenance.begin("s-1")
    new.write()

    class ProcessEndedError(BaseException):
        """Simulates the end of the process."""

    def end_process(*arguments, **options):
        raise ProcessEndedError

    new.maintenance.begin("s-2")
    with monkeypatch.context() as patch:
        if step == "open":
            patch.setattr(state_file, "encode", end_process)
        else:
            patch.setattr(os, step, end_process)
        with pytest.raises(ProcessEndedError):
            new.write()
    old.check_file()
    assert old.maintenance.snapshot().in_maintenance == frozenset(("s-1",))
    old.maintenance.begin("s-3")
    assert old.write() is False
    assert not old.is_write_due


def test_a_write_that_fails_for_a_held_lock_is_repeated_at_the_next_check(controllers, capfd):
    # Guards against an operator's request that waits for the lock of a stalled process.
    old, new = controllers
    descriptor = os.open(old.file.folder, os.O_RDONLY)
    fcntl.flock(descriptor, fcntl.LOCK_EX)
    old.maintenance.begin("s-1")
    old.write()
    assert capfd.readouterr().err.count("handover_state_write_failed") == 1
    os.close(descriptor)
    old.check_file()
    assert new.check_file()
    assert new.maintenance.contains("s-1")


LAST_COMMON_STATE = MaintenanceState(3, frozenset("a"), (("x", 1),))


@pytest.mark.parametrize(
    ("own", "theirs", "expected"),
    [
        (LAST_COMMON_STATE, LAST_COMMON_STATE, LAST_COMMON_STATE),
        (
            MaintenanceState(5, frozenset("b"), ()),
            MaintenanceState(5, frozenset("b"), ()),
            (5, "b", {}),
        ),
        (LAST_COMMON_STATE, MaintenanceState(4, frozenset("ab"), (("x", 1),)), (4, "ab", {"x": 1})),
        (MaintenanceState(4, frozenset("ab"), (("x", 1),)), LAST_COMMON_STATE, (4, "ab", {"x": 1})),
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
def test_the_changes_of_both_processes_since_their_common_state_are_merged(own, theirs, expected):
    state = merge_maintenance(LAST_COMMON_STATE, own, theirs)
    if isinstance(expected, MaintenanceState):
        assert state == expected
    else:
        fields = (state.generation, "".join(sorted(state.in_maintenance)), dict(state.released))
        assert fields == expected
