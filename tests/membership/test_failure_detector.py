"""Probes, indirect probes, nacks and local health of one member, datagram by datagram."""

import pytest

from stepstream.membership.local_health import LocalHealth
from stepstream.membership.messages import (
    PROTOCOL_VERSION,
    Ack,
    Datagram,
    MemberState,
    Nack,
    Ping,
    PingRequest,
)
from tests.membership.membership_builders import SETTINGS, member_record, new_protocol

INTERVAL = SETTINGS.probe_interval_seconds
TIMEOUT = SETTINGS.probe_timeout_seconds


def receive(member, now, sender, body):
    """Deliver a datagram; return the answers as pairs of an address and a body."""
    datagram = Datagram(PROTOCOL_VERSION, member.cluster, sender, body)
    return addressed_bodies(member.handle(now, datagram))


def addressed_bodies(outgoing):
    return [(item.address, item.datagram.body) for item in outgoing]


def run_until(member, until, kind):
    """Tick at each deadline up to a time; return the address and body of each message of a kind."""
    sent = []
    while member.next_tick_at() <= until:
        sent += addressed_bodies(member.tick(member.next_tick_at()))
    return [(address, body) for address, body in sent if isinstance(body, kind)]


def member_that_knows(*others):
    member = new_protocol()
    for port, name in enumerate(others, start=2):
        member.merger.merge(member_record(name, port=port), name)
    return member


def start_probe(member):
    """Run until the first probe; return its ping and its time."""
    [(_, ping)] = run_until(member, member.detector.next_probe_at, Ping)
    return ping, member.context.now


def test_a_ping_is_acked_and_one_for_another_name_is_only_counted():
    member = new_protocol()
    answers = receive(member, 0.0, member_record("a"), Ping(7, "me"))
    assert ("127.0.0.1:2", Ack(7)) in answers
    answers = receive(member, 0.0, member_record("a"), Ping(8, "former"))
    assert not [body for _, body in answers if isinstance(body, Ack)]
    assert member.context.metrics.misdirected_pings == 1


def test_an_acked_probe_requests_no_indirect_probes_and_suspects_nobody():
    member = member_that_knows("a", "b")
    ping, started_at = start_probe(member)
    receive(member, started_at + 0.01, member_record(ping.target), Ack(ping.sequence))
    assert run_until(member, started_at + INTERVAL, PingRequest) == []
    assert member.members.suspects == {}


def test_indirect_probes_start_after_the_timeout_and_suspicion_after_the_interval():
    member = member_that_knows("a", "b", "c", "d", "e")
    ping, started_at = start_probe(member)
    assert run_until(member, started_at + TIMEOUT - 0.01, PingRequest) == []
    requests = run_until(member, started_at + TIMEOUT + 0.01, PingRequest)
    assert len(requests) == SETTINGS.indirect_probes
    target = member.members.by_name[ping.target].record
    assert {body for _, body in requests} == {
        PingRequest(ping.sequence, ping.target, target.address)
    }
    assert target.address not in {address for address, _ in requests}
    assert member.members.suspects == {}
    run_until(member, started_at + INTERVAL + 0.01, Ping)
    assert set(member.members.suspects) == {ping.target}


@pytest.mark.parametrize(("nacks", "score"), [(0, 3), (1, 2), (3, 0)])
def test_each_missing_nack_of_a_failed_probe_worsens_local_health(nacks, score):
    member = member_that_knows("a", "b", "c", "d", "e")
    ping, started_at = start_probe(member)
    requests = run_until(member, started_at + TIMEOUT + 0.01, PingRequest)
    for helper in helpers_of(member, requests)[:nacks]:
        receive(member, started_at + TIMEOUT + 0.02, helper, Nack(ping.sequence))
    run_until(member, started_at + INTERVAL + 0.01, Ping)
    assert member.context.local_health.score == score
    next_probe_seconds = member.detector.next_probe_at - (started_at + INTERVAL)
    assert next_probe_seconds == pytest.approx(INTERVAL * (1 + score))


def helpers_of(member, requests):
    """Return the records of the members that got these ping-reqs."""
    addresses = {address for address, _ in requests}
    known_records = [other.record for other in member.members.by_name.values()]
    return [record for record in known_records if record.address in addresses]


def test_nacks_count_once_per_helper_and_not_from_other_members():
    # Guards against a local health score below 0. If every nack counted, the score could fall below
    # 0: the next probe would have a timeout of 0, and its target would be suspected at once.
    member = member_that_knows("a", "b", "c", "d", "e")
    ping, started_at = start_probe(member)
    requests = run_until(member, started_at + TIMEOUT + 0.01, PingRequest)
    helper = helpers_of(member, requests)[0]
    target = member.members.by_name[ping.target].record
    for sender in (helper, helper, helper, helper, helper, target):
        receive(member, started_at + TIMEOUT + 0.02, sender, Nack(ping.sequence))
    run_until(member, started_at + INTERVAL + 0.01, Ping)
    assert member.context.local_health.score == SETTINGS.indirect_probes - 1


def test_a_helper_relays_the_ack_under_the_probers_sequence_number():
    helper = member_that_knows("prober", "target")
    prober = member_record("prober")
    request = PingRequest(7, "target", "127.0.0.1:3")
    [(address, ping)] = receive_pings(helper, 0.0, prober, request)
    assert (address, ping.target) == ("127.0.0.1:3", "target")
    answers = receive(helper, 0.01, member_record("target", port=3), Ack(ping.sequence))
    assert (prober.address, Ack(7)) in answers
    assert run_until(helper, INTERVAL, Nack) == []


def test_a_helper_sends_one_nack_before_the_probers_timeout():
    helper = member_that_knows("prober", "target")
    receive_pings(helper, 0.0, member_record("prober"), PingRequest(7, "target", "127.0.0.1:3"))
    assert run_until(helper, TIMEOUT, Nack) == [("127.0.0.1:2", Nack(7))]
    assert run_until(helper, 2 * INTERVAL, Nack) == []


def receive_pings(member, now, sender, body):
    """Deliver a datagram; return the pings among the answers, each after its address."""
    return [item for item in receive(member, now, sender, body) if isinstance(item[1], Ping)]


def test_a_stall_drops_the_probe_and_postpones_suspicions():
    member = member_that_knows("a", "b")
    member.merger.merge(member_record("a", MemberState.SUSPECT), "b")
    deadline = member.members.suspects["a"].suspicion.deadline
    stall_seconds = 60.0
    member.tick(member.next_tick_at() + stall_seconds)
    assert member.members.suspects["a"].suspicion.deadline == pytest.approx(
        deadline + stall_seconds
    )
    assert member.context.metrics.stalls == 1
    assert member.context.local_health.score == 2


def test_the_local_health_score_stays_within_its_bounds():
    health = LocalHealth()
    health.improve()
    assert (health.score, health.multiplier) == (0, 1)
    health.worsen(-2, max_score=3)
    assert (health.score, health.multiplier) == (0, 1)
    health.worsen(5, max_score=3)
    assert (health.score, health.multiplier) == (3, 4)
