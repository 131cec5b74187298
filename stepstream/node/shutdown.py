"""The graceful shutdown after SIGTERM, run by the main thread: every request is answered.

New connections arrive until the front proxy, which spreads clients over dispatchers, has noticed
the shutdown. Clients may use their open connections as long as there is time to answer: when
dispatchers restart one after the other, another one may not serve yet, and the clients would find
no dispatcher. Except in a hot restart, the listener stays open to the end, because workers open new
connections for the notifications that open requests wait for.
"""

import time

from stepstream.config.limits import ShutdownTimeouts
from stepstream.core.events import ShutdownStarted
from stepstream.node.context import NodeContext
from stepstream.node.periodic_tasks import enforce_timeouts
from stepstream.runtime import log_events
from stepstream.runtime.threads import run_guarded

MICROSECONDS_PER_SECOND = 1e6


def shut_down_node(context: NodeContext) -> None:
    """Answer every request, then close every listener and stop the subsystems."""
    started_at = time.monotonic()
    context.server.state.shutdown_started_at = started_at
    announce_shutdown(context)
    wait_until_answered(context, started_at)
    context.server.close_listeners()
    for key, subsystem in context.subsystems.items():
        run_guarded(key, subsystem.stop)


def announce_shutdown(context: NodeContext) -> None:
    """Notify the subsystems, the front proxy and the core of the shutdown.

    In a hot restart new connections go to the sibling process, and the readiness check still
    succeeds.
    """
    # A list, not a generator: every subsystem must be notified.
    context.hot_restarting = any(
        [subsystem.begin_shutdown() for subsystem in context.subsystems.values()]
    )
    log_events.shutdown_started(
        open_requests=context.core.open_count, hot_restart=context.hot_restarting
    )
    answering_us = int(context.limits.shutdown.answering_seconds * MICROSECONDS_PER_SECOND)
    context.events.put(ShutdownStarted(context.clock.now_us() + answering_us))
    if context.hot_restarting:
        context.server.close_listener(context.server.listeners[0])
    else:
        context.server.state.shutting_down = True


def wait_until_answered(context: NodeContext, started_at: float) -> None:
    """Serve until the shutdown may end; `started_at` is in monotonic seconds."""
    last_busy_at = started_at
    while True:
        now = time.monotonic()
        elapsed_seconds = now - started_at
        timeouts = context.limits.shutdown
        if elapsed_seconds >= timeouts.max_seconds:
            return
        hot_restarting = context.hot_restarting
        if must_close_connections(elapsed_seconds, timeouts, hot_restarting=hot_restarting):
            context.server.state.closing = True
            context.server.close_idle()
        enforce_timeouts(context)
        if context.server.delays_shutdown() or context.core.open_count:
            last_busy_at = now
        if may_end(elapsed_seconds, now - last_busy_at, timeouts):
            return
        time.sleep(timeouts.poll_seconds)


def must_close_connections(
    elapsed_seconds: float, timeouts: ShutdownTimeouts, *, hot_restarting: bool
) -> bool:
    """Decide whether idle connections close now, and others after their next answer.

    `elapsed_seconds` count from SIGTERM. In a hot restart the connections close at once, because
    the sibling process accepts new ones. Otherwise clients keep theirs for `serving_seconds`.
    """
    return hot_restarting or elapsed_seconds >= timeouts.serving_seconds


def may_end(elapsed_seconds: float, quiet_seconds: float, timeouts: ShutdownTimeouts) -> bool:
    """Decide whether the shutdown may end: no request is open, and none can still arrive.

    `elapsed_seconds` count from SIGTERM. For `quiet_seconds` no request has been open and no
    connection has been busy. The front proxy may still send clients until it has noticed the
    shutdown, so the shutdown takes at least `min_seconds`.
    """
    has_been_quiet = quiet_seconds >= timeouts.quiet_seconds
    return has_been_quiet and elapsed_seconds >= timeouts.min_seconds
