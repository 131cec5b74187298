"""`stepstream identity explain`: the access decision on a token, and the rule that decides it."""

from stepstream.cli.arguments import Arguments
from stepstream.cli.configuration import operator_path, read_configuration
from stepstream.cli.errors import CommandError, as_command_error, optional_packages
from stepstream.config.errors import ConfigurationError


def run(arguments: Arguments) -> int:
    """Print the decision and return its exit code; raise CommandError on faulty input."""
    _, operator = read_configuration(operator_path(arguments))
    if operator is None:  # the usage requires --operator, but its value may be ""
        raise CommandError("identity explain needs --operator FILE")
    with optional_packages("identity explain", extra="identity"):
        from stepstream.identity import commands  # not loaded if the configuration is faulty

    with as_command_error(ConfigurationError):
        return commands.explain_decision(
            operator.identity, arguments["--token"], arguments["--class"], arguments["--tenant"]
        )
