"""The text commands of the protocol: their names, how a line is parsed, and how errors read.

`admin` runs them. There is no state here; any thread may call the functions.
"""

from enum import Enum


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


def parse_command(words: tuple[str, ...]) -> tuple[TextCommand, tuple[str, ...]] | None:
    """Return the command that a line's words begin with, and its arguments; None for none."""
    for command in TextCommand:
        command_words = tuple(command.value.split())
        if words[: len(command_words)] == command_words:
            return command, words[len(command_words) :]
    return None


def unknown_command_error() -> str:
    """Return the answer to a line that is no command."""
    names = ", ".join(command.value for command in TextCommand)
    return error_line("UNKNOWN_COMMAND", f"the commands are {names}")


def error_line(code: str, text: str) -> str:
    """Return an error's line; its words are joined by +, as the protocol's own server does it."""
    return f"ERR {code} {text.replace(' ', '+')}\n"
