"""Run a dispatcher whose leases subsystem runs a task that contends for a lease.

    python -m stepstream.lab.processes.lease_member serve --operator FILE

EDGE_CONFIG names the platform's configuration file, as for `stepstream serve`. The environment
variable `LAB_LEASE_TASK` configures the task, which `lease_task` defines.
"""

import argparse
import sys

from stepstream.config.node_config import read_config
from stepstream.config.operator_file import read_operator
from stepstream.node.node import Node
from stepstream.node.subsystems import SUBSYSTEM_MODULES

LEASES = "leases"
"""The section of the operator's file that enables the subsystem."""


def serve(operator_path: str) -> int:
    """Run the dispatcher until SIGTERM; return its exit code.

    Raise ConfigurationError if a file is invalid, and OSError if an address cannot be bound.
    """
    SUBSYSTEM_MODULES[LEASES] = "stepstream.lab.processes.lease_task"
    config = read_config()
    return Node(config, read_operator(operator_path, config.settings), operator_path).run()


def main() -> int:
    """Read the command line and run its command."""
    parser = argparse.ArgumentParser(
        description="Run a dispatcher with a task that contends for a lease."
    )
    parser.add_argument("command", choices=["serve"])
    parser.add_argument("--operator", required=True)
    return serve(parser.parse_args().operator)


if __name__ == "__main__":
    sys.exit(main())
