"""Updates that wait to be piggybacked, and the rules of which go out; free of I/O.

SWIM, section 4.1: the least often sent go first, and each goes out at most lambda log(n) times. The
queue is owned by the outbox.
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
    MemberState,
    MemberStatus,
    Update,
    encoded_bytes,
)

MAX_QUEUED_UPDATES = 4_096
MAX_PIGGYBACKED_STATUSES = 4  # statuses inform people and must not crowd out member records
DATAGRAM_FRAME_BYTES = 64
PAYLOAD_BYTES = MAX_DATAGRAM_BYTES - DATAGRAM_FRAME_BYTES

# Member records go first: they decide who is present.
SEND_RANKS: dict[type, int] = {MemberRecord: 0, MaintenanceRecord: 1, MemberStatus: 2}
MAX_PIGGYBACKED: dict[type, int] = {
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
    """Return how often each update is sent at most (SWIM, section 4.1: lambda log n).

    `members` counts all known names. Fewer transmissions leave more members to anti-entropy.
    """
    return ceil(multiplier * log10(members + 1))


def select_updates(queued: Iterable[QueuedUpdate], payload_bytes: int) -> list[QueuedUpdate]:
    """Return the updates to piggyback on one datagram, in the order in which they go.

    Member records go first, then the least often sent of each kind (SWIM, section 4.1). One that
    does not fit into the rest of `payload_bytes`, or is beyond its kind's limit, waits.
    """
    selected: list[QueuedUpdate] = []
    counts = dict.fromkeys(SEND_RANKS, 0)
    for candidate in sorted(queued, key=send_order):
        kind = type(candidate.update)
        if candidate.size_bytes > payload_bytes or counts[kind] >= MAX_PIGGYBACKED[kind]:
            continue
        payload_bytes -= candidate.size_bytes
        counts[kind] += 1
        selected.append(candidate)
    return selected


def send_order(queued: QueuedUpdate) -> tuple[int, int]:
    """Return the sort key by which queued updates go out."""
    return SEND_RANKS[type(queued.update)], queued.transmissions


def notifies_recipient(recipient: MemberRecord | None) -> bool:
    """Return whether a datagram carries the record of its recipient, if that is known.

    A suspect or dead member gets its own record and can refute it (Lifeguard, Buddy System).
    """
    return recipient is not None and recipient.state in (MemberState.SUSPECT, MemberState.DEAD)


def may_piggyback(recipient: MemberRecord | None) -> bool:
    """Return whether queued updates ride on a datagram to this recipient, if that is known.

    Each update is sent a limited number of times, and must not be spent on a dead member.
    """
    return recipient is None or recipient.state is not MemberState.DEAD


class BroadcastQueue:
    """Queued updates, the latest of each key."""

    def __init__(self) -> None:
        self.queued: dict[UpdateKey, QueuedUpdate] = {}

    def put(self, update: Update) -> None:
        """Queue an update in place of an older one with the same key."""
        key = key_of(update)
        if len(self.queued) >= MAX_QUEUED_UPDATES and key not in self.queued:
            self._drop_most_transmitted()
        self.queued[key] = QueuedUpdate(update, encoded_bytes(update))

    def has_member_records(self) -> bool:
        """Return whether a member record has yet to be sent often enough."""
        return any(kind is MemberRecord for kind, _ in self.queued)

    def take(self, limit: int, payload_bytes: int) -> list[Update]:
        """Return what fits into `payload_bytes`, counted as sent once more.

        An update that was sent `limit` times is dropped from the queue.
        """
        selected = select_updates(self.queued.values(), payload_bytes)
        for queued in selected:
            queued.transmissions += 1
            if queued.transmissions >= limit:
                del self.queued[key_of(queued.update)]
        return [queued.update for queued in selected]

    def _drop_most_transmitted(self) -> None:
        key = max(self.queued, key=lambda key: self.queued[key].transmissions)
        del self.queued[key]


def paginate(updates: Iterable[Update], payload_bytes: int) -> Iterator[list[Update]]:
    """Yield all updates, in their order, in pages of at most `payload_bytes`."""
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
