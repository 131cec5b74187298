"""The arguments that docopt has read, and the checks that several commands make on them."""

from typing import Any

from stepstream.config.errors import ConfigurationError
from stepstream.config.fields import parse_whole_number

Arguments = dict[str, Any]  # docopt's: option, argument or command name -> text, list or flag

MAX_OPTION_DIGITS = 9


def whole_number_option(option: str, text: str) -> int:
    """Return an option's whole number; `ConfigurationError` unless it is 1 to 9 ASCII digits."""
    number = parse_whole_number(text, MAX_OPTION_DIGITS)
    if number is None:
        raise ConfigurationError(f"{option}={text} is not a whole number")
    return number
