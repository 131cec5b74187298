"""A form of state with its samples, and malformed messages made from the samples."""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec
from golden.recorded_data import read_inputs

FOLDER = Path(__file__).resolve().parent
MAX_NUMBER = 2**53  # the greatest number that a message may hold
UNIX_MS = 1_700_000_000_000


@dataclass(frozen=True)
class Form:
    """A codec: `write` and `read` are the program's; `error` is raised for malformed data."""

    name: str
    write: Callable[[object], bytes]
    read: Callable[[bytes], object]
    error: type[Exception]
    samples: Callable[[], dict[str, object]]
    malformed: Callable[[], dict[str, bytes]]
    tolerated: Callable[[], dict[str, bytes]]  # readable, but written in another form


def edited(data: bytes, edit: dict) -> bytes:
    """Return MessagePack with one of its nested arrays changed, as the edit of a data file says.

    `path` leads to the element that `replace` exchanges, or to the array that `append` makes
    longer or `remove_last` shorter.
    """
    message = msgspec.msgpack.decode(data)
    part = message
    path = edit["path"]
    if "replace" in edit:
        *path, place = path
    for index in path:
        part = part[index]
    if "replace" in edit:
        part[place] = edit["replace"]
    elif "append" in edit:
        part.append(edit["append"])
    else:
        del part[-edit["remove_last"] :]
    return msgspec.msgpack.encode(message)


def edited_samples(
    form: str, part: str, write: Callable[[object], bytes], samples: dict[str, object]
) -> dict[str, bytes]:
    """Return the form's samples with the edits that its data file lists in this part."""
    edits = read_inputs(FOLDER, form)[part]
    return {name: edited(write(samples[edit["sample"]]), edit) for name, edit in edits.items()}


def broken_frames(data: bytes) -> dict[str, bytes]:
    """Return what any MessagePack form must reject."""
    return {
        "empty": b"",
        "truncated-by-one-byte": data[:-1],
        "truncated-to-half": data[: len(data) // 2],
        "bytes-behind-the-end": data + b"\x00",
        "not-an-array": msgspec.msgpack.encode({"version": 1}),
        "not-messagepack": b"\xc1" + data,
        "deeply-nested": b"\x91" * 1_000,
    }
