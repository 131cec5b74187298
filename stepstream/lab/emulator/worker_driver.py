"""Base of the emulated workers: run a worker's model in real time and report to the verifier.

`http_worker` and `gearman_worker` add the protocols. A driver owns its worker's model and sockets;
all of its methods run on the event loop that starts it.
"""

import asyncio
import contextlib
from abc import ABC, abstractmethod
from collections.abc import Coroutine
from dataclasses import dataclass, field
from math import inf
from typing import Any

from stepstream.lab.emulator.clock import US_PER_MS, US_PER_SECOND, Clock
from stepstream.lab.emulator.worker_model import (
    Health,
    SubmissionResult,
    Task,
    TaskEvent,
    TaskState,
    WorkerModel,
)
from stepstream.lab.emulator.workload import Workload
from stepstream.lab.verification.observations import Attempt, RequestKey
from stepstream.lab.verification.verifier import Verifier

MIN_EXTERNAL_WORK_US = 1000

# A job that no lab client sent gets the mean work of the site's first job class, times a log-normal
# factor with these parameters. The mean of the factor is 1.
EXTERNAL_WORK_LOG_MEAN = -0.125
EXTERNAL_WORK_LOG_SIGMA = 0.5


@dataclass(slots=True)
class TaskContext:
    """The driver's own record of a task, its `context`."""

    key: RequestKey
    attempt: Attempt
    handle: bytes = b""  # identifies the job to the dispatcher, where the protocol needs it


@dataclass(eq=False)
class WorkerDriver(ABC):
    """Run a worker's model in real time and report its attempts to the verifier."""

    model: WorkerModel
    clock: Clock
    verifier: Verifier
    # Set when a call changes the model's next event, so that `run_model` waits for the new one.
    model_changed: asyncio.Event = field(default_factory=asyncio.Event)
    background_tasks: list[asyncio.Task[None]] = field(default_factory=list)  # cancelled by `stop`
    external_job_count: int = 0  # jobs of clients other than the lab's

    @property
    def name(self) -> str:
        """Return the worker's name."""
        return self.model.spec.name

    def run_in_background(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background until `stop`."""
        self.background_tasks.append(asyncio.ensure_future(coroutine))

    async def run_model(self) -> None:
        """Advance the model in real time until cancelled."""
        while True:
            due_us = self.model.next_event_us()
            wait_seconds = (
                None if due_us == inf else max(due_us - self.clock.now_us(), 0) / US_PER_SECOND
            )
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.model_changed.wait(), wait_seconds)
            self.model_changed.clear()
            self.model.advance(self.clock.now_us())
            self.publish_events()

    def publish_events(self) -> None:
        """Report the model's new events to the verifier, then to the dispatcher."""
        for event in self.model.take_events():
            context: TaskContext = event.task.context
            if event.state in (TaskState.DONE, TaskState.FAILED):
                context.attempt.open = False
            if event.state is TaskState.DONE:
                self.verifier.on_result(context.key, self.result_of(event.task))
            self.notify(event)

    def result_of(self, task: Task) -> str:
        """Return the task's result, which names the job, the client's attempt and the worker."""
        key: RequestKey = task.context.key
        return f"price {key.job_number}.{key.client_attempt} by {self.name}"

    def generate_external_workload(self) -> Workload:
        """Draw the work of a job that no lab client sent, as for the site's first job class.

        The job number is negative, so that the verifier knows it is not part of the scenario.
        """
        self.external_job_count += 1
        job_class = self.verifier.scenario.site.job_classes[0]
        factor = self.model.rng.lognormal(EXTERNAL_WORK_LOG_MEAN, EXTERNAL_WORK_LOG_SIGMA)
        work_us = job_class.work_ms * US_PER_MS * factor
        return Workload(-self.external_job_count, 0, max(int(work_us), MIN_EXTERNAL_WORK_US), 1)

    def submit(self, task_id: str, body: bytes, handle: bytes = b"") -> SubmissionResult:
        """Offer a received job to the model; report the attempt to the verifier."""
        now_us = self.clock.now_us()
        workload = Workload.parse(body) or self.generate_external_workload()
        key = RequestKey(workload.job_number, workload.client_attempt)
        attempt = self.verifier.on_arrival(now_us, key, self.name, self.model.spec.cell)
        context = TaskContext(key, attempt, handle)
        task = Task(task_id, workload.work_us, workload.slots, context)
        was_warming_up = self.model.is_warming_up(now_us)
        result = self.model.submit(now_us, task)
        if result is SubmissionResult.DOWN and was_warming_up and self.model.health is Health.UP:
            self.verifier.on_overload_failure(now_us, self.name)
            self.terminate(Health.OVERLOADED)
        if result is not SubmissionResult.ACCEPTED:
            attempt.open = False
            attempt.never_ran = result is SubmissionResult.FULL
        self.model_changed.set()
        return result

    def terminate(self, health: Health = Health.DOWN) -> list[Task]:
        """End the emulated process; return the tasks it loses."""
        lost = self.model.terminate(self.clock.now_us(), health)
        self.publish_events()
        for task in lost:
            task.context.attempt.open = False
        return lost

    @abstractmethod
    async def start(self) -> None:
        """Start to serve; the worker is at full capacity from the start."""

    @abstractmethod
    def notify(self, event: TaskEvent) -> None:
        """Notify the dispatcher of an event, in the driver's protocol."""

    @abstractmethod
    def crash(self) -> None:
        """End the emulated process at once, with its connections."""

    @abstractmethod
    async def restart(self) -> None:
        """Start a new process after a crash."""

    def stop(self) -> None:
        """Cancel the background tasks."""
        for task in self.background_tasks:
            task.cancel()
