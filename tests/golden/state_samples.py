"""Samples of the state that other processes read, and the recorder of their golden files.

    python tests/golden/state_samples.py record

A form with a codec has samples that are written and read again, and malformed data that must be
refused with the recorded reason. A transcript is a plain JSON value that a fixed sequence of calls
produces. All names of the program's types stand in the builder functions of this module; arguments
are positional where they can be, so that a field's name occurs only where it is part of a form.
"""

import json
import random
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from zlib import crc32

import msgspec

if __name__ == "__main__":
    sys.path[:0] = [str(Path(__file__).resolve().parents[number]) for number in (1, 2)]

from golden import state_answers

from stepstream.core.maintenance import MaintenanceState
from stepstream.hot_restart import state as handover
from stepstream.leases import configuration as lease_configuration
from stepstream.leases import fencing as lease_fencing
from stepstream.leases import health_reports
from stepstream.leases import messages as lease_messages
from stepstream.leases import participant as lease_participant
from stepstream.membership import messages as fleet_messages
from stepstream.membership import protocol as fleet_protocol
from stepstream.membership.member_status import confirmed_deaths_fingerprint
from stepstream.membership.protocol_settings import ProtocolSettings

FOLDER = Path(__file__).resolve().parent / "state"
CLUSTER = "golden"
MOST_NUMBER = 2**53


@dataclass(frozen=True)
class Form:
    """A codec: `write` and `read` are the program's; `error` is raised for malformed data."""

    name: str
    write: Callable[[object], bytes]
    read: Callable[[bytes], object]
    error: type[Exception]
    samples: Callable[[], dict[str, object]]
    malformed: Callable[[], dict[str, bytes]]
    tolerated: Callable[[], dict[str, bytes]]  # read, though the program writes it otherwise


# -- membership datagrams -------------------------------------------------------------------------


def member_row(
    name: str = "n0", port: int = 7946, incarnation: int = 0, state: str = "ALIVE", by: str = ""
) -> object:
    return fleet_messages.MemberRecord(
        name,
        f"127.0.0.1:{port}",
        1_700_000_000_000 * 1024 + 5,
        incarnation,
        fleet_messages.MemberState[state],
        by,
    )


def member_facts(owner: str = "n0", phase: str = "SERVING", ended: tuple[int, ...] = ()) -> object:
    generation, count, list_version, open_requests = 1_700_000_000_000 * 1024 + 5, 7, 42, 3
    return fleet_messages.MemberStatus(
        owner,
        generation,
        count,
        fleet_messages.Phase[phase],
        list_version,
        "0a1b2c3d4e5f",
        open_requests,
        1_700_000_000_123,
        "0.2.0",
        ended,
    )


def operator_word(worker: str = "s-1", stamp: int = 3, out: bool = True) -> object:
    return fleet_messages.MaintenanceRecord(worker, stamp, out, "n1", 1_700_000_000_123_456)


def fleet_bodies() -> dict[str, object]:
    """One body of every kind, and the ends of the ranges of their fields."""
    return {
        "ping": fleet_messages.Ping(1, "n1"),
        "ping-greatest-number": fleet_messages.Ping(MOST_NUMBER, "A.b_c-9" * 9),
        "ack": fleet_messages.Ack(2),
        "ping-for": fleet_messages.PingRequest(3, "n2", "127.0.0.1:7948"),
        "nack": fleet_messages.Nack(4),
        "compare": fleet_messages.Digest(0xABCDEF012345),
        "compare-zero": fleet_messages.Digest(0),
        "page": fleet_messages.Page(False),
        "page-that-wants-a-reply": fleet_messages.Page(True),
        "parcel": fleet_messages.ApplicationMessage("lease", bytes(range(256))),
        "parcel-empty": fleet_messages.ApplicationMessage("sweep", b""),
        "parcel-largest": fleet_messages.ApplicationMessage(
            "k" * 16, b"\xff" * fleet_messages.MAX_APPLICATION_BYTES
        ),
    }


def fleet_datagram(
    body: object,
    rows: tuple[object, ...] = (),
    facts: tuple[object, ...] = (),
    words: tuple[object, ...] = (),
    cluster: str = CLUSTER,
    version: int = 1,
) -> object:
    return fleet_messages.Datagram(version, cluster, member_row(), body, rows, facts, words)


def fleet_samples() -> dict[str, object]:
    made = {f"body-{name}": fleet_datagram(body) for name, body in fleet_bodies().items()}
    ack = fleet_messages.Ack(9)
    for state in ("ALIVE", "SUSPECT", "DEAD", "LEFT"):
        rows = (member_row("n1", 7947, 2, state, "n2"), member_row("n2", 7948, 0, state))
        made[f"rows-{state.lower()}"] = fleet_datagram(ack, rows)
    for phase in ("STARTING", "SERVING", "DRAINING", "LEAVING"):
        made[f"facts-{phase.lower()}"] = fleet_datagram(ack, (), (member_facts("n0", phase),))
    marks_of_deaths = tuple(range(2**47, 2**47 + fleet_messages.MAX_CONFIRMED_DEATHS))
    made["facts-ended"] = fleet_datagram(ack, (), (member_facts(ended=marks_of_deaths),))
    words = operator_word(), operator_word("10.0.0.7:5000", 4, False), operator_word("Ž" * 20, 0)
    made["words"] = fleet_datagram(ack, (), (), words)
    made["all-parts"] = fleet_datagram(
        fleet_messages.Page(True),
        (member_row("n1", 7947, 1, "SUSPECT", "n0"), member_row("n2", 7948)),
        (member_facts(), member_facts("n1", "DRAINING", (17, 2**48 - 1))),
        words,
    )
    return made


def set_in(data: bytes, path: tuple[int, ...], value: object) -> bytes:
    """MessagePack with one element of its nested arrays replaced."""
    whole = msgspec.msgpack.decode(data)
    part = whole
    for place in path[:-1]:
        part = part[place]
    part[path[-1]] = value
    return msgspec.msgpack.encode(whole)


def extended(data: bytes, path: tuple[int, ...] = ()) -> bytes:
    """MessagePack with one more element at the end of one of its nested arrays."""
    whole = msgspec.msgpack.decode(data)
    part = whole
    for place in path:
        part = part[place]
    part.append(0)
    return msgspec.msgpack.encode(whole)


def broken_frames(data: bytes) -> dict[str, bytes]:
    """What any MessagePack form must refuse."""
    return {
        "empty": b"",
        "truncated-by-one-byte": data[:-1],
        "truncated-to-half": data[: len(data) // 2],
        "bytes-behind-the-end": data + b"\x00",
        "not-an-array": msgspec.msgpack.encode({"version": 1}),
        "not-messagepack": b"\xc1" + data,
        "deeply-nested": b"\x91" * 1_000,
    }


def fleet_malformed() -> dict[str, bytes]:
    write = fleet_messages.encode
    ping = write(fleet_datagram(fleet_messages.Ping(1, "n1")))
    whole = write(fleet_samples()["all-parts"])
    changes = {
        "version-0": (ping, (0,), 0),
        "version-2": (ping, (0,), 2),
        "version-256": (ping, (0,), 256),
        "version-negative": (ping, (0,), -1),
        "version-text": (ping, (0,), "1"),
        "cluster-other": (ping, (1,), "other"),
        "cluster-too-long": (ping, (1,), "c" * 65),
        "name-empty": (ping, (2, 0), ""),
        "name-too-long": (ping, (2, 0), "n" * 65),
        "name-with-a-space": (ping, (2, 0), "n 0"),
        "address-without-a-port": (ping, (2, 1), "127.0.0.1"),
        "address-of-a-name": (ping, (2, 1), "localhost:7946"),
        "generation-negative": (ping, (2, 2), -1),
        "generation-too-great": (ping, (2, 2), MOST_NUMBER + 1),
        "generation-fraction": (ping, (2, 2), 1.5),
        "incarnation-too-great": (ping, (2, 3), MOST_NUMBER + 1),
        "state-unknown": (ping, (2, 4), 4),
        "state-text": (ping, (2, 4), "alive"),
        "by-too-long": (ping, (2, 5), "n" * 65),
        "body-of-no-kind": (ping, (3,), []),
        "body-kind-unknown": (ping, (3, 0), 8),
        "body-kind-zero": (ping, (3, 0), 0),
        "body-kind-text": (ping, (3, 0), "ping"),
        "body-too-short": (ping, (3,), [1]),
        "body-null": (ping, (3,), None),
        "ping-number-too-great": (ping, (3, 1), MOST_NUMBER + 1),
        "ping-target-empty": (ping, (3, 2), ""),
        "ping-for-address": (ping, (3,), [3, 1, "n2", "n2"]),
        "compare-negative": (ping, (3,), [5, -1]),
        "page-not-a-truth-value": (ping, (3,), [6, 1]),
        "parcel-kind-empty": (ping, (3,), [7, "", b""]),
        "parcel-kind-too-long": (ping, (3,), [7, "k" * 17, b""]),
        "parcel-data-too-long": (
            ping,
            (3,),
            [7, "lease", b"x" * (fleet_messages.MAX_APPLICATION_BYTES + 1)],
        ),
        "parcel-data-text": (ping, (3,), [7, "lease", "text"]),
        "rows-too-many": (ping, (4,), [["n", "127.0.0.1:1", 1, 0, 0]] * 65),
        "rows-null": (whole, (4,), None),
        "facts-phase-unknown": (whole, (5, 0, 3), 4),
        "facts-settings-too-long": (whole, (5, 0, 5), "0" * 25),
        "facts-ended-too-many": (whole, (5, 0, 9), list(range(41))),
        "facts-ended-negative": (whole, (5, 0, 9), [-1]),
        "word-worker-empty": (whole, (6, 0, 0), ""),
        "word-worker-too-long": (whole, (6, 0, 0), "w" * 129),
        "word-out-a-number": (whole, (6, 0, 2), 1),
        "word-by-malformed": (whole, (6, 0, 3), "n 1"),
    }
    made = broken_frames(ping) | {name: set_in(*change) for name, change in changes.items()}
    made["datagram-longer-by-one-element"] = extended(whole)
    made["row-longer-by-one-element"] = extended(ping, (2,))
    made["facts-longer-by-one-element"] = extended(whole, (5, 0))
    made["word-longer-by-one-element"] = extended(whole, (6, 0))
    made["over-the-longest-datagram"] = ping.ljust(fleet_messages.MAX_DATAGRAM_BYTES + 1, b"\x00")
    made["text-not-utf-8"] = ping.replace(b"golden", b"gold\xff\xff")
    return made


def without_last(data: bytes, path: tuple[int, ...] = (), count: int = 1) -> bytes:
    """MessagePack with the last elements of one of its nested arrays left out."""
    whole = msgspec.msgpack.decode(data)
    part = whole
    for place in path:
        part = part[place]
    del part[-count:]
    return msgspec.msgpack.encode(whole)


def fleet_tolerated() -> dict[str, bytes]:
    write = fleet_messages.encode
    ping = write(fleet_datagram(fleet_messages.Ping(1, "n1")))
    whole = write(fleet_samples()["all-parts"])
    return {
        "without-words": without_last(ping),
        "without-rows-facts-and-words": without_last(ping, count=3),
        "row-without-by": without_last(ping, (2,)),
        "facts-without-ended": without_last(whole, (5, 0)),
        "body-longer-by-one-element": extended(ping, (3,)),
        "sender-suspect": set_in(ping, (2, 4), 1),
        "address-beyond-the-ranges": set_in(ping, (2, 1), "999.0.0.1:99999"),
    }


# -- lease letters --------------------------------------------------------------------------------


def ballot(number: int = 1_700_000_000_001, serial: int = 1) -> object:
    return lease_messages.Ballot(number, f"n0@18bcfe56800005.{serial}")


def lease_bodies() -> dict[str, object]:
    lease, one = "night-report", ballot()
    greatest = lease_messages.Ballot(MOST_NUMBER, "p" * 128)
    longest = 86_400_000
    return {
        "prepare": lease_messages.Prepare(lease, one, 10_000, 250),
        "prepare-longest": lease_messages.Prepare("a" * 64, one, longest, longest),
        "promised": lease_messages.Promise(lease, one),
        "busy": lease_messages.Busy(lease, one, "n1@18bcfe56800009.4", 1_700_000_000_000, 4_321),
        "busy-by-turn": lease_messages.Busy(lease, one, "", 0, 300),
        "stale": lease_messages.StaleBallot(lease, one, 1_700_000_000_009),
        "silent": lease_messages.Recovering(lease, one, 59_999),
        "propose": lease_messages.Propose(lease, one, 2, 1_700_000_000_001, 10_000),
        "accepted": lease_messages.Accepted(lease, one, 2),
        "release": lease_messages.Release(lease, one),
        "free": lease_messages.LeaseAvailable(lease, one),
        "foreign": lease_messages.ConfigurationMismatch(lease, one),
        "ballot-zero": lease_messages.Promise("0", lease_messages.Ballot(0, "p")),
        "ballot-greatest": lease_messages.Promise(lease, greatest),
    }


def lease_letter(bodies: tuple[object, ...], sets: tuple[int, ...] = (0xABCDEF012345,)) -> object:
    return lease_messages.Envelope(1, sets, bodies)


def lease_samples() -> dict[str, object]:
    bodies = lease_bodies()
    made = {f"body-{name}": lease_letter((body,)) for name, body in bodies.items()}
    made["no-bodies"] = lease_letter(())
    made["two-sets-all-bodies"] = lease_letter(tuple(bodies.values()), (1, MOST_NUMBER))
    return made


def lease_malformed() -> dict[str, bytes]:
    write = lease_messages.encode
    samples = lease_samples()
    prepare, propose = write(samples["body-prepare"]), write(samples["body-propose"])
    promised = write(samples["body-promised"])
    body = msgspec.msgpack.decode(promised)[2][0]
    first = (2, 0)
    changes = {
        "version-0": (prepare, (0,), 0),
        "version-2": (prepare, (0,), 2),
        "version-256": (prepare, (0,), 256),
        "sets-none": (prepare, (1,), []),
        "sets-three": (prepare, (1,), [1, 2, 3]),
        "sets-negative": (prepare, (1,), [-1]),
        "sets-too-great": (prepare, (1,), [MOST_NUMBER + 1]),
        "bodies-too-many": (prepare, (2,), [[2, "x", [1, "p"]]] * 65),
        "bodies-null": (prepare, (2,), None),
        "body-kind-unknown": (promised, (*first, 0), 11),
        "body-kind-zero": (promised, (*first, 0), 0),
        "body-too-short": (prepare, first, body[:2]),
        "body-too-long": (promised, first, [*body, 0]),
        "lease-empty": (prepare, (*first, 1), ""),
        "lease-too-long": (prepare, (*first, 1), "a" * 65),
        "lease-in-capitals": (prepare, (*first, 1), "Night"),
        "ballot-number-negative": (prepare, (*first, 2, 0), -1),
        "ballot-number-too-great": (prepare, (*first, 2, 0), MOST_NUMBER + 1),
        "ballot-proposer-empty": (prepare, (*first, 2, 1), ""),
        "ballot-proposer-too-long": (prepare, (*first, 2, 1), "p" * 129),
        "ballot-null": (prepare, (*first, 2), None),
        "ttl-over-a-day": (prepare, (*first, 3), 86_400_001),
        "waited-negative": (prepare, (*first, 4), -1),
        "propose-round-negative": (propose, (*first, 3), -1),
        "propose-token-too-great": (propose, (*first, 4), MOST_NUMBER + 1),
        "propose-ttl-over-a-day": (propose, (*first, 5), 86_400_001),
        "busy-holder-too-long": (prepare, first, [3, *body[1:], "h" * 129, 0, 0]),
        "silent-over-a-day": (prepare, first, [5, *body[1:], 86_400_001]),
    }
    made = broken_frames(prepare) | {name: set_in(*change) for name, change in changes.items()}
    made["letter-longer-by-one-element"] = extended(prepare)
    made["over-the-longest-letter"] = prepare.ljust(lease_messages.MAX_ENVELOPE_BYTES + 65, b"\x00")
    made["text-not-utf-8"] = prepare.replace(b"night", b"nig\xff\xff")
    return made


def lease_tolerated() -> dict[str, bytes]:
    prepare = lease_messages.encode(lease_samples()["body-prepare"])
    return {"ballot-longer-by-one-element": extended(prepare, (2, 0, 2))}


# -- pages of the probe sweep ---------------------------------------------------------------------

REPORT_NAMES = ("busy", "queue")


def sweep_samples() -> dict[str, object]:
    """By name, the token and the reports of one page."""
    seen = health_reports.HealthReport("s-1", 12, 3_400, {"busy": 0.25, "queue": 3.0})
    other = health_reports.HealthReport("10.0.0.7:5000", 400, 60_000_000, {"queue": 0.0})
    return {
        "one-report": (5, (seen,)),
        "two-reports": (MOST_NUMBER, (seen, other)),
        "token-0": (0, (other,)),
    }


def write_sweep(sample: tuple[int, tuple]) -> bytes:
    token, seen = sample
    (page,) = health_reports.encode_pages(token, seen)
    return page


def read_sweep(data: bytes) -> tuple[int, tuple]:
    hearing = health_reports.HealthReportLearner()
    told = hearing.learn(data, REPORT_NAMES, 100.0)
    return hearing.guard.highest_token, tuple(told)


def sweep_malformed() -> dict[str, bytes]:
    page = write_sweep(sweep_samples()["one-report"])
    changes = {
        "version-0": (page, (0,), 0),
        "version-2": (page, (0,), 2),
        "token-negative": (page, (1,), -1),
        "token-too-great": (page, (1,), MOST_NUMBER + 1),
        "reports-too-many": (page, (2,), [["s", 1, 1, {}]] * 65),
        "worker-empty": (page, (2, 0, 0), ""),
        "worker-too-long": (page, (2, 0, 0), "w" * 129),
        "age-over-a-minute": (page, (2, 0, 1), 60_001),
        "spent-negative": (page, (2, 0, 2), -1),
        "report-text": (page, (2, 0, 3), {"busy": "much"}),
        "report-of-17-fields": (page, (2, 0, 3), {f"f{k}": 1.0 for k in range(17)}),
    }
    made = broken_frames(page) | {name: set_in(*change) for name, change in changes.items()}
    made["page-longer-by-one-element"] = extended(page)
    return made


def sweep_tolerated() -> dict[str, bytes]:
    page = write_sweep(sweep_samples()["two-reports"])
    return {
        "report-of-unknown-fields-as-well": set_in(page, (2, 0, 3), {"busy": 0.5, "heat": 1.0}),
        "one-report-too-old": set_in(page, (2, 0, 1), 401),
        "numbers-whole": set_in(page, (2, 0, 3), {"busy": 1}),
        "report-longer-by-one-element": extended(page, (2, 0)),
    }


# -- the handed-over state ------------------------------------------------------------------------

LISTED = {
    "version": 9,
    "full": True,
    "servers": [
        {
            "id": "s-1",
            "addr": "127.0.0.1:5000",
            "zone": 0,
            "kind": 1,
            "cell": -1,
            "state": "ready",
            "weight": 1.5,
            "started_ms": 1_700_000_000_000,
        }
    ],
}


def handover_process(pid: int, ready: bool = False) -> object:
    return handover.ProcessRecord(
        pid, f"127.0.0.1:{9000 + pid}", 1_700_000_000_000_000 + pid, ready
    )


def handover_state(
    bans: tuple = (0, frozenset(), ()), processes: tuple = (), listed: dict | None = None
) -> object:
    return handover.HandoverState(MaintenanceState(*bans), processes, listed)


def handover_samples() -> dict[str, object]:
    bans = (
        4,
        frozenset({"s-2", "s-1", "10.0.0.7:5000"}),
        (("s-9", 1_700_000_000_000_001), ("s-3", 5)),
    )
    processes = (handover_process(11, True), handover_process(12))
    return {
        "empty": handover_state(),
        "bans": handover_state(bans),
        "processes": handover_state(processes=processes),
        "list": handover_state(listed=LISTED),
        "whole": handover_state(bans, processes, LISTED),
        "names-beyond-ascii": handover_state((1, frozenset({'Žilina "1"/<a>'}), ())),
    }


def handover_file(text: str, **more: object) -> bytes:
    """A file with a right sum over any body, built without the program."""
    outer = {"format": "stepstream-handover", "version": 1, "sum": crc32(text.encode())}
    outer["body"] = text
    return json.dumps(outer | more).encode()


def handover_malformed() -> dict[str, bytes]:
    good = handover.encode(handover_samples()["whole"])
    body = json.loads(json.loads(good)["body"])

    def with_body(**more: object) -> bytes:
        return handover_file(json.dumps(body | more))

    def without(key: str) -> bytes:
        return handover_file(json.dumps({name: part for name, part in body.items() if name != key}))

    made = {f"without-{key}": without(key) for key in body if key != "list"}
    return made | {
        "empty": b"",
        "truncated-by-one-byte": good[:-1],
        "truncated-to-half": good[: len(good) // 2],
        "not-json": b"handover",
        "not-an-object": b"[]",
        "not-utf-8": b'{"format": "\xff"}',
        "deeply-nested": b"[" * 5_000,
        "format-other": handover_file("{}", format="other"),
        "version-2": handover_file("{}", version=2),
        "version-text": handover_file("{}", version="1"),
        "version-null": handover_file("{}", version=None),
        "sum-wrong": handover_file("{}", sum=1),
        "sum-null": handover_file("{}", sum=None),
        "body-an-object": handover_file("{}", body={}),
        "body-not-json": handover_file("{"),
        "body-a-list": handover_file("[]"),
        "body-null": handover_file("null"),
        "generation-text": with_body(generation="many"),
        "generation-null": with_body(generation=None),
        "banned-a-number": with_body(banned=3),
        "lifted-of-one": with_body(lifted=[["s-1"]]),
        "lifted-time-text": with_body(lifted=[["s-1", "now"]]),
        "processes-of-three": with_body(processes=[[1, "127.0.0.1:1", 2]]),
        "processes-pid-text": with_body(processes=[["one", "127.0.0.1:1", 2, True]]),
        "list-a-list": with_body(list=[1]),
        "list-text": with_body(list="none"),
    }


def handover_tolerated() -> dict[str, bytes]:
    body = json.loads(json.loads(handover.encode(handover_samples()["whole"]))["body"])
    numbered = [11, "127.0.0.1:9011", 5, 1]
    less = {key: part for key, part in body.items() if key != "list"}
    return {
        "without-list": handover_file(json.dumps(less)),
        "keys-beyond-the-known": handover_file(json.dumps({**body, "more": 1}), writer="later"),
        "numbers-as-text": handover_file(json.dumps({**body, "generation": "4"})),
        "ready-as-a-number": handover_file(json.dumps({**body, "processes": [numbered]})),
    }


FORMS = (
    Form(
        "fleet",
        fleet_messages.encode,
        lambda data: fleet_messages.decode(data, CLUSTER),
        fleet_messages.InvalidDatagramError,
        fleet_samples,
        fleet_malformed,
        fleet_tolerated,
    ),
    Form(
        "leases",
        lease_messages.encode,
        lease_messages.decode,
        lease_messages.EnvelopeError,
        lease_samples,
        lease_malformed,
        lease_tolerated,
    ),
    Form(
        "sweep",
        write_sweep,
        read_sweep,
        health_reports.ReportPageError,
        sweep_samples,
        sweep_malformed,
        sweep_tolerated,
    ),
    Form(
        "handover",
        handover.encode,
        handover.decode,
        handover.HandoverStateError,
        handover_samples,
        handover_malformed,
        handover_tolerated,
    ),
)


# -- transcripts: digests and numbers that travel -------------------------------------------------


def lease_rules_of(*voters: str, old: tuple[str, ...] = ()) -> object:
    return lease_configuration.LeaseConfiguration(voters, old)


def marks() -> dict[str, object]:
    """Digests that members compare with each other's."""
    return {
        "rows": [
            member_row(state=state, incarnation=number).fingerprint
            for number, state in enumerate(("ALIVE", "SUSPECT", "DEAD", "LEFT"))
        ],
        "words": [operator_word(out=out).fingerprint for out in (True, False)],
        "witnesses": [
            confirmed_deaths_fingerprint(facts)
            for facts in (
                None,
                member_facts(),
                member_facts(ended=(17,)),
                member_facts(ended=(17, 4)),
            )
        ],
        "rules": [
            list(rules.digests)
            for rules in (lease_rules_of("n2", "n0", "n1"), lease_rules_of("n0", old=("n1", "n2")))
        ],
    }


def fencing() -> dict[str, object]:
    """A guarded resource refuses a token behind the highest one; its error names both."""
    guard, told = lease_fencing.FencingGuard(), []
    for token in (5, 5, 9, 8, 0, 10):
        try:
            guard.admit(token)
            told.append([token, "taken"])
        except lease_fencing.FencedError as error:
            told.append([token, str(error), error.token, error.highest_token])
    return {"calls": told, "highest": guard.highest_token, "refused": guard.rejected}


def sweep_pages() -> list[str]:
    """More reports than one page holds."""
    seen = [health_reports.HealthReport(f"s-{k}", k, 1_000 * k, {"busy": k / 8}) for k in range(90)]
    return [page.hex() for page in health_reports.encode_pages(7, seen)]


def fleet_conversation() -> list[list[str]]:
    """All datagrams of three members in simulated time, with an operator's word and a leave."""
    addresses = {f"n{number}": f"127.0.0.1:{7946 + number}" for number in range(3)}
    views = {
        address: fleet_protocol.MembershipProtocol(
            member_row(name, int(address.rpartition(":")[2])),
            CLUSTER,
            tuple(addresses.values()),
            ProtocolSettings(),
            random.Random(name),
            0.0,
        )
        for name, address in addresses.items()
    }
    told: list[list[str]] = []
    under_way: list[tuple[str, bytes]] = []

    def carry(sends: list) -> None:
        for send in sends:
            data = fleet_messages.encode(send.datagram)
            told.append([send.address, data.hex()])
            under_way.append((send.address, data))

    first = views[addresses["n0"]]
    for step in range(1, 61):
        now = step / 20
        if step == 20:
            first.statuses.publish(member_facts())
            first.maintenance.record(
                "s-1", in_maintenance=True, recorded_at_us=1_700_000_000_000_000
            )
        if step == 50:
            carry(first.leave(now))
        for view in views.values():
            if view.next_tick_at() <= now:
                carry(view.tick(now))
        while under_way:
            address, data = under_way.pop(0)
            carry(views[address].handle(now, fleet_messages.decode(data, CLUSTER)))
    told.append(["digests", " ".join(f"{view.digest:012x}" for view in views.values())])
    return told


def play_lease_requests(
    step: int, now: float, cores: dict, carry: Callable[[str, list], None], claims: list
) -> None:
    """Two members ask for the lease, and the first one releases it."""
    if step == 20:
        claim, sends = cores["n0"].acquire(now, "night-report", 10.0, 1.0)
        claims.append(claim)
        carry("n0", sends)
    if step == 80:
        carry("n1", cores["n1"].acquire(now, "night-report", 8.0, 1.0)[1])
    if step == 120:
        carry("n0", cores["n0"].release(now, claims[0]))


def lease_conversation() -> list[list[str]]:
    """All letters of three members, of which two want one lease after each other."""
    names = ("n0", "n1", "n2")
    rules = lease_rules_of(*names)
    base, cores = 1_700_000_000_000, {}
    for name in names:
        cores[name] = lease_participant.Participant(
            name, f"{name}@1f", rules, base, random.Random(name), 0.0
        )
    told: list[list[str]] = []
    under_way: list[tuple[str, str, bytes]] = []

    def carry(sender: str, sends: list) -> None:
        for send in sends:
            data = lease_messages.encode(send.envelope)
            told.append([sender, send.member, data.hex()])
            under_way.append((sender, send.member, data))

    claims: list = []
    for step in range(1, 161):
        now = 58.0 + step / 20
        play_lease_requests(step, now, cores, carry, claims)
        for name, core in cores.items():
            if core.next_tick_at() <= now:
                carry(name, core.tick(now))
        while under_way:
            sender, member, data = under_way.pop(0)
            carry(member, cores[member].handle(now, sender, lease_messages.decode(data)))
    return told


TRANSCRIPTS: dict[str, Callable[[], object]] = {
    **state_answers.TRANSCRIPTS,
    "marks": marks,
    "fencing": fencing,
    "sweep-pages": sweep_pages,
    "fleet-conversation": fleet_conversation,
    "lease-conversation": lease_conversation,
}


# -- golden files ---------------------------------------------------------------------------------


def reason(form: Form, data: bytes) -> str | None:
    """Why the program refuses this data; None if it takes it."""
    try:
        form.read(data)
    except form.error as error:
        return str(error)
    return None


def recorded(name: str) -> object:
    """A golden file's content."""
    return json.loads((FOLDER / f"{name}.json").read_text(encoding="utf-8"))


def as_recorded(value: object) -> object:
    """A value in the form in which a golden file gives it back."""
    return json.loads(json.dumps(value))


def of_form(form: Form) -> dict[str, object]:
    samples = {name: form.write(sample).hex() for name, sample in form.samples().items()}
    refused = {}
    for name, data in form.malformed().items():
        why = reason(form, data)
        if why is None:
            raise ValueError(f"{form.name}: {name} is not refused")
        refused[name] = {"data": data.hex(), "reason": why}
    tolerated = {
        name: {"data": data.hex(), "written": form.write(form.read(data)).hex()}
        for name, data in form.tolerated().items()
    }
    return {"samples": samples, "refused": refused, "tolerated": tolerated}


def record() -> None:
    """Write every golden file with the program as it is."""
    FOLDER.mkdir(exist_ok=True)
    values = {form.name: of_form(form) for form in FORMS}
    values |= {name: build() for name, build in TRANSCRIPTS.items()}
    for name, value in values.items():
        text = json.dumps(value, indent=1, ensure_ascii=False) + "\n"
        (FOLDER / f"{name}.json").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    if sys.argv[1:] != ["record"]:
        sys.exit(__doc__)
    record()
