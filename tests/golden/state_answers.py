"""Transcripts of the lab's results, a part of `state_samples.py`.

Each transcript drives the lab's own classes; a clock stands still between calls.
"""

import tempfile
from pathlib import Path
from unittest import mock

from golden.state.process_doubles import FakeClock, quiet

from stepstream.lab.emulator import worker_drivers as nodes
from stepstream.lab.faults import schedule as fleet_faults
from stepstream.lab.processes import load_test as rig
from stepstream.lab.reports import demo
from stepstream.lab.reports import fault_run as fleet_play
from stepstream.lab.verification import ledger, verifier


def played_figures(day: object) -> object:
    """Figures of a day whose jobs end in each way in turn, one of them against the rules."""
    made, finals = verifier.Verifier(day), list(verifier.FinalOutcome)
    for ask in day.asks:
        key, at_us = (ask.number, 0), ask.at_us + 100_000
        made.asked(ask)
        if ask.number == 5:
            made.drain_told(0, "node-1")
        made.arrived(at_us, key, f"node-{ask.number % 3}", 0)
        made.made(key, "result")
        made.answered(at_us + 1_000 * ask.number, key, finals[ask.number % 17 % 4], "result")
    return made.figures()


def demo_file() -> str:
    """The file of `stepstream demo --json`."""

    async def played(day: object, seed: int) -> object:
        return rig.Result(played_figures(day), rig.Cost(1.25, 40.5), 12.5)

    with (
        tempfile.TemporaryDirectory() as folder,
        quiet(),
        mock.patch.object(demo, "play_schedule", played),
    ):
        path = Path(folder) / "demo.json"
        demo.run("mixed", 12, 1, str(path), False, "small")
        return path.read_text(encoding="utf-8")


def fleet_file() -> str:
    """fleet.json of `stepstream lab fleet --out`, the processes and the chart left out."""
    names = ("n0", "n1", "n2")
    schedule = fleet_faults.draw(3, names, 25.0)
    watch = fleet_play.InvariantMonitor(0.0)
    facts = {"count": 4}
    steps = ((0.5, "alive", 5), (0.6, "suspect", 5), (0.7, "dead", 5), (0.8, "alive", 4))
    for now, state, generation in steps:
        told = {
            "name": "n1",
            "state": state,
            "generation": generation,
            "incarnation": 0,
            "facts": facts,
        }
        watch.saw(now, "n0@5", "n0", told)
    outcome = fleet_play.Outcome(3, 0, 1.25, [2.5, 3.0], watch.broken)
    folder = tempfile.TemporaryDirectory()
    with (
        folder as out,
        quiet(),
        mock.patch.object(fleet_play, "DispatcherCluster"),
        mock.patch.object(fleet_play, "draw", return_value=schedule),
        mock.patch.object(fleet_play, "play", return_value=(watch, outcome)),
        mock.patch.object(fleet_play, "chart"),
    ):
        fleet_play.run(3, 3, None, 25, out)
        return (Path(out) / "fleet.json").read_text(encoding="utf-8")


def ledger_lines() -> dict[str, object]:
    """The guarded resource's answers, and the lines that it keeps."""
    clock = FakeClock()
    calls = [
        {"do": "begin", "token": 5, "holder": "n0"},
        {"do": "end", "act": 0},
        {"do": "begin", "token": 9, "holder": "n1"},
        {"do": "begin", "token": 5, "holder": "n0"},
        {"do": "end", "act": 0},
    ]
    with clock.in_force(), tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "ledger.jsonl"
        made = ledger.Ledger(path)
        told = [made.do(call) for call in calls]
        made.file.close()
        return {"answers": told, "file": path.read_text(encoding="utf-8")}


def workload() -> list[str]:
    return [nodes.Workload(7, 1, 250_000, 2).dump().decode()]


TRANSCRIPTS = {
    "lab-demo": demo_file,
    "lab-fleet": fleet_file,
    "lab-ledger": ledger_lines,
    "lab-workload": workload,
}
