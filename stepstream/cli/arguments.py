"""The type of the parsed arguments, and the reading of options that several commands share."""

from typing import Any

from stepstream.config.errors import ConfigurationError
from stepstream.config.fields import parse_whole_number

# As docopt returns them: a string, list or flag by the name of an option, argument or command.
Arguments = dict[str, Any]

MAX_OPTION_DIGITS = 9


def read_whole_number_option(option: str, text: str) -> int:
    """Return an option's whole number; `ConfigurationError` unless it is 1 to 9 ASCII digits."""
    number = parse_whole_number(text, MAX_OPTION_DIGITS)
    if number is None:
        raise ConfigurationError(f"{option}={text} is not a whole number")
    return number
