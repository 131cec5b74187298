"""Open requests, their outbound calls, and the answer that ends a request.

These records are created by the fronts (`Request`) and the core (`Call`, `Answer`). The decision
thread owns the state of both while the request is open; the fields that a front or a carrier may
touch from its own threads say so. Times are microseconds on the node's clock.

`Payload`, `ResponseSink` and `CallCarrier` are what a request carries through the core. They stand
here because the core imports nothing of `ports`; `ports.carriers.Carrier` extends the last one.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from stepstream.model.events import AttemptResult
from stepstream.model.settings import Effect, Settings


@dataclass(frozen=True, slots=True)
class Payload:
    """What a worker is given of a request, in no protocol's form; every carrier can send it."""

    path: str  # class, further path and query as the client sent them
    body: bytes = b""  # the job's input
    idempotency_key: str = ""  # empty where the client gave none


class Outcome(Enum):
    """How a request ended for its client."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


class ResponseSink(Protocol):
    """Where the answer of a request goes.

    Implemented by the client connection of each front. The decision thread calls it, so no method
    may wait for a peer: a sink queues or writes without blocking.
    """

    def answer(self, answer: "Answer") -> None:
        """Send the final answer; called once a request."""

    def progress(self, done: int, of: int) -> None:
        """Report that `done` of `of` parts of the job are complete; a front may drop it."""


class CallCarrier(Protocol):
    """The part of a carrier that a call in flight needs; see `ports.carriers.Carrier`.

    The decision thread calls it; no method may wait for a worker.
    """

    def start(self, call: "Call") -> None:
        """Send the call to its worker."""

    def stop(self, call: "Call") -> None:
        """Give the call up: its outcome is of no use any more."""


@dataclass(eq=False, slots=True)
class Request:
    """A job of one client, from its arrival until it is answered and all its calls have ended.

    A front creates it and posts it with `RequestReceived`. From then on the decision thread owns
    it.
    """

    id: str
    job_class: int  # index into `settings.classes`
    arrived_us: int
    deadline_us: int  # the client gives up then; a shutdown may bring it forward
    tenant: int = 0  # index into `settings.tenants`
    key: str | None = None  # affinity key: requests of one key prefer the same workers
    slots: float = 1.0  # demand on a worker's slots
    memory: float = 0.0  # demand on a worker's memory
    client_retry: bool = False  # the client says that it repeats an earlier request
    payload: Payload = field(kw_only=True)  # for the carrier; the core does not read it
    response_sink: ResponseSink | None = None  # set by the front before it posts the request
    settings: Settings | None = (
        None  # the settings that `job_class` and `tenant` index; None: current
    )
    calls: "list[Call]" = field(default_factory=list)  # in the order of their numbers
    answered: bool = False  # the final answer is given, or none is owed
    # Set by the front's thread as soon as the client disconnects, before the core handles the
    # event.
    client_disconnected: bool = False

    @property
    def requires_new_connection(self) -> bool:
        """Whether its calls must not reuse an idle connection.

        A reused connection that breaks leaves open whether the job ran, and a job without
        idempotency must not run twice. Where the settings put a price on handshakes, idle
        connections are reused all the same.
        """
        if self.settings is None or self.settings.handshake_price:
            return False
        return self.settings.classes[self.job_class].effect is Effect.NOT_IDEMPOTENT

    @property
    def has_open_calls(self) -> bool:
        """Whether any of its calls is still in flight."""
        return any(call.open for call in self.calls)

    def next_call_write_deadline_us(self) -> int | None:
        """Return the time until which a further call may be written; None: no such limit.

        A worker drops the repeats of an idempotency key only inside the key's window, which starts
        with the first call that may have run.
        """
        if self.settings is None:
            return None
        job_class = self.settings.classes[self.job_class]
        if job_class.effect is not Effect.IDEMPOTENT_WITH_KEY:
            return None
        for call in self.calls:
            if call.result is None or not call.result.never_ran:
                return call.sent_us + job_class.idempotency_window_us
        return None


@dataclass(eq=False, slots=True)
class Call:
    """One attempt of a request at one worker.

    The decision thread creates and ends it. Carriers' threads read it, and own `carrier_state`
    alone.
    """

    request: Request
    number: int  # index into `request.calls`; the policy's attempt number
    worker_id: str
    sent_us: int  # when it was handed to its carrier
    deadline_us: int  # past it the call has timed out
    open: bool = True
    notified: bool = False  # a notification of the worker ended it and may be delivered again
    result: AttemptResult | None = None  # None while open
    write_deadline_us: int | None = None  # past it, no byte may be written; None: no such limit
    carrier: CallCarrier | None = None  # the carrier that started it
    carrier_state: object = None  # the carrier's own record of the call; opaque to everybody else

    @property
    def worker_finished(self) -> bool:
        """Whether its worker no longer works on it.

        A worker may not yet know of a call that timed out or was cancelled.
        """
        return not self.open and self.result not in (AttemptResult.TIMEOUT, AttemptResult.CANCELLED)

    @property
    def still_needed(self) -> bool:
        """Whether it is still worth sending: open, unanswered, and its client connected.

        Any thread may ask; the answer may be outdated by one event.
        """
        return self.open and not self.request.answered and not self.request.client_disconnected


@dataclass(frozen=True, slots=True)
class Answer:
    """The command to give a request its one final answer; see `core.commands`."""

    request: Request
    outcome: Outcome
    result: object = (
        None  # served: JSON value or `ports.payload.ChunkedResult`, as the worker gave it
    )
    retry_after_us: int = 0  # rejected: advice for the client; 0 gives none
