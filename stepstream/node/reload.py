"""A reload after SIGHUP, run by the main thread: both files are read anew, all or nothing.

Open requests and connections stay, and so does what the policy has learned. Everything that can be
wrong is found before anything is changed.
"""

from dataclasses import replace
from typing import TYPE_CHECKING

from stepstream.config.errors import ConfigurationError
from stepstream.config.limits import limits_for
from stepstream.config.node_config import NodeConfig, read_config
from stepstream.http.client_api import ClientApi
from stepstream.model.events import SettingsChanged
from stepstream.node.context import NodeContext
from stepstream.node.subsystems import require_same_subsystems
from stepstream.runtime import log_events
from stepstream.runtime.threads import spawn_thread

if TYPE_CHECKING:
    from stepstream.config.operator_file import OperatorConfig


def reload_configuration(context: NodeContext) -> None:
    """Read the configuration and the operator's file anew; a fault in either leaves both as is."""
    try:
        config = read_config()
        operator = reread_operator(context, config)
        require_same_listener(context.config, config)
        commits = [
            subsystem.prepare_reload(config, operator) for subsystem in context.subsystems.values()
        ]
    except ConfigurationError as error:
        log_events.reload_failed(reason=str(error))
        return
    apply_configuration(context, config)
    context.operator = operator
    for commit in commits:
        commit()
    host, port = config.discovery
    log_events.configuration_reloaded(dispatcher=config.name, discovery_address=f"{host}:{port}")


def reread_operator(context: NodeContext, config: NodeConfig) -> "OperatorConfig | None":
    """Read the operator's file anew; `ConfigurationError` if a section has come or gone."""
    if context.operator_path is None or context.operator is None:
        return context.operator
    # Imported here: without the file nothing of it is loaded.
    from stepstream.config.operator_file import read_operator

    operator = read_operator(context.operator_path, config.settings)
    require_same_subsystems(context.operator, operator)
    return operator


def require_same_listener(old: NodeConfig, new: NodeConfig) -> None:
    """Raise `ConfigurationError` if the clients' address has changed."""
    if new.listen != old.listen:
        host, port = new.listen
        raise ConfigurationError(f"listen={host}:{port} changes only with a restart")


def apply_configuration(context: NodeContext, config: NodeConfig) -> None:
    """Let every component go on with a checked configuration."""
    config = replace(config, settings=context.effective_settings(config))
    limits = limits_for(config)
    old = context.discovery
    new = context.create_discovery_client(config, limits)
    if config.discovery == context.config.discovery:
        new.version = old.version  # the same list goes on: no need for a complete one
    new.poll_now()  # its list counts soon after a reload
    spawn_thread("discovery", new.run)  # first: without a thread nothing changes
    old.stop()
    # Before anything is read by the new settings: the core is the first to get them.
    context.events.put(SettingsChanged(config.settings))
    context.config = config
    context.limits = limits
    context.reports.reconfigure(config.settings)
    context.server.reconfigure(limits, ClientApi(config.settings, context.reports))
    context.outbound.reconfigure(limits)
    context.destinations.staleness.dispatcher_count = config.settings.dispatcher_count
    context.discovery = new
