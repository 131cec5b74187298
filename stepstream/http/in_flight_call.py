"""The state of an outbound call between its start and the worker's answer.

Two threads use it: the calling thread, from a pool of `OutboundCarrier`, and the decision thread,
which may stop the call at any time. The lock of `InFlightCall` orders their steps.
"""

import threading
from enum import Enum

from stepstream.http.connection_pool import PooledConnection
from stepstream.http.exchange import ExchangePhase, HttpExchange
from stepstream.http.load_reports import Report
from stepstream.model.events import AttemptResult
from stepstream.runtime.sockets import shut_down


class CallPhase(Enum):
    """The progress of a call; each phase follows the one before it.

    UNSENT -- the request's last byte is written --> SENT
    SENT -- the worker answers 202 before the call is stopped --> ACCEPTED
    """

    UNSENT = 1
    SENT = 2
    ACCEPTED = 3  # the job's outcome arrives as a notification


class UnsentReason(Enum):
    """Why a call must not be written."""

    STOPPED = "the core has stopped it"
    NOT_NEEDED = "its client has disconnected, or another attempt was answered"
    QUEUED_TOO_LONG = "it has waited too long for a thread or a connection"
    IDEMPOTENCY_WINDOW_ENDED = (
        "the worker no longer recognizes it as a repeat of an earlier attempt"
    )
    CLIENT_LEFT = "its client has closed the connection, which the front has not read yet"
    ADDRESS_CHANGED = "the worker drains, is in maintenance or has moved"


class InFlightCall:
    """The carrier's record of a call."""

    __slots__ = ("lock", "connection", "stop_requested", "phase", "load_report")

    def __init__(self) -> None:
        # Guards `connection` and `stop_requested`, and the transition to ACCEPTED: a stop either
        # closes the connection before the answer is processed, or finds the job accepted.
        self.lock = threading.Lock()
        self.connection: PooledConnection | None = None  # while an exchange is under way
        self.stop_requested = False
        self.phase = CallPhase.UNSENT  # written by the calling thread only
        self.load_report: Report | None = None  # written by the calling thread only

    def request_stop(self) -> None:
        """Shut down the connection of the exchange, if one is under way; never waits."""
        with self.lock:
            self.stop_requested = True
            if self.connection is not None:
                shut_down(self.connection.sock)

    def finish_exchange(self, exchange: HttpExchange) -> bool:
        """Release the connection and return whether it may be reused.

        An answer after a stop is ignored: the core has ended the call, and its job is cancelled.
        """
        with self.lock:
            self.connection = None
            if self.stop_requested:
                return False
            if exchange.phase is ExchangePhase.JOB_ACCEPTED:
                self.phase = CallPhase.ACCEPTED
            return exchange.connection_reusable

    def may_run_after_stop(self, result: AttemptResult | None) -> bool:
        """Decide whether the worker may run the job of a stopped call; if so, it must be cancelled.

        The worker may have sent its 202 before it saw the connection close. The job cannot run if
        the request was not written, or if the worker answered that it has not started the job.
        """
        has_rejected_job = result is AttemptResult.FULL
        return self.stop_requested and self.phase is CallPhase.SENT and not has_rejected_job
