"""How many dispatchers share what is the fleet's: a cold worker's first load, discovery's calls; free of I/O.

A view is no quorum: who is held dead may be alive behind a cut and sending. So a name counts from the moment
it is heard of, and goes only if it said that it leaves, or if the greater part of all that count bear witness
that they have held it dead for a while (of two halves the one with the least name). A witness names the very
claim of death, so that none of before a return is left to count. docs/fleet.md has the proof: while a cut
lasts at most one side can shrink its count, a minority's members go on to take what they took, and both sides
together take one and a half of the whole share at most.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from stepstream.membership.messages import State

PRESENT = (State.ALIVE, State.SUSPECT)


@dataclass(frozen=True, slots=True)
class Seen:
    """A member as this one holds it. `since`: for how many seconds; `mark`: of the claim."""

    name: str
    state: State
    since: float
    mark: int


class Roster:
    """The names that count."""

    def __init__(self, own: str, hold: float) -> None:
        """`hold`: seconds for which a member is held dead before this one bears witness to it."""
        self.own, self.hold = own, hold
        self.names = {own}
        self.dropped: dict[
            str, int
        ] = {}  # by name, the claim of death that it no longer counts for

    def witnessed(self, seen: Iterable[Seen]) -> list[int]:
        """The marks of those that this member has held dead for long enough; those that count go first."""
        dead = [x for x in seen if x.state is State.DEAD and x.since >= self.hold]
        return [
            x.mark for x in sorted(dead, key=lambda x: (x.name not in self.names, x.since, x.name))
        ]

    def update(self, seen: Iterable[Seen], witnesses: Mapping[str, frozenset[int]]) -> int:
        """How many count by now. `witnesses`: by member, this one included, the marks that each names."""
        seen = sorted(seen, key=lambda x: x.name)
        left = {x.name for x in seen if x.state is State.LEFT}
        counted = {x.name for x in seen if self.dropped.get(x.name) != x.mark}
        self.names = (self.names | counted | {self.own}) - left
        for x in seen:
            if x.state is State.DEAD and x.name in self.names:
                voters = {name for name in self.names if x.mark in witnesses.get(name, ())}
                if self.greater(voters):
                    self.names.discard(x.name)
                    self.dropped[x.name] = x.mark
        known = {x.name for x in seen}
        self.names = {name for name in self.names if name in known or name == self.own}
        self.dropped = {name: mark for name, mark in self.dropped.items() if name in known}
        return len(self.names)

    def greater(self, voters: set[str]) -> bool:
        half = 2 * len(voters) == len(self.names) and min(self.names) in voters
        return 2 * len(voters) > len(self.names) or half
