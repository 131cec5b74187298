"""The graceful shutdown after SIGTERM, run by the main thread: everything taken is answered.

Connections keep arriving until the front has noticed. Clients go on with the connections that they
have while there is time to answer: when dispatchers restart one after the other, the next one may
not be back yet, and they would find nobody. The listener stays open to the end: workers bring the
notifications that open requests wait for on new connections.
"""

import time

from stepstream.core.events import ShutdownStarted
from stepstream.node.context import NodeContext
from stepstream.node.periodic_tasks import enforce_timeouts
from stepstream.runtime import log_events
from stepstream.runtime.threads import run_guarded

MICROSECONDS = 1e6


def shut_down_node(context: NodeContext) -> None:
    """Answer all that was taken, then close every listener and stop the subsystems."""
    started_at = time.monotonic()
    context.server.state.shutdown_started_at = started_at
    announce_shutdown(context)
    wait_until_answered(context, started_at)
    context.server.close_listeners()
    for key, subsystem in context.subsystems.items():
        run_guarded(key, subsystem.stop)


def announce_shutdown(context: NodeContext) -> None:
    """Tell the subsystems, the front and the core.

    In a hot restart new connections go to the process beside this one, and the front, which asks
    whether this node is ready, is not told no.
    """
    # A list: each of them is told, whatever the one before it says.
    context.hot_restarting = any(
        [subsystem.begin_shutdown() for subsystem in context.subsystems.values()]
    )
    log_events.shutdown_started(
        open_requests=context.core.open_count, hot_restart=context.hot_restarting
    )
    if context.hot_restarting:
        context.server.close_listener(context.server.listeners[0])
    else:
        context.server.state.shutting_down = True
    answering_us = int(context.limits.shutdown.answering_seconds * MICROSECONDS)
    context.events.put(ShutdownStarted(context.clock.now_us() + answering_us))


def wait_until_answered(context: NodeContext, started_at: float) -> None:
    """Serve on until nothing has been owed for a while, or the longest time is over.

    `started_at`: on the monotonic clock, in seconds.
    """
    last_busy_at = started_at
    while (now := time.monotonic()) - started_at < context.limits.shutdown.max_seconds:
        limits = context.limits.shutdown
        if context.hot_restarting or now - started_at >= limits.serving_seconds:
            context.server.state.closing = True
            context.server.close_idle()
        enforce_timeouts(context)
        if context.server.busy() or context.core.open_count:
            last_busy_at = now
        is_quiet = now - last_busy_at >= limits.quiet_seconds
        if is_quiet and now - started_at >= limits.min_seconds:
            return
        time.sleep(limits.poll_seconds)
