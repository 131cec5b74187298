"""The outcome of a client's attempt, and its translation from the platform's HTTP."""

from dataclasses import dataclass
from http import HTTPStatus

from stepstream.http.codec import Message
from stepstream.lab.verification.observations import FinalOutcome


@dataclass(frozen=True, slots=True)
class ReceivedResponse:
    """The outcome of one client attempt."""

    outcome: FinalOutcome
    result: str | None = None
    retry_after_seconds: float = 0.0


def received_http_response(message: Message) -> ReceivedResponse:
    """Return the outcome that an HTTP response means."""
    if message.status == HTTPStatus.OK:
        return ReceivedResponse(FinalOutcome.SERVED, message.body.decode())
    if message.status in (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE):
        return ReceivedResponse(
            FinalOutcome.REJECTED,
            retry_after_seconds=float(message.headers.get("retry-after", "0")),
        )
    return ReceivedResponse(FinalOutcome.FAILED)
