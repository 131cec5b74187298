"""The text commands of the protocol: their names, their parser and their error lines.

`admin` runs them. There is no state here; any thread may call the functions.
"""

from enum import Enum
from typing import NamedTuple


class TextCommand(Enum):
    """A text command; the values are its words on the wire."""

    WORKERS = "workers"
    STATUS = "status"
    VERSION = "version"
    MAXQUEUE = "maxqueue"
    CANCEL_JOB = "cancel job"
    SHOW_JOBS = "show jobs"
    SHOW_UNIQUE_JOBS = "show unique jobs"
    SHUTDOWN = "shutdown"


class ParsedCommand(NamedTuple):
    """A text command and the tokens behind it."""

    command: TextCommand
    arguments: tuple[str, ...]


def parse_command(tokens: tuple[str, ...]) -> ParsedCommand | None:
    """Return the command that a line begins with, and its arguments; None for none."""
    for command in TextCommand:
        command_tokens = tuple(command.value.split())
        if tokens[: len(command_tokens)] == command_tokens:
            return ParsedCommand(command, tokens[len(command_tokens) :])
    return None


def unknown_command_error() -> str:
    """Return the answer to a line that is no command."""
    names = ", ".join(command.value for command in TextCommand)
    return error_line("UNKNOWN_COMMAND", f"the commands are {names}")


def error_line(code: str, text: str) -> str:
    """Return an error's line, its words joined by + as at the protocol's own server."""
    return f"ERR {code} {text.replace(' ', '+')}\n"
