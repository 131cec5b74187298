"""Fixtures of the node's tests."""

import threading

import pytest

from stepstream.node.node import Node
from tests.runtime.thread_ends import end_node
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS


@pytest.fixture(autouse=True)
def end_threads(threads_end):
    """Check after each test that no thread is left."""


@pytest.fixture
def make_node():
    """Make nodes in the test process; end their threads."""
    nodes = []

    def make(config):
        nodes.append(Node(config))
        return nodes[-1]

    yield make
    for node in nodes:
        end_node(node)


@pytest.fixture
def start_node():
    """Start nodes, each on a thread of its own, as `run` does on the main one; end the threads."""
    threads = []

    def start(node):
        thread = threading.Thread(target=node.start, daemon=True)
        threads.append(thread)
        thread.start()
        return thread

    yield start
    for thread in threads:
        thread.join(WAIT_TIMEOUT_SECONDS)
