"""Threads that outlive a fault."""

import threading
from collections.abc import Callable
from queue import SimpleQueue

from stepstream.runtime.log import log


def run_guarded(name: str, step: Callable, *args: object) -> None:
    """Guards the program: an unexpected fault costs one line in the log, not the thread's caller."""
    try:
        step(*args)
    except Exception as error:
        log(f"fault in {name}: {type(error).__name__}: {error}")


def spawn_thread(name: str, step: Callable, *args: object) -> None:
    threading.Thread(target=run_guarded, args=(name, step, *args), name=name, daemon=True).start()


class ThreadPool:
    """Threads that take jobs from one queue, started as needed up to a bound."""

    def __init__(self, name: str, most: int) -> None:
        self.name, self.max_threads = name, most
        self.jobs: SimpleQueue[tuple[Callable, tuple]] = SimpleQueue()
        self.lock = threading.Lock()
        self.threads, self.free = 0, 0  # free: threads less the jobs that are queued or being done

    def submit(self, step: Callable, *args: object) -> None:
        with self.lock:
            self.free -= 1
            start = self.free < 0 and self.threads < self.max_threads
            if start:
                self.threads, self.free = self.threads + 1, self.free + 1
        self.jobs.put((step, args))
        if start:
            self.start()

    def start(self) -> None:
        try:
            spawn_thread(self.name, self.work)
        except RuntimeError:
            # Guards against a machine out of threads: the job waits for one that is there.
            with self.lock:
                self.threads, self.free = self.threads - 1, self.free - 1
            log(f"no thread to be had for {self.name}")

    def work(self) -> None:
        while True:
            step, args = self.jobs.get()
            run_guarded(self.name, step, *args)
            with self.lock:
                self.free += 1
