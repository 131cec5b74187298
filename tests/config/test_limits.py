"""Limits derived from a configuration."""

import pytest

from stepstream.config.limits import (
    connection_limits,
    gearman_limits,
    limits_for,
    shutdown_timeouts,
)
from stepstream.config.node_config import NodeConfig
from tests.config.configurations import POLICY_SETTINGS


@pytest.mark.parametrize(("sockets", "memory_mb"), [(1024, 192), (64, 192), (1024, 70)])
def test_limits_keep_within_descriptors_and_memory(sockets, memory_mb):
    config = NodeConfig("n", ("h", 1), ("h", 2), 0, 1.0, memory_mb, sockets, POLICY_SETTINGS)
    limits = limits_for(config)
    assert limits.connections.inbound + limits.connections.outbound < sockets
    assert (
        limits.timeouts.outbound_idle_seconds < POLICY_SETTINGS.worker_idle_timeout_us / 1e6 / 1.5
    )
    assert limits.connections.call_threads <= limits.connections.outbound


@pytest.mark.parametrize(
    ("descriptors", "memory_mb", "connections", "gearman"),
    [
        (1024, 192, (640, 320, 48, 555, 32, 16, 200), (320, 32, 3840)),
        (64, 192, (32, 16, 8, 22, 8, 4, 16), (16, 32, 3840)),
        (1024, 70, (400, 400, 48, 330, 32, 16, 200), (200, 11, 1400)),
        (4, 1, (4, 4, 1, 2, 0, 0, 4), (2, 1, 100)),
    ],
    ids=["usual", "few descriptors", "little memory", "least"],
)
def test_descriptors_and_memory_are_divided(descriptors, memory_mb, connections, gearman):
    divided = connection_limits(descriptors, memory_mb)
    assert connections == (
        divided.inbound,
        divided.outbound,
        divided.reserved_for_workers,
        divided.open_requests,
        divided.evicted_unclosed,
        divided.lingering,
        divided.call_threads,
    )
    limits = gearman_limits(memory_mb, divided.inbound)
    workload_mb = limits.in_flight_workload_bytes / 1024**2
    assert gearman == (limits.workers, workload_mb, limits.open_jobs)


@pytest.mark.parametrize(
    ("longest_deadline_seconds", "serving_seconds", "answering_seconds"),
    [(0.2, 0.4, 0.6), (2.0, 1.2, 2.4), (3.0, 2.2, 3.4), (30.0, 2.2, 3.4)],
)
def test_a_shutdown_ends_before_the_platforms_kill(
    longest_deadline_seconds, serving_seconds, answering_seconds
):
    timeouts = shutdown_timeouts(longest_deadline_seconds)
    assert timeouts.serving_seconds == pytest.approx(serving_seconds)
    assert timeouts.answering_seconds == pytest.approx(answering_seconds)
