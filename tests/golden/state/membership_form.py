"""Samples of membership datagrams, and malformed ones."""

from golden.state.forms import MAX_NUMBER, UNIX_MS, Form, broken_frames, edited_samples

from stepstream.membership import messages

CLUSTER = "golden"
GENERATION = UNIX_MS * 1024 + 5
NAME = "fleet"


def member_record(
    name: str = "n0", port: int = 7946, incarnation: int = 0, state: str = "ALIVE", by: str = ""
) -> messages.MemberRecord:
    """Return a member's record."""
    address = f"127.0.0.1:{port}"
    member_state = messages.MemberState[state]
    return messages.MemberRecord(name, address, GENERATION, incarnation, member_state, by)


def member_status(
    owner: str = "n0", phase: str = "SERVING", confirmed_deaths: tuple[int, ...] = ()
) -> messages.MemberStatus:
    """Return a member's status."""
    sequence_number = 7
    list_version = 42
    open_requests = 3
    return messages.MemberStatus(
        owner,
        GENERATION,
        sequence_number,
        messages.Phase[phase],
        list_version,
        "0a1b2c3d4e5f",
        open_requests,
        UNIX_MS + 123,
        "0.2.0",
        confirmed_deaths,
    )


def maintenance_record(
    worker: str = "s-1", stamp: int = 3, in_maintenance: bool = True
) -> messages.MaintenanceRecord:
    """Return an operator's record on a worker."""
    recorded_at_us = UNIX_MS * 1000 + 123_456
    return messages.MaintenanceRecord(worker, stamp, in_maintenance, "n1", recorded_at_us)


def bodies() -> dict[str, object]:
    """Return a body of every kind, and some whose fields have the smallest or largest values."""
    return {
        "ping": messages.Ping(1, "n1"),
        "ping-greatest-number": messages.Ping(MAX_NUMBER, "A.b_c-9" * 9),
        "ack": messages.Ack(2),
        "ping-for": messages.PingRequest(3, "n2", "127.0.0.1:7948"),
        "nack": messages.Nack(4),
        "compare": messages.Digest(0xABCDEF012345),
        "compare-zero": messages.Digest(0),
        "page": messages.Page(False),
        "page-that-wants-a-reply": messages.Page(True),
        "parcel": messages.ApplicationMessage("lease", bytes(range(256))),
        "parcel-empty": messages.ApplicationMessage("sweep", b""),
        "parcel-largest": messages.ApplicationMessage(
            "k" * 16, b"\xff" * messages.MAX_APPLICATION_BYTES
        ),
    }


def datagram(
    body: object,
    records: tuple[object, ...] = (),
    statuses: tuple[object, ...] = (),
    maintenance: tuple[object, ...] = (),
) -> messages.Datagram:
    """Return a datagram of the first member."""
    return messages.Datagram(1, CLUSTER, member_record(), body, records, statuses, maintenance)


def samples() -> dict[str, object]:
    """Return datagrams with every body, and with records of every state and phase."""
    made = {f"body-{name}": datagram(body) for name, body in bodies().items()}
    ack = messages.Ack(9)
    for state in ("ALIVE", "SUSPECT", "DEAD", "LEFT"):
        records = (member_record("n1", 7947, 2, state, "n2"), member_record("n2", 7948, 0, state))
        made[f"rows-{state.lower()}"] = datagram(ack, records)
    for phase in ("STARTING", "SERVING", "DRAINING", "LEAVING"):
        made[f"facts-{phase.lower()}"] = datagram(ack, (), (member_status("n0", phase),))
    fingerprints = tuple(range(2**47, 2**47 + messages.MAX_CONFIRMED_DEATHS))
    status_with_deaths = member_status(confirmed_deaths=fingerprints)
    made["facts-ended"] = datagram(ack, (), (status_with_deaths,))
    maintenance = (
        maintenance_record(),
        maintenance_record("10.0.0.7:5000", 4, False),
        maintenance_record("Ž" * 20, 0),
    )
    made["words"] = datagram(ack, (), (), maintenance)
    made["all-parts"] = datagram(
        messages.Page(True),
        (member_record("n1", 7947, 1, "SUSPECT", "n0"), member_record("n2", 7948)),
        (member_status(), member_status("n1", "DRAINING", (17, 2**48 - 1))),
        maintenance,
    )
    return made


def malformed() -> dict[str, bytes]:
    """Return datagrams that the program must reject."""
    ping = messages.encode(samples()["body-ping"])
    made = broken_frames(ping) | edited_samples(NAME, "malformed", messages.encode, samples())
    made["over-the-longest-datagram"] = ping.ljust(messages.MAX_DATAGRAM_BYTES + 1, b"\x00")
    made["text-not-utf-8"] = ping.replace(b"golden", b"gold\xff\xff")
    return made


def tolerated() -> dict[str, bytes]:
    """Return datagrams in forms that the program accepts but never writes."""
    return edited_samples(NAME, "tolerated", messages.encode, samples())


MEMBERSHIP = Form(
    NAME,
    messages.encode,
    lambda data: messages.decode(data, CLUSTER),
    messages.InvalidDatagramError,
    samples,
    malformed,
    tolerated,
)
