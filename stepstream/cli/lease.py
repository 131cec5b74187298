"""`stepstream lease`: the leases that a running dispatcher knows.

The usage of this command is in `stepstream.leases.commands`.
"""

from contextlib import suppress

from stepstream.cli.errors import EXIT_OK, as_command_error, optional_packages
from stepstream.config.errors import ConfigurationError


def run(command_line: list[str]) -> int:
    """Run the command line, which begins with `lease`; return its exit code."""
    with optional_packages("lease", extra="fleet"):
        from stepstream.leases.commands import run as run_lease
    with as_command_error(ConfigurationError), suppress(KeyboardInterrupt):
        return run_lease(command_line)
    return EXIT_OK  # interrupted by the operator
