"""Fixtures of the HTTP tests."""

import contextlib

import pytest

from tests.http.outbound_harness import OutboundHarness
from tests.http.server_harness import ServerHarness


@pytest.fixture(autouse=True)
def check_threads_end(fail_on_remaining_threads):
    """Check after each test that no thread is left."""


@pytest.fixture
def start_server():
    """Start inbound servers, with limits if any are given, and close them after the test."""
    with contextlib.ExitStack() as stack:

        def start(*limits):
            return stack.enter_context(contextlib.closing(ServerHarness(*limits)))

        yield start


@pytest.fixture
def start_carrier():
    """Start carriers, each with a worker that answers by `reply`, and close them after the test."""
    with contextlib.ExitStack() as stack:

        def start(reply, *arguments, **options):
            harness = OutboundHarness(reply, *arguments, **options)
            return stack.enter_context(contextlib.closing(harness))

        yield start
