"""Typed reading of dotted name=value pairs."""

pass
from stepstream.config.errors import ConfigurationError


class SettingsFields:
    """The name=value parts of one message; names that nobody asks for are ignored."""

    def __init__(self, parts: list[str]) -> None:
        self.values: dict[str, str] = {}
        for part in parts:
            name, eq, value = part.partition("=")
            if not eq or not name:
                raise ConfigurationError(f"'{part}' is not name=value")
            self.values[name] = value

    @classmethod
    def from_pairs(cls, values: dict[str, str]) -> "SettingsFields":
        fields = cls([])
        fields.values = values
        return fields

    def text(self, name: str, default: str | None = None) -> str:
        value = self.values.get(name, default)
        if value is None:
            raise ConfigurationError(f"{name} is missing")
        return value

    def integer(self, name: str, default: int | None = None) -> int:
        value = self.values.get(name)
        if value is None and default is not None:
            return default
        try:
            return int(self.text(name))
        except ValueError:
            raise ConfigurationError(f"{name}={value} is not a whole number") from None

    def number(self, name: str, default: float | None = None) -> float:
        value = self.values.get(name)
        if value is None and default is not None:
            return default
        try:
            number = float(self.text(name))
        except ValueError:
            raise ConfigurationError(f"{name}={value} is not a number") from None
        if number != number or number in (float("inf"), float("-inf")):
            raise ConfigurationError(f"{name}={value} is not a finite number")
        return number

    def integer_at_least(self, name: str, least: int, default: int | None = None) -> int:
        """A whole number that cannot be served below `least`."""
        value = self.integer(name, default)
        if value < least:
            raise ConfigurationError(f"{name}={value} must be at least {least}")
        return value

    def number_between(self, name: str, low: float, high: float, default: float) -> float:
        value = self.number(name, default)
        if not low <= value <= high:
            raise ConfigurationError(f"{name}={value} is not between {low:g} and {high:g}")
        return value

    def flag(self, name: str, default: bool = False) -> bool:
        value = self.values.get(name)
        if value is None:
            return default
        if value in ("1", "true"):
            return True
        if value in ("0", "false"):
            return False
        raise ConfigurationError(f"{name}={value} is not a truth value")

    def choice(self, name: str, table: dict, default: str | None = None) -> object:
        value = self.text(name, default)
        if value not in table:
            raise ConfigurationError(f"{name}={value} is not known")
        return table[value]

    def comma_separated(self, name: str) -> list[str]:
        value = self.values.get(name, "")
        return value.split(",") if value not in ("", "-") else []


def flatten(value: object, path: str, pairs: dict[str, str]) -> dict[str, str]:
    """Nested JSON as the wire's dotted pairs."""
    dot = f"{path}." if path else ""
    if isinstance(value, dict):
        for name, part in value.items():
            flatten(part, dot + str(name), pairs)
    elif isinstance(value, list) and any(isinstance(part, dict) for part in value):
        pairs[dot + "count"] = str(len(value))
        for k, part in enumerate(value):
            flatten(part, f"{dot}{k}", pairs)
    elif isinstance(value, list):
        if any("," in str(part) for part in value):
            raise ConfigurationError(f"{path}: a value in this list holds a comma")
        pairs[path] = ",".join(map(plain, value))
    elif value is not None:
        pairs[path] = plain(value)
    return pairs


def plain(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)
