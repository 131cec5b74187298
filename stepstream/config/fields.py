"""Typed reading of dotted name=value pairs, the form that both sources of settings share.

The simulator's wire sends such pairs; `flatten` turns a configuration file's nested JSON into them.
The functions keep no state; a `SettingsFields` holds the pairs of one message.
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

    Pairs that are never read are ignored. Every method raises `ConfigurationError`, which names the
    key, if the value is missing and has no default, or is not of the expected form.
    """

    def __init__(self, pairs: list[str]) -> None:
        self.values: dict[str, str] = {}
        for pair in pairs:
            name, equals_sign, value = pair.partition("=")
            if not equals_sign or not name:
                raise ConfigurationError(f"'{pair}' is not name=value")
            self.values[name] = value

    @classmethod
    def from_pairs(cls, values: dict[str, str]) -> "SettingsFields":
        """Create the fields from a mapping of names to values."""
        fields = cls([])
        fields.values = values
        return fields

    def text(self, name: str, default: str | None = None) -> str:
        """Read a string."""
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
        """Read a boolean; false if it is missing."""
        value = self.values.get(name)
        if value is None or value in FALSE_TEXTS:
            return False
        if value in TRUE_TEXTS:
            return True
        raise ConfigurationError(f"{name}={value} is not a truth value (true or false)")

    def choice(self, name: str, meanings: Mapping[str, Value], default: str | None = None) -> Value:
        """Read one of the words that are keys of `meanings`; return the value of that key."""
        value = self.text(name, default)
        if value not in meanings:
            raise ConfigurationError(f"{name}={value} is not known ({', '.join(meanings)} are)")
        return meanings[value]

    def comma_separated(self, name: str) -> list[str]:
        """Read a comma-separated list; it is empty if the value is missing, empty or `-`."""
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
        for name, member in value.items():
            flatten(member, f"{prefix}{name}", pairs)
    elif isinstance(value, list):
        flatten_list(value, path, pairs)
    elif value is not None:
        pairs[path] = format_scalar(value)
    return pairs


def flatten_list(items: list[object], path: str, pairs: dict[str, str]) -> None:
    """Add a JSON list to `pairs`, as `flatten` describes."""
    if any(isinstance(item, dict) for item in items):
        prefix = f"{path}." if path else ""
        pairs[f"{prefix}count"] = str(len(items))
        for position, item in enumerate(items):
            flatten(item, f"{prefix}{position}", pairs)
        return
    if any("," in str(item) for item in items):
        raise ConfigurationError(f"{path}: a value in this list holds a comma")
    pairs[path] = ",".join(map(format_scalar, items))


def format_scalar(value: object) -> str:
    """Format a JSON scalar as the wire does, with `true` and `false` in lower case."""
    return str(value).lower() if isinstance(value, bool) else str(value)


def split_address(text: str) -> tuple[str, int]:
    """Split HOST:PORT; the caller has checked its form."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def parse_whole_number(text: str, max_digits: int) -> int | None:
    """Return the number that 1 to `max_digits` ASCII digits spell; None for any other text."""
    if not (text.isascii() and text.isdigit() and len(text) <= max_digits):
        return None
    return int(text)
