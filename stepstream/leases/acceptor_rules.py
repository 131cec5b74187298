"""The rules by which an acceptor lets a lease have only one holder. Free of I/O and of state.

PaxosLease (Trencseni, Gazso, Reinhardt 2012). docs/leases.md has the proof. All times are seconds
of the acceptor's clock.
"""

from stepstream.leases.lease_record import Grant, LeaseRecord
from stepstream.leases.messages import Ballot


def blocking_grant(grant: Grant | None, proposer: str) -> Grant | None:
    """Return the grant because of which this proposer gets no promise; None if there is none.

    While an acceptor keeps a proposer's grant it promises nothing to another: a second quorum could
    form beside the holder's.
    """
    if grant is None or grant.ballot.proposer == proposer:
        return None
    return grant


def may_promise(record: LeaseRecord, ballot: Ballot, highest_number: int) -> bool:
    """Return whether an acceptor promises a ballot that no grant blocks.

    `highest_number` is the greatest number that it has ever promised. A greater number is promised.
    The ballot promised last is promised again, since its first answer may have been lost. If a
    lower number were promised, a late proposal could replace that of a later ballot.
    """
    is_repeated = ballot == record.promised and not record.promise_released
    return is_repeated or ballot.number > highest_number


def may_accept(record: LeaseRecord, ballot: Ballot) -> bool:
    """Return whether an acceptor accepts a proposal under this ballot.

    It accepts only under the ballot that it promised last. After the promise was released, or lost
    in a restart, it accepts nothing: a late proposal must not revive a lease that has ended.
    """
    return record.promised == ballot and not record.promise_released


def is_covered_by_release(ballot: Ballot | None, released: Ballot) -> bool:
    """Return whether a release ends this ballot: a late release must not end a later grant."""
    return (
        ballot is not None
        and ballot.proposer == released.proposer
        and ballot.number <= released.number
    )


def is_expired(grant: Grant, now: float) -> bool:
    """Return whether a grant has expired."""
    return now >= grant.expires_at


def may_forget(record: LeaseRecord) -> bool:
    """Return whether a record may be dropped: nobody holds its lease or waits for it.

    If a grant were dropped, a second holder could get the lease.
    """
    return record.grant is None and not record.waiters
