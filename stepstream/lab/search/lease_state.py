"""One state of a small configuration of leases, and how such states are compared and copied.

`lease_search` makes hundreds of thousands of them: copies are shallow, and two states are compared
by the parts that decide which events may follow. The code that creates a `LeaseState` owns it. A
state is not changed any more once its successors were created from it.
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
        acceptors: the acceptors, by name.
        mailboxes: by acceptor, the numbers of all messages ever sent between it and the proposers.
        proposers: in the order of `lease_model.PROPOSERS`.
        renewals: number of renewals on the path to this state.
        restarts: number of restarts of acceptors on that path.
        ballots_begun: number of ballots on that path, by proposer.

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

        All acceptors start alike and have the same clock, so the successors of such states
        differ only in the names as well.
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
        """Return an acceptor's state, and which of its answers the proposers have counted."""
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
    """Return what distinguishes an acceptor's state from other states, as a hashable value."""
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
    """Return what distinguishes a proposer's state from other states, as a hashable value.

    It has only the number of acceptors that answered; `LeaseState.acceptor_key` says which ones.
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
    """Return a copy that may be changed; its wait queue is empty, because it is not searched."""
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
    """Return a copy that may be changed; it has no rejections, because they are not searched."""
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
