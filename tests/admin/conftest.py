"""Fixtures of the admin tests."""

import pytest


@pytest.fixture(autouse=True)
def check_no_thread_left(threads_end):
    """Check after each test that no thread is left."""
