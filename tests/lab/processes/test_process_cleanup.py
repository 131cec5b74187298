"""A lab run that fails to start leaves no child process, thread, socket or folder behind."""

import asyncio
import os
import threading
from pathlib import Path

import pytest

from stepstream.lab.load.scenario import generate_scenario
from stepstream.lab.load.site import read_site
from stepstream.lab.processes.cluster_load_test import ClusterLoadTest
from stepstream.lab.processes.cluster_member import MemberProgram
from stepstream.lab.processes.dispatcher_cluster import DispatcherCluster
from stepstream.lab.processes.dispatcher_process import DispatcherProcessError
from stepstream.lab.processes.lease_cluster import LeaseDispatcherCluster
from stepstream.lab.processes.load_test import LoadTest, LoadTestError

# With this program, n0 runs but never answers, and every other dispatcher ends at once.
ONLY_N0_RUNS = (
    "-c",
    "import os, sys, time\n"
    "if not os.environ['EDGE_CONFIG'].endswith('n0.json'):\n"
    "    sys.exit('this member ends at once')\n"
    "time.sleep(60)\n",
)
ENDS_AT_ONCE = ("-c", "import sys; sys.exit('this dispatcher ends at once')")


def child_processes():
    """The ids of the child processes of all threads, including those not yet waited for."""
    tasks = Path("/proc/self/task").iterdir()
    return {pid for task in tasks for pid in (task / "children").read_text().split()}


def open_sockets():
    link_targets = set()
    for descriptor in Path("/proc/self/fd").iterdir():
        try:
            link_targets.add(os.readlink(descriptor))
        except FileNotFoundError:
            continue  # the descriptor that `iterdir` used, which is closed by now
    return {target for target in link_targets if target.startswith("socket:")}


@pytest.fixture
def check_nothing_left(tmp_path, monkeypatch):
    """Check that the test leaves no additional process, thread, socket or temporary file."""
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    before = (child_processes(), set(threading.enumerate()), open_sockets())
    yield
    after = (child_processes(), set(threading.enumerate()), open_sockets())
    assert after == before
    assert list(tmp_path.iterdir()) == []


@pytest.mark.usefixtures("check_nothing_left")
def test_a_cluster_that_fails_to_start_leaves_nothing_behind():
    cluster = DispatcherCluster(2, seed=1)
    cluster.program = MemberProgram(ONLY_N0_RUNS)
    with pytest.raises(DispatcherProcessError, match="n1 .*this member ends at once"), cluster:
        pytest.fail("the cluster started")


@pytest.mark.usefixtures("check_nothing_left")
def test_a_lease_cluster_that_fails_to_start_leaves_nothing_behind(monkeypatch):
    # The module does not exist, so the interpreter of each member ends at once. The ledger has
    # already been started by then.
    monkeypatch.setattr("stepstream.lab.processes.lease_cluster.MEMBER_MODULE", "no_such_module")
    cluster = LeaseDispatcherCluster(2, 1, seed=1)
    with pytest.raises(DispatcherProcessError, match="No module named no_such_module"), cluster:
        pytest.fail("the cluster started")


@pytest.mark.usefixtures("check_nothing_left")
def test_a_cluster_whose_start_times_out_leaves_nothing_behind(monkeypatch):
    monkeypatch.setattr("stepstream.lab.processes.dispatcher_cluster.START_TIMEOUT_SECONDS", 0.5)
    cluster = DispatcherCluster(1, seed=1)
    cluster.program = MemberProgram(ONLY_N0_RUNS)
    with (
        pytest.raises(AssertionError, match=r"start of the members: timed out after 0\.5 s"),
        cluster,
    ):
        pytest.fail("the cluster started")


async def expect_start_to_fail(test):
    await test.start()
    pytest.fail("the load test started")


@pytest.mark.usefixtures("check_nothing_left")
def test_a_load_test_that_fails_to_start_leaves_nothing_behind():
    scenario = generate_scenario(read_site(), 1, 1, "mixed")
    test = LoadTest(scenario, 1, program=ENDS_AT_ONCE)
    with pytest.raises(LoadTestError, match="this dispatcher ends at once"):
        asyncio.run(expect_start_to_fail(test))


@pytest.mark.usefixtures("check_nothing_left")
def test_a_cluster_load_test_that_fails_to_start_leaves_nothing_behind():
    scenario = generate_scenario(read_site(), 1, 1, "http")
    test = ClusterLoadTest(scenario, 1, dispatcher_count=2, program=ENDS_AT_ONCE)
    with pytest.raises(LoadTestError, match="this dispatcher ends at once"):
        asyncio.run(expect_start_to_fail(test))
