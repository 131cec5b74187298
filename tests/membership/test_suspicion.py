"""Deadlines of suspicions, by Lifeguard's LHA-Suspicion."""

import pytest

from stepstream.membership.protocol_settings import ProtocolSettings
from stepstream.membership.suspicion import start_suspicion

# In a cluster of up to 10 members the shortest suspicion lasts 1 s and the longest 6 s.
SETTINGS = ProtocolSettings(probe_interval_seconds=0.5, suspicion_multiplier=2.0)


@pytest.mark.parametrize(
    ("accusers", "seconds"),
    [
        ((), 6.0),
        (("a",), 6.0),
        (("a", "a"), 6.0),
        (("a", "b"), 3.5),
        (("a", "b", "c"), 2.0376),
        (("a", "b", "c", "d"), 1.0),
        (("a", "b", "c", "d", "e"), 1.0),
    ],
)
def test_each_new_accuser_shortens_a_suspicion_by_less_than_the_one_before(accusers, seconds):
    suspicion = start_suspicion(100.0, 10, SETTINGS)
    for accuser in accusers:
        suspicion.confirm(accuser)
    assert suspicion.deadline == pytest.approx(100.0 + seconds, abs=1e-3)


def test_only_new_accusers_up_to_the_needed_number_count():
    suspicion = start_suspicion(0.0, 10, SETTINGS)
    assert [suspicion.confirm(accuser) for accuser in "aabcde"] == [
        True,
        False,
        True,
        True,
        True,
        False,
    ]


def test_between_two_members_a_suspicion_has_its_shortest_duration_at_once():
    # There is no third member that could confirm the suspicion.
    assert start_suspicion(0.0, 2, SETTINGS).deadline == 1.0


def test_a_stall_of_the_observer_postpones_a_suspicion():
    suspicion = start_suspicion(0.0, 10, SETTINGS)
    suspicion.postpone(4.0)
    assert suspicion.deadline == 10.0
