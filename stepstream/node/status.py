"""The counts of the status event, which the main thread logs once a minute and at the end."""

from collections.abc import Mapping

from stepstream.core.commands import Outcome
from stepstream.node.context import NodeContext

OUTCOME_FIELDS = {
    Outcome.SERVED: "served_requests",
    Outcome.REJECTED: "rejected_requests",
    Outcome.FAILED: "failed_requests",
}


def status_counts(context: NodeContext, outcome_counts: Mapping[Outcome, int]) -> dict[str, int]:
    """Return what is open now, and what was counted since the start.

    `outcome_counts` holds the answered requests; each subsystem adds fields of its own.
    """
    outbound = context.outbound
    overload_manager = context.server.overload_manager
    counts = {
        "open_requests": context.core.open_count,
        "inbound_connections": len(context.server.connections),
        "outbound_connections": outbound.pool.open_count,
        "rejected_connections": context.server.rejected_count,
        "memory_bytes": overload_manager.resident.counted_bytes(),
        "memory_limit_bytes": overload_manager.limits.memory.process_bytes,
        "open_request_bytes": overload_manager.open_request_memory.used_bytes,
        "buffered_bytes": overload_manager.buffered_memory.used_bytes,
        "queued_result_bytes": overload_manager.queued_result_memory.used_bytes,
        "memory_rejections": overload_manager.rejections.count,
        "unreadable_load_reports": context.unreadable_load_reports.count,
        "unreadable_answers": context.unreadable_answers.count,
        "failed_discovery_calls": context.failed_discovery_calls.count,
    }
    for outcome, count in outcome_counts.items():
        counts[OUTCOME_FIELDS[outcome]] = count
    for subsystem in context.subsystems.values():
        counts.update(subsystem.status_counts())
    return counts
