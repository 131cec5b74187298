"""Records of what emulated workers and clients observe: the input of the rules and the score.

All times are in microseconds on the lab's clock unless a name or comment says otherwise.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from stepstream.lab.load.scenario import PlannedRequest


class FinalOutcome(Enum):
    """How a client's request ended.

    The values are keys of the printed and stored results and keep the platform's spelling.
    """

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    LOST = "lost"
    """The connection ended without a response."""


class RequestKey(NamedTuple):
    """The identity of a client's request: a job of the scenario, and the client's attempt at it."""

    job_number: int  # PlannedRequest.number; negative if the job is not part of the scenario
    client_attempt: int  # 0 for the first


@dataclass(slots=True)
class Attempt:
    """One arrival of a client's request at a worker.

    The worker clears `open` when the attempt ends and sets `never_ran` if it rejected the attempt
    before any work began.
    """

    worker: str
    cell: int
    at_us: int
    open: bool = True
    never_ran: bool = False


@dataclass(slots=True)
class ClientRequest:
    """One request of a client, with all attempts of the dispatcher to serve it."""

    attempts: list[Attempt] = field(default_factory=list)
    results: set[str] = field(default_factory=set)  # results that workers produced for it
    outcomes: list[FinalOutcome] = field(default_factory=list)  # more than one is a breach

    def may_have_run(self) -> list[Attempt]:
        """Return the attempts that a worker did not reject before any work began."""
        return [attempt for attempt in self.attempts if not attempt.never_ran]


@dataclass(slots=True)
class JobRecord:
    """The outcome of one job over all requests of its client.

    `elapsed_us` is the time from the planned sending of the first request to the last response.
    """

    planned: PlannedRequest
    outcome: FinalOutcome | None = None
    elapsed_us: int = 0
