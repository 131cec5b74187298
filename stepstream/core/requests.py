"""Open requests and their outbound calls."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from stepstream.model.events import AttemptResult
from stepstream.model.settings import Effect, Settings

if TYPE_CHECKING:
    pass


@dataclass(eq=False, slots=True)
class Request:
    """One job of a client. `payload` and `origin` are for carrier and front; the core hands them back."""

    id: str
    job_class: int
    arrived_us: int
    deadline_us: int
    tenant: int = 0
    key: str | None = None
    slots: float = 1.0
    memory: float = 0.0
    client_retry: bool = False
    payload: object = None  # a ports.Payload
    response_sink: object = None  # a ports.Origin
    settings: Settings | None = None  # those that its numbers are of
    calls: "list[Call]" = field(default_factory=list)
    answered: bool = False
    client_disconnected: bool = (
        False  # its client has left: set by the front before the core hears of it
    )

    @property
    def requires_new_connection(self) -> bool:
        """A kept connection that breaks under it would cost it: it may have run and must not run twice."""
        if self.settings is None or self.settings.handshake_price:
            return False
        return self.settings.classes[self.job_class].effect is Effect.NOT_IDEMPOTENT


@dataclass(eq=False, slots=True)
class Call:
    """One outbound call; `handle` is its carrier's."""

    request: Request
    number: int
    worker_id: str
    sent_us: int
    deadline_us: int
    open: bool = True
    notified: bool = False  # ended by news; a repeat of that news may still be on its way
    result: AttemptResult | None = None  # how it ended
    write_deadline_us: int | None = (
        None  # a repeat of a keyed job: past it nothing of it may be written
    )
    carrier: object = None  # the ports.Carrier that took it
    carrier_state: object = None

    @property
    def worker_finished(self) -> bool:
        """Its worker is done with it: of one given up the word that ends it may still be on its way there."""
        return not self.open and self.result not in (AttemptResult.TIMEOUT, AttemptResult.CANCELLED)

    @property
    def still_needed(self) -> bool:
        """Whether it may still be sent: its client waits, and nobody else has answered."""
        return self.open and not self.request.answered and not self.request.client_disconnected


def write_deadline(request: Request) -> int | None:
    """Until when a further call of a keyed job may be written: its repeats are dropped only inside the
    window, which runs from the sending of the first call that may have run.
    """
    if request.settings is None:
        return None
    kind = request.settings.classes[request.job_class]
    if kind.effect is not Effect.IDEMPOTENT_WITH_KEY:
        return None
    ran = next((c for c in request.calls if c.result is None or not c.result.never_ran), None)
    return None if ran is None else ran.sent_us + kind.idempotency_window_us
