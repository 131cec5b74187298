"""Open requests, their outbound calls, and the answer that ends a request.

The fronts create each `Request`, the core each `Call` and `Answer`. The decision thread owns their
state while the request is open. A comment marks each field that a
front or a carrier may change from its own threads. Times are microseconds on the node's clock.

A request carries a `Payload`, a `ResponseSink` and the `CallCarrier` of each call through the core.
These types are defined here because the core imports nothing of `ports`; `ports.carriers.Carrier`
extends `CallCarrier`.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from stepstream.model.events import AttemptResult
from stepstream.model.records import record
from stepstream.model.settings import Effect, Settings


@record
class Payload:
    """The part of a request that its worker receives, independent of any protocol."""

    path: str  # job class, further path and query, as the client sent them
    body: bytes = b""  # the job's input
    idempotency_key: str = ""  # empty if the client sent none


class MemoryReservation(Protocol):
    """Memory that a front has reserved for a request's payload; any thread may release it."""

    def release(self) -> None:
        """Return the memory to the front's budget; repeated calls have no effect."""


class Outcome(Enum):
    """How a request ended for its client."""

    SERVED = "served"
    REJECTED = "refused"  # the platform's term for it
    FAILED = "failed"


class ResponseSink(Protocol):
    """The receiver of a request's answer, implemented by the client connection of each front.

    All methods but `has_peer_left` are called by the decision thread.

    No method may wait for a peer: a sink queues or writes without blocking.
    """

    def has_peer_left(self) -> bool:
        """Return whether nobody waits for the answer any more; any thread may call it.

        It asks the system, so it is true before the front has read up to the peer's close.
        """

    def answer(self, answer: "Answer") -> None:
        """Send the final answer; called once for each request."""

    def progress(self, done: int, total: int) -> None:
        """Report that `done` of `total` parts of the job are complete; a front may drop it."""


class CallCarrier(Protocol):
    """The part of a carrier that a call in flight needs; see `ports.carriers.Carrier`.

    The decision thread calls it; no method may wait for a worker.
    """

    def start(self, call: "Call") -> None:
        """Send the call to its worker."""

    def stop(self, call: "Call") -> None:
        """Stop the call: its outcome is no longer needed."""


@dataclass(eq=False, slots=True)
class Request:
    """A job of one client, from its arrival until it is answered and all its calls have ended.

    A front creates it and posts it with `RequestReceived`. From then on, the decision thread owns
    it.
    """

    id: str
    job_class: int  # index into `settings.classes`
    arrived_us: int
    deadline_us: int  # when the client stops waiting; a shutdown may move it to an earlier time
    tenant: int = 0  # index into `settings.tenants`
    key: str | None = None  # affinity key: requests of one key prefer the same workers
    slots: float = 1.0  # demand on a worker's slots
    memory: float = 0.0  # demand on a worker's memory
    client_retry: bool = False  # the client reports that it repeats an earlier request
    # For the carrier; the core does not read it. None once the request is answered, so that an
    # answered request holds no payload while its calls end.
    payload: Payload | None = field(kw_only=True)
    reservation: MemoryReservation | None = None  # of the payload; set by the front
    response_sink: ResponseSink | None = None  # set by the front before it posts the request
    # The settings that `job_class` and `tenant` index; None: the current ones.
    settings: Settings | None = None
    calls: "list[Call]" = field(default_factory=list)  # in the order of their attempt numbers
    # The core's timers of this request and of its calls; opaque to everybody else.
    timers: list[object] = field(default_factory=list)
    answered: bool = False  # it has its final answer, or its client has disconnected
    # Set by the front's thread when the client disconnects, before the core handles the event.
    client_disconnected: bool = False

    def release_payload(self) -> None:
        """Let go of the payload; no call of this request is written afterwards."""
        self.payload = None
        if self.reservation is not None:
            self.reservation.release()

    @property
    def requires_new_connection(self) -> bool:
        """Decide whether each of its calls needs a new connection.

        After a reset of a reused connection it is unknown whether the job ran, and a job that is
        not idempotent must not run twice (RFC 9112, 9.3.1). If the settings put a price on
        handshakes, its calls reuse idle connections all the same.
        """
        if self.settings is None or self.settings.handshake_price:
            return False
        return self.settings.classes[self.job_class].effect is Effect.NOT_IDEMPOTENT

    @property
    def may_have_run(self) -> bool:
        """Whether a worker may have run it, in any of its calls so far."""
        return any(call.result is None or not call.result.never_ran for call in self.calls)

    @property
    def has_open_calls(self) -> bool:
        """Whether any of its calls is still in flight."""
        return any(call.open for call in self.calls)

    def next_call_write_deadline_us(self) -> int | None:
        """Decide until when another call may be written; None: at any time.

        A worker drops repeats of an idempotency key only within the key's window. The window,
        `idempotency_window_us`, starts with the first call that may have run. A later repeat could
        run the job a second time.
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

    The decision thread creates and ends it. Carriers' threads read it; they change only
    `carrier_state`.
    """

    request: Request
    attempt_number: int  # index into `request.calls`
    worker_id: str
    sent_us: int  # when it was handed to its carrier
    deadline_us: int  # when the call times out
    open: bool = True
    # A notification ended the call; the worker may deliver that notification again.
    ended_by_notification: bool = False
    result: AttemptResult | None = None  # None while open
    write_deadline_us: int | None = None  # latest time to write its first byte; None: no limit
    carrier: CallCarrier | None = None  # the carrier that started it
    carrier_state: object = None  # the carrier's own record of the call; opaque to the core

    @property
    def worker_finished(self) -> bool:
        """Whether the call has ended and the worker certainly works on it no longer.

        After a timeout or a cancellation the worker may still work on the call, because the stop
        may not have reached it.
        """
        return not self.open and self.result not in (AttemptResult.TIMEOUT, AttemptResult.CANCELLED)

    @property
    def still_needed(self) -> bool:
        """Whether it is still worth sending: open, unanswered, and its client connected.

        Any thread may read it; the value may be one event old.
        """
        return self.open and not self.request.answered and not self.request.client_disconnected

    @property
    def client_has_left(self) -> bool:
        """Whether the client has closed its connection, though the front may not have read that.

        This is asked last before work leaves. Any thread may read it.
        """
        sink = self.request.response_sink
        return sink is not None and sink.has_peer_left()


@record
class Answer:
    """The command to give a request its one final answer; see `core.commands`."""

    request: Request
    outcome: Outcome
    # For SERVED: JSON value or `core.job_results.ChunkedResult`, as the worker returned it.
    result: object = None
    retry_after_us: int = 0  # for REJECTED: retry-after for the client; 0: none
