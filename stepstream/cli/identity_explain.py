"""`stepstream identity explain`: the decision on a token, and the rule behind it."""

from stepstream.cli.arguments import Arguments
from stepstream.cli.configuration import operator_path, read_configuration
from stepstream.cli.errors import CommandError, command_errors, optional_packages
from stepstream.config.errors import ConfigurationError


def run(arguments: Arguments) -> int:
    """Print the decision and return its exit code; raise CommandError on faulty input."""
    _, operator = read_configuration(operator_path(arguments))
    if operator is None:  # the usage demands --operator, but its FILE may be empty
        raise CommandError("identity explain needs --operator FILE")
    with optional_packages("identity explain", extra="identity"):
        from stepstream.identity import commands  # not loaded where the configuration is at fault

    with command_errors(ConfigurationError):
        return commands.explain(
            operator.identity, arguments["--token"], arguments["--class"], arguments["--tenant"]
        )
