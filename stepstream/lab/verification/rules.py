"""The rules that a dispatcher must keep, each in one function.

A rule reads one observation and returns the text of the breach that it finds, or None. The
observations come from the emulated workers and clients, never from the dispatcher itself. Together
the rules state four invariants:

1. Every client request gets exactly one final response: served with a result that a worker produced
   for it, rejected only if a retry is harmless, or failed.
2. A job that may have run is sent again only as far as its class allows.
3. A worker receives no new work later than the grace period after the dispatcher was informed that
   the worker drains or is gone.
4. No worker that is warming up gets so much load that it fails.

To add a rule: write a function here that takes the observation (`Arrival`, `Response` or
`OverloadFailure`), append it to the tuple of that observation at the end of this module, and add a
case to `tests/lab/verification/test_delivery_rules.py`. If the rule needs more than the observation
holds, add a field to it and fill the field in `Verifier`, which builds each observation in one
place.
"""

from collections.abc import Callable
from dataclasses import dataclass

from stepstream.lab.emulator.clock import US_PER_MS, US_PER_SECOND
from stepstream.lab.load.site import JobClassTable, JobEffect
from stepstream.lab.verification.observations import Attempt, ClientRequest, FinalOutcome

SOCKET_TOLERANCE_US = 50_000
"""Added to every time limit, because requests and notifications travel over real sockets."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """An attempt that has just reached a worker."""

    attempt: Attempt
    earlier: tuple[Attempt, ...]
    """Earlier attempts for the same client request that may have run, oldest first."""

    job_class: JobClassTable
    drain_known_since_us: int | None
    """When the dispatcher was informed that the worker drains or is gone; None if it is active."""

    drain_grace_us: int
    description: str
    """Job class, job, client attempt and worker, for the text of a breach."""


@dataclass(frozen=True, slots=True)
class Response:
    """A final response that a client has just received, or the loss of its connection."""

    outcome: FinalOutcome
    result: str | None
    request: ClientRequest
    """The request that it belongs to; `request.outcomes` includes this response."""

    job_class: JobClassTable
    description: str
    """Job class, job and client attempt, for the text of a breach."""


@dataclass(frozen=True, slots=True)
class OverloadFailure:
    """A worker that failed because it was offered too much work while warming up."""

    worker: str


# -- at a worker, when an attempt arrives ---------------------------------------------------------


def no_new_work_after_drain(arrival: Arrival) -> str | None:
    """Find work for a worker that drains or is gone (invariant 3).

    Compares the attempt's arrival with the time when the dispatcher was informed. Tolerance: the
    site's `drain_grace_ms` plus `SOCKET_TOLERANCE_US`. Guards against a dispatcher that works on an
    outdated endpoint list: such jobs delay the worker's shutdown or are lost with it.
    """
    since_us = arrival.drain_known_since_us
    if since_us is None:
        return None
    elapsed_us = arrival.attempt.at_us - since_us
    if elapsed_us <= arrival.drain_grace_us + SOCKET_TOLERANCE_US:
        return None
    return f"new work after the drain: {arrival.description}, {elapsed_us / US_PER_SECOND:.3f} s"


def one_open_attempt_per_worker(arrival: Arrival) -> str | None:
    """Find a second attempt at a worker where one for the same request is open (invariant 2).

    Compares the attempt with the open attempts of its request. No tolerance. Guards
    against a hedged request or a retry that occupies the same worker twice.
    """
    worker = arrival.attempt.worker
    if any(other.worker == worker and other.open for other in arrival.earlier):
        return f"second open attempt at one worker: {arrival.description}"
    return None


def no_repetition_without_idempotency(arrival: Arrival) -> str | None:
    """Find a repetition of a job that is not idempotent and may have run (invariant 2).

    Compares the attempt with the earlier attempts of its request. No tolerance. Guards
    against a side effect that happens twice.
    """
    if arrival.earlier and arrival.job_class.effect is JobEffect.NOT_IDEMPOTENT:
        return f"sent again though it may have run: {arrival.description}"
    return None


def repetition_inside_cell(arrival: Arrival) -> str | None:
    """Find a repetition with an idempotency key in another cell (invariant 2).

    Compares the attempt with the first attempt of its request that may have run. No tolerance.
    Guards against a side effect that happens twice: only the workers of one cell share the record
    of idempotency keys.
    """
    if not arrival.earlier or arrival.job_class.effect is not JobEffect.IDEMPOTENT_WITH_KEY:
        return None
    if arrival.earlier[0].cell != arrival.attempt.cell:
        return f"repeated outside the cell of its first attempt: {arrival.description}"
    return None


def repetition_inside_window(arrival: Arrival) -> str | None:
    """Find a repetition with an idempotency key after the key's window (invariant 2).

    Compares the attempt with the first attempt of its request that may have run. Tolerance:
    `SOCKET_TOLERANCE_US` beyond the class's `window_ms`. Guards against a side effect that happens
    twice: workers forget a key after the window.
    """
    if not arrival.earlier or arrival.job_class.effect is not JobEffect.IDEMPOTENT_WITH_KEY:
        return None
    window_us = arrival.job_class.window_ms * US_PER_MS
    if arrival.attempt.at_us > arrival.earlier[0].at_us + window_us + SOCKET_TOLERANCE_US:
        return f"repeated after its idempotency window: {arrival.description}"
    return None


# -- at a client, when a response arrives ---------------------------------------------------------


def one_final_response(response: Response) -> str | None:
    """Find a second final response to one request (invariant 1).

    Compares the response with the earlier ones to its request. No tolerance. Guards against a
    dispatcher that completes a request twice, such as after a hedged request.
    """
    if len(response.request.outcomes) > 1:
        return f"second final response: {response.description}"
    return None


def no_lost_request(response: Response) -> str | None:
    """Find the end of a connection without a response (invariant 1).

    Reads the end of the client's connection. No tolerance. Guards against a dispatcher that drops a
    request that it accepted.
    """
    if response.outcome is FinalOutcome.LOST:
        return f"lost: {response.description}"
    return None


def result_from_a_worker(response: Response) -> str | None:
    """Find a result that no worker produced for this request (invariant 1).

    Compares the response with the results that workers recorded for its request. No tolerance: a
    worker records a result before it sends it. Guards against results that are mixed up or stale.
    """
    is_served = response.outcome is FinalOutcome.SERVED
    if is_served and response.result not in response.request.results:
        return f"served with a result that no worker produced for it: {response.description}"
    return None


def rejection_only_if_retry_is_harmless(response: Response) -> str | None:
    """Find a rejection of a job that may have run (invariant 1).

    Applies to every class but those with `JobEffect.IDEMPOTENT`, which may run again at any time.
    Compares the response with the attempts of its request. No tolerance. Guards against a
    rejection that invites the client to retry a job that a worker has already accepted.
    """
    if response.outcome is not FinalOutcome.REJECTED:
        return None
    if response.job_class.effect is JobEffect.IDEMPOTENT:
        return None
    if response.request.may_have_run():
        return f"refused though it may have run: {response.description}"
    return None


# -- at a worker, when it fails -------------------------------------------------------------------


def no_overload_while_warming_up(failure: OverloadFailure) -> str | None:
    """Find an overload that makes a worker fail during its slow start (invariant 4).

    Reads the failure of a worker model. Tolerance: the site's `overload_multiple` of the
    worker's capacity within `overload_window_ms`, which the model itself applies. Guards against a
    dispatcher that sends a full share of the load to a worker that has just started.
    """
    return f"worker overloaded until it failed while warming up: {failure.worker}"


# The rules of each observation, in the order in which their breaches are recorded.

ARRIVAL_RULES: tuple[Callable[[Arrival], str | None], ...] = (
    no_new_work_after_drain,
    one_open_attempt_per_worker,
    no_repetition_without_idempotency,
    repetition_inside_cell,
    repetition_inside_window,
)
RESPONSE_RULES: tuple[Callable[[Response], str | None], ...] = (
    one_final_response,
    no_lost_request,
    result_from_a_worker,
    rejection_only_if_retry_is_harmless,
)
OVERLOAD_RULES: tuple[Callable[[OverloadFailure], str | None], ...] = (
    no_overload_while_warming_up,
)
