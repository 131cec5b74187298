"""Threads that continue after a fault, and pools of threads.

All threads are daemons, so that the main thread alone decides when the process ends. Each thread is
named for what it runs. The caller of `spawn_thread` owns it.
"""

import threading
import time
from collections import deque
from collections.abc import Callable
from typing import Any, TypeVarTuple

from stepstream.runtime import log_events

IDLE_THREAD_SECONDS = 2.0

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


Task = tuple[Callable[..., object], tuple[Any, ...]]


class IdleThread:
    """A thread of a pool that waits for a task."""

    __slots__ = ("task", "has_task")

    def __init__(self) -> None:
        self.task: Task | None = None  # set before `has_task` is released
        self.has_task = threading.Lock()
        self.has_task.acquire()


class ThreadPool:
    """Threads that run tasks, started when needed, at most `max_threads`.

    A task goes to the thread that became idle last, so that the others stay idle after a peak. A
    thread ends after `idle_seconds` without a task: each takes memory for its stack. Any thread may
    call `submit`.
    """

    def __init__(
        self, name: str, max_threads: int, idle_seconds: float = IDLE_THREAD_SECONDS
    ) -> None:
        self.name = name
        self.max_threads = max_threads
        self.idle_seconds = idle_seconds
        self.lock = threading.Lock()  # guards the next three fields
        self.waiting_tasks: deque[Task] = deque()  # for which no thread is idle
        self.idle_threads: list[IdleThread] = []
        self.thread_count = 0

    def submit(self, step: Callable[[*Arguments], object], *arguments: *Arguments) -> None:
        """Run a task in an idle thread, in a new one if allowed, or in the next that is free."""
        with self.lock:
            if self.idle_threads:
                thread = self.idle_threads.pop()
                thread.task = (step, arguments)
                thread.has_task.release()
                return
            self.waiting_tasks.append((step, arguments))
            needs_thread = self.thread_count < self.max_threads
            if needs_thread:
                self.thread_count += 1
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
            log_events.thread_start_failed(pool=self.name)

    def run_tasks(self) -> None:
        """Run tasks until there has been none for a while; each thread runs this method."""
        while (task := self._next_task()) is not None:
            step, arguments = task
            run_guarded(self.name, step, *arguments)
            # An idle thread must not keep what its last task was about, such as a connection.
            del task, step, arguments

    def _next_task(self) -> Task | None:
        """Return the next task; None if this thread ends."""
        with self.lock:
            if self.waiting_tasks:
                return self.waiting_tasks.popleft()
            idle = IdleThread()
            self.idle_threads.append(idle)
        if idle.has_task.acquire(timeout=self.idle_seconds):
            return idle.task
        with self.lock:
            if idle in self.idle_threads:
                self.idle_threads.remove(idle)
                self.thread_count -= 1
                return None
        return idle.task  # it was submitted at the last moment
