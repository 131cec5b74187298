"""A node's start, run by the main thread: from the first thread to readiness.

Peers rely on the order of its steps. The subsystems start first. Then the clients' address is
bound. The node listens on it only after an agent that pushes endpoint lists has had time to send
one. The node becomes ready last.
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

    Raise OSError if the clients' address is not available, and `ConfigurationError` if the address
    of a subsystem is not.
    """
    # Applies to all threads that start after this call.
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
    # Last: a peer that sees the node ready relies on everything above.
    if context.destinations.version is None:
        spawn_thread("await first endpoint list", become_ready_with_list_or_timeout, context)
    else:
        context.server.state.starting = False


def load_persisted_endpoints(context: NodeContext) -> None:
    """Adopt the endpoint list from before the start; ignore a malformed one."""
    if not context.persisted_endpoints:
        return  # an empty object would be adopted as version 0
    discovery = context.discovery
    try:
        discovery.adopt_list(discovery.api.read(context.persisted_endpoints, persisted=True))
    except ProtocolError as error:
        log_events.persisted_endpoint_list_ignored(reason=str(error))


def wait_for_pushed_list(context: NodeContext) -> None:
    """Wait a moment for the list of an agent that pushes it.

    The dispatcher must know that list before its first request.
    """
    if not context.config.settings.polls_endpoints:
        context.discovery.first_answer_received.wait(
            context.limits.startup.first_agent_list_seconds
        )


def become_ready_with_list_or_timeout(context: NodeContext) -> None:
    """Wait for the first endpoint list, for a few seconds at most; then become ready.

    Runs in a thread of its own.
    """
    context.discovery.poll()
    context.discovery.first_answer_received.wait(context.limits.startup.first_endpoint_list_seconds)
    context.server.state.starting = False
