"""Read the data files of the golden samples, and convert values to the JSON form that they hold.

`<form>.inputs.json` holds the inputs of the program, `<form>.json` its results. JSON has no bytes
and no short form for long repetitions, so both files use these conventions:

- bytes are text, one character a byte (Latin-1);
- `{"$repeat": value, "times": count}` is a text or list repeated;
- `{"$join": [text, ...]}` is the concatenation of texts;
- `{"$bytes": text}` is a bytes object, where the type of a value matters.
"""

import dataclasses
import enum
import json
from pathlib import Path

REPEAT = "$repeat"
JOIN = "$join"
BYTES = "$bytes"


def read_inputs(folder: Path, form: str) -> dict:
    """Return the inputs of a form, with the short forms expanded."""
    return expand(read_results(folder, f"{form}.inputs"))


def read_results(folder: Path, form: str) -> object:
    """Return the recorded results of a form."""
    return json.loads((folder / f"{form}.json").read_text(encoding="utf-8"))


def expand(value: object) -> object:
    """Expand the short forms in a value of JSON."""
    if isinstance(value, list):
        return [expand(part) for part in value]
    if not isinstance(value, dict):
        return value
    if REPEAT in value:
        return expand(value[REPEAT]) * value["times"]
    if JOIN in value:
        return "".join(expand(part) for part in value[JOIN])
    if BYTES in value:
        return bytes_of(expand(value[BYTES]))
    return {name: expand(part) for name, part in value.items()}


def text_of(data: bytes) -> str:
    """Return bytes as text, one character a byte."""
    return data.decode("latin-1")


def bytes_of(text: str) -> bytes:
    """Return the bytes of a text that `text_of` has returned."""
    return text.encode("latin-1")


def as_json(value: object) -> object:
    """Return a value as it is after writing it to JSON and reading it again."""
    return json.loads(json.dumps(value))


def to_json(value: object) -> object:
    """Convert any value to JSON: a record becomes the list of its values, without field names."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return [to_json(getattr(value, field.name)) for field in dataclasses.fields(value)]
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, bytes):
        return text_of(value)
    if isinstance(value, dict):
        return {str(key): to_json(part) for key, part in value.items()}
    if isinstance(value, frozenset | set):
        return sorted(map(to_json, value))
    if isinstance(value, list | tuple):
        return [to_json(part) for part in value]
    return value
