"""Faults that tests put into the program, to show that the checks detect them.

Each function replaces correct code by faulty code for the rest of a test.
"""

from stepstream.leases.acceptor import Acceptor
from stepstream.leases.configuration import LeaseConfiguration
from stepstream.leases.fencing import FencedError, FencingGuard
from stepstream.leases.lease_record import Grant, LeaseRecord
from stepstream.leases.messages import Accepted
from stepstream.leases.wait_queue import WaitQueue


def no_recovery_wait(monkeypatch):
    monkeypatch.setattr(LeaseConfiguration, "recovery_seconds", property(lambda _: 0.0))


def no_drift_margin(monkeypatch):
    monkeypatch.setattr(
        LeaseConfiguration, "acceptor_ttl_seconds", lambda _, ttl_seconds: ttl_seconds
    )


def quorum_off_by_one(monkeypatch):
    def is_quorum(configuration, names):
        sets = configuration.acceptor_sets
        return all(2 * len(each & frozenset(names)) + 2 > len(each) for each in sets)

    monkeypatch.setattr(LeaseConfiguration, "is_quorum", is_quorum)


def acceptance_without_a_promise(monkeypatch):
    def on_propose(acceptor, now, proposal):
        new_record = LeaseRecord(WaitQueue(acceptor.configuration))
        record = acceptor.records.setdefault(proposal.lease, new_record)
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
