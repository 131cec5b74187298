"""Fixtures of the identity tests: the program with `[identity]`, without and with TLS listeners."""

import contextlib

import pytest

from tests.identity.program import IdentityProgram


@pytest.fixture(autouse=True)
def end_threads(threads_end):
    """Check after each test that no thread is left."""


@pytest.fixture
def program(tmp_path):
    """A dispatcher's process with `[identity]`."""
    with contextlib.closing(IdentityProgram(tmp_path)) as program:
        yield program


@pytest.fixture
def tls_program(tmp_path):
    """A dispatcher's process with `[identity]` and TLS listeners."""
    with contextlib.closing(IdentityProgram(tmp_path, tls=True)) as program:
        yield program
