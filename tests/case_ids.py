"""Readable ids for the mappings and sequences of parametrized tables: `ids=case_id`."""

import enum
from collections.abc import Mapping, Sequence, Set

MAX_ID_LENGTH = 60
EMPTY = "empty"


def case_id(value):
    """Return an id for a mapping, sequence or set of plain values; None for pytest's own id."""
    if isinstance(value, str | bytes) or not isinstance(value, Mapping | Sequence | Set):
        return None
    return text_of(value)[:MAX_ID_LENGTH]


def text_of(value):
    """Return the value as text: names with their values, or values separated by blanks."""
    if isinstance(value, enum.Enum):
        return value.name.lower()
    if isinstance(value, Mapping):
        return " ".join(f"{name}={text_of(part)}" for name, part in value.items()) or EMPTY
    if isinstance(value, Set):  # sorted: the order of a set differs from run to run
        return " ".join(sorted(map(text_of, value))) or EMPTY
    if isinstance(value, Sequence) and not isinstance(value, str | bytes):
        return " ".join(map(text_of, value)) or EMPTY
    return str(value)
