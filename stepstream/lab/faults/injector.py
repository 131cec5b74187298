"""Apply a fault schedule to a cluster, step by step.

Each fault becomes a step that begins it and, unless it is a restart, a step that ends it; a flap
has more steps between these two. The caller waits for the time of each step, then calls `apply`.
Process faults act at once. If several faults keep a member down, or suspended, it starts or resumes
when the last of them ends. Link faults combine: each step sets the cluster's cut links and loss to
those of all link faults in force.
"""

from collections.abc import Collection
from enum import StrEnum
from typing import NamedTuple, Protocol

from stepstream.lab.emulator.links import LinkPair
from stepstream.lab.faults.schedule import (
    FLAP_HALF_PERIOD_SECONDS,
    PROCESS_FAULTS,
    Fault,
    FaultKind,
    Schedule,
)

# During these faults the member does not run.
DOWN_FAULTS = frozenset((FaultKind.CRASH, FaultKind.LEAVE))


class Transition(StrEnum):
    """Whether a step begins or ends a fault; the command prints the value."""

    BEGIN = "begin"
    END = "end"


class UnknownFaultKindError(Exception):
    """The injector cannot apply this kind of fault: a new kind needs a case in its matches."""


class FaultStep(NamedTuple):
    """One change to the cluster, `at_seconds` after the start of the schedule.

    Steps sort by time, then by the fault's number in the schedule; begin comes before end.
    """

    at_seconds: float
    fault_number: int
    transition: Transition
    fault: Fault


class FaultTarget(Protocol):
    """A cluster to which a schedule can be applied."""

    @property
    def names(self) -> tuple[str, ...]:
        """The names of all members, running or not."""

    def is_running(self, name: str) -> bool:
        """Return whether the member's process exists, even if it is suspended."""

    def start(self, name: str) -> None:
        """Start the member; the caller makes sure that it is not running."""

    def kill(self, name: str) -> None:
        """Kill the member; it sends no notice to the others."""

    def leave(self, name: str) -> None:
        """Stop the member gracefully."""

    def stall(self, name: str) -> None:
        """Suspend the member until `resume`."""

    def resume(self, name: str) -> None:
        """Resume the member; do nothing if it is not suspended."""

    def set_link_faults(self, cut_pairs: set[LinkPair], loss_probability: float) -> None:
        """Replace the cut links and the probability that a datagram is lost."""


class FaultInjector:
    """Apply one schedule to one cluster; all calls come from one thread.

    `steps` holds the steps to apply, in order.
    """

    def __init__(self, target: FaultTarget, schedule: Schedule) -> None:
        self.target = target
        self.steps: list[FaultStep] = []
        self._link_faults: list[Fault] = []  # in force now
        self._process_faults: list[Fault] = []  # in force now
        for number, fault in enumerate(schedule.faults):
            self.steps.extend(_steps_of(number, fault))
        self.steps.sort(key=lambda step: step[:3])

    def apply(self, transition: Transition, fault: Fault) -> None:
        """Begin or end a fault; skip members whose state does not allow it."""
        if fault.kind in PROCESS_FAULTS:
            if transition is Transition.BEGIN:
                self._process_faults.append(fault)
                self._begin_process_fault(fault)
            else:
                self._process_faults = without_fault(self._process_faults, fault)
                self._end_process_fault(fault)
            return
        if transition is Transition.BEGIN:
            self._link_faults.append(fault)
        else:
            self._link_faults = without_fault(self._link_faults, fault)
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
        """Start or resume the members of a process fault that no other such fault affects."""
        target = self.target
        for name in fault.members:
            match fault.kind:
                case FaultKind.STALL:
                    if target.is_running(name) and not self._is_affected(name, {FaultKind.STALL}):
                        target.resume(name)
                case FaultKind.CRASH | FaultKind.RESTART | FaultKind.LEAVE:
                    if not target.is_running(name) and not self._is_affected(name, DOWN_FAULTS):
                        target.start(name)
                case _:
                    raise UnknownFaultKindError(fault.kind)

    def _is_affected(self, name: str, kinds: Collection[FaultKind]) -> bool:
        """Return whether a process fault of one of these kinds is in force for a member."""
        return any(fault.kind in kinds and name in fault.members for fault in self._process_faults)

    def _apply_link_faults(self) -> None:
        """Set the cut links and the loss to those of all link faults in force together."""
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
        """Return the directions that a cut, a flap or a one-way cut interrupts."""
        others = [name for name in self.target.names if name not in fault.members]
        outgoing = {(member, other) for member in fault.members for other in others}
        incoming = {(other, member) for member in fault.members for other in others}
        return outgoing if fault.kind is FaultKind.ONE_WAY else outgoing | incoming


def without_fault(faults: list[Fault], ended: Fault) -> list[Fault]:
    """Return the faults without `ended`, compared by identity: two equal faults may be in force."""
    return [fault for fault in faults if fault is not ended]


def _steps_of(fault_number: int, fault: Fault) -> list[FaultStep]:
    """Return the steps of one fault, in no particular order."""
    begin_seconds = fault.begin_seconds
    steps = [FaultStep(begin_seconds, fault_number, Transition.BEGIN, fault)]
    if fault.kind is not FaultKind.RESTART:
        end_seconds = begin_seconds + fault.duration_seconds
        steps.append(FaultStep(end_seconds, fault_number, Transition.END, fault))
    if fault.kind is FaultKind.FLAP:
        for half_period in range(1, int(fault.duration_seconds / FLAP_HALF_PERIOD_SECONDS)):
            transition = Transition.END if half_period % 2 else Transition.BEGIN
            at_seconds = begin_seconds + half_period * FLAP_HALF_PERIOD_SECONDS
            steps.append(FaultStep(at_seconds, fault_number, transition, fault))
    return steps
