"""Messages between proposers and acceptors, and the envelopes that carry them. Free of I/O.

PaxosLease (Trencseni, Gazso, Reinhardt 2012): a proposer sends `Prepare` with a new ballot to all
acceptors; a quorum of `Promise` lets it send `Propose`; a quorum of `Accepted` makes it the lease
holder. The paper's empty or non-empty prepare response is `Promise` or `Busy` here; the other
messages tell a proposer why it got no promise, release a lease early (the paper's "Releasing
leases") or notify the next waiter. docs/leases.md has the table of messages and the proof.

Wire format: one MessagePack array per envelope, inside a datagram of the membership layer. Structs
are encoded by position, a message's type as an integer tag, so that names here are not on the wire.

This module owns no state; any thread may call it.
"""

from typing import Annotated

import msgspec

from stepstream.leases.errors import LeaseError
from stepstream.leases.wire import decode_with

PROTOCOL_VERSION = 1
MAX_ENVELOPE_BYTES = 1_000  # fits one datagram of the membership layer beside its frame
READ_TOLERANCE_BYTES = 64
MAX_RECEIVED_BYTES = MAX_ENVELOPE_BYTES + READ_TOLERANCE_BYTES
MAX_MESSAGES_PER_ENVELOPE = 64
MAX_DURATION_MS = 86_400_000  # a day

LEASE_NAME_PATTERN = r"^[a-z0-9._-]{1,64}$"
LeaseName = Annotated[str, msgspec.Meta(pattern=LEASE_NAME_PATTERN)]
ProposerId = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
SafeInteger = Annotated[int, msgspec.Meta(ge=0, le=2**53)]  # exact as a JSON number as well
Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]


class Ballot(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A ballot, ordered by number, then by proposer.

    `proposer` names one attempt of one process at one lease: NAME@GENERATION.SERIAL.
    """

    number: SafeInteger
    proposer: ProposerId


class LeaseMessage(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The fields of every message: the lease and the ballot that it is about."""

    lease: LeaseName
    ballot: Ballot


class Prepare(LeaseMessage, frozen=True, tag=1):
    """Request a promise of this ballot; `waited_ms` is the time since the attempt began."""

    ttl_ms: Milliseconds
    waited_ms: Milliseconds


class Promise(LeaseMessage, frozen=True, tag=2):
    """Promise to accept no other ballot until a greater one is promised.

    The acceptor keeps no other proposer's grant.
    """


class Busy(LeaseMessage, frozen=True, tag=3):
    """Promise nothing: `holder` may still hold the lease or, if "", another waiter goes first."""

    holder: Annotated[str, msgspec.Meta(max_length=128)]
    token: SafeInteger
    remaining_ms: Milliseconds


class StaleBallot(LeaseMessage, frozen=True, tag=4):
    """Reject a ballot that is not above `highest_number`, or that has no promise here."""

    highest_number: SafeInteger


class Recovering(LeaseMessage, frozen=True, tag=5):
    """Promise and accept nothing yet: grants from before the restart may not have expired."""

    remaining_ms: Milliseconds


class Propose(LeaseMessage, frozen=True, tag=6):
    """Request the lease for `ttl_ms`; `round` distinguishes a ballot's renewals."""

    round: SafeInteger
    token: SafeInteger
    ttl_ms: Milliseconds


class Accepted(LeaseMessage, frozen=True, tag=7):
    """Accept the proposal of this round."""

    round: SafeInteger


class Release(LeaseMessage, frozen=True, tag=8):
    """End all grants to this proposer up to this ballot; no later proposal of it is accepted."""


class LeaseAvailable(LeaseMessage, frozen=True, tag=9):
    """Notify a waiter that it may try again; the ballot is the one that was told to wait."""


class ConfigurationMismatch(LeaseMessage, frozen=True, tag=10):
    """Reject a member that has no acceptor set in common, or that has other time bounds."""


Message = (
    Prepare
    | Promise
    | Busy
    | StaleBallot
    | Recovering
    | Propose
    | Accepted
    | Release
    | LeaseAvailable
    | ConfigurationMismatch
)
ProposerMessage = Prepare | Propose | Release
PROPOSER_MESSAGES = (Prepare, Propose, Release)  # all other messages are answers of acceptors


class Envelope(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Several messages to one member.

    `configuration_digests` has one for each acceptor set of which the sender needs a quorum; each
    also covers the time bounds.
    """

    version: Annotated[int, msgspec.Meta(ge=0, le=255)]
    configuration_digests: Annotated[
        tuple[SafeInteger, ...], msgspec.Meta(min_length=1, max_length=2)
    ]
    messages: Annotated[tuple[Message, ...], msgspec.Meta(max_length=MAX_MESSAGES_PER_ENVELOPE)]


class EnvelopeError(LeaseError):
    """Data that is no envelope of this version; it is dropped and counted, the text says why."""


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Return the envelope's bytes."""
    return ENCODER.encode(envelope)


def encoded_size_bytes(message: Message) -> int:
    """Return the bytes that the message takes in an envelope."""
    return len(ENCODER.encode(message))


def decode(data: bytes) -> Envelope:
    """Return the envelope; raise `EnvelopeError` if too long, unreadable or of another version."""
    if len(data) > MAX_RECEIVED_BYTES:
        raise EnvelopeError(f"{len(data)} bytes, over {MAX_RECEIVED_BYTES}")
    envelope = decode_with(DECODER, data, EnvelopeError)
    if envelope.version != PROTOCOL_VERSION:
        raise EnvelopeError(f"version {envelope.version}, not {PROTOCOL_VERSION}")
    return envelope


def to_milliseconds(seconds: float) -> int:
    """Return a duration for the wire: rounded up, a day at most."""
    return min(int(max(seconds, 0.0) * 1000) + 1, MAX_DURATION_MS)
