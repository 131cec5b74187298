"""The session service: which leases of external programs it releases."""

import threading

from stepstream.leases.session_table import SessionTable
from stepstream.leases.sessions import SessionService
from tests.leases.lease_builders import recovered_participant

TTL_SECONDS = 4.0


class RecordingDriver:
    """A driver whose releases are recorded."""

    def __init__(self, participant):
        self.participant = participant
        self.state_changed = threading.Condition()
        self.released = []

    def acquire(self, lease, ttl_seconds, operation_seconds):
        """Begin to acquire the lease at 0.0 s; return the proposer."""
        proposer, _ = self.participant.acquire(0.0, lease, ttl_seconds, operation_seconds)
        return proposer

    def release(self, proposer):
        """Record the proposer whose lease or request is released."""
        self.released.append(proposer)


def test_a_silent_waiting_session_is_released_when_another_one_needs_its_place():
    # Guards against a lease that is granted to a program that has already ended.
    driver = RecordingDriver(recovered_participant())
    service = SessionService(driver, SessionTable(max_sessions=1))
    waiting = service.open(0.0, "first", "nightly", TTL_SECONDS, 0.1)
    assert not service.has_capacity(0.0)
    assert not driver.released
    assert service.has_capacity(TTL_SECONDS)
    assert driver.released == [waiting.proposer]
