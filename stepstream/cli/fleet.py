"""`stepstream fleet`: the members that a running dispatcher knows.

The usage of this command is in `stepstream.membership.commands`.
"""

from contextlib import suppress

from stepstream.cli.errors import EXIT_OK, as_command_error, optional_packages
from stepstream.config.errors import ConfigurationError


def run(command_line: list[str]) -> int:
    """Run the command line, which begins with `fleet`; return its exit code."""
    with optional_packages("fleet", extra="fleet"):
        from stepstream.membership.commands import run as run_fleet
    with as_command_error(ConfigurationError), suppress(KeyboardInterrupt):
        return run_fleet(command_line)
    return EXIT_OK  # interrupted by the operator
