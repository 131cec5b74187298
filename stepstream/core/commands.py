"""Commands: what the core asks fronts, carriers and endpoint sources to do."""

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

pass
if TYPE_CHECKING:
    pass
from stepstream.core.events import JobNotification
from stepstream.core.requests import Call, Request


class Outcome(Enum):
    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class StartCall:
    call: Call


@dataclass(frozen=True, slots=True)
class StopCall:
    call: Call


@dataclass(frozen=True, slots=True)
class Answer:
    request: Request
    outcome: Outcome
    result: object = None
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Progress:
    request: Request
    done: int
    of: int


@dataclass(frozen=True, slots=True)
class CheckWorkerHealth:
    worker_id: str


@dataclass(frozen=True, slots=True)
class PollEndpoints:
    watch: bool


@dataclass(frozen=True, slots=True)
class LogMessage:
    text: str


@dataclass(frozen=True, slots=True)
class ForwardNotification:
    """News of a request that this process does not hold, for the process beside it."""

    notification: JobNotification


Command = (
    StartCall
    | StopCall
    | Answer
    | Progress
    | CheckWorkerHealth
    | PollEndpoints
    | LogMessage
    | ForwardNotification
)
