"""A command's call to the admin listener: a success is given, all else is one error."""

import pytest

from stepstream.subsystem_api import admin_client
from stepstream.subsystem_api.admin_client import NO_ANSWER, AdminCallError, request_json
from tests.case_ids import case_id

AT = "127.0.0.1:9"


@pytest.mark.parametrize(
    ("status", "answer", "text", "reason"),
    [
        (404, {"error": "no such member"}, f"{AT}: no such member", "no such member"),
        (503, {"error": "stops"}, f"{AT}: stops", "stops"),
        (500, {}, f"{AT}: 500", ""),
    ],
    ids=case_id,
)
def test_a_refusal_carries_its_status_and_reason(monkeypatch, status, answer, text, reason):
    monkeypatch.setattr(admin_client, "call_admin", lambda *_: (status, answer))
    with pytest.raises(AdminCallError) as caught:
        request_json(AT, "/fleet")
    error = caught.value
    assert (str(error), error.status, error.reason) == (text, status, reason)


def test_a_call_without_an_answer_has_no_status(monkeypatch):
    def refuse(*_):
        raise ConnectionError(f"{AT}: refused")

    monkeypatch.setattr(admin_client, "call_admin", refuse)
    with pytest.raises(AdminCallError) as caught:
        request_json(AT, "/fleet")
    error = caught.value
    assert (str(error), error.status, error.reason) == (f"{AT}: refused", NO_ANSWER, "")


def test_a_success_is_given_as_it_came(monkeypatch):
    monkeypatch.setattr(admin_client, "call_admin", lambda *call: (200, list(call)))
    assert request_json(AT, "/fleet/leave", "PUT") == [AT, "/fleet/leave", "PUT"]
