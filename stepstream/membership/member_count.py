"""How many dispatchers share the cluster's capacity; free of I/O.

The count divides what the dispatchers share: a cold worker's first load, calls to discovery. A
membership list is no quorum: a member that is held dead may be alive behind a partition and
sending. So a name counts from its first record on. It stops to count if the member left, or if the
majority of all that count confirm its death. docs/membership.md has the proof: while a partition
lasts at most one side can shrink its count, members of a minority go on to take what they took, and
both sides together take at most one and a half of the whole share.

Owned by the subsystem and touched only under the driver's lock.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from stepstream.membership.member_list import MemberList
from stepstream.membership.messages import MemberState

# By member, the local one included: the fingerprints of the death claims that it confirms.
Confirmations = Mapping[str, frozenset[int]]


@dataclass(frozen=True, slots=True)
class ObservedMember:
    """A member as this one holds it.

    `state_seconds` is the time for which it is in its state, `fingerprint` its record's.
    """

    name: str
    state: MemberState
    state_seconds: float
    fingerprint: int


def observe(members: MemberList, now: float) -> list[ObservedMember]:
    """Return all members as the list holds them."""
    return [
        ObservedMember(
            name, member.record.state, now - member.state_since, member.record.fingerprint
        )
        for name, member in members.by_name.items()
    ]


# -- rules ----------------------------------------------------------------------------------------


def deaths_to_confirm(
    observed: Iterable[ObservedMember],
    counted: Collection[str],
    confirmation_delay_seconds: float,
) -> list[int]:
    """Return the fingerprints of the death claims that this member confirms.

    A death is confirmed once it was held for `confirmation_delay_seconds`: a process that stops for
    some seconds must not move every member's share twice. Members that still count go first, then
    the latest deaths, since a status carries a limited number.
    """
    dead = [
        member
        for member in observed
        if member.state is MemberState.DEAD and member.state_seconds >= confirmation_delay_seconds
    ]
    dead.sort(key=lambda member: (member.name not in counted, member.state_seconds, member.name))
    return [member.fingerprint for member in dead]


def confirming_members(
    fingerprint: int, counted: Collection[str], confirmations: Confirmations
) -> set[str]:
    """Return the counted members that confirm the death claim with this fingerprint.

    The fingerprint is of one claim, so that no confirmation from before a return counts.
    """
    return {name for name in counted if fingerprint in confirmations.get(name, ())}


def is_majority(confirming: Collection[str], counted: Collection[str]) -> bool:
    """Return whether the confirming members may remove a name from the count.

    They must be more than half of all that count or, of two halves, the one with the least name.
    So at most one side of a partition can remove names.
    """
    is_half_with_least_name = 2 * len(confirming) == len(counted) and min(counted) in confirming
    return 2 * len(confirming) > len(counted) or is_half_with_least_name


def counted_dispatchers(
    count: int, configured_count: int, *, is_starting: bool, has_joined: bool
) -> int:
    """Return the number of dispatchers by which shares are divided.

    A member that has just started may not know all others yet. The configured count is the least
    then: a new member must not take more than its share.
    """
    if is_starting or not has_joined:
        return max(count, configured_count)
    return count


# -- the record -----------------------------------------------------------------------------------


class MemberCount:
    """The names that count.

    `confirmation_delay_seconds` is the time for which a member is held dead before this one
    confirms its death.
    """

    def __init__(self, local_name: str, confirmation_delay_seconds: float) -> None:
        self.local_name = local_name
        self.confirmation_delay_seconds = confirmation_delay_seconds
        self.counted_names = {local_name}
        # By name, the fingerprint of the death claim for which it was removed.
        self._removed: dict[str, int] = {}

    def confirmed_deaths(self, observed: Iterable[ObservedMember]) -> list[int]:
        """Return the fingerprints of the deaths that this member confirms."""
        return deaths_to_confirm(observed, self.counted_names, self.confirmation_delay_seconds)

    def update(self, observed: Iterable[ObservedMember], confirmations: Confirmations) -> int:
        """Add and remove names, and return how many count by now."""
        by_name = {member.name: member for member in sorted(observed, key=lambda item: item.name)}
        self._add_and_drop_left(by_name.values())
        for member in by_name.values():
            if member.state is MemberState.DEAD and member.name in self.counted_names:
                self._remove_if_confirmed(member, confirmations)
        self._forget_unknown(by_name)
        return len(self.counted_names)

    def _add_and_drop_left(self, observed: Collection[ObservedMember]) -> None:
        """Count all but those that left, or whose death claim of their removal still holds."""
        left = {member.name for member in observed if member.state is MemberState.LEFT}
        counted = {
            member.name
            for member in observed
            if self._removed.get(member.name) != member.fingerprint
        }
        self.counted_names = (self.counted_names | counted | {self.local_name}) - left

    def _remove_if_confirmed(self, member: ObservedMember, confirmations: Confirmations) -> None:
        confirming = confirming_members(member.fingerprint, self.counted_names, confirmations)
        if is_majority(confirming, self.counted_names):
            self.counted_names.discard(member.name)
            self._removed[member.name] = member.fingerprint

    def _forget_unknown(self, by_name: Mapping[str, ObservedMember]) -> None:
        self.counted_names = {
            name for name in self.counted_names if name in by_name or name == self.local_name
        }
        self._removed = {name: claim for name, claim in self._removed.items() if name in by_name}
