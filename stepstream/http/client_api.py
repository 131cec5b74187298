"""The platform's API for clients: their requests and the answers to them.

The platform defines the paths, header names and values on the wire. Only this module translates
them. `ClientApi` is immutable, and a reload creates a new one. Any thread may use this module.
"""

import re
from urllib.parse import parse_qs, unquote

from stepstream.core.commands import Outcome
from stepstream.core.job_results import result_bytes
from stepstream.core.requests import Payload, Request
from stepstream.http.codec import Message, ProtocolError, write_answer
from stepstream.http.load_reports import LoadReportReader
from stepstream.http.named_numbers import bounded_number, read_pairs
from stepstream.model.settings import Settings
from stepstream.ports.access_control import Rejection, RejectionKind

READINESS_PATH = "/-/ready"  # health check of this dispatcher by the front proxy
REQUEST_ID = re.compile(r"[0-9A-Za-z._~-]{1,64}")
TIMEOUT_MS = re.compile(r"[0-9]{1,9}")
MICROSECONDS_PER_SECOND = 1e6


class ClientApi:
    """Reads clients' requests; the settings name the job classes and tenants."""

    def __init__(self, settings: Settings, load_reports: LoadReportReader | None = None) -> None:
        """Index the names of job classes and tenants.

        `load_reports` reads the load reports in workers' notifications; with None they are ignored.
        """
        self.settings = settings
        self.load_reports = load_reports
        self.class_index = {
            job_class.name: index for index, job_class in enumerate(settings.classes)
        }
        self.tenant_index = {name: index for index, name in enumerate(settings.tenants)}

    def job_class_of(self, message: Message) -> int:
        """Return the index of the job class that the path's first segment names.

        Raises ProtocolError: 404 for an unknown class, 405 for a method other than POST.
        """
        path = path_of(message)
        job_class = self.class_index.get(unquote(path[1:].partition("/")[0]))
        if not path.startswith("/") or job_class is None:
            raise ProtocolError(404, "no such class")
        if message.method != "POST":
            raise ProtocolError(405, "a job must be submitted by POST")
        return job_class

    def read_request(self, message: Message, now_us: int, tenant: str | None = None) -> Request:
        """Return the request in a message that arrived at `now_us`.

        `tenant` is the tenant of the authenticated caller; None: the header names the tenant.
        Raises ProtocolError if the message is malformed.
        """
        job_class = self.job_class_of(message)
        headers = message.headers
        request_id = headers.get("request-id", "")
        if not REQUEST_ID.fullmatch(request_id):
            raise ProtocolError(400, "Request-Id is missing or malformed")
        info = read_request_info(headers.get("request-info", ""))
        timeout_us = self._timeout_us(headers.get("request-timeout-ms"), job_class)
        tenant_index = self._tenant_index(tenant or headers.get("tenant"))
        query = message.target.partition("?")[2]
        return Request(
            id=request_id,
            job_class=job_class,
            arrived_us=now_us,
            deadline_us=now_us + timeout_us,
            tenant=tenant_index,
            key=parse_qs(query).get("user", [None])[0],
            # A client may send each of these numbers under either of two names.
            slots=info.get("cores_needed", info.get("slots", 1.0)),
            memory=info.get("ram_units", info.get("memory", 0.0)),
            client_retry=headers.get("client-retry") == "1",
            payload=Payload(message.target, message.body, headers.get("idempotency-key", "")),
            settings=self.settings,
        )

    def _timeout_us(self, timeout_ms: str | None, job_class: int) -> int:
        """Return the timeout of the header in microseconds; without one, that of the class."""
        if timeout_ms is None:
            return self.settings.classes[job_class].deadline_us
        if not TIMEOUT_MS.fullmatch(timeout_ms):
            raise ProtocolError(400, "Request-Timeout-Ms is not a whole number")
        return int(timeout_ms) * 1000

    def _tenant_index(self, name: str | None) -> int:
        if not self.tenant_index:
            return 0
        if name not in self.tenant_index:
            raise ProtocolError(400, "Tenant is missing or not in the settings")
        return self.tenant_index[name]


def path_of(message: Message) -> str:
    """Return the path of the request target, without its query."""
    return message.target.partition("?")[0]


def read_request_info(text: str) -> dict[str, float]:
    """Return the numbers of a Request-Info header (`name=number, ...`).

    Raises ProtocolError 400 if it is malformed.
    """
    try:
        return {name: bounded_number(value) for name, value in read_pairs(text).items()}
    except ValueError as error:
        raise ProtocolError(400, "Request-Info is malformed") from error


def bearer_token(message: Message) -> bytes | None:
    """Return the token of an Authorization header (RFC 6750, 2.1); None if there is none."""
    scheme, _, token = message.headers.get("authorization", "").partition(" ")
    token = token.strip()
    return token.encode("utf-8", "replace") if scheme.lower() == "bearer" and token else None


def final_answer(outcome: Outcome, result: object, retry_after_us: int, *, close: bool) -> bytes:
    """Return the answer that ends a request."""
    if outcome is Outcome.SERVED:
        return write_answer(200, result_bytes(result), close=close)
    if outcome is Outcome.REJECTED:
        return overload_answer(retry_after_us, close=close)
    return write_answer(502, close=close)


def rejection_answer(rejection: Rejection, *, close: bool) -> bytes:
    """Return 401 or 403 with a challenge (RFC 6750, 3), or 503 for a caller over its rate limit."""
    if rejection.kind is RejectionKind.RATE_LIMITED:
        return overload_answer(
            int(rejection.retry_after_seconds * MICROSECONDS_PER_SECOND), close=close
        )
    is_unauthenticated = rejection.kind is RejectionKind.UNAUTHENTICATED
    challenge = 'Bearer realm="stepstream"'
    if rejection.reason != "no_credential":
        error = "invalid_token" if is_unauthenticated else "insufficient_scope"
        challenge += f', error="{error}", error_description="{rejection.reason}"'
    status = 401 if is_unauthenticated else 403
    return write_answer(status, headers={"WWW-Authenticate": challenge}, close=close)


def overload_answer(retry_after_us: int, *, close: bool) -> bytes:
    """Return 503 with Retry-After in decimal seconds, as the platform writes it.

    The header is omitted if `retry_after_us` is 0.
    """
    headers = None
    if retry_after_us:
        headers = {"Retry-After": f"{retry_after_us / MICROSECONDS_PER_SECOND:.3f}"}
    return write_answer(503, headers=headers, close=close)
