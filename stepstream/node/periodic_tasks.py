"""What the main thread does at intervals: timeouts, sweeps and the subsystems' own tasks.

A fault of one task is logged and does not hold up the others.
"""

from stepstream.node.context import NodeContext
from stepstream.runtime import log_events
from stepstream.runtime.threads import run_guarded


def run_periodic_tasks(context: NodeContext) -> None:
    """Do all of it; while the node serves."""
    run_guarded("sweep", context.outbound.pool.retire_idle)
    run_guarded("doubt", check_suspected_list, context)
    enforce_timeouts(context)


def check_suspected_list(context: NodeContext) -> None:
    """Ask discovery anew, beside its watch, if the workers' refusals make its list look stale."""
    if context.destinations.claim_staleness_check():
        log_events.endpoint_list_suspected_stale()
        context.discovery.check_beside_watch()


def enforce_timeouts(context: NodeContext) -> None:
    """Enforce the timeouts of clients' connections, and run the subsystems' tasks.

    Also while the node shuts down, more often then.
    """
    run_guarded("look", context.server.enforce_timeouts)
    for key, subsystem in context.subsystems.items():
        run_guarded(key, subsystem.run_periodic_tasks)
