"""A drain, with a clock that the test controls."""

from stepstream.core.drain import DrainState


def test_a_drain_closes_connections_after_its_delay_and_ends_when_it_is_cancelled():
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
