"""Functions for this package's two wire formats: decoding, and packing parts into datagrams.

Free of I/O and of state.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

import msgspec

from stepstream.leases.errors import LeaseError

MAX_REASON_CHARACTERS = 160  # a decoder's error may quote the data at length

Part = TypeVar("Part")
Decoded = TypeVar("Decoded")


def decode_with(
    decoder: "msgspec.msgpack.Decoder[Decoded]", data: bytes, error_type: type[LeaseError]
) -> Decoded:
    """Return the decoded value; raise `error_type` with the reason if the bytes are unreadable."""
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise error_type(f"unreadable: {error}"[:MAX_REASON_CHARACTERS]) from error


def pack(
    parts: Iterable[Part],
    size_of: Callable[[Part], int],
    capacity_bytes: int,
    max_parts: int,
) -> Iterator[list[Part]]:
    """Yield the parts, in their order, in lists of at most `capacity_bytes` and `max_parts`.

    A part that is larger than the capacity is in a list of its own.
    """
    packed: list[Part] = []
    free_bytes = capacity_bytes
    for part in parts:
        size_bytes = size_of(part)
        if packed and (size_bytes > free_bytes or len(packed) >= max_parts):
            yield packed
            packed = []
            free_bytes = capacity_bytes
        packed.append(part)
        free_bytes -= size_bytes
    if packed:
        yield packed
