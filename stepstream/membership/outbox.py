"""Datagrams that wait to be sent, with the updates piggybacked on them; free of I/O.

Owned by the protocol and touched only under the driver's lock. The driver takes the datagrams and
sends them.
"""

from dataclasses import dataclass

from stepstream.membership.context import ProtocolContext
from stepstream.membership.dissemination import (
    PAYLOAD_BYTES,
    BroadcastQueue,
    datagram_fields,
    may_piggyback,
    notifies_recipient,
    retransmit_limit,
)
from stepstream.membership.member_list import MemberList
from stepstream.membership.messages import (
    PROTOCOL_VERSION,
    Body,
    Datagram,
    MemberRecord,
    Update,
    encoded_size_bytes,
)

# The maximum of datagrams that one event, such as a healed partition, may cause at once.
MAX_BURST_DATAGRAMS = 16


@dataclass(frozen=True, slots=True)
class OutgoingDatagram:
    """A datagram and the HOST:PORT to which it is sent."""

    address: str
    datagram: Datagram


class Outbox:
    """Composes datagrams and keeps them until they are taken."""

    def __init__(self, context: ProtocolContext, members: MemberList, cluster: str) -> None:
        self.context = context
        self.members = members
        self.cluster = cluster
        self.broadcasts = BroadcastQueue()
        self.waiting: list[OutgoingDatagram] = []

    def broadcast(self, update: Update) -> None:
        """Queue an update to be piggybacked on later datagrams."""
        self.broadcasts.put(update)

    def send(
        self, address: str, body: Body, recipient: str = "", *, piggyback: bool = True
    ) -> None:
        """Queue a datagram.

        `recipient` names the member it is for, "" if unknown. Without `piggyback` it carries no
        queued updates. That is for an address at which no member is known: each update is sent a
        limited number of times, and a transmission would be wasted.
        """
        payload_bytes = self.payload_bytes - encoded_size_bytes(body)
        updates: list[Update] = []
        record = self._record_of(recipient)
        if record is not None and notifies_recipient(record):
            updates.append(record)
            payload_bytes -= encoded_size_bytes(record)
        if piggyback and may_piggyback(record):
            limit = retransmit_limit(
                self.context.settings.retransmit_multiplier, len(self.members.by_name)
            )
            updates += self.broadcasts.take(limit, payload_bytes)
        self.send_with_updates(address, body, updates)

    def send_with_updates(self, address: str, body: Body, updates: list[Update]) -> None:
        """Queue a datagram with exactly these updates."""
        datagram = Datagram(
            PROTOCOL_VERSION,
            self.cluster,
            self.members.local,
            body,
            **datagram_fields(updates),
        )
        self.waiting.append(OutgoingDatagram(address, datagram))

    @property
    def payload_bytes(self) -> int:
        """The space in a datagram for its body and updates."""
        return PAYLOAD_BYTES - encoded_size_bytes(self.members.local)

    def take(self) -> list[OutgoingDatagram]:
        """Return the waiting datagrams and clear them."""
        taken = self.waiting
        self.waiting = []
        return taken

    def _record_of(self, recipient: str) -> MemberRecord | None:
        member = self.members.by_name.get(recipient)
        return None if member is None else member.record
