"""Fixtures of the node's tests."""

import threading

import pytest

from stepstream.node.node import Node
from tests.runtime.thread_ends import end_node
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS


@pytest.fixture(autouse=True)
def check_no_thread_left(fail_on_remaining_threads):
    """Check after each test that no thread is still running."""


@pytest.fixture
def make_node():
    """Create nodes in the test process; end their threads after the test."""
    nodes = []

    def create(config):
        nodes.append(Node(config))
        return nodes[-1]

    yield create
    for node in nodes:
        end_node(node)


@pytest.fixture
def start_node():
    """Start each node on a thread of its own, as `Node.run` does on the main thread."""
    threads = []

    def start(node):
        thread = threading.Thread(target=node.start, daemon=True)
        threads.append(thread)
        thread.start()
        return thread

    yield start
    for thread in threads:
        thread.join(WAIT_TIMEOUT_SECONDS)
