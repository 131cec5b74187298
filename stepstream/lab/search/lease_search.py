"""Search every order of events of three acceptors and two proposers of leases, within bounds.

`lease_model` has the events and the bounds. In every state, the lease may have one
holder at most.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from stepstream.lab.search.explorer import Node, Path, Search
from stepstream.lab.search.lease_model import Bounds, LeaseModel
from stepstream.lab.search.lease_state import LeaseState
from stepstream.lab.simulation.errors import TwoHoldersError


@dataclass
class LeaseSearch(Search[LeaseState]):
    """Search all paths within the bounds.

    Attributes:
        bounds: what bounds every path.
        model: the events of a state and the states after them.
        states_with_holder: the number of states in which a proposer holds the lease.

    """

    bounds: Bounds
    max_states: int | None = field(default=10_000_000, kw_only=True)
    model: LeaseModel = field(init=False)
    states_with_holder: int = field(default=0, init=False)

    def __post_init__(self) -> None:
        self.model = LeaseModel(self.bounds)

    def initial_state(self) -> LeaseState:
        """Return the state in which no message has been sent."""
        return self.model.initial_state()

    def expand(self, node: Node[LeaseState]) -> Iterator[Node[LeaseState]]:
        """Return the new states after each event, the last one first.

        All of them are added to `explored` and checked before the first one is expanded.
        """
        new_nodes: list[Node[LeaseState]] = []
        for name, successor in self.model.successors(node.state):
            if not self.add_explored(successor.key()):
                continue
            if self.is_exhausted:
                break
            path = Path(name, node.path)
            holders = self.model.holders(successor)
            if holders:
                self.states_with_holder += 1
            check_one_holder(holders, path)
            new_nodes.append(Node(successor, path, node.depth + 1))
        return reversed(new_nodes)


def check_one_holder(holders: list[str], path: Path) -> None:
    """Check that a lease has one holder at most; TwoHoldersError with the path if it has more.

    This guards against quorums that share no acceptor, and against a grant that an acceptor forgets
    before its holder does.
    """
    if len(holders) > 1:
        raise TwoHoldersError(str(path))
