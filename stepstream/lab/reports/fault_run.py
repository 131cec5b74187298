"""`stepstream lab fleet`: a schedule of faults on real dispatchers, what they held of each other meanwhile,
whether all that must hold did, and how long it took.
"""

import json
import time
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
from rich.console import Console
from rich.table import Table

from stepstream.config.errors import ConfigurationError
from stepstream.lab.faults.injector import FaultInjector
from stepstream.lab.faults.random_schedule import generate_schedule
from stepstream.lab.faults.schedule import Fault, FaultKind, Schedule, read_schedule
from stepstream.lab.processes.dispatcher_cluster import DispatcherCluster

LOOK_S = 0.1
COLOURS = {
    "alive": "#7fbf7b",
    "suspect": "#fee08b",
    "dead": "#d73027",
    "left": "#bdbdbd",
    "superseded": "#9970ab",
}


class ProcessController:
    """A rig as a schedule's `FaultTarget`."""

    def __init__(self, rig: DispatcherCluster) -> None:
        self.rig, self.frozen = rig, set()

    @property
    def names(self) -> tuple[str, ...]:
        return tuple(self.rig.members)

    def is_running(self, name: str) -> bool:
        return self.rig.members[name].running()

    def start(self, name: str) -> None:
        self.rig.start([name], wait=False)

    def kill(self, name: str) -> None:
        self.resume(name)
        self.rig.kill(name)

    def leave(self, name: str) -> None:
        self.resume(name)
        self.rig.stop(name)

    def stall(self, name: str) -> None:
        self.frozen.add(name)
        self.rig.freeze(name)

    def resume(self, name: str) -> None:
        if name in self.frozen:
            self.frozen.discard(name)
            self.rig.thaw(name)

    def set_link_faults(self, cut_pairs: set[tuple[str, str]], loss_probability: float) -> None:
        with self.rig.relay.lock:
            self.rig.relay.links.cut_pairs = cut_pairs
            self.rig.relay.links.loss_probability = loss_probability


@dataclass
class Span:
    """One observer held one member in one state; seconds from the start of the play."""

    observer: str
    name: str
    state: str
    begun: float
    ended: float


@dataclass
class InvariantMonitor:
    """What all members were seen to hold, and what of it may not be."""

    began: float
    open: dict[tuple[str, str], Span] = field(default_factory=dict)
    spans: list[Span] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    claims: dict[tuple[str, str, str], tuple[int, int, str]] = field(default_factory=dict)
    # By observing process and member: the record's generation, the start that the status beside it
    # is of, and the status's revision.
    counts: dict[tuple[str, str], tuple[int, int, int]] = field(default_factory=dict)
    # Starts of members whose status an observing process has replaced by that of another start.
    past_starts: set[tuple[str, str, int]] = field(default_factory=set)

    def look(self, rig: DispatcherCluster, frozen: set[str]) -> None:
        now = time.monotonic() - self.began
        for observer, member in rig.members.items():
            told = member.fleet() if member.running() and observer not in frozen else None
            for row in told["members"] if told else ():
                self.saw(now, f"{observer}@{told['self_generation']}", observer, row)

    def saw(self, now: float, life: str, observer: str, row: dict) -> None:
        key, name, state = (observer, row["name"]), row["name"], row["state"]
        span = self.open.get(key)
        if span is None or span.state != state or now - span.ended > 10 * LOOK_S:
            span = self.open[key] = Span(observer, name, state, now, now)
            self.spans.append(span)
        span.ended = now
        claim = row["generation"], row["incarnation"], state
        before = self.claims.get((life, name, ""))
        if before is not None:
            if claim[:2] < before[:2]:
                self.broken.append(f"{now:.1f} s: {observer} went back to an older claim of {name}")
            if (
                claim[:2] == before[:2]
                and before[2] in ("dead", "left")
                and state in ("alive", "suspect")
            ):
                self.broken.append(f"{now:.1f} s: {observer} has {name} back on an old claim")
        self.claims[(life, name, "")] = claim
        if "count" in row["facts"]:
            self.check_counter(now, life, observer, row)

    def check_counter(self, now: float, life: str, observer: str, row: dict) -> None:
        """Check that a member's status never goes back to an older revision or an older start.

        A status is told apart by the start that it is of and not by the record beside it: right
        after a restart the new record may stand beside the old process's status for a moment.
        """
        name, generation, facts = row["name"], row["generation"], row["facts"]
        started_ms, count = facts.get("started_ms", 0), facts["count"]
        seen = generation, started_ms, count
        last_generation, last_start, last_count = self.counts.get((life, name), seen)
        if started_ms != last_start:
            self.past_starts.add((life, name, last_start))
        is_past = (life, name, started_ms) in self.past_starts
        is_same_process = (generation, started_ms) == (last_generation, last_start)
        is_older = is_same_process and count < last_count
        if generation < last_generation or is_past or is_older:
            self.broken.append(f"{now:.1f} s: {observer}: the counter of {name} went back")
        self.counts[life, name] = seen


@dataclass
class Outcome:
    members: int
    seed: int
    settled_s: float | None  # after the last fault; None if it never was
    detected_s: list[float]  # for each crash: until all that were up held it dead
    broken: list[str]


def play(
    rig: DispatcherCluster, schedule: Schedule, seconds: float, console: Console
) -> tuple[InvariantMonitor, Outcome]:
    fleet = ProcessController(rig)
    rig.wait_for(lambda: rig.agreed(rig.members), 60.0, "one view at the start")
    watch, steps = InvariantMonitor(time.monotonic()), FaultInjector(fleet, schedule)
    waits: list[tuple[float, str]] = []
    detected: list[float] = []
    for at, _, what, fault in [*steps.steps, (max(seconds, 0.0), 0, "", None)]:
        while (left := watch.began + at - time.monotonic()) > 0:
            look(watch, rig, fleet, waits, detected)
            time.sleep(min(left, LOOK_S))
        if fault is None:
            break
        steps.apply(what, fault)
        console.print(f"{at:7.1f} s  {what} of {describe(fault)}", highlight=False)
        if fault.kind is FaultKind.CRASH and what == "begin":
            waits += [(time.monotonic(), name) for name in fault.members]
    steps.end_all()
    whole, settled = time.monotonic(), None
    while time.monotonic() - whole < 60.0:
        look(watch, rig, fleet, waits, detected)
        if rig.agreed(rig.members):
            settled = round(time.monotonic() - whole, 2)
            break
        time.sleep(LOOK_S)
    if settled is None:
        watch.broken.append("not settled 60 s after the last fault")
    return watch, Outcome(len(rig.members), 0, settled, detected, watch.broken)


def look(
    watch: InvariantMonitor,
    rig: DispatcherCluster,
    fleet: ProcessController,
    waits: list,
    detected: list[float],
) -> None:
    watch.look(rig, fleet.frozen)
    for wait in list(waits):
        begun, name = wait
        others = [
            n for n in fleet.names if n != name and fleet.is_running(n) and n not in fleet.frozen
        ]
        if fleet.is_running(name):
            waits.remove(wait)  # started again before all knew
        elif others and rig.held(others, name, "dead"):
            waits.remove(wait)
            detected.append(round(time.monotonic() - begun, 2))


def describe(fault: Fault) -> str:
    size = f" {fault.loss_fraction:.0%}" if fault.kind is FaultKind.LOSS else ""
    return f"{fault.kind}{size} {' '.join(fault.members)}".strip()


def chart(watch: InvariantMonitor, schedule: Schedule, path: str) -> None:
    """Each member's view of each other over time, faults marked."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot
    from matplotlib.patches import Patch

    observers = sorted({span.observer for span in watch.spans})
    names = sorted({span.name for span in watch.spans})
    height = max(len(observers) * len(names) * 0.09 + 1.5, 3.0)
    figure, axes = pyplot.subplots(figsize=(11, min(height, 40)))
    for span in watch.spans:
        place = observers.index(span.observer) * (len(names) + 1) + names.index(span.name)
        width = max(span.ended - span.begun, LOOK_S)
        axes.barh(place, width, left=span.begun, height=1.0, color=COLOURS.get(span.state, "black"))
    for fault in schedule.faults:
        axes.axvspan(
            fault.begin_seconds,
            fault.begin_seconds + max(fault.duration_seconds, LOOK_S),
            color="#4575b4",
            alpha=0.12,
        )
        axes.text(
            fault.begin_seconds, -1.5, describe(fault)[:24], rotation=60, fontsize=6, va="bottom"
        )
    axes.set_yticks(
        [k * (len(names) + 1) + len(names) / 2 for k in range(len(observers))], observers
    )
    axes.set_xlabel(
        "seconds; one band an observer, one line in it a member, from the first name down"
    )
    axes.invert_yaxis()
    axes.legend(
        handles=[Patch(color=c, label=s) for s, c in COLOURS.items()], loc="lower right", fontsize=7
    )
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def run(members: int, seed: int, faults: str | None, seconds: int, out: str | None) -> int:
    """0 if all that must hold did, 1 if not."""
    if not 2 <= members <= 20:
        raise ConfigurationError(f"--members={members} is not between 2 and 20")
    console = Console(width=120)
    names = tuple(f"n{k}" for k in range(members))
    schedule = read_schedule(faults, names) if faults else generate_schedule(seed, names, seconds)
    with DispatcherCluster(members, seed) as rig:
        watch, outcome = play(rig, schedule, seconds, console)
    outcome.seed = seed
    made = Table(
        "members", "seed", "faults", "crashes known after, s", "settled after, s", "broken"
    )
    known = " ".join(f"{x:.1f}" for x in outcome.detected_s) or "-"
    settled = "never" if outcome.settled_s is None else f"{outcome.settled_s:.1f}"
    made.add_row(
        str(members), str(seed), str(len(schedule.faults)), known, settled, str(len(outcome.broken))
    )
    console.print(made)
    for line in outcome.broken[:20]:
        console.print(line, style="red", highlight=False)
    if out:
        Path(out).mkdir(parents=True, exist_ok=True)
        told = {**msgspec.to_builtins(outcome), "faults": msgspec.to_builtins(schedule.faults)}
        told["spans"] = msgspec.to_builtins(watch.spans)
        (Path(out) / "fleet.json").write_text(json.dumps(told, indent=1))
        chart(watch, schedule, str(Path(out) / "fleet.png"))
        console.print(f"written: {out}/fleet.json, {out}/fleet.png", highlight=False)
    return 1 if outcome.broken else 0
