"""The two files that configure a dispatcher, read for the commands that need them.

EDGE_CONFIG names the platform's JSON file. `--operator` or STEPSTREAM_OPERATOR names the operator's
own TOML file; its reader is imported only if such a file is named.
"""

import os
from typing import TYPE_CHECKING

from stepstream.cli.arguments import Arguments
from stepstream.cli.errors import as_command_error, optional_packages
from stepstream.config.errors import ConfigurationError
from stepstream.config.node_config import NodeConfig, read_config

if TYPE_CHECKING:
    from stepstream.config.operator_file import OperatorConfig

ERROR_PREFIX = "configuration: "


def operator_path(arguments: Arguments) -> str | None:
    """Return the path of the operator's file, or None if none is named."""
    return arguments["--operator"] or os.environ.get("STEPSTREAM_OPERATOR") or None


def read_configuration(path: str | None) -> tuple[NodeConfig, "OperatorConfig | None"]:
    """Read the platform's file, then the operator's at `path`; raise CommandError for a fault."""
    with as_command_error(ConfigurationError, prefix=ERROR_PREFIX):
        config = read_config()
        if path is None:
            return config, None
        with optional_packages(f"{ERROR_PREFIX}--operator", extra="operator"):
            from stepstream.config.operator_file import read_operator
        return config, read_operator(path, config.settings)
