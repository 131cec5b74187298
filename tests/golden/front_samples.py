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
import io
import json
import os
import sys
import tempfile
from collections.abc import Callable, Iterator
from pathlib import Path
from unittest import mock

HERE = Path(__file__).resolve().parent
ROOT = HERE.parent.parent
for folder in (ROOT, HERE.parent):
    if str(folder) not in sys.path:
        sys.path.insert(0, str(folder))

from stepstream import cli  # noqa: E402
from stepstream import dispatch as core  # noqa: E402
from stepstream.net import inbound, outbound, platform, reports  # noqa: E402
from stepstream.net.http1 import Message, Parser, ProtocolError, write_answer  # noqa: E402
from stepstream.net.limits import Limits  # noqa: E402
from stepstream.ports import Payload, Piece, Pieces  # noqa: E402
from stepstream.settings import config_from  # noqa: E402

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
    return reports.Reports(settings, complaints.append), complaints


def http_session(gate: object = None, **flags: bool) -> object:
    """An inbound connection without its socket; `flags` are those of the door that it goes by."""
    door = inbound.Door(platform.ClientSide(settings_of(), reports_reader()[0]))
    door.gate = gate
    for name, value in flags.items():
        setattr(door, name, value)
    return inbound.Session(LIMITS, door)


def step_of(step: object) -> dict:
    """What a session gives for what it read: bytes due, a request, or a worker's news."""
    match step:
        case inbound.Reply():
            return {"bytes": text_of(step.data), "close": step.close}
        case core.Request():
            return {"request": request_of(step)}
        case core.Told():
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
        "id": told.id,
        "from": told.worker,
        "news": told.news.value,
        "result": plain(told.result),
        "progress": plain(told.progress),
        "report": told.report,
    }


def converse(data: bytes, gate: object = None, **flags: bool) -> list[dict]:
    """The steps of a new session for these bytes; a fault is no step."""
    session = http_session(gate, **flags)
    return [step_of(step) for step in session.feed(data, NOW_US)]


def final_answer(outcome: str, result: object, pause_us: int, head: str = "") -> list[dict]:
    """A request's final answer on its connection."""
    session = http_session()
    (request,) = session.feed(job(head), NOW_US)
    answer = core.Answer(request, core.Outcome(outcome), result, pause_us)
    return [step_of(session.answer(answer))]


def pieces(*parts: tuple[bytes, bool], last: bytes) -> object:
    return Pieces(tuple(Piece(data, warning) for data, warning in parts), last)


def refusal_of_a_full_house(pause_us: int) -> str:
    return text_of(platform.refusal(pause_us, True))


def call_bytes(path: str, body: bytes, key: str, timeout_ms: int) -> str:
    payload = Payload(path, body, key)
    return text_of(platform.call_bytes("127.0.0.1:9000", "00000000000000aa", payload, timeout_ms))


def give_up_bytes() -> str:
    return text_of(platform.give_up_bytes("127.0.0.1:9000", "00000000000000aa"))


def probe_bytes(how: str) -> str:
    path = platform.LOAD if reports_reader(how)[0].in_probes else platform.HEALTHY
    return text_of(platform.probe_bytes("127.0.0.1:9000", path))


def list_call(version: int | None, wait_s: float = 30.0) -> str:
    side = platform.DiscoverySide(settings_of())
    if version is None:
        return text_of(side.fetch_bytes("127.0.0.1:8500"))
    return text_of(side.watch_bytes("127.0.0.1:8500", version, wait_s))


def list_read(data: bytes) -> object:
    """Discovery's answer, read from the bytes of its connection."""
    parser = Parser(LIMITS, answers=True, body=LIMITS.list_body)
    parser.feed(data)
    try:
        message = parser.next() or parser.end()
        return None if message is None else targets_of(discovery_side().read_answer(message))
    except ProtocolError as error:
        return {"error": str(error)}


def discovery_side() -> object:
    return platform.DiscoverySide(settings_of())


def targets_of(targets: object) -> dict:
    rows = [
        [e.worker, e.zone, e.kind, e.cell, e.state.value, e.weight, e.started_us]
        for e in targets.told.entries
    ]
    return {
        "version": targets.version,
        "kind": targets.told.kind.value,
        "rows": rows,
        "addresses": plain(targets.addresses),
    }


def list_written(data: dict) -> object:
    """The list that is kept for a hot restart, in discovery's own form."""
    from stepstream.net.discovery import DestinationSet

    destinations = DestinationSet()
    destinations.apply(discovery_side().read(data, kept=True))
    return destinations.listed()


def news_read(body: bytes) -> object:
    reader, complaints = reports_reader()
    try:
        told = platform.read_news(Message("POST", platform.NEWS, body=body), reader)
    except ProtocolError as error:
        return {"status": error.status}
    return {"news": told_of(told), "complaints": len(complaints)}


def news_written(body: bytes) -> str:
    """News as it goes on to the process beside this one."""
    told = platform.read_news(Message("POST", platform.NEWS, body=body))
    return text_of(platform.news_body(told))


def report_read(place: str, how: str, given: object) -> object:
    reader, complaints = reports_reader(how)
    read = {"header": reader.header, "news": reader.news, "probe": reader.probe}[place]
    return {"report": read(given), "complaints": len(complaints)}


def call_ended(data: bytes, written: bool = True) -> dict:
    """What a worker's answer to a call proves, by its bytes; then the connection ends."""
    exchange = outbound.Exchange(LIMITS)
    if written:
        exchange.written()
    if data:
        exchange.feed(data)
    if not exchange.over:
        exchange.feed(b"")
    return {
        "taken": exchange.result is None,
        "result": plain(exchange.result),
        "reusable": exchange.reusable,
        "load": exchange.load,
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
        "Request-Info: cores_needed=2, ram_units=3.5\r\nIdempotency-Key: k-1\r\nClient-Retry: 1\r\n",
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
    "400 chunk size": b"POST /revalue HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n 3\r\nabc\r\n",
    "400 chunk end": b"POST /revalue HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n",
    "400 long chunk line": b"POST /revalue HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + b"0" * 300,
    "400 empty lines": b"\r\n\r\n\r\n",
    "413 length": b"POST /revalue HTTP/1.1\r\nContent-Length: 65537\r\n\r\n",
    "413 chunks": b"POST /revalue HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n",
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
DOORS = ("starting", "leaving", "failed", "closing", "drained")


def http_samples() -> dict[str, Sample]:
    found: dict[str, Sample] = {}
    for name, (outcome, result, pause_us) in FINAL_ANSWERS.items():
        for kind, head in (("keep", ""), ("close", CLOSE)):
            found[f"answer/{name}/{kind}"] = lambda a=(outcome, result, pause_us, head): final_answer(*a)
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
    for door in DOORS:
        found[f"ready/{door}"] = lambda door=door: converse(READY, **{door: True})
        found[f"news/{door}"] = lambda door=door: converse(news(NEWS_BODIES["lost"]), **{door: True})
    for pause_us in (0, 1, 2_000_000):
        found[f"full house/{pause_us} us"] = lambda p=pause_us: refusal_of_a_full_house(p)
    found["crowded"] = lambda: converse(job(), crowded=lambda: True)
    statuses = (200, 202, 400, 401, 403, 404, 405, 408, 413, 431, 500, 501, 502, 503, 504)
    for status in statuses:
        found[f"status/{status}"] = lambda s=status: text_of(write_answer(s, b"x", {"A": "b"}, s % 2 == 1))
    return found


# -- what goes to workers and to discovery, and what is read from them ----------------------------

WORKER_ANSWERS = {
    "202": b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n",
    "202 and close": b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
    "202 in HTTP/1.0": b"HTTP/1.0 202 Accepted\r\nContent-Length: 0\r\n\r\n",
    "100 before 202": (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"),
    "503 not started": b"HTTP/1.1 503 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n",
    "504 not started": b"HTTP/1.1 504 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n",
    "503": b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
    "500 not started": b"HTTP/1.1 500 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n",
    "503 with load": (
        b"HTTP/1.1 503 X\r\nNot-Started: 1\r\nServer-Load: TEXT queue=2, x0=1.5\r\nContent-Length: 0\r\n\r\n"
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
    for how in HOWS:
        for text in REPORT_TEXTS:
            found[f"report/{how}/header/{text!r}"] = lambda a=("header", how, text): report_read(*a)
        for given in REPORT_OBJECTS:
            name = f"report/{how}/news/{json.dumps(given)}"
            found[name] = lambda a=("news", how, given): report_read(*a)
        for body in (*REPORT_BODIES, *map(str.encode, REPORT_TEXTS)):
            found[f"report/{how}/probe/{body!r}"] = lambda a=("probe", how, body): report_read(*a)
    for name, data in ACCEPTED_REQUESTS.items():
        found[f"message/request {name}"] = lambda data=data: message_read(data, False)
    for name, data in WORKER_ANSWERS.items():
        found[f"message/answer {name}"] = lambda data=data: message_read(data, True)
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
    ("[gearman]\n", "gearman: Object missing required field `listen`"),
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

    from stepstream.operator_file import read_operator

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


# -- all ------------------------------------------------------------------------------------------

GROUPS: dict[str, Callable[[], dict[str, Sample]]] = {
    "http": http_samples,
    "wire": wire_samples,
    "config": config_samples,
    "commands": command_samples,
}


def recorded(group: str) -> dict[str, object]:
    return json.loads((RECORDED / f"{group}.json").read_text(encoding="ascii"))


def as_json(value: object) -> object:
    """A sample's value as it comes back from a recorded file."""
    return json.loads(json.dumps(value))


def record() -> None:
    RECORDED.mkdir(exist_ok=True)
    for group, samples in GROUPS.items():
        told = {name: sample() for name, sample in samples().items()}
        text = json.dumps(told, indent=1, sort_keys=True) + "\n"
        (RECORDED / f"{group}.json").write_text(text, encoding="ascii")
        print(f"{group}: {len(told)} samples")


if __name__ == "__main__":
    if sys.argv[1:] != ["record"]:
        sys.exit("usage: front_samples.py record")
    record()
