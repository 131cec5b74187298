"""Apply a fault schedule to a cluster, step by step.

Each fault becomes a step that begins it and, unless it is a restart, one that ends it; a flap has
further steps between. The caller waits for the time of each step, then calls `apply`. Process
faults act at once; of several that hold a member down, or suspended, the last to end brings it
back. Link faults add up: after each step, the cut links and the loss of all faults in force replace
what the cluster had.
"""

from collections.abc import Collection
from enum import StrEnum
from typing import NamedTuple, Protocol

from stepstream.lab.emulator.links import LinkPair
from stepstream.lab.faults.schedule import (
    FLAP_HALF_SECONDS,
    PROCESS_FAULTS,
    Fault,
    FaultKind,
    Schedule,
)

# The member does not run until the fault ends.
DOWN_FAULTS = frozenset((FaultKind.CRASH, FaultKind.LEAVE))


class Transition(StrEnum):
    """Which end of a fault a step applies; the value is what the command prints."""

    BEGIN = "begin"
    END = "end"


class UnknownFaultKindError(Exception):
    """A kind of fault that the injector does not apply: a new kind needs a case here."""


class FaultStep(NamedTuple):
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

    def is_running(self, name: str) -> bool:
        """Return whether the member's process exists; a suspended one does."""

    def start(self, name: str) -> None:
        """Start the member, which is not running."""

    def kill(self, name: str) -> None:
        """End the member at once, without notice to the others."""

    def leave(self, name: str) -> None:
        """Stop the member gracefully."""

    def stall(self, name: str) -> None:
        """Suspend the member until `resume`."""

    def resume(self, name: str) -> None:
        """Resume the member; do nothing if it is not suspended."""

    def set_link_faults(self, cut_pairs: set[LinkPair], loss_probability: float) -> None:
        """Replace the cut links and the probability that a datagram is lost."""


class FaultInjector:
    """One schedule applied to one cluster; it belongs to the one thread that applies it.

    `steps` is what to apply, in order.
    """

    def __init__(self, target: FaultTarget, schedule: Schedule) -> None:
        self.target = target
        self.steps: list[FaultStep] = []
        self._link_faults: list[Fault] = []  # those in force now
        self._process_faults: list[Fault] = []  # the same
        for number, fault in enumerate(schedule.faults):
            self.steps.extend(_steps_of(number, fault))
        self.steps.sort(key=lambda step: step[:3])

    def apply(self, transition: Transition, fault: Fault) -> None:
        """Begin or end a fault; members that are in no state for it are passed over."""
        if fault.kind in PROCESS_FAULTS:
            if transition is Transition.BEGIN:
                self._process_faults.append(fault)
                self._begin_process_fault(fault)
            else:
                self._process_faults = without(self._process_faults, fault)
                self._end_process_fault(fault)
            return
        if transition is Transition.BEGIN:
            self._link_faults.append(fault)
        else:
            self._link_faults = without(self._link_faults, fault)
        self._apply_link_faults()

    def end_all(self) -> None:
        """Heal all links, start every member that is not running, resume every suspended one."""
        self._link_faults = []
        self._process_faults = []
        self._apply_link_faults()
        for name in self.target.names:
            if not self.target.is_running(name):
                self.target.start(name)
            self.target.resume(name)

    def _begin_process_fault(self, fault: Fault) -> None:
        """Apply a process fault to its running members."""
        target = self.target
        for name in filter(target.is_running, fault.members):
            match fault.kind:
                case FaultKind.CRASH:
                    target.kill(name)
                case FaultKind.RESTART:
                    target.kill(name)
                    target.start(name)
                case FaultKind.LEAVE:
                    target.leave(name)
                case FaultKind.STALL:
                    target.stall(name)
                case _:
                    raise UnknownFaultKindError(fault.kind)

    def _end_process_fault(self, fault: Fault) -> None:
        """End a process fault for the members that no other one holds down or suspended."""
        target = self.target
        for name in fault.members:
            match fault.kind:
                case FaultKind.STALL:
                    if target.is_running(name) and not self._is_held(name, {FaultKind.STALL}):
                        target.resume(name)
                case FaultKind.CRASH | FaultKind.RESTART | FaultKind.LEAVE:
                    if not target.is_running(name) and not self._is_held(name, DOWN_FAULTS):
                        target.start(name)
                case _:
                    raise UnknownFaultKindError(fault.kind)

    def _is_held(self, name: str, kinds: Collection[FaultKind]) -> bool:
        """Return whether a fault of these kinds is in force for a member."""
        return any(fault.kind in kinds and name in fault.members for fault in self._process_faults)

    def _apply_link_faults(self) -> None:
        """Set the links to all link faults in force together."""
        cut_pairs: set[LinkPair] = set()
        losses: list[float] = []
        for fault in self._link_faults:
            match fault.kind:
                case FaultKind.LOSS:
                    losses.append(fault.loss_fraction)
                case FaultKind.CUT | FaultKind.FLAP | FaultKind.ONE_WAY:
                    cut_pairs |= self._cut_pairs_of(fault)
                case _:
                    raise UnknownFaultKindError(fault.kind)
        self.target.set_link_faults(cut_pairs, max(losses, default=0.0))

    def _cut_pairs_of(self, fault: Fault) -> set[LinkPair]:
        """Return the directions that a cut, a flap or a one-way cut closes."""
        others = [name for name in self.target.names if name not in fault.members]
        outgoing = {(member, other) for member in fault.members for other in others}
        incoming = {(other, member) for member in fault.members for other in others}
        return outgoing if fault.kind is FaultKind.ONE_WAY else outgoing | incoming


def without(faults: list[Fault], ended: Fault) -> list[Fault]:
    """Return the faults but one; by identity, as two equal ones may be in force at once."""
    return [fault for fault in faults if fault is not ended]


def _steps_of(fault_number: int, fault: Fault) -> list[FaultStep]:
    """Return the steps of one fault, in no particular order."""
    begin_seconds = fault.begin_seconds
    steps = [FaultStep(begin_seconds, fault_number, Transition.BEGIN, fault)]
    if fault.kind is not FaultKind.RESTART:
        end_seconds = begin_seconds + fault.duration_seconds
        steps.append(FaultStep(end_seconds, fault_number, Transition.END, fault))
    if fault.kind is FaultKind.FLAP:
        for half in range(1, int(fault.duration_seconds / FLAP_HALF_SECONDS)):
            transition = Transition.END if half % 2 else Transition.BEGIN
            at_seconds = begin_seconds + half * FLAP_HALF_SECONDS
            steps.append(FaultStep(at_seconds, fault_number, transition, fault))
    return steps
