"""Carriers of calls to workers, health checks and sources of endpoints."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from stepstream.core.requests import Call
    from stepstream.model.events import HealthChecked


class Carrier(Protocol):
    """Takes calls to the workers of one source. None of these waits.

    What becomes of a call is posted to the core: `CallEnded` where it never reached the job's end by the
    carrier's own knowledge, `Told` where its worker says so.
    """

    def start(self, call: "Call") -> None: ...

    def stop(self, call: "Call") -> None: ...

    def check_health(self, worker: str) -> None: ...


class HealthChecker(Protocol):
    """Probes a worker for whoever asks."""

    def check_health(
        self, worker: str, on_result: "Callable[[HealthChecked], None] | None" = None
    ) -> None:
        """Never waits; the outcome goes to `told`, from a thread of its own, or else to the core."""


class EndpointSource(Protocol):
    """Says which workers there are: it posts `Listed` to the core, and may be asked to."""

    def poll(self, watch: bool) -> None: ...
