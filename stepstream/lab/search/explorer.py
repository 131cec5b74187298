"""Explore every order of events of a small configuration, depth first.

A state is a node of a graph, an event an edge. `Search.run` starts at one state and follows every
event from every state that it has not explored yet. A state is recognized by the hash of its key,
so two paths that lead to one state are continued once. A violated invariant ends the search; its
error names the path of events that led there.

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

    Linked, so that a longer path costs one object and shares the rest.
    """

    event: str
    before: "Path | None" = None

    def events(self) -> list[str]:
        """Return the names of all events, first to last."""
        names: list[str] = []
        path: Path | None = self
        while path is not None:
            names.append(path.event)
            path = path.before
        return names[::-1]

    def __str__(self) -> str:
        return " / ".join(self.events())


@dataclass(frozen=True, slots=True)
class Node(Generic[StateT]):
    """A state, the path to it (None for the first one) and the number of events on it."""

    state: StateT
    path: Path | None = None
    depth: int = 0


@dataclass
class Search(ABC, Generic[StateT]):
    """Explore all paths; a subclass says which states follow which.

    `explored` has the hashes of the states' keys. `max_states` bounds it: the search gives up,
    unfinished, when it is reached; None for no bound.
    """

    explored: set[int] = field(default_factory=set, init=False)
    max_states: int | None = field(default=None, kw_only=True)

    @property
    def states(self) -> int:
        """How many different states were explored."""
        return len(self.explored)

    @property
    def is_exhausted(self) -> bool:
        """Whether the bound on the number of states is reached."""
        return self.max_states is not None and len(self.explored) >= self.max_states

    @abstractmethod
    def first(self) -> StateT:
        """Return the state at which every path begins."""

    @abstractmethod
    def expand(self, node: Node[StateT]) -> Iterator[Node[StateT]]:
        """Yield the nodes after this one; InvariantError with the path if one is wrong."""

    def visit(self, _node: Node[StateT]) -> bool:
        """Return whether to expand a node; checks of whole states belong here."""
        return True

    def add_explored(self, key: int) -> bool:
        """Return whether a state's key is new, and remember it."""
        if key in self.explored:
            return False
        self.explored.add(key)
        return True

    def run(self) -> bool:
        """Search depth first; return whether everything was explored.

        Raises:
            InvariantError: an invariant does not hold; the text names the path to that state.

        """
        pending: list[Iterator[Node[StateT]]] = [iter([Node(self.first())])]
        while pending and not self.is_exhausted:
            node = next(pending[-1], None)
            if node is None:
                pending.pop()
            elif self.visit(node):
                pending.append(self.expand(node))
        return not self.is_exhausted
