"""Which operator's call a request is, and what it is answered: a table and a decision, free of I/O.

One call a connection, HTTP/1.1; 2xx is yes, 4xx or 5xx is no. Mutations come by PUT (POST is taken as well,
as other proxies' admin listeners want it).
"""

import re
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from urllib.parse import parse_qsl, unquote

from stepstream.ports.admin import AdminRequest, AdminRoute


class Call(Enum):
    HEALTH = "healthcheck"  # yes once this process takes clients, and while it is not drained
    FAIL = "healthcheck/fail"  # the operator's drain of this dispatcher begins
    OK = "healthcheck/ok"  # and ends
    MAINT = "maint"  # a worker is taken out
    READY = "ready"  # and may serve again
    NEWS = "news"  # a worker's news, passed on by the process beside this one in a hot restart


@dataclass(frozen=True, slots=True)
class Asked:
    call: Call
    worker: str = ""
    body: bytes = b""  # of news passed on


@dataclass(frozen=True, slots=True)
class Added:
    """A call that a subsystem answers."""

    path: AdminRoute
    call: AdminRequest


@dataclass(frozen=True, slots=True)
class Denied:
    """A call that cannot be read: its status, and a reason for the log and the body."""

    status: int
    reason: str


READS, WRITES = frozenset({"GET", "HEAD"}), frozenset({"PUT", "POST"})
PATHS = {
    "/healthcheck": (Call.HEALTH, READS),
    "/healthcheck/fail": (Call.FAIL, WRITES),
    "/healthcheck/ok": (Call.OK, WRITES),
    "/_jobs/news": (Call.NEWS, frozenset({"POST"})),
}
WORKER_PATH = re.compile(r"/workers/([^/]*)/(maint|ready)")
WORKER_ID = re.compile(r"[A-Za-z0-9._:@~-]{1,128}")  # discovery's ids, and Gearman's names


def route(method: str, target: str, added: Sequence[AdminRoute] = ()) -> Asked | Added | Denied:
    """The call behind a request line; a query is ignored, but for paths that subsystems have added."""
    path, _, query = target.partition("?")
    for more in added:
        if (parts := re.fullmatch(more.pattern, path)) is not None:
            if method not in more.methods:
                return Denied(405, f"{path[:64]} takes {' or '.join(sorted(more.methods))}")
            values = dict(parse_qsl(query[:1024], keep_blank_values=True))
            return Added(more, AdminRequest(method, tuple(map(unquote, parts.groups(""))), values))
    found = WORKER_PATH.fullmatch(path)
    if found:
        call, allowed = Call(found[2]), WRITES
        worker = unquote(found[1])
        if not WORKER_ID.fullmatch(worker):
            return Denied(400, "a worker's id is malformed")
    elif path in PATHS:
        (call, allowed), worker = PATHS[path], ""
    else:
        return Denied(404, f"no such call: {path[:64]}")
    if method not in allowed:
        return Denied(405, f"{call.value} takes {' or '.join(sorted(allowed))}")
    return Asked(call, worker)


class Effect(Enum):
    BAN = 1
    LIFT = 2
    FAIL = 3
    OK = 4
    NEWS = 5


@dataclass(frozen=True, slots=True)
class Verdict:
    status: int
    text: str
    effect: Effect | None = None


@dataclass(frozen=True, slots=True)
class View:
    """What the decision needs to know of the process, taken by the driver."""

    serving: bool  # it takes clients: its listener is open and it is neither drained nor stopping
    known: bool  # the call's worker is held by one of the catalogues
    banned: bool  # the call's worker is out for maintenance


def decide(asked: Asked, view: View) -> Verdict:
    """Two calls out need one call back; an id that nobody holds is owed a no, unless it is out."""
    match asked.call:
        case Call.HEALTH:
            return Verdict(200, "OK") if view.serving else Verdict(503, "not serving")
        case Call.FAIL:
            return Verdict(200, "OK", Effect.FAIL)
        case Call.OK:
            return Verdict(200, "OK", Effect.OK)
        case Call.NEWS:
            return Verdict(200, "OK", Effect.NEWS)
        case Call.MAINT if view.banned:
            return Verdict(200, "OK: out already")
        case Call.MAINT if view.known:
            return Verdict(200, "OK", Effect.BAN)
        case Call.READY if view.banned:
            return Verdict(200, "OK", Effect.LIFT)
        case Call.READY if view.known:
            return Verdict(200, "OK: in already")
    return Verdict(404, f"no worker {asked.worker}")
