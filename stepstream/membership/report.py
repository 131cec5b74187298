"""What the admin listener says of the fleet, as plain objects; free of I/O."""

from dataclasses import asdict

from stepstream.membership.messages import Facts, Phase
from stepstream.membership.view import Change, Member, View, state_name


def facts_of(view: View, name: str, now: float) -> dict:
    facts: Facts | None = view.facts.get(name)
    if facts is None:
        return {}
    return {
        "phase": Phase(facts.phase).name.lower(),
        "list_version": facts.list_version,
        "settings": facts.settings,
        "open_requests": facts.open_requests,
        "started_ms": facts.started_ms,
        "program": facts.program,
        "count": facts.count,
        "age_s": round(now - view.facts_at.get(name, now), 3),
    }


def member_of(view: View, member: Member, now: float) -> dict:
    row = member.row
    superseded = row.name == view.me.name and view.superseded
    return {
        "name": row.name,
        "address": row.address,
        "state": "superseded" if superseded else state_name(row),
        "generation": row.generation,
        "incarnation": row.incarnation,
        "since_s": round(now - member.since, 3),
        "facts": facts_of(view, row.name, now),
    }


def members(view: View, counted: int, now: float) -> dict:
    """`counted`: dispatchers that share what is the fleet's, by `counting`."""
    return {
        "self": view.me.name,
        "self_generation": view.me.generation,
        "cluster": view.cluster,
        "settled": view.settled,
        "digest": f"{view.digest:012x}",
        "counted": counted,
        "number": view.number,
        "members": [member_of(view, view.members[name], now) for name in sorted(view.members)],
        "words": [
            {"worker": w.worker, "out": w.out, "by": w.by, "stamp": w.stamp, "at_us": w.at_us}
            for _, w in sorted(view.words.items())
        ],
        "counts": {**asdict(view.counts), "awareness": view.awareness},
    }


def as_told(change: Change, now: float) -> dict:
    told = asdict(change)
    return {"ago_s": round(now - told.pop("at"), 3), **told}


def changes(view: View, after: int, now: float) -> dict:
    """Those behind `after`; `lost` if some of them are no longer kept."""
    kept = [change for change in view.changes if change.number > after]
    return {
        "number": view.number,
        "lost": max(view.number - after - len(kept), 0) if after else 0,
        "changes": [as_told(c, now) for c in kept],
    }


def explain(view: View, name: str, now: float) -> dict | None:
    """Why a member is in its state, from whom that was heard and when; None for a name not known."""
    member = view.members.get(name)
    if member is None:
        return None
    doubt = None
    if member.suspicion is not None:
        doubt = {
            "accusers": sorted(member.suspicion.accusers),
            "dead_in_s": round(member.suspicion.until - now, 3),
        }
    history = [as_told(c, now) for c in member.history]
    return {**member_of(view, member, now), "by": member.by, "suspicion": doubt, "history": history}
