"""Observe the membership lists of a cluster and check the invariants of its records.

Only the thread that polls the members may use their monitor.
"""

from typing import NamedTuple

import msgspec

from stepstream.lab.processes.cluster_member import MemberRow
from stepstream.lab.processes.dispatcher_cluster import DispatcherCluster

OBSERVATION_INTERVAL_SECONDS = 0.1
MAX_OBSERVATION_GAP_SECONDS = 10 * OBSERVATION_INTERVAL_SECONDS
"""An observation ends when the observer does not answer for longer than this."""

ENDED_STATES = ("dead", "left")
RUNNING_STATES = ("alive", "suspect")


class Observation(msgspec.Struct):
    """A period in which one observer listed one member in one state, in seconds of the run.

    The encoded names are the keys of `fleet.json`.
    """

    observer: str
    name: str
    state: str
    begun_at_seconds: float = msgspec.field(name="begun")
    ended_at_seconds: float = msgspec.field(name="ended")


class ProcessAndMember(NamedTuple):
    """One process of an observer, as NAME@GENERATION, and the member that it reports on."""

    process: str
    member: str


class RecordVersion(NamedTuple):
    """The version that orders the records of one member."""

    generation: int
    incarnation: int


class StatusVersion(NamedTuple):
    """A record's generation, and the process start and revision of the status beside it."""

    generation: int
    started_ms: int
    revision: int


class InvariantMonitor:
    """All observations of a run, and the violations of invariants among them.

    `started_at_seconds` is the run's start by the monotonic clock.
    """

    def __init__(self, started_at_seconds: float) -> None:
        self.started_at_seconds = started_at_seconds
        self.observations: list[Observation] = []
        self.violations: list[str] = []
        self._latest: dict[tuple[str, str], Observation] = {}  # by observer and member
        self._records: dict[ProcessAndMember, tuple[RecordVersion, str]] = {}  # with the state
        self._statuses: dict[ProcessAndMember, StatusVersion] = {}
        # Starts of members whose status was replaced by that of another start, for each observer.
        self._past_starts: set[tuple[ProcessAndMember, int]] = set()

    def observe(self, at_seconds: float, cluster: DispatcherCluster, suspended: set[str]) -> None:
        """Poll every member that runs and is not suspended, at this time of the run."""
        for observer, member in cluster.members.items():
            if observer in suspended or not member.is_running():
                continue
            membership_list = member.membership_list()
            if membership_list is None:
                continue
            process = f"{observer}@{membership_list['self_generation']}"
            for row in membership_list["members"]:
                self.record(at_seconds, process, observer, row)

    def record(self, at_seconds: float, process: str, observer: str, row: MemberRow) -> None:
        """Record one row of an observer's list and check it against the earlier ones."""
        self._extend_observation(at_seconds, observer, row)
        self._check_record(at_seconds, process, observer, row)
        if "count" in row["facts"]:
            self._check_status(at_seconds, process, observer, row)

    def _extend_observation(self, at_seconds: float, observer: str, row: MemberRow) -> None:
        """Extend the observer's latest observation of the member, or begin a new one."""
        key = (observer, row["name"])
        latest = self._latest.get(key)
        if (
            latest is None
            or latest.state != row["state"]
            or at_seconds - latest.ended_at_seconds > MAX_OBSERVATION_GAP_SECONDS
        ):
            latest = Observation(observer, row["name"], row["state"], at_seconds, at_seconds)
            self._latest[key] = latest
            self.observations.append(latest)
        latest.ended_at_seconds = at_seconds

    def _check_record(self, at_seconds: float, process: str, observer: str, row: MemberRow) -> None:
        """Check that no record is older than the one before and that ended ones stay ended."""
        name = row["name"]
        key = ProcessAndMember(process, name)
        version = RecordVersion(row["generation"], row["incarnation"])
        earlier = self._records.get(key)
        self._records[key] = (version, row["state"])
        if earlier is None:
            return
        earlier_version, earlier_state = earlier
        if version < earlier_version:
            self._add_violation(at_seconds, f"{observer} went back to an older claim of {name}")
        is_revived = earlier_state in ENDED_STATES and row["state"] in RUNNING_STATES
        if version == earlier_version and is_revived:
            self._add_violation(at_seconds, f"{observer} has {name} back on an old claim")

    def _check_status(self, at_seconds: float, process: str, observer: str, row: MemberRow) -> None:
        """Check that a member's status never goes back to an older revision or an older start.

        A status belongs to the process start that it names, not to the record beside it: right
        after a restart, the list may briefly have the new record beside the old process's status.
        """
        key = ProcessAndMember(process, row["name"])
        started_ms = row["facts"].get("started_ms", 0)
        status = StatusVersion(row["generation"], started_ms, row["facts"]["count"])
        earlier = self._statuses.get(key, status)
        if started_ms != earlier.started_ms:
            self._past_starts.add((key, earlier.started_ms))
        is_past_start = (key, started_ms) in self._past_starts
        is_same_process = status[:2] == earlier[:2]
        is_older_revision = is_same_process and status.revision < earlier.revision
        if status.generation < earlier.generation or is_past_start or is_older_revision:
            violation = f"{observer}: the counter of {row['name']} went back"
            self._add_violation(at_seconds, violation)
        self._statuses[key] = status

    def _add_violation(self, at_seconds: float, description: str) -> None:
        self.violations.append(f"{at_seconds:.1f} s: {description}")
