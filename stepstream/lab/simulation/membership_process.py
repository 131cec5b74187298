"""Simulate the process of one member that runs the membership protocol.

A `MembershipCluster` owns the processes; only the thread that runs its timeline may touch them.
"""

from dataclasses import dataclass, field

from stepstream.lab.simulation.cluster import SimulatedProcess
from stepstream.lab.simulation.errors import NotRunningError
from stepstream.membership.member_count import MemberCount
from stepstream.membership.protocol import MembershipProtocol


@dataclass(eq=False)
class MembershipProcess(SimulatedProcess):
    """The simulated process of one member; times are in seconds of the timeline.

    Attributes:
        address: the address at which it listens.
        protocol: the program's own; None while the process does not run.
        started_at: when the process was last started.
        clock_offset_seconds: by how much its time of day is ahead of the timeline's.
        member_count: its count of the members; None if it does not count.

    """

    address: str = field(kw_only=True)
    protocol: MembershipProtocol | None = None
    started_at: float = 0.0
    clock_offset_seconds: float = 0.0
    member_count: MemberCount | None = None

    @property
    def is_running(self) -> bool:
        """Whether the process exists; true for a stalled process as well."""
        return self.protocol is not None

    @property
    def running_protocol(self) -> MembershipProtocol:
        """The protocol of a running process; NotRunningError if it does not run."""
        if self.protocol is None:
            raise NotRunningError(self.name)
        return self.protocol

    def discard_state(self) -> None:
        """Drop the protocol and the count."""
        self.protocol = None
        self.member_count = None
