"""The depth-first search: every state once, in order, and the path to a violated invariant."""

from dataclasses import dataclass, field

import pytest

from stepstream.lab.search.explorer import Node, Path, Search
from stepstream.lab.simulation.errors import InvariantError


@dataclass
class GridSearch(Search[tuple[int, int]]):
    """Steps to the right and upwards in a square, in which one place may be forbidden."""

    size: int
    forbidden: tuple[int, int] | None = None
    visited: list[tuple[int, int]] = field(default_factory=list)

    def first(self):
        return (0, 0)

    def visit(self, node):
        if not self.add_explored(hash(node.state)):
            return False
        self.visited.append(node.state)
        return True

    def expand(self, node):
        column, row = node.state
        for event, state in (("right", (column + 1, row)), ("up", (column, row + 1))):
            path = Path(event, node.path)
            if state == self.forbidden:
                raise InvariantError(str(path))
            if max(state) < self.size:
                yield Node(state, path, node.depth + 1)


def test_every_state_is_explored_once():
    search = GridSearch(3)
    assert search.run()
    assert search.states == len(search.visited) == 9


def test_the_search_is_depth_first():
    search = GridSearch(2)
    search.run()
    assert search.visited == [(0, 0), (1, 0), (1, 1), (0, 1)]


def test_a_violation_names_the_path_to_it():
    with pytest.raises(InvariantError, match="^right / up$"):
        GridSearch(3, forbidden=(1, 1)).run()


def test_a_search_that_reaches_its_bound_gives_up_unfinished():
    search = GridSearch(3, max_states=4)
    assert not search.run()
    assert search.states == 4
