"""`stepstream serve`: one dispatcher, until SIGTERM."""

from stepstream.cli.arguments import Arguments
from stepstream.cli.configuration import ERROR_PREFIX, operator_path, read_configuration
from stepstream.cli.errors import command_errors
from stepstream.config.errors import ConfigurationError


def run(arguments: Arguments) -> int:
    """Serve in this thread until the node stops; return its exit code.

    Raise CommandError if the configuration is at fault or an address cannot be bound.
    """
    path = operator_path(arguments)
    config, operator = read_configuration(path)
    from stepstream.node.node import Node  # not loaded where the configuration is at fault

    host, port = config.listen
    with (
        command_errors(ConfigurationError, prefix=ERROR_PREFIX),
        command_errors(OSError, prefix=f"{ERROR_PREFIX}listen={host}:{port}: "),
    ):
        return Node(config, operator, path).run()
