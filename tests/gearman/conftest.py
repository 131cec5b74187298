"""Fixtures of the Gearman tests."""

import contextlib

import pytest

from tests.gearman.program import GearmanProgram


@pytest.fixture(autouse=True)
def end_threads(threads_end):
    """Check after each test that no thread is left."""


@pytest.fixture
def program(tmp_path):
    """A dispatcher's process with a Gearman listener."""
    with contextlib.closing(GearmanProgram(tmp_path)) as program:
        yield program
