"""Fixtures of the identity tests: the program with `[identity]`, without and with TLS listeners."""

import contextlib

import pytest

from tests.identity.program import IdentityProgram


@pytest.fixture(autouse=True)
def check_threads_end(fail_on_remaining_threads):
    """Check after each test that it has left no thread."""


@pytest.fixture
def program(tmp_path):
    """Start a dispatcher's process with `[identity]`, without TLS listeners."""
    with contextlib.closing(IdentityProgram(tmp_path)) as program:
        yield program


@pytest.fixture
def tls_program(tmp_path):
    """Start a dispatcher's process with `[identity]` and TLS listeners."""
    with contextlib.closing(IdentityProgram(tmp_path, tls=True)) as program:
        yield program
