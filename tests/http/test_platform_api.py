"""The platform's APIs: messages from and to clients, workers and discovery."""

import pytest

from stepstream.core.commands import Outcome
from stepstream.core.events import JobNotification, JobStatus
from stepstream.http import client_api, discovery_api, worker_api
from stepstream.http.codec import Message, Parser, ProtocolError
from stepstream.model.endpoints import Endpoint, EndpointList, EndpointListKind, EndpointState
from stepstream.model.events import AttemptResult
from tests.case_ids import case_id
from tests.config.configurations import LIMITS, POLICY_SETTINGS
from tests.http.messages import job_request

CLIENT_API = client_api.ClientApi(POLICY_SETTINGS)
ROW = {
    "id": "s-1",
    "addr": "127.0.0.1:8081",
    "zone": "petrzalka",
    "kind": "old-blade",
    "cell": 3,
    "state": "ready",
    "weight": 1.5,
    "started_ms": 7,
}


def parse(data):
    parser = Parser(LIMITS)
    parser.feed(data)
    return parser.next()


def read_job(**headers):
    return CLIENT_API.read_request(parse(job_request(**headers)), 1_000)


def test_a_request_is_read_by_the_names_in_the_settings():
    request = read_job(
        path="/nav-publish?user=k7",
        Tenant="hron-asset",
        Request_Info="slots=2,x=1",
        Client_Retry="1",
    )
    assert (
        request.job_class,
        request.tenant,
        request.key,
        request.slots,
        request.client_retry,
    ) == (
        1,
        1,
        "k7",
        2.0,
        True,
    )
    assert (request.arrived_us, request.deadline_us) == (1_000, 5_001_000)


@pytest.mark.parametrize(
    ("changes", "status"),
    [
        ({"path": "/nothing"}, 404),
        ({"path": "*"}, 404),
        ({"method": "GET", "body": b""}, 405),
        ({"request_id": ""}, 400),
        ({"request_id": "a/../b"}, 400),
        ({"request_id": "a" * 65}, 400),
        ({"Tenant": "nobody"}, 400),
        ({"Tenant": None}, 400),
        ({"Request_Timeout_Ms": "-1"}, 400),
        ({"Request_Timeout_Ms": "soon"}, 400),
        ({"Request_Info": "slots"}, 400),
        ({"Request_Info": "slots=nan"}, 400),
        ({"Request_Info": "slots=-1"}, 400),
        ({"Request_Info": "slots=1e300"}, 400),
    ],
    ids=case_id,
)
def test_a_malformed_request_raises_its_status(changes, status):
    with pytest.raises(ProtocolError) as raised:
        read_job(**changes)
    assert raised.value.status == status


def read_notification_body(body, method="POST"):
    return worker_api.read_notification(Message(method, worker_api.NOTIFICATION_PATH, body=body))


def test_a_notification_is_read_and_an_unknown_status_is_ignored():
    assert read_notification_body(
        b'{"id":"a","from":"s","state":"done","result":"r"}'
    ) == JobNotification("a", "s", JobStatus.DONE, "r")
    assert read_notification_body(b'{"id":"a","from":"s","state":"dancing"}') is None


@pytest.mark.parametrize(
    "body",
    [b"", b"[]", b"{", b'{"id":1,"from":"s","state":"done"}', b"[" * 60_000, b"\xff"],
    ids=["empty", "list", "no JSON", "number as id", "deeply nested", "not UTF-8"],
)
def test_a_malformed_notification_is_a_400(body):
    with pytest.raises(ProtocolError) as raised:
        read_notification_body(body)
    assert raised.value.status == 400


def test_a_call_contains_the_request_its_id_its_key_and_the_timeout():
    message = parse(job_request(path="/nav-publish?user=1", body=b"xyz", Idempotency_Key="k"))
    request = client_api.ClientApi(POLICY_SETTINGS).read_request(message, 0)
    sent = parse(worker_api.call_bytes("h:1", request.id, request.payload, 480))
    assert (sent.method, sent.target, sent.body) == ("POST", "/nav-publish?user=1", b"xyz")
    names = ("request-id", "idempotency-key", "request-timeout-ms")
    assert [sent.headers[name] for name in names] == ["00000000000000aa", "k", "480"]


@pytest.mark.parametrize(
    ("status", "headers", "result"),
    [
        (202, {}, None),
        (503, {"not-started": "1"}, AttemptResult.FULL),
        (504, {"not-started": "1"}, AttemptResult.FULL),
        (503, {}, AttemptResult.ERROR),
        (500, {"not-started": "1"}, AttemptResult.ERROR),
        (404, {}, AttemptResult.ERROR),
    ],
    ids=["accepted", "full", "too late", "busy", "error not started", "not found"],
)
def test_the_answer_to_a_call_decides_its_result(status, headers, result):
    assert worker_api.read_call_answer(Message(status=status, headers=headers)) is result


def test_the_outcome_decides_the_final_answer():
    def answer(outcome, result=None, retry_after_us=0):
        parser = Parser(LIMITS, answers=True)
        parser.feed(client_api.final_answer(outcome, result, retry_after_us, close=False))
        return parser.next()

    assert answer(Outcome.SERVED, "é").body == "é".encode()
    rejected = answer(Outcome.REJECTED, retry_after_us=1_500_000)
    assert (rejected.status, rejected.headers["retry-after"]) == (503, "1.500")
    assert "retry-after" not in answer(Outcome.REJECTED).headers
    assert answer(Outcome.FAILED).status not in (200, 429, 503)


def test_an_endpoint_list_is_read_with_names_as_indices():
    api = discovery_api.DiscoveryApi(POLICY_SETTINGS)
    answer = api.read({"version": 4, "full": False, "servers": [ROW]})
    endpoint = Endpoint("s-1", 1, 1, 3, EndpointState.ACTIVE, 1.5, 7_000)
    assert answer.update == EndpointList(EndpointListKind.CHANGES, (endpoint,))
    assert answer.addresses == {"s-1": ("127.0.0.1", 8081)}
    assert api.read({"servers": []}, persisted=True).update.kind is EndpointListKind.PERSISTED


@pytest.mark.parametrize(
    "row",
    [{}, {"id": "s"}, {**ROW, "state": "odd"}, {**ROW, "addr": "x:y"}, 5],
    ids=["empty row", "no address", "unknown state", "bad address", "number"],
)
def test_a_malformed_endpoint_list_is_a_protocol_error(row):
    with pytest.raises(ProtocolError):
        discovery_api.DiscoveryApi(POLICY_SETTINGS).read({"servers": [row]})
