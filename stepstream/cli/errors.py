"""The error that ends a command, and the translation of other errors into it.

`stepstream.cli.main` prints a `CommandError` as one line after `stepstream: ` on standard error and
returns its exit code. The module keeps no state.
"""

from collections.abc import Iterator
from contextlib import contextmanager

EXIT_OK = 0
EXIT_FAULT = 2  # a faulty configuration or command line, or a missing package


class CommandError(Exception):
    """A command failed; the message says why, and the process exits with `exit_code`."""

    def __init__(self, message: str, exit_code: int = EXIT_FAULT) -> None:
        super().__init__(message)
        self.exit_code = exit_code


@contextmanager
def as_command_error(*kinds: type[Exception], prefix: str = "") -> Iterator[None]:
    """Raise an error of these kinds as a `CommandError`, with `prefix` before its message."""
    try:
        yield
    except kinds as error:
        raise CommandError(f"{prefix}{error}") from error


@contextmanager
def optional_packages(needed_by: str, extra: str) -> Iterator[None]:
    """Guard the imports of a part of the program whose packages are not installed everywhere.

    If a package is missing, raise a `CommandError` whose message begins with `needed_by`. `extra`
    is the project's extra that installs the package.
    """
    try:
        yield
    except ModuleNotFoundError as error:
        raise CommandError(
            f"{needed_by} needs the package {error.name}: pip install .[{extra}]"
        ) from error
