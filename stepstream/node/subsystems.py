"""The list of subsystems, and which of them a configuration enables.

A subsystem is a package whose module `subsystem` has the function `create_subsystem`, and one line
here. Its modules are imported only if it is enabled.
"""

from collections.abc import Iterator
from typing import TYPE_CHECKING

from stepstream.config.errors import ConfigurationError
from stepstream.config.node_config import NodeConfig

if TYPE_CHECKING:
    from stepstream.config.operator_file import OperatorConfig

# `operator` is a key of the node's configuration, the others are sections of the operator's file.
ADMIN = "operator"
# In the order in which they are created, started and stopped.
SUBSYSTEM_MODULES = {
    "identity": "stepstream.identity.subsystem",
    "gearman": "stepstream.gearman.subsystem",
    "fleet": "stepstream.membership.subsystem",
    "leases": "stepstream.leases.subsystem",
    ADMIN: "stepstream.admin.subsystem",
}


def enabled_subsystems(
    config: NodeConfig, operator: "OperatorConfig | None"
) -> Iterator[tuple[str, str]]:
    """Yield the key and the module of each enabled subsystem, in the order of the list.

    The node's configuration enables the admin subsystem. Each other one is enabled by its section
    of the operator's file.
    """
    for key, module in SUBSYSTEM_MODULES.items():
        if key == ADMIN:
            is_enabled = config.operator is not None
        else:
            is_enabled = operator is not None and has_section(operator, key)
        if is_enabled:
            yield key, module


def require_same_subsystems(old: "OperatorConfig", new: "OperatorConfig") -> None:
    """Raise `ConfigurationError` if a section of the operator's file was added or removed."""
    for key in SUBSYSTEM_MODULES:
        if key != ADMIN and has_section(old, key) != has_section(new, key):
            raise ConfigurationError(f"{key} is switched on or off only with a restart")


def has_section(operator: "OperatorConfig", key: str) -> bool:
    """Return whether the operator's file has the section of a subsystem."""
    return getattr(operator, key) is not None
