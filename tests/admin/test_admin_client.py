"""A command's request to the admin listener returns the answer's JSON or raises AdminCallError."""

import pytest

from stepstream.http.codec import write_answer
from stepstream.subsystem_api import admin_client
from stepstream.subsystem_api.admin_client import (
    NO_ANSWER,
    AdminCallError,
    call_admin,
    request_json,
)
from tests.case_ids import case_id
from tests.config.nested_json import nested_lists

ADDRESS = "127.0.0.1:9"


@pytest.mark.parametrize(
    ("status", "answer", "message", "reason"),
    [
        (404, {"error": "no such member"}, f"{ADDRESS}: no such member", "no such member"),
        (503, {"error": "stops"}, f"{ADDRESS}: stops", "stops"),
        (500, {}, f"{ADDRESS}: 500", ""),
    ],
    ids=case_id,
)
def test_the_error_of_a_rejected_request_has_its_status_and_reason(
    monkeypatch, status, answer, message, reason
):
    monkeypatch.setattr(admin_client, "call_admin", lambda *_: (status, answer))
    with pytest.raises(AdminCallError) as caught:
        request_json(ADDRESS, "/fleet")
    error = caught.value
    assert (str(error), error.status, error.reason) == (message, status, reason)


def test_the_error_of_an_unanswered_request_has_no_status(monkeypatch):
    def refuse(*_):
        raise ConnectionError(f"{ADDRESS}: refused")

    monkeypatch.setattr(admin_client, "call_admin", refuse)
    with pytest.raises(AdminCallError) as caught:
        request_json(ADDRESS, "/fleet")
    error = caught.value
    assert (str(error), error.status, error.reason) == (f"{ADDRESS}: refused", NO_ANSWER, "")


def test_the_json_of_a_successful_answer_is_returned(monkeypatch):
    monkeypatch.setattr(admin_client, "call_admin", lambda *call: (200, list(call)))
    assert request_json(ADDRESS, "/fleet/leave", "PUT") == [ADDRESS, "/fleet/leave", "PUT"]


def test_an_answer_that_is_nested_too_deeply_counts_as_text(start_server):
    text = nested_lists()
    server = start_server(lambda _message: write_answer(200, text.encode(), close=True))
    assert call_admin(f"127.0.0.1:{server.port}", "/fleet") == (200, {"error": text})
