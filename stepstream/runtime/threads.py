"""Threads that continue after a fault, and pools of threads.

All threads are daemons, so that the main thread alone decides when the process ends. Each thread is
named for what it runs. The caller of `spawn_thread` owns it.
"""

import threading
import time
from collections.abc import Callable
from queue import SimpleQueue
from typing import Any, TypeVarTuple

from stepstream.runtime import log_events

Arguments = TypeVarTuple("Arguments")


def run_guarded(name: str, step: Callable[[*Arguments], object], *arguments: *Arguments) -> None:
    """Run a step and log an unexpected fault; the caller's thread continues."""
    try:
        step(*arguments)
    except Exception as error:  # noqa: BLE001  without this guard the thread would end
        log_events.internal_fault(where=name, error=error)


def run_until_closed(
    name: str, step: Callable[[], object], is_closed: Callable[[], bool], pause_seconds: float
) -> None:
    """Repeat a step until closed, and log each unexpected fault.

    The loop pauses after a fault, so that a lasting one neither fills the log nor uses a whole
    processor.
    """
    while not is_closed():
        try:
            step()
        except Exception as error:  # noqa: BLE001  else the subsystem would stop silently
            log_events.internal_fault(where=name, error=error)
            time.sleep(pause_seconds)


def spawn_thread(name: str, step: Callable[[*Arguments], object], *arguments: *Arguments) -> None:
    """Start a guarded daemon thread; raise RuntimeError if the system cannot start one."""
    threading.Thread(
        target=run_guarded, args=(name, step, *arguments), name=name, daemon=True
    ).start()


class ThreadPool:
    """Threads that run tasks from one queue, started when needed, at most `max_threads`.

    The threads never stop. Any thread may call `submit`.
    """

    def __init__(self, name: str, max_threads: int) -> None:
        self.name = name
        self.max_threads = max_threads
        self.tasks: SimpleQueue[tuple[Callable[..., object], tuple[Any, ...]]] = SimpleQueue()
        self.lock = threading.Lock()  # guards the two counts
        self.thread_count = 0
        self.idle_count = 0  # threads minus tasks that are queued or running; may be negative

    def submit(self, step: Callable[[*Arguments], object], *arguments: *Arguments) -> None:
        """Queue a task, and start a thread for it if all are busy and more are allowed."""
        with self.lock:
            self.idle_count -= 1
            needs_thread = self.idle_count < 0 and self.thread_count < self.max_threads
            if needs_thread:
                self.thread_count += 1
                self.idle_count += 1
        self.tasks.put((step, arguments))
        if needs_thread:
            self.start_thread()

    def start_thread(self) -> None:
        """Start the thread that `submit` has already counted."""
        try:
            spawn_thread(self.name, self.run_tasks)
        except RuntimeError:
            # If the system can start no thread, the task waits for one of the pool's threads.
            with self.lock:
                self.thread_count -= 1
                self.idle_count -= 1
            log_events.thread_start_failed(pool=self.name)

    def run_tasks(self) -> None:
        """Run queued tasks forever; each thread of the pool runs this method."""
        while True:
            step, arguments = self.tasks.get()
            run_guarded(self.name, step, *arguments)
            with self.lock:
                self.idle_count += 1
