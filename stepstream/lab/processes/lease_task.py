"""A task that runs in a dispatcher, contends for a lease and operates on a ledger.

`lease_member` runs a dispatcher with this task. The environment variable `LAB_LEASE_TASK` holds a
`LeaseTaskConfiguration` as JSON. The task has one thread, which owns all of its state.
"""

import os
import random
import time
from contextlib import closing

import msgspec

from stepstream.config.operator_file import split_address
from stepstream.lab.verification.ledger import Client
from stepstream.leases.client import Lease, LeaseClient, LeaseLostError, OperationOverranError
from stepstream.leases.subsystem import LeasesSubsystem
from stepstream.runtime.threads import spawn_thread
from stepstream.subsystem_api.context import SubsystemContext

CONFIGURATION_VARIABLE = "LAB_LEASE_TASK"
LEASE_NAME = "x"
RETRY_SECONDS = 0.05
GRANT_CHECK_SECONDS = 0.5
RENEWAL_CHECK_SECONDS = 1.0
LONGEST_PAUSE_SECONDS = 0.2
"""Longest pause after a release, in which another member may acquire the lease."""

MIN_OPERATION_FRACTION = 0.1
MAX_OPERATION_FRACTION = 0.5
"""Bounds of an operation's random duration, as fractions of the longest operation."""


class LeaseTaskConfiguration(msgspec.Struct, frozen=True):
    """What the task of each member does."""

    ledger_address: str
    ttl_seconds: float
    operation_seconds: float  # the longest operation
    hold_seconds: float  # how long to operate before the lease is released
    contenders: tuple[str, ...] = ()  # the members that run the task; all of them if empty
    lease_count: int | None = None  # leases to hold without operating; None: operate under one

    def environment(self) -> dict[str, str]:
        """Return the environment variable that configures the task of a process."""
        return {CONFIGURATION_VARIABLE: msgspec.json.encode(self).decode()}

    @classmethod
    def from_environment(cls) -> "LeaseTaskConfiguration":
        """Read this process's environment variable; raise KeyError if it is not set."""
        return msgspec.json.decode(os.environ[CONFIGURATION_VARIABLE], type=cls)

    def is_contender(self, member: str) -> bool:
        """Return whether this member runs the task."""
        return not self.contenders or member in self.contenders


class LeaseTask:
    """Repeatedly acquire a lease, operate on the ledger while holding it, and release it."""

    def __init__(self, leases: LeaseClient, configuration: LeaseTaskConfiguration) -> None:
        self.leases = leases
        self.configuration = configuration
        self.ledger_address = split_address(configuration.ledger_address)
        self.rng = random.Random()

    def run(self) -> None:
        """Hold the configured leases until the process ends."""
        if self.configuration.lease_count is None:
            self.hold_repeatedly()
        else:
            self.hold_without_operating(self.configuration.lease_count)

    def hold_repeatedly(self) -> None:
        """Acquire, use and release the lease in an endless loop."""
        while True:
            try:
                self.hold_and_release()
            except (OSError, ValueError, LeaseLostError, OperationOverranError):
                # The ledger does not answer, or the lease is lost: try again.
                time.sleep(RETRY_SECONDS)

    def hold_without_operating(self, lease_count: int) -> None:
        """Hold `lease_count` leases at once, without operating."""
        names = [f"{LEASE_NAME}{number}" for number in range(lease_count)]
        leases = {name: self._acquire(name) for name in names}
        while True:
            time.sleep(RENEWAL_CHECK_SECONDS)
            for name, lease in leases.items():
                if lease.proposer.is_over:
                    leases[name] = self._acquire(name)

    def hold_and_release(self) -> None:
        """Acquire the lease, operate for the configured time, release it and pause.

        Raise OSError or ValueError if the ledger does not answer, and LeaseLostError or
        OperationOverranError if the lease does not last for an operation.
        """
        lease = self._acquire(LEASE_NAME)
        try:
            with closing(Client(self.ledger_address)) as client:
                while not lease.wait(GRANT_CHECK_SECONDS) and not lease.proposer.is_over:
                    pass
                release_at_seconds = time.monotonic() + self.configuration.hold_seconds
                while time.monotonic() < release_at_seconds:
                    self.operate(client, lease)
        finally:
            lease.release()
        time.sleep(self.rng.uniform(0.0, LONGEST_PAUSE_SECONDS))

    def operate(self, client: Client, lease: Lease) -> None:
        """Perform one operation on the ledger under the lease's fencing token.

        Raise LeaseLostError if the ledger rejects the token.
        """
        with lease.operation() as token:
            response = client.request(do="begin", token=token, holder=lease.proposer.proposer_id)
            if "act" in response:
                fraction = self.rng.uniform(MIN_OPERATION_FRACTION, MAX_OPERATION_FRACTION)
                time.sleep(fraction * self.configuration.operation_seconds)
                response = client.request(do="end", act=response["act"])
        if "fenced" in response:
            lease.on_fenced(response["fenced"])
            raise LeaseLostError(
                f"{lease.proposer.proposer_id} was fenced off: a newer fencing token is in use"
            )

    def _acquire(self, name: str) -> Lease:
        """Start to acquire a lease with the configured times."""
        return self.leases.acquire(
            name, self.configuration.ttl_seconds, self.configuration.operation_seconds
        )


class LeaseTaskSubsystem(LeasesSubsystem):
    """The leases subsystem, which also runs the task on a thread until the process ends."""

    def start(self) -> None:
        """Start the subsystem, and the task if this member is to run it."""
        super().start()
        configuration = LeaseTaskConfiguration.from_environment()
        if configuration.is_contender(self.context.config.name):
            spawn_thread("lab task", LeaseTask(self.client, configuration).run)


def create_subsystem(context: SubsystemContext) -> LeaseTaskSubsystem:
    """Create the subsystem; the node calls this instead of the leases package's own function."""
    return LeaseTaskSubsystem(context)
