"""The interface for tasks inside the program: acquire, check, operate, release.

    lease = client.acquire("report", ttl_seconds=10.0, operation_seconds=1.0)
    if lease.wait(30.0):
        with lease.operation() as token:  # LeaseLostError if it could outlast the lease
            resource.write(token, ...)    # an operation takes `operation_seconds` at most
    lease.release()

Operations of two holders do not overlap if each takes at most `operation_seconds` and no process
stalls. If a process stalls inside an operation, only the fencing guard of the resource can reject
the operation (`fencing`).

Any thread may call; all state is the driver's. Durations are seconds.
"""

from collections.abc import Iterator
from contextlib import contextmanager

from stepstream.leases.configuration import LeaseConfiguration, check_lease_times
from stepstream.leases.driver import LeaseDriver, boot_time_seconds
from stepstream.leases.errors import LeaseError
from stepstream.leases.lease_state import LeaseState

MAX_WAIT_SLICE_SECONDS = 0.5  # a lease may also expire without a notification


class LeaseLostError(LeaseError):
    """No operation may begin: the lease is not held, or has too little time left."""


class OperationOverranError(LeaseError):
    """An operation ended after its lease: it took too long, or the process stalled."""


class Lease:
    """One attempt at a lease; it ends when the lease is lost or released."""

    def __init__(
        self, driver: LeaseDriver, name: str, ttl_seconds: float, operation_seconds: float
    ) -> None:
        self.driver = driver
        self.name = name
        self.proposer = driver.acquire(name, ttl_seconds, operation_seconds)

    @property
    def state(self) -> LeaseState:
        """What this process knows of the lease now."""
        return self.proposer.state(boot_time_seconds())

    @property
    def is_over(self) -> bool:
        """Whether the attempt has ended for good."""
        return self.proposer.is_over

    @property
    def token(self) -> int:
        """The fencing token, 0 before the first grant; it grows with every new holder."""
        return self.proposer.token

    def remaining_seconds(self) -> float:
        """Return the seconds for which nobody else can hold the lease."""
        return self.proposer.remaining_seconds(boot_time_seconds())

    def wait(self, timeout_seconds: float) -> bool:
        """Wait until an operation may begin; return False on a timeout or if the lease is over."""
        deadline = boot_time_seconds() + timeout_seconds
        with self.driver.state_changed:
            while not self.may_begin_operation() and not self.is_over:
                remaining = deadline - boot_time_seconds()
                if remaining <= 0:
                    break
                self.driver.state_changed.wait(min(remaining, MAX_WAIT_SLICE_SECONDS))
        return self.may_begin_operation()

    def may_begin_operation(self) -> bool:
        """Return whether an operation begun now ends while nobody else can hold the lease."""
        return self.proposer.may_begin_operation(boot_time_seconds())

    @contextmanager
    def operation(self) -> Iterator[int]:
        """Run one bounded operation under the lease; yield the fencing token.

        Raise `LeaseLostError` before an operation that may not begin, `OperationOverranError` after
        one that ended too late.
        """
        if not self.may_begin_operation():
            raise LeaseLostError(f"{self.name} is {self.state.value}")
        yield self.token
        if self.remaining_seconds() <= 0:
            raise OperationOverranError(f"{self.name} expired before the operation ended")

    def on_fenced(self, highest_token: int) -> None:
        """Release the lease after a resource rejected its token; the next token will be higher."""
        with self.driver.state_changed:
            self.driver.participant.advance_ballots_past(highest_token)
        self.release()

    def release(self) -> None:
        """Release the lease, so that the next waiter gets it at once.

        No operation may be under way. May be called any number of times.
        """
        self.driver.release(self.proposer)


class LeaseClient:
    """Acquires leases for other subsystems; they find it as `LeasesSubsystem.client`."""

    def __init__(self, driver: LeaseDriver, configuration: LeaseConfiguration) -> None:
        self.driver = driver
        self.configuration = configuration
        self.closed = False  # True while this dispatcher is drained or stops

    def acquire(self, name: str, ttl_seconds: float, operation_seconds: float) -> Lease:
        """Begin an attempt at a lease; waiters get it in the order in which they began.

        Raise `LeaseTimesError` (a ValueError) if a time is out of bounds, `LeaseLostError` if this
        dispatcher is drained or stops.
        """
        if self.closed:
            raise LeaseLostError(f"{name}: this dispatcher is drained or stops")
        check_lease_times(self.configuration, ttl_seconds, operation_seconds)
        return Lease(self.driver, name, ttl_seconds, operation_seconds)
