"""Run `stepstream serve` with a task inside that contends for a lease and operates on a ledger.

    python -m stepstream.lab.processes.lease_member serve --operator FILE

The environment configures the task:

- `LAB_LEDGER=HOST:PORT`: the address of the ledger.
- `LAB_LEASE=NAME,TTL,ACT,HOLD`: the lease's name, and in seconds its time to live, the longest
  operation, and how long to operate before the lease is released.
- `LAB_MANY=N`: hold N leases at once, and do not operate.
- `LAB_TASKS=MEMBER,MEMBER`: the members that run the task, where not all of them do.

The task has one thread, which owns all of its state.
"""

import os
import random
import sys
import time
from contextlib import closing

from stepstream.cli import main
from stepstream.config.operator_file import split_address
from stepstream.lab.verification.ledger import Client
from stepstream.leases import subsystem
from stepstream.leases.client import Lease, LeaseClient, LeaseLostError, OperationOverranError
from stepstream.runtime.threads import spawn_thread

LEDGER = "LAB_LEDGER"
LEASE = "LAB_LEASE"
MANY = "LAB_MANY"
TASKS = "LAB_TASKS"

RETRY_SECONDS = 0.05
GRANT_CHECK_SECONDS = 0.5
RENEWAL_CHECK_SECONDS = 1.0
LONGEST_PAUSE_SECONDS = 0.2
"""Longest pause after a release, so that another member may acquire the lease."""

LEAST_OPERATION_SHARE = 0.1
MOST_OPERATION_SHARE = 0.5
"""Bounds of an operation's drawn length as shares of the longest operation."""


class Task:
    """Acquire a lease again and again, operate on the ledger while it lasts, and release it."""

    def __init__(self, leases: LeaseClient) -> None:
        self.leases = leases
        self.ledger = split_address(os.environ[LEDGER])
        name, ttl, operation, hold = os.environ[LEASE].split(",")
        self.name = name
        self.ttl_seconds = float(ttl)
        self.operation_seconds = float(operation)
        self.hold_seconds = float(hold)
        self.draw = random.Random()

    def run(self) -> None:
        """Hold the lease again and again until the process ends."""
        while True:
            try:
                self.hold_once()
            except (OSError, ValueError, LeaseLostError, OperationOverranError):
                # The ledger does not answer, or the lease is lost: try again.
                time.sleep(RETRY_SECONDS)

    def hold_many(self) -> None:
        """Hold as many leases as `LAB_MANY` says until the process ends, without operating."""
        names = [f"{self.name}{number}" for number in range(int(os.environ[MANY]))]
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
        lease = self._acquire(self.name)
        try:
            with closing(Client(self.ledger)) as client:
                while not lease.wait(GRANT_CHECK_SECONDS) and not lease.proposer.is_over:
                    pass
                begun = time.monotonic()
                while time.monotonic() - begun < self.hold_seconds:
                    self.act_once(client, lease)
        finally:
            lease.release()
        time.sleep(self.draw.uniform(0.0, LONGEST_PAUSE_SECONDS))

    def act_once(self, client: Client, lease: Lease) -> None:
        """Perform one operation on the ledger under the lease's fencing token.

        Raise LeaseLostError if the ledger rejects the token.
        """
        with lease.operation() as token:
            answer = client.request(do="begin", token=token, holder=lease.proposer.proposer_id)
            if "act" in answer:
                share = self.draw.uniform(LEAST_OPERATION_SHARE, MOST_OPERATION_SHARE)
                time.sleep(share * self.operation_seconds)
                answer = client.request(do="end", act=answer["act"])
        if "fenced" in answer:
            lease.on_fenced(answer["fenced"])
            raise LeaseLostError(f"{self.name} was fenced off")

    def _acquire(self, name: str) -> Lease:
        """Start to acquire a lease with the task's times."""
        return self.leases.acquire(name, self.ttl_seconds, self.operation_seconds)


class TaskSubsystem(subsystem.LeasesSubsystem):
    """The leases subsystem with the task on a thread that lasts as long as the process."""

    def start(self) -> None:
        """Start the subsystem, and the task if this member is to run it."""
        super().start()
        member = self.context.config.name
        if member not in os.environ.get(TASKS, member).split(","):
            return
        task = Task(self.client)
        spawn_thread("lab task", task.hold_many if MANY in os.environ else task.run)


if __name__ == "__main__":
    subsystem.create_subsystem = TaskSubsystem
    sys.exit(main(sys.argv[1:]))
