"""The status line that the main thread logs once a minute and at the end."""

from collections.abc import Mapping

from stepstream.core.commands import Outcome
from stepstream.node.context import NodeContext


def status_line(context: NodeContext, outcome_counts: Mapping[Outcome, int]) -> str:
    """Say how many requests and connections there are, and what came of all requests so far."""
    server = context.server
    outbound = context.outbound
    parts = [
        f"status: {context.core.open_count} requests open",
        f"{len(server.connections)} inbound and {outbound.pool.open_count} outbound connections",
        f"{server.rejected_count} turned away",
        f"{context.bad_reports.count} load reports and "
        f"{context.bad_answers.count} answers unreadable",
        f"{context.bad_lists.count} calls to discovery failed",
    ]
    parts.extend(f"{count} {outcome.value}" for outcome, count in outcome_counts.items())
    parts.extend(text for subsystem in context.subsystems.values() if (text := subsystem.status()))
    return ", ".join(parts)
