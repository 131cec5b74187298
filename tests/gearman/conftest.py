"""Fixtures of the Gearman tests."""

import contextlib

import pytest

from tests.gearman.program import GearmanProgram


@pytest.fixture
def program(tmp_path):
    """A dispatcher's process with a Gearman listener."""
    with contextlib.closing(GearmanProgram(tmp_path)) as program:
        yield program
