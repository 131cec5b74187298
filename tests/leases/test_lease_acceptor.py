"""The acceptor: promises, acceptances, releases, and limits on leases and waiters."""

from stepstream.leases.acceptor import Acceptor
from stepstream.leases.configuration import LeaseConfiguration
from stepstream.leases.messages import (
    Accepted,
    Ballot,
    Busy,
    LeaseAvailable,
    Prepare,
    Promise,
    Propose,
    Recovering,
    Release,
    StaleBallot,
)
from tests.leases.lease_builders import ACCEPTORS, CONFIGURATION

STARTED_LONG_AGO = -100.0  # seconds; an acceptor that started then has recovered by 0.0


def grant(acceptor, now, ballot):
    """Have an acceptor promise and accept a ballot for three seconds."""
    assert acceptor.handle(now, "a", Prepare("x", ballot, 3000, 0)) == [("a", Promise("x", ballot))]
    proposal = Propose("x", ballot, 1, 5, 3000)
    assert acceptor.handle(now, "a", proposal) == [("a", Accepted("x", ballot, 1))]


def test_a_recovering_acceptor_answers_requests_with_recovering_and_records_nothing():
    acceptor, ballot = Acceptor(CONFIGURATION, 0.0), Ballot(5, "a.1")
    answers = acceptor.handle(1.0, "a", Prepare("x", ballot, 3000, 0))
    answers += acceptor.handle(1.0, "a", Propose("x", ballot, 1, 5, 3000))
    assert [type(message) for _, message in answers] == [Recovering, Recovering]
    assert acceptor.handle(1.0, "a", Release("x", ballot)) == []
    assert not acceptor.records


def test_a_late_release_of_an_earlier_grant_does_not_end_a_later_one():
    acceptor, first, second = (
        Acceptor(CONFIGURATION, STARTED_LONG_AGO),
        Ballot(5, "a.1"),
        Ballot(6, "a.2"),
    )
    grant(acceptor, 0.0, first)
    acceptor.handle(1.0, "a", Release("x", first))
    grant(acceptor, 1.0, second)
    acceptor.handle(1.5, "a", Release("x", first))
    assert acceptor.records["x"].grant.ballot == second


def test_a_renewal_that_arrives_after_its_release_is_not_accepted():
    acceptor, ballot = Acceptor(CONFIGURATION, STARTED_LONG_AGO), Ballot(5, "a.1")
    grant(acceptor, 0.0, ballot)
    acceptor.handle(1.0, "a", Release("x", ballot))
    ((_, answer),) = acceptor.handle(1.1, "a", Propose("x", ballot, 2, 5, 3000))
    assert isinstance(answer, StaleBallot)
    assert acceptor.records["x"].grant is None


def test_a_waiter_is_notified_when_the_grant_is_released():
    acceptor, first, second = (
        Acceptor(CONFIGURATION, STARTED_LONG_AGO),
        Ballot(5, "a.1"),
        Ballot(6, "b.1"),
    )
    grant(acceptor, 0.0, first)
    ((_, answer),) = acceptor.handle(0.5, "b", Prepare("x", second, 3000, 0))
    assert isinstance(answer, Busy)
    assert answer.holder == "a.1"
    notifications = acceptor.handle(1.0, "a", Release("x", first))
    assert notifications == [("b", LeaseAvailable("x", second))]


def test_an_acceptor_limits_leases_and_waiters_and_keeps_the_number_of_a_dropped_record():
    configuration = LeaseConfiguration(ACCEPTORS, max_leases=3, max_waiters=2)
    acceptor = Acceptor(configuration, STARTED_LONG_AGO)
    for index in range(3):
        ballot = Ballot(50 + index, "a.1")
        acceptor.handle(0.0, "a", Prepare(f"x{index}", ballot, 3000, 0))
        if index:
            acceptor.handle(0.0, "a", Propose(f"x{index}", ballot, 1, 5, 3000))
    ((_, answer),) = acceptor.handle(0.0, "b", Prepare("x9", Ballot(9, "b.1"), 3000, 0))
    assert isinstance(answer, StaleBallot)
    assert answer.highest_number == 50
    assert set(acceptor.records) == {"x1", "x2", "x9"}
    for serial in range(5):
        acceptor.handle(0.0, "b", Prepare("x1", Ballot(99, f"b.{serial}"), 3000, 0))
    assert len(acceptor.records["x1"].waiters) == 2
