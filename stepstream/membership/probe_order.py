"""The order in which other members are probed; free of I/O.

SWIM, section 4.3: round-robin over a list that is shuffled after each traversal, with new members
inserted at random places, so that no member waits longer than two rounds. Owned by the failure
detector and the record merger of one protocol; touched only under the driver's lock.
"""

from stepstream.membership.context import ProtocolContext
from stepstream.membership.member_list import MemberList


class ProbeOrder:
    """The rest of the current round, and a suspect to probe before it."""

    def __init__(self, context: ProtocolContext, members: MemberList) -> None:
        self.context = context
        self.members = members
        self._round: list[str] = []  # taken from the end
        self._priority_target = ""  # the latest suspect only, so that suspects do not delay rounds

    def insert(self, name: str) -> None:
        """Add a member that has become present at a random place of the current round."""
        self._round.insert(self.context.rng.randint(0, len(self._round)), name)

    def prioritize(self, name: str) -> None:
        """Probe a suspect next, out of turn."""
        self._priority_target = name

    def next_target(self) -> str | None:
        """Return the next member to probe; None if there is no other one."""
        priority_target = self._priority_target
        self._priority_target = ""
        if priority_target in self.members.suspects:
            return priority_target
        while self._round:
            name = self._round.pop()
            if self.members.is_present(name):
                return name
        self._round = self.members.others()
        self.context.rng.shuffle(self._round)
        return self._round.pop() if self._round else None
