"""What members tell each other, as MessagePack in datagrams; free of I/O.

Every datagram holds the format's version, the cluster's name and its sender's row. Sizes and numbers are
bounded by the types, so that nothing out of bounds reaches the view. docs/fleet.md has the table.
"""

from enum import IntEnum
from hashlib import blake2b
from typing import Annotated

import msgspec

VERSION = 1
DATAGRAM = (
    1_400  # bytes; fits an Ethernet frame with room for tunnels, so that no datagram is fragmented
)
PARCEL = 1_080  # bytes of another subsystem's message in a datagram
MOST_ROWS = 64  # of one sort in a datagram
MOST_ENDED = (
    40  # deaths that one member bears witness to at once; the others' turn comes after these
)

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._-]+$")]
Place = Annotated[
    str, msgspec.Meta(max_length=64, pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
]  # as advertised
Worker = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Number = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Text = Annotated[str, msgspec.Meta(max_length=24)]


class State(IntEnum):
    """In the order of what overrides what within one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Phase(IntEnum):
    STARTING = 0
    SERVING = 1
    DRAINING = 2
    LEAVING = 3


class Row(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A claim about one member. `generation` is of its start, `incarnation` counts its refutations since.

    `by` is who says so, where that is not the member itself: it orders nothing.
    """

    name: Name
    address: Place
    generation: Number
    incarnation: Number
    state: State
    by: Annotated[str, msgspec.Meta(max_length=64)] = ""

    @property
    def order(self) -> tuple[int, str, int, int]:
        """The later of two claims about a name is the greater; two starts in one instant go by address."""
        return self.generation, self.address, self.incarnation, self.state

    @property
    def mark(self) -> int:
        """Stands for just this claim, in 48 bits."""
        text = f"{self.name} {self.address} {self.generation} {self.incarnation} {int(self.state)}"
        return int.from_bytes(blake2b(text.encode(), digest_size=6).digest())


class Facts(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What a member says of itself; `count` grows with each change in one generation."""

    owner: Name
    generation: Number
    count: Number
    phase: Phase
    list_version: Number
    settings: Text  # digest of the settings in force
    open_requests: Number
    started_ms: Number  # Unix time
    program: Text  # its version
    ended: Annotated[
        tuple[Number, ...], msgspec.Meta(max_length=MOST_ENDED)
    ] = ()  # marks of claims of death

    @property
    def order(self) -> tuple[int, int]:
        return self.generation, self.count


class Word(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """An operator's word on a worker. `stamp` is a Lamport counter over the whole fleet."""

    worker: Worker
    stamp: Number
    out: bool  # out for maintenance; else back
    by: Name  # the dispatcher that was told
    at_us: Number  # when, Unix time in microseconds

    @property
    def order(self) -> tuple[int, bool, str]:
        """Of two words in one instant 'out' holds, then the greater name's: the safe one first."""
        return self.stamp, self.out, self.by


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Are you `target`, and there?"""

    seq: Number
    target: Name


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    seq: Number


class PingFor(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Ask `target` for me and pass its answer on."""

    seq: Number
    target: Name
    address: Place


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """I have asked for you and have no answer: the way to me is good."""

    seq: Number


class Compare(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """The digest of all that I hold; whoever holds something else answers with pages of it."""

    digest: Number


class Page(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """A part of all that a member holds, safe to lose; `reply`: the sender wants the other's pages."""

    reply: bool


class Parcel(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Another subsystem's message; the view carries it to a member and knows nothing of it."""

    kind: Annotated[str, msgspec.Meta(min_length=1, max_length=16)]
    data: Annotated[bytes, msgspec.Meta(max_length=PARCEL)]


Body = Ping | Ack | PingFor | Nack | Compare | Page | Parcel
Rows = Annotated[tuple[Row, ...], msgspec.Meta(max_length=MOST_ROWS)]


class Datagram(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    version: Annotated[int, msgspec.Meta(ge=0, le=255)]
    cluster: Annotated[str, msgspec.Meta(max_length=64)]
    sender: Row  # its own, alive or left
    body: Body
    rows: Rows = ()
    facts: Annotated[tuple[Facts, ...], msgspec.Meta(max_length=MOST_ROWS)] = ()
    words: Annotated[tuple[Word, ...], msgspec.Meta(max_length=MOST_ROWS)] = ()


class BadDatagramError(Exception):
    """It is dropped and counted; the text says why, for one line in the log within a rate."""


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Datagram)


def encode(datagram: Datagram) -> bytes:
    return ENCODER.encode(datagram)


def size(part: msgspec.Struct) -> int:
    return len(ENCODER.encode(part))


def decode(data: bytes, cluster: str) -> Datagram:
    """BadDatagramError if it is too long, unreadable, of another version or of another cluster."""
    if len(data) > DATAGRAM:
        raise BadDatagramError(f"{len(data)} bytes, over {DATAGRAM}")
    try:
        datagram = DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise BadDatagramError(f"unreadable: {error}"[:160]) from None
    if datagram.version != VERSION:
        raise BadDatagramError(f"version {datagram.version}, not {VERSION}")
    if datagram.cluster != cluster:
        raise BadDatagramError(
            f"of cluster {datagram.cluster!r}: see seeds and cluster on both sides"
        )
    return datagram
