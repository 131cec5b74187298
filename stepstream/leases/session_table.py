"""The sessions of external programs, and the rules for their end. Free of I/O.

After Chubby (Burrows 2006, section 2.8, sessions and KeepAlives). A program calls the admin
listener repeatedly; each call is a heartbeat.

    waiting       -> held          the proposer is granted the lease
    waiting       -> withdrawn     no heartbeat for half a time to live
    held          -> winding down  no heartbeat for half a time to live, or an operator revokes it,
                                   or this dispatcher stops
    winding down  -> expired       the lease is not renewed and reaches its end

A held lease is never released on a program's behalf, since the program may still act: without
heartbeats it is no longer renewed and expires.

The driver's lock guards a table. All times are seconds of the driver's clock.
"""

from dataclasses import dataclass

from stepstream.leases.proposer import Proposer

HEARTBEAT_TIMEOUT_FRACTION_OF_TTL = 0.5


@dataclass(slots=True)
class Session:
    """One external program's attempt at one lease."""

    name: str  # chosen by the program at random
    proposer: Proposer
    last_heartbeat_at: float
    ending: bool = False  # the program must end and release the lease

    def silent_seconds(self, now: float) -> float:
        """Return the time since the last heartbeat."""
        return now - self.last_heartbeat_at


def is_silent(session: Session, now: float) -> bool:
    """Return whether a session had no heartbeat for half its time to live, and is wound down.

    The lease of a program that has died must become free for others.
    """
    max_silent_seconds = HEARTBEAT_TIMEOUT_FRACTION_OF_TTL * session.proposer.ttl_seconds
    return session.silent_seconds(now) > max_silent_seconds


def is_forgettable(session: Session, now: float) -> bool:
    """Return whether a session is dropped: its attempt has ended, and a time to live has passed.

    Until then its program can still call and find out that it has no lease any more.
    """
    proposer = session.proposer
    return proposer.is_over and session.silent_seconds(now) > proposer.ttl_seconds


class SessionTable:
    """The open sessions, by name."""

    def __init__(self, max_sessions: int) -> None:
        self.max_sessions = max_sessions
        self.open_sessions: dict[str, Session] = {}

    def heartbeat(self, now: float, name: str) -> Session | None:
        """Record a heartbeat; return the session, None if it is unknown."""
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

    def has_capacity(self) -> bool:
        """Return whether one more session fits."""
        return len(self.open_sessions) < self.max_sessions

    def request_end(self, lease: str | None = None) -> list[Session]:
        """Mark the sessions of one lease, or all, as ending; the caller winds down their leases."""
        ended = [
            session
            for session in self.open_sessions.values()
            if lease in (None, session.proposer.lease)
        ]
        for session in ended:
            session.ending = True
        return ended

    def expire(self, now: float) -> list[Session]:
        """Wind down the silent sessions; return the waiting ones, for the caller to withdraw."""
        silent = [session for session in self.open_sessions.values() if is_silent(session, now)]
        for session in silent:
            session.proposer.winding_down = True
        waiting = [session for session in silent if not session.proposer.token]
        forgettable = [
            session for session in self.open_sessions.values() if is_forgettable(session, now)
        ]
        for session in [*forgettable, *waiting]:
            self.open_sessions.pop(session.name, None)
        return waiting
