"""Datagrams that wait to be sent, with the updates piggybacked on them; free of I/O.

Owned by the protocol and touched only under the driver's lock; the driver sends what it takes.
"""

from dataclasses import dataclass

from stepstream.membership.context import ProtocolContext
from stepstream.membership.dissemination import (
    PAYLOAD_BYTES,
    BroadcastQueue,
    datagram_fields,
    retransmit_limit,
)
from stepstream.membership.member_list import MemberList
from stepstream.membership.messages import (
    PROTOCOL_VERSION,
    Body,
    Datagram,
    MemberState,
    Update,
    encoded_bytes,
)

MAX_BURST = 16  # datagrams of one sort that are sent at once


@dataclass(frozen=True, slots=True)
class OutgoingDatagram:
    """A datagram and the HOST:PORT that it goes to."""

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
        """Queue an update to be piggybacked on the datagrams to come."""
        self.broadcasts.put(update)

    def send(
        self, address: str, body: Body, recipient: str = "", *, piggyback: bool = True
    ) -> None:
        """Queue a datagram.

        `recipient` is the member it is for, if known: a suspect or dead one gets its own record,
        so that it can refute it (Lifeguard, Buddy System). `piggyback` says whether queued updates
        ride along: each is sent a limited number of times, and must not be spent on an address that
        nobody is known to be at.
        """
        payload_bytes = self.payload_bytes - encoded_bytes(body)
        updates: list[Update] = []
        member = self.members.by_name.get(recipient)
        if member is not None and member.record.state in (MemberState.SUSPECT, MemberState.DEAD):
            updates.append(member.record)
            payload_bytes -= encoded_bytes(member.record)
            piggyback = piggyback and member.record.state is MemberState.SUSPECT
        if piggyback:
            limit = retransmit_limit(
                self.context.settings.retransmit_multiplier, len(self.members.by_name)
            )
            updates += self.broadcasts.take(limit, payload_bytes)
        self.send_with(address, body, updates)

    def send_with(self, address: str, body: Body, updates: list[Update]) -> None:
        """Queue a datagram with just these updates."""
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
        """Bytes of a datagram for its body and updates."""
        return PAYLOAD_BYTES - encoded_bytes(self.members.local)

    def take(self) -> list[OutgoingDatagram]:
        """Return what waits, and forget it."""
        taken = self.waiting
        self.waiting = []
        return taken
