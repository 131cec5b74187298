"""One dispatcher as a process: the main thread that starts it, handles its signals and ends it.

The main thread runs the start, reloads, periodic tasks, the status event and the shutdown, one at a
time. The decisions run on a thread of their own, see `decision_thread`.
"""

import gc
import signal
import sys
import time
from queue import Empty
from types import FrameType
from typing import TYPE_CHECKING

from stepstream.config.node_config import NodeConfig
from stepstream.node.context import NodeContext
from stepstream.node.decision_thread import DecisionThread
from stepstream.node.periodic_tasks import run_periodic_tasks
from stepstream.node.reload import reload_configuration
from stepstream.node.shutdown import shut_down_node
from stepstream.node.startup import start_node
from stepstream.node.status import status_counts
from stepstream.runtime import log_events
from stepstream.runtime.threads import run_guarded

if TYPE_CHECKING:
    from stepstream.config.operator_file import OperatorConfig

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
# Python's default is 5 ms: with many threads, the decision thread would wait too long for the GIL.
THREAD_SWITCH_INTERVAL_SECONDS = 0.001


class Node(NodeContext):
    """A dispatcher: its components, and how it starts, serves, reloads and stops."""

    def __init__(
        self,
        config: NodeConfig,
        operator: "OperatorConfig | None" = None,
        operator_path: str | None = None,
    ) -> None:
        super().__init__(config, operator, operator_path)
        self.decision_thread = DecisionThread(self)

    def run(self) -> int:
        """Serve until SIGTERM or SIGINT, and return the exit status; SIGHUP reloads."""
        for signal_number in HANDLED_SIGNALS:
            signal.signal(signal_number, self.on_signal)
        sys.setswitchinterval(THREAD_SWITCH_INTERVAL_SECONDS)
        self.start()
        # Modules are never garbage: without them the collector scans the rest more often.
        gc.freeze()
        self.serve()
        self.stop()
        return 0

    def serve(self) -> None:
        """Handle signals and run the periodic tasks, until SIGTERM or SIGINT arrives."""
        last_tasks_at = time.monotonic()
        last_status_at = last_tasks_at
        while (signal_number := self.next_signal()) in (None, signal.SIGHUP):
            if signal_number is not None:
                run_guarded("reload", reload_configuration, self)
            loop = self.limits.loop  # a reload replaces the limits
            now = time.monotonic()
            if now - last_tasks_at >= loop.periodic_tasks_seconds:
                last_tasks_at = now
                self.run_periodic_tasks()
            if now - last_status_at >= loop.status_period_seconds:
                last_status_at += loop.status_period_seconds
                self.log_status()

    def start(self) -> None:
        """Start every thread and listener, and become ready; see `startup`."""
        start_node(self, self.decision_thread)

    def stop(self) -> None:
        """Answer every request and close everything; see `shutdown`."""
        shut_down_node(self)
        self.log_status()
        log_events.shutdown_finished()

    def run_periodic_tasks(self) -> None:
        """Run the periodic tasks once; see `periodic_tasks`."""
        run_periodic_tasks(self)

    def log_status(self) -> None:
        """Log the status event."""
        log_events.status(counts=status_counts(self, self.decision_thread.outcome_counts))

    def on_signal(self, signal_number: int, frame: FrameType | None) -> None:  # noqa: ARG002
        """Queue a signal for the main thread's loop.

        Python calls this handler in the main thread, between any two bytecode instructions.
        """
        self.signals.put(signal_number)

    def next_signal(self) -> int | None:
        """Wait for a signal for at most `signal_wait_seconds`; None if there is none.

        The wait is short, because a signal may not interrupt it: a SIGTERM that is handled late
        leaves less time to answer everything before SIGKILL.
        """
        try:
            return self.signals.get(timeout=self.limits.loop.signal_wait_seconds)
        except Empty:
            return None
