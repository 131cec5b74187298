"""The periodic tasks of the main thread: timeouts, idle connections, the staleness check.

A fault of one task is logged and does not prevent the others.
"""

from stepstream.node.context import NodeContext
from stepstream.runtime import log_events
from stepstream.runtime.threads import run_guarded


def run_periodic_tasks(context: NodeContext) -> None:
    """Run all periodic tasks once, while the node serves."""
    run_guarded("retire idle connections", context.outbound.pool.retire_idle)
    run_guarded("staleness check", check_stale_list, context)
    enforce_timeouts(context)


def check_stale_list(context: NodeContext) -> None:
    """Poll discovery in addition to its watch if refused connections suggest a stale list."""
    if context.destinations.claim_staleness_check():
        log_events.endpoint_list_suspected_stale()
        context.discovery.start_list_check()


def enforce_timeouts(context: NodeContext) -> None:
    """Enforce the timeouts of inbound connections, and run the subsystems' periodic tasks.

    A shutdown calls this as well, and more often: both are needed until the process ends.
    """
    run_guarded("enforce timeouts", context.server.enforce_timeouts)
    for key, subsystem in context.subsystems.items():
        run_guarded(key, subsystem.run_periodic_tasks)
