"""Typed reading of dotted name=value pairs, the form that both sources of settings share.

The simulator's wire sends such pairs; nested JSON is flattened into them by `flatten`. Nothing here
keeps state beyond one message.
"""

import math
from collections.abc import Mapping
from typing import TypeVar

from stepstream.config.errors import ConfigurationError

Value = TypeVar("Value")

TRUE_TEXTS = ("1", "true")
FALSE_TEXTS = ("0", "false")
EMPTY_LIST_TEXTS = ("", "-")
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


class SettingsFields:
    """The name=value pairs of one message, each read as the type that its reader expects.

    Pairs that no reader takes are ignored. Every method raises `ConfigurationError`, which names
    the key, for a value that is missing without a default or not of the expected form.
    """

    def __init__(self, parts: list[str]) -> None:
        self.values: dict[str, str] = {}
        for part in parts:
            name, equals_sign, value = part.partition("=")
            if not equals_sign or not name:
                raise ConfigurationError(f"'{part}' is not name=value")
            self.values[name] = value

    @classmethod
    def from_pairs(cls, values: dict[str, str]) -> "SettingsFields":
        """Wrap pairs that are separated already."""
        fields = cls([])
        fields.values = values
        return fields

    def text(self, name: str, default: str | None = None) -> str:
        """Read a text."""
        value = self.values.get(name, default)
        if value is None:
            raise ConfigurationError(f"{name} is missing")
        return value

    def integer(self, name: str, default: int | None = None) -> int:
        """Read a whole number."""
        value = self.values.get(name)
        if value is None and default is not None:
            return default
        try:
            return int(self.text(name))
        except ValueError:
            raise ConfigurationError(f"{name}={value} is not a whole number") from None

    def number(self, name: str, default: float | None = None) -> float:
        """Read a finite number."""
        value = self.values.get(name)
        if value is None and default is not None:
            return default
        try:
            number = float(self.text(name))
        except ValueError:
            raise ConfigurationError(f"{name}={value} is not a number") from None
        if not math.isfinite(number):
            raise ConfigurationError(f"{name}={value} is not a finite number")
        return number

    def integer_at_least(self, name: str, minimum: int, default: int | None = None) -> int:
        """Read a whole number that must not be below `minimum`."""
        value = self.integer(name, default)
        if value < minimum:
            raise ConfigurationError(f"{name}={value} must be at least {minimum}")
        return value

    def number_between(self, name: str, minimum: float, maximum: float, default: float) -> float:
        """Read a number from `minimum` to `maximum`, both included."""
        value = self.number(name, default)
        if not minimum <= value <= maximum:
            raise ConfigurationError(f"{name}={value} is not between {minimum:g} and {maximum:g}")
        return value

    def positive_number(self, name: str, default: float) -> float:
        """Read a number above 0."""
        value = self.number(name, default)
        if value <= 0:
            raise ConfigurationError(f"{name}={value} must be above 0")
        return value

    def flag(self, name: str) -> bool:
        """Read a truth value; a missing one is false."""
        value = self.values.get(name)
        if value is None or value in FALSE_TEXTS:
            return False
        if value in TRUE_TEXTS:
            return True
        raise ConfigurationError(f"{name}={value} is not a truth value (true or false)")

    def choice(self, name: str, meanings: Mapping[str, Value], default: str | None = None) -> Value:
        """Read one of the words that `meanings` lists; return its meaning."""
        value = self.text(name, default)
        if value not in meanings:
            raise ConfigurationError(f"{name}={value} is not known ({', '.join(meanings)} are)")
        return meanings[value]

    def comma_separated(self, name: str) -> list[str]:
        """Read a list; missing, empty and `-` are the empty list."""
        value = self.values.get(name, "")
        return [] if value in EMPTY_LIST_TEXTS else value.split(",")

    def address(self, name: str) -> tuple[str, int]:
        """Read HOST:PORT."""
        text = self.text(name)
        host, _, port = text.rpartition(":")
        port_number = parse_whole_number(port.lstrip("0"), MAX_PORT_DIGITS)
        if not host or port_number is None or port_number > MAX_PORT:
            raise ConfigurationError(f"{name}={text} is not HOST:PORT")
        return host, port_number


def flatten(value: object, path: str, pairs: dict[str, str]) -> dict[str, str]:
    """Add a nested JSON value to `pairs` as the wire's dotted names, below `path`; return `pairs`.

    A list of plain values becomes one comma-separated value, a list with objects in it becomes
    `path.count` and `path.0`, `path.1`, ...; null is left out.
    """
    prefix = f"{path}." if path else ""
    if isinstance(value, dict):
        for name, part in value.items():
            flatten(part, f"{prefix}{name}", pairs)
    elif isinstance(value, list):
        flatten_list(value, path, pairs)
    elif value is not None:
        pairs[path] = scalar_text(value)
    return pairs


def flatten_list(parts: list[object], path: str, pairs: dict[str, str]) -> None:
    """Add a JSON list to `pairs`, as `flatten` describes."""
    if any(isinstance(part, dict) for part in parts):
        prefix = f"{path}." if path else ""
        pairs[f"{prefix}count"] = str(len(parts))
        for position, part in enumerate(parts):
            flatten(part, f"{prefix}{position}", pairs)
        return
    if any("," in str(part) for part in parts):
        raise ConfigurationError(f"{path}: a value in this list holds a comma")
    pairs[path] = ",".join(map(scalar_text, parts))


def scalar_text(value: object) -> str:
    """Write a JSON scalar as the wire does: `true` and `false` in lower case."""
    return str(value).lower() if isinstance(value, bool) else str(value)


def split_address(text: str) -> tuple[str, int]:
    """Split HOST:PORT, whose form has been checked."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def parse_whole_number(text: str, max_digits: int) -> int | None:
    """Return the number that 1 to `max_digits` ASCII digits spell; None for any other text."""
    if not (text.isascii() and text.isdigit() and len(text) <= max_digits):
        return None
    return int(text)
