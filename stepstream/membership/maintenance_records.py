"""Workers' maintenance states as set by operators, replicated to all members; free of I/O.

Each worker has a last-writer-wins register, ordered by `record_precedence.maintenance_precedence`.
Owned by the protocol and touched only under the driver's lock.
"""

from stepstream.membership.context import ProtocolContext
from stepstream.membership.member_list import MemberList
from stepstream.membership.messages import MaintenanceRecord
from stepstream.membership.outbox import Outbox
from stepstream.membership.record_precedence import maintenance_precedence


class MaintenanceRecords:
    """The latest record of each worker for which an operator began or ended maintenance."""

    def __init__(self, context: ProtocolContext, members: MemberList, outbox: Outbox) -> None:
        self.context = context
        self.members = members
        self.outbox = outbox
        self.by_worker: dict[str, MaintenanceRecord] = {}
        self.digest = 0  # XOR of all records' fingerprints

    def record(
        self, worker: str, *, in_maintenance: bool, recorded_at_us: int
    ) -> MaintenanceRecord | None:
        """Record an operator's call at this dispatcher and return the record.

        Return None if there is no room for another worker. `recorded_at_us` is Unix time in
        microseconds.
        """
        if self._is_beyond_bound(worker):
            return None
        latest_time = max((record.lamport_time for record in self.by_worker.values()), default=0)
        record = MaintenanceRecord(
            worker, latest_time + 1, in_maintenance, self.members.local_name, recorded_at_us
        )
        self.merge(record)
        return record

    def merge(self, record: MaintenanceRecord) -> None:
        """Store and broadcast a record if it takes precedence over the stored one.

        Count it as rejected if there is no room for another worker.
        """
        if self._is_beyond_bound(record.worker):
            self.context.metrics.rejected_names += 1
            return
        old = self.by_worker.get(record.worker)
        if old is None or maintenance_precedence(record) > maintenance_precedence(old):
            self.digest ^= record.fingerprint ^ (old.fingerprint if old is not None else 0)
            self.by_worker[record.worker] = record
            self.outbox.broadcast(record)

    def _is_beyond_bound(self, worker: str) -> bool:
        max_workers = self.context.settings.max_members
        return worker not in self.by_worker and len(self.by_worker) >= max_workers
