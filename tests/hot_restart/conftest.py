"""Fixtures of the hot restart tests."""

import pytest


@pytest.fixture(autouse=True)
def end_threads(threads_end):
    """Check after each test that no thread is left."""
