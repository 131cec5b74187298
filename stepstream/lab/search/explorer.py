"""Explore every order of events of a small configuration, depth first.

A state is a node of a graph, an event an edge. `Search.run` starts at one state and follows every
event from every state that it has not explored yet. A state is recognized by the hash of its key.
If two paths lead to the same state, only the first one is continued. A violated invariant ends the
search; its error names the path of events that led to the violation.

A `Search` owns all its states; only the thread that runs it may touch them.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

StateT = TypeVar("StateT")


@dataclass(frozen=True, slots=True)
class Path:
    """The events that led to a state: the last one, and the path before it.

    Paths are linked lists: a path that is longer by one event shares the rest with the shorter one.
    """

    event: str
    previous: "Path | None" = None

    def events(self) -> list[str]:
        """Return the names of all events, first to last."""
        names: list[str] = []
        path: Path | None = self
        while path is not None:
            names.append(path.event)
            path = path.previous
        return names[::-1]

    def __str__(self) -> str:
        return " / ".join(self.events())


@dataclass(frozen=True, slots=True)
class Node(Generic[StateT]):
    """A state, the path to it (None for the initial state) and the number of events on the path."""

    state: StateT
    path: Path | None = None
    depth: int = 0


@dataclass
class Search(ABC, Generic[StateT]):
    """Explore all paths; a subclass says which states follow which.

    `explored` has the hashes of the states' keys. The search stops unfinished when it has
    `max_states` of them; None sets no bound.
    """

    explored: set[int] = field(default_factory=set, init=False)
    max_states: int | None = field(default=None, kw_only=True)

    @property
    def states(self) -> int:
        """The number of different states that were explored."""
        return len(self.explored)

    @property
    def is_exhausted(self) -> bool:
        """Whether the bound on the number of states is reached."""
        return self.max_states is not None and len(self.explored) >= self.max_states

    @abstractmethod
    def initial_state(self) -> StateT:
        """Return the state at which every path begins."""

    @abstractmethod
    def expand(self, node: Node[StateT]) -> Iterator[Node[StateT]]:
        """Yield the nodes after this one.

        Raises:
            InvariantError: a node violates an invariant; the text names the path to it.

        """

    def visit(self, _node: Node[StateT]) -> bool:
        """Return whether to expand a node. A subclass checks whole states here."""
        return True

    def add_explored(self, key: int) -> bool:
        """Add a state's key to `explored`; return whether it is new."""
        if key in self.explored:
            return False
        self.explored.add(key)
        return True

    def run(self) -> bool:
        """Search depth first; return whether every reachable state was explored.

        Raises:
            InvariantError: an invariant does not hold; the text names the path to that state.

        """
        pending: list[Iterator[Node[StateT]]] = [iter([Node(self.initial_state())])]
        while pending and not self.is_exhausted:
            node = next(pending[-1], None)
            if node is None:
                pending.pop()
            elif self.visit(node):
                pending.append(self.expand(node))
        return not self.is_exhausted
