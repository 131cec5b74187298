"""Carriers of calls to workers, and health checkers."""

from collections.abc import Callable
from typing import Protocol

from stepstream.core.requests import CallCarrier
from stepstream.model.events import HealthChecked


class Carrier(CallCarrier, Protocol):
    """Carries the calls to the workers of one endpoint source.

    Implemented by the HTTP outbound carrier and the Gearman front. The node calls it on the
    decision thread, so no method may wait. The end of a call is posted to the core as an event:
    `CallEnded` if its worker has not accepted the job, `JobNotification` if the worker reports
    on the job.
    """

    def check_health(self, worker: str) -> None:
        """Check a worker's health; post the result to the core as `HealthChecked`."""


class HealthChecker(Protocol):
    """Checks the health of discovery's workers for the core or another subsystem.

    Implemented by the HTTP outbound carrier; any thread may call it.
    """

    def check_health(
        self, worker: str, on_result: Callable[[HealthChecked], None] | None = None
    ) -> None:
        """Check a worker's health without waiting for the result.

        The carrier calls `on_result` with the result on a thread of its own; without `on_result`,
        it posts the result to the core.
        """
