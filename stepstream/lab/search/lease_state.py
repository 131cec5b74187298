"""One state of a small configuration of leases, and how such states are compared and copied.

`lease_search` makes hundreds of thousands of them: copies are shallow, and two states are compared
by the parts that decide what may follow. Whoever made a `LeaseState` owns it; nothing changes one
once its successors have been made from it.
"""

from dataclasses import dataclass

from stepstream.leases.acceptor import Acceptor
from stepstream.leases.ballots import BallotSequence, ProposalRound
from stepstream.leases.lease_record import LeaseRecord
from stepstream.leases.proposer import Proposer
from stepstream.leases.wait_queue import WaitQueue

LEASE = "x"
ACCEPTORS = ("v0", "v1", "v2")


@dataclass
class LeaseState:
    """The state of all acceptors and proposers, and the messages sent so far.

    Whatever an event does not change is shared with the state before it.

    Attributes:
        now: seconds since the first state.
        acceptors: by name.
        mailboxes: by acceptor, the numbers of all messages ever sent between it and the proposers.
        proposers: in the order of `lease_model.PROPOSERS`.
        renewals: on the path to this state; so are `restarts` of acceptors and `ballots_begun`,
            by proposer.

    """

    now: float
    acceptors: dict[str, Acceptor]
    mailboxes: dict[str, frozenset[int]]
    proposers: tuple[Proposer, ...]
    renewals: int = 0
    restarts: int = 0
    ballots_begun: tuple[int, ...] = (0, 0)

    def copy(self) -> "LeaseState":
        """Return a shallow copy, without the cost of the constructor."""
        copied = LeaseState.__new__(LeaseState)
        copied.__dict__.update(self.__dict__)
        return copied

    def key(self) -> int:
        """Return a hash that is equal for states that differ only in the acceptors' names.

        All acceptors start alike and have the same clock, so such states have like successors.
        """
        acceptors = sorted(
            hash((self.acceptor_key(name), self.mailboxes[name])) for name in ACCEPTORS
        )
        proposers = tuple(proposer_key(proposer) for proposer in self.proposers)
        return hash(
            (
                self.now,
                tuple(acceptors),
                proposers,
                self.renewals,
                self.restarts,
                self.ballots_begun,
            )
        )

    def acceptor_key(self, name: str) -> object:
        """Return an acceptor's state and which answers of it the proposers have counted."""
        counted = tuple(
            (
                name in proposer.promised_by,
                tuple(
                    number
                    for number, proposal in proposer.rounds.items()
                    if name in proposal.accepted_by
                ),
            )
            for proposer in self.proposers
        )
        return acceptor_state(self.acceptors[name]), counted


def acceptor_state(acceptor: Acceptor) -> object:
    """Return what tells an acceptor's state from others, as a hashable value."""
    record = acceptor.records.get(LEASE)
    if record is None:
        return acceptor.recovering_until
    promised = record.promised
    promised_key = (promised.number, promised.proposer) if promised is not None else None
    grant = record.grant
    grant_key = (
        (grant.ballot.number, grant.ballot.proposer, grant.expires_at)
        if grant is not None
        else None
    )
    return acceptor.recovering_until, promised_key, record.promise_released, grant_key


def proposer_key(proposer: Proposer) -> object:
    """Return what tells a proposer's state from others, as a hashable value.

    Of the acceptors that answered it has the number alone; `LeaseState.acceptor_key` says which.
    """
    rounds = tuple(
        (number, proposal.sent_at, len(proposal.accepted_by))
        for number, proposal in sorted(proposer.rounds.items())
    )
    ballot_number = proposer.ballot.number if proposer.ballot is not None else 0
    return (
        ballot_number,
        len(proposer.promised_by),
        rounds,
        proposer.token,
        proposer.expires_at,
        proposer.is_over,
        proposer.phase.value,
    )


def copy_acceptor(acceptor: Acceptor) -> Acceptor:
    """Return a copy that may be changed; its wait queue is empty, as waiting is not searched."""
    copied = Acceptor.__new__(Acceptor)
    copied.__dict__.update(acceptor.__dict__)
    copied.records = {}
    record = acceptor.records.get(LEASE)
    if record is not None:
        copied.records[LEASE] = LeaseRecord(
            WaitQueue(acceptor.configuration),
            record.promised,
            record.promise_released,
            record.grant,
            record.free_since,
        )
    return copied


def copy_proposer(proposer: Proposer) -> Proposer:
    """Return a copy that may be changed; it has no rejections, as those are not searched."""
    copied = Proposer.__new__(Proposer)
    copied.__dict__.update(proposer.__dict__)
    copied.ballots = BallotSequence(proposer.ballots.highest)
    copied.promised_by = set(proposer.promised_by)
    copied.rejections = {}
    copied.answered_at = {}
    copied.rounds = {
        number: ProposalRound(proposal.sent_at, set(proposal.accepted_by))
        for number, proposal in proposer.rounds.items()
    }
    return copied
