"""`stepstream lab fleet`: apply a schedule of faults to real dispatchers and report the outcome.

During the schedule, a run observes the members' lists and checks the invariants of their records.
It measures how long crashes stay undetected and how long the cluster needs to converge after the
last fault.
"""

import json
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec
from rich.console import Console
from rich.table import Table

from stepstream.config.errors import ConfigurationError
from stepstream.lab.faults.injector import FaultInjector, FaultStep, Transition
from stepstream.lab.faults.random_schedule import generate_schedule
from stepstream.lab.faults.schedule import FaultKind, Schedule, read_schedule
from stepstream.lab.processes.dispatcher_cluster import DispatcherCluster
from stepstream.lab.processes.process_controller import ProcessController
from stepstream.lab.reports.invariant_monitor import (
    OBSERVATION_INTERVAL_SECONDS,
    InvariantMonitor,
)
from stepstream.lab.reports.observation_chart import describe, write_chart

MIN_MEMBERS = 2
MAX_MEMBERS = 20
CONVERGENCE_TIMEOUT_SECONDS = 60.0  # both before the first fault and after the last one
CONSOLE_COLUMNS = 120
MAX_PRINTED_VIOLATIONS = 20
SECONDS_DIGITS = 2


class Outcome(msgspec.Struct):
    """The figures of a run; the encoded names are the keys of `fleet.json`."""

    members: int
    seed: int
    # From the end of the last fault until the lists agree; None if they do not agree in time.
    convergence_seconds: float | None = msgspec.field(name="settled_s")
    # For each crash, the time until all running members list the crashed member as dead.
    detected_seconds: list[float] = msgspec.field(name="detected_s")
    violations: list[str] = msgspec.field(name="broken")


@dataclass(frozen=True)
class UndetectedCrash:
    """A crashed member that some running members do not list as dead yet."""

    name: str
    crashed_at_seconds: float  # monotonic


class FaultRun:
    """One schedule applied to one started cluster."""

    def __init__(self, cluster: DispatcherCluster, schedule: Schedule, console: Console) -> None:
        self.cluster = cluster
        self.schedule = schedule
        self.console = console
        self.controller = ProcessController(cluster)
        self.monitor = InvariantMonitor(time.monotonic())
        self.undetected_crashes: list[UndetectedCrash] = []
        self.detected_seconds: list[float] = []

    def play(self, seconds: float, seed: int) -> Outcome:
        """Apply every fault, wait at least `seconds`, end all faults and wait for convergence.

        `seed` is only reported. Raise ConditionTimeoutError if the cluster does not converge before
        the first fault.
        """
        cluster = self.cluster
        cluster.wait_for(
            lambda: cluster.has_converged(cluster.members),
            CONVERGENCE_TIMEOUT_SECONDS,
            "members agree at the start",
        )
        self.monitor.started_at_seconds = time.monotonic()
        injector = FaultInjector(self.controller, self.schedule)
        for step in injector.steps:
            self._observe_until(step.at_seconds)
            self._apply(injector, step)
        self._observe_until(seconds)
        injector.end_all()
        convergence_seconds = self._wait_for_convergence()
        return Outcome(
            len(cluster.members),
            seed,
            convergence_seconds,
            self.detected_seconds,
            self.monitor.violations,
        )

    def _elapsed_seconds(self) -> float:
        return time.monotonic() - self.monitor.started_at_seconds

    def _observe_until(self, at_seconds: float) -> None:
        """Observe the lists until this time of the run."""
        while (remaining_seconds := at_seconds - self._elapsed_seconds()) > 0:
            self._observe()
            time.sleep(min(remaining_seconds, OBSERVATION_INTERVAL_SECONDS))

    def _apply(self, injector: FaultInjector, step: FaultStep) -> None:
        """Begin or end a fault, and print it."""
        # A crash fault of a member that is down already is not a crash.
        running = [name for name in step.fault.members if self.controller.is_running(name)]
        injector.apply(step.transition, step.fault)
        line = f"{step.at_seconds:7.1f} s  {step.transition} of {describe(step.fault)}"
        self.console.print(line, highlight=False)
        if step.fault.kind is FaultKind.CRASH and step.transition is Transition.BEGIN:
            self._add_crashes(running)

    def _add_crashes(self, crashed: list[str]) -> None:
        now_seconds = time.monotonic()
        self.undetected_crashes += [UndetectedCrash(name, now_seconds) for name in crashed]

    def _wait_for_convergence(self) -> float | None:
        """Return the seconds until the lists agree; on a timeout add a violation, return None."""
        begun_at_seconds = time.monotonic()
        while time.monotonic() - begun_at_seconds < CONVERGENCE_TIMEOUT_SECONDS:
            self._observe()
            if self.cluster.has_converged(self.cluster.members):
                return round(time.monotonic() - begun_at_seconds, SECONDS_DIGITS)
            time.sleep(OBSERVATION_INTERVAL_SECONDS)
        self.monitor.violations.append("the lists do not agree 60 s after the last fault")
        return None

    def _observe(self) -> None:
        """Observe all lists once, and record the crashes that are detected by now."""
        self.monitor.observe(self._elapsed_seconds(), self.cluster, self.controller.suspended)
        still_undetected: list[UndetectedCrash] = []
        for crash in self.undetected_crashes:
            if self.controller.is_running(crash.name):
                continue  # started again before all others detected the crash
            if self._is_detected(crash.name):
                elapsed_seconds = time.monotonic() - crash.crashed_at_seconds
                self.detected_seconds.append(round(elapsed_seconds, SECONDS_DIGITS))
            else:
                still_undetected.append(crash)
        self.undetected_crashes = still_undetected

    def _is_detected(self, name: str) -> bool:
        """Return whether other members run, and all of them list this member as dead."""
        others = [
            other
            for other in self.controller.names
            if other != name
            and self.controller.is_running(other)
            and other not in self.controller.suspended
        ]
        return bool(others) and self.cluster.all_observe(others, name, "dead")


def run(members: int, seed: int, faults: str | None, seconds: int, out: str | None) -> int:
    """Run the command; return 0 if all invariants held and 1 if one was violated.

    `faults` is the path of a schedule; without it, one is generated from the seed. `out` is the
    folder for the JSON file and the chart. Raise ConfigurationError if an option or the schedule is
    invalid.
    """
    if not MIN_MEMBERS <= members <= MAX_MEMBERS:
        message = f"--members={members} is not between {MIN_MEMBERS} and {MAX_MEMBERS}"
        raise ConfigurationError(message)
    console = Console(width=CONSOLE_COLUMNS)
    names = tuple(f"n{index}" for index in range(members))
    schedule = read_schedule(faults, names) if faults else generate_schedule(seed, names, seconds)
    with DispatcherCluster(members, seed) as cluster:
        fault_run = FaultRun(cluster, schedule, console)
        outcome = fault_run.play(seconds, seed)
    print_outcome(console, outcome, schedule)
    if out:
        write_results(Path(out), outcome, schedule, fault_run.monitor)
        console.print(f"written: {out}/fleet.json, {out}/fleet.png", highlight=False)
    return 1 if outcome.violations else 0


def print_outcome(console: Console, outcome: Outcome, schedule: Schedule) -> None:
    """Print the table of the run's figures, and the first violations."""
    table = Table(
        "members", "seed", "faults", "crashes detected after, s", "converged after, s", "violations"
    )
    detected = " ".join(f"{seconds:.1f}" for seconds in outcome.detected_seconds) or "-"
    convergence = (
        "never" if outcome.convergence_seconds is None else f"{outcome.convergence_seconds:.1f}"
    )
    table.add_row(
        str(outcome.members),
        str(outcome.seed),
        str(len(schedule.faults)),
        detected,
        convergence,
        str(len(outcome.violations)),
    )
    console.print(table)
    for violation in outcome.violations[:MAX_PRINTED_VIOLATIONS]:
        console.print(violation, style="red", highlight=False)


def write_results(
    folder: Path, outcome: Outcome, schedule: Schedule, monitor: InvariantMonitor
) -> None:
    """Write `fleet.json` and the chart `fleet.png`; create the folder if it is missing."""
    folder.mkdir(parents=True, exist_ok=True)
    content = {
        **msgspec.to_builtins(outcome),
        "faults": msgspec.to_builtins(schedule.faults),
        "spans": msgspec.to_builtins(monitor.observations),
    }
    (folder / "fleet.json").write_text(json.dumps(content, indent=1))
    write_chart(monitor.observations, schedule, folder / "fleet.png")
