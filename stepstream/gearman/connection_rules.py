"""The rules that slow down, close and evict Gearman connections, as pure functions.

A connection passes a snapshot of its state as a `ConnectionView` and carries the decision out.
Times are monotonic seconds.
"""

import math
from dataclasses import dataclass
from enum import Enum

from stepstream.config.limits import GearmanLimits, Timeouts
from stepstream.gearman.codec import Packet, PacketKind, TextLine
from stepstream.gearman.job_admission import SUBMIT_JOB_KINDS
from stepstream.gearman.session import Step
from stepstream.ports.connections import EvictionRank, EvictionState

REGISTRATION_KINDS = frozenset(
    (
        PacketKind.CAN_DO,
        PacketKind.CAN_DO_TIMEOUT,
        PacketKind.CANT_DO,
        PacketKind.RESET_ABILITIES,
        PacketKind.SET_CLIENT_ID,
    )
)


@dataclass(slots=True)
class ConnectionView:
    """The state of a connection that decisions use."""

    is_worker: bool
    has_open_request: bool  # the peer waits for the outcome of a job
    has_unsent_bytes: bool
    session_closed: bool  # the session has given its last reply
    session_idle: bool  # no message is partly received
    has_sent_work: bool  # the peer has sent a message for the service
    phase_started_at_seconds: float  # first byte of the message, or end of the last reply
    last_activity_at_seconds: float  # last byte received
    sent_at_seconds: float  # when the peer last took some of the unsent bytes
    has_unhandled_messages: bool = False  # complete messages that the service has not handled yet

    @property
    def is_in_use(self) -> bool:
        """Whether closing it would lose something: a message, a job's outcome, or a worker."""
        return self.has_open_request or self.is_worker or self.has_unhandled_messages


class TimeoutAction(Enum):
    """What a timeout check does with a connection."""

    NONE = 1
    CLOSE = 2
    REPLY_AND_CLOSE = 3  # reply that a message took too long to arrive, then close


def timeout_action(view: ConnectionView, now_seconds: float, timeouts: Timeouts) -> TimeoutAction:
    """Decide whether a timeout of a connection has passed at `now_seconds`.

    Without timeouts, each peer that sends half a message, stays silent or reads nothing would
    occupy a reader thread and one of the limited connections. A worker may sleep for hours: only
    the kernel's keep-alive ends its connection.
    """
    if view.has_unsent_bytes and now_seconds - view.sent_at_seconds > timeouts.write_seconds:
        return TimeoutAction.CLOSE
    phase_seconds = now_seconds - view.phase_started_at_seconds
    if not view.session_closed and not view.session_idle:
        is_slow = phase_seconds > timeouts.message_seconds
        return TimeoutAction.REPLY_AND_CLOSE if is_slow else TimeoutAction.NONE
    if view.session_closed:
        has_expired = phase_seconds > timeouts.linger_seconds
    elif not view.has_sent_work:
        has_expired = phase_seconds > timeouts.first_message_seconds
    else:
        idle_seconds = now_seconds - view.last_activity_at_seconds
        has_expired = not view.is_in_use and idle_seconds > timeouts.inbound_idle_seconds
    return TimeoutAction.CLOSE if has_expired else TimeoutAction.NONE


def eviction_state(
    view: ConnectionView, now_seconds: float, unproven_seconds: float
) -> EvictionState:
    """Return a connection's rank for eviction, and the time since which it is inactive.

    A connection that has sent nothing for `unproven_seconds` is evicted before an idle client,
    because it may never send anything.
    """
    if view.is_in_use or view.has_unsent_bytes:
        return EvictionState(EvictionRank.NEVER, math.inf)
    if view.session_closed:
        return EvictionState(EvictionRank.DONE, view.last_activity_at_seconds)
    if view.has_sent_work:
        return EvictionState(EvictionRank.IDLE, view.last_activity_at_seconds)
    is_unused = now_seconds - view.phase_started_at_seconds >= unproven_seconds
    rank = EvictionRank.UNUSED if is_unused else EvictionRank.NEW
    return EvictionState(rank, view.phase_started_at_seconds)


def delays_shutdown(view: ConnectionView, *, server_is_closing: bool) -> bool:
    """Decide whether a shutdown waits for a connection.

    It waits while bytes or an outcome are still due to the peer, and while a message is partly
    received or not handled yet. Until the server closes idle connections, it also waits for each
    client, which may still submit jobs.
    """
    if view.session_closed:
        return view.has_unsent_bytes
    is_client = view.has_sent_work and not view.is_worker
    client_may_submit = is_client and not server_is_closing
    is_owed = view.has_open_request or view.has_unsent_bytes or view.has_unhandled_messages
    return is_owed or client_may_submit or not view.session_idle


def closes_when_idle(view: ConnectionView) -> bool:
    """Decide whether a drain or shutdown closes a connection now.

    It does so only between messages and with nothing left to send. Otherwise the peer would lose a
    message or an outcome.
    """
    return not view.is_in_use and not view.has_unsent_bytes and view.session_idle


def costs_registration_credit(step: Step) -> bool:
    """Decide whether a step spends registration credit.

    For a registration the policy goes through its list of workers; a text command goes through all
    jobs or connections. Without a limit one peer could keep the front's lock from all others.
    """
    if isinstance(step, Packet):
        return step.kind in REGISTRATION_KINDS
    return isinstance(step, TextLine)


def waits_for_core(step: Step) -> bool:
    """Decide whether a step waits while the core has a backlog of events; only submissions do."""
    return isinstance(step, Packet) and step.kind in SUBMIT_JOB_KINDS


@dataclass(slots=True)
class RegistrationCredit:
    """How many registrations and text commands a peer may send before it is slowed down.

    Only the connection's reader thread uses it. The credit grows by one per pause length, up to a
    limit: a peer may register a burst of functions, then one per pause length.
    """

    credit: float
    updated_at_seconds: float

    def spend(self, now_seconds: float, limits: GearmanLimits) -> float:
        """Spend one unit of credit; return how many seconds to pause before the step, or 0.0."""
        pause_seconds = limits.registration_change_pause_seconds
        earned = (now_seconds - self.updated_at_seconds) / pause_seconds
        self.credit = min(self.credit + earned, limits.registration_changes) - 1
        self.updated_at_seconds = now_seconds
        return pause_seconds if self.credit < 0 else 0.0
