"""The driver runs the participant's timers and sends envelopes through the membership layer.

Owns the `leases` thread and the lock of the participant and of the sessions. The subsystem starts
the thread and stops it; every other call may come from any thread.

The clock is CLOCK_BOOTTIME: monotonic, and it goes on while the machine is suspended, as the other
members' clocks do. All times are its seconds.
"""

import threading
import time
from collections.abc import Callable

import structlog

from stepstream.leases.envelopes import OutgoingEnvelope
from stepstream.leases.messages import EnvelopeError, decode, encode
from stepstream.leases.participant import Participant, StateChange
from stepstream.leases.proposer import Proposer
from stepstream.ports.messaging import MessageTransport
from stepstream.runtime import log_events
from stepstream.runtime.log import RateLimitedLogger
from stepstream.runtime.structured_log import log_changes
from stepstream.runtime.threads import run_until_closed

MESSAGE_KIND = "lease"  # the kind of the membership layer's application messages
MAX_WAIT_SECONDS = 0.5
PERIODIC_TASK_INTERVAL_SECONDS = 0.5


def boot_time_seconds() -> float:
    """Return the time of the clock of all leases; only differences have a meaning."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def log_fields(change: StateChange) -> dict[str, object]:
    """Return the fields of the log line of a lease's transition."""
    return {
        "lease": change.lease,
        "before": change.before,
        "after": change.after,
        "token": change.token,
        "holder": change.proposer_id,
    }


class LeaseDriver:
    """Runs a participant.

    `run_periodic` is called by the thread twice a second with the time, without the lock; it must
    not wait.
    """

    def __init__(
        self,
        participant: Participant,
        transport: MessageTransport,
        malformed_logger: RateLimitedLogger,
        logger: structlog.BoundLogger,
        run_periodic: Callable[[float], None],
    ) -> None:
        self.participant = participant
        self.transport = transport
        self.malformed_logger = malformed_logger
        self.logger = logger
        self.run_periodic = run_periodic
        # Its lock guards the participant and the subsystem's sessions; notified with each change.
        self.state_changed = threading.Condition()
        self.last_periodic_at = 0.0  # of time.monotonic()
        self.stopped = False
        self.logged_mismatches: set[str] = set()  # members whose mismatch was logged
        transport.subscribe(MESSAGE_KIND, self.on_envelope)

    # -- any thread -------------------------------------------------------------------------------

    def on_envelope(self, member: str, data: bytes) -> None:
        """Take another member's envelope; one that cannot be read is dropped and logged."""
        try:
            envelope = decode(data)
        except EnvelopeError as error:
            self.malformed_logger.add(f"from {member}: {error}")
            return
        with self.state_changed:
            outgoing = self.participant.handle(boot_time_seconds(), member, envelope)
            self.state_changed.notify_all()
        self.send(outgoing)

    def acquire(self, lease: str, ttl_seconds: float, operation_seconds: float) -> Proposer:
        """Begin an attempt at a lease."""
        with self.state_changed:
            proposer, outgoing = self.participant.acquire(
                boot_time_seconds(), lease, ttl_seconds, operation_seconds
            )
            self.state_changed.notify_all()
        self.send(outgoing)
        return proposer

    def release(self, proposer: Proposer) -> None:
        """Release a lease; no operation may be under way."""
        with self.state_changed:
            outgoing = self.participant.release(boot_time_seconds(), proposer)
            self.state_changed.notify_all()
        self.send(outgoing)

    def send(self, outgoing: list[OutgoingEnvelope]) -> None:
        """Pass envelopes to the membership layer; the caller does not hold the lock."""
        for addressed in outgoing:
            self.transport.send(addressed.member, MESSAGE_KIND, encode(addressed.envelope))

    # -- the `leases` thread ----------------------------------------------------------------------

    def run(self) -> None:
        """Run the participant's timers until the driver is stopped."""
        # An error about one lease must not stop the renewals of all others.
        run_until_closed("leases", self.step, lambda: self.stopped, MAX_WAIT_SECONDS)

    def step(self) -> None:
        """Wait for the next timer or change, take the steps that are due, and log what changed."""
        with self.state_changed:
            self.wait_for_work()
            if self.transport.superseded():
                self.participant.acceptor = None  # a later process of this name is the acceptor now
            outgoing = self.participant.tick(boot_time_seconds())
            changes = list(self.participant.state_changes)
            self.participant.state_changes.clear()
            mismatches = set(self.participant.mismatched_members)
            if changes:
                self.state_changed.notify_all()
        self.send(outgoing)
        fields = [log_fields(change) for change in changes]
        log_changes(
            self.logger,
            log_events.lease_state_changed,
            log_events.lease_state_changes_omitted,
            fields,
        )
        self.log_mismatches(mismatches)
        now = time.monotonic()
        if now - self.last_periodic_at >= PERIODIC_TASK_INTERVAL_SECONDS:
            self.last_periodic_at = now
            self.run_periodic(boot_time_seconds())

    def wait_for_work(self) -> None:
        """Wait until the next timer is due or a change is notified; at most MAX_WAIT_SECONDS."""
        until_tick = self.participant.next_tick_at() - boot_time_seconds()
        wait_seconds = min(max(until_tick, 0.0), MAX_WAIT_SECONDS)
        if wait_seconds > 0:
            self.state_changed.wait(wait_seconds)

    def log_mismatches(self, mismatches: set[str]) -> None:
        """Log the members found since the last call to have another configuration."""
        for member in sorted(mismatches - self.logged_mismatches):
            log_events.lease_configuration_mismatch(
                self.logger,
                member=member,
                why="voters, drift and longest_s must be the same on all members",
            )
        self.logged_mismatches = mismatches
