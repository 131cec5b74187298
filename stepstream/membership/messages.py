"""Datagrams between members, as MessagePack, and their codec; free of I/O and of state.

Each datagram holds the format's version, the cluster's name and its sender's member record. All
structures are encoded as arrays, by position: the names of fields and classes are not sent. They
may be renamed, but fields must never be reordered. The types limit every size and number, so the
protocol receives no value outside its limits.
"""

from enum import IntEnum
from hashlib import blake2b
from typing import Annotated

import msgspec

from stepstream.membership.errors import MembershipError

PROTOCOL_VERSION = 1
# Fits an Ethernet frame and leaves space for tunnel headers, so that no datagram is fragmented.
MAX_DATAGRAM_BYTES = 1_400
MAX_APPLICATION_BYTES = 1_080  # leaves space for the sender's record in one datagram
MAX_UPDATES_OF_A_KIND = 64
MAX_CONFIRMED_DEATHS = 40  # per status; further ones follow as dead members leave the count
FINGERPRINT_BYTES = 6
MAX_ERROR_CHARACTERS = 160

MemberName = Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._-]+$")]
AdvertisedAddress = Annotated[
    str, msgspec.Meta(max_length=64, pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
]
WorkerId = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Unsigned = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
ShortText = Annotated[str, msgspec.Meta(max_length=24)]


def fingerprint(text: str) -> int:
    """Return the 48-bit digest of a text."""
    return int.from_bytes(blake2b(text.encode(), digest_size=FINGERPRINT_BYTES).digest())


class MemberState(IntEnum):
    """State of a member; within one incarnation the greater one overrides (SWIM, section 4.2)."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3

    @property
    def display_name(self) -> str:
        """The state's name in the admin listener's answers and in logs."""
        return self.name.lower()


# The states of members that are probed, counted as present and sent updates.
PRESENT_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


class Phase(IntEnum):
    """The phase of a dispatcher's process."""

    STARTING = 0
    SERVING = 1
    DRAINING = 2
    LEAVING = 3


class MemberRecord(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A claim about one member.

    `generation` identifies the process start; `incarnation` grows with each refutation since (SWIM,
    section 4.2). `reported_by` names the member that makes the claim, "" for the member itself; it
    does not influence the precedence of claims.
    """

    name: MemberName
    address: AdvertisedAddress
    generation: Unsigned
    incarnation: Unsigned
    state: MemberState
    reported_by: Annotated[str, msgspec.Meta(max_length=64)] = ""

    @property
    def fingerprint(self) -> int:
        """A 48-bit digest of this claim, without `reported_by`."""
        return fingerprint(
            f"{self.name} {self.address} {self.generation} {self.incarnation} {int(self.state)}"
        )


class MemberStatus(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What a member reports of itself; `revision` grows with each change of the status.

    `confirmed_deaths` holds the fingerprints of the death claims that this member confirms
    (`member_count.deaths_to_confirm`).
    """

    owner: MemberName
    generation: Unsigned
    revision: Unsigned
    phase: Phase
    endpoint_list_version: Unsigned
    settings_digest: ShortText
    open_requests: Unsigned
    started_at_ms: Unsigned  # Unix time
    program_version: ShortText
    confirmed_deaths: Annotated[
        tuple[Unsigned, ...], msgspec.Meta(max_length=MAX_CONFIRMED_DEATHS)
    ] = ()


class MaintenanceRecord(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """An operator's call that begins or ends a worker's maintenance; the last writer wins."""

    worker: WorkerId
    lamport_time: Unsigned  # a logical clock of the whole cluster
    in_maintenance: bool
    recorded_by: MemberName  # the dispatcher that took the operator's call
    recorded_at_us: Unsigned  # Unix time

    @property
    def fingerprint(self) -> int:
        """A 48-bit digest of this record, without the time of the call."""
        # All members must compute the same digest, so the form of this text must not change.
        call = (self.lamport_time, self.in_maintenance, self.recorded_by)
        return fingerprint(f"{call!r}{self.worker}")


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Direct probe (SWIM, section 3.1).

    `target` is the name of the probed member: its address may belong to another member by now.
    """

    sequence: Unsigned
    target: MemberName


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answer of a probed member, sent by itself or relayed by a helper."""

    sequence: Unsigned


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Request that a helper probe `target` and relay its answer: ping-req (SWIM, section 3.1)."""

    sequence: Unsigned
    target: MemberName
    address: AdvertisedAddress


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Report of a helper that its target has not answered yet (Lifeguard).

    It also shows the prober that its link to the helper works.
    """

    sequence: Unsigned


class Digest(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Anti-entropy digest of the sender's whole state; a recipient that differs sends pages."""

    digest: Unsigned


class Page(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Part of the sender's whole state; `wants_reply` requests the recipient's state in return.

    A lost page does no harm: it is sent again after the next digest that differs.
    """

    wants_reply: bool


class ApplicationMessage(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Another subsystem's message; the membership does not interpret its data."""

    kind: Annotated[str, msgspec.Meta(min_length=1, max_length=16)]
    data: Annotated[bytes, msgspec.Meta(max_length=MAX_APPLICATION_BYTES)]


Body = Ping | Ack | PingRequest | Nack | Digest | Page | ApplicationMessage
# Updates are piggybacked on a body, or are the content of a page.
Update = MemberRecord | MemberStatus | MaintenanceRecord

MemberRecords = Annotated[tuple[MemberRecord, ...], msgspec.Meta(max_length=MAX_UPDATES_OF_A_KIND)]
MemberStatuses = Annotated[tuple[MemberStatus, ...], msgspec.Meta(max_length=MAX_UPDATES_OF_A_KIND)]
MaintenanceRecords = Annotated[
    tuple[MaintenanceRecord, ...], msgspec.Meta(max_length=MAX_UPDATES_OF_A_KIND)
]


class Datagram(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One message with the updates that are piggybacked on it (SWIM, section 4.1)."""

    version: Annotated[int, msgspec.Meta(ge=0, le=255)]
    cluster: Annotated[str, msgspec.Meta(max_length=64)]
    sender: MemberRecord  # the sender's own record, alive or left
    body: Body
    member_records: MemberRecords = ()
    member_statuses: MemberStatuses = ()
    maintenance_records: MaintenanceRecords = ()


class InvalidDatagramError(MembershipError):
    """An invalid datagram, which is dropped and counted; the message gives the reason."""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Datagram)


def encode(datagram: Datagram) -> bytes:
    """Return the datagram's bytes."""
    return _ENCODER.encode(datagram)


def encoded_size_bytes(structure: msgspec.Struct) -> int:
    """Return the size of a body or an update in a datagram."""
    return len(_ENCODER.encode(structure))


def decode(data: bytes, cluster: str) -> Datagram:
    """Return the datagram in these bytes.

    Raise InvalidDatagramError if it is too long, unreadable, of another version or of another
    cluster than `cluster`.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise InvalidDatagramError(f"{len(data)} bytes, over {MAX_DATAGRAM_BYTES}")
    try:
        datagram = _DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        message = f"unreadable: {error}"[:MAX_ERROR_CHARACTERS]
        raise InvalidDatagramError(message) from error
    if datagram.version != PROTOCOL_VERSION:
        raise InvalidDatagramError(f"version {datagram.version}, not {PROTOCOL_VERSION}")
    if datagram.cluster != cluster:
        raise InvalidDatagramError(
            f"of cluster {datagram.cluster!r}: see seeds and cluster on both sides"
        )
    return datagram
