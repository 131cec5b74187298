"""Messages that other subsystems send between members, once and unacknowledged; free of I/O.

Owned by the protocol and touched only under the driver's lock. The driver passes received messages
to their subsystems.
"""

from collections import deque
from typing import NamedTuple

from stepstream.membership.member_list import MemberList
from stepstream.membership.messages import ApplicationMessage, MemberRecord
from stepstream.membership.outbox import Outbox

MAX_RECEIVED_MESSAGES = 1_024  # beyond this the oldest are dropped


class ReceivedMessage(NamedTuple):
    """A received message; `sender` is the sending member's name."""

    sender: str
    kind: str
    data: bytes


class ApplicationMessages:
    """Sends messages by member name and keeps those received until they are taken."""

    def __init__(self, members: MemberList, outbox: Outbox) -> None:
        self.members = members
        self.outbox = outbox
        self._received: deque[ReceivedMessage] = deque(maxlen=MAX_RECEIVED_MESSAGES)

    def send(self, recipient: str, kind: str, data: bytes) -> None:
        """Queue a message to a known member; it may be lost, duplicated or late."""
        member = self.members.by_name.get(recipient)
        if member is not None:
            self.outbox.send_with_updates(member.record.address, ApplicationMessage(kind, data), [])

    def receive(self, sender: MemberRecord, message: ApplicationMessage) -> None:
        """Keep a message, unless a later start has replaced the process that sent it."""
        if self.members.by_name[sender.name].record.generation == sender.generation:
            self._received.append(ReceivedMessage(sender.name, message.kind, message.data))

    def take_received(self) -> list[ReceivedMessage]:
        """Return the received messages and clear them."""
        received = list(self._received)
        self._received.clear()
        return received
