"""Transcripts of the lab's results, a part of `state_samples.py`.

Each transcript calls the lab's own classes; the clock is fixed during the calls.
"""

import tempfile
from pathlib import Path
from unittest import mock

from golden.state.process_doubles import FakeClock, discarded_output

from stepstream.lab.emulator.workload import Workload
from stepstream.lab.faults.random_schedule import generate_schedule
from stepstream.lab.load.scenario import Scenario
from stepstream.lab.processes.load_test import LoadTestResult
from stepstream.lab.processes.process_cost import ProcessCost
from stepstream.lab.reports import demo, fault_run
from stepstream.lab.verification.ledger_record import Ledger
from stepstream.lab.verification.observations import FinalOutcome, RequestKey
from stepstream.lab.verification.score import Figures
from stepstream.lab.verification.verifier import Verifier


def figures_of_a_scenario(scenario: Scenario) -> Figures:
    """Return the figures of a scenario with every final outcome and one breach of a rule."""
    verifier = Verifier(scenario)
    outcomes = list(FinalOutcome)
    for planned in scenario.requests:
        key = RequestKey(planned.number, 0)
        arrived_us = planned.at_us + 100_000
        verifier.on_submission(planned.number)
        if planned.number == 5:
            verifier.on_drain_known(0, "node-1")
        verifier.on_arrival(arrived_us, key, f"node-{planned.number % 3}", 0)
        verifier.on_result(key, "result")
        outcome = outcomes[planned.number % 17 % 4]
        verifier.on_response(arrived_us + 1_000 * planned.number, key, outcome, "result")
    return verifier.figures()


def demo_file() -> str:
    """Return the file that `stepstream demo --json` writes."""

    async def play_schedule(scenario: Scenario, _seed: int) -> LoadTestResult:
        return LoadTestResult(figures_of_a_scenario(scenario), ProcessCost(1.25, 40.5), 12.5)

    with (
        tempfile.TemporaryDirectory() as folder,
        discarded_output(),
        mock.patch.object(demo, "play_schedule", play_schedule),
    ):
        path = Path(folder) / "demo.json"
        demo.run("mixed", 12, 1, str(path), False, "small")
        return path.read_text(encoding="utf-8")


def fault_run_file() -> str:
    """Return fleet.json of `stepstream lab fleet --out`, without real processes and the chart."""
    schedule = generate_schedule(3, ("n0", "n1", "n2"), 25.0)
    monitor = fault_run.InvariantMonitor(0.0)
    observations = ((0.5, "alive", 5), (0.6, "suspect", 5), (0.7, "dead", 5), (0.8, "alive", 4))
    for at_seconds, state, generation in observations:
        row = {
            "name": "n1",
            "state": state,
            "generation": generation,
            "incarnation": 0,
            "facts": {"count": 4},
        }
        monitor.record(at_seconds, "n0@5", "n0", row)
    run = mock.Mock(monitor=monitor)
    run.play.side_effect = lambda _seconds, seed: fault_run.Outcome(
        3, seed, 1.25, [2.5, 3.0], monitor.violations
    )
    with (
        tempfile.TemporaryDirectory() as folder,
        discarded_output(),
        mock.patch.object(fault_run, "DispatcherCluster"),
        mock.patch.object(fault_run, "generate_schedule", return_value=schedule),
        mock.patch.object(fault_run, "FaultRun", return_value=run),
        mock.patch.object(fault_run, "write_chart"),
    ):
        fault_run.run(3, 3, None, 25, folder)
        return (Path(folder) / "fleet.json").read_text(encoding="utf-8")


def ledger_file() -> dict[str, object]:
    """Return the guarded resource's answers, and the lines of its ledger."""
    clock = FakeClock()
    requests = [
        {"do": "begin", "token": 5, "holder": "n0"},
        {"do": "end", "act": 0},
        {"do": "begin", "token": 9, "holder": "n1"},
        {"do": "begin", "token": 5, "holder": "n0"},
        {"do": "end", "act": 0},
    ]
    with clock.as_process_clock(), tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "ledger.jsonl"
        ledger = Ledger(path)
        answers = [ledger.admit(request) for request in requests]
        ledger.close()
        return {"answers": answers, "file": path.read_text(encoding="utf-8")}


def workload() -> list[str]:
    """Return the body of a lab client's request."""
    return [Workload(7, 1, 250_000, 2).serialize().decode()]


TRANSCRIPTS = {
    "lab-demo": demo_file,
    "lab-fleet": fault_run_file,
    "lab-ledger": ledger_file,
    "lab-workload": workload,
}
