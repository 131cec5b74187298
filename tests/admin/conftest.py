"""Fixtures of the admin tests."""

import pytest


@pytest.fixture(autouse=True)
def check_no_thread_left(fail_on_remaining_threads):
    """Check after each test that no thread is left."""
