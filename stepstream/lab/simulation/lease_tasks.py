"""Tasks that contend for leases: each repeatedly acquires a lease and operates while it holds it.

A `TaskRun` is in one of these states; `LeaseCluster.call_in_process` runs its steps:

- thinking: the task does not want the lease. After a random pause it is waiting.
- waiting: the task's proposer tries to acquire the lease. The task polls the lease until it may
  begin an operation.
- operating: the task checks the lease, begins an operation on the resource and ends it, with
  random pauses between these steps, so that faults also fall between two steps. Afterwards the task
  is waiting again.

After it has held the lease for long enough, or after the resource rejected its token, a waiting
task releases the lease and is thinking again.
"""

import random
from dataclasses import dataclass
from math import inf
from typing import Protocol

from stepstream.lab.simulation.guarded_resource import GuardedResource, Operation
from stepstream.lab.simulation.lease_invariants import check_fenced_by_a_later_token
from stepstream.lab.simulation.lease_process import LeaseProcess
from stepstream.lab.simulation.timeline import Step
from stepstream.leases.configuration import LeaseConfiguration
from stepstream.leases.envelopes import OutgoingEnvelope
from stepstream.leases.fencing import FencedError
from stepstream.leases.proposer import Proposer

OPERATION_GAP_SECONDS = 0.01
"""Pause between two operations of one task."""

POLL_SECONDS = (0.02, 0.1)
"""Shortest and longest pause between two polls of a task that may not operate."""

THINK_FACTOR = (0.5, 1.5)
"""Shortest and longest pause before a task wants its lease again, as factors of the mean pause."""

OPERATION_FRACTION = (0.2, 1.0)
"""Shortest and longest operation, as fractions of `Task.max_operation_seconds`."""

CHECK_FRACTION = 0.3
"""The fraction of an operation's time between the check of the lease and the beginning."""


@dataclass(frozen=True)
class Task:
    """Describe what a task wants.

    Attributes:
        lease: the name of the lease and of the resource.
        ttl_seconds: the lease's time to live.
        max_operation_seconds: the longest operation.
        hold_seconds: the time after which the task releases the lease.
        think_seconds: the mean pause until the task wants the lease again.

    """

    lease: str
    ttl_seconds: float = 4.0
    max_operation_seconds: float = 0.8
    hold_seconds: float = 3.0
    think_seconds: float = 1.0


class TaskHost(Protocol):
    """What a task uses of its cluster."""

    now: float
    rng: random.Random
    configuration: LeaseConfiguration
    resources: dict[str, GuardedResource]
    fenced_operations: int

    def call_in_process(self, process: LeaseProcess, delay_seconds: float, step: Step) -> None:
        """Run a step later, unless the process ends or is restarted before."""

    def send(self, process: LeaseProcess, envelopes: list[OutgoingEnvelope]) -> None:
        """Put a process's envelopes on the links."""


class TaskRun:
    """One task in one process; a restart of the process ends it."""

    def __init__(self, host: TaskHost, process: LeaseProcess, task: Task) -> None:
        self._host = host
        self._process = process
        self._task = task
        # Local time of the first operation with the present lease; infinity before it.
        self._first_operation_at = inf

    def acquire(self) -> None:
        """Begin to acquire the lease."""
        task = self._task
        proposer, envelopes = self._process.running_participant.acquire(
            self._local_now(), task.lease, task.ttl_seconds, task.max_operation_seconds
        )
        self._host.send(self._process, envelopes)
        self._first_operation_at = inf
        self._poll(proposer)

    def _local_now(self) -> float:
        return self._process.to_local_time(self._host.now)

    def _call_later(self, delay_seconds: float, step: Step) -> None:
        self._host.call_in_process(self._process, delay_seconds, step)

    def _poll(self, proposer: Proposer) -> None:
        """Check the lease, and begin an operation if the task may."""
        now = self._local_now()
        if proposer.is_over:
            factor = self._host.rng.uniform(*THINK_FACTOR)
            self._call_later(factor * self._task.think_seconds, self.acquire)
        elif now - self._first_operation_at > self._task.hold_seconds:
            self._release(proposer)
        elif proposer.may_begin_operation(now):
            self._first_operation_at = min(self._first_operation_at, now)
            self._prepare_operation(proposer)
        else:
            pause_seconds = self._host.rng.uniform(*POLL_SECONDS)
            self._call_later(pause_seconds, lambda: self._poll(proposer))

    def _prepare_operation(self, proposer: Proposer) -> None:
        """Schedule the beginning of an operation, a moment after the check of the lease.

        The process's own clock measures `max_operation_seconds`, and may run fast by the drift.
        The operation is therefore shorter by the greatest drift on the timeline.
        """
        max_seconds = self._task.max_operation_seconds
        factor = self._host.rng.uniform(*OPERATION_FRACTION)
        seconds = factor * max_seconds / (1 + self._host.configuration.max_clock_drift)
        operation_seconds = seconds * (1 - CHECK_FRACTION)
        self._call_later(
            seconds * CHECK_FRACTION, lambda: self._begin_operation(proposer, operation_seconds)
        )

    def _begin_operation(self, proposer: Proposer, operation_seconds: float) -> None:
        """Begin an operation on the resource."""
        resource = self._host.resources.setdefault(proposer.lease, GuardedResource())
        try:
            operation = resource.begin(self._host.now, proposer.token, proposer.proposer_id)
        except FencedError as error:
            self._on_fenced(proposer, error)
            return
        self._call_later(operation_seconds, lambda: self._end_operation(proposer, operation))

    def _end_operation(self, proposer: Proposer, operation: Operation) -> None:
        """End an operation on the resource."""
        try:
            self._host.resources[proposer.lease].end(self._host.now, operation)
        except FencedError as error:
            self._on_fenced(proposer, error)
            return
        self._call_later(OPERATION_GAP_SECONDS, lambda: self._poll(proposer))

    def _on_fenced(self, proposer: Proposer, error: FencedError) -> None:
        """Release a lease whose token is smaller than one that the resource has seen."""
        self._host.fenced_operations += 1
        check_fenced_by_a_later_token(self._host.now, proposer.proposer_id, error)
        self._process.running_participant.advance_ballots_past(error.highest_token)
        self._release(proposer)

    def _release(self, proposer: Proposer) -> None:
        """Release the lease."""
        envelopes = self._process.running_participant.release(self._local_now(), proposer)
        self._host.send(self._process, envelopes)
        self._first_operation_at = inf
        self._poll(proposer)
