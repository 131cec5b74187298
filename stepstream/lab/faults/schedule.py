"""Fault schedules for a cluster of dispatchers: read or draw one, and apply it to a cluster.

The same schedule is applied to protocol instances in simulated time (`simulation`) and to processes
(`reports.fault_run`). The module itself owns no state; a `FaultInjector` belongs to the one thread
that applies it.
"""

import random
import tomllib
from collections.abc import Iterable
from enum import StrEnum
from typing import Annotated, Literal, NamedTuple, Protocol

import msgspec

from stepstream.config.errors import ConfigurationError

Seconds = Annotated[float, msgspec.Meta(ge=0, le=86_400)]
Kind = Literal["crash", "restart", "leave", "stall", "cut", "one_way", "flap", "loss"]
# Cuts are drawn twice as often as any other kind. One seed draws one schedule as long as the order
# of this tuple and of the random draws in `draw` stays.
_DRAWN_KINDS: tuple[Kind, ...] = (
    "crash",
    "restart",
    "leave",
    "stall",
    "cut",
    "cut",
    "one_way",
    "flap",
    "loss",
)
_LATEST_FIRST_FAULT_SECONDS = 2.0
_MEAN_GAP_SECONDS = 3.0
_SHORTEST_FAULT_SECONDS = 0.5
_LONGEST_FAULT_SECONDS = 12.0
_DRAWN_LOSSES = (0.1, 0.3)
FLAP = 0.4  # seconds of each half of a flap: shorter than any suspicion timeout


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One fault: what happens, to which members, when and for how long (seconds).

    `who` names the affected members, or one side of a cut; the other side is all other members.

    - crash: kill; start again after `length`.
    - restart: kill and start again at once.
    - leave: stop gracefully; start again after `length`.
    - stall: suspend the process for `length`.
    - cut: drop all traffic between `who` and the others, in both directions.
    - one_way: drop the traffic from `who` to the others.
    - flap: cut and heal in turn, every `FLAP` seconds.
    - loss: drop the fraction `size` of the datagrams on every link.

    The field names are the keys of the schedule file.
    """

    kind: Kind
    at: Seconds
    length: Seconds = 0.0
    who: tuple[str, ...] = ()
    size: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0


class Schedule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All faults of one run; `fault` is the name of the file's array of tables."""

    fault: tuple[Fault, ...] = ()


class Transition(StrEnum):
    """Which end of a fault a step applies; the value is what the command prints."""

    BEGIN = "begin"
    END = "end"


class Step(NamedTuple):
    """One change to the cluster, `at_seconds` after the start of the schedule.

    Steps sort by time, then by the fault's number in the schedule, then begin before end.
    """

    at_seconds: float
    fault_number: int
    transition: Transition
    fault: Fault


class FaultTarget(Protocol):
    """A cluster that a schedule can be applied to."""

    @property
    def names(self) -> tuple[str, ...]:
        """The names of all members, running or not."""

    def up(self, name: str) -> bool:
        """Return whether the member's process exists; a suspended one does."""

    def start(self, name: str) -> None:
        """Start the member, which is not up."""

    def kill(self, name: str) -> None:
        """End the member at once, without notice to the others."""

    def leave(self, name: str) -> None:
        """Stop the member gracefully."""

    def stall(self, name: str) -> None:
        """Suspend the member until `go_on`."""

    def go_on(self, name: str) -> None:
        """Resume the member; do nothing if it is not suspended."""

    def link(self, pairs: set[tuple[str, str]], loss: float) -> None:
        """Replace the cut links (sender, receiver) and the fraction of datagrams that is lost."""


def read(path: str, names: Iterable[str]) -> Schedule:
    """Read a schedule from the `[[fault]]` tables of a TOML file.

    Raises:
        ConfigurationError: the file can't be read, has a wrong or unknown key, or names a member
            that is not among `names`; the text says the file and the key.

    """
    try:
        with open(path, "rb") as file:
            schedule = msgspec.convert(tomllib.load(file), Schedule)
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError, msgspec.ValidationError) as error:
        raise ConfigurationError(f"faults {path}: {error}") from error
    known = set(names)
    for number, fault in enumerate(schedule.fault):
        for name in fault.who:
            if name not in known:
                raise ConfigurationError(f"faults {path}: fault[{number}].who: no member {name}")
    return schedule


def draw(seed: int, names: tuple[str, ...], seconds: float, share: float = 0.5) -> Schedule:
    """Draw faults of all kinds that begin within `seconds`; equal arguments draw equal schedules.

    Each affects at most the fraction `share` of the members (but at least one may be affected).
    """
    rng = random.Random(seed)
    most_affected = max(int(len(names) * share), 1)
    faults: list[Fault] = []
    at_seconds = rng.uniform(0.0, _LATEST_FIRST_FAULT_SECONDS)
    while at_seconds < seconds:
        kind = rng.choice(_DRAWN_KINDS)
        affected = 1 if kind in ("restart", "leave") else rng.randint(1, most_affected)
        who = tuple(sorted(rng.sample(names, affected)))
        size = rng.choice(_DRAWN_LOSSES) if kind == "loss" else 0.0
        length_seconds = 0.0
        if kind != "restart":
            length_seconds = rng.uniform(_SHORTEST_FAULT_SECONDS, _LONGEST_FAULT_SECONDS)
        faults.append(
            Fault(
                kind=kind,
                at=round(at_seconds, 3),
                length=round(length_seconds, 3),
                who=who,
                size=size,
            )
        )
        at_seconds += rng.expovariate(1 / _MEAN_GAP_SECONDS)
    return Schedule(tuple(faults))


def _steps_of(fault_number: int, fault: Fault) -> list[Step]:
    """Return the steps of one fault, in no particular order."""
    steps = [Step(fault.at, fault_number, Transition.BEGIN, fault)]
    if fault.kind != "restart":
        steps.append(Step(fault.at + fault.length, fault_number, Transition.END, fault))
    if fault.kind == "flap":
        for half in range(1, int(fault.length / FLAP)):
            transition = Transition.END if half % 2 else Transition.BEGIN
            steps.append(Step(fault.at + half * FLAP, fault_number, transition, fault))
    return steps


class FaultInjector:
    """One schedule applied to one cluster.

    `steps` is what to apply, in order; the caller waits for each step's time and calls `do`.
    """

    def __init__(self, fleet: FaultTarget, schedule: Schedule) -> None:
        self.fleet = fleet
        self.steps: list[Step] = []
        self._link_faults: list[Fault] = []  # those in force now
        for number, fault in enumerate(schedule.fault):
            self.steps.extend(_steps_of(number, fault))
        self.steps.sort(key=lambda step: step[:3])

    def do(self, what: Transition, fault: Fault) -> None:
        """Begin or end a fault; members that are in no state for it are passed over."""
        match fault.kind:
            case "crash" | "restart" | "leave" | "stall":
                if what is Transition.BEGIN:
                    self._begin_process_fault(fault)
                else:
                    self._end_process_fault(fault)
            case _:
                if what is Transition.BEGIN:
                    self._link_faults.append(fault)
                else:
                    # By identity: two equal faults may be in force at once.
                    self._link_faults = [other for other in self._link_faults if other is not fault]
                self._apply_link_faults()

    def end(self) -> None:
        """Heal all links, start every member that is not up and resume every suspended one."""
        self._link_faults = []
        self._apply_link_faults()
        for name in self.fleet.names:
            if not self.fleet.up(name):
                self.fleet.start(name)
            self.fleet.go_on(name)

    def _begin_process_fault(self, fault: Fault) -> None:
        fleet = self.fleet
        for name in filter(fleet.up, fault.who):
            match fault.kind:
                case "crash":
                    fleet.kill(name)
                case "restart":
                    fleet.kill(name)
                    fleet.start(name)
                case "leave":
                    fleet.leave(name)
                case "stall":
                    fleet.stall(name)

    def _end_process_fault(self, fault: Fault) -> None:
        fleet = self.fleet
        for name in fault.who:
            if fault.kind == "stall":
                if fleet.up(name):
                    fleet.go_on(name)
            elif not fleet.up(name):
                fleet.start(name)

    def _apply_link_faults(self) -> None:
        cut_pairs: set[tuple[str, str]] = set()
        for fault in self._link_faults:
            others = [name for name in self.fleet.names if name not in fault.who]
            if fault.kind != "loss":
                cut_pairs |= {(affected, other) for affected in fault.who for other in others}
            if fault.kind in ("cut", "flap"):
                cut_pairs |= {(other, affected) for affected in fault.who for other in others}
        losses = [fault.size for fault in self._link_faults if fault.kind == "loss"]
        self.fleet.link(cut_pairs, max(losses, default=0.0))
