"""Limits derived from a configuration."""

import pytest
from net_helpers import SETTINGS

from stepstream.config.limits import limits_for
from stepstream.config.node_config import NodeConfig


@pytest.mark.parametrize(("sockets", "memory_mb"), [(1024, 192), (64, 192), (1024, 70)])
def test_limits_keep_within_descriptors_and_memory(sockets, memory_mb):
    config = NodeConfig("n", ("h", 1), ("h", 2), 0, 1.0, memory_mb, sockets, SETTINGS)
    limits = limits_for(config)
    assert limits.connections.inbound + limits.connections.outbound < sockets
    assert limits.timeouts.outbound_idle_seconds < SETTINGS.worker_idle_timeout_us / 1e6 / 1.5
    assert limits.connections.call_threads <= limits.connections.outbound
