"""A drain on a clock of the test's own."""

from stepstream.core.drain import DrainState


def test_a_drain_closes_connections_after_its_time_and_ends_at_once():
    drain = DrainState(close_after_seconds=0.5)
    assert not drain.active
    assert not drain.closes_connections(100.0)
    assert drain.start(10.0)
    assert not drain.start(10.3)
    assert drain.active
    assert not drain.closes_connections(10.49)
    assert drain.closes_connections(10.5)
    assert drain.cancel()
    assert not drain.active
    assert not drain.closes_connections(11.0)
    assert not drain.cancel()
