"""The answers under /leases, and the messages of leases and of the health-check leader."""

import contextlib
import random
from types import SimpleNamespace

from golden.recorded_data import read_inputs
from golden.state.admin_transcripts import RecordingAdminClient, admin_service
from golden.state.forms import FOLDER, UNIX_MS
from golden.state.process_doubles import LIMITS, FakeClock, discarded_output, operator_sections

from stepstream.leases import messages
from stepstream.leases.health_check_leader import HealthCheckLeader, HealthCheckPort
from stepstream.leases.participant import Participant
from stepstream.leases.subsystem import LeasesSubsystem
from stepstream.model.events import HealthChecked

INPUTS = read_inputs(FOLDER, "admin-leases")
ACCEPTORS = ("n0", "n1", "n2")


class LeaseCluster:
    """The leases of n0, and the acceptor of n1, which answers only while `answering` is true."""

    def __init__(self, clock: FakeClock, **section: object) -> None:
        """Start both; `section` holds further keys of the operator's section."""
        self.clock = clock
        self.answering = True
        self.sent: list[list[str]] = []
        messenger = SimpleNamespace(
            process_name="n0@1f",
            subscribe=lambda kind, take: None,
            send=self.send,
            present_members=lambda: ["n1"],
            superseded=lambda: False,
        )
        leases = {"voters": ACCEPTORS, "longest_s": 10.0, **section}
        host = SimpleNamespace(
            config=SimpleNamespace(name="n0"),
            operator=operator_sections(leases=leases),
            limits=LIMITS,
            subsystems={"fleet": messenger},
        )
        self.subsystem = LeasesSubsystem(host)
        configuration = self.subsystem.configuration
        self.peer = Participant("n1", "n1@2f", configuration, UNIX_MS, random.Random(1), clock.now)

    def send(self, member: str, kind: str, data: bytes) -> None:
        """Record a message; deliver it to the other acceptor, and its answers to this member."""
        self.sent.append([member, kind, data.hex()])
        if member == "n1" and self.answering:
            envelope = messages.decode(data)
            for outgoing in self.peer.handle(self.clock.now, "n0", envelope):
                self.subsystem.driver.on_envelope("n1", messages.encode(outgoing.envelope))

    def tick(self) -> None:
        """Run the participant's due work, and send the messages that result."""
        self.subsystem.driver.send(self.subsystem.participant.tick(self.clock.now))


def play_lease_calls(client: RecordingAdminClient, cluster: LeaseCluster, clock: FakeClock) -> None:
    """Make the calls from the start to the end of a lease, also rejected ones and without a quorum."""
    client.call_all(INPUTS["calls_while_recovering"])
    clock.now += 20.0
    cluster.tick()
    client.call_all(INPUTS["calls_of_two_sessions"])
    cluster.answering = False
    clock.now += 2.0
    cluster.tick()
    client.call_all(INPUTS["calls_without_a_quorum"])
    clock.now += 2.5
    client.call_all(INPUTS["calls_near_the_end"])
    clock.now += 1.0
    client.call_all(INPUTS["calls_after_the_end"])
    clock.now += 20.0
    client.call_all(INPUTS["calls_of_one_voter"])
    clock.now += 1.0
    client.call_all(INPUTS["calls_of_one_voter"])
    client.call_all(INPUTS["invalid_calls"])
    client.call_all(INPUTS["calls_over_the_session_limit"])
    cluster.subsystem.client.closed = True
    client.call_all(INPUTS["calls_of_a_closed_client"])


def lease_answers() -> list[list[str]]:
    """Return the calls and answers under /leases."""
    clock = FakeClock()
    with discarded_output(), clock.as_process_clock():
        cluster = LeaseCluster(clock, most_sessions=4)
        service = admin_service(clock, [])
        client = RecordingAdminClient(service, cluster.subsystem.admin_routes())
        with contextlib.closing(client):
            play_lease_calls(client, cluster, clock)
    return client.transcript


def lease_messages_sent() -> list[list[str]]:
    """Return the messages of one lease as the driver sends them: member, kind, data."""
    clock = FakeClock()
    with discarded_output(), clock.as_process_clock():
        cluster = LeaseCluster(clock)
        clock.now += 20.0
        driver = cluster.subsystem.driver
        claim = driver.acquire("night", 5.0, 1.0)
        clock.now += 2.0
        cluster.tick()
        driver.release(claim)
    return cluster.sent


def health_reports_sent() -> list[list[str]]:
    """Return what the health-check leader sends of two workers, and the kinds it subscribes to."""
    clock = FakeClock()
    sent: list[list[str]] = []
    kinds: list[str] = []
    messenger = SimpleNamespace(
        subscribe=lambda kind, take: kinds.append(kind),
        send=lambda member, kind, data: sent.append([member, kind, data.hex()]),
        present_members=lambda: ["n1", "n2"],
    )
    port = HealthCheckPort(list, None, tuple, lambda probed: None)
    with clock.as_process_clock():
        leader = HealthCheckLeader(None, messenger, None, port)
        leader.on_health_checked(HealthChecked("s-1", True, 3_400, {"busy": 0.25}))
        clock.now += 0.125
        leader.on_health_checked(HealthChecked("s-2", True, 0, {"busy": 1.0, "queue": 2.0}))
        leader.on_health_checked(HealthChecked("s-3", False, 0, None))
        leader.publish(SimpleNamespace(token=UNIX_MS))
    return [*sent, ["kinds heard", *kinds]]
