"""`stepstream serve`: run one dispatcher until SIGTERM."""

from stepstream.cli.arguments import Arguments
from stepstream.cli.configuration import ERROR_PREFIX, operator_path, read_configuration
from stepstream.cli.errors import as_command_error
from stepstream.config.errors import ConfigurationError


def run(arguments: Arguments) -> int:
    """Serve in this thread until the node stops; return its exit code.

    Raise CommandError if the configuration is at fault or an address cannot be bound.
    """
    path = operator_path(arguments)
    config, operator = read_configuration(path)
    from stepstream.node.node import Node  # not loaded if the configuration is faulty
    from stepstream.runtime.allocator import configure_allocator

    configure_allocator()
    host, port = config.listen
    with (
        as_command_error(ConfigurationError, prefix=ERROR_PREFIX),
        as_command_error(OSError, prefix=f"{ERROR_PREFIX}listen={host}:{port}: "),
    ):
        return Node(config, operator, path).run()
