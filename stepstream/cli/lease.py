"""`stepstream lease`: the leases that a running dispatcher knows; leases has the usage."""

from contextlib import suppress

from stepstream.cli.errors import EXIT_OK, command_errors, optional_packages
from stepstream.config.errors import ConfigurationError


def run(command_line: list[str]) -> int:
    """Run the command line, which begins with `lease`; return its exit code."""
    with optional_packages("lease", extra="fleet"):
        from stepstream.leases.commands import run as run_lease
    with command_errors(ConfigurationError), suppress(KeyboardInterrupt):
        return run_lease(command_line)
    return EXIT_OK  # interrupted by the operator
