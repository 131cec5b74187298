"""The reload after SIGHUP, run by the main thread: it applies both files completely or not at all.

Open requests, connections and the policy's measurements are kept. All checks come before the first
change.
"""

import threading
from dataclasses import replace
from typing import TYPE_CHECKING

from stepstream.config.errors import ConfigurationError
from stepstream.config.node_config import NodeConfig, read_config
from stepstream.http.client_api import ClientApi
from stepstream.http.discovery_client import DiscoveryClient
from stepstream.model.events import SettingsChanged
from stepstream.node.context import NodeContext
from stepstream.node.subsystems import require_same_subsystems
from stepstream.runtime import log_events
from stepstream.runtime.threads import spawn_thread

if TYPE_CHECKING:
    from stepstream.config.operator_file import OperatorConfig


def reload_configuration(context: NodeContext) -> None:
    """Reload the configuration and the operator's file; a fault in either changes nothing."""
    try:
        config = read_config()
        operator = reread_operator_file(context, config)
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


def reread_operator_file(context: NodeContext, config: NodeConfig) -> "OperatorConfig | None":
    """Read the operator's file again.

    Raise `ConfigurationError` if a section was added or removed.
    """
    if context.operator_path is None or context.operator is None:
        return context.operator
    # Imported here, because a dispatcher without the file must not load its reader.
    from stepstream.config.operator_file import read_operator

    operator = read_operator(context.operator_path, config.settings)
    require_same_subsystems(context.operator, operator)
    return operator


def require_same_listener(old: NodeConfig, new: NodeConfig) -> None:
    """Raise `ConfigurationError` if the clients' address has changed."""
    if new.listen != old.listen:
        host, port = new.listen
        raise ConfigurationError(f"listen={host}:{port} changes only with a restart")


def run_client_after(old_stopped: threading.Event, client: DiscoveryClient) -> None:
    """Run a discovery client once the old one has stopped, so that only one adopts lists."""
    old_stopped.wait()
    client.run()


def apply_configuration(context: NodeContext, config: NodeConfig) -> None:
    """Replace the configuration of every component; it must have passed all checks."""
    config = replace(config, settings=context.effective_settings(config))
    limits = context.limits_of(config)
    old_client = context.discovery
    new_client = context.create_discovery_client(config, limits)
    new_client.poll_now()  # the platform expects the new list soon after a reload
    old_stopped = threading.Event()
    # This comes before any change: if no thread can be started, everything stays as it is.
    spawn_thread("discovery", run_client_after, old_stopped, new_client)
    old_client.stop()
    if config.discovery == context.config.discovery:
        # The new client continues the watch without a fetch of the complete list.
        new_client.version = old_client.version
    old_stopped.set()
    # The core gets the new settings before any message is read under them.
    context.events.put(SettingsChanged(config.settings))
    context.config = config
    context.limits = limits
    context.reports.reconfigure(config.settings)
    context.server.reconfigure(limits, ClientApi(config.settings, context.reports))
    context.outbound.reconfigure(limits)
    context.destinations.staleness.dispatcher_count = config.settings.dispatcher_count
    context.discovery = new_client
