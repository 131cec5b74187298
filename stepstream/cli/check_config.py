"""`stepstream check-config`: read the configuration and print a summary."""

from typing import TYPE_CHECKING

from stepstream.cli.arguments import Arguments
from stepstream.cli.configuration import operator_path, read_configuration
from stepstream.cli.errors import EXIT_OK
from stepstream.config.node_config import NodeConfig

if TYPE_CHECKING:
    from stepstream.config.operator_file import OperatorConfig


def run(arguments: Arguments) -> int:
    """Print the summary; raise CommandError, which names the first faulty key."""
    config, operator = read_configuration(operator_path(arguments))
    print_summary(config, operator)
    return EXIT_OK


def print_summary(config: NodeConfig, operator: "OperatorConfig | None") -> None:
    """Print a line on each of these: address, classes, tenants, limits and Gearman's address."""
    settings = config.settings
    print(f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}")
    print(f"classes: {', '.join(job_class.name for job_class in settings.classes)}")
    print(f"tenants: {', '.join(settings.tenants) or 'none'}")
    print(f"limits: {config.cores} cores, {config.memory_mb} MB, {config.sockets} descriptors")
    if operator is not None and operator.gearman is not None:
        print(f"gearman: listens on {operator.gearman.listen}")
