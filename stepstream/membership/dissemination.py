"""Updates that wait to be piggybacked, each sent a limited number of times; free of I/O.

SWIM, section 4.1: the least often sent go first, and each goes out at most lambda log(n) times.
Owned by the outbox.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from math import ceil, log10
from typing import TypedDict

from stepstream.membership.messages import (
    MAX_DATAGRAM_BYTES,
    MAX_UPDATES_OF_A_KIND,
    MaintenanceRecord,
    MemberRecord,
    MemberStatus,
    Update,
    encoded_bytes,
)

MAX_QUEUED_UPDATES = 4_096  # beyond it the most often sent one is dropped
# In one datagram beside a body: statuses inform people, and must not crowd out member records.
MAX_PIGGYBACKED_STATUSES = 4
# A datagram less the frame round its parts at most: for the sender, the body and the updates.
PAYLOAD_BYTES = MAX_DATAGRAM_BYTES - 64

# Member records go first: they decide who is present.
_RANK: dict[type, int] = {MemberRecord: 0, MaintenanceRecord: 1, MemberStatus: 2}
_MAX_PIGGYBACKED: dict[type, int] = {
    MemberRecord: MAX_UPDATES_OF_A_KIND,
    MaintenanceRecord: MAX_UPDATES_OF_A_KIND,
    MemberStatus: MAX_PIGGYBACKED_STATUSES,
}

UpdateKey = tuple[type, str]


@dataclass(slots=True)
class QueuedUpdate:
    """An update with its size in a datagram."""

    update: Update
    size_bytes: int
    transmissions: int = 0


class UpdateFields(TypedDict):
    """Updates by the datagram's fields."""

    member_records: tuple[MemberRecord, ...]
    member_statuses: tuple[MemberStatus, ...]
    maintenance_records: tuple[MaintenanceRecord, ...]


def key_of(update: Update) -> UpdateKey:
    """Return what an update is about: a newer one with the same key replaces it."""
    match update:
        case MemberRecord():
            return MemberRecord, update.name
        case MemberStatus():
            return MemberStatus, update.owner
        case MaintenanceRecord():
            return MaintenanceRecord, update.worker


def retransmit_limit(multiplier: float, members: int) -> int:
    """Return how often each update is sent (SWIM, section 4.1: lambda log n)."""
    return ceil(multiplier * log10(members + 1))


class BroadcastQueue:
    """Queued updates, the latest of each key."""

    def __init__(self) -> None:
        self.queued: dict[UpdateKey, QueuedUpdate] = {}

    def put(self, update: Update) -> None:
        """Queue an update in place of an older one with the same key."""
        key = key_of(update)
        if len(self.queued) >= MAX_QUEUED_UPDATES and key not in self.queued:
            del self.queued[max(self.queued, key=lambda key: self.queued[key].transmissions)]
        self.queued[key] = QueuedUpdate(update, encoded_bytes(update))

    def has_member_records(self) -> bool:
        """Return whether a member record has yet to be sent often enough."""
        return any(kind is MemberRecord for kind, _ in self.queued)

    def take(self, limit: int, payload_bytes: int) -> list[Update]:
        """Return what fits into `payload_bytes`, counted as sent once more.

        An update that was sent `limit` times is dropped from the queue.
        """
        taken: list[Update] = []
        counts = dict.fromkeys(_RANK, 0)
        for key, queued in self._by_priority():
            kind = key[0]
            if queued.size_bytes > payload_bytes or counts[kind] >= _MAX_PIGGYBACKED[kind]:
                continue
            payload_bytes -= queued.size_bytes
            counts[kind] += 1
            taken.append(queued.update)
            queued.transmissions += 1
            if queued.transmissions >= limit:
                del self.queued[key]
        return taken

    def _by_priority(self) -> list[tuple[UpdateKey, QueuedUpdate]]:
        return sorted(
            self.queued.items(), key=lambda item: (_RANK[item[0][0]], item[1].transmissions)
        )


def paginate(updates: Iterable[Update], payload_bytes: int) -> Iterator[list[Update]]:
    """Yield all updates in as many pages as it takes."""
    page: list[Update] = []
    free_bytes = payload_bytes
    for update in updates:
        size_bytes = encoded_bytes(update)
        if page and (size_bytes > free_bytes or len(page) >= MAX_UPDATES_OF_A_KIND):
            yield page
            page = []
            free_bytes = payload_bytes
        page.append(update)
        free_bytes -= size_bytes
    if page:
        yield page


def datagram_fields(updates: list[Update]) -> UpdateFields:
    """Return updates by the datagram's fields, each in the given order."""
    return {
        "member_records": tuple(part for part in updates if isinstance(part, MemberRecord)),
        "member_statuses": tuple(part for part in updates if isinstance(part, MemberStatus)),
        "maintenance_records": tuple(
            part for part in updates if isinstance(part, MaintenanceRecord)
        ),
    }
