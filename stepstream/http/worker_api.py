"""The platform's API towards workers: calls to them, and the notifications that they send.

The platform calls a notification "news". Its paths, header and field names are translated here and
nowhere else. There is no state; any thread may use what stands here.
"""

import ujson

from stepstream.core.events import JobNotification, JobStatus
from stepstream.core.requests import Payload
from stepstream.http.codec import Message, ProtocolError, write_request
from stepstream.http.json_body import read_json_object
from stepstream.http.load_reports import LoadReportReader
from stepstream.model.events import AttemptResult

NOTIFICATION_PATH = "/_jobs/news"  # of this dispatcher
HEALTH_CHECK_PATH = "/-/healthy"  # of a worker
LOAD_REPORT_PATH = "/-/load"  # of a worker: a health check whose answer is a load report
STATUS_BY_WIRE_NAME = {status.value: status for status in JobStatus}
PROGRESS_STEPS = 1000  # progress is a share on the wire and a count of these inside
ACCEPTED = 202  # the worker has taken the job
# With "Not-Started: 1" the worker has turned the job away without starting it.
NOT_STARTED_STATUSES = (503, 504)


def read_notification(
    message: Message, load_reports: LoadReportReader | None = None, *, forwarded: bool = False
) -> JobNotification | None:
    """Return the notification in a message; ProtocolError if there is none.

    None stands for a status that is not known here: it is acknowledged all the same, for its sender
    would repeat it. `forwarded` marks what the sibling process has passed on, which is never passed
    on again.
    """
    if message.method != "POST":
        raise ProtocolError(405, "news arrives by POST")
    data = read_json_object(message.body)
    request_id, worker_id, status = data.get("id"), data.get("from"), data.get("state")
    if (
        not isinstance(request_id, str)
        or not isinstance(worker_id, str)
        or not isinstance(status, str)
    ):
        raise ProtocolError(400, "news needs id, from and state")
    if status not in STATUS_BY_WIRE_NAME:
        return None
    return JobNotification(
        request_id,
        worker_id,
        STATUS_BY_WIRE_NAME[status],
        data.get("result"),
        read_progress(data.get("share")),
        forwarded,
        load_reports.read_notification(data.get("load")) if load_reports else None,
    )


def read_progress(share: object) -> tuple[int, int] | None:
    """Return progress, a number from 0 to 1, as (done, total); None if it is no such number."""
    if isinstance(share, int | float) and 0 <= share <= 1:
        return int(share * PROGRESS_STEPS), PROGRESS_STEPS
    return None


def notification_body(notification: JobNotification) -> bytes:
    """Return a notification in a worker's own form, for the sibling process."""
    data = {
        "id": notification.request_id,
        "from": notification.worker_id,
        "state": notification.status.value,
        "result": notification.result,
    }
    if notification.progress is not None:
        done, total = notification.progress
        data["share"] = done / total
    return ujson.dumps(data).encode()


def call_bytes(host: str, request_id: str, payload: Payload, timeout_ms: int) -> bytes:
    """Return the call that gives a worker a job; `timeout_ms` is sent as 1 at least."""
    headers = {"Host": host, "Request-Id": request_id}
    if payload.idempotency_key:
        headers["Idempotency-Key"] = payload.idempotency_key
    headers["Request-Timeout-Ms"] = str(max(timeout_ms, 1))
    return write_request("POST", payload.path, headers, payload.body)


def cancel_bytes(host: str, request_id: str) -> bytes:
    """Return the call that cancels a job on its worker."""
    return write_request("DELETE", f"/jobs/{request_id}", {"Host": host})


def health_check_bytes(host: str, path: str = HEALTH_CHECK_PATH) -> bytes:
    """Return a health check of a worker."""
    return write_request("GET", path, {"Host": host})


def read_call_answer(message: Message) -> AttemptResult | None:
    """Return how a call ended by its worker's answer; None if the worker has taken the job."""
    if message.status == ACCEPTED:
        return None
    if message.status in NOT_STARTED_STATUSES and message.headers.get("not-started") == "1":
        return AttemptResult.FULL
    return AttemptResult.ERROR
