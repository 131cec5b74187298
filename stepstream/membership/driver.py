"""The membership thread and its UDP socket.

The driver owns the socket, the thread's loop and the lock that guards the protocol. The membership
thread, the admin listener's thread and the senders of application messages take the lock for each
call. Timeouts are in monotonic time.
"""

import random
import select
import socket
import threading
import time
from collections.abc import Callable

import structlog

from stepstream.config.limits import Limits
from stepstream.config.operator_file import split_address
from stepstream.membership.application_messages import ReceivedMessage
from stepstream.membership.event_history import MembershipEvent
from stepstream.membership.messages import (
    MAX_DATAGRAM_BYTES,
    InvalidDatagramError,
    decode,
    encode,
)
from stepstream.membership.outbox import OutgoingDatagram
from stepstream.membership.protocol import MembershipProtocol
from stepstream.runtime import log_events
from stepstream.runtime.log import RateLimitedLogger
from stepstream.runtime.structured_log import log_changes
from stepstream.runtime.threads import run_until_closed

MAX_READS_PER_CYCLE = 64  # a flood of datagrams must not delay the timers
PERIODIC_TASK_INTERVAL_SECONDS = 0.2
LEAVE_TRANSMISSIONS = 3  # a datagram may be lost
LEAVE_PAUSE_SECONDS = 0.02

# A generation is the start's Unix time in milliseconds times this number, plus a random number
# below it.
GENERATIONS_PER_MILLISECOND = 1_024
NANOSECONDS_PER_MILLISECOND = 1_000_000
MILLISECONDS_PER_SECOND = 1_000

MessageHandler = Callable[[str, bytes], None]  # takes the sender's name and the data


def new_generation(rng: random.Random) -> int:
    """Return a generation for a start now, greater than any of an earlier millisecond."""
    return first_generation_of_now() + rng.randrange(GENERATIONS_PER_MILLISECOND)


def newest_generation() -> int:
    """Return the greatest generation that a process started by now can have."""
    return first_generation_of_now() + GENERATIONS_PER_MILLISECOND - 1


def first_generation_of_now() -> int:
    """Return the smallest generation of a start in the current millisecond."""
    now_ms = time.time_ns() // NANOSECONDS_PER_MILLISECOND
    return now_ms * GENERATIONS_PER_MILLISECOND


def log_fields(event: MembershipEvent) -> dict[str, object]:
    """Return the fields of an event's log line; operators' tools depend on these names."""
    return {
        "member": event.name,
        "before": event.before,
        "after": event.after,
        "by": event.reported_by,
        "why": event.reason,
    }


class Driver:
    """Runs a protocol on a UDP socket.

    The thread calls `run_periodic_task` a few times a second with the lock held; it must not block.
    The constructor raises OSError if the address cannot be bound. SO_REUSEPORT lets both processes
    of a hot restart bind it.
    """

    def __init__(
        self,
        address: tuple[str, int],
        protocol: MembershipProtocol,
        limits: Limits,
        logger: structlog.BoundLogger,
        run_periodic_task: Callable[[float], None],
    ) -> None:
        self.protocol = protocol
        self.logger = logger
        self.run_periodic_task = run_periodic_task
        self.lock = threading.Lock()  # guards the protocol and the results of the periodic task
        self.dropped_datagrams = RateLimitedLogger(log_events.membership_datagram_dropped, limits)
        self.unsent_datagrams = 0
        self.cpu_seconds = 0.0  # CPU time of the membership thread
        self.is_closed = False
        self.message_handlers: dict[str, MessageHandler] = {}  # by kind of application message
        self._last_logged_event = 0
        self._periodic_task_ran_at = 0.0
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            self.socket.bind(address)
            self.socket.setblocking(False)  # noqa: FBT003  the library's signature
        except OSError:
            self.socket.close()
            raise

    def run(self) -> None:
        """Run the membership thread's loop until the driver is closed."""
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        # An exception while one datagram is handled must not end the thread.
        run_until_closed(
            "fleet",
            lambda: self.run_cycle(poll),
            lambda: self.is_closed,
            PERIODIC_TASK_INTERVAL_SECONDS,
        )
        self.socket.close()

    def run_cycle(self, poll: "select.poll") -> None:
        """Wait for a datagram or a timer, let the protocol handle it, and send the answers."""
        with self.lock:
            deadline = self.protocol.next_tick_at()
        until_deadline = max(deadline - time.monotonic(), 0.0)
        wait_seconds = min(until_deadline, PERIODIC_TASK_INTERVAL_SECONDS)
        poll.poll(wait_seconds * MILLISECONDS_PER_SECOND)
        with self.lock:
            # `tick` notices a stall of this process; it must run before datagrams that queued up
            # during the stall are handled.
            outgoing = self.protocol.tick(time.monotonic())
            outgoing += self.receive()
            self._run_periodic_task_if_due()
            events = self._events_to_log()
            messages = self.protocol.application.take_received()
            self.is_closed = self.is_closed or self.protocol.members.superseded_by is not None
        self.transmit(outgoing)
        event_fields = [log_fields(event) for event in events]
        log_changes(
            self.logger,
            log_events.member_state_changed,
            log_events.member_state_changes_omitted,
            event_fields,
        )
        self._deliver(messages)

    def send_application_message(self, recipient: str, kind: str, data: bytes) -> None:
        """Send another subsystem's message; the calling thread must not hold the lock."""
        with self.lock:
            outgoing = self.protocol.send_application_message(
                time.monotonic(), recipient, kind, data
            )
        self.transmit(outgoing)

    def receive(self) -> list[OutgoingDatagram]:
        """Let the protocol handle queued datagrams, with the lock held; return its answers."""
        outgoing: list[OutgoingDatagram] = []
        for _ in range(MAX_READS_PER_CYCLE):
            try:
                data, source = self.socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                break  # no datagram is left, or an earlier send failed
            try:
                datagram = decode(data, self.protocol.cluster)
            except InvalidDatagramError as error:
                self.dropped_datagrams.add(f"from {source[0]}:{source[1]}: {error}")
                continue
            outgoing += self.protocol.handle(time.monotonic(), datagram)
        return outgoing

    def transmit(self, outgoing: list[OutgoingDatagram]) -> None:
        """Send datagrams; count each that cannot be sent and treat it as lost."""
        for item in outgoing:
            try:
                self.socket.sendto(encode(item.datagram), split_address(item.address))
            except (OSError, OverflowError):
                self.unsent_datagrams += 1

    def leave(self) -> None:
        """Announce the leave LEAVE_TRANSMISSIONS times, in case of loss, and end the thread."""
        with self.lock:
            outgoing = self.protocol.leave(time.monotonic())
        if outgoing:
            for _ in range(LEAVE_TRANSMISSIONS):
                self.transmit(outgoing)
                time.sleep(LEAVE_PAUSE_SECONDS)
        self.is_closed = True

    def _run_periodic_task_if_due(self) -> None:
        now = time.monotonic()
        if now - self._periodic_task_ran_at >= PERIODIC_TASK_INTERVAL_SECONDS:
            self._periodic_task_ran_at = now
            self.cpu_seconds = time.thread_time()
            self.run_periodic_task(now)

    def _events_to_log(self) -> list[MembershipEvent]:
        history = self.protocol.members.events
        events = history.after(self._last_logged_event)
        self._last_logged_event = history.last_number
        return events

    def _deliver(self, messages: list[ReceivedMessage]) -> None:
        for message in messages:
            handler = self.message_handlers.get(message.kind)
            if handler is not None:
                handler(message.sender, message.data)
