"""Relay UDP datagrams between processes, with the delays and losses of a network model.

The relay has one socket for each member. A member advertises that socket's address in place of its
own, so every datagram to the member passes through the relay. The relay recognizes the sender by
the address that a datagram comes from.

The relay delays or drops each datagram as the `Links` decide, then forwards it to the address on
which the member listens.
"""

import heapq
import random
import select
import socket
import threading
import time
from dataclasses import dataclass, field
from itertools import count
from typing import Self

from stepstream.lab.emulator.links import Links

Address = tuple[str, int]

DATAGRAM_BYTES = 64 * 1024
MAX_POLL_SECONDS = 0.05
"""Longest wait for a datagram; `close` may take as long."""

MAX_DATAGRAMS_PER_BATCH = 64
"""How many datagrams to one member are received before those to the next member."""

MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class RelayedMember:
    """One member: the relay's socket for it, and the address on which it listens and sends."""

    name: str
    relay_socket: socket.socket
    listen_address: Address


@dataclass(frozen=True, slots=True, order=True)
class DelayedDatagram:
    """A datagram that is forwarded when it is due; it sorts by that time, then by its arrival.

    `due_at_seconds` is a time of the monotonic clock.
    """

    due_at_seconds: float
    arrival_number: int
    receiver: RelayedMember = field(compare=False)
    data: bytes = field(compare=False)


class UdpRelay:
    """Forward datagrams between members as `links` decide, on a thread of its own.

    As a context manager it runs the thread, and closes every socket at the end of the block. The
    thread owns the queue of delayed datagrams and the counters. Any thread may call `add_member`.
    `lock` guards the members and `links`: hold it to change several fields of `links` together.

    Attributes:
        forwarded_count: datagrams that the relay tried to send on to their member.
        dropped_count: datagrams that were lost on a link or could not be sent on.

    """

    def __init__(self, seed: int, links: Links | None = None) -> None:
        self.links = links or Links(delay_seconds=(0.0, 0.0))
        self.lock = threading.Lock()
        self.forwarded_count = 0
        self.dropped_count = 0
        self._rng = random.Random(seed)
        self._members: dict[int, RelayedMember] = {}  # by the descriptor of the relay's socket
        self._sender_names: dict[Address, str] = {}  # by the address that a member sends from
        self._poll = select.poll()
        self._delayed: list[DelayedDatagram] = []  # a heap, ordered by due time
        self._arrival_numbers = count()
        self._is_closed = False
        self._thread: threading.Thread | None = None

    def __enter__(self) -> Self:
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_exception: object) -> None:
        self.close()

    def start(self) -> None:
        """Start the thread that forwards datagrams; `close` ends it."""
        thread = threading.Thread(target=self._run, name="relay", daemon=True)
        thread.start()
        self._thread = thread

    def close(self) -> None:
        """End the thread and close every socket; a second call does nothing."""
        self._is_closed = True
        if self._thread is not None:
            self._thread.join()
            self._thread = None
        with self.lock:
            for member in self._members.values():
                member.relay_socket.close()

    def add_member(self, name: str, host: str, listen_address: Address) -> str:
        """Open a socket on `host` for a member; return the address to advertise for it.

        A later member of the same name gets a socket of its own; datagrams to the earlier one are
        still forwarded. Raises OSError, with no socket left open, if `host` can't be bound.
        """
        relay_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            relay_socket.bind((host, 0))
        except OSError:
            relay_socket.close()
            raise
        relay_socket.setblocking(False)  # noqa: FBT003  the socket's own interface
        member = RelayedMember(name, relay_socket, listen_address)
        with self.lock:
            self._members[relay_socket.fileno()] = member
            self._sender_names[listen_address] = name
            self._poll.register(relay_socket, select.POLLIN)
        return f"{host}:{relay_socket.getsockname()[1]}"

    def _run(self) -> None:
        """Receive and forward datagrams until the relay is closed."""
        while not self._is_closed:
            for descriptor, _ in self._poll.poll(self._poll_seconds() * MS_PER_SECOND):
                self._receive(self._members[descriptor])
            self._forward_due()

    def _poll_seconds(self) -> float:
        """Return how long to wait for a datagram: until the next delayed one is due, at most."""
        if not self._delayed:
            return MAX_POLL_SECONDS
        due_in_seconds = self._delayed[0].due_at_seconds - time.monotonic()
        return min(max(due_in_seconds, 0.0), MAX_POLL_SECONDS)

    def _receive(self, receiver: RelayedMember) -> None:
        """Receive the datagrams to one member, and queue each copy that is not lost."""
        for _ in range(MAX_DATAGRAMS_PER_BATCH):
            try:
                data, source = receiver.relay_socket.recvfrom(DATAGRAM_BYTES)
            except OSError:
                return  # no further datagram has arrived
            delays_seconds = self._sample_delays(source, receiver)
            if not delays_seconds:
                self.dropped_count += 1
            for delay_seconds in delays_seconds:
                due_at_seconds = time.monotonic() + delay_seconds
                delayed = DelayedDatagram(
                    due_at_seconds, next(self._arrival_numbers), receiver, data
                )
                heapq.heappush(self._delayed, delayed)

    def _sample_delays(self, source: Address, receiver: RelayedMember) -> list[float]:
        """Return the delay in seconds of each copy that is not lost; none over a cut link."""
        with self.lock:
            pair = (self._sender_names.get(source, ""), receiver.name)
            if pair in self.links.cut_pairs:
                return []
            return list(self.links.sample_delays(self._rng))

    def _forward_due(self) -> None:
        """Send each datagram that is due now to its member."""
        now_seconds = time.monotonic()
        while self._delayed and self._delayed[0].due_at_seconds <= now_seconds:
            delayed = heapq.heappop(self._delayed)
            receiver = delayed.receiver
            self.forwarded_count += 1
            try:
                receiver.relay_socket.sendto(delayed.data, receiver.listen_address)
            except OSError:
                # The member's process has ended, or its receive buffer is full.
                self.dropped_count += 1
