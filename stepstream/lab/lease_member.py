"""`stepstream serve` with a task of the lab's inside: it wants a lease again and again, and acts at a ledger.

    python -m stepstream.lab.lease_member serve --operator FILE

In the environment: LAB_LEDGER=HOST:PORT, LAB_LEASE=NAME,TTL,ACT,HOLD; LAB_MANY=N to hold so many and not act;
LAB_TASKS=MEMBER,MEMBER where not all members run the task.
"""

import os
import random
import sys
import time

from stepstream.cli import main
from stepstream.config.operator_file import split_address
from stepstream.lab.ledger import Client
from stepstream.leases import subsystem
from stepstream.leases.client import Lease, LeaseClient, LeaseLostError, OperationOverranError
from stepstream.runtime.threads import spawn_thread

LEDGER, LEASE, MANY, TASKS = "LAB_LEDGER", "LAB_LEASE", "LAB_MANY", "LAB_TASKS"


class Task:
    def __init__(self, leases: LeaseClient) -> None:
        self.leases, self.ledger = leases, split_address(os.environ[LEDGER])
        name, *times = os.environ[LEASE].split(",")
        self.name, (self.ttl, self.act, self.hold) = name, map(float, times)
        self.draw = random.Random()

    def run(self) -> None:
        while True:
            try:
                self.hold_once()
            except (OSError, ValueError, LeaseLostError, OperationOverranError):
                time.sleep(
                    0.05
                )  # the ledger does not answer, or the lease is gone: another attempt

    def hold_many(self) -> None:
        """So many at once, for as long as they last, without an act."""
        names = [f"{self.name}{k}" for k in range(int(os.environ[MANY]))]
        leases = {name: self.leases.acquire(name, self.ttl, self.act) for name in names}
        while True:
            time.sleep(1.0)
            for name, lease in leases.items():
                if lease.proposer.is_over:
                    leases[name] = self.leases.acquire(name, self.ttl, self.act)

    def hold_once(self) -> None:
        lease = self.leases.acquire(self.name, self.ttl, self.act)
        try:
            client = Client(self.ledger)
            try:
                while not lease.wait(0.5) and not lease.proposer.is_over:
                    pass
                begun = time.monotonic()
                while time.monotonic() - begun < self.hold:
                    self.act_once(client, lease)
            finally:
                client.close()
        finally:
            lease.release()
        time.sleep(self.draw.uniform(0.0, 0.2))

    def act_once(self, client: Client, lease: Lease) -> None:
        with lease.operation() as token:
            told = client.ask(do="begin", token=token, holder=lease.proposer.proposer_id)
            if "act" in told:
                time.sleep(self.draw.uniform(0.1, 0.5) * self.act)
                told = client.ask(do="end", act=told["act"])
        if "fenced" in told:
            lease.on_fenced(told["fenced"])
            raise LeaseLostError(f"{self.name} was fenced off")


class Part(subsystem.LeasesSubsystem):
    def start(self) -> None:
        super().start()
        if self.context.config.name not in os.environ.get(TASKS, self.context.config.name).split(
            ","
        ):
            return
        task = Task(self.client)
        spawn_thread("lab task", task.hold_many if MANY in os.environ else task.run)


if __name__ == "__main__":
    subsystem.create_subsystem = Part
    sys.exit(main(sys.argv[1:]))
