"""Messages that wait to be sent: to this member itself, or in envelopes to others. Free of I/O.

Owned by the participant.
"""

from collections import defaultdict, deque
from collections.abc import Sequence
from dataclasses import dataclass

from stepstream.leases.configuration import LeaseConfiguration
from stepstream.leases.messages import (
    MAX_ENVELOPE_BYTES,
    MAX_MESSAGES_PER_ENVELOPE,
    PROTOCOL_VERSION,
    Envelope,
    Message,
    ProposerMessage,
    encoded_size_bytes,
)
from stepstream.leases.wire import pack

ENVELOPE_FRAME_BYTES = 40
PAYLOAD_BYTES = MAX_ENVELOPE_BYTES - ENVELOPE_FRAME_BYTES


@dataclass(frozen=True, slots=True)
class OutgoingEnvelope:
    """An envelope and the member that it is for."""

    member: str
    envelope: Envelope


class Outbox:
    """Keeps messages by recipient until they are taken."""

    def __init__(self, local_name: str, configuration: LeaseConfiguration) -> None:
        self.local_name = local_name
        self.configuration = configuration
        self.loopback: deque[Message] = deque()  # to this member itself, without an envelope
        self.by_member: defaultdict[str, list[Message]] = defaultdict(list)

    def send(self, member: str, message: Message) -> None:
        """Queue a message to a member."""
        if member == self.local_name:
            self.loopback.append(message)
        else:
            self.by_member[member].append(message)

    def broadcast(self, messages: Sequence[ProposerMessage]) -> None:
        """Queue messages to all acceptors."""
        if not messages:
            return
        acceptors = sorted(self.configuration.all_acceptors)
        for message in messages:
            for member in acceptors:
                self.send(member, message)

    def take_envelopes(self) -> list[OutgoingEnvelope]:
        """Remove the messages to other members; return them in as few envelopes as possible."""
        if not self.by_member:
            return []
        digests = self.configuration.digests
        outgoing = [
            OutgoingEnvelope(member, Envelope(PROTOCOL_VERSION, digests, tuple(part)))
            for member, messages in self.by_member.items()
            for part in pack(messages, encoded_size_bytes, PAYLOAD_BYTES, MAX_MESSAGES_PER_ENVELOPE)
        ]
        self.by_member.clear()
        return outgoing
