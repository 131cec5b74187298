"""Search every order of events of three membership protocols, to a stated depth.

`membership_state` has the events. In every state, no member that was dead or
had left may be present again with the same record (`EndedVersions`). A sample of the states is
continued on working links until all members agree.
"""

import pickle
from collections.abc import Iterator
from dataclasses import dataclass, field

from stepstream.lab.search.explorer import Node, Path, Search
from stepstream.lab.search.membership_state import MembershipState
from stepstream.lab.simulation.errors import InvariantError, NotRecoveredError


@dataclass
class MembershipSearch(Search[MembershipState]):
    """Search all paths of up to `max_depth` events.

    Attributes:
        max_restarts: the greatest number of restarts on a path.
        step_seconds: by how much an event of time advances the clock.
        convergence_interval: one in this many new states is continued until all members agree.
        converged_count: how many of the continued states reached agreement.

    """

    max_depth: int
    max_restarts: int = 1
    step_seconds: float = 0.25
    convergence_interval: int = 50
    converged_count: int = field(default=0, init=False)

    def initial_state(self) -> MembershipState:
        """Return the state in which all members have just started."""
        return MembershipState.initial()

    def visit(self, node: Node[MembershipState]) -> bool:
        """Return whether a state is new at its depth; check a sample of states for convergence."""
        if not self.add_explored(hash((node.state.key(), node.depth))):
            return False
        if self.states % self.convergence_interval == 0:
            check_converges(node)
            self.converged_count += 1
        return True

    def expand(self, node: Node[MembershipState]) -> Iterator[Node[MembershipState]]:
        """Yield the state after each event; InvariantError with the path if an invariant fails."""
        if node.depth == self.max_depth:
            return
        pickled = pickle.dumps(node.state)
        for name, apply_event in node.state.events(self.max_restarts, self.step_seconds):
            path = Path(name, node.path)
            successor: MembershipState = pickle.loads(pickled)
            try:
                apply_event(successor)
            except InvariantError as error:
                raise InvariantError(f"{error} after {path}") from error
            yield Node(successor, path, node.depth + 1)


def check_converges(node: Node[MembershipState]) -> None:
    """Check that all members agree once links work again; NotRecoveredError if they do not.

    This guards against an order of events after which the members can never agree again.
    """
    if not node.state.copy().converges():
        raise NotRecoveredError(f"members do not agree after {node.path or 'no event'}")
