"""What all members must agree on: the acceptors, and the bounds on time. Free of I/O, immutable.

Every envelope carries digests of the sender's configuration. Members without a common digest grant
each other nothing. docs/leases.md says what goes wrong if a value does not fit. All times are
seconds.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from hashlib import blake2b

from stepstream.leases.errors import LeaseError

MIN_ROUNDS_PER_TTL = 4  # with fewer, one lost renewal could lose the lease
ROUNDS_PER_REFRESH = 10
MAX_OPERATION_FRACTION_OF_TTL = 0.5
DIGEST_BYTES = 6


class LeaseTimesError(LeaseError, ValueError):
    """A time to live or an operation's time out of bounds; the text names key, value and bound."""


@dataclass(frozen=True)
class LeaseConfiguration:
    """The acceptors and the time bounds of one deployment.

    `previous_acceptors` is set while the acceptors are changed: quorums of both sets are needed.
    `max_clock_drift` is the fraction by which a clock may run fast or slow. `max_ttl_seconds` is
    the paper's M, the longest time to live. `round_timeout_seconds` is one round trip to the
    acceptors. `head_start_seconds` is the time that each waiter has before the next one when a
    lease becomes free. One acceptor keeps at most `max_leases`, one lease `max_waiters`.
    """

    acceptors: tuple[str, ...]
    previous_acceptors: tuple[str, ...] = ()
    max_clock_drift: float = 0.01
    max_ttl_seconds: float = 60.0
    round_timeout_seconds: float = 0.3
    head_start_seconds: float = 0.3
    max_leases: int = 1_024
    max_waiters: int = 128

    @property
    def acceptor_sets(self) -> tuple[frozenset[str], ...]:
        """The sets; a quorum of each is needed."""
        return tuple(
            frozenset(names) for names in (self.acceptors, self.previous_acceptors) if names
        )

    @property
    def digests(self) -> tuple[int, ...]:
        """A 48-bit digest of each acceptor set with the time bounds."""
        return tuple(
            digest_of(names, self.max_clock_drift, self.max_ttl_seconds)
            for names in self.acceptor_sets
        )

    @property
    def all_acceptors(self) -> frozenset[str]:
        """The members of all acceptor sets."""
        return frozenset().union(*self.acceptor_sets)

    def is_compatible(self, digests: Collection[int]) -> bool:
        """Return whether a member with these digests shares an acceptor set and the time bounds.

        Without a common acceptor set, two members could each have a quorum for the same lease.
        """
        return not set(digests).isdisjoint(self.digests)

    def is_quorum(self, names: Collection[str]) -> bool:
        """Return whether these are more than half of each set: any two quorums intersect."""
        return all(2 * len(each & frozenset(names)) > len(each) for each in self.acceptor_sets)

    def acceptor_ttl_seconds(self, ttl_seconds: float) -> float:
        """Return the time for which an acceptor keeps a grant, on its own clock.

        It is never shorter than the holder's own time, even if the acceptor's clock is as fast and
        the holder's as slow as the drift bound allows. Two holders could overlap otherwise.
        """
        return ttl_seconds * (1 + self.max_clock_drift) / (1 - self.max_clock_drift)

    @property
    def recovery_seconds(self) -> float:
        """The time after its start for which an acceptor answers nothing, as in PaxosLease.

        All grants from before the start have expired by then, so that the acceptor needs no disk.
        """
        return self.acceptor_ttl_seconds(self.max_ttl_seconds)

    @property
    def min_ttl_seconds(self) -> float:
        """The shortest time to live."""
        return MIN_ROUNDS_PER_TTL * self.round_timeout_seconds

    def waiter_refresh_seconds(self) -> float:
        """Return the longest time between two prepares of a waiting proposer."""
        return ROUNDS_PER_REFRESH * self.round_timeout_seconds


def digest_of(names: Iterable[str], max_clock_drift: float, max_ttl_seconds: float) -> int:
    """Return the digest of one acceptor set with the bounds; members compare it on the wire."""
    digest_input = f"{' '.join(sorted(names))} {max_clock_drift} {max_ttl_seconds}"
    return int.from_bytes(blake2b(digest_input.encode(), digest_size=DIGEST_BYTES).digest())


def check_lease_times(
    configuration: LeaseConfiguration, ttl_seconds: float, operation_seconds: float
) -> None:
    """Raise `LeaseTimesError` if no lease can be granted for these times.

    The texts name the parameters of the HTTP call and the keys of the operator's file.
    """
    ttl_text = f"ttl_ms={ttl_seconds * 1000:.0f}"
    if ttl_seconds < configuration.min_ttl_seconds:
        shortest_ms = configuration.min_ttl_seconds * 1000
        raise LeaseTimesError(
            f"{ttl_text} is under {shortest_ms:.0f}, four times leases.timeout_ms"
        )
    if ttl_seconds > configuration.max_ttl_seconds:
        raise LeaseTimesError(
            f"{ttl_text} is over leases.longest_s={configuration.max_ttl_seconds:g}"
        )
    if not 0 < operation_seconds <= ttl_seconds * MAX_OPERATION_FRACTION_OF_TTL:
        raise LeaseTimesError(
            f"act_ms={operation_seconds * 1000:.0f} is not between 1 and half of {ttl_text}"
        )
