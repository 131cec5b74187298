"""One dispatcher as a process: the main thread that starts it, handles its signals and ends it.

The main thread owns the node's life. Start, reload, periodic tasks, status event and shutdown
happen in it, one at a time. Decisions are made in a thread of their own, `decision_thread`.
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
# Threads that wait for the interpreter ask for it sooner than after the usual 5 ms.
THREAD_SWITCH_SECONDS = 0.001


class Node(NodeContext):
    """A dispatcher: its components, and the steps of its life."""

    def __init__(
        self,
        config: NodeConfig,
        operator: "OperatorConfig | None" = None,
        operator_path: str | None = None,
    ) -> None:
        super().__init__(config, operator, operator_path)
        self.decision_thread = DecisionThread(self)

    def run(self) -> int:
        """Serve until SIGTERM or SIGINT; give the exit status. SIGHUP reloads."""
        for number in HANDLED_SIGNALS:
            signal.signal(number, self.on_signal)
        sys.setswitchinterval(THREAD_SWITCH_SECONDS)
        self.start()
        if self.operator is not None:
            # The modules of further packages live as long as the process: no garbage collection
            # need look at them.
            gc.freeze()
        self.serve()
        self.stop()
        return 0

    def serve(self) -> None:
        """Handle signals and run what is due at intervals, until a signal ends the node."""
        tasks_at = time.monotonic()
        status_at = tasks_at
        while (number := self.next_signal()) in (None, signal.SIGHUP):
            if number is not None:
                run_guarded("reload", reload_configuration, self)
            loop = self.limits.loop  # a reload replaces the limits
            now = time.monotonic()
            if now - tasks_at >= loop.periodic_tasks_seconds:
                tasks_at = now
                self.run_periodic_tasks()
            if now - status_at >= loop.status_period_seconds:
                status_at += loop.status_period_seconds
                self.log_status()

    def start(self) -> None:
        """Start every thread and listener, and become ready; see `startup`."""
        start_node(self, self.decision_thread)

    def stop(self) -> None:
        """Answer all that was taken and close everything; see `shutdown`."""
        shut_down_node(self)
        self.log_status()
        log_events.shutdown_finished()

    def run_periodic_tasks(self) -> None:
        """Do what is due at every interval; see `periodic_tasks`."""
        run_periodic_tasks(self)

    def log_status(self) -> None:
        """Log the status event."""
        log_events.status(counts=status_counts(self, self.decision_thread.outcome_counts))

    def on_signal(self, number: int, frame: FrameType | None) -> None:  # noqa: ARG002  Python's form
        """Hand a signal to the main thread's loop; runs in that thread, between any two steps."""
        self.signals.put(number)

    def next_signal(self) -> int | None:
        """Wait for a signal, briefly; None if there is none.

        Where a signal does not cut a wait short, SIGTERM is handled that much later, and the time
        to answer everything before SIGKILL, which counts from the signal, is that much shorter.
        """
        try:
            return self.signals.get(timeout=self.limits.loop.signal_wait_seconds)
        except Empty:
            return None
