"""Data on the ballots of one process's proposers, without rules; owned by the participant."""

from dataclasses import dataclass, field
from enum import Enum


class Phase(Enum):
    """The phase of a proposer's current ballot."""

    IDLE = 0
    PREPARING = 1
    PROPOSING = 2


@dataclass
class BallotSequence:
    """The highest ballot number that one process knows of; all its proposers share it."""

    highest: int

    def next_number(self) -> int:
        """Return a number above all known ones."""
        self.highest += 1
        return self.highest

    def advance_past(self, number: int) -> None:
        """Make later numbers greater than this one, which another process has used."""
        self.highest = max(self.highest, number)


@dataclass(slots=True)
class ProposalRound:
    """One sending of a ballot's proposal, and the acceptors that have accepted this sending."""

    sent_at: float
    accepted_by: set[str] = field(default_factory=set)
