"""What has yet to be passed on: each piece some times, the least often told first; free of I/O."""

from collections.abc import Iterator
from dataclasses import dataclass
from math import ceil, log10

import msgspec

from stepstream.membership import messages as m

MOST = 4_096  # pieces that wait; with more the oftenest told goes first
MOST_FACTS = (
    4  # in one datagram beside a body: they are news for people, and must not crowd out states
)
ROOM = m.DATAGRAM - 64  # what the frame round the pieces takes at most, beside sender and body


@dataclass(slots=True)
class Piece:
    part: msgspec.Struct
    size: int
    told: int = 0


Key = tuple[type, str]


def key_of(part: msgspec.Struct) -> Key:
    match part:
        case m.Row():
            return m.Row, part.name
        case m.Facts():
            return m.Facts, part.owner
        case m.Word():
            return m.Word, part.worker
    raise TypeError(part)


class Gossip:
    def __init__(self, multiple: float) -> None:
        """`multiple`: times the logarithm of the fleet's size is how often a piece is told."""
        self.multiple = multiple
        self.pieces: dict[Key, Piece] = {}

    def put(self, part: msgspec.Struct) -> None:
        """The newest of one key replaces what was waiting."""
        if len(self.pieces) >= MOST and key_of(part) not in self.pieces:
            del self.pieces[max(self.pieces, key=lambda key: self.pieces[key].told)]
        self.pieces[key_of(part)] = Piece(part, m.size(part))

    def waiting(self, kind: type) -> bool:
        return any(key[0] is kind for key in self.pieces)

    def take(self, members: int, room: int, facts: int = MOST_FACTS) -> list[msgspec.Struct]:
        """As much as fits `room` bytes, counted as told once more."""
        if not self.pieces:
            return []
        limit = ceil(self.multiple * log10(members + 1))
        taken: list[msgspec.Struct] = []
        rank = {m.Row: 0, m.Word: 1, m.Facts: 2}
        order = sorted(self.pieces.items(), key=lambda item: (rank[item[0][0]], item[1].told))
        counts = dict.fromkeys(rank, 0)
        for key, piece in order:
            full = counts[key[0]] >= (facts if key[0] is m.Facts else m.MOST_ROWS)
            if piece.size > room or full:
                continue
            room -= piece.size
            counts[key[0]] += 1
            taken.append(piece.part)
            piece.told += 1
            if piece.told >= limit:
                del self.pieces[key]
        return taken


def pages(parts: Iterator[msgspec.Struct], room: int) -> Iterator[list[msgspec.Struct]]:
    """All of these in as many datagrams as it takes."""
    page: list[msgspec.Struct] = []
    left = room
    for part in parts:
        need = m.size(part)
        if page and (need > left or len(page) >= m.MOST_ROWS):
            yield page
            page, left = [], room
        page.append(part)
        left -= need
    if page:
        yield page


def sorted_out(parts: list[msgspec.Struct]) -> dict[str, tuple]:
    """By the datagram's fields."""
    names = {m.Row: "rows", m.Facts: "facts", m.Word: "words"}
    found: dict[str, list] = {name: [] for name in names.values()}
    for part in parts:
        found[names[type(part)]].append(part)
    return {name: tuple(rows) for name, rows in found.items()}
