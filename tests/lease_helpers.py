"""Leases for tests: a simulated cluster, drawn schedules, and faults planted on purpose."""

import random

from stepstream.lab.faults.schedule import draw
from stepstream.lab.simulation.lease_cluster import LeaseCluster, drawn
from stepstream.leases.acceptor import Acceptor
from stepstream.leases.configuration import LeaseConfiguration
from stepstream.leases.fencing import FencedError, FencingGuard
from stepstream.leases.lease_record import Grant, LeaseRecord
from stepstream.leases.messages import Accepted
from stepstream.leases.participant import Participant
from stepstream.leases.wait_queue import WaitQueue

ACCEPTORS = ("n0", "n1", "n2")
CONFIGURATION = LeaseConfiguration(ACCEPTORS, max_ttl_seconds=6.0)


def recovered_world(seed=1, members=5, tasks=()):
    """A cluster whose acceptors have just begun to answer; `tasks`: members and what they want."""
    world = LeaseCluster(seed, [f"n{k}" for k in range(members)], CONFIGURATION)
    for name, task in tasks:
        world.tasks[name].append(task)
    world.start_all()
    world.run(CONFIGURATION.recovery_seconds + 0.1)
    return world


def play_schedule(seed, drift=0.01):
    """A cluster after a minute of faults, all drawn by the seed."""
    world = drawn(seed, drift)
    world.play(draw(seed, world.names, 25.0, 1.0), 60.0)
    return world


def recovered_participant():
    """The participant n0, whose acceptor answers at once."""
    participant = Participant("n0", "n0@1", CONFIGURATION, 100, random.Random(1), 0.0)
    participant.acceptor.recovering_until = 0.0
    return participant


# -- planted faults: a checker that catches none of them proves nothing ---------------------------


def no_recovery_wait(monkeypatch):
    monkeypatch.setattr(LeaseConfiguration, "recovery_seconds", property(lambda _: 0.0))


def no_drift_margin(monkeypatch):
    monkeypatch.setattr(
        LeaseConfiguration, "acceptor_ttl_seconds", lambda _, ttl_seconds: ttl_seconds
    )


def quorum_off_by_one(monkeypatch):
    def is_quorum(configuration, names):
        sets = configuration.acceptor_sets
        return all(2 * len(one & frozenset(names)) + 2 > len(one) for one in sets)

    monkeypatch.setattr(LeaseConfiguration, "is_quorum", is_quorum)


def acceptance_without_a_promise(monkeypatch):
    def on_propose(acceptor, now, proposal):
        fresh = LeaseRecord(WaitQueue(acceptor.configuration))
        record = acceptor.records.setdefault(proposal.lease, fresh)
        expires_at = now + acceptor.configuration.acceptor_ttl_seconds(proposal.ttl_ms / 1000)
        record.grant = Grant(proposal.ballot, proposal.token, expires_at)
        acceptor.next_tick_at = min(acceptor.next_tick_at, expires_at)
        return Accepted(proposal.lease, proposal.ballot, proposal.round)

    monkeypatch.setattr(Acceptor, "on_propose", on_propose)


def guard_rejects_its_own_token(monkeypatch):
    def admit(guard, token):
        if token <= guard.highest_token:
            raise FencedError(token, guard.highest_token)
        guard.highest_token = token

    monkeypatch.setattr(FencingGuard, "admit", admit)


def guard_rejects_nobody(monkeypatch):
    monkeypatch.setattr(FencingGuard, "admit", lambda guard, token: None)
