"""The platform's API for workers: calls to them, and the notifications that they send.

The platform calls a notification "news". It defines the paths, header and field names, and only
this module translates them. There is no state; any thread may use this module.
"""

import ujson

from stepstream.config.json_decoding import decode_json
from stepstream.core.events import JobNotification, JobStatus
from stepstream.core.requests import Payload
from stepstream.http.codec import Message, ProtocolError, write_request
from stepstream.http.json_body import read_json_object
from stepstream.http.large_json import JsonText, decode_large_object
from stepstream.http.load_reports import LoadReportReader
from stepstream.model.events import AttemptResult

NOTIFICATION_PATH = "/_jobs/news"  # at this dispatcher
HEALTH_CHECK_PATH = "/-/healthy"  # at a worker
LOAD_REPORT_PATH = "/-/load"  # at a worker: a health check whose answer has a load report
STATUS_BY_WIRE_NAME = {status.value: status for status in JobStatus}
MAX_DECODED_BODY_BYTES = 4096  # a larger body must not wait in its decoded form
PROGRESS_STEPS = 1000  # the whole of a job; the wire has a fraction from 0 to 1
JOB_ACCEPTED_STATUS = 202
# With the header "Not-Started: 1", the worker states that it has not started the job.
NOT_STARTED_STATUSES = (503, 504)


def read_notification(
    message: Message, load_reports: LoadReportReader | None = None, *, forwarded: bool = False
) -> JobNotification | None:
    """Return the notification in a message; raises ProtocolError if it is malformed.

    Return None for an unknown status. Such a notification is acknowledged all the same, because its
    sender would otherwise repeat it. `forwarded` marks a notification that the sibling process has
    forwarded; it is not forwarded again.
    """
    if message.method != "POST":
        raise ProtocolError(405, "news arrives by POST")
    if len(message.body) > MAX_DECODED_BODY_BYTES:
        data = decode_large_object(message.body)
    else:
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
        result=data.get("result"),
        progress=read_progress(data.get("share")),
        forwarded=forwarded,
        load_report=load_reports.read_notification(data.get("load")) if load_reports else None,
    )


def read_progress(fraction: object) -> tuple[int, int] | None:
    """Return a progress from 0 to 1 as (steps done, steps in all); None for anything else."""
    if isinstance(fraction, int | float) and 0 <= fraction <= 1:
        return int(fraction * PROGRESS_STEPS), PROGRESS_STEPS
    return None


def notification_body(notification: JobNotification) -> bytes:
    """Return a notification in a worker's wire form, for the sibling process."""
    result = notification.result
    data = {
        "id": notification.request_id,
        "from": notification.worker_id,
        "state": notification.status.value,
        "result": decode_json(result) if isinstance(result, JsonText) else result,
    }
    if notification.progress is not None:
        done, total = notification.progress
        data["share"] = done / total
    return ujson.dumps(data).encode()


def call_bytes(host: str, request_id: str, payload: Payload, timeout_ms: int) -> bytes:
    """Return the call that sends a job to a worker; `timeout_ms` is sent as 1 at least."""
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
    """Decide how a call ended by its worker's answer; None if the worker has accepted the job.

    It is FULL only if the worker states that it has not started the job. After any other answer
    the job may have run.
    """
    if message.status == JOB_ACCEPTED_STATUS:
        return None
    if message.status in NOT_STARTED_STATUSES and message.headers.get("not-started") == "1":
        return AttemptResult.FULL
    return AttemptResult.ERROR
