"""Which subsystems there are, and which of them a configuration enables.

A subsystem is a package whose `subsystem` module has `create_subsystem`, and one line here. Its
modules are imported only where it is enabled.
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
    """Give the key and the module of each enabled subsystem, in their order."""
    for key, module in SUBSYSTEM_MODULES.items():
        if key == ADMIN:
            enabled = config.operator is not None
        else:
            enabled = operator is not None and getattr(operator, key) is not None
        if enabled:
            yield key, module


def require_same_subsystems(old: "OperatorConfig", new: "OperatorConfig") -> None:
    """Raise `ConfigurationError` if a section of the operator's file has come or gone."""
    for key in SUBSYSTEM_MODULES:
        if key != ADMIN and (getattr(old, key) is None) != (getattr(new, key) is None):
            raise ConfigurationError(f"{key} is switched on or off only with a restart")
