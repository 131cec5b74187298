"""A node's start, run by the main thread: from the first thread to readiness.

Its order is what peers rely on: subsystems first, then the clients' address is bound, and it is
listened on once an agent of pushed lists had its moment; ready is said last of all.
"""

import threading

from stepstream.http.codec import ProtocolError
from stepstream.node.context import NodeContext
from stepstream.node.decision_thread import DecisionThread
from stepstream.ports.connections import BoundListener
from stepstream.runtime import log_events
from stepstream.runtime.threads import spawn_thread


def start_node(context: NodeContext, decision_thread: DecisionThread) -> None:
    """Start every thread and listener.

    OSError if the clients' address cannot be had, `ConfigurationError` if a subsystem's cannot.
    """
    # Holds for all threads from here on.
    threading.stack_size(context.limits.sizes.thread_stack_bytes)
    for subsystem in context.subsystems.values():
        subsystem.start()
    load_persisted_endpoints(context)
    context.server.state.starting = True
    client_listener = context.server.bind(context.config.listen)
    spawn_thread("discovery", context.discovery.run)
    wait_for_pushed_list(context)
    context.server.start_listening(client_listener)
    listeners = [BoundListener(context.config.listen, client_listener)]
    for subsystem in context.subsystems.values():
        listeners.extend(subsystem.open_listeners())
    spawn_thread("decisions", decision_thread.run)
    for listener in listeners:
        spawn_thread("accept", context.server.accept_loop, listener.spec)
        host, port = listener.address
        log_events.listener_started(
            dispatcher=context.config.name,
            address=f"{host}:{port}",
            protocol=listener.protocol,
        )
    for subsystem in context.subsystems.values():
        subsystem.on_serving()
    # Last: who is told that the node is ready may count on all of this.
    if context.destinations.version is None:
        spawn_thread("first list", become_ready_with_list, context)
    else:
        context.server.state.starting = False


def load_persisted_endpoints(context: NodeContext) -> None:
    """Begin with the list from before the start; one that cannot be read counts as none."""
    if not context.persisted_endpoints:
        return  # its version would be one that discovery never gave
    discovery = context.discovery
    try:
        discovery.adopt_list(discovery.api.read(context.persisted_endpoints, persisted=True))
    except ProtocolError as error:
        log_events.persisted_endpoint_list_ignored(reason=str(error))


def wait_for_pushed_list(context: NodeContext) -> None:
    """Wait a moment for the list of an agent that pushes it.

    Guards the first requests: what such an agent has counts from the first moment on.
    """
    if not context.config.settings.polls_endpoints:
        context.discovery.first_answer_received.wait(
            context.limits.startup.first_agent_list_seconds
        )


def become_ready_with_list(context: NodeContext) -> None:
    """Wait for a list to serve from, or for a few seconds if none can be had; then be ready.

    Runs in a thread of its own.
    """
    context.discovery.poll()
    context.discovery.first_answer_received.wait(context.limits.startup.first_endpoint_list_seconds)
    context.server.state.starting = False
