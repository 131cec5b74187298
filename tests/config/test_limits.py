"""The limits that are derived from a configuration."""

import pytest

from stepstream.config.limits import (
    connection_limits,
    gearman_limits,
    limits_for,
    memory_limits,
    shutdown_timeouts,
)
from stepstream.config.node_config import NodeConfig
from tests.config.configurations import POLICY_SETTINGS


@pytest.mark.parametrize(("sockets", "memory_mb"), [(1024, 192), (64, 192), (1024, 70)])
def test_derived_limits_fit_the_descriptors_and_the_workers_idle_timeout(sockets, memory_mb):
    config = NodeConfig("n", ("h", 1), ("h", 2), 0, 1.0, memory_mb, sockets, POLICY_SETTINGS)
    limits = limits_for(config)
    assert limits.connections.inbound + limits.connections.outbound < sockets
    assert (
        limits.timeouts.outbound_idle_seconds < POLICY_SETTINGS.worker_idle_timeout_us / 1e6 / 1.5
    )
    assert limits.connections.call_threads <= limits.connections.outbound


@pytest.mark.parametrize(
    ("descriptors", "memory_mb", "expected_connections", "expected_gearman"),
    [
        (1024, 192, (640, 320, 48, 555, 32, 16, 200), (320, 32, 3840)),
        (64, 192, (32, 16, 8, 22, 8, 4, 16), (16, 32, 3840)),
        (1024, 70, (400, 400, 48, 330, 32, 16, 200), (200, 11, 1400)),
        (4, 1, (4, 4, 1, 2, 0, 0, 4), (2, 1, 100)),
    ],
    ids=["default size", "few descriptors", "little memory", "smallest limits"],
)
def test_connections_and_gearman_share_descriptors_and_memory(
    descriptors, memory_mb, expected_connections, expected_gearman
):
    connections = connection_limits(descriptors, memory_mb)
    assert expected_connections == (
        connections.inbound,
        connections.outbound,
        connections.reserved_for_workers,
        connections.open_requests,
        connections.evicted_unclosed,
        connections.lingering,
        connections.call_threads,
    )
    gearman = gearman_limits(memory_mb, connections.inbound)
    workload_mb = gearman.in_flight_workload_bytes / 1024**2
    assert expected_gearman == (gearman.workers, workload_mb, gearman.open_jobs)


@pytest.mark.parametrize(
    ("longest_deadline_seconds", "serving_seconds", "answering_seconds"),
    [(0.2, 0.4, 0.6), (2.0, 1.2, 2.4), (3.0, 2.2, 3.4), (30.0, 2.2, 3.4)],
)
def test_shutdown_phases_end_before_the_platforms_kill(
    longest_deadline_seconds, serving_seconds, answering_seconds
):
    timeouts = shutdown_timeouts(longest_deadline_seconds)
    assert timeouts.serving_seconds == pytest.approx(serving_seconds)
    assert timeouts.answering_seconds == pytest.approx(answering_seconds)


@pytest.mark.parametrize("memory_mb", [1, 32, 64, 192])
def test_messages_hold_a_part_of_the_memory_and_always_some_of_the_largest(memory_mb):
    limits = memory_limits(memory_mb, memory_mb)
    assert limits.process_bytes == memory_mb * 1024**2
    both_bytes = limits.open_request_bytes + limits.buffered_bytes
    assert both_bytes <= max(memory_mb * 1024**2 / 3, 2 * 1024**2)
    assert min(limits.open_request_bytes, limits.buffered_bytes) >= 16 * 64 * 1024


def test_two_processes_of_a_hot_restart_take_half_of_the_limits_each():
    config = NodeConfig("n", ("h", 1), ("h", 2), 0, 1.0, 192, 1024, POLICY_SETTINGS)
    alone, shared = limits_for(config), limits_for(config, process_count=2)
    assert shared.connections.inbound + shared.connections.outbound < 512
    assert shared.memory.buffered_bytes < alone.memory.buffered_bytes / 2
