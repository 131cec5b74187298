"""Run dispatchers that contend for one lease, inject faults and record who operated on a ledger.

A `LeaseDispatcherCluster` owns the processes of the dispatchers and of the ledger, and the relay
between them.
All calls come from one thread, of the test or benchmark; the relay's thread shares only its links.
"""

import contextlib
import random
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from stepstream.lab.processes.dispatcher_cluster import DispatcherCluster, free_port
from stepstream.lab.processes.lease_member import LEASE, LEDGER, TASKS
from stepstream.lab.verification import ledger_record

TTL = 1.2
"""A lease's time to live in seconds."""

LONGEST_OPERATION_SHARE = 0.25
"""The longest operation as a share of the time to live."""

HOLD_SECONDS = 1.5
"""How long a holder operates before it releases the lease."""

MEMBERSHIP_SETTINGS = """\
period_ms = 200
timeout_ms = 90
sync_ms = 1000
reach_ms = 200
young_s = 2
hold_s = 2
slack = 3
"""
LEASES_SECTION = """
[leases]
voters = [{voters}]
longest_s = {ttl}
timeout_ms = 100
turn_ms = 100
"""

RECENT_ROWS = 20
RECENT_END_ROWS = 40
"""How many of the ledger's last rows are searched: for the holder, for an operation's end."""


class LeaseDispatcherCluster(DispatcherCluster):
    """A cluster n0, n1, ... of which the first `voters` vote on leases, with a ledger.

    `tasks` names the members that contend for the lease; all of them if it is empty.
    """

    def __init__(
        self, members: int, voters: int, seed: int, ttl: float = TTL, tasks: tuple[str, ...] = ()
    ) -> None:
        self.voters = [f"n{number}" for number in range(voters)]
        quoted_voters = ", ".join(f'"{name}"' for name in self.voters)
        section = LEASES_SECTION.format(voters=quoted_voters, ttl=ttl)
        super().__init__(members, seed, MEMBERSHIP_SETTINGS + section)
        self.ttl = ttl
        self.contenders = tasks
        self.program = ["-m", "stepstream.lab.processes.lease_member"]
        self.draw = random.Random(seed)
        self.drained: set[str] = set()
        self.ledger_file = Path(self.folder.name) / "ledger.jsonl"
        host = next(iter(self.members.values())).host
        self.ledger_address = f"{host}:{free_port(host)}"
        self.ledger_process: subprocess.Popen[bytes] | None = None

    def __enter__(self) -> "LeaseDispatcherCluster":
        module = "stepstream.lab.verification.ledger"
        self.ledger_process = subprocess.Popen(
            [sys.executable, "-m", module, self.ledger_address, str(self.ledger_file)]
        )
        longest_operation = self.ttl * LONGEST_OPERATION_SHARE
        self.environment = {
            LEDGER: self.ledger_address,
            LEASE: f"x,{self.ttl},{longest_operation},{HOLD_SECONDS}",
        }
        if self.contenders:
            self.environment[TASKS] = ",".join(self.contenders)
        super().__enter__()
        return self

    def __exit__(self, *exception: object) -> None:
        if self.ledger_process is not None:
            self.ledger_process.send_signal(signal.SIGCONT)
            self.ledger_process.kill()
            self.ledger_process.wait()
        super().__exit__(*exception)

    def signal_ledger(self, number: signal.Signals) -> None:
        """Send a signal to the ledger's process; RuntimeError outside the rig's context."""
        if self.ledger_process is None:
            raise RuntimeError("the ledger runs only within `with LeaseRig(...)`")
        self.ledger_process.send_signal(number)

    # -- what the ledger recorded -----------------------------------------------------------------

    def rows(self) -> list[ledger_record.LedgerEntry]:
        """Read the operations that the ledger recorded."""
        return ledger_record.read_entries(self.ledger_file)

    def holder(self) -> str | None:
        """Return the member whose operation was admitted last; None if that is over a TTL ago."""
        recent = self.rows()[-RECENT_ROWS:]
        admitted = [row for row in recent if not row["what"].startswith("refused")]
        if not admitted or time.monotonic() - admitted[-1]["at"] > TTL:
            return None
        proposer_id: str = admitted[-1]["holder"]
        return proposer_id.partition("@")[0]

    def acted_since(self, at: float) -> bool:
        """Return whether an operation was completed after this monotonic time."""
        recent = self.rows()[-RECENT_END_ROWS:]
        return any(row["what"] == "end" and row["at"] > at for row in recent)

    # -- faults and their end ---------------------------------------------------------------------

    def drain(self, name: str) -> None:
        """Drain a member through its admin interface."""
        self.drained.add(name)
        self.members[name].call("/healthcheck/fail", "PUT")

    def all_whole(self) -> None:
        """End every fault: links, drains, stopped processes, and those that are not running."""
        self.heal()
        for name in self.drained:
            with contextlib.suppress(ConnectionError):  # a restart ends a drain as well
                self.members[name].call("/healthcheck/ok", "PUT")
        self.drained.clear()
        set_links(self, loss_probability=0.0, reorder_probability=0.0, duplicate_probability=0.0)
        for name, member in self.members.items():
            if member.running():
                self.thaw(name)
        self.signal_ledger(signal.SIGCONT)
        ended = [name for name, member in self.members.items() if not member.running()]
        self.start(ended, wait=False)


@dataclass(frozen=True)
class Fault:
    """One fault to inject.

    It lasts for `lifetimes` times the lease's time to live; `begin` gets the rig and the member
    that held the lease a moment ago.
    """

    name: str
    lifetimes: float
    begin: Callable[[LeaseDispatcherCluster, str], None]


def others(rig: LeaseDispatcherCluster, *names: str) -> list[str]:
    """Return all members but the named ones."""
    return [name for name in rig.members if name not in names]


def majority_without(rig: LeaseDispatcherCluster, holder: str) -> list[str]:
    """Return a majority of the voters without the holder, as far as there are enough others."""
    voters = [name for name in rig.voters if name != holder]
    return voters[: len(rig.voters) // 2 + 1]


def set_links(rig: LeaseDispatcherCluster, **values: float) -> None:
    """Set fields of the relay's `Links` together."""
    with rig.relay.lock:
        for name, value in values.items():
            setattr(rig.relay.links, name, value)


def kill(rig: LeaseDispatcherCluster, *names: str) -> None:
    """Kill the named members that are running."""
    for name in names:
        if rig.members[name].running():
            rig.kill(name)


def terminate(rig: LeaseDispatcherCluster, name: str) -> None:
    """Send SIGTERM to a member that was started, without waiting for its end."""
    process = rig.members[name].process
    if process is None:
        raise RuntimeError(f"{name} was never started")
    process.send_signal(signal.SIGTERM)


def restart(rig: LeaseDispatcherCluster, *names: str) -> None:
    """Kill the named members and start them again, without waiting until they are up."""
    kill(rig, *names)
    rig.start(names, wait=False)


def restart_voters_one_by_one(rig: LeaseDispatcherCluster, _holder: str) -> None:
    """Restart one voter after another, faster than the lease expires."""
    for name in rig.voters:
        restart(rig, name)
        time.sleep(TTL / 2)


def isolate_with_one_voter(rig: LeaseDispatcherCluster, holder: str) -> None:
    """Cut the holder and one voter, which may be the holder itself, from all other members."""
    side = {holder}
    if holder not in rig.voters:
        side.add(rig.voters[0])
    rig.cut(side, others(rig, *side))


def stop_two(rig: LeaseDispatcherCluster, holder: str) -> None:
    """Stop the holder's process and another member's with SIGSTOP."""
    for name in (holder, others(rig, holder)[0]):
        rig.freeze(name)


# The names are printed and stored with the results.
TROUBLES = (
    Fault("holder stopped, shorter than the lease", 0.5, lambda rig, holder: rig.freeze(holder)),
    Fault("holder stopped, longer than the lease", 2.0, lambda rig, holder: rig.freeze(holder)),
    Fault("holder killed", 1.5, lambda rig, holder: kill(rig, holder)),
    Fault("holder told to stop", 1.5, terminate),
    Fault("holder drained", 1.0, lambda rig, holder: rig.drain(holder)),
    Fault("holder restarted at once", 1.0, lambda rig, holder: restart(rig, holder)),
    Fault(
        "holder cut off from all", 2.0, lambda rig, holder: rig.cut([holder], others(rig, holder))
    ),
    Fault(
        "holder cut off from a majority",
        2.0,
        lambda rig, holder: rig.cut([holder], majority_without(rig, holder)),
    ),
    Fault(
        "holder not heard",
        2.0,
        lambda rig, holder: rig.cut([holder], others(rig, holder), both=False),
    ),
    Fault(
        "holder hears nothing",
        2.0,
        lambda rig, holder: rig.cut(others(rig, holder), [holder], both=False),
    ),
    Fault("one voter with the holder, cut from the rest", 2.0, isolate_with_one_voter),
    Fault("each voter restarted in turn", 0.5, restart_voters_one_by_one),
    Fault("all voters killed at once", 1.0, lambda rig, _holder: kill(rig, *rig.voters)),
    Fault(
        "a majority restarted together",
        0.5,
        lambda rig, holder: restart(rig, *majority_without(rig, holder)),
    ),
    Fault(
        "messages later than a lease, doubled",
        2.5,
        lambda rig, _holder: set_links(
            rig,
            reorder_probability=0.4,
            reorder_delay_seconds=2 * TTL,
            duplicate_probability=0.3,
        ),
    ),
    Fault(
        "three in ten messages lost", 2.0, lambda rig, _holder: set_links(rig, loss_probability=0.3)
    ),
    Fault("the ledger answers late", 1.5, lambda rig, _holder: rig.signal_ledger(signal.SIGSTOP)),
    Fault("two members stopped", 2.0, stop_two),
)
"""Every fault that the lease must survive."""


def trouble(rig: LeaseDispatcherCluster, which: Fault, timeout_seconds: float) -> dict[str, Any]:
    """Inject one fault, end it, and measure how long until an operation completes after that.

    The wait for a holder before and for an operation afterwards is limited by `timeout_seconds`:
    AssertionError with the members' views if it is exceeded. The result is stored as JSON: the
    fault's name, the holder, the monotonic times of the fault's begin and end, and the wait.
    """
    rig.wait_for(rig.holder, timeout_seconds, "a holder")
    # The fault begins before, in or after an operation.
    time.sleep(rig.draw.uniform(0.0, LONGEST_OPERATION_SHARE * TTL))
    holder = rig.holder() or rig.voters[0]
    begun = time.monotonic()
    which.begin(rig, holder)
    time.sleep(which.lifetimes * TTL)
    rig.all_whole()
    whole = time.monotonic()
    next_act_seconds = rig.wait_for(
        lambda: rig.acted_since(whole), timeout_seconds, f"an act after: {which.name}"
    )
    return {
        "name": which.name,
        "holder": holder,
        "begun": begun,
        "whole": whole,
        "next_act_s": next_act_seconds,
    }
