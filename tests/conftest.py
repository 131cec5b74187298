"""Fixtures that tests of several packages share."""

import contextlib

import pytest
from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.http.scripted_server import ScriptedServer
from tests.node.dispatcher_process import DispatcherProcess
from tests.runtime.thread_ends import no_thread_left

# Derandomized, so that CI runs the same steps every time.
STATE_MACHINE_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    stateful_step_count=30,
    database=None,
    suppress_health_check=list(HealthCheck),
)


@pytest.fixture
def run_state_machine():
    """Run a `RuleBasedStateMachine`, which compares code with a model in generated steps."""

    def run(machine):
        run_state_machine_as_test(machine, settings=STATE_MACHINE_SETTINGS)

    return run


@pytest.fixture
def fail_on_remaining_threads():
    """Fail a test that leaves a thread in the test process."""
    with no_thread_left():
        yield


@pytest.fixture
def start_dispatcher(tmp_path):
    """Start dispatcher processes with further configuration keys; end them after the test."""
    with contextlib.ExitStack() as stack:

        def start(**configuration):
            dispatcher = DispatcherProcess(tmp_path, **configuration)
            return stack.enter_context(contextlib.closing(dispatcher))

        yield start


@pytest.fixture
def dispatcher(start_dispatcher):
    """Start a dispatcher process with one worker and a discovery that lists this worker."""
    return start_dispatcher()


@pytest.fixture
def start_server():
    """Start servers with scripted answers; stop them after the test."""
    with contextlib.ExitStack() as stack:

        def start(reply):
            return stack.enter_context(contextlib.closing(ScriptedServer(reply)))

        yield start
