"""The state of an outbound call between its start and the worker's answer.

Two threads meet here: the calling thread, which a pool of `OutboundCarrier` runs, and the decision
thread, which may stop the call at any time. `InFlightCall` orders them by its lock.
"""

import threading
from enum import Enum

from stepstream.http.connection_pool import PooledConnection
from stepstream.http.exchange import ExchangePhase, HttpExchange
from stepstream.http.load_reports import Report
from stepstream.model.events import AttemptResult
from stepstream.runtime.sockets import shut_down


class CallPhase(Enum):
    """What of a call has gone out; each phase follows the one before it.

    UNSENT -- the request's last byte is written --> SENT -- 202, and no stop before it --> ACCEPTED
    """

    UNSENT = 1
    SENT = 2
    ACCEPTED = 3  # the job's outcome arrives as a notification


class UnsentReason(Enum):
    """Why a call must not be written, or not any more."""

    STOPPED = "the core has stopped it"
    NOT_NEEDED = "its client has gone, or another copy has answered"
    QUEUED_TOO_LONG = "it has waited too long for a thread or a connection"
    WINDOW_OVER = "the worker no longer recognizes it as a repeat of an earlier copy"
    ADDRESS_CHANGED = "the worker drains, is in maintenance or has moved"


class InFlightCall:
    """What the carrier keeps with a call."""

    __slots__ = ("lock", "connection", "stop_requested", "phase", "load_report")

    def __init__(self) -> None:
        # Guards `connection` and `stop_requested`, and the step to ACCEPTED: a stop either closes
        # the connection before the answer counts, or finds the job accepted.
        self.lock = threading.Lock()
        self.connection: PooledConnection | None = None  # while an exchange is under way
        self.stop_requested = False
        self.phase = CallPhase.UNSENT  # written by the calling thread only
        self.load_report: Report | None = None  # of the calling thread

    def request_stop(self) -> None:
        """End the exchange, if one is under way; never waits for it."""
        with self.lock:
            self.stop_requested = True
            if self.connection is not None:
                shut_down(self.connection.sock)

    def finish_exchange(self, exchange: HttpExchange) -> bool:
        """Let go of the connection and return whether it may be used again.

        An answer after a stop counts for nothing: the core has ended the call, and a 202 is
        followed by a cancellation.
        """
        with self.lock:
            self.connection = None
            if self.stop_requested:
                return False
            if exchange.phase is ExchangePhase.JOB_ACCEPTED:
                self.phase = CallPhase.ACCEPTED
            return exchange.connection_reusable

    def may_run_after_stop(self, result: AttemptResult | None) -> bool:
        """Return whether a stopped job may run: its 202 may have crossed our closing."""
        return (
            self.stop_requested
            and self.phase is CallPhase.SENT
            and result is not AttemptResult.FULL
        )
