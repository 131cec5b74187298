"""Datagrams between members, as MessagePack, and their codec; free of I/O and of state.

Each datagram holds the format's version, the cluster's name and its sender's member record. All
structures are encoded as arrays, by position: field and class names do not travel, so they may be
renamed, but never reordered. Types bound every size and number, so that nothing out of bounds
reaches the protocol.
"""

from enum import IntEnum
from hashlib import blake2b
from typing import Annotated

import msgspec

from stepstream.membership.errors import MembershipError

PROTOCOL_VERSION = 1
# Fits an Ethernet frame with space for tunnels, so that no datagram is fragmented.
MAX_DATAGRAM_BYTES = 1_400
MAX_APPLICATION_BYTES = 1_080  # leaves space for the sender's record in one datagram
MAX_UPDATES_OF_A_KIND = 64
MAX_CONFIRMED_DEATHS = 40  # more than these are confirmed one after another
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
    """Return a 48-bit digest of a text."""
    return int.from_bytes(blake2b(text.encode(), digest_size=FINGERPRINT_BYTES).digest())


class MemberState(IntEnum):
    """Within one incarnation the greater state overrides (SWIM, section 4.2)."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3

    @property
    def label(self) -> str:
        """The state's name in answers and logs."""
        return self.name.lower()


# States of members that take part: they are probed, counted and sent updates.
PRESENT_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


class Phase(IntEnum):
    """Phase of a dispatcher's process."""

    STARTING = 0
    SERVING = 1
    DRAINING = 2
    LEAVING = 3


class MemberRecord(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A claim about one member.

    `generation` identifies the process start, `incarnation` counts its refutations since (SWIM,
    section 4.2). `reported_by` names the member that claims it, "" for the member itself; it has
    no part in the order of claims.
    """

    name: MemberName
    address: AdvertisedAddress
    generation: Unsigned
    incarnation: Unsigned
    state: MemberState
    reported_by: Annotated[str, msgspec.Meta(max_length=64)] = ""

    @property
    def fingerprint(self) -> int:
        """Identifies exactly this claim, in 48 bits."""
        return fingerprint(
            f"{self.name} {self.address} {self.generation} {self.incarnation} {int(self.state)}"
        )


class MemberStatus(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What a member reports of itself; `revision` grows with each change in one generation.

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
    """An operator's call on a worker, as a last-writer-wins register."""

    worker: WorkerId
    lamport_time: Unsigned  # over the whole cluster
    in_maintenance: bool
    recorded_by: MemberName  # the dispatcher that took the operator's call
    recorded_at_us: Unsigned  # Unix time

    @property
    def fingerprint(self) -> int:
        """Identifies exactly this record, in 48 bits."""
        # Members compare digests of this text, so its form is fixed.
        call = (self.lamport_time, self.in_maintenance, self.recorded_by)
        return fingerprint(f"{call!r}{self.worker}")


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Direct probe (SWIM, section 3.1); `target` guards against an address with a new owner."""

    sequence: Unsigned
    target: MemberName


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answer of a probed member, or its relay by a helper."""

    sequence: Unsigned


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Request that a helper probes `target` and relays its answer: ping-req (SWIM, section 3.1)."""

    sequence: Unsigned
    target: MemberName
    address: AdvertisedAddress


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """A helper's target has not answered: the prober's link to the helper works (Lifeguard)."""

    sequence: Unsigned


class Digest(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Anti-entropy digest of all that the sender holds; a recipient that differs sends pages."""

    digest: Unsigned


class Page(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Part of the sender's whole state, safe to lose; `wants_reply` requests the recipient's."""

    wants_reply: bool


class ApplicationMessage(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Another subsystem's message, carried to a member unread."""

    kind: Annotated[str, msgspec.Meta(min_length=1, max_length=16)]
    data: Annotated[bytes, msgspec.Meta(max_length=MAX_APPLICATION_BYTES)]


Body = Ping | Ack | PingRequest | Nack | Digest | Page | ApplicationMessage
# What is piggybacked on a body, or fills a page.
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
    sender: MemberRecord  # its own, alive or left
    body: Body
    member_records: MemberRecords = ()
    member_statuses: MemberStatuses = ()
    maintenance_records: MaintenanceRecords = ()


class InvalidDatagramError(MembershipError):
    """A datagram that is dropped and counted; the text says why."""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Datagram)


def encode(datagram: Datagram) -> bytes:
    """Return the datagram's bytes."""
    return _ENCODER.encode(datagram)


def encoded_bytes(part: msgspec.Struct) -> int:
    """Return the size in bytes that a part takes in a datagram."""
    return len(_ENCODER.encode(part))


def decode(data: bytes, cluster: str) -> Datagram:
    """Return the datagram in these bytes.

    Raises InvalidDatagramError if it is too long, unreadable, of another version or of another
    cluster than `cluster`.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise InvalidDatagramError(f"{len(data)} bytes, over {MAX_DATAGRAM_BYTES}")
    try:
        datagram = _DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        text = f"unreadable: {error}"[:MAX_ERROR_CHARACTERS]
        raise InvalidDatagramError(text) from error
    if datagram.version != PROTOCOL_VERSION:
        raise InvalidDatagramError(f"version {datagram.version}, not {PROTOCOL_VERSION}")
    if datagram.cluster != cluster:
        raise InvalidDatagramError(
            f"of cluster {datagram.cluster!r}: see seeds and cluster on both sides"
        )
    return datagram
