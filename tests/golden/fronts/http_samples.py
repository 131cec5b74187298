"""Samples of the HTTP server: requests, notifications, final answers, readiness, statuses."""

from golden.fronts.configurations import LIMITS, NOW_US, Sample, module_settings, with_value
from golden.fronts.http_requests import (
    INPUTS,
    NOTIFICATIONS,
    READINESS_REQUEST,
    job_request,
    notification,
)
from golden.recorded_data import bytes_of, text_of, to_json

from stepstream.core.commands import Answer, Outcome
from stepstream.core.events import JobNotification
from stepstream.core.job_results import ChunkedResult, ResultChunk
from stepstream.core.requests import Request
from stepstream.http import client_api, worker_api
from stepstream.http.codec import Message, ProtocolError, write_answer
from stepstream.http.load_reports import LoadReportReader
from stepstream.http.server_state import ServerState
from stepstream.http.session import HttpSession, Reply

REQUESTS = {
    name: bytes_of(text)
    for name, text in (INPUTS["accepted_requests"] | INPUTS["rejected_requests"]).items()
}
CONNECTION_HEADERS = {"keep": "", "close": "Connection: close\r\n"}


def load_report_reader(mode: str = "answers") -> tuple[LoadReportReader, list[str]]:
    """Return a reader of load reports, and the list to which its complaints go."""
    complaints: list[str] = []
    settings = module_settings(with_value("settings.load_report.how", mode))
    return LoadReportReader(settings, complaints.append), complaints


def http_session(access_control: object = None, **state: object) -> HttpSession:
    """Return an inbound connection without its socket; `state` sets fields of the server state."""
    server = ServerState(client_api.ClientApi(module_settings(), load_report_reader()[0]))
    server.access_control = access_control
    for field, value in state.items():
        setattr(server, field, value)
    return HttpSession(LIMITS, server)


def session_steps(data: bytes, access_control: object = None, **state: object) -> list[dict]:
    """Return the steps of a new session that receives these bytes."""
    session = http_session(access_control, **state)
    return [step_values(step) for step in session.receive(data, NOW_US)]


def step_values(step: object) -> dict:
    """Return the values of a step of a session: bytes to send, a request or a notification."""
    match step:
        case Reply():
            return {"bytes": text_of(step.data), "close": step.close}
        case Request():
            return {"request": request_values(step)}
        case JobNotification():
            return {"news": notification_values(step)}
    raise TypeError(type(step))


def request_values(request: Request) -> dict:
    """Return a request's values under the names of the recorded files."""
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


def notification_values(event: JobNotification | None) -> dict | None:
    """Return a notification's values under the names of the recorded files."""
    if event is None:
        return None
    return {
        "id": event.request_id,
        "from": event.worker_id,
        "news": event.status.value,
        "result": to_json(event.result),
        "progress": to_json(event.progress),
        "report": event.load_report,
    }


def final_answer(outcome: str, result: object, retry_after_us: int, headers: str) -> list[dict]:
    """Return a request's final answer on its connection."""
    session = http_session()
    (request,) = session.receive(job_request(headers), NOW_US)
    answer = Answer(request, Outcome(outcome), result, retry_after_us)
    return [step_values(session.answer(answer))]


def chunked_result(chunks: list[dict], last: str) -> ChunkedResult:
    """Return a result that came in chunks, each with or without a warning."""
    parts = tuple(ResultChunk(bytes_of(chunk["data"]), chunk["warning"]) for chunk in chunks)
    return ChunkedResult(parts, bytes_of(last))


def read_notification(body: bytes) -> dict:
    """Return what is read from a notification's body, or the status of its rejection."""
    reader, complaints = load_report_reader()
    message = Message("POST", worker_api.NOTIFICATION_PATH, body=body)
    try:
        event = worker_api.read_notification(message, reader)
    except ProtocolError as error:
        return {"status": error.status}
    return {"news": notification_values(event), "complaints": len(complaints)}


def forwarded_notification(body: bytes) -> str:
    """Return a notification as it is forwarded to the other process of a hot restart."""
    message = Message("POST", worker_api.NOTIFICATION_PATH, body=body)
    return text_of(worker_api.notification_body(worker_api.read_notification(message)))


def status_answer(status: int) -> str:
    """Return an answer with this status; an odd status closes the connection."""
    return text_of(write_answer(status, b"x", {"A": "b"}, close=status % 2 == 1))


def overload_answer(retry_after_us: int) -> str:
    """Return the answer to a connection over the limit of connections."""
    return text_of(client_api.overload_answer(retry_after_us, close=True))


def final_answer_samples() -> dict[str, Sample]:
    """Return the samples of final answers, on connections that stay and that close."""
    samples: dict[str, Sample] = {}
    answers = {
        name: (answer["outcome"], answer["result"], answer["retry_after_us"])
        for name, answer in INPUTS["final_answers"].items()
    }
    answers["served pieces"] = ("served", chunked_result(**INPUTS["chunked_result"]), 0)
    for name, answer in answers.items():
        for kind, headers in CONNECTION_HEADERS.items():
            case = *answer, headers
            samples[f"answer/{name}/{kind}"] = lambda case=case: final_answer(*case)
    return samples


def notification_samples() -> dict[str, Sample]:
    """Return the samples of notifications: how each is answered, parsed and forwarded."""
    samples: dict[str, Sample] = {}
    for name, body in NOTIFICATIONS.items():
        samples[f"news/answer/{name}"] = lambda body=body: session_steps(notification(body))
        samples[f"news/read/{name}"] = lambda body=body: read_notification(body)
        if read_notification(body).get("news"):
            samples[f"news/passed on/{name}"] = lambda body=body: forwarded_notification(body)
    return samples


def server_state_samples() -> dict[str, Sample]:
    """Return the samples of readiness and notifications in each state of the server."""
    closing_request = READINESS_REQUEST.replace(b"Host: x", b"Connection: close")
    samples: dict[str, Sample] = {
        "ready/yes": lambda: session_steps(READINESS_REQUEST),
        "ready/yes and close": lambda: session_steps(closing_request),
        "ready/yes twice": lambda: session_steps(READINESS_REQUEST * 2),
        "crowded": lambda: session_steps(job_request(), is_overloaded=lambda: True),
    }
    lost = notification(NOTIFICATIONS["lost"])
    for name, field in INPUTS["server_states"].items():
        state = {field: True}
        samples[f"ready/{name}"] = lambda state=state: session_steps(READINESS_REQUEST, **state)
        samples[f"news/{name}"] = lambda state=state: session_steps(lost, **state)
    return samples


def http_samples() -> dict[str, Sample]:
    """Return every sample of the HTTP server."""
    samples = final_answer_samples() | notification_samples() | server_state_samples()
    for name, data in REQUESTS.items():
        samples[f"request/{name}"] = lambda data=data: session_steps(data)
    for pause_us in INPUTS["overload_pauses_us"]:
        samples[f"full house/{pause_us} us"] = lambda pause=pause_us: overload_answer(pause)
    for status in INPUTS["statuses"]:
        samples[f"status/{status}"] = lambda status=status: status_answer(status)
    return samples
