"""The platform's words: its paths, headers and JSON stand here and nowhere else in the network code."""

import re
from dataclasses import dataclass
from urllib.parse import parse_qs, unquote

import ujson

from stepstream.core.commands import Outcome
from stepstream.core.events import JobNotification, JobStatus
from stepstream.core.requests import Request
from stepstream.http.codec import Message, ProtocolError, write_answer, write_request
from stepstream.http.load_reports import LoadReportReader
from stepstream.http.named_numbers import bounded_number, read_pairs
from stepstream.model.endpoints import Endpoint, EndpointList, EndpointListKind, EndpointState
from stepstream.model.events import AttemptResult
from stepstream.model.settings import Settings
from stepstream.ports.access_control import Rejection, RejectionKind
from stepstream.ports.payload import Payload, result_bytes

READINESS_PATH, NOTIFICATION_PATH, ENDPOINT_LIST_PATH = "/-/ready", "/_jobs/news", "/api/targets"
HEALTH_CHECK_PATH, LOAD_REPORT_PATH = "/-/healthy", "/-/load"
ID = re.compile(r"[0-9A-Za-z._~-]{1,64}")
STATES = {
    "ready": EndpointState.ACTIVE,
    "draining": EndpointState.DRAINING,
    "gone": EndpointState.REMOVED,
}
STATUS_BY_WIRE_NAME = {news.value: news for news in JobStatus}


class ClientApi:
    """Reads what clients and workers send to the dispatcher, by the names in the settings."""

    def __init__(self, settings: Settings, reports: LoadReportReader | None = None) -> None:
        """`reports` reads those of news that ends a call; None: nobody wants to know."""
        self.settings, self.reports = settings, reports
        self.classes = {kind.name: k for k, kind in enumerate(settings.classes)}
        self.tenants = {name: k for k, name in enumerate(settings.tenants)}

    def class_of(self, message: Message) -> int:
        path = path_of(message)
        job_class = self.classes.get(unquote(path[1:].partition("/")[0]))
        if not path.startswith("/") or job_class is None:
            raise ProtocolError(404, "no such class")
        if message.method != "POST":
            raise ProtocolError(405, "a job arrives by POST")
        return job_class

    def read_request(self, message: Message, now_us: int, tenant: str | None = None) -> Request:
        """`tenant`: whom the caller stands for, where that is known; else the header says."""
        job_class = self.class_of(message)
        query = message.target.partition("?")[2]
        headers = message.headers
        name = headers.get("request-id", "")
        if not ID.fullmatch(name):
            raise ProtocolError(400, "Request-Id is missing or malformed")
        figures = read_figures(headers.get("request-info", ""))
        deadline_us = self.settings.classes[job_class].deadline_us
        if "request-timeout-ms" in headers:
            if not re.fullmatch(r"[0-9]{1,9}", headers["request-timeout-ms"]):
                raise ProtocolError(400, "Request-Timeout-Ms is not a whole number")
            deadline_us = int(headers["request-timeout-ms"]) * 1000
        return Request(
            id=name,
            job_class=job_class,
            arrived_us=now_us,
            deadline_us=now_us + deadline_us,
            tenant=self.tenant(tenant or headers.get("tenant")),
            key=parse_qs(query).get("user", [None])[0],
            slots=figures.get("cores_needed", figures.get("slots", 1.0)),
            memory=figures.get("ram_units", figures.get("memory", 0.0)),
            client_retry=headers.get("client-retry") == "1",
            payload=Payload(message.target, message.body, headers.get("idempotency-key", "")),
            settings=self.settings,
        )

    def tenant(self, name: str | None) -> int:
        if not self.tenants:
            return 0
        if name not in self.tenants:
            raise ProtocolError(400, "Tenant is missing or not in the settings")
        return self.tenants[name]


def read_figures(text: str) -> dict[str, float]:
    try:
        return {name: bounded_number(value) for name, value in read_pairs(text).items()}
    except ValueError:
        raise ProtocolError(400, "Request-Info is malformed") from None


def path_of(message: Message) -> str:
    return message.target.partition("?")[0]


def read_notification(
    message: Message, reports: LoadReportReader | None = None, forwarded: bool = False
) -> JobNotification | None:
    """None for news of a kind that is not known: it is acknowledged, or its sender would repeat it.

    `relayed`: passed on by the process beside this one, and never to be passed on again.
    """
    if message.method != "POST":
        raise ProtocolError(405, "news arrives by POST")
    data = read_json(message.body)
    name, worker = data.get("id"), data.get("from")
    if (
        not isinstance(name, str)
        or not isinstance(worker, str)
        or not isinstance(data.get("state"), str)
    ):
        raise ProtocolError(400, "news needs id, from and state")
    if data["state"] not in STATUS_BY_WIRE_NAME:
        return None
    share = read_share(data.get("share"))
    load = reports.news(data.get("load")) if reports else None
    return JobNotification(
        name, worker, STATUS_BY_WIRE_NAME[data["state"]], data.get("result"), share, forwarded, load
    )


def notification_body(told: JobNotification) -> bytes:
    """News as a worker words it, for the process beside this one."""
    data = {
        "id": told.request_id,
        "from": told.worker_id,
        "state": told.status.value,
        "result": told.result,
    }
    if told.progress is not None:
        data["share"] = told.progress[0] / told.progress[1]
    return ujson.dumps(data).encode()


def read_share(share: object) -> tuple[int, int] | None:
    """A worker's progress in thousandths; None if it tells none that can be understood."""
    known = isinstance(share, int | float) and 0 <= share <= 1
    return (int(share * 1000), 1000) if known else None


def read_json(body: bytes) -> dict:
    try:
        data = ujson.loads(body)
    except (ValueError, RecursionError):
        raise ProtocolError(400, "the body is not JSON") from None
    if not isinstance(data, dict):
        raise ProtocolError(400, "the body is not a JSON object")
    return data


# -- answers to clients and workers -----------------------------------------------------------------------


def final_answer(outcome: Outcome, result: object, pause_us: int, close: bool) -> bytes:
    if outcome is Outcome.SERVED:
        return write_answer(200, result_bytes(result), close=close)
    if outcome is Outcome.REJECTED:
        return overload_answer(pause_us, close)
    return write_answer(502, close=close)


def bearer(message: Message) -> bytes | None:
    """The token of an Authorization header (RFC 6750, 2.1); None if there is none."""
    scheme, _, token = message.headers.get("authorization", "").partition(" ")
    token = token.strip()
    return token.encode("utf-8", "replace") if scheme.lower() == "bearer" and token else None


def rejection_answer(turned: Rejection, close: bool) -> bytes:
    """401 and 403 with a challenge (RFC 6750, 3); a rate is a refusal like any other."""
    if turned.kind is RejectionKind.RATE_LIMITED:
        return overload_answer(int(turned.retry_after_seconds * 1e6), close)
    challenge = 'Bearer realm="stepstream"'
    if turned.reason != "no_credential":
        error = (
            "invalid_token"
            if turned.kind is RejectionKind.UNAUTHENTICATED
            else "insufficient_scope"
        )
        challenge += f', error="{error}", error_description="{turned.reason}"'
    status = 401 if turned.kind is RejectionKind.UNAUTHENTICATED else 403
    return write_answer(status, headers={"WWW-Authenticate": challenge}, close=close)


def overload_answer(pause_us: int, close: bool) -> bytes:
    headers = {"Retry-After": f"{pause_us / 1e6:.3f}"} if pause_us else None
    return write_answer(503, headers=headers, close=close)


# -- workers ----------------------------------------------------------------------------------------------


def call_bytes(host: str, name: str, payload: Payload, timeout_ms: int) -> bytes:
    headers = {"Host": host, "Request-Id": name}
    if payload.idempotency_key:
        headers["Idempotency-Key"] = payload.idempotency_key
    headers["Request-Timeout-Ms"] = str(max(timeout_ms, 1))
    return write_request("POST", payload.path, headers, payload.body)


def cancel_bytes(host: str, name: str) -> bytes:
    return write_request("DELETE", f"/jobs/{name}", {"Host": host})


def health_check_bytes(host: str, path: str = HEALTH_CHECK_PATH) -> bytes:
    return write_request("GET", path, {"Host": host})


def read_call_answer(message: Message) -> AttemptResult | None:
    """How a call ended by its worker's answer; None if the worker has taken the job."""
    if message.status == 202:
        return None
    if message.status in (503, 504) and message.headers.get("not-started") == "1":
        return AttemptResult.FULL
    return AttemptResult.ERROR


# -- discovery --------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class EndpointAnswer:
    """One answer of discovery: what the core is told, and where the named workers listen."""

    version: int
    update: EndpointList
    addresses: dict[str, tuple[str, int]]


class DiscoveryApi:
    def __init__(self, settings: Settings) -> None:
        self.pushed = (
            not settings.polls_endpoints
        )  # the address is that of an agent beside the dispatcher
        self.zones = {name: k for k, name in enumerate(settings.zones)}
        self.kinds = {name: k for k, name in enumerate(settings.worker_kinds)}

    @staticmethod
    def fetch_bytes(host: str) -> bytes:
        return write_request("GET", ENDPOINT_LIST_PATH, {"Host": host})

    @staticmethod
    def watch_bytes(host: str, version: int, wait_seconds: float) -> bytes:
        return write_request(
            "GET",
            f"{ENDPOINT_LIST_PATH}?index={version}&wait={int(wait_seconds * 1000)}",
            {"Host": host},
        )

    def read_answer(self, message: Message) -> EndpointAnswer:
        if message.status != 200:
            raise ProtocolError(400, f"discovery answered {message.status}")
        return self.read(read_json(message.body))

    def read(self, data: dict, persisted: bool = False) -> EndpointAnswer:
        """`kept` for the list from before a start, which may be old."""
        try:
            rows = [self.entry(row) for row in data.get("servers", ())]
            version = int(data.get("version", 0))
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            raise ProtocolError(
                400, f"the list is malformed: {type(error).__name__} {error}"
            ) from None
        kind = EndpointListKind.COMPLETE if data.get("full", True) else EndpointListKind.CHANGES
        entries = tuple(entry for entry, _ in rows)
        addresses = {entry.worker_id: address for entry, address in rows if address}
        return EndpointAnswer(
            version,
            EndpointList(EndpointListKind.PERSISTED if persisted else kind, entries),
            addresses,
        )

    def entry(self, row: dict) -> tuple[Endpoint, tuple[str, int] | None]:
        state = STATES[row.get("state", "ready")]
        host, _, port = row.get("addr", "").rpartition(":")
        if not host and state is not EndpointState.REMOVED:
            raise ValueError(f"{row['id']} has no addr")
        if not isinstance(row["id"], str):
            raise ValueError("an id is not text")
        entry = Endpoint(
            worker_id=row["id"],
            zone=place(self.zones, row.get("zone", 0)),
            worker_kind=place(self.kinds, row.get("kind", 0)),
            cell=int(row.get("cell", 0)),
            state=state,
            weight=bounded_number(row.get("weight", 1.0)),
            started_us=int(row.get("started_ms", 0)) * 1000,
        )
        return entry, (host, int(port)) if host else None


def place(names: dict[str, int], name: object) -> int:
    """The settings' index of a name; one that the settings do not list is nobody's own (-1)."""
    return name if isinstance(name, int) else names.get(name, -1)
