"""The handover state and its codec: what one process of a hot restart leaves to the next.

The file is a JSON object of `format`, `version`, `sum` (CRC-32 of the body's UTF-8 bytes) and
`body`, a string of JSON. A file that deviates from this form is rejected as a whole. Each kind of
deviation raises its own error, and the process starts without the earlier state. The module keeps
no state; any thread may call the functions.
"""

from dataclasses import dataclass, field
from zlib import crc32

import ujson

from stepstream.config.json_decoding import JsonError, JsonNestingError, decode_json
from stepstream.core.maintenance import MaintenanceState
from stepstream.hot_restart.precedence import EndpointListJson
from stepstream.hot_restart.process import ProcessRecord

FORMAT = "stepstream-handover"
VERSION = 1


@dataclass(frozen=True, slots=True)
class HandoverState:
    """The content of the state file."""

    maintenance: MaintenanceState = MaintenanceState()
    processes: tuple[ProcessRecord, ...] = field(default_factory=tuple)
    endpoint_list: EndpointListJson | None = None  # as its writer last received it


class HandoverStateError(Exception):
    """The bytes are not a usable handover state; the message names the deviation in one line."""


class StateFormatError(HandoverStateError):
    """The bytes are not a JSON object of the handover's format."""


class StateVersionError(HandoverStateError):
    """The state has another version of the format."""


class StateChecksumError(HandoverStateError):
    """The body is missing, or does not match its checksum."""


class StateFieldError(HandoverStateError):
    """A field of the body is missing or has the wrong type."""


def encode(state: HandoverState) -> bytes:
    """Encode the state as the bytes of the file."""
    # The keys `banned`, `lifted` and `list` are part of the format and keep their names.
    body = {
        "generation": state.maintenance.generation,
        "banned": sorted(state.maintenance.in_maintenance),
        "lifted": [list(release) for release in state.maintenance.released],
        "processes": [
            [process.pid, process.admin_address, process.started_at_us, process.ready]
            for process in state.processes
        ],
        "list": state.endpoint_list,
    }
    body_text = ujson.dumps(body, sort_keys=True)
    envelope = {
        "format": FORMAT,
        "version": VERSION,
        "sum": crc32(body_text.encode()),
        "body": body_text,
    }
    return ujson.dumps(envelope).encode()


def decode(data: bytes) -> HandoverState:
    """Decode the bytes of the file; raise HandoverStateError if they deviate from the format."""
    body_text = _open_envelope(data)
    try:
        return _read_body(decode_json(body_text))
    except JsonNestingError as error:
        raise StateFieldError(str(error)) from error
    except (ValueError, KeyError, TypeError) as error:
        raise StateFieldError("a field is missing or of the wrong type") from error


def _open_envelope(data: bytes) -> str:
    """Check format, version and checksum, and return the body's text."""
    try:
        envelope = decode_json(data)
    except JsonError as error:
        raise StateFormatError("not whole JSON") from error
    if not isinstance(envelope, dict) or envelope.get("format") != FORMAT:
        raise StateFormatError("not a handed-over state")
    if envelope.get("version") != VERSION:
        raise StateVersionError(f"version {envelope.get('version')!r}, not {VERSION}")
    body_text = envelope.get("body")
    if not isinstance(body_text, str) or crc32(body_text.encode()) != envelope.get("sum"):
        raise StateChecksumError("its sum does not match")
    return body_text


def _read_body(body: object) -> HandoverState:
    """Convert the parsed body; raise ValueError, KeyError or TypeError for a faulty field."""
    if not isinstance(body, dict):
        raise TypeError("the body is not an object")
    maintenance = MaintenanceState(
        int(body["generation"]),
        frozenset(str(worker_id) for worker_id in body["banned"]),
        tuple((str(worker_id), int(at_us)) for worker_id, at_us in body["lifted"]),
    )
    processes = tuple(
        ProcessRecord(int(pid), str(admin_address), int(started_at_us), bool(ready))
        for pid, admin_address, started_at_us, ready in body["processes"]
    )
    endpoint_list = body.get("list")
    if endpoint_list is not None and not isinstance(endpoint_list, dict):
        raise TypeError("the endpoint list is not an object")
    return HandoverState(maintenance, processes, endpoint_list)
