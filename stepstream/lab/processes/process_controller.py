"""Apply the faults of a schedule to the processes and links of a `DispatcherCluster`."""

from stepstream.lab.emulator.links import LinkPair
from stepstream.lab.processes.dispatcher_cluster import DispatcherCluster


class ProcessController:
    """The `FaultTarget` of a schedule that is a cluster of processes."""

    def __init__(self, cluster: DispatcherCluster) -> None:
        self.cluster = cluster
        self.suspended: set[str] = set()

    @property
    def names(self) -> tuple[str, ...]:
        """The names of all members, running or not."""
        return tuple(self.cluster.members)

    def is_running(self, name: str) -> bool:
        """Return whether the member's process exists, even if it is suspended."""
        return self.cluster.members[name].is_running()

    def start(self, name: str) -> None:
        """Start the member without waiting until it answers."""
        self.cluster.spawn(self.cluster.members[name])

    def kill(self, name: str) -> None:
        """Kill the member, even a suspended one."""
        self.suspended.discard(name)
        self.cluster.kill(name)

    def leave(self, name: str) -> None:
        """Stop the member gracefully, after resuming it."""
        self.resume(name)
        self.cluster.stop(name)

    def stall(self, name: str) -> None:
        """Suspend the member until `resume`."""
        self.suspended.add(name)
        self.cluster.suspend(name)

    def resume(self, name: str) -> None:
        """Resume the member; do nothing if it is not suspended."""
        if name in self.suspended:
            self.suspended.discard(name)
            self.cluster.resume(name)

    def set_link_faults(self, cut_pairs: set[LinkPair], loss_probability: float) -> None:
        """Replace the cut links (sender, receiver) and the probability that a datagram is lost."""
        with self.cluster.relay.lock:
            self.cluster.relay.links.cut_pairs = cut_pairs
            self.cluster.relay.links.loss_probability = loss_probability
