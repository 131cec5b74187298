"""The outcome of a client's attempt, and how to read it from an HTTP response."""

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


def response_from_http(message: Message) -> ReceivedResponse:
    """Return the outcome that an HTTP response stands for."""
    if message.status == HTTPStatus.OK:
        return ReceivedResponse(FinalOutcome.SERVED, message.body.decode())
    if message.status in (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE):
        return ReceivedResponse(
            FinalOutcome.REJECTED,
            retry_after_seconds=float(message.headers.get("retry-after", "0")),
        )
    return ReceivedResponse(FinalOutcome.FAILED)
