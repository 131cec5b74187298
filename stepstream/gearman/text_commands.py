"""The names of the protocol's text commands, their parser and their error lines.

`admin` runs the commands. The module holds no state; any thread may call its functions.
"""

from enum import Enum
from typing import NamedTuple


class TextCommand(Enum):
    """A text command; the value is its name on the wire."""

    WORKERS = "workers"
    STATUS = "status"
    VERSION = "version"
    MAXQUEUE = "maxqueue"
    CANCEL_JOB = "cancel job"
    SHOW_JOBS = "show jobs"
    SHOW_UNIQUE_JOBS = "show unique jobs"
    SHUTDOWN = "shutdown"


class ParsedCommand(NamedTuple):
    """A text command and its arguments, the tokens after its name."""

    command: TextCommand
    arguments: tuple[str, ...]


def parse_command(tokens: tuple[str, ...]) -> ParsedCommand | None:
    """Return the command that a line begins with, and its arguments; None for any other line."""
    for command in TextCommand:
        command_tokens = tuple(command.value.split())
        if tokens[: len(command_tokens)] == command_tokens:
            return ParsedCommand(command, tokens[len(command_tokens) :])
    return None


def unknown_command_error() -> str:
    """Return the error line for a line that is no command."""
    names = ", ".join(command.value for command in TextCommand)
    return error_line("UNKNOWN_COMMAND", f"the commands are {names}")


def error_line(code: str, text: str) -> str:
    """Return an error line; + replaces the spaces of the text, as in the protocol's own server."""
    return f"ERR {code} {text.replace(' ', '+')}\n"
