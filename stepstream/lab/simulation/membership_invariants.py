"""Invariants of the membership protocol, checked after every step of a simulated member.

Each invariant is one function or method that says what it guards against. The state between
two checks is kept here and not in the processes, because it outlives them.
"""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from stepstream.lab.emulator.links import Links
from stepstream.lab.simulation.errors import InvariantError
from stepstream.lab.simulation.membership_process import MembershipProcess
from stepstream.membership import record_precedence
from stepstream.membership.messages import PRESENT_STATES, MemberRecord, MemberState
from stepstream.membership.protocol import MembershipProtocol
from stepstream.membership.protocol_settings import ProtocolSettings

FALSE_DEATH_CHECK_SECONDS = 0.1
"""Time between two checks of one observer for false deaths."""

MAX_FALSE_DEATH_PERIODS = 40
"""Number of probe intervals for which a reachable member may be believed dead."""

MAX_BROADCASTS_PER_MEMBER = 3

RecordVersion = tuple[int, str, int]
"""The fields that order a member's records, without the state: generation, address, incarnation."""


def version_of(record: MemberRecord) -> RecordVersion:
    """Return the version of a record."""
    return record_precedence.member_precedence(record)[:3]


class EndedVersions:
    """The invariant that no member is present again with a record that an observer saw end.

    A member that was dead or had left may be present again only with a greater version: generation,
    address or incarnation. This guards against old records that replace newer ones, and against
    members that alternate between dead and alive without having refuted their death.
    """

    def __init__(self) -> None:
        # By observing process and member: the greatest version that the process saw end.
        self._ended: dict[tuple[str, str], RecordVersion] = {}

    def observe(self, now: float, observer: str, record: MemberRecord) -> bool:
        """Check a record that an observer holds; InvariantError if it is present after its end.

        Return whether the observer sees this version end for the first time.
        """
        key = (observer, record.name)
        version = version_of(record)
        ended = self._ended.get(key)
        if record.state in PRESENT_STATES:
            if ended is not None and version <= ended:
                raise InvariantError(
                    f"{now:.3f} s: {observer} lists {record.name} as present on an ended record"
                )
            return False
        if ended is not None and version <= ended:
            return False
        self._ended[key] = version
        return True

    def forget_observer(self, observer: str) -> None:
        """Forget what an observer saw, because it restarts."""
        self._ended = {key: version for key, version in self._ended.items() if key[0] != observer}


@dataclass(frozen=True)
class DeclaredDeath:
    """An observer, a member that it declared dead, and the time in seconds of the timeline.

    `was_running` says whether the member's process existed at that moment.
    """

    declared_at: float
    observer: str
    member: str
    was_running: bool


@dataclass
class ObserverState:
    """The state of one observing process between two checks."""

    checked_event: int = 0  # number of the newest membership event that was checked
    false_deaths_checked_at: float = -1.0
    # Since when each running, reachable member is believed dead, by its name and start time.
    false_deaths: dict[tuple[str, float], float] = field(default_factory=dict)


class ObservedCluster(Protocol):
    """The parts of a cluster that the checks read."""

    now: float
    links: Links
    settings: ProtocolSettings

    @property
    def processes(self) -> Mapping[str, MembershipProcess]:
        """All processes by member name, running or not."""


class MembershipInvariants:
    """All invariants of one cluster, and the deaths that its members declared."""

    def __init__(self, cluster: ObservedCluster) -> None:
        self.declared_deaths: list[DeclaredDeath] = []
        self._cluster = cluster
        self._ended_versions = EndedVersions()
        self._observers: defaultdict[MembershipProcess, ObserverState] = defaultdict(ObserverState)

    def on_start(self, process: MembershipProcess) -> None:
        """Discard what the member's earlier process observed."""
        observer = self._observers[process]
        observer.checked_event = 0
        observer.false_deaths = {}

    def on_stall_ended(self, process: MembershipProcess) -> None:
        """Forget false deaths and their times: a stalled process could not correct them."""
        self._observers[process].false_deaths = {}

    def check(self, process: MembershipProcess) -> None:
        """Check every invariant after a step of a running member; InvariantError if one fails."""
        protocol = process.running_protocol
        self.check_no_lasting_false_death(process, protocol)
        self.check_state_is_bounded(process, protocol)
        self.check_no_return_of_ended_records(process, protocol)

    def check_no_lasting_false_death(
        self, process: MembershipProcess, protocol: MembershipProtocol
    ) -> None:
        """Check that a member does not believe a running, reachable member dead for too long.

        This guards against a member that is never told that it was declared dead and so cannot
        refute it, and against members that are never contacted again after a partition.
        """
        now = self._cluster.now
        observer = self._observers[process]
        if now < observer.false_deaths_checked_at + FALSE_DEATH_CHECK_SECONDS:
            return
        observer.false_deaths_checked_at = now
        max_seconds = MAX_FALSE_DEATH_PERIODS * self._cluster.settings.probe_interval_seconds
        false_deaths = {}
        for other in self._false_deaths(process, protocol):
            key = (other.name, other.started_at)
            since = observer.false_deaths.get(key, now)
            false_deaths[key] = since
            if now - since > max_seconds:
                raise InvariantError(
                    f"{now:.3f} s: {process.name} lists {other.name} as dead since {since:.3f} s"
                )
        observer.false_deaths = false_deaths

    def _false_deaths(
        self, process: MembershipProcess, protocol: MembershipProtocol
    ) -> list[MembershipProcess]:
        """Return the running, reachable members that a member believes dead."""
        members = protocol.members
        found = []
        for name in members.by_name.keys() - members.present:
            other = self._cluster.processes.get(name)
            if other is None or not other.is_running or other.stalled_until > self._cluster.now:
                continue
            is_dead = members.by_name[name].record.state is MemberState.DEAD
            if is_dead and self._is_linked(process.name, name):
                found.append(other)
        return found

    def _is_linked(self, one: str, other: str) -> bool:
        """Return whether the link between two members is intact in both directions."""
        cut_pairs = self._cluster.links.cut_pairs
        return (one, other) not in cut_pairs and (other, one) not in cut_pairs

    def check_state_is_bounded(
        self, process: MembershipProcess, protocol: MembershipProtocol
    ) -> None:
        """Check that a member's list and its queue of updates stay within their bounds.

        This guards against memory that grows with the number of member names ever seen.
        """
        max_members = self._cluster.settings.max_members
        max_broadcasts = MAX_BROADCASTS_PER_MEMBER * max_members
        if (
            len(protocol.members.by_name) > max_members
            or len(protocol.outbox.broadcasts.queued) > max_broadcasts
        ):
            raise InvariantError(
                f"{self._cluster.now:.3f} s: {process.name} holds more members or updates"
                " than its bound"
            )

    def check_no_return_of_ended_records(
        self, process: MembershipProcess, protocol: MembershipProtocol
    ) -> None:
        """Check the records that changed since the last check; see `EndedVersions`."""
        events = protocol.members.events
        observer = self._observers[process]
        if events.last_number <= observer.checked_event:
            return
        unchecked = min(events.last_number - observer.checked_event, len(events.recent))
        observer.checked_event = events.last_number
        for event in list(events.recent)[-unchecked:]:
            member = protocol.members.by_name.get(event.name)
            if member is not None:
                self._check_record(process, member.record)

    def _check_record(self, process: MembershipProcess, record: MemberRecord) -> None:
        """Check a changed record, and record a death that is new to its observer."""
        now = self._cluster.now
        observer = f"{process.name}@{process.started_at}"
        is_new_end = self._ended_versions.observe(now, observer, record)
        if is_new_end and record.state is MemberState.DEAD:
            other = self._cluster.processes.get(record.name)
            was_running = other is not None and other.is_running
            self.declared_deaths.append(DeclaredDeath(now, process.name, record.name, was_running))
