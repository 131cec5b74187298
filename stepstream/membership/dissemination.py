"""The queue of updates to piggyback, and the rules by which they are sent; free of I/O.

SWIM, section 4.1: the updates sent least often go first, and each is sent at most lambda log(n)
times. The outbox owns the queue.
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
    encoded_size_bytes,
)

MAX_QUEUED_UPDATES = 4_096
MAX_PIGGYBACKED_STATUSES = 4  # statuses only inform operators; member records need the space
DATAGRAM_FRAME_BYTES = 64  # for the version, the cluster's name and array headers
PAYLOAD_BYTES = MAX_DATAGRAM_BYTES - DATAGRAM_FRAME_BYTES

# Member records go first: they decide who is present.
SEND_RANKS: dict[type, int] = {MemberRecord: 0, MaintenanceRecord: 1, MemberStatus: 2}
MAX_PIGGYBACKED_BY_KIND: dict[type, int] = {
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
    """Updates grouped by the fields of `Datagram` that carry them."""

    member_records: tuple[MemberRecord, ...]
    member_statuses: tuple[MemberStatus, ...]
    maintenance_records: tuple[MaintenanceRecord, ...]


def update_key(update: Update) -> UpdateKey:
    """Return the key of an update: a newer update with the same key replaces it."""
    match update:
        case MemberRecord():
            return MemberRecord, update.name
        case MemberStatus():
            return MemberStatus, update.owner
        case MaintenanceRecord():
            return MaintenanceRecord, update.worker


def retransmit_limit(multiplier: float, member_count: int) -> int:
    """Return the maximum number of times an update is sent (SWIM, section 4.1: lambda log n).

    `member_count` counts all known names. With fewer transmissions, more members miss the update
    until anti-entropy brings it.
    """
    return ceil(multiplier * log10(member_count + 1))


def select_updates(queued: Iterable[QueuedUpdate], payload_bytes: int) -> list[QueuedUpdate]:
    """Return the updates to piggyback on one datagram, in sending order.

    Member records go first, then maintenance records, then statuses; within a kind, the updates
    sent least often go first (SWIM, section 4.1). An update stays queued if it does not fit into
    the rest of `payload_bytes` or if its kind's limit is reached.
    """
    selected: list[QueuedUpdate] = []
    counts = dict.fromkeys(SEND_RANKS, 0)
    for candidate in sorted(queued, key=send_order):
        kind = type(candidate.update)
        if candidate.size_bytes > payload_bytes or counts[kind] >= MAX_PIGGYBACKED_BY_KIND[kind]:
            continue
        payload_bytes -= candidate.size_bytes
        counts[kind] += 1
        selected.append(candidate)
    return selected


def send_order(queued: QueuedUpdate) -> tuple[int, int]:
    """Return the sort key that orders queued updates for sending."""
    return SEND_RANKS[type(queued.update)], queued.transmissions


def notifies_recipient(recipient: MemberRecord | None) -> bool:
    """Return whether a datagram to this recipient carries the recipient's own record.

    `recipient` is None if no record of it is known. A suspect or dead member receives its own
    record, so that it can refute the claim (Lifeguard, Buddy System).
    """
    return recipient is not None and recipient.state in (MemberState.SUSPECT, MemberState.DEAD)


def may_piggyback(recipient: MemberRecord | None) -> bool:
    """Return whether queued updates are piggybacked on a datagram to this recipient.

    `recipient` is None if no record of it is known. Each update is sent a limited number of times,
    and a transmission to a dead member would be wasted.
    """
    return recipient is None or recipient.state is not MemberState.DEAD


class BroadcastQueue:
    """Updates to piggyback: the latest for each key."""

    def __init__(self) -> None:
        self.queued: dict[UpdateKey, QueuedUpdate] = {}

    def put(self, update: Update) -> None:
        """Queue an update in place of an older one with the same key."""
        key = update_key(update)
        if len(self.queued) >= MAX_QUEUED_UPDATES and key not in self.queued:
            self._drop_most_transmitted()
        self.queued[key] = QueuedUpdate(update, encoded_size_bytes(update))

    def has_member_records(self) -> bool:
        """Return whether a member record still has transmissions left."""
        return any(kind is MemberRecord for kind, _ in self.queued)

    def take(self, limit: int, payload_bytes: int) -> list[Update]:
        """Return the updates for one datagram and count a transmission of each.

        They fit into `payload_bytes`. An update that was sent `limit` times leaves the queue.
        """
        selected = select_updates(self.queued.values(), payload_bytes)
        for queued in selected:
            queued.transmissions += 1
            if queued.transmissions >= limit:
                del self.queued[update_key(queued.update)]
        return [queued.update for queued in selected]

    def _drop_most_transmitted(self) -> None:
        key = max(self.queued, key=lambda key: self.queued[key].transmissions)
        del self.queued[key]


def paginate(updates: Iterable[Update], payload_bytes: int) -> Iterator[list[Update]]:
    """Yield all updates, in their order, in pages of at most `payload_bytes`."""
    page: list[Update] = []
    free_bytes = payload_bytes
    for update in updates:
        size_bytes = encoded_size_bytes(update)
        if page and (size_bytes > free_bytes or len(page) >= MAX_UPDATES_OF_A_KIND):
            yield page
            page = []
            free_bytes = payload_bytes
        page.append(update)
        free_bytes -= size_bytes
    if page:
        yield page


def datagram_fields(updates: list[Update]) -> UpdateFields:
    """Return updates grouped by the datagram's fields, in the given order within each."""
    return {
        "member_records": tuple(update for update in updates if isinstance(update, MemberRecord)),
        "member_statuses": tuple(update for update in updates if isinstance(update, MemberStatus)),
        "maintenance_records": tuple(
            update for update in updates if isinstance(update, MaintenanceRecord)
        ),
    }
