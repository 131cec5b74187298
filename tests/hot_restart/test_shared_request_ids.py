"""Request ids that two processes of a hot restart share."""

import os

import pytest

from stepstream.hot_restart.shared_request_ids import (
    BUCKET_BYTES,
    BUCKETS,
    SharedRequestIds,
)

OLD_PID, NEW_PID = 11, 12
MANY_IDS = 20_000


@pytest.fixture
def processes(tmp_path):
    """The ids as an old and a new process see them."""
    both = [SharedRequestIds(str(tmp_path), "n0", pid) for pid in (OLD_PID, NEW_PID)]
    yield both
    for ids in both:
        ids.close()


def test_an_id_belongs_to_the_process_that_claims_it_first(processes):
    old, new = processes
    assert old.claim("a")
    assert old.claim("a")
    assert not new.claim("a")
    assert new.claim("b")
    assert not old.claim("b")


def test_the_file_stays_small_and_keeps_the_latest_ids(processes, tmp_path):
    # Guards against a file that grows with the requests: files count as memory.
    old, new = processes
    for number in range(MANY_IDS):
        assert old.claim(f"id-{number}")
    (file,) = tmp_path.iterdir()
    assert file.stat().st_size <= BUCKETS * BUCKET_BYTES
    assert not any(new.claim(f"id-{MANY_IDS - number}") for number in range(1, 200))


def test_ids_are_not_shared_while_the_file_fails_and_requests_are_admitted(
    processes, monkeypatch, capfd
):
    old, new = processes
    old.claim("a")

    def fail(*arguments):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "pread", fail)
    assert new.claim("a")
    assert new.claim("b")
    assert capfd.readouterr().err.count("request_ids_not_shared") == 1
