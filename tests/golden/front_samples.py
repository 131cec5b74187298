"""Samples of the forms that others read: HTTP, discovery, status line, commands, identity, Gearman.

`python tests/golden/front_samples.py record` writes what the program gives for every sample to
`tests/golden/fronts/`; `tests/test_golden_fronts.py` asks that it still gives the same. A sample
is a function without arguments that gives JSON; bytes stand in it as text, one character a byte
(Latin-1).

Everything that touches names of the program's types stands in the sections "builders" of this
module; the samples themselves are bytes, command lines and files, which no renaming changes.
"""

import contextlib
import dataclasses
import enum
import functools
import io
import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from unittest import mock

HERE = Path(__file__).resolve().parent
ROOT = HERE.parent.parent
for folder in (ROOT, HERE.parent):
    if str(folder) not in sys.path:
        sys.path.insert(0, str(folder))

from stepstream import cli  # noqa: E402
from stepstream.config.limits import Limits  # noqa: E402  the paths come first
from stepstream.config.node_config import config_from  # noqa: E402  the paths come first
from stepstream.core.commands import Answer, Outcome  # noqa: E402  the paths come first
from stepstream.core.events import JobNotification  # noqa: E402  the paths come first
from stepstream.core.job_results import ChunkedResult, ResultChunk  # noqa: E402  the paths come first
from stepstream.core.requests import Payload, Request  # noqa: E402  the paths come first
from stepstream.http import client_api, discovery_api, worker_api  # noqa: E402  the paths come first
from stepstream.http import load_reports as reports  # noqa: E402  the paths come first
from stepstream.http.codec import Message, Parser, ProtocolError, write_answer  # noqa: E402  the paths come first
from stepstream.http.exchange import HttpExchange  # noqa: E402  the paths come first
from stepstream.http.server_state import ServerState  # noqa: E402  the paths come first
from stepstream.http.session import HttpSession, Reply  # noqa: E402  the paths come first

RECORDED = HERE / "fronts"
NOW_US = 1_900_000_000_000_000
HEAD_END = "\r\n\r\n"
LIMITS = Limits()

Sample = Callable[[], object]

CONFIG = {
    "name": "n0",
    "listen": "127.0.0.1:8081",
    "discovery": "127.0.0.1:8500",
    "operator": "127.0.0.1:8082",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.5, "memory_mb": 256, "sockets": 2048},
    "known": {"version": 3, "servers": []},
    "settings": {
        "services": [
            {
                "name": "revalue",
                "deadline_us": 5000000,
                "goal_time_us": 200000,
                "effect": "pure",
                "worth": 2.0,
                "late_worth": 0.25,
            },
            {
                "name": "nav-publish",
                "deadline_us": 4000000,
                "effect": "token",
                "key_scope": "zone",
                "window_us": 7500000,
            },
            {"name": "once", "deadline_us": 3000000, "effect": "side_effect"},
        ],
        "extra": {
            "class_kind": [-1, 0, 1],
            "class_stretch": [2.0, 1.5, 0.0],
            "tells_start": True,
            "report_x0": "free slots",
        },
        "projects": [
            {"name": "tatra-invest", "quota_per_s": 92.0},
            {"name": "hron-asset", "quota_per_s": 47.0},
        ],
        "over_share_worth": 0.5,
        "fleet_size": 3,
        "quantum_us": 2000,
        "zones": ["ruzinov", "petrzalka"],
        "kinds": ["new-blade", "old-blade"],
        "zone": 1,
        "discovery": "subscribe",
        "limits": {
            "try_limit": 4,
            "probing": True,
            "cancelling": True,
            "may_duplicate": True,
            "retry_after": True,
            "max_retry_after_us": 2000000,
            "conn_idle_us": 8000000,
            "dial_timeout_us": 300000,
            "max_open": 10000,
        },
        "load_report": {"how": "answers", "columns": ["queue", "x0"]},
        "deductions": {"cross_zone": 0.1, "handshake": 0.2, "probe": 0.3},
        "safety": {
            "must_ask_in_us": 9000000,
            "stop_sending_within_us": 400000,
            "cold_share": 0.5,
            "warm_within_us": 3000000,
            "fall_multiple": 2.5,
            "tip_after_us": 700000,
            "grace_to_answer_us": 100000,
        },
    },
}


def changed(path: str, value: object) -> dict:
    """The good configuration with one key replaced; "services.0.worth" walks into lists too."""
    data = json.loads(json.dumps(CONFIG))
    *parents, last = path.split(".")
    at = data
    for name in parents:
        at = at[int(name)] if isinstance(at, list) else at.setdefault(name, {})
    at[last] = value
    return data


def text_of(data: bytes) -> str:
    """One character a byte, as the recorded files hold bytes."""
    return data.decode("latin-1")


def bytes_of(text: str) -> bytes:
    return text.encode("latin-1")


def plain(value: object) -> object:
    """Any value as JSON: records as the list of their values, without the names of their fields."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return [plain(getattr(value, field.name)) for field in dataclasses.fields(value)]
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, bytes):
        return text_of(value)
    if isinstance(value, dict):
        return {str(key): plain(part) for key, part in value.items()}
    if isinstance(value, frozenset | set):
        return sorted(map(plain, value))
    if isinstance(value, list | tuple):
        return [plain(part) for part in value]
    return value


# -- builders: HTTP -------------------------------------------------------------------------------


def settings_of(data: dict = CONFIG) -> object:
    """The module's settings as a deployment's file gives them."""
    return config_from(data, {}).settings


def reports_reader(how: str = "answers") -> tuple[object, list[str]]:
    """A reader of load reports, and the list of its complaints."""
    complaints: list[str] = []
    settings = settings_of(changed("settings.load_report.how", how))
    return reports.LoadReportReader(settings, complaints.append), complaints


def http_session(gate: object = None, **flags: bool) -> object:
    """An inbound connection without its socket; `flags` are those of the door that it goes by."""
    door = ServerState(client_api.ClientApi(settings_of(), reports_reader()[0]))
    door.access_control = gate
    for name, value in flags.items():
        setattr(door, STATE_FIELDS.get(name, name), value)
    return HttpSession(LIMITS, door)


def step_of(step: object) -> dict:
    """What a session gives for what it read: bytes due, a request, or a worker's news."""
    match step:
        case Reply():
            return {"bytes": text_of(step.data), "close": step.close}
        case Request():
            return {"request": request_of(step)}
        case JobNotification():
            return {"news": told_of(step)}
    raise TypeError(type(step))


def request_of(request: object) -> dict:
    return {
        "id": request.id,
        "class": request.job_class,
        "arrived": request.arrived_us,
        "deadline": request.deadline_us,
        "tenant": request.tenant,
        "key": request.key,
        "slots": request.slots,
        "memory": request.memory,
        "client_retry": request.client_retry,
        "path": request.payload.path,
        "body": text_of(request.payload.body),
        "idempotency_key": request.payload.idempotency_key,
    }


def told_of(told: object) -> dict | None:
    if told is None:
        return None
    return {
        "id": told.request_id,
        "from": told.worker_id,
        "news": told.status.value,
        "result": plain(told.result),
        "progress": plain(told.progress),
        "report": told.load_report,
    }


def converse(data: bytes, gate: object = None, **flags: bool) -> list[dict]:
    """The steps of a new session for these bytes; a fault is no step."""
    session = http_session(gate, **flags)
    return [step_of(step) for step in session.receive(data, NOW_US)]


def final_answer(outcome: str, result: object, pause_us: int, head: str = "") -> list[dict]:
    """A request's final answer on its connection."""
    session = http_session()
    (request,) = session.receive(job(head), NOW_US)
    answer = Answer(request, Outcome(outcome), result, pause_us)
    return [step_of(session.answer(answer))]


def pieces(*parts: tuple[bytes, bool], last: bytes) -> object:
    return ChunkedResult(tuple(ResultChunk(data, warning) for data, warning in parts), last)


def status_answer(status: int, close: bool) -> str:
    return text_of(write_answer(status, b"x", {"A": "b"}, close=close))


def refusal_of_a_full_house(pause_us: int) -> str:
    return text_of(client_api.overload_answer(pause_us, close=True))


def call_bytes(path: str, body: bytes, key: str, timeout_ms: int) -> str:
    payload = Payload(path, body, key)
    return text_of(worker_api.call_bytes("127.0.0.1:9000", "00000000000000aa", payload, timeout_ms))


def give_up_bytes() -> str:
    return text_of(worker_api.cancel_bytes("127.0.0.1:9000", "00000000000000aa"))


def probe_bytes(how: str) -> str:
    path = (
        worker_api.LOAD_REPORT_PATH
        if reports_reader(how)[0].in_health_checks
        else worker_api.HEALTH_CHECK_PATH
    )
    return text_of(worker_api.health_check_bytes("127.0.0.1:9000", path))


def list_call(version: int | None, wait_s: float = 30.0) -> str:
    side = discovery_api.DiscoveryApi(settings_of())
    if version is None:
        return text_of(side.fetch_bytes("127.0.0.1:8500"))
    return text_of(side.watch_bytes("127.0.0.1:8500", version, wait_s))


def list_read(data: bytes) -> object:
    """Discovery's answer, read from the bytes of its connection."""
    parser = Parser(LIMITS, answers=True, max_body_bytes=LIMITS.sizes.endpoint_list_bytes)
    parser.feed(data)
    try:
        message = parser.next() or parser.end()
        return None if message is None else targets_of(discovery_side().read_answer(message))
    except ProtocolError as error:
        return {"error": str(error)}


def discovery_side() -> object:
    return discovery_api.DiscoveryApi(settings_of())


def targets_of(targets: object) -> dict:
    rows = [
        [e.worker_id, e.zone, e.worker_kind, e.cell, e.state.value, e.weight, e.started_us]
        for e in targets.update.endpoints
    ]
    return {
        "version": targets.version,
        "kind": targets.update.kind.value,
        "rows": rows,
        "addresses": plain(targets.addresses),
    }


def list_written(data: dict) -> object:
    """The list that is kept for a hot restart, in discovery's own form."""
    from stepstream.http.destination_set import DestinationSet

    destinations = DestinationSet()
    destinations.apply(discovery_side().read(data, persisted=True))
    return destinations.export_list()


def news_read(body: bytes) -> object:
    reader, complaints = reports_reader()
    try:
        told = worker_api.read_notification(
            Message("POST", worker_api.NOTIFICATION_PATH, body=body), reader
        )
    except ProtocolError as error:
        return {"status": error.status}
    return {"news": told_of(told), "complaints": len(complaints)}


def news_written(body: bytes) -> str:
    """News as it goes on to the process beside this one."""
    told = worker_api.read_notification(Message("POST", worker_api.NOTIFICATION_PATH, body=body))
    return text_of(worker_api.notification_body(told))


def report_read(place: str, how: str, given: object) -> object:
    reader, complaints = reports_reader(how)
    read = {
        "header": reader.read_header,
        "news": reader.read_notification,
        "probe": reader.read_health_check,
    }[place]
    return {"report": read(given), "complaints": len(complaints)}


def call_ended(data: bytes, written: bool = True) -> dict:
    """What a worker's answer to a call proves, by its bytes; then the connection ends."""
    exchange = HttpExchange(LIMITS)
    if written:
        exchange.mark_request_written()
    if data:
        exchange.receive(data)
    if not exchange.is_over:
        exchange.receive(b"")
    return {
        "taken": exchange.result is None,
        "result": plain(exchange.result),
        "reusable": exchange.connection_reusable,
        "load": exchange.load_report_text,
    }


def message_read(data: bytes, answers: bool) -> object:
    """Every message of a connection, or the status of what broke it."""
    parser, found = Parser(LIMITS, answers=answers), []
    parser.feed(data)
    try:
        while (message := parser.next()) is not None:
            found.append(message_of(message))
        if (message := parser.end()) is not None:
            found.append(message_of(message))
    except ProtocolError as error:
        found.append({"status of the fault": error.status})
    return found


def message_of(message: object) -> dict:
    return {
        "first": [message.method, message.target, message.status],
        "headers": message.headers,
        "body": text_of(message.body),
        "keep_alive": message.keep_alive,
    }


# -- builders: the command line -------------------------------------------------------------------


def command_line(*words: str, **environment: str) -> dict:
    """Exit code and output of the program's command line, within this process."""
    out, err = io.StringIO(), io.StringIO()
    kept = {name: text for name, text in os.environ.items() if not name.startswith(OWN_VARIABLES)}
    with (
        mock.patch.dict(os.environ, {**kept, "COLUMNS": "160", **environment}, clear=True),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        try:
            code = cli.main(list(words))
        except SystemExit as end:
            code = end.code
            if isinstance(code, str):  # as the interpreter does: the text is printed, the code is 1
                print(code, file=sys.stderr)
                code = 1
    return {"code": code or 0, "out": out.getvalue(), "err": err.getvalue()}


OWN_VARIABLES = ("EDGE_", "STEPSTREAM_")


# -- HTTP -----------------------------------------------------------------------------------------

JOB_HEADERS = (
    "Host: x\r\nRequest-Id: 00000000000000aa\r\nTenant: tatra-invest\r\n"
    "Request-Timeout-Ms: 480\r\nContent-Length: 2\r\n"
)


def job(more: str = "", path: str = "/revalue", method: str = "POST") -> bytes:
    """A client's request; `more` are header lines that each end with CRLF."""
    return f"{method} {path} HTTP/1.1\r\n{JOB_HEADERS}{more}\r\n{{}}".encode("latin-1")


def bare(first: str, *headers: str, body: str = "") -> bytes:
    return ("\r\n".join([first, *headers]) + HEAD_END + body).encode("latin-1")


CLOSE = "Connection: close\r\n"
FINAL_ANSWERS: dict[str, tuple[str, object, int]] = {
    "served text": ("served", "17.5", 0),
    "served empty text": ("served", "", 0),
    "served text outside ASCII": ("served", "Výška é €", 0),
    "served a lone surrogate": ("served", "\ud800", 0),
    "served object": ("served", {"a/b": [1, 2.5, None, True, "é"]}, 0),
    "served list": ("served", [1, "x"], 0),
    "served number": ("served", 17.5, 0),
    "served null": ("served", None, 0),
    "served true": ("served", True, 0),
    "rejected with retry-after": ("refused", None, 1_500_000),
    "rejected with a small retry-after": ("refused", None, 1_234),
    "rejected without retry-after": ("refused", None, 0),
    "failed": ("failed", None, 0),
    "failed with a result and a pause": ("failed", "x", 7_000_000),
}
ACCEPTED_REQUESTS = {
    "plain": job(),
    "all headers": job(
        "Request-Info: cores_needed=2, ram_units=3.5\r\nIdempotency-Key: k\r\nClient-Retry: 1\r\n",
        "/nav-publish/more?user=k7&x=1",
    ),
    "older names of figures": job("Request-Info: slots=2, memory=1.5, other=9\r\n"),
    "escaped class": job(path="/nav%2Dpublish"),
    "keep-alive in HTTP/1.0": job("Connection: keep-alive\r\n").replace(b"HTTP/1.1", b"HTTP/1.0"),
    "chunked": bare(
        "POST /revalue HTTP/1.1",
        "Request-Id: a",
        "Tenant: hron-asset",
        "Transfer-Encoding: chunked",
        body="3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: x\r\n\r\n",
    ),
    "no deadline of its own": bare("POST /once HTTP/1.1", "Request-Id: a", "Tenant: hron-asset"),
    "two behind each other": job() + job(),
}
CHUNKED = b"POST /revalue HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
REFUSED_REQUESTS = {
    "404 no such class": job(path="/nothing"),
    "404 no path": job(path="*"),
    "405 method": job(method="GET"),
    "405 ready by POST": bare("POST /-/ready HTTP/1.1", "Content-Length: 0"),
    "405 news by GET": bare("GET /_jobs/news HTTP/1.1"),
    "400 no request id": bare("POST /revalue HTTP/1.1", "Tenant: hron-asset"),
    "400 request id": job().replace(b"00000000000000aa", b"a/../b"),
    "400 long request id": job().replace(b"00000000000000aa", b"a" * 65),
    "400 tenant": job().replace(b"tatra-invest", b"nobody"),
    "400 no tenant": job().replace(b"Tenant: tatra-invest\r\n", b""),
    "400 timeout": job().replace(b"Ms: 480", b"Ms: soon"),
    "400 info": job("Request-Info: slots\r\n"),
    "400 info figure": job("Request-Info: slots=1e300\r\n"),
    "400 request line": b"POST  /revalue HTTP/1.1\r\n\r\n",
    "400 version": b"POST /revalue HTTP/2.0\r\n\r\n",
    "400 header": b"POST /revalue HTTP/1.1\r\nbad header: x\r\n\r\n",
    "400 control byte": b"POST /revalue HTTP/1.1\r\na: \x01\r\n\r\n",
    "400 outside ASCII": b"POST /revalue HTTP/1.1\r\na: \xe9\r\n\r\n",
    "400 length twice": job("Content-Length: 2\r\n"),
    "400 host twice": job("Host: y\r\n"),
    "400 both framings": job("Transfer-Encoding: chunked\r\n"),
    "400 other coding": b"POST /revalue HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
    "400 coding in HTTP/1.0": b"POST /revalue HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
    "400 length": b"POST /revalue HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
    "400 chunk size": CHUNKED + b" 3\r\nabc\r\n",
    "400 chunk end": CHUNKED + b"3\r\nabcd\r\n",
    "400 long chunk line": CHUNKED + b"0" * 300,
    "400 empty lines": b"\r\n\r\n\r\n",
    "413 length": b"POST /revalue HTTP/1.1\r\nContent-Length: 65537\r\n\r\n",
    "413 chunks": CHUNKED + b"10001\r\n",
    "431 head": b"POST /revalue HTTP/1.1\r\na: " + b"x" * 17_000,
}
NEWS_HEAD = "POST /_jobs/news HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"


def news(body: str) -> bytes:
    data = body.encode("utf-8")
    return (NEWS_HEAD % len(data)).encode() + data


NEWS_BODIES = {
    "started": '{"id":"a","from":"s-1","state":"started"}',
    "running": '{"id":"a","from":"s-1","state":"running","share":0.25}',
    "running whole share": '{"id":"a","from":"s-1","state":"running","share":1}',
    "running share too large": '{"id":"a","from":"s-1","state":"running","share":1.5}',
    "running share as text": '{"id":"a","from":"s-1","state":"running","share":"0.5"}',
    "done text": '{"id":"a","from":"s-1","state":"done","result":"17.5"}',
    "done object": '{"id":"a","from":"s-1","state":"done","result":{"x":[1,2.5,null]}}',
    "done without result": '{"id":"a","from":"s-1","state":"done"}',
    "done with load": '{"id":"a","from":"s-1","state":"done","load":{"queue":2,"x0":1.5,"z":9}}',
    "done with load as text": '{"id":"a","from":"s-1","state":"done","load":"TEXT queue=2"}',
    "done with bad load": '{"id":"a","from":"s-1","state":"done","load":{"queue":-1}}',
    "failed": '{"id":"a","from":"s-1","state":"failed","result":"why"}',
    "returned": '{"id":"a","from":"s-1","state":"returned"}',
    "lost": '{"id":"a","from":"s-1","state":"lost"}',
    "unknown state": '{"id":"a","from":"s-1","state":"dancing"}',
    "outside ASCII": '{"id":"a","from":"s-1","state":"done","result":"Výška/€"}',
    "no id": '{"from":"s-1","state":"done"}',
    "id a number": '{"id":1,"from":"s-1","state":"done"}',
    "no sender": '{"id":"a","state":"done"}',
    "state a number": '{"id":"a","from":"s-1","state":1}',
    "a list": "[]",
    "no JSON": "{",
    "empty": "",
}
READY = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"
# Names of the recorded cases, and the fields of the server state that they set.
STATE_FIELDS = {
    "leaving": "shutting_down",
    "failed": "draining",
    "drained": "drain_closing",
    "crowded": "is_overloaded",
}
DOORS = ("starting", "leaving", "failed", "closing", "drained")


def http_samples() -> dict[str, Sample]:
    found: dict[str, Sample] = {}
    for name, (outcome, result, pause_us) in FINAL_ANSWERS.items():
        for kind, head in (("keep", ""), ("close", CLOSE)):
            case = outcome, result, pause_us, head
            found[f"answer/{name}/{kind}"] = lambda case=case: final_answer(*case)
    parts = ((b"one ", False), (b"careful", True), (b"two\xff ", False))
    for kind, head in (("keep", ""), ("close", CLOSE)):
        found[f"answer/served pieces/{kind}"] = lambda head=head: final_answer(
            "served", pieces(*parts, last=b"end"), 0, head
        )
    for name, data in (ACCEPTED_REQUESTS | REFUSED_REQUESTS).items():
        found[f"request/{name}"] = lambda data=data: converse(data)
    for name, body in NEWS_BODIES.items():
        found[f"news/answer/{name}"] = lambda body=body: converse(news(body))
        found[f"news/read/{name}"] = lambda body=body: news_read(body.encode())
        if news_read(body.encode()).get("news"):
            found[f"news/passed on/{name}"] = lambda body=body: news_written(body.encode())
    found["ready/yes"] = lambda: converse(READY)
    found["ready/yes and close"] = lambda: converse(READY.replace(b"Host: x", b"Connection: close"))
    found["ready/yes twice"] = lambda: converse(READY + READY)
    lost = news(NEWS_BODIES["lost"])
    for door in DOORS:
        found[f"ready/{door}"] = lambda door=door: converse(READY, **{door: True})
        found[f"news/{door}"] = lambda door=door: converse(lost, **{door: True})
    for pause_us in (0, 1, 2_000_000):
        found[f"full house/{pause_us} us"] = lambda p=pause_us: refusal_of_a_full_house(p)
    found["crowded"] = lambda: converse(job(), crowded=lambda: True)
    statuses = (200, 202, 400, 401, 403, 404, 405, 408, 413, 431, 500, 501, 502, 503, 504)
    for status in statuses:
        found[f"status/{status}"] = lambda s=status: status_answer(s, s % 2 == 1)
    return found


# -- what goes to workers and to discovery, and what is read from them ----------------------------

ACCEPTED = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
WORKER_ANSWERS = {
    "202": ACCEPTED,
    "202 and close": b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
    "202 in HTTP/1.0": b"HTTP/1.0 202 Accepted\r\nContent-Length: 0\r\n\r\n",
    "100 before 202": b"HTTP/1.1 100 Continue\r\n\r\n" + ACCEPTED,
    "503 not started": b"HTTP/1.1 503 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n",
    "504 not started": b"HTTP/1.1 504 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n",
    "503": b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
    "500 not started": b"HTTP/1.1 500 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n",
    "503 with load": (
        b"HTTP/1.1 503 X\r\nNot-Started: 1\r\nServer-Load: TEXT x0=2\r\nContent-Length: 0\r\n\r\n"
    ),
    "404 to the end": b"HTTP/1.1 404 Not Found\r\n\r\nsorry",
    "unreadable": b"HELLO\r\n\r\n",
    "half": b"HTTP/1.1 202 Acc",
    "nothing": b"",
}
ROW = {"id": "s-1", "addr": "127.0.0.1:8081"}
FULL_ROW = {
    **ROW,
    "zone": "petrzalka",
    "kind": "old-blade",
    "cell": 3,
    "state": "ready",
    "weight": 1.5,
    "started_ms": 7,
}
LISTS: dict[str, object] = {
    "complete": {"version": 4, "full": True, "servers": [FULL_ROW, {**ROW, "id": "s-2"}]},
    "changes": {"version": 5, "full": False, "servers": [{**FULL_ROW, "state": "draining"}]},
    "gone": {"version": 6, "full": False, "servers": [{"id": "s-1", "state": "gone"}]},
    "gone with address": {"version": 6, "full": False, "servers": [{**FULL_ROW, "state": "gone"}]},
    "without full": {"version": 7, "servers": [ROW]},
    "empty": {"version": 8, "full": True, "servers": []},
    "empty object": {},
    "version as text": {"version": "9", "servers": [ROW]},
    "places by number": {"version": 1, "servers": [{**ROW, "zone": 1, "kind": 1}]},
    "unknown places": {"version": 1, "servers": [{**ROW, "zone": "mars", "kind": "pebble"}]},
    "weight as text": {"version": 1, "servers": [{**ROW, "weight": "2.5"}]},
    "further members": {"version": 1, "servers": [{**FULL_ROW, "colour": "red"}], "more": 1},
    "no id": {"servers": [{"addr": "127.0.0.1:1"}]},
    "id a number": {"servers": [{**ROW, "id": 5}]},
    "no address": {"servers": [{"id": "s"}]},
    "bad port": {"servers": [{**ROW, "addr": "x:y"}]},
    "odd state": {"servers": [{**ROW, "state": "odd"}]},
    "bad weight": {"servers": [{**ROW, "weight": -1}]},
    "row a number": {"servers": [5]},
    "rows a number": {"servers": 5},
    "bad version": {"version": "x"},
    "a list": [],
}
REPORT_TEXTS = (
    "TEXT util=0.6, queue=2, x0=1.5",
    " TEXT x0 = 1.5,queue=2 ,zone=a",
    "TEXT util=0",
    "TEXT queue=2",
    "TEXT",
    "TEXT ",
    "",
    "JSON queue=2",
    "TEXT queue",
    "TEXT queue=many",
    "TEXT queue=-1",
    "TEXT queue=nan",
    "TEXT x0=1e400",
    "TEXT queue=1000000",
    "TEXT queue=1000001",
)
REPORT_OBJECTS: tuple[object, ...] = (
    {"queue": 2, "x0": 1.5},
    {"queue": "2", "other": "x"},
    {"queue": True},
    {"queue": None},
    {"other": 1},
    {},
    None,
    "TEXT queue=2",
    [1],
)
REPORT_BODIES = (
    b'{"queue":2,"x0":1.5}',
    b' \n{"queue":"2"}',
    b'{"queue":-1}',
    b"{",
    b"",
    b"\xff",
    b"TEXT queue=2, x0=1.5",
)
HOWS = ("answers", "probe", "none")


def answer_of_discovery(data: object, status: int = 200) -> bytes:
    body = json.dumps(data).encode()
    return b"HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body


def wire_samples() -> dict[str, Sample]:
    found: dict[str, Sample] = {
        "call/plain": lambda: call_bytes("/revalue", b"{}", "", 480),
        "call/empty body": lambda: call_bytes("/revalue", b"", "", 480),
        "call/keyed": lambda: call_bytes("/nav-publish/x?user=1", b"\x00\xff", "k-1", 5_000),
        "call/no time left": lambda: call_bytes("/revalue", b"{}", "", -5),
        "give up": give_up_bytes,
        "list/whole": lambda: list_call(None),
        "list/watch": lambda: list_call(4),
        "list/watch from 0": lambda: list_call(0, 0.0),
        "list/watch for a part of a second": lambda: list_call(123456789, 1.2345),
    }
    for how in HOWS:
        found[f"probe/{how}"] = lambda how=how: probe_bytes(how)
    for name, data in WORKER_ANSWERS.items():
        found[f"call answer/{name}"] = lambda data=data: call_ended(data)
    found["call answer/nothing written"] = lambda: call_ended(b"", written=False)
    for name, data in LISTS.items():
        found[f"list answer/{name}"] = lambda data=data: list_read(answer_of_discovery(data))
    whole = LISTS["complete"]
    found["list answer/500"] = lambda: list_read(answer_of_discovery(whole, 500))
    found["list answer/to the end"] = lambda: list_read(
        b"HTTP/1.0 200 OK\r\n\r\n" + json.dumps(whole).encode()
    )
    found["list answer/chunked"] = lambda: list_read(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"
    )
    for name in ("complete", "changes", "gone", "places by number", "without full", "empty"):
        found[f"list kept/{name}"] = lambda data=LISTS[name]: list_written(data)
    for name, data in ACCEPTED_REQUESTS.items():
        found[f"message/request {name}"] = lambda data=data: message_read(data, False)
    for name, data in WORKER_ANSWERS.items():
        found[f"message/answer {name}"] = lambda data=data: message_read(data, True)
    return found | report_samples()


def report_samples() -> dict[str, Sample]:
    """Load reports in every form and place, under every setting."""
    found: dict[str, Sample] = {}
    for how in HOWS:
        for text in REPORT_TEXTS:
            found[f"report/{how}/header/{text!r}"] = lambda a=("header", how, text): report_read(*a)
        for given in REPORT_OBJECTS:
            name = f"report/{how}/news/{json.dumps(given)}"
            found[name] = lambda a=("news", how, given): report_read(*a)
        for body in (*REPORT_BODIES, *map(str.encode, REPORT_TEXTS)):
            found[f"report/{how}/probe/{body!r}"] = lambda a=("probe", how, body): report_read(*a)
    return found


# -- configuration --------------------------------------------------------------------------------

IDENTITY = '[identity]\nkeys = "keys.json"\nissuer = "i"\naudience = "a"\n'
CALLER = """[[identity.caller]]
name = "a"
subjects = ["s"]
tenants = ["hron-asset"]
classes = ["revalue"]
"""
TLS = '[identity.tls]\nlisten = "127.0.0.1:1"\ncertificate = "c"\nkey = "k"\nclients_ca = "a"\n'
GEARMAN = '[gearman]\nlisten = "127.0.0.1:4730"\n'
FLEET = '[fleet]\nlisten = "127.0.0.1:7946"\ncluster = "c"\n'
LEASES = '[leases]\nvoters = ["d1", "d2", "d3"]\n'
GOOD_OPERATOR_FILES = {
    "none": None,
    "empty": "",
    "gearman": GEARMAN + 'tenant = "hron-asset"\n',
    "fleet and leases": FLEET + LEASES,
    "identity": IDENTITY + CALLER,
    "all": GEARMAN + IDENTITY + CALLER + FLEET + LEASES,
}
WRONG_CONFIGURATIONS: dict[str, list[object]] = {
    "listen": ["nowhere", "127.0.0.1:0", "127.0.0.1:99999", ":80", None],
    "discovery": ["nowhere", "127.0.0.1:99999", None],
    "operator": ["nowhere", "127.0.0.1:x"],
    "seed": ["xyz"],
    "limits.cores": [0, -1, "much"],
    "limits.memory_mb": [0, "much"],
    "limits.sockets": [0, -5, "many"],
    "known": [[1], "x"],
    "settings": [None, [], "x"],
    "settings.services": [[], None],
    "settings.services.0.deadline_us": [0, "soon", None, 1.5],
    "settings.services.0.goal_time_us": [-5, 0, "soon"],
    "settings.services.0.effect": ["odd", ""],
    "settings.services.0.worth": ["much", "nan", "inf"],
    "settings.services.0.late_worth": ["much"],
    "settings.services.1.key_scope": ["planet"],
    "settings.services.1.window_us": [-1, "long"],
    "settings.extra.class_kind": [[1], ["x", 1, 2]],
    "settings.extra.class_stretch": [[1.0], ["x", 1, 2]],
    "settings.extra.tells_start": ["maybe"],
    "settings.projects.0.quota_per_s": ["many"],
    "settings.over_share_worth": ["x"],
    "settings.fleet_size": [0, "x"],
    "settings.zone": ["x"],
    "settings.zones": [["a,b"]],
    "settings.kinds": [["a,b"]],
    "settings.quantum_us": ["x"],
    "settings.limits.try_limit": [0, "x"],
    "settings.limits.probing": ["maybe"],
    "settings.limits.cancelling": ["maybe"],
    "settings.limits.may_duplicate": ["maybe"],
    "settings.limits.retry_after": [2],
    "settings.limits.max_retry_after_us": [-1, "x"],
    "settings.limits.conn_idle_us": [-1, "x"],
    "settings.limits.dial_timeout_us": [0, "x"],
    "settings.limits.max_open": [0, "x"],
    "settings.load_report.how": ["sometimes"],
    "settings.load_report.columns": [["queue", "queue"], ["a,b"]],
    "settings.deductions.cross_zone": ["x"],
    "settings.deductions.handshake": ["x"],
    "settings.deductions.probe": ["x"],
    "settings.safety.must_ask_in_us": [-1, "x"],
    "settings.safety.stop_sending_within_us": [-1, "x"],
    "settings.safety.cold_share": [1.5, -0.5, "x"],
    "settings.safety.warm_within_us": [-1, "x"],
    "settings.safety.fall_multiple": [-1, "x"],
    "settings.safety.tip_after_us": [-1, "x"],
    "settings.safety.grace_to_answer_us": [-1, "x"],
}
# Where the message names another key than the one that was changed.
NAMED_INSTEAD = {"settings.services": "services.count"}
# Each: the file's text and the key's path that the message names.
WRONG_OPERATOR_FILES: list[tuple[str, str]] = [
    ("[xds]\n", "xds"),
    ("[gearman\n", "operator.toml"),
    ("[gearman]\n", "gearman"),
    *[
        (GEARMAN.replace("127.0.0.1:4730", address), "gearman.listen")
        for address in ("127.0.0.1", "127.0.0.1:99999", "a b:1")
    ],
    *[
        (f"{GEARMAN}{line}\n", f"gearman.{line.partition(' ')[0]}")
        for line in (
            'tenant = "nobody"',
            "tenant = 1",
            "allow_shutdown = 1",
            'queue = "x"',
            "queue = -1",
            "queue = 10001",
            "queue_wait_ms = 0",
            "keep_s = 0",
            "keep_most = 1000001",
            "jobs_a_connection = 0",
        )
    ],
    (GEARMAN + "quue = 1\n", "quue"),
    *[
        (f"{GEARMAN}[gearman.worker]\n{line}\n", f"gearman.worker.{line.partition(' ')[0]}")
        for line in (
            'zone = "mars"',
            'kind = "pebble"',
            'cell = "x"',
            "slots = 0",
            "slots = 1025",
            "weight = 0",
        )
    ],
    *[
        (IDENTITY.replace(line, ""), line.partition(" ")[0])
        for line in ('keys = "keys.json"\n', 'issuer = "i"\n', 'audience = "a"\n')
    ],
    (IDENTITY.replace('"i"', '""'), "identity.issuer"),
    (IDENTITY.replace('"a"', '""'), "identity.audience"),
    *[
        (f"{IDENTITY}{line}\n", f"identity.{line.partition(' ')[0]}")
        for line in (
            "leeway_s = 61",
            "token_bytes = 255",
            "token_bytes = 12289",
            "longest_s = 0",
            "cache = 0",
            'workers = "x"',
            'news = "maybe"',
            "admins = [1]",
            'audit = "xml"',
            "audit_allowed = 1",
            "denials_per_s = 0",
            'methods = {mining = ["token"]}',
            'methods = {revalue = ["word"]}',
            "methods = {revalue = []}",
        )
    ],
    (IDENTITY + '[[identity.caller]]\nname = "a"\n', "identity.caller[0]"),
    *[
        (IDENTITY + CALLER.replace(old, new), key)
        for old, new, key in (
            ('name = "a"', 'name = ""', "identity.caller[0].name"),
            ('["s"]', "[]", "identity.caller[0].subjects"),
            ('["s"]', '["worker/s"]', "identity.caller[0].subjects"),
            ("revalue", "mining", "identity.caller[0].classes"),
            ("hron-asset", "nobody", "identity.caller[0].tenants"),
        )
    ],
    *[
        (f"{IDENTITY}{CALLER}{line}\n", f"identity.caller[0].{line.partition(' ')[0]}")
        for line in ('state = "odd"', "rate_per_s = -1", "burst = 0", "most_open = -1")
    ],
    (IDENTITY + CALLER + CALLER, "identity.caller[1].name"),
    (IDENTITY + CALLER + CALLER.replace('name = "a"', 'name = "b"'), "identity.caller[1].subjects"),
    (IDENTITY + TLS.replace(":1", ":99999"), "identity.tls.listen"),
    (IDENTITY + TLS + 'gearman_listen = "127.0.0.1:1"\n', "identity.tls.gearman_listen"),
    *[
        (f"{IDENTITY}{TLS}{line}\n", f"identity.tls.{line.partition(' ')[0]}")
        for line in (
            'gearman_listen = "x"',
            'clients = "some"',
            'least = "1.1"',
            "crl = 1",
            'names = ["mail"]',
        )
    ],
    *[
        (IDENTITY + TLS.replace(line, ""), line.partition(" ")[0])
        for line in ('certificate = "c"\n', 'key = "k"\n', 'clients_ca = "a"\n')
    ],
    (FLEET.replace('cluster = "c"', ""), "cluster"),
    (FLEET.replace('"c"', '"a b"'), "fleet.cluster"),
    (FLEET.replace("127.0.0.1:7946", "localhost:7946"), "fleet.listen"),
    (FLEET.replace("7946", "99999"), "fleet.listen"),
    *[
        (f"{FLEET}{line}\n", f"fleet.{line.partition(' ')[0]}")
        for line in (
            'advertise = "x"',
            'advertise = "127.0.0.1:99999"',
            'seeds = ["x"]',
            'seeds = ["127.0.0.1:1", "127.0.0.1:99999"]',
            "share_maintenance = 1",
            "follow_size = 1",
            "hold_s = 0",
            "period_ms = 9",
            "timeout_ms = 600001",
            "helpers = 17",
            "suspicion = 0.5",
            "slack = 101",
            "confirmations = -1",
            "gossip = 33",
            "sync_ms = 1",
            "reach_ms = 1",
            "young_s = 0",
            "health = 33",
            "forget_s = 59",
            "most = 1",
            'log = "xml"',
        )
    ],
    (LEASES, "leases needs [fleet]"),
    (FLEET + "[leases]\n", "voters"),
    (FLEET + "[leases]\nvoters = []\n", "leases.voters"),
    (FLEET + '[leases]\nvoters = ["d1", "d1"]\n', "leases.voters[1]"),
    (FLEET + '[leases]\nvoters = ["d 1"]\n', "leases.voters"),
    *[
        (f"{FLEET}{LEASES}{line}\n", f"leases.{line.partition(' ')[0]}")
        for line in (
            'old_voters = ["d1", "d1"]',
            "drift = 0",
            "drift = 0.3",
            "longest_s = 0.5",
            "longest_s = 1.1",
            "longest_s = 2\nprobe_sweep = true",
            "timeout_ms = 9",
            "turn_ms = 9",
            "most = 0",
            "most_sessions = 0",
            "probe_sweep = 1",
            'log = "xml"',
        )
    ],
]


def config_values(data: dict) -> object:
    """The configuration as the program holds it: values in the order of the fields."""
    return plain(config_from(data, {}))


def operator_values(text: str) -> object:
    """The operator's file as the program holds it: values in the order of the fields."""
    import msgspec

    from stepstream.config.operator_file import read_operator

    with written_files(operator=text) as files:
        read = read_operator(str(files / "operator.toml"), settings_of())

    def values(part: object) -> object:
        if isinstance(part, msgspec.Struct):
            return [values(value) for value in msgspec.structs.astuple(part)]
        if isinstance(part, tuple):
            return [values(value) for value in part]
        return plain(part)

    return values(read)


@contextlib.contextmanager
def written_files(config: object = None, operator: str | None = None) -> Iterator[Path]:
    """A folder with config.json (text as it is, anything else as JSON) and operator.toml."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        if config is not None:
            (folder / "config.json").write_text(
                config if isinstance(config, str) else json.dumps(config), encoding="utf-8"
            )
        if operator is not None:
            (folder / "operator.toml").write_text(operator, encoding="utf-8")
        yield folder


def check_config(config: object, operator: str | None = None, **environment: str) -> dict:
    """`check-config` on these files; the folder's name is taken out of what it prints."""
    with written_files(config, operator) as folder:
        words = ["check-config"]
        if operator is not None:
            words += ["--operator", str(folder / "operator.toml")]
        told = command_line(*words, EDGE_CONFIG=str(folder / "config.json"), **environment)
        for stream in ("out", "err"):
            told[stream] = told[stream].replace(str(folder), "FOLDER")
        return told


def faulty(config: object, key: str, operator: str | None = None) -> dict:
    """As `check_config`, and the key's path that the message must name."""
    return {**check_config(config, operator), "key": key}


def named_key(path: str) -> str:
    """How the message names a key: the settings' own pairs have no prefix."""
    if path in NAMED_INSTEAD:
        return NAMED_INSTEAD[path]
    return path.removeprefix("settings.")


def config_samples() -> dict[str, Sample]:
    found: dict[str, Sample] = {}
    for name, text in GOOD_OPERATOR_FILES.items():
        found[f"good/operator {name}"] = lambda text=text: check_config(CONFIG, text)
        if text is not None:
            found[f"values/operator {name}"] = lambda text=text: operator_values(text)
    found["good/no tenants"] = lambda: check_config(changed("settings.projects", []))
    found["good/address of the environment"] = lambda: check_config(
        {key: value for key, value in CONFIG.items() if key not in ("listen", "name")},
        EDGE_LISTEN="127.0.0.1:9",
        EDGE_NAME="n9",
    )
    least = {
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "settings": {"services": [{"deadline_us": 1}]},
    }
    found["good/least"] = lambda: check_config(least)
    found["values/full"] = lambda: config_values(CONFIG)
    found["values/least"] = lambda: config_values(least)
    found["bad/no file named"] = lambda: {**command_line("check-config"), "key": "EDGE_CONFIG"}
    found["bad/no file"] = lambda: faulty(None, "EDGE_CONFIG")
    found["bad/no JSON"] = lambda: faulty("{", "EDGE_CONFIG")
    found["bad/a list"] = lambda: faulty("[]", "EDGE_CONFIG")
    for path, values in WRONG_CONFIGURATIONS.items():
        for value in values:
            case = changed(path, value), named_key(path)
            found[f"bad/{path}={json.dumps(value)}"] = lambda case=case: faulty(*case)
    for number, (text, key) in enumerate(WRONG_OPERATOR_FILES):
        name = f"bad operator/{number:03} {key}"
        found[name] = lambda a=(CONFIG, key, text): faulty(*a)
    return found


# -- the command line -----------------------------------------------------------------------------

COMMAND_LINES: dict[str, tuple[str, ...]] = {
    "help": ("--help",),
    "help short": ("-h",),
    "help fleet": ("fleet", "--help"),
    "help lease": ("lease", "--help"),
    "version": ("version",),
    "nothing": (),
    "unknown command": ("dance",),
    "unknown option": ("serve", "--quick"),
    "serve without configuration": ("serve",),
    "fleet without command": ("fleet",),
    "fleet unknown command": ("fleet", "dance"),
    "fleet members without address": ("fleet", "members"),
    "fleet members bad address": ("fleet", "members", "--at", "nowhere"),
    "fleet members nobody there": ("fleet", "members", "--at", "127.0.0.1:1"),
    "lease without command": ("lease",),
    "lease unknown command": ("lease", "dance"),
    "lease run without command": ("lease", "run", "x"),
    "lease list bad address": ("lease", "list", "--at", "nowhere"),
    "lease list nobody there": ("lease", "list", "--at", "127.0.0.1:1"),
    "lease run bad ttl": ("lease", "run", "x", "--at", "127.0.0.1:1", "--ttl", "x", "--", "true"),
    "lease run bad wait": ("lease", "run", "x", "--at", "127.0.0.1:1", "--wait", "0", "--", "true"),
    "lab bad number": ("lab", "fleet", "--members", "x"),
    "demo bad number": ("demo", "--seconds", "x"),
    "keys without folder": ("keys", "new"),
    "token without words": ("token", "issue"),
    "token inspect nothing": ("token", "inspect", "x"),
    "identity explain without configuration": (
        *("identity", "explain", "--operator", "x", "--token", "x", "--class", "x"),
    ),
}


def command_samples() -> dict[str, Sample]:
    return {name: lambda words=words: command_line(*words) for name, words in COMMAND_LINES.items()}


# -- builders: identity ---------------------------------------------------------------------------

NOW_S = 1_900_000_000
TIME_STAMP = re.compile(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z")


class Guarded:
    """The gate of an operator's file with [identity], its clock at NOW_S, and its audit lines."""

    def __init__(self, folder: Path, form: str = "json", denials_per_s: int = 20) -> None:
        from stepstream.config.operator_file import read_operator
        from stepstream.identity.access_control import IdentityAccessControl
        from stepstream.identity.audit import AuditLog
        from stepstream.identity.configuration import load_identity

        section = read_operator(str(folder / "operator.toml"), settings_of()).identity
        self.gate = IdentityAccessControl(load_identity(section), now=lambda: NOW_S)
        self.stream = io.StringIO()
        self.now_s = 1.0
        audit_log = AuditLog(
            form,
            denials_per_s,
            include_allowed=True,
            stream=self.stream,
            now=lambda: self.now_s,
        )
        self.gate.rules = dataclasses.replace(self.gate.rules, audit_log=audit_log)

    def later(self, seconds: float) -> None:
        self.now_s += seconds

    def audit(self) -> str:
        return TIME_STAMP.sub("TIME", self.stream.getvalue())


def issued(folder: Path, claims: dict, kid: str) -> str:
    from stepstream.identity.key_rotation import SigningKeyStore

    return SigningKeyStore(folder).issue_token(claims, kid)


@contextlib.contextmanager
def still_clock() -> Iterator[None]:
    """The commands' clock stands at NOW_S, and what they draw at random is zeros."""
    with (
        mock.patch("time.time", return_value=float(NOW_S)),
        mock.patch("secrets.token_hex", lambda size: "0" * 2 * size),
    ):
        yield


# -- builders: Gearman ----------------------------------------------------------------------------


def gearman_kinds(answers: bool) -> dict[int, int]:
    """How many arguments each kind of packet has, by its number."""
    from stepstream.gearman import codec

    forms = codec.ANSWERS if answers else codec.REQUESTS
    return {int(kind): len(names) for kind, names in forms.items()}


def gearman_written(answers: bool, number: int, args: tuple[bytes, ...]) -> bytes:
    from stepstream.gearman import codec

    return (codec.answer if answers else codec.request)(codec.Kind(number), *args)


def gearman_read(answers: bool, data: bytes) -> object:
    """What the codec reads: packets as number and arguments, text as words, or the fault's code."""
    from stepstream.gearman import codec
    from stepstream.gearman.errors import GearmanError

    parser, found = codec.Parser(LIMITS, answers=answers), []
    parser.feed(data)
    try:
        while (item := parser.next()) is not None:
            match item:
                case codec.Packet(kind, args):
                    found.append([int(kind), *map(text_of, args)])
                case codec.Unknown(number):
                    found.append({"unknown": number})
                case codec.Line(words):
                    found.append({"words": list(words)})
    except GearmanError as fault:
        found.append({"fault": fault.code})
    return found


def gearman_talk(script: list[tuple[str, object]], guarded: Guarded | None = None) -> list:
    """What each peer gets after each step: (peer, bytes that it sends), ("later", microseconds) or
    ("answer", (outcome, result, microseconds to wait)) of the first job.

    The steps play on the service, the core and the policy without a socket.
    """
    from gearman_helpers import FakePeer, ServiceHarness

    got: list[list[str]] = []

    class Recorder(FakePeer):
        """A peer of the harness that keeps the bytes that it is sent."""

        def receive(self, data: bytes, close: bool) -> None:
            got.append([self.name, text_of(data), "close" if close else "stays"])

    harness, peers, told = ServiceHarness(), {}, []
    if guarded is not None:
        harness.host.access_control = guarded.gate
    for peer, what in script:
        got.clear()
        if peer == "later":
            harness.advance(what)
        elif peer == "answer":
            job = next(iter(harness.state.jobs.by_handle.values()))
            outcome, result, pause_us = what
            answer = Answer(job.request, Outcome(outcome), result, pause_us)
            harness.service.answer(harness.now_us, job, answer)
            harness.settle()
        else:
            if peer not in peers:
                peers[peer] = Recorder(harness)
                peers[peer].name = peer
                harness.peers.append(peers[peer])
            peers[peer].send_bytes(what)
        told.append([list(row) for row in got])
    return told


# -- builders: the program ------------------------------------------------------------------------


def status_line(*sections: str) -> str:
    """The status event of a program that has not begun to serve."""
    from stepstream.config.operator_file import read_operator
    from stepstream.node.node import Node

    error = io.StringIO()
    with key_folder() as folder, contextlib.redirect_stderr(error):
        path = folder / "operator.toml"
        path.write_text("".join(sections))
        operator = read_operator(str(path), settings_of()) if sections else None
        config = config_from({**CONFIG, "operator": ""}, {})
        node = Node(config, operator, str(path))
        counts = node.decision_thread.outcome_counts
        counts.update({outcome: 5 + k for k, outcome in enumerate(counts)})
        node.server.rejected_count, node.outbound.pool.open_count = 1, 2
        (
            node.unreadable_load_reports.count,
            node.unreadable_answers.count,
            node.failed_discovery_calls.count,
        ) = 3, 4, 9
        node.log_status()
    return error.getvalue()


# -- identity -------------------------------------------------------------------------------------

MATERIAL = "key_material"
ALGORITHMS = {"ed": "EdDSA", "es": "ES256", "rs": "RS256"}
CLAIMS = {"iss": "https://issuer.test", "aud": "stepstream", "iat": NOW_S, "exp": NOW_S + 60}
GUARDED_FILE = """[identity]
keys = "{folder}/keys.json"
issuer = "https://issuer.test"
audience = "stepstream"
admins = ["root"]
workers = ["worker/"]
audit_allowed = true
[identity.methods]
nav-publish = ["certificate"]
[[identity.caller]]
name = "portal"
subjects = ["portal"]
tenants = ["tatra-invest"]
classes = ["revalue"]
[[identity.caller]]
name = "publisher"
subjects = ["publisher"]
tenants = ["*"]
classes = ["*"]
[[identity.caller]]
name = "slow"
subjects = ["slow"]
tenants = ["*"]
classes = ["*"]
rate_per_s = 0.01
[[identity.caller]]
name = "narrow"
subjects = ["narrow"]
tenants = ["*"]
classes = ["*"]
most_open = 1
[[identity.caller]]
name = "off"
subjects = ["off"]
tenants = ["*"]
classes = ["*"]
state = "suspended"
"""
# Each: the claims that differ and the key that signs; None takes a claim out.
TOKENS: dict[str, tuple[dict, str]] = {
    "portal": ({"sub": "portal"}, "ed"),
    "publisher": ({"sub": "publisher", "jti": "1"}, "rs"),
    "slow": ({"sub": "slow"}, "ed"),
    "narrow": ({"sub": "narrow"}, "ed"),
    "suspended": ({"sub": "off"}, "ed"),
    "stranger": ({"sub": "stranger"}, "ed"),
    "root": ({"sub": "root"}, "ed"),
    "worker": ({"sub": "worker/s-1"}, "ed"),
    "other worker": ({"sub": "worker/s-2"}, "ed"),
    "expired": ({"sub": "portal", "exp": NOW_S - 6, "iat": NOW_S - 60}, "ed"),
    "not yet": ({"sub": "portal", "nbf": NOW_S + 30}, "ed"),
    "wrong audience": ({"sub": "portal", "aud": "x"}, "ed"),
    "wrong issuer": ({"sub": "portal", "iss": "x"}, "ed"),
    "no expiry": ({"sub": "portal", "exp": None}, "ed"),
    "no subject": ({}, "ed"),
    "too long lived": ({"sub": "portal", "exp": NOW_S + 90_000}, "ed"),
    "revoked key": ({"sub": "portal"}, "gone"),
    "retired key": ({"sub": "portal"}, "past"),
    "coming key": ({"sub": "portal"}, "soon"),
}
BROKEN_TOKENS = {"no token at all": "x", "too long": "x" * 5000, "two parts": "abc.def"}
ALL_TOKENS = ("none", *TOKENS, *BROKEN_TOKENS, "changed signature", "recorded ES256")


def make_material() -> dict:
    """Keys and an ES256 token, made once: the samples that were recorded rest on them."""
    files = {}
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        made = {**ALGORITHMS, "gone": "EdDSA", "past": "EdDSA", "soon": "EdDSA"}
        with mock.patch("time.time", return_value=float(NOW_S - 3600)):
            for kid, algorithm in made.items():
                command_line("keys", "new", "--dir", name, "--alg", algorithm, "--kid", kid)
        data = json.loads((folder / "keys.json").read_text())
        changes = {
            "gone": {"state": "revoked"},
            "past": {"state": "retiring", "not_after": NOW_S - 10},
            "soon": {"state": "next", "not_before": NOW_S + 10},
        }
        data["keys"] = [{**row, **changes.get(row["kid"], {})} for row in data["keys"]]
        token = issued(folder, {**CLAIMS, "sub": "portal"}, "es")
        files = {path.name: path.read_text() for path in sorted(folder.glob("*.pem"))}
        files["keys.json"] = json.dumps(data, indent=1) + "\n"
    return {"files": files, "es": token}


@contextlib.contextmanager
def key_folder() -> Iterator[Path]:
    """A folder with the recorded keys, operator.toml that names them, and config.json."""
    with written_files(CONFIG) as folder:
        for name, text in recorded(MATERIAL)["files"].items():
            (folder / name).write_text(text)
        (folder / "operator.toml").write_text(GUARDED_FILE.format(folder=folder))
        yield folder


def token(folder: Path, name: str) -> str | None:
    if name == "none":
        return None
    if name == "changed signature":
        return token(folder, "portal")[:-6] + "AAAAAA"
    if name == "recorded ES256":
        return recorded(MATERIAL)["es"]
    if name in BROKEN_TOKENS:
        return BROKEN_TOKENS[name]
    claims, kid = TOKENS[name]
    told = {key: value for key, value in {**CLAIMS, **claims}.items() if value is not None}
    return issued(folder, told, kid)


def token_text(name: str) -> str | None:
    with key_folder() as folder:
        return token(folder, name)


def keys_command(*words: str, prepare: tuple[tuple[str, ...], ...] = ()) -> dict:
    """A `keys` or `token` command on a folder of its own, and the files that it leaves there.

    What a key is made of is random: its text is replaced by its length.
    """
    with tempfile.TemporaryDirectory() as name, still_clock():
        for earlier in prepare:
            command_line(*earlier, "--dir", name)
        told = command_line(*words, "--dir", name)
        told["files"] = {path.name: file_form(path) for path in sorted(Path(name).iterdir())}
        for stream in ("out", "err"):
            told[stream] = told[stream].replace(name, "FOLDER")
        return told


def file_form(path: Path) -> dict:
    text = path.read_text()
    if path.suffix == ".pem":
        lines = text.splitlines()
        longest = max(map(len, lines[1:-1]))
        told: object = [lines[0], lines[-1], longest, text.endswith("\n")]
    else:
        told = re.sub(r'"(x|y|n)":( ?)"([^"]*)"', lambda m: f'"{m[1]}":{m[2]}{len(m[3])}', text)
    return {"mode": oct(path.stat().st_mode), "form": told}


def on_key_folder(*words: str) -> dict:
    """A command on the recorded keys."""
    with key_folder() as folder, still_clock():
        told = command_line(*words, "--dir", str(folder))
        for stream in ("out", "err"):
            told[stream] = told[stream].replace(str(folder), "FOLDER")
        return told


def issue_words(kid: str) -> tuple[str, ...]:
    names = ("--subject", "portal", "--issuer", "https://issuer.test", "--audience", "stepstream")
    return ("token", "issue", *names, "--kid", kid, "--ttl", "60")


def issued_by_command(kid: str) -> dict:
    """The token as it is printed; of ES256, whose signatures are random, all but the signature."""
    told = on_key_folder(*issue_words(kid))
    if kid == "es":
        told["out"] = told["out"].rpartition(".")[0]
    return told


def explained(name: str, kind: str, tenant: str | None, keys: str | None = None) -> dict:
    """`identity explain` on a token; `keys`: another text of keys.json."""
    with key_folder() as folder, still_clock():
        said = token(folder, name)
        if keys is not None:
            (folder / "keys.json").write_text(keys)
        words = ["identity", "explain", "--operator", str(folder / "operator.toml")]
        words += ["--token", said, "--class", kind]
        words += ["--tenant", tenant] if tenant else []
        told = command_line(*words, EDGE_CONFIG=str(folder / "config.json"))
        for stream in ("out", "err"):
            told[stream] = told[stream].replace(str(folder), "FOLDER")
        return told


def inspected(name: str) -> dict:
    return command_line("token", "inspect", token_text(name))


def bearing(said: str | None, head: str = "") -> str:
    return head + (f"Authorization: Bearer {said}\r\n" if said else "")


def entered(name: str, form: str = "json", path: str = "/revalue", tenant: bool = True) -> dict:
    """A client's request with this token at the HTTP front, twice on one connection."""
    with key_folder() as folder:
        guarded = Guarded(folder, form)
        data = job(bearing(token(folder, name)), path)
        if not tenant:
            data = data.replace(b"Tenant: tatra-invest\r\n", b"")
        steps = converse(data, guarded.gate)
        again = converse(data.replace(b"Host: x", b"Connection: close"), guarded.gate)
        return {"steps": steps, "again, and close": again, "audit": guarded.audit()}


def news_entered(name: str) -> dict:
    """A worker's news with this token at the HTTP front."""
    with key_folder() as folder:
        guarded = Guarded(folder)
        head = bearing(token(folder, name)).encode()
        data = news(NEWS_BODIES["lost"]).replace(b"Host: x\r\n", b"Host: x\r\n" + head)
        return {"steps": converse(data, guarded.gate), "audit": guarded.audit()}


def flood(denials_per_s: int, requests: int) -> dict:
    """Denials past the bound are counted; the line that comes later says how many."""
    with key_folder() as folder:
        guarded = Guarded(folder, denials_per_s=denials_per_s)
        for _ in range(requests):
            converse(job(), guarded.gate)
        guarded.later(9.0)
        converse(job(), guarded.gate)
        return {"audit": guarded.audit()}


def gearman_entered(name: str) -> dict:
    """A client, a worker and an operator with this token at the Gearman front."""
    with key_folder() as folder:
        guarded, said = Guarded(folder), token(folder, name)
        told = [packet(OPTION_REQ, f"token:{said}")] if said else []
        client = [
            *told,
            packet(SUBMIT_JOB, "revalue", "", "x"),
            packet(SUBMIT_JOB, "hron-asset/revalue", "", "x"),
            packet(SUBMIT_JOB, "nav-publish", "k", "x"),
            packet(GET_STATUS, "H:n0:1"),
            packet(GET_STATUS_UNIQUE, "u"),
        ]
        worker = [*told, packet(SET_CLIENT_ID, "s-1"), packet(CAN_DO, "revalue")]
        operator = [*told, b"status\n", b"version\n", b"maxqueue x\n", b"shutdown\n"]
        script = [("c", data) for data in client] + [("w", data) for data in worker]
        talk = gearman_talk(script + [("o", data) for data in operator], guarded)
        return {"talk": talk, "audit": guarded.audit()}


def identity_samples() -> dict[str, Sample]:
    found: dict[str, Sample] = {}
    new = ("keys", "new", "--kid", "k1")
    following = ("keys", "new", "--kid", "k2", "--state", "next")
    for algorithm in ALGORITHMS.values():
        found[f"keys/new {algorithm}"] = lambda a=algorithm: keys_command(*new, "--alg", a)
    commands: dict[str, tuple[tuple[str, ...], tuple[tuple[str, ...], ...]]] = {
        "new without words": (("keys", "new"), ()),
        "new next": (following, ()),
        "new a second": (following, (new,)),
        "new twice": (new, (new,)),
        "new bad algorithm": (("keys", "new", "--alg", "HS256"), ()),
        "new bad name": (("keys", "new", "--kid", "a/b"), ()),
        "rotate without next": (("keys", "rotate"), (new,)),
        "rotate too early": (("keys", "rotate"), (new, following)),
        "rotate early": (("keys", "rotate", "--early", "--overlap", "100"), (new, following)),
        "rotate bad overlap": (("keys", "rotate", "--early", "--overlap", "x"), (new, following)),
        "revoke": (("keys", "revoke", "k1"), (new, following)),
        "revoke unknown": (("keys", "revoke", "k9"), (new,)),
        "list none": (("keys", "list"), ()),
        "list": (("keys", "list"), (new, following)),
        "issue without key": (issue_words("k1"), ()),
    }
    for name, (words, prepare) in commands.items():
        found[f"keys/{name}"] = lambda w=words, p=prepare: keys_command(*w, prepare=p)
    found["keys/list the recorded"] = lambda: on_key_folder("keys", "list")
    for kid in (*ALGORITHMS, "gone", "nobody"):
        found[f"token/issue {kid}"] = lambda kid=kid: issued_by_command(kid)
    for name in ("portal", "publisher", "recorded ES256", "no expiry", "two parts"):
        found[f"token/inspect {name}"] = lambda name=name: inspected(name)
    for name in TOKENS:
        found[f"token/text/{name}"] = lambda name=name: token_text(name)
    for name in ALL_TOKENS:
        for form in ("json", "console"):
            found[f"http/{name}/{form}"] = lambda name=name, form=form: entered(name, form)
        found[f"http/{name}/keyed class"] = lambda name=name: entered(name, path="/nav-publish")
        found[f"http/{name}/no tenant"] = lambda name=name: entered(name, tenant=False)
        found[f"http/{name}/news"] = lambda name=name: news_entered(name)
        found[f"gearman/{name}"] = lambda name=name: gearman_entered(name)
        if name != "none":
            found[f"explain/{name}"] = lambda name=name: explained(name, "revalue", "tatra-invest")
            found[f"explain/{name}/no tenant"] = lambda name=name: explained(name, "revalue", None)
    found["explain/portal/another class"] = lambda: explained("portal", "once", None)
    found["explain/portal/another tenant"] = lambda: explained("portal", "revalue", "hron-asset")
    found["explain/publisher/method"] = lambda: explained("publisher", "nav-publish", "hron-asset")
    for text in ("", "[]", "{}", '{"keys":[1]}', '{"keys":[{"kid":"a/b"}]}', '{"keys":[]}'):
        case = "portal", "revalue", None, text
        found[f"explain/keys.json {text}"] = lambda case=case: explained(*case)
    found["audit/left out"] = lambda: flood(2, 5)
    return found


# -- Gearman --------------------------------------------------------------------------------------

CAN_DO, CANT_DO, RESET_ABILITIES, PRE_SLEEP = 1, 2, 3, 4
SUBMIT_JOB, GRAB_JOB, WORK_STATUS, WORK_COMPLETE, WORK_FAIL = 7, 9, 12, 13, 14
GET_STATUS, ECHO_REQ, SUBMIT_JOB_BG, SUBMIT_JOB_HIGH, SET_CLIENT_ID = 15, 16, 18, 21, 22
CAN_DO_TIMEOUT, WORK_EXCEPTION, OPTION_REQ, WORK_DATA, WORK_WARNING = 23, 25, 26, 28, 29
GRAB_JOB_UNIQ, SUBMIT_JOB_LOW_BG, SUBMIT_JOB_SCHED, SUBMIT_REDUCE_JOB = 30, 34, 35, 37
GRAB_JOB_ALL, GET_STATUS_UNIQUE = 39, 41


def packet(number: int, *args: str | bytes) -> bytes:
    """What clients and workers send, by the published protocol alone."""
    data = b"\0".join(arg if isinstance(arg, bytes) else arg.encode() for arg in args)
    return struct.pack(">4sII", b"\0REQ", number, len(data)) + data


def by(peer: str, *sent: bytes) -> list[tuple[str, bytes]]:
    return [(peer, data) for data in sent]


JOIN = by(
    "w",
    packet(SET_CLIENT_ID, "w;start=1"),
    packet(CAN_DO, "revalue"),
    packet(CAN_DO_TIMEOUT, "nav-publish", "20"),
)
SUBMIT = by("c", packet(SUBMIT_JOB, "revalue", "u", "in\0put"))
GRAB = by("w", packet(GRAB_JOB))
EXCEPTIONS = by("c", packet(OPTION_REQ, "exceptions"))
FIRST_RUN = "H:n0:2"  # the handle that a worker gets for the first job
TEXT_COMMANDS = (
    b"workers\n",
    b"status\r\n",
    b"show jobs\n",
    b"show unique jobs\n",
    b"version\n",
    b"maxqueue tatra-invest/revalue 1\n",
    b"maxqueue tatra-invest/revalue\n",
    b"maxqueue\n",
    b"maxqueue revalue 1\n",
    b"maxqueue tatra-invest/revalue x\n",
    b"cancel job\n",
    b"cancel job H:none\n",
    b"shutdown\n",
    b"shutdown graceful\n",
)
AS_TEXT = by("o", *TEXT_COMMANDS)
COMPLETE = by("w", packet(WORK_COMPLETE, FIRST_RUN, "x"))
CANCEL = by("o", b"cancel job H:n0:1\n")
ASK_STATUS = (packet(GET_STATUS, "H:n0:1"), packet(GET_STATUS_UNIQUE, "u"))
CONVERSATIONS: dict[str, list[tuple[str, object]]] = {
    "served": JOIN + SUBMIT + GRAB + by("w", packet(WORK_COMPLETE, FIRST_RUN, "17.5"), *ASK_STATUS),
    "served by GRAB_JOB_UNIQ": JOIN + SUBMIT + by("w", packet(GRAB_JOB_UNIQ)),
    "served by GRAB_JOB_ALL": JOIN + SUBMIT + by("w", packet(GRAB_JOB_ALL)),
    "served by a sleeper": JOIN + by("w", packet(GRAB_JOB), packet(PRE_SLEEP)) + SUBMIT + GRAB,
    "served in pieces": JOIN
    + SUBMIT
    + GRAB
    + by(
        "w",
        packet(WORK_STATUS, FIRST_RUN, "1", "4"),
        packet(WORK_DATA, FIRST_RUN, "one"),
        packet(WORK_WARNING, FIRST_RUN, "careful"),
        packet(WORK_STATUS, FIRST_RUN, "2.0", "4.0"),
        *ASK_STATUS,
        packet(WORK_COMPLETE, FIRST_RUN, b"\0\xff"),
        *ASK_STATUS,
    ),
    "failed": JOIN + SUBMIT + GRAB + by("w", packet(WORK_FAIL, FIRST_RUN), *ASK_STATUS),
    "failed, with exceptions": JOIN
    + EXCEPTIONS
    + SUBMIT
    + GRAB
    + by("w", packet(WORK_EXCEPTION, FIRST_RUN, "why"), *ASK_STATUS)
    + [("later", 6_000_000)]
    + by("c", *ASK_STATUS),
    "failed, without exceptions": JOIN
    + SUBMIT
    + GRAB
    + by("w", packet(WORK_EXCEPTION, FIRST_RUN, "why"))
    + [("later", 6_000_000)]
    + by("c", *ASK_STATUS),
    "refused": SUBMIT + [("later", 6_000_000)] + by("c", *ASK_STATUS),
    "refused, with exceptions": EXCEPTIONS + SUBMIT + [("later", 6_000_000)],
    "background": JOIN
    + by("c", packet(SUBMIT_JOB_BG, "nav-publish", "u", "x"), *ASK_STATUS)
    + GRAB
    + by("w", packet(WORK_COMPLETE, FIRST_RUN, "x"))
    + by("c", *ASK_STATUS),
    "failed, must not run twice": by("w", packet(CAN_DO, "once"))
    + by("c", packet(SUBMIT_JOB, "once", "", "x"))
    + GRAB
    + by("w", packet(WORK_EXCEPTION, FIRST_RUN, "why"), packet(WORK_FAIL, FIRST_RUN)),
    "two submissions of one job": JOIN
    + by("c", packet(SUBMIT_JOB_HIGH, "tatra-invest/nav-publish+2", "u", "x"))
    + by("d", packet(SUBMIT_JOB, "nav-publish", "u", "x"), *ASK_STATUS)
    + GRAB
    + by("w", packet(WORK_COMPLETE, FIRST_RUN, "x")),
    "a worker drains": JOIN + by("w", packet(CANT_DO, "revalue"), packet(RESET_ABILITIES)) + GRAB,
    "text, nobody there": AS_TEXT,
    "text, a job waits": JOIN + SUBMIT + AS_TEXT,
    "text, a job runs": JOIN + SUBMIT + GRAB + AS_TEXT,
    "text, a job is over": JOIN + SUBMIT + GRAB + COMPLETE + AS_TEXT,
    "text, a job is cancelled": JOIN + SUBMIT + GRAB + CANCEL + AS_TEXT,
    "text, as many as maxqueue": by("o", b"maxqueue tatra-invest/revalue 1\n")
    + SUBMIT
    + by("c", packet(SUBMIT_JOB, "revalue", "v", "x")),
    "status of nothing": by("c", *ASK_STATUS),
}
FULL_ID = "w;zone=petrzalka;kind=old-blade;cell=2;slots=3;weight=2;start=7"
# What a new connection says, and gets an answer of its own.
WORDS: dict[str, bytes] = {
    "echo": packet(ECHO_REQ, b"a\0b"),
    "option exceptions": packet(OPTION_REQ, "exceptions"),
    "option unknown": packet(OPTION_REQ, "speed"),
    "token": packet(OPTION_REQ, "token:abc"),
    "grab by nobody": packet(GRAB_JOB),
    "work by nobody": packet(WORK_COMPLETE, "H:n0:1", "x"),
    "unknown packet": packet(99, "x"),
    "an answer's packet": packet(8, "x"),
    "not offered later": packet(SUBMIT_JOB_SCHED, *"fumhdowx"),
    "not offered reduce": packet(SUBMIT_REDUCE_JOB, "f", "u", "r", "w"),
    "unknown function": packet(SUBMIT_JOB, "dance", "", ""),
    "unknown tenant": packet(SUBMIT_JOB, "nobody/revalue", "", ""),
    "bad slots": packet(SUBMIT_JOB, "revalue+x", "", ""),
    "no unique": packet(SUBMIT_JOB, "nav-publish", "", ""),
    "unique by workload": packet(SUBMIT_JOB_LOW_BG, "nav-publish", "-", "x"),
    "long unique": packet(SUBMIT_JOB, "revalue", "u" * 257, ""),
    "large workload": packet(SUBMIT_JOB, "revalue", "", "x" * 65_537),
    "bad function": packet(CAN_DO, "a b"),
    "bad timeout": packet(CAN_DO_TIMEOUT, "revalue", "soon"),
    "bad id": packet(SET_CLIENT_ID, "a b"),
    "bad id part": packet(SET_CLIENT_ID, "w;colour=red"),
    "bad zone": packet(SET_CLIENT_ID, "w;zone=mars"),
    "bad slots of a worker": packet(SET_CLIENT_ID, "w;slots=0"),
    "full id": packet(SET_CLIENT_ID, FULL_ID),
    "argument missing": packet(SUBMIT_JOB, "revalue"),
    "argument too many": packet(GRAB_JOB, "x"),
    "bad magic": b"\0RES" + bytes(8),
    "packet too large": struct.pack(">4sII", b"\0REQ", ECHO_REQ, 10**6),
    "unknown text": b"dance\n",
    "empty text": b"\n",
    "text of bytes": b"\xff\xfe\n",
    "text without end": b"x" * 2000,
    "another protocol": b"GET / HTTP/1.1\r\n\r\n",
    "errors without end": packet(99) * 20,
}


def gearman_samples() -> dict[str, Sample]:
    found: dict[str, Sample] = {}
    for answers, side in ((False, "request"), (True, "answer")):
        for number, count in gearman_kinds(answers).items():
            args = tuple(f"a{place}".encode() for place in range(count))
            if args:
                args = (*args[:-1], b"\0\xff")
            case = (answers, number, args)
            found[f"{side}/{number:02}"] = lambda case=case: text_of(gearman_written(*case))
            found[f"{side} read/{number:02}"] = lambda case=case: gearman_read(
                case[0], gearman_written(*case)
            )
    for name, script in CONVERSATIONS.items():
        found[f"talk/{name}"] = lambda script=script: gearman_talk(script)
    outcomes = {
        **FINAL_ANSWERS,
        "served pieces": ("served", pieces((b"one", False), (b"care", True), last=b"end"), 0),
    }
    for name, answer in outcomes.items():
        script = [*SUBMIT, ("answer", answer), *by("c", *ASK_STATUS)]
        found[f"outcome/{name}"] = lambda script=script: gearman_talk(script)
        script = [*EXCEPTIONS, *script]
        found[f"outcome/{name}/exceptions"] = lambda script=script: gearman_talk(script)
    for name, data in WORDS.items():
        found[f"word/{name}"] = lambda data=data: gearman_talk([("c", data)])
        found[f"word read/{name}"] = lambda data=data: gearman_read(False, data)
    return found


# -- the running program --------------------------------------------------------------------------

PATIENCE = 20.0  # seconds that anything here may take on a busy machine
PLAIN = "stepstream: "  # what plain lines of the log begin with
# At the stop the thread that accepts may see its listener end before it sees that it was closed.
CHANCE = 'stepstream: warning accept_failed reason="[Errno 22]'
FIGURE = re.compile(r"(?<![A-Za-z])\d+(\.\d+)?")


class StandIn:
    """Listens on 127.0.0.1, keeps requests' bytes and answers by `reply(bytes)`; b"": silence."""

    def __init__(self, reply: Callable[[bytes], bytes]) -> None:
        self.reply, self.seen = reply, []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                peer, _ = self.listener.accept()
                threading.Thread(target=self.serve, args=(peer,), daemon=True).start()

    def serve(self, peer: socket.socket) -> None:
        with peer, contextlib.suppress(OSError):
            while data := whole_request(peer):
                self.seen.append(data)
                peer.sendall(self.reply(data))

    def request(self, first: bytes) -> bytes:
        """The first request that begins so, once it has come."""
        return wait_for(lambda: next((d for d in self.seen if d.startswith(first)), b""))


def whole_request(peer: socket.socket) -> bytes:
    """One message by its Content-Length; b"" at the end of the connection."""
    data = b""
    while HEAD_END.encode() not in data:
        piece = peer.recv(65536)
        if not piece:
            return b""
        data += piece
    head, _, body = data.partition(HEAD_END.encode())
    length = re.search(rb"(?i)content-length: (\d+)", head)
    need = int(length[1]) if length else 0
    while len(body) < need:
        body += peer.recv(65536)
    return head + HEAD_END.encode() + body


def wait_for(seen: Callable[[], object]) -> object:
    until = time.monotonic() + PATIENCE
    while not (found := seen()):
        if time.monotonic() > until:
            raise TimeoutError("nothing came")
        time.sleep(0.02)
    return found


def free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as held:
        probes = [held.enter_context(socket.create_server(("127.0.0.1", 0))) for _ in range(count)]
        return [probe.getsockname()[1] for probe in probes]


def exchange(port: int, data: bytes) -> bytes:
    with socket.create_connection(("127.0.0.1", port), timeout=PATIENCE) as peer:
        peer.sendall(data)
        return whole_request(peer)


class Running:
    """A dispatcher's process, a worker and a discovery that names it; ports stand as words."""

    def __init__(self, folder: Path, operator: str | None) -> None:
        """`operator`: the operator file's text, with {gearman}, {fleet} and {folder} in it."""
        self.worker = StandIn(self.on_worker)
        self.discovery = StandIn(self.on_discovery)
        names = ("http", "admin", "gearman", "fleet")
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))
        config = {**CONFIG, "listen": f"127.0.0.1:{self.ports['http']}"}
        config |= {"discovery": f"127.0.0.1:{self.discovery.port}", "known": {}}
        config["operator"] = f"127.0.0.1:{self.ports['admin']}" if operator else ""
        config["settings"] = {**CONFIG["settings"], "safety": {}}
        (folder / "config.json").write_text(json.dumps(config))
        words = [sys.executable, "-m", "stepstream", "serve"]
        if operator is not None:
            path = folder / "operator.toml"
            path.write_text(operator.format(folder=folder, **self.ports))
            words += ["--operator", str(path)]
        kept = {k: v for k, v in os.environ.items() if not k.startswith(OWN_VARIABLES)}
        kept.pop("TMPDIR", None)  # else a handover of another process could be found there
        environment = {**kept, "EDGE_CONFIG": str(folder / "config.json")}
        self.error = folder / "stderr"
        with self.error.open("wb") as stream:
            self.process = subprocess.Popen(words, cwd=ROOT, env=environment, stderr=stream)
        wait_for(self.ready)

    def on_discovery(self, data: bytes) -> bytes:
        if b"index=" in data.partition(b"\r\n")[0]:
            return b""
        row = {**ROW, "addr": f"127.0.0.1:{self.worker.port}", "zone": "petrzalka", "started_ms": 1}
        return answer_of_discovery({"version": 3, "full": True, "servers": [row]})

    def on_worker(self, data: bytes) -> bytes:
        return WORKER_ANSWERS["202" if data.startswith(b"POST") else "503"]

    def ready(self) -> bool:
        if self.process.poll() is not None:
            raise ChildProcessError(self.error.read_text())
        try:
            return exchange(self.ports["http"], READY).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def masked(self, text: str) -> str:
        """Ports by their names, times that pass as N."""
        ports = {**self.ports, "worker": self.worker.port, "discovery": self.discovery.port}
        for name, port in ports.items():
            text = text.replace(f"127.0.0.1:{port}", f"127.0.0.1:{name.upper()}")
        return re.sub(r"(Request-Timeout-Ms: )\d+", r"\1N", text)

    def stop(self) -> list[str]:
        """Ends it by SIGTERM; the plain lines of its log."""
        self.process.send_signal(signal.SIGTERM)
        self.process.wait(PATIENCE)
        lines = self.masked(self.error.read_text()).splitlines()
        return [line for line in lines if line.startswith(PLAIN) and not line.startswith(CHANCE)]


def log_forms(lines: list[str]) -> dict:
    """The lines until the stop as they are; of the status line and the stop the words alone."""
    at = next(
        place
        for place, line in enumerate(lines)
        if line.startswith("stepstream: info shutdown_started")
    )
    return {"start": lines[:at], "stop": [FIGURE.sub("N", line) for line in lines[at:]]}


@functools.cache
def plain_run() -> dict:
    """One process without an operator's file: a job that is served and one that is given up."""
    with tempfile.TemporaryDirectory() as name:
        made = Running(Path(name), None)
        try:
            return told_by(made)
        finally:
            made.process.kill()
            made.process.wait()


def told_by(made: Running) -> dict:
    http, told = made.ports["http"], {}
    with socket.create_connection(("127.0.0.1", http), timeout=PATIENCE) as client:
        client.sendall(job("Idempotency-Key: k-1\r\n", "/revalue?user=1").replace(b"480", b"4800"))
        call = made.worker.request(b"POST")
        body = NEWS_BODIES["done object"].replace('"a"', '"00000000000000aa"')
        told["news answer"] = text_of(exchange(http, news(body)))
        told["answer"] = text_of(whole_request(client))
    with socket.create_connection(("127.0.0.1", http), timeout=PATIENCE) as client:
        client.sendall(job().replace(b"00aa", b"00bb").replace(b"480", b"4800"))
        wait_for(lambda: any(b"00bb" in data for data in made.worker.seen))
    told["give up"] = made.masked(text_of(made.worker.request(b"DELETE")))
    told["call"] = made.masked(text_of(call))
    watch = made.discovery.request(b"GET /api/targets?index=3")
    told["watch"] = re.sub(r"wait=\d+", "wait=N", made.masked(text_of(watch)))
    told["list"] = made.masked(text_of(made.discovery.seen[0]))
    told["log"] = log_forms(made.stop())
    told["code"] = made.process.returncode
    return told


@functools.cache
def full_run() -> dict:
    """One process with every section of the operator's file: the lines of its log."""
    text = (
        GEARMAN.replace("4730", "{gearman}")
        + GUARDED_FILE
        + FLEET.replace("7946", "{fleet}")
        + '[leases]\nvoters = ["n0"]\nprobe_sweep = true\n'
    )
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for file, data in recorded(MATERIAL)["files"].items():
            (folder / file).write_text(data)
        made = Running(folder, text)
        try:
            return {"log": log_forms(made.stop()), "code": made.process.returncode}
        finally:
            made.process.kill()
            made.process.wait()


def program_samples() -> dict[str, Sample]:
    found: dict[str, Sample] = {
        "status line": status_line,
        "status line/gearman": lambda: status_line(GEARMAN),
    }
    for name in ("news answer", "answer", "give up", "call", "watch", "list", "log", "code"):
        found[f"plain run/{name}"] = lambda name=name: plain_run()[name]
    for name in ("log", "code"):
        found[f"full run/{name}"] = lambda name=name: full_run()[name]
    return found


# -- all ------------------------------------------------------------------------------------------

GROUPS: dict[str, Callable[[], dict[str, Sample]]] = {
    "http": http_samples,
    "wire": wire_samples,
    "config": config_samples,
    "commands": command_samples,
    "identity": identity_samples,
    "gearman": gearman_samples,
    "program": program_samples,
}


def recorded(group: str) -> dict[str, object]:
    return json.loads((RECORDED / f"{group}.json").read_text(encoding="ascii"))


def as_json(value: object) -> object:
    """A sample's value as it comes back from a recorded file."""
    return json.loads(json.dumps(value))


def write(name: str, data: dict) -> None:
    text = json.dumps(data, indent=1, sort_keys=True) + "\n"
    (RECORDED / f"{name}.json").write_text(text, encoding="ascii")


def record() -> None:
    RECORDED.mkdir(exist_ok=True)
    if not (RECORDED / f"{MATERIAL}.json").exists():
        write(MATERIAL, make_material())
    for group, samples in GROUPS.items():
        told = {name: sample() for name, sample in samples().items()}
        write(group, told)
        print(f"{group}: {len(told)} samples")


if __name__ == "__main__":
    if sys.argv[1:] != ["record"]:
        sys.exit("usage: front_samples.py record")
    record()
