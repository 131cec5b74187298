"""The answers under /fleet, and the status that a member publishes of itself."""

import contextlib
import json
import logging
import random
import signal
from queue import SimpleQueue
from types import SimpleNamespace

import msgspec
from golden.recorded_data import read_inputs
from golden.state.admin_transcripts import RecordingAdminClient, admin_service
from golden.state.forms import FOLDER, UNIX_MS
from golden.state.process_doubles import (
    CONFIGURATION,
    LIMITS,
    FakeClock,
    discarded_output,
    operator_sections,
)

from stepstream.config.node_config import config_from
from stepstream.membership.driver import Driver
from stepstream.membership.messages import MemberRecord, MemberState, MemberStatus, Phase
from stepstream.membership.protocol import MembershipProtocol
from stepstream.membership.section import protocol_settings
from stepstream.membership.settings_digest import settings_digest
from stepstream.membership.subsystem import MembershipSubsystem

INPUTS = read_inputs(FOLDER, "admin-fleet")
GENERATION = UNIX_MS * 1024
CLUSTER = "golden"
VERSION_PLACE = 8  # of the program's version in a status; it changes with each release


def member_record(name: str, port: int, state: str, generation: int = GENERATION) -> MemberRecord:
    """Return a member's record."""
    return MemberRecord(name, f"127.0.0.1:{port}", generation, 0, MemberState[state])


def member_status(owner: str, phase: str, confirmed_deaths: tuple[int, ...] = ()) -> MemberStatus:
    """Return a member's status."""
    sequence_number = 4
    list_version = 42
    open_requests = 3
    return MemberStatus(
        owner,
        GENERATION,
        sequence_number,
        Phase[phase],
        list_version,
        "0a1b2c3d4e5f",
        open_requests,
        UNIX_MS,
        "0.0.0",
        confirmed_deaths,
    )


def membership_host(clock: FakeClock) -> SimpleNamespace:
    """Return what the subsystem sees of its process."""
    return SimpleNamespace(
        config=config_from(CONFIGURATION, {}),
        operator=operator_sections(fleet=INPUTS["section"]),
        limits=LIMITS,
        clock=clock,
        core=SimpleNamespace(open_count=3),
        destinations=SimpleNamespace(version=42),
        signals=SimpleQueue(),
        subsystems={},
    )


def membership_subsystem(host: SimpleNamespace, clock: FakeClock) -> MembershipSubsystem:
    """Return the subsystem with a fixed random source and start, and a socket on any port."""
    subsystem = MembershipSubsystem(host)
    section = host.operator.fleet
    subsystem.protocol = MembershipProtocol(
        member_record("n0", 7946, "ALIVE"),
        CLUSTER,
        section.seeds,
        protocol_settings(section),
        random.Random(1),
        clock.now,
    )
    subsystem._driver = Driver(
        ("127.0.0.1", 0),
        subsystem.protocol,
        LIMITS,
        logging.getLogger("golden"),
        subsystem.run_periodic_task,
    )
    return subsystem


def add_members(protocol: MembershipProtocol, clock: FakeClock) -> None:
    """Give the protocol members in every state, with statuses and maintenance records."""
    merger = protocol.merger
    for name, port in (("n1", 7947), ("n2", 7948), ("n3", 7949), ("n4", 7950)):
        merger.merge(member_record(name, port, "ALIVE"), "n1")
    protocol.statuses.publish(member_status("n0", "SERVING", (17,)))
    protocol.statuses.merge(member_status("n1", "DRAINING"))
    clock.now += 1.5
    protocol.context.now = clock.now
    for name, port, state in (("n2", 7948, "SUSPECT"), ("n3", 7949, "DEAD"), ("n4", 7950, "LEFT")):
        merger.merge(member_record(name, port, state), "n1")
    merger.merge(member_record("n2", 7948, "SUSPECT"), "n3")
    merger.merge(member_record("n1", 7947, "ALIVE", GENERATION + 7), "n1")
    merger.merge(member_record("n0", 7946, "SUSPECT"), "n2")
    maintenance = protocol.maintenance
    maintenance.record("s-1", in_maintenance=True, recorded_at_us=UNIX_MS * 1000)
    maintenance.record("10.0.0.7:5000", in_maintenance=False, recorded_at_us=UNIX_MS * 1000 + 1)
    clock.now += 0.25


def replace_members(protocol: MembershipProtocol, clock: FakeClock) -> None:
    """Advance the clock by ten seconds; give a member and the local one a later generation."""
    clock.now += 10.0
    protocol.context.now = clock.now
    protocol.merger.merge(member_record("n1", 7947, "ALIVE", GENERATION + 7), "n1")
    protocol.members.joined_at = protocol.started_at
    protocol.merger.merge_local(member_record("n0", 7999, "ALIVE", GENERATION + 9), "n0")


def membership_answers() -> list[list[str]]:
    """Return the calls and answers under /fleet, and whether /fleet/leave ends the process."""
    clock = FakeClock()
    host = membership_host(clock)
    with discarded_output(), clock.as_process_clock():
        subsystem = membership_subsystem(host, clock)
        protocol = subsystem.protocol
        service = admin_service(clock, [])
        client = RecordingAdminClient(service, subsystem.admin_routes())
        with subsystem.driver.socket, contextlib.closing(client):
            client.call("GET", "/fleet")
            client.call("GET", "/fleet/changes")
            add_members(protocol, clock)
            client.call_all(INPUTS["calls"])
            protocol.members.events.recent.popleft()
            protocol.members.events.recent.popleft()
            client.call_all(INPUTS["calls_after_forgotten_events"])
            replace_members(protocol, clock)
            client.call("GET", "/fleet")
            client.call("GET", "/fleet/members/n0")
    stops = host.signals.get() == signal.SIGTERM
    return [*client.transcript, ["SIGTERM after /fleet/leave", json.dumps(stops)]]


def local_statuses() -> dict[str, object]:
    """Return what a member publishes of itself, by its phase, with the digest of its settings."""
    clock = FakeClock()
    with discarded_output(), clock.as_process_clock():
        subsystem = MembershipSubsystem(membership_host(clock))
        started = msgspec.to_builtins(subsystem.local_status([17, 4]))
        subsystem.on_serving()
        serving = msgspec.to_builtins(subsystem.local_status([]))
        subsystem.begin_shutdown()
        leaving = msgspec.to_builtins(subsystem.local_status([]))
    statuses: dict[str, object] = {"starting": started, "serving": serving, "leaving": leaving}
    for status in statuses.values():
        status[VERSION_PLACE] = ""
    other_zone = {**CONFIGURATION, "settings": {**CONFIGURATION["settings"], "zone": 0}}
    digest = settings_digest(config_from(other_zone, {}).settings)
    return {**statuses, "settings in another zone": digest}
