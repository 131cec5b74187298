"""The answers of the admin listener about the membership, as plain objects; free of I/O and state.

Operators and their tools read the keys of these objects, so their spelling is fixed. Only this
module translates the program's names into them.
"""

from stepstream.membership.context import DriverMetrics, ProtocolMetrics
from stepstream.membership.event_history import MembershipEvent
from stepstream.membership.member import Member
from stepstream.membership.messages import MaintenanceRecord
from stepstream.membership.protocol import MembershipProtocol

Answer = dict[str, object]

SECONDS_DIGITS = 3


def status_answer(protocol: MembershipProtocol, name: str, now: float) -> Answer:
    """Return what a member reports of itself; empty before its first status arrives."""
    statuses = protocol.statuses
    status = statuses.by_owner.get(name)
    if status is None:
        return {}
    return {
        "phase": status.phase.name.lower(),
        "list_version": status.endpoint_list_version,
        "settings": status.settings_digest,
        "open_requests": status.open_requests,
        "started_ms": status.started_at_ms,
        "program": status.program_version,
        "count": status.revision,
        "age_s": round(now - statuses.received_at.get(name, now), SECONDS_DIGITS),
    }


def member_answer(protocol: MembershipProtocol, member: Member, now: float) -> Answer:
    """Return a member's record and status."""
    record = member.record
    members = protocol.members
    is_superseded = record.name == members.local_name and members.superseded_by is not None
    return {
        "name": record.name,
        "address": record.address,
        "state": "superseded" if is_superseded else record.state.display_name,
        "generation": record.generation,
        "incarnation": record.incarnation,
        "since_s": round(now - member.state_since, SECONDS_DIGITS),
        "facts": status_answer(protocol, record.name, now),
    }


def maintenance_answer(record: MaintenanceRecord) -> Answer:
    """Return a worker's maintenance record."""
    return {
        "worker": record.worker,
        "out": record.in_maintenance,
        "by": record.recorded_by,
        "stamp": record.lamport_time,
        "at_us": record.recorded_at_us,
    }


def metrics_answer(metrics: ProtocolMetrics) -> Answer:
    """Return the protocol's counters since the start."""
    return {
        "probes": metrics.probes,
        "failed_probes": metrics.failed_probes,
        "refutations": metrics.refutations,
        "stalls": metrics.stalls,
        "syncs": metrics.anti_entropy_rounds,
        "turned_away": metrics.rejected_names,
        "not_me": metrics.misdirected_pings,
    }


def driver_metrics_answer(metrics: DriverMetrics) -> Answer:
    """Return the driver's counters since the start."""
    return {
        "dropped": metrics.dropped_datagrams,
        "unsent": metrics.unsent_datagrams,
        "cpu_s": round(metrics.cpu_seconds, SECONDS_DIGITS),
    }


def membership_answer(
    protocol: MembershipProtocol,
    dispatcher_count: int,
    driver_metrics: DriverMetrics,
    now: float,
) -> Answer:
    """Return the answer of `GET /fleet`.

    `dispatcher_count` is how many dispatchers share the cluster's capacity (see `member_count`).
    """
    members = protocol.members
    return {
        "self": members.local_name,
        "self_generation": members.local.generation,
        "cluster": protocol.cluster,
        "settled": protocol.is_settled,
        "digest": f"{protocol.digest:012x}",
        "counted": dispatcher_count,
        "number": members.events.last_number,
        "members": [
            member_answer(protocol, member, now) for _, member in sorted(members.by_name.items())
        ],
        "words": [
            maintenance_answer(record)
            for _, record in sorted(protocol.maintenance.by_worker.items())
        ],
        "counts": {
            **metrics_answer(protocol.context.metrics),
            "awareness": protocol.context.local_health.score,
            **driver_metrics_answer(driver_metrics),
        },
    }


def event_answer(event: MembershipEvent, now: float) -> Answer:
    """Return one membership event."""
    return {
        "ago_s": round(now - event.at, SECONDS_DIGITS),
        "number": event.number,
        "name": event.name,
        "before": event.before,
        "after": event.after,
        "by": event.reported_by,
        "why": event.reason,
    }


def events_answer(protocol: MembershipProtocol, after: int, now: float) -> Answer:
    """Return the answer of `GET /fleet/changes`: the events after a number.

    `lost` counts those of them that are no longer kept.
    """
    events = protocol.members.events
    recent = events.after(after)
    return {
        "number": events.last_number,
        "lost": max(events.last_number - after - len(recent), 0) if after else 0,
        "changes": [event_answer(event, now) for event in recent],
    }


def explanation_answer(protocol: MembershipProtocol, name: str, now: float) -> Answer | None:
    """Return the answer of `GET /fleet/members/NAME`; None for a name that is not known."""
    member = protocol.members.by_name.get(name)
    if member is None:
        return None
    suspicion: Answer | None = None
    if member.suspicion is not None:
        suspicion = {
            "accusers": sorted(member.suspicion.accusers),
            "dead_in_s": round(member.suspicion.deadline - now, SECONDS_DIGITS),
        }
    return {
        **member_answer(protocol, member, now),
        "by": member.reported_by,
        "suspicion": suspicion,
        "history": [event_answer(event, now) for event in member.history],
    }
