"""Requests to the admin listener, the routes that subsystems add to it, and worker maintenance."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

import ujson

if TYPE_CHECKING:
    pass


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """An operator's call to a path that a subsystem has added; `parts` are the path's variable ones."""

    method: str
    parts: tuple[str, ...] = ()
    query: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """`text` as it goes out; 2xx is yes, 4xx or 5xx is no."""

    status: int
    text: str
    content_type: str = "text/plain"  # the content's type


def json_response(status: int, told: object) -> AdminResponse:
    return AdminResponse(
        status, ujson.dumps(told, escape_forward_slashes=False), "application/json"
    )


@dataclass(frozen=True, slots=True)
class AdminRoute:
    """A path of the admin listener: a regular expression for all of it, and the methods that it takes.

    `answer` is called by the admin listener's thread and must not wait.
    """

    pattern: str
    methods: frozenset[str]
    answer: Callable[[AdminRequest], AdminResponse]


class WorkerMaintenance(Protocol):
    """Operators' words on workers, as the admin listener's part keeps them."""

    on_change: (
        "Callable[[str, bool], None] | None"  # called with each word told here: worker, whether out
    )

    def apply_remote_change(self, worker: str, out: bool, by: str, at_us: int) -> None:
        """A word told at another dispatcher; any thread, never waits."""

    def draining(self) -> bool:
        """Whether this dispatcher is drained on an operator's word."""
