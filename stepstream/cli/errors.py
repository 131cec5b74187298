"""The error that ends a command, and the translation of other errors into it.

`stepstream.cli.main` prints a `CommandError` as one line after `stepstream: ` on standard error and
exits with its code. Nothing here keeps state.
"""

from collections.abc import Iterator
from contextlib import contextmanager

EXIT_OK = 0
EXIT_FAULT = 2  # a faulty configuration or call, or a missing package


class CommandError(Exception):
    """A command cannot be carried out; the text says why, and the process ends with `exit_code`."""

    def __init__(self, text: str, exit_code: int = EXIT_FAULT) -> None:
        super().__init__(text)
        self.exit_code = exit_code


@contextmanager
def command_errors(*kinds: type[Exception], prefix: str = "") -> Iterator[None]:
    """Turn an error of these kinds into a `CommandError`: `prefix`, then the error's own text."""
    try:
        yield
    except kinds as error:
        raise CommandError(f"{prefix}{error}") from error


@contextmanager
def optional_packages(needed_by: str, extra: str) -> Iterator[None]:
    """Guard the imports of a part of the program whose packages are not installed everywhere.

    `needed_by` begins the text of the `CommandError` that is raised for a missing package; `extra`
    is the project's extra that brings it.
    """
    try:
        yield
    except ModuleNotFoundError as error:
        raise CommandError(
            f"{needed_by} needs the package {error.name}: pip install .[{extra}]"
        ) from error
