"""Bytes that clients and workers send to the HTTP server, and answers of a discovery."""

import json

from golden.fronts.configurations import FOLDER
from golden.recorded_data import bytes_of, read_inputs

INPUTS = read_inputs(FOLDER, "http")
READINESS_REQUEST = bytes_of(INPUTS["readiness_request"])
NOTIFICATIONS = {name: body.encode() for name, body in INPUTS["notifications"].items()}
END_OF_HEAD = b"\r\n\r\n"


def job_request(extra_headers: str = "", path: str = "/revalue") -> bytes:
    """Return a client's request; each of the extra header lines ends with CRLF."""
    head = f"POST {path} HTTP/1.1\r\n{INPUTS['job_headers']}{extra_headers}\r\n"
    return bytes_of(head) + b"{}"


def notification(body: bytes) -> bytes:
    """Return a worker's notification on a job."""
    return (INPUTS["notification_head"] % len(body)).encode() + body


def discovery_answer(data: object, status: int = 200) -> bytes:
    """Return discovery's answer with a value of JSON."""
    body = json.dumps(data).encode()
    return b"HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body
