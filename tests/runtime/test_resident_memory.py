"""The memory that the platform counts: resident pages and the program's files."""

import mmap

import pytest

from stepstream.runtime.resident_memory import ResidentMemory

BLOCK_BYTES = 16 * 1024 * 1024


@pytest.fixture(autouse=True)
def every_read_is_fresh(monkeypatch):
    monkeypatch.setattr("stepstream.runtime.resident_memory.SAMPLE_SECONDS", 0.0)


def test_resident_pages_count_from_their_first_use_until_they_are_freed():
    memory = ResidentMemory(None)
    before_bytes = memory.counted_bytes()
    with mmap.mmap(-1, BLOCK_BYTES) as block:  # its pages come from the system and go back to it
        block.write(b"x" * BLOCK_BYTES)
        with_block_bytes = memory.counted_bytes()
    assert with_block_bytes - before_bytes > BLOCK_BYTES * 0.8
    assert with_block_bytes - memory.counted_bytes() > BLOCK_BYTES * 0.8


def test_the_programs_files_count_and_those_of_others_do_not(tmp_path):
    memory = ResidentMemory(str(tmp_path))
    (tmp_path / "somebody-else").write_bytes(b"x" * 100_000)
    memory.count_files()
    assert memory.files_bytes == 0
    (tmp_path / "stepstream-n1.handover").write_bytes(b"x" * 100_000)
    memory.count_files()
    assert memory.files_bytes >= 100_000
    assert memory.counted_bytes() > memory.files_bytes


def test_a_folder_that_is_gone_leaves_the_last_count(tmp_path):
    memory = ResidentMemory(str(tmp_path / "gone"))
    memory.count_files()
    assert memory.files_bytes == 0
