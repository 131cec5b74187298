"""Requests to the admin listener, the routes that subsystems add to it, and worker maintenance."""

from collections.abc import Callable, Mapping
from dataclasses import field
from typing import Protocol

from stepstream.model.records import record

# Methods of an admin route. Changes use PUT; POST is accepted as well, as on the admin
# listeners of other proxies.
READ_METHODS = frozenset({"GET", "HEAD"})
WRITE_METHODS = frozenset({"PUT", "POST"})


@record
class AdminRequest:
    """An operator's request to a path that a subsystem has added."""

    method: str
    path_parameters: tuple[str, ...] = ()  # the groups of the route's pattern, percent-decoded
    query: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""


@record
class AdminResponse:
    """The response to an operator's request."""

    status: int  # HTTP status: 2xx for success, 4xx or 5xx otherwise
    text: str  # the body
    content_type: str = "text/plain"


@record
class AdminRoute:
    """A path of the admin listener that a subsystem serves."""

    pattern: str  # regular expression that the whole path matches
    methods: frozenset[str]
    handler: Callable[
        [AdminRequest], AdminResponse
    ]  # on the admin listener's thread; must not wait


class WorkerMaintenance(Protocol):
    """The operators' maintenance of workers, as other subsystems see it.

    Implemented by the admin subsystem, called by the membership and lease subsystems. Any thread
    may call it; no method waits.
    """

    # Set by the membership subsystem before the admin listener opens. The admin listener's thread
    # calls it for each operator's command at this dispatcher, with the worker id and whether the
    # worker is in maintenance from now on. It must not wait.
    on_change: Callable[[str, bool], None] | None

    def apply_remote_change(
        self,
        worker_id: str,
        in_maintenance: bool,  # noqa: FBT001  the pair that `on_change` reports
        member: str,
        at_us: int,
    ) -> None:
        """Apply an operator's command that another member has received.

        `at_us`: when `member` accepted it, in microseconds since the epoch on its clock.
        """

    def draining(self) -> bool:
        """Return whether an operator has started a drain of this dispatcher."""
