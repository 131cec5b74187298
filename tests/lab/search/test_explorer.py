"""The depth-first search: it explores every state once and reports the path to a violation."""

from dataclasses import dataclass, field

import pytest

from stepstream.lab.search.explorer import Node, Path, Search
from stepstream.lab.simulation.errors import InvariantError


@dataclass
class GridSearch(Search[tuple[int, int]]):
    """Search a square grid whose events are a step right and a step up.

    Entering the forbidden cell violates the invariant.
    """

    size: int
    forbidden_cell: tuple[int, int] | None = None
    visited: list[tuple[int, int]] = field(default_factory=list)

    def initial_state(self):
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
            if state == self.forbidden_cell:
                raise InvariantError(str(path))
            if max(state) < self.size:
                yield Node(state, path, node.depth + 1)


def test_every_state_is_explored_once():
    search = GridSearch(3)
    assert search.run()
    assert search.states == len(search.visited) == 9


def test_states_are_visited_depth_first():
    search = GridSearch(2)
    search.run()
    assert search.visited == [(0, 0), (1, 0), (1, 1), (0, 1)]


def test_the_error_of_a_violation_names_the_path_of_events():
    with pytest.raises(InvariantError, match="^right / up$"):
        GridSearch(3, forbidden_cell=(1, 1)).run()


def test_a_search_stops_unfinished_at_its_bound_of_states():
    search = GridSearch(3, max_states=4)
    assert not search.run()
    assert search.states == 4
