"""The arguments that docopt has read, and the checks that several commands make on them."""

from typing import Any

from stepstream.config.errors import ConfigurationError

Arguments = dict[str, Any]  # docopt's: option, argument or command name -> text, list or flag

MAX_DIGITS = 9


def parse_whole_number(option: str, text: str) -> int:
    """Return an option's whole number; `ConfigurationError` unless it is 1 to 9 ASCII digits."""
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        raise ConfigurationError(f"{option}={text} is not a whole number")
    return int(text)
