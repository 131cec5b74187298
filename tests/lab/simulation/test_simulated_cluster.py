"""Simulated time, and the parts that all simulated clusters share: stalls, ticks and links."""

from dataclasses import dataclass, field

import pytest

from stepstream.lab.emulator.links import Links
from stepstream.lab.faults.schedule import Fault, FaultKind, Schedule
from stepstream.lab.simulation.cluster import (
    SOCKET_QUEUE_PACKETS,
    SimulatedCluster,
    SimulatedProcess,
)
from stepstream.lab.simulation.errors import NotRecoveredError
from stepstream.lab.simulation.timeline import Timeline

NEVER = float("inf")


@dataclass(eq=False)
class RecordingProcess(SimulatedProcess):
    received: list = field(default_factory=list)
    ticks: list = field(default_factory=list)
    tick_at: float = NEVER
    running: bool = False

    @property
    def is_running(self):
        return self.running

    def discard_state(self):
        self.running = False


class RecordingCluster(SimulatedCluster[RecordingProcess]):
    """Processes that record their ticks and packets; the address of a process is its name."""

    recovered = True

    def start(self, name):
        self.processes[name].running = True
        self.schedule_tick(self.processes[name])

    def announce_leave(self, process):
        self.transmit(process, "b", b"leaving")

    def next_tick_at(self, process):
        return process.tick_at

    def tick_protocol(self, process):
        process.ticks.append(self.now)
        process.tick_at = NEVER

    def handle_packet(self, process, packet):
        process.received.append((self.now, packet.data))

    def catch_up_after_stall(self, process):
        queued, process.socket_queue = process.socket_queue, []
        for packet in queued:
            self.deliver(packet)

    def process_at(self, address):
        return self.processes.get(address)

    def check_invariants(self, process):
        pass

    def has_recovered(self):
        return self.recovered


@pytest.fixture
def cluster():
    """A cluster of two running processes, a and b; packets take 0.1 s."""
    links = Links(delay_seconds=(0.1, 0.1))
    simulated = RecordingCluster(1, [RecordingProcess("a"), RecordingProcess("b")], links)
    simulated.start_all()
    return simulated


def test_steps_with_the_same_time_run_in_the_order_of_scheduling():
    timeline = Timeline()
    run_steps = []
    timeline.call_later(1.0, lambda: run_steps.append("first"))
    timeline.call_later(1.0, lambda: run_steps.append("second"))
    timeline.call_later(0.5, lambda: run_steps.append("earlier"))
    timeline.run(2.0)
    assert run_steps == ["earlier", "first", "second"]
    assert timeline.now == 2.0


def test_a_run_ends_when_its_condition_holds():
    timeline = Timeline()
    for second in range(1, 10):
        timeline.call_later(second, lambda: None)
    assert timeline.run(10.0, lambda: timeline.now >= 3.0)
    assert timeline.now == 3.0


def test_a_run_whose_condition_never_holds_ends_after_its_full_time():
    timeline = Timeline()
    assert not timeline.run(10.0, lambda: False)
    assert timeline.now == 10.0


def test_a_packet_arrives_after_its_delay(cluster):
    cluster.transmit(cluster.processes["a"], "b", b"hello")
    cluster.run(1.0)
    assert cluster.processes["b"].received == [(0.1, b"hello")]
    assert (cluster.packets_sent, cluster.bytes_sent) == (1, 5)


def test_a_packet_over_a_cut_link_counts_as_sent_and_does_not_arrive(cluster):
    cluster.links.cut(["a"], ["b"])
    cluster.transmit(cluster.processes["a"], "b", b"hello")
    cluster.run(1.0)
    assert cluster.packets_sent == 1
    assert not cluster.processes["b"].received


def test_a_killed_process_receives_nothing(cluster):
    cluster.transmit(cluster.processes["a"], "b", b"hello")
    cluster.kill("b")
    cluster.run(1.0)
    assert not cluster.processes["b"].received


def test_a_process_announces_that_it_leaves_and_stops(cluster):
    cluster.leave("a")
    cluster.run(1.0)
    assert not cluster.is_running("a")
    assert cluster.processes["b"].received == [(0.1, b"leaving")]


def test_a_stalled_process_receives_packets_after_its_stall(cluster):
    cluster.stall("b", 5.0)
    cluster.transmit(cluster.processes["a"], "b", b"hello")
    cluster.run(10.0)
    assert cluster.processes["b"].received == [(5.0, b"hello")]


def test_a_resumed_process_receives_queued_packets_at_once(cluster):
    cluster.stall("b")
    cluster.transmit(cluster.processes["a"], "b", b"hello")
    cluster.run(2.0)
    cluster.resume("b")
    assert cluster.processes["b"].received == [(2.0, b"hello")]


def test_packets_to_a_stalled_process_beyond_its_socket_queue_are_lost(cluster):
    cluster.stall("b", 5.0)
    for _ in range(SOCKET_QUEUE_PACKETS + 10):
        cluster.transmit(cluster.processes["a"], "b", b"hello")
    cluster.run(10.0)
    assert len(cluster.processes["b"].received) == SOCKET_QUEUE_PACKETS


def test_a_process_ticks_when_its_protocol_requests_it(cluster):
    process = cluster.processes["a"]
    process.tick_at = 3.0
    cluster.schedule_tick(process)
    cluster.run(10.0)
    assert process.ticks == [3.0]


def test_a_rescheduled_tick_replaces_the_earlier_schedule(cluster):
    process = cluster.processes["a"]
    for tick_at in (3.0, 2.0):
        process.tick_at = tick_at
        cluster.schedule_tick(process)
    cluster.run(10.0)
    assert process.ticks == [2.0]


def test_a_killed_process_does_not_tick(cluster):
    process = cluster.processes["a"]
    process.tick_at = 3.0
    cluster.schedule_tick(process)
    cluster.kill("a")
    cluster.run(10.0)
    assert not process.ticks


def test_a_cluster_that_does_not_recover_after_a_fault_schedule_raises_an_error(cluster):
    cluster.recovered = False
    fault = Fault(kind=FaultKind.CRASH, begin_seconds=1.0, duration_seconds=1.0, members=("a",))
    with pytest.raises(NotRecoveredError, match=r"5\.0 s after the last fault"):
        cluster.play(Schedule((fault,)), 5.0)


def test_a_crashed_process_runs_again_after_the_fault_schedule(cluster):
    fault = Fault(kind=FaultKind.CRASH, begin_seconds=1.0, duration_seconds=1.0, members=("a",))
    cluster.play(Schedule((fault,)), 5.0)
    assert cluster.is_running("a")
