"""Smooth weighted round robin."""

from stepstream.model.pools import Pool
from stepstream.model.worker_records import Worker
from stepstream.policy.weighted_round_robin import choose_next
from tests.model.builders import make_endpoint


def test_turns_follow_the_weights_and_are_spread_out():
    workers = [Worker(make_endpoint(index), 0, 0, Pool()) for index in range(3)]
    turns = [workers.index(choose_next(workers, [5.0, 1.0, 1.0])) for _ in range(7)]
    assert turns == [0, 0, 1, 0, 2, 0, 0]
    assert [worker.current_weight for worker in workers] == [0.0, 0.0, 0.0]
