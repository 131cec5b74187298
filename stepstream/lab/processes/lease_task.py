"""A task inside a dispatcher that contends for a lease and operates on a ledger.

`lease_member` runs a dispatcher with it. The environment configures the task:

- `LAB_LEDGER=HOST:PORT`: the address of the ledger.
- `LAB_LEASE=NAME,TTL,OPERATION,HOLD`: the lease's name, and in seconds its time to live, the
  longest operation, and how long to operate before the lease is released.
- `LAB_MANY=N`: hold N leases at once, and do not operate.
- `LAB_TASKS=MEMBER,MEMBER`: the members that run the task, where not all of them do.

The task has one thread, which owns all of its state.
"""

import os
import random
import time
from contextlib import closing
from dataclasses import dataclass
from typing import Self

from stepstream.config.operator_file import split_address
from stepstream.lab.verification.ledger import Client
from stepstream.leases.client import Lease, LeaseClient, LeaseLostError, OperationOverranError
from stepstream.leases.subsystem import LeasesSubsystem
from stepstream.runtime.threads import spawn_thread
from stepstream.subsystem_api.context import SubsystemContext

LEDGER = "LAB_LEDGER"
LEASE = "LAB_LEASE"
MANY = "LAB_MANY"
TASKS = "LAB_TASKS"

RETRY_SECONDS = 0.05
GRANT_CHECK_SECONDS = 0.5
RENEWAL_CHECK_SECONDS = 1.0
LONGEST_PAUSE_SECONDS = 0.2
"""Longest pause after a release, so that another member may acquire the lease."""

MIN_OPERATION_FRACTION = 0.1
MAX_OPERATION_FRACTION = 0.5
"""Bounds of an operation's drawn length as fractions of the longest operation."""


@dataclass(frozen=True)
class TaskConfiguration:
    """What the task's environment variables say; times in seconds."""

    ledger: tuple[str, int]
    lease_name: str
    ttl_seconds: float
    operation_seconds: float
    hold_seconds: float
    lease_count: int | None  # None: operate under one lease

    @classmethod
    def from_environment(cls) -> Self:
        """Read the variables; raise KeyError or ValueError if one is missing or wrong."""
        lease_name, ttl, operation, hold = os.environ[LEASE].split(",")
        lease_count = int(os.environ[MANY]) if MANY in os.environ else None
        return cls(
            ledger=split_address(os.environ[LEDGER]),
            lease_name=lease_name,
            ttl_seconds=float(ttl),
            operation_seconds=float(operation),
            hold_seconds=float(hold),
            lease_count=lease_count,
        )


class LeaseTask:
    """Acquire a lease again and again, operate on the ledger while it lasts, and release it."""

    def __init__(self, leases: LeaseClient, configuration: TaskConfiguration) -> None:
        self.leases = leases
        self.configuration = configuration
        self.rng = random.Random()

    def run(self) -> None:
        """Hold the configured leases until the process ends."""
        if self.configuration.lease_count is None:
            self.hold_repeatedly()
        else:
            self.hold_many(self.configuration.lease_count)

    def hold_repeatedly(self) -> None:
        """Hold the lease again and again."""
        while True:
            try:
                self.hold_once()
            except (OSError, ValueError, LeaseLostError, OperationOverranError):
                # The ledger does not answer, or the lease is lost: try again.
                time.sleep(RETRY_SECONDS)

    def hold_many(self, lease_count: int) -> None:
        """Hold `lease_count` leases at once, without operating."""
        names = [f"{self.configuration.lease_name}{number}" for number in range(lease_count)]
        leases = {name: self._acquire(name) for name in names}
        while True:
            time.sleep(RENEWAL_CHECK_SECONDS)
            for name, lease in leases.items():
                if lease.proposer.is_over:
                    leases[name] = self._acquire(name)

    def hold_once(self) -> None:
        """Acquire the lease, operate for the configured time, release it and pause.

        Raise OSError or ValueError if the ledger does not answer, and LeaseLostError or
        OperationOverranError if the lease does not last for an operation.
        """
        lease = self._acquire(self.configuration.lease_name)
        try:
            with closing(Client(self.configuration.ledger)) as client:
                while not lease.wait(GRANT_CHECK_SECONDS) and not lease.proposer.is_over:
                    pass
                release_at_seconds = time.monotonic() + self.configuration.hold_seconds
                while time.monotonic() < release_at_seconds:
                    self.operate_once(client, lease)
        finally:
            lease.release()
        time.sleep(self.rng.uniform(0.0, LONGEST_PAUSE_SECONDS))

    def operate_once(self, client: Client, lease: Lease) -> None:
        """Perform one operation on the ledger under the lease's fencing token.

        Raise LeaseLostError if the ledger rejects the token.
        """
        with lease.operation() as token:
            answer = client.request(do="begin", token=token, holder=lease.proposer.proposer_id)
            if "act" in answer:
                fraction = self.rng.uniform(MIN_OPERATION_FRACTION, MAX_OPERATION_FRACTION)
                time.sleep(fraction * self.configuration.operation_seconds)
                answer = client.request(do="end", act=answer["act"])
        if "fenced" in answer:
            lease.on_fenced(answer["fenced"])
            raise LeaseLostError(f"{lease.proposer.proposer_id} was fenced off")

    def _acquire(self, name: str) -> Lease:
        """Start to acquire a lease with the task's times."""
        return self.leases.acquire(
            name, self.configuration.ttl_seconds, self.configuration.operation_seconds
        )


class LeaseTaskSubsystem(LeasesSubsystem):
    """The leases subsystem with the task on a thread that lasts as long as the process."""

    def start(self) -> None:
        """Start the subsystem, and the task if this member is to run it."""
        super().start()
        member = self.context.config.name
        if member not in os.environ.get(TASKS, member).split(","):
            return
        task = LeaseTask(self.client, TaskConfiguration.from_environment())
        spawn_thread("lab task", task.run)


def create_subsystem(context: SubsystemContext) -> LeaseTaskSubsystem:
    """Make the subsystem; the node calls this in place of the leases package's own function."""
    return LeaseTaskSubsystem(context)
