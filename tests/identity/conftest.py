"""The program with `[identity]`, without and with TLS listeners; killed after each test."""

import pytest
from identity_helpers import IdentityProgram


@pytest.fixture
def program(tmp_path):
    made = IdentityProgram(tmp_path)
    yield made
    made.process.kill()
    made.process.communicate()


@pytest.fixture
def tls_program(tmp_path):
    made = IdentityProgram(tmp_path, tls=True)
    yield made
    made.process.kill()
    made.process.communicate()
