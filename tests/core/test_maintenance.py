"""Maintenance of workers: its registry, and its effect on listed endpoints."""

from stepstream.core.endpoint_set import EndpointSet, EndpointsUpdated
from stepstream.core.maintenance import MaintenanceOverlay, MaintenanceRegistry, MaintenanceState
from stepstream.model.endpoints import Endpoint, EndpointList, EndpointListKind, EndpointState
from tests.core.harness import RecordingLog


def test_maintenance_commands_are_counted_and_only_a_newer_generation_is_adopted():
    registry = MaintenanceRegistry()
    assert registry.begin("s-1")
    assert not registry.begin("s-1")
    assert registry.release("s-1", 5_000)
    assert not registry.release("s-1", 6_000)
    state = registry.snapshot()
    assert state.in_maintenance == frozenset()
    assert state.released == (("s-1", 5_000),)
    assert state.generation == 2
    assert (registry.counts.begun, registry.counts.released, registry.counts.unchanged) == (1, 1, 2)
    assert not registry.adopt(MaintenanceState(2, frozenset({"s-9"})))
    assert registry.adopt(MaintenanceState(3, frozenset({"s-9"})))
    assert registry.contains("s-9")


def test_a_worker_is_draining_in_maintenance_and_counts_as_started_at_its_release():
    endpoint_set = EndpointSet(RecordingLog())
    entries = (Endpoint("s-1", started_us=1_000), Endpoint("s-2"))
    endpoint_set.apply(
        EndpointsUpdated("discovery", EndpointList(EndpointListKind.COMPLETE, entries))
    )
    in_maintenance = endpoint_set.apply_maintenance(MaintenanceState(1, frozenset({"s-1"})))
    assert [(endpoint.worker_id, endpoint.state) for endpoint in in_maintenance.endpoints] == [
        ("s-1", EndpointState.DRAINING)
    ]
    relisted = endpoint_set.apply(
        EndpointsUpdated("discovery", EndpointList(EndpointListKind.COMPLETE, entries))
    )
    assert {e.worker_id: e.state for e in relisted.endpoints}["s-1"] is EndpointState.DRAINING
    after_release = endpoint_set.apply_maintenance(
        MaintenanceState(2, frozenset(), (("s-1", 9_000),))
    )
    assert [(endpoint.state, endpoint.started_us) for endpoint in after_release.endpoints] == [
        (EndpointState.ACTIVE, 9_000)
    ]
    relisted_later = endpoint_set.apply(
        EndpointsUpdated("discovery", EndpointList(EndpointListKind.CHANGES, entries[:1]))
    )
    # The older start in the list does not replace the time of the release.
    assert relisted_later.endpoints[0].started_us == 9_000


def test_the_overlay_changes_neither_a_later_start_nor_a_removed_worker():
    overlay = MaintenanceOverlay()
    overlay.update(MaintenanceState(1, frozenset(), (("s-1", 9_000),)))
    assert overlay.apply(Endpoint("s-1", started_us=12_000)).started_us == 12_000
    removed = Endpoint("s-1", state=EndpointState.REMOVED)
    assert overlay.apply(removed) is removed
