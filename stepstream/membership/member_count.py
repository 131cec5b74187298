"""How many dispatchers share the cluster's capacity; free of I/O.

All dispatchers share some quantities, such as a cold worker's first load and the calls to
discovery. Each dispatcher takes such a quantity divided by this count. A membership list is no
quorum: a member that is considered dead may be alive and sending on the other side of a partition.
So a member's name is counted from its first record on. It is no longer counted if the member left,
or if the majority of all counted members confirm its death.
docs/membership.md has the proof: during a partition at most one side can reduce its count, members
of a minority keep the share that they had, and all sides together take at most one and a half of
the whole.

Owned by the subsystem and touched only under the driver's lock.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from stepstream.membership.member_list import MemberList
from stepstream.membership.messages import MemberState

# The fingerprints of the death claims that each member confirms, by member name, local included.
Confirmations = Mapping[str, frozenset[int]]


@dataclass(frozen=True, slots=True)
class ObservedMember:
    """What the local member knows of a member when it counts.

    `state_seconds` is how long it has been in its state, `fingerprint` that of its record.
    """

    name: str
    state: MemberState
    state_seconds: float
    fingerprint: int


def observe(members: MemberList, now: float) -> list[ObservedMember]:
    """Return what the list knows of each member; `now` is in monotonic seconds."""
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

    A death is confirmed once the member has been considered dead for `confirmation_delay_seconds`:
    a process that stalls for some seconds must not change every member's share twice. Deaths of
    counted members go first, then later deaths before earlier ones: a status carries a limited
    number.
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

    A fingerprint identifies one claim: if the member returned and died again, confirmations of the
    earlier death do not count.
    """
    return {name for name in counted if fingerprint in confirmations.get(name, ())}


def is_majority(confirming: Collection[str], counted: Collection[str]) -> bool:
    """Return whether the confirming members may remove a name from the count.

    They must be more than half of the counted members, or exactly half with the least name of all
    among them. So at most one side of a partition can remove names.
    """
    is_half_with_least_name = 2 * len(confirming) == len(counted) and min(counted) in confirming
    return 2 * len(confirming) > len(counted) or is_half_with_least_name


def counted_dispatchers(
    count: int, configured_count: int, *, is_starting: bool, has_joined: bool
) -> int:
    """Return the number of dispatchers by which shares are divided.

    A member that has just started may not know all others yet. Until it does, it uses at least the
    configured count, so that it does not take more than its share.
    """
    if is_starting or not has_joined:
        return max(count, configured_count)
    return count


# -- the count ------------------------------------------------------------------------------------


class MemberCount:
    """The names of the counted members.

    `confirmation_delay_seconds` is how long a member must be considered dead before the local
    member confirms its death.
    """

    def __init__(self, local_name: str, confirmation_delay_seconds: float) -> None:
        self.local_name = local_name
        self.confirmation_delay_seconds = confirmation_delay_seconds
        self.counted_names = {local_name}
        # The fingerprint of the death claim for which a name was removed, by name.
        self._removed: dict[str, int] = {}

    def confirmed_deaths(self, observed: Iterable[ObservedMember]) -> list[int]:
        """Return the fingerprints of the death claims that the local member confirms."""
        return deaths_to_confirm(observed, self.counted_names, self.confirmation_delay_seconds)

    def update(self, observed: Iterable[ObservedMember], confirmations: Confirmations) -> int:
        """Add and remove names, and return how many are counted now."""
        by_name = {member.name: member for member in sorted(observed, key=lambda item: item.name)}
        self._add_and_drop_left(by_name.values())
        for member in by_name.values():
            if member.state is MemberState.DEAD and member.name in self.counted_names:
                self._remove_if_confirmed(member, confirmations)
        self._forget_unknown(by_name)
        return len(self.counted_names)

    def _add_and_drop_left(self, observed: Collection[ObservedMember]) -> None:
        """Count all members except those that left and those removed whose record is unchanged."""
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
