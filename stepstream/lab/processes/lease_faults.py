"""Inject faults that the lease of a `LeaseDispatcherCluster` must survive.

The module owns no state. The cluster's thread makes all calls.
"""

import signal
import time
from collections.abc import Callable
from dataclasses import dataclass

from stepstream.lab.processes.lease_cluster import (
    LONGEST_OPERATION_FRACTION,
    TTL_SECONDS,
    LeaseDispatcherCluster,
)


@dataclass(frozen=True)
class LeaseFault:
    """One fault to inject.

    It lasts for `duration_in_ttls` times the lease's time to live. `begin` gets the cluster and the
    member that held the lease a moment ago.
    """

    name: str
    duration_in_ttls: float
    begin: Callable[[LeaseDispatcherCluster, str], None]


@dataclass(frozen=True)
class LeaseFaultOutcome:
    """The times of one fault, on the monotonic clock, and the recovery from it."""

    fault_name: str
    holder: str  # when the fault began
    begun_at_seconds: float
    ended_at_seconds: float
    recovery_seconds: float  # from the fault's end to the next completed operation


def majority_without(cluster: LeaseDispatcherCluster, holder: str) -> list[str]:
    """Return a majority of the acceptors that excludes the holder.

    If too few acceptors are left, return all acceptors but the holder.
    """
    acceptors = [name for name in cluster.acceptors if name != holder]
    return acceptors[: len(cluster.acceptors) // 2 + 1]


def kill(cluster: LeaseDispatcherCluster, *names: str) -> None:
    """Kill those of the named members that are running."""
    for name in names:
        if cluster.members[name].is_running():
            cluster.kill(name)


def restart(cluster: LeaseDispatcherCluster, *names: str) -> None:
    """Kill the named members and start them again, without waiting until they are up."""
    kill(cluster, *names)
    for name in names:
        cluster.spawn(cluster.members[name])


def restart_acceptors_one_by_one(cluster: LeaseDispatcherCluster, _holder: str) -> None:
    """Restart one acceptor after another, faster than the lease expires."""
    for name in cluster.acceptors:
        restart(cluster, name)
        time.sleep(TTL_SECONDS / 2)


def isolate(cluster: LeaseDispatcherCluster, holder: str) -> None:
    """Cut the holder from all other members."""
    cluster.cut([holder], cluster.other_members(holder))


def isolate_from_majority(cluster: LeaseDispatcherCluster, holder: str) -> None:
    """Cut the holder from a majority of the acceptors."""
    cluster.cut([holder], majority_without(cluster, holder))


def drop_sent_messages(cluster: LeaseDispatcherCluster, holder: str) -> None:
    """Cut the links from the holder to all other members, but not those to the holder."""
    cluster.cut([holder], cluster.other_members(holder), both_ways=False)


def drop_received_messages(cluster: LeaseDispatcherCluster, holder: str) -> None:
    """Cut the links from all other members to the holder, but not those from the holder."""
    cluster.cut(cluster.other_members(holder), [holder], both_ways=False)


def isolate_with_one_acceptor(cluster: LeaseDispatcherCluster, holder: str) -> None:
    """Cut the holder and an acceptor from all others; if the holder is an acceptor, cut only it."""
    side = {holder}
    if holder not in cluster.acceptors:
        side.add(cluster.acceptors[0])
    cluster.cut(side, cluster.other_members(*side))


def suspend_two(cluster: LeaseDispatcherCluster, holder: str) -> None:
    """Suspend the processes of the holder and of another member."""
    for name in (holder, cluster.other_members(holder)[0]):
        cluster.suspend(name)


def delay_and_double_messages(cluster: LeaseDispatcherCluster, _holder: str) -> None:
    """Delay two in five messages longer than a lease lasts, and duplicate three in ten."""
    cluster.set_links(
        reorder_probability=0.4, reorder_delay_seconds=2 * TTL_SECONDS, duplicate_probability=0.3
    )


# The names are printed and stored with the results.
LEASE_FAULTS = (
    LeaseFault(
        "holder stopped, shorter than the lease",
        0.5,
        lambda cluster, holder: cluster.suspend(holder),
    ),
    LeaseFault(
        "holder stopped, longer than the lease",
        2.0,
        lambda cluster, holder: cluster.suspend(holder),
    ),
    LeaseFault("holder killed", 1.5, lambda cluster, holder: kill(cluster, holder)),
    LeaseFault(
        "holder told to stop", 1.5, lambda cluster, holder: cluster.members[holder].terminate()
    ),
    LeaseFault("holder drained", 1.0, lambda cluster, holder: cluster.drain(holder)),
    LeaseFault("holder restarted at once", 1.0, lambda cluster, holder: restart(cluster, holder)),
    LeaseFault("holder cut off from all", 2.0, isolate),
    LeaseFault("holder cut off from a majority", 2.0, isolate_from_majority),
    LeaseFault("holder not heard", 2.0, drop_sent_messages),
    LeaseFault("holder hears nothing", 2.0, drop_received_messages),
    LeaseFault("one voter with the holder, cut from the rest", 2.0, isolate_with_one_acceptor),
    LeaseFault("each voter restarted in turn", 0.5, restart_acceptors_one_by_one),
    LeaseFault(
        "all voters killed at once", 1.0, lambda cluster, _holder: kill(cluster, *cluster.acceptors)
    ),
    LeaseFault(
        "a majority restarted together",
        0.5,
        lambda cluster, holder: restart(cluster, *majority_without(cluster, holder)),
    ),
    LeaseFault("messages later than a lease, doubled", 2.5, delay_and_double_messages),
    LeaseFault(
        "three in ten messages lost",
        2.0,
        lambda cluster, _holder: cluster.set_links(loss_probability=0.3),
    ),
    LeaseFault(
        "the ledger answers late",
        1.5,
        lambda cluster, _holder: cluster.signal_ledger(signal.SIGSTOP),
    ),
    LeaseFault("two members stopped", 2.0, suspend_two),
)
"""Every fault that the lease must survive: never two holders, and a holder after the fault."""


def inject(
    cluster: LeaseDispatcherCluster, fault: LeaseFault, timeout_seconds: float
) -> LeaseFaultOutcome:
    """Inject one fault, end it, and measure the time until an operation completes after its end.

    Raise ConditionTimeoutError if, within `timeout_seconds`, no member holds the lease before the
    fault, or no operation completes after it.
    """
    cluster.wait_for(cluster.holder, timeout_seconds, "a holder")
    # After a random time, so that the fault begins before, during or after an operation.
    time.sleep(cluster.rng.uniform(0.0, LONGEST_OPERATION_FRACTION * TTL_SECONDS))
    holder = cluster.holder() or cluster.acceptors[0]
    begun_at_seconds = time.monotonic()
    fault.begin(cluster, holder)
    time.sleep(fault.duration_in_ttls * TTL_SECONDS)
    cluster.end_all_faults()
    ended_at_seconds = time.monotonic()
    recovery_seconds = cluster.wait_for(
        lambda: cluster.has_operated_since(ended_at_seconds),
        timeout_seconds,
        f"an operation after the fault: {fault.name}",
    )
    return LeaseFaultOutcome(
        fault.name, holder, begun_at_seconds, ended_at_seconds, recovery_seconds
    )
