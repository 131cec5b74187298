"""The proposer: from its request for a lease to the lease's end."""

import random

from stepstream.leases.ballots import BallotSequence
from stepstream.leases.lease_state import LeaseState
from stepstream.leases.messages import Accepted, Promise
from stepstream.leases.proposer import Proposer
from tests.leases.lease_builders import CONFIGURATION


def promised_proposer():
    """A proposer that asked at 0.0 s and proposed at 0.2 s, and its proposal."""
    proposer = Proposer(
        CONFIGURATION, "x", "a.1", 3.0, 1.0, BallotSequence(7), random.Random(1), 0.0
    )
    (prepare,) = proposer.tick(0.0)
    proposer.handle(0.1, "n0", Promise("x", prepare.ballot))
    (proposal,) = proposer.handle(0.2, "n1", Promise("x", prepare.ballot))
    return proposer, proposal


def holding_proposer():
    proposer, proposal = promised_proposer()
    accepted = Accepted("x", proposal.ballot, proposal.round)
    proposer.handle(0.3, "n1", accepted)
    proposer.handle(0.5, "n2", accepted)
    return proposer, proposal


def test_an_acceptance_of_a_member_that_is_no_acceptor_does_not_count():
    proposer, proposal = promised_proposer()
    accepted = Accepted("x", proposal.ballot, proposal.round)
    proposer.handle(0.3, "n1", accepted)
    proposer.handle(0.4, "not-an-acceptor", accepted)
    assert proposer.state(0.4) is LeaseState.ACQUIRING


def test_a_lease_expires_one_time_to_live_after_its_proposal_was_sent():
    proposer, _ = holding_proposer()
    assert proposer.expires_at == 3.2
    assert proposer.token == 8


def test_a_lease_is_expiring_once_an_operation_could_outlast_it():
    proposer, _ = holding_proposer()
    states = [proposer.state(at) for at in (1.0, 2.19, 2.21, 3.19, 3.21)]
    held, expiring = LeaseState.HELD, LeaseState.EXPIRING
    assert states == [held, held, expiring, expiring, LeaseState.LOST]


def test_a_renewal_proposes_the_same_ballot_again():
    proposer, proposal = holding_proposer()
    (renewal,) = proposer.tick(1.3)
    assert renewal.ballot == proposal.ballot
    assert proposer.state(1.3) is LeaseState.RENEWING


def test_an_acceptance_after_the_expiry_does_not_restore_the_lease():
    proposer, proposal = holding_proposer()
    proposer.tick(1.3)
    proposer.handle(3.3, "n0", Accepted("x", proposal.ballot, 2))
    assert proposer.lost
    assert not proposer.may_begin_operation(3.3)
    assert proposer.tick(9.0) == []
