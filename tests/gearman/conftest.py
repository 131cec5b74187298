"""Fixtures of the Gearman tests."""

import contextlib

import pytest

from tests.gearman.program import GearmanProgram


@pytest.fixture(autouse=True)
def require_threads_to_end(fail_on_remaining_threads):
    """Fail a test that leaves a thread."""


@pytest.fixture
def program(tmp_path):
    """Yield a dispatcher's process with a Gearman listener; end it after the test."""
    with contextlib.closing(GearmanProgram(tmp_path)) as program:
        yield program
