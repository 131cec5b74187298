"""Request ids that two processes of a hot restart share."""

import os

import pytest

from stepstream.hot_restart.shared_request_ids import FILE_BYTES, SharedRequestIds

OLD_PID, NEW_PID = 11, 12
MANY_IDS = 20_000


@pytest.fixture
def open_ids(tmp_path):
    """Open the ids as a process with this id sees them; `running` are the processes that exist."""
    opened = []

    def open_as(pid, running=(OLD_PID, NEW_PID)):
        opened.append(SharedRequestIds(str(tmp_path), "n0", pid, running.__contains__))
        return opened[-1]

    yield open_as
    for ids in opened:
        ids.close()


def test_an_id_belongs_to_the_process_that_claims_it_first(open_ids):
    old, new = open_ids(OLD_PID), open_ids(NEW_PID)
    assert old.claim("a")
    assert old.claim("a")
    assert not new.claim("a")
    assert new.claim("b")
    assert not old.claim("b")


def test_a_process_that_starts_later_finds_the_earlier_ids(open_ids):
    open_ids(OLD_PID).claim("a")
    assert not open_ids(NEW_PID).claim("a")


def test_processes_that_restart_again_and_again_find_a_region(open_ids):
    previous = open_ids(100, running=(100,))
    for pid in range(101, 120):
        latest = open_ids(pid, running=(pid - 1, pid))
        previous.claim(f"id-{pid}")
        assert not latest.claim(f"id-{pid}")
        previous = latest


def test_the_file_stays_small_and_keeps_the_latest_ids(open_ids, tmp_path):
    # Guards against a file that grows with the requests: files count as memory.
    old, new = open_ids(OLD_PID), open_ids(NEW_PID)
    for number in range(MANY_IDS):
        assert old.claim(f"id-{number}")
    (file,) = tmp_path.iterdir()
    assert file.stat().st_size == FILE_BYTES
    assert not any(new.claim(f"id-{MANY_IDS - number}") for number in range(1, 200))


def test_a_folder_without_space_is_an_error_and_not_a_fault_of_memory(open_ids, monkeypatch):
    def fail(*arguments):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "posix_fallocate", fail)
    with pytest.raises(OSError, match="No space"):
        open_ids(OLD_PID)
