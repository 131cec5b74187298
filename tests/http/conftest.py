"""Fixtures of the HTTP tests."""

import contextlib

import pytest

from tests.http.outbound_harness import OutboundHarness
from tests.http.server_harness import ServerHarness


@pytest.fixture(autouse=True)
def end_threads(threads_end):
    """Check after each test that no thread is left."""


@pytest.fixture
def serve_inbound():
    """Start inbound servers, with limits if given; end them."""
    with contextlib.ExitStack() as stack:

        def start(*limits):
            return stack.enter_context(contextlib.closing(ServerHarness(*limits)))

        yield start


@pytest.fixture
def make_carrier():
    """Make outbound carriers with a worker that answers by `reply`; end both."""
    with contextlib.ExitStack() as stack:

        def make(reply, *arguments, **options):
            harness = OutboundHarness(reply, *arguments, **options)
            return stack.enter_context(contextlib.closing(harness))

        yield make
