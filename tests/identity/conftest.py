"""The program with `[identity]`, without and with TLS listeners; killed after each test."""

import pytest
from identity_helpers import IdentityProgram


@pytest.fixture
def program(tmp_path):
    running = IdentityProgram(tmp_path)
    yield running
    running.process.kill()
    running.process.communicate()


@pytest.fixture
def tls_program(tmp_path):
    running = IdentityProgram(tmp_path, tls=True)
    yield running
    running.process.kill()
    running.process.communicate()
