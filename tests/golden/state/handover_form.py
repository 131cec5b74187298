"""Samples of the file that a process hands over in a hot restart, and malformed ones."""

import json
from zlib import crc32

from golden.recorded_data import bytes_of, read_inputs
from golden.state.forms import FOLDER, UNIX_MS, Form

from stepstream.core.maintenance import MaintenanceState
from stepstream.hot_restart import state as handover

NAME = "handover"
INPUTS = read_inputs(FOLDER, NAME)
ENDPOINT_LIST = INPUTS["listed"]
NO_MAINTENANCE = (0, frozenset(), ())


def process_record(pid: int, ready: bool = False) -> handover.ProcessRecord:
    """Return the record of a process."""
    return handover.ProcessRecord(pid, f"127.0.0.1:{9000 + pid}", UNIX_MS * 1000 + pid, ready)


def handover_state(
    maintenance: tuple = NO_MAINTENANCE, processes: tuple = (), endpoint_list: dict | None = None
) -> handover.HandoverState:
    """Return a state; `maintenance` holds the generation, workers in maintenance, and releases."""
    return handover.HandoverState(MaintenanceState(*maintenance), processes, endpoint_list)


def samples() -> dict[str, object]:
    """Return states with no part, with each part alone, and with all parts."""
    maintenance = (
        4,
        frozenset({"s-2", "s-1", "10.0.0.7:5000"}),
        (("s-9", UNIX_MS * 1000 + 1), ("s-3", 5)),
    )
    processes = (process_record(11, True), process_record(12))
    return {
        "empty": handover_state(),
        "bans": handover_state(maintenance),
        "processes": handover_state(processes=processes),
        "list": handover_state(endpoint_list=ENDPOINT_LIST),
        "whole": handover_state(maintenance, processes, ENDPOINT_LIST),
        "names-beyond-ascii": handover_state((1, frozenset({'Žilina "1"/<a>'}), ())),
    }


def handover_file(body_text: str, changes: dict) -> bytes:
    """Return a file with a correct checksum of this body, built without the code under test."""
    envelope = {
        "format": "stepstream-handover",
        "version": 1,
        "sum": crc32(body_text.encode()),
        "body": body_text,
    }
    return json.dumps(envelope | changes).encode()


def file_with_body(body: dict) -> bytes:
    """Return a file with this body."""
    return handover_file(json.dumps(body), {})


def complete_body() -> dict:
    """Return the body of a file with every part."""
    return json.loads(json.loads(handover.encode(samples()["whole"]))["body"])


def without(body: dict, key: str) -> dict:
    """Return the body without one key."""
    return {name: part for name, part in body.items() if name != key}


def malformed() -> dict[str, bytes]:
    """Return files that the program must reject."""
    valid = handover.encode(samples()["whole"])
    body = complete_body()
    required = [key for key in body if key != "list"]
    made = {f"without-{key}": file_with_body(without(body, key)) for key in required}
    made["empty"] = b""
    made["truncated-by-one-byte"] = valid[:-1]
    made["truncated-to-half"] = valid[: len(valid) // 2]
    for name, text in INPUTS["files"].items():
        made[name] = bytes_of(text)
    for name, envelope in INPUTS["envelopes"].items():
        made[name] = handover_file(**envelope)
    for name, changes in INPUTS["bodies"].items():
        made[name] = file_with_body(body | changes)
    return made


def tolerated() -> dict[str, bytes]:
    """Return files in forms that the program accepts but never writes."""
    body = complete_body()
    made = {
        "without-list": file_with_body(without(body, "list")),
        "keys-beyond-the-known": handover_file(
            json.dumps({**body, "more": 1}), {"writer": "later"}
        ),
    }
    for name, changes in INPUTS["tolerated_bodies"].items():
        made[name] = file_with_body(body | changes)
    return made


HANDOVER = Form(
    NAME,
    handover.encode,
    handover.decode,
    handover.HandoverStateError,
    samples,
    malformed,
    tolerated,
)
