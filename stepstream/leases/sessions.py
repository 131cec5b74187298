"""Sessions: leases held for programs outside, which keep them alive by heartbeats.

After Chubby (Burrows 2006, section 2.8, sessions and KeepAlives). A program calls the admin
listener again and again; each call is a heartbeat and is answered with how long nobody else can
hold the lease.

    waiting  -> held       the proposer is granted the lease
    waiting  -> withdrawn  no heartbeat for half a time to live
    held     -> winding down   the same, or an operator takes it back, or this dispatcher stops
    winding down -> expired    the lease runs out

A held lease is never released on a program's behalf, since the program may still act: without
heartbeats it is no longer renewed and runs out.

`SessionTable` owns the sessions and has no I/O; `SessionService` runs it under the driver's lock
and may be called by any thread. All times are seconds of the driver's clock.
"""

from dataclasses import dataclass

from stepstream.leases.driver import LeaseDriver, boot_time_seconds
from stepstream.leases.proposer import Proposer

HEARTBEAT_TIMEOUT_SHARE = 0.5  # of the time to live


@dataclass(slots=True)
class Session:
    """One outside program's attempt at one lease."""

    name: str  # chosen by the program at random
    proposer: Proposer
    last_heartbeat_at: float
    ending: bool = False  # the program is to end and to give the lease back

    def is_silent(self, now: float) -> bool:
        """Tell whether heartbeats have stopped."""
        timeout = HEARTBEAT_TIMEOUT_SHARE * self.proposer.ttl_seconds
        return now - self.last_heartbeat_at > timeout

    def is_forgettable(self, now: float) -> bool:
        """Tell whether the lease is over and its program silent for a time to live."""
        silent_seconds = now - self.last_heartbeat_at
        return self.proposer.is_over and silent_seconds > self.proposer.ttl_seconds


class SessionTable:
    """The open sessions, by name."""

    def __init__(self, max_sessions: int) -> None:
        self.max_sessions = max_sessions
        self.open_sessions: dict[str, Session] = {}

    def heartbeat(self, now: float, name: str) -> Session | None:
        """Return a known session, kept alive."""
        session = self.open_sessions.get(name)
        if session is not None:
            session.last_heartbeat_at = now
        return session

    def add(self, now: float, name: str, proposer: Proposer) -> Session:
        """Open a session."""
        session = Session(name, proposer, now)
        self.open_sessions[name] = session
        return session

    def remove(self, name: str) -> Session | None:
        """Close a session and return it."""
        return self.open_sessions.pop(name, None)

    def has_capacity(self, now: float) -> bool:
        """Tell whether one more session fits, after the silent ones were expired."""
        self.expire(now)
        return len(self.open_sessions) < self.max_sessions

    def mark_ending(self, lease: str | None = None) -> list[Session]:
        """Mark the sessions of one lease, or all, as ending; the participant winds them down."""
        ended = [
            session
            for session in self.open_sessions.values()
            if lease in (None, session.proposer.lease)
        ]
        for session in ended:
            session.ending = True
        return ended

    def expire(self, now: float) -> list[Session]:
        """Wind down the silent sessions; return those that only waited, for their withdrawal."""
        waiting = []
        for session in self.open_sessions.values():
            if session.is_silent(now):
                session.proposer.winding_down = True
                if not session.proposer.token:
                    waiting.append(session)
        forgettable = [
            session for session in self.open_sessions.values() if session.is_forgettable(now)
        ]
        for session in [*forgettable, *waiting]:
            self.open_sessions.pop(session.name, None)
        return waiting


class SessionService:
    """The sessions of one dispatcher."""

    def __init__(self, driver: LeaseDriver, table: SessionTable) -> None:
        self.driver = driver
        self.table = table  # guarded by the driver's lock

    def heartbeat(self, now: float, name: str) -> Session | None:
        """Return a known session, kept alive."""
        with self.driver.state_changed:
            return self.table.heartbeat(now, name)

    def has_capacity(self, now: float) -> bool:
        """Tell whether one more session may be opened."""
        with self.driver.state_changed:
            return self.table.has_capacity(now)

    def open(
        self, now: float, name: str, lease: str, ttl_seconds: float, operation_seconds: float
    ) -> Session:
        """Open a session and begin its attempt at the lease."""
        proposer = self.driver.acquire(lease, ttl_seconds, operation_seconds)
        with self.driver.state_changed:
            return self.table.add(now, name, proposer)

    def release(self, name: str) -> bool:
        """Give a session's lease back at its program's call; return False if it is unknown."""
        with self.driver.state_changed:
            session = self.table.remove(name)
        if session is None:
            return False
        self.driver.release(session.proposer)
        return True

    def end(self, lease: str | None = None) -> int:
        """Have the holders of one lease, or of all, end; return the number of programs.

        Tasks inside this dispatcher end as well. Each ends after its operation under way.
        """
        with self.driver.state_changed:
            ended = self.table.mark_ending(lease)
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
