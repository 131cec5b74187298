"""Leases held for external programs, which keep them by heartbeats.

`SessionService` runs a `SessionTable` under the driver's lock. Any thread may call it. All times
are seconds of the driver's clock.
"""

from stepstream.leases.driver import LeaseDriver, boot_time_seconds
from stepstream.leases.session_table import Session, SessionTable


class SessionService:
    """The sessions of one dispatcher."""

    def __init__(self, driver: LeaseDriver, table: SessionTable) -> None:
        self.driver = driver
        self.table = table  # guarded by the driver's lock

    def heartbeat(self, now: float, name: str) -> Session | None:
        """Record a heartbeat; return the session, None if it is unknown."""
        with self.driver.state_changed:
            return self.table.heartbeat(now, name)

    def has_capacity(self, now: float) -> bool:
        """Return whether one more session may be opened, once the silent ones have expired."""
        self.expire(now)
        with self.driver.state_changed:
            return self.table.has_capacity()

    def open(
        self, now: float, name: str, lease: str, ttl_seconds: float, operation_seconds: float
    ) -> Session:
        """Open a session and begin its attempt at the lease."""
        proposer = self.driver.acquire(lease, ttl_seconds, operation_seconds)
        with self.driver.state_changed:
            return self.table.add(now, name, proposer)

    def release(self, name: str) -> bool:
        """Release the lease of a session at its program's call; return False if it is unknown."""
        with self.driver.state_changed:
            session = self.table.remove(name)
        if session is None:
            return False
        self.driver.release(session.proposer)
        return True

    def end(self, lease: str | None = None) -> int:
        """Notify the holders of one lease, or of all, to end; return the number of programs.

        Tasks inside this dispatcher end as well. Each ends after its current operation.
        """
        with self.driver.state_changed:
            ended = self.table.request_end(lease)
            outgoing = self.driver.participant.wind_down(boot_time_seconds(), lease)
            self.driver.state_changed.notify_all()
        self.driver.send(outgoing)
        return len(ended)

    def expire(self, now: float) -> None:
        """Withdraw or wind down the sessions without heartbeats."""
        with self.driver.state_changed:
            waiting = self.table.expire(now)
        for session in waiting:
            self.driver.release(session.proposer)
