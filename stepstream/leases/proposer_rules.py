"""When a proposer repeats a request, renews, waits and backs off. Free of I/O and of state.

PaxosLease (Trencseni, Gazso, Reinhardt 2012). All times are seconds of the proposer's clock. Random
fractions are arguments.
"""

from collections.abc import Collection

from stepstream.leases.configuration import LeaseConfiguration

RENEWAL_FRACTION_OF_TTL = 1 / 3  # two thirds remain for further attempts
RENEWAL_SLOTS_PER_TTL = 30
MAX_OPEN_ROUNDS = 4
MAX_PREPARE_ATTEMPTS = 3
MAX_BACKOFF_DOUBLINGS = 5
# Fractions are drawn evenly between these bounds, so that proposers do not act in step.
BACKOFF_FRACTIONS_OF_LONGEST = (0.1, 1.0)
WAIT_FRACTIONS_OF_REFRESH = (0.6, 1.0)
WAIT_JITTER_FRACTIONS_OF_ROUND = (0.0, 0.1)


def may_repeat_prepare(attempts: int, rejected_by: Collection[str]) -> bool:
    """Return whether a prepare that timed out is sent again, under the same ballot.

    The prepare or its answers may have been lost. After a rejection or MAX_PREPARE_ATTEMPTS
    attempts, a loss is an unlikely cause of the timeout.
    """
    return attempts < MAX_PREPARE_ATTEMPTS and not rejected_by


def gives_up_proposal(round_number: int, *, is_held: bool) -> bool:
    """Return whether a proposer backs off after a proposal that timed out.

    A holder goes on until its lease expires. A proposer without a lease backs off after
    MAX_OPEN_ROUNDS, so that two proposers do not block each other.
    """
    return not is_held and round_number >= MAX_OPEN_ROUNDS


def renewal_due_at(sent_at: float, ttl_seconds: float) -> float:
    """Return when a lease is renewed whose last accepted proposal was sent at `sent_at`.

    Renewals of many leases fall into common slots and go together, in few envelopes (the paper's
    "Extending leases").
    """
    due_at = sent_at + ttl_seconds * RENEWAL_FRACTION_OF_TTL
    slot_seconds = ttl_seconds / RENEWAL_SLOTS_PER_TTL
    return due_at // slot_seconds * slot_seconds


def longest_backoff_seconds(
    round_timeout_seconds: float, failures: int, *, has_lease: bool
) -> float:
    """Return the longest back-off after failed attempts; a random fraction of it is used.

    It doubles with each failure in a row, so that proposers stop blocking each other. A proposer
    with a lease cannot wait so long, since its lease would expire.
    """
    if has_lease:
        return round_timeout_seconds
    return round_timeout_seconds * (2.0**failures / 2)


def retry_wait_seconds(
    announced_seconds: float,
    jitter_fraction: float,
    refresh_fraction: float,
    configuration: LeaseConfiguration,
) -> float:
    """Return how long a proposer waits while the lease is not available to it.

    It lasts until the lease may be free, as the acceptors announced, but no longer than the refresh
    that keeps the place in the wait queue. So the messages of waiters are bounded.
    """
    longest_seconds = configuration.waiter_refresh_seconds() * refresh_fraction
    jitter_seconds = jitter_fraction * configuration.round_timeout_seconds
    return min(announced_seconds + jitter_seconds, longest_seconds)


def is_quorum_possible(rejected_by: Collection[str], configuration: LeaseConfiguration) -> bool:
    """Return whether the acceptors that have not rejected a ballot still make a quorum."""
    return configuration.is_quorum(configuration.all_acceptors - set(rejected_by))


def extends_lease(
    now: float,
    accepted_by: Collection[str],
    expires_at: float,
    current_expires_at: float,
    configuration: LeaseConfiguration,
) -> bool:
    """Return whether the acceptances of a round grant the lease, or extend it, to `expires_at`.

    A quorum must have accepted one and the same round in time. Answers of an earlier round must not
    shorten a lease that is held until `current_expires_at`.
    """
    is_accepted = configuration.is_quorum(accepted_by)
    is_in_time = now < expires_at
    is_longer = expires_at > current_expires_at
    return is_accepted and is_in_time and is_longer


def may_renew_with_ballot(token: int, *, can_renew: bool) -> bool:
    """Return whether the next step renews under the present ballot, in one round trip.

    The lease must have been granted (its token is not 0), and no acceptor may have rejected the
    ballot.
    """
    return token != 0 and can_renew
