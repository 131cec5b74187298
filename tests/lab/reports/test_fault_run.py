"""For which crashes a run of faults measures the detection time."""

import io

from rich.console import Console

from stepstream.lab.faults.injector import FaultInjector, FaultStep, Transition
from stepstream.lab.faults.schedule import Fault, FaultKind, Schedule
from stepstream.lab.reports.fault_run import FaultRun
from tests.lab.faults.test_fault_schedule import RecordingTarget


def test_a_crash_fault_of_a_member_that_is_down_is_not_timed():
    # Guards against a detection time for a crash that did not happen: n1 is already down.
    run = FaultRun.__new__(FaultRun)
    run.controller = RecordingTarget()
    run.controller.running.discard("n1")
    run.console = Console(file=io.StringIO())
    run.undetected_crashes = []
    crash = Fault(
        kind=FaultKind.CRASH, begin_seconds=0.0, members=("n1", "n2"), duration_seconds=1.0
    )
    injector = FaultInjector(run.controller, Schedule((crash,)))
    run._apply(injector, FaultStep(0.0, 0, Transition.BEGIN, crash))
    assert [crash.name for crash in run.undetected_crashes] == ["n2"]
