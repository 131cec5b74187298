"""Dispatchers that contend for a lease, and a ledger that records their operations.

A `LeaseDispatcherCluster` owns the processes of the dispatchers and of the ledger. All calls come
from the one thread of the test or benchmark.
"""

import contextlib
import random
import signal
import subprocess
import time
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path

from stepstream.lab.processes.addresses import free_port
from stepstream.lab.processes.cluster_member import MemberProgram
from stepstream.lab.processes.dispatcher_cluster import DispatcherCluster
from stepstream.lab.processes.dispatcher_process import child_process
from stepstream.lab.processes.lease_task import LeaseTaskConfiguration
from stepstream.lab.verification import ledger_record

TTL_SECONDS = 1.2
"""A lease's time to live."""

LONGEST_OPERATION_FRACTION = 0.25
"""The longest operation as a fraction of the time to live."""

HOLD_SECONDS = 1.5
"""How long a holder operates on the ledger before it releases the lease."""

MEMBER_MODULE = "stepstream.lab.processes.lease_member"
LEDGER_MODULE = "stepstream.lab.verification.ledger"

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
voters = [{acceptors}]
longest_s = {ttl_seconds}
timeout_ms = 100
turn_ms = 100
"""

RECENT_ROWS = 20
"""How many of the ledger's last rows are searched for the holder."""

RECENT_END_ROWS = 40
"""How many of the ledger's last rows are searched for an operation's end."""


@dataclass(frozen=True)
class LeaseWorkload:
    """The leases for which the members contend.

    `contenders` names the members that contend; if it is empty, all do. With a `lease_count` each
    of them holds that many leases at once and does not operate on the ledger.
    """

    ttl_seconds: float = TTL_SECONDS
    contenders: tuple[str, ...] = ()
    lease_count: int | None = None


ONE_LEASE = LeaseWorkload()


class LeaseDispatcherCluster(DispatcherCluster):
    """Members n0, n1, ... with a ledger; the first `acceptor_count` members are acceptors."""

    ledger_process: subprocess.Popen[bytes]  # set when the context is entered

    def __init__(
        self,
        member_count: int,
        acceptor_count: int,
        seed: int,
        workload: LeaseWorkload = ONE_LEASE,
    ) -> None:
        self.acceptors = [f"n{number}" for number in range(acceptor_count)]
        quoted_acceptors = ", ".join(f'"{name}"' for name in self.acceptors)
        section = LEASES_SECTION.format(
            acceptors=quoted_acceptors, ttl_seconds=workload.ttl_seconds
        )
        super().__init__(member_count, seed, MEMBERSHIP_SETTINGS + section)
        self.workload = workload
        self.rng = random.Random(seed)
        self.drained: set[str] = set()

    def acquire_resources(self, stack: ExitStack) -> None:
        """Start the ledger, and configure the members' task to use it."""
        super().acquire_resources(stack)
        host = next(iter(self.members.values())).host
        ledger_address = f"{host}:{free_port(host)}"
        arguments = ["-m", LEDGER_MODULE, ledger_address, str(self.ledger_path)]
        self.ledger_process = stack.enter_context(child_process(arguments))
        configuration = LeaseTaskConfiguration(
            ledger_address=ledger_address,
            ttl_seconds=self.workload.ttl_seconds,
            operation_seconds=self.workload.ttl_seconds * LONGEST_OPERATION_FRACTION,
            hold_seconds=HOLD_SECONDS,
            contenders=self.workload.contenders,
            lease_count=self.workload.lease_count,
        )
        self.program = MemberProgram(("-m", MEMBER_MODULE), configuration.environment())

    @property
    def ledger_path(self) -> Path:
        """The file in which the ledger records operations."""
        return self.folder / "ledger.jsonl"

    def signal_ledger(self, number: signal.Signals) -> None:
        """Send a signal to the ledger's process."""
        self.ledger_process.send_signal(number)

    # -- records of the ledger --------------------------------------------------------------------

    def ledger_rows(self) -> list[ledger_record.LedgerEntry]:
        """Read the operations that the ledger recorded."""
        return ledger_record.read_entries(self.ledger_path)

    def holder(self) -> str | None:
        """Return the member whose operation the ledger admitted last.

        Return None if that was more than `TTL_SECONDS` ago.
        """
        recent = self.ledger_rows()[-RECENT_ROWS:]
        admitted = [row for row in recent if not ledger_record.is_rejected(row)]
        if not admitted or time.monotonic() - admitted[-1]["at"] > TTL_SECONDS:
            return None
        proposer_id: str = admitted[-1]["holder"]
        return proposer_id.partition("@")[0]

    def has_operated_since(self, at_seconds: float) -> bool:
        """Return whether an operation was completed after this monotonic time."""
        recent = self.ledger_rows()[-RECENT_END_ROWS:]
        return any(row["what"] == "end" and row["at"] > at_seconds for row in recent)

    # -- faults and their end ---------------------------------------------------------------------

    def other_members(self, *names: str) -> list[str]:
        """Return all members but the named ones."""
        return [name for name in self.members if name not in names]

    def set_links(self, **values: float) -> None:
        """Set fields of the relay's `Links`, all at once."""
        with self.relay.lock:
            for name, value in values.items():
                setattr(self.relay.links, name, value)

    def drain(self, name: str) -> None:
        """Drain a member through its admin listener."""
        self.drained.add(name)
        self.members[name].call_admin("/healthcheck/fail", "PUT")

    def end_all_faults(self) -> None:
        """Restore links, end drains, resume suspended processes and start ended members."""
        self.heal()
        for name in self.drained:
            with contextlib.suppress(ConnectionError):  # a restart ends a drain, too
                self.members[name].call_admin("/healthcheck/ok", "PUT")
        self.drained.clear()
        self.set_links(loss_probability=0.0, reorder_probability=0.0, duplicate_probability=0.0)
        for member in self.members.values():
            if member.is_running():
                member.resume()
        self.signal_ledger(signal.SIGCONT)
        for member in self.members.values():
            if not member.is_running():
                self.spawn(member)
