"""Reading and writing of each single message of the simulator's wire."""

from typing import get_args

import pytest

from stepstream.config.errors import ConfigurationError
from stepstream.model.actions import (
    CancelAttempt,
    CheckHealth,
    Fail,
    FetchEndpoints,
    PolicyAction,
    Reject,
    SetTimer,
    StartAttempt,
    TimerToken,
    WatchEndpoints,
    WriteLog,
)
from stepstream.model.endpoints import Endpoint, EndpointState
from stepstream.model.events import (
    AttemptEnded,
    AttemptResult,
    AttemptStarted,
    HealthChecked,
    JobAbandoned,
    JobSubmitted,
    TimerFired,
)
from stepstream.model.settings import JobClass, Settings
from stepstream.simulator_adapter.errors import WireError
from stepstream.simulator_adapter.wire_reader import Message, read_endpoint, read_event
from stepstream.simulator_adapter.wire_writer import ACTION_WRITERS, write_action, write_panic

SETTINGS = Settings(
    classes=(JobClass(latency_objective_us=1, deadline_us=1),) * 2,
    load_report_columns=("queue", "free_slots"),
)
ACTIONS = [
    (StartAttempt("a", "w:1", 5), "RELAY msg_id=a limit_us=5 runner=w:1"),
    (Reject("a", 7), "SAY_NO msg_id=a pause_us=7"),
    (Fail("a"), "REPORT_FAILURE msg_id=a"),
    (CancelAttempt("a", 2), "DROP_ATTEMPT msg_id=a n=2"),
    (CheckHealth("w:1"), "PING runner=w:1"),
    (SetTimer(TimerToken.START_DUE, 9), "WAKE_ME ctx=3 moment_us=9"),
    (WatchEndpoints(), "STREAM_CHANGES active=1"),
    (WatchEndpoints(active=False), "STREAM_CHANGES active=0"),
    (FetchEndpoints(), "QUERY_ALL"),
    (WriteLog("one\ntwo"), "WRITE_LOG body_text=one two"),
]
EVENTS = [
    ("REQUEST msg_id=a type=1 budget_us=5", JobSubmitted("a", 1, 5)),
    (
        "REQUEST msg_id=a type=0 budget_us=5 tenant=2 path_key=k cores_needed=2 ram_units=3 "
        "again_by_client=1",
        JobSubmitted("a", 0, 5, 2, "k", 2.0, 3.0, client_retry=True),
    ),
    (
        "ANSWER msg_id=a n=1 runner=w:1 state_code=TOO_LATE spent_us=4 finished=1 gauge=1,",
        AttemptEnded("a", 1, "w:1", AttemptResult.NOT_SENT, 4, True, {"queue": 1.0}),
    ),
    ("ANSWER msg_id=a runner=w:1 state_code=OK", AttemptEnded("a", 0, "w:1", AttemptResult.OK)),
    ("PROGRESS msg_id=a n=1 kind=1 runner=w:1", AttemptStarted("a", 1, "w:1")),
    ("PROGRESS msg_id=a n=1 kind=2 runner=w:1", None),
    ("PROGRESS msg_id=a", None),
    (
        "SAMPLED runner=w:1 gauge=1,2.5",
        HealthChecked("w:1", True, 0, {"queue": 1, "free_slots": 2.5}),
    ),
    ("SAMPLED runner=w:1 state_code=UNAVAILABLE spent_us=3", HealthChecked("w:1", False, 3)),
    ("CANCELLED_BY_CLIENT msg_id=a", JobAbandoned("a")),
    ("WAKE ctx=2", TimerFired(2)),
    ("STREAMING a=b", None),
    ("PEER a=b", None),
]


@pytest.mark.parametrize(("action", "line"), ACTIONS)
def test_an_action_is_written_as_one_line(action, line):
    assert write_action(action) == line


def test_every_action_of_the_policy_has_a_wire_form():
    assert set(ACTION_WRITERS) == set(get_args(PolicyAction))
    assert set(ACTION_WRITERS) == {type(action) for action, _ in ACTIONS}


def test_a_value_that_is_no_action_has_no_wire_form():
    with pytest.raises(TypeError, match="no wire form"):
        write_action("RELAY")


def test_a_panic_names_the_fault_in_one_line():
    assert write_panic(ValueError("one\ntwo")) == "PANIC body_text=ValueError: one two"


@pytest.mark.parametrize(("line", "event"), EVENTS)
def test_an_event_is_read_from_its_message(line, event):
    assert read_event(Message(line), SETTINGS) == event


@pytest.mark.parametrize(
    ("line", "expected_error"),
    [
        ("SAMPLED runner=w:1 gauge=1", "does not match load_report.columns"),
        ("SAMPLED runner=w:1 gauge=1,x", "not a list of numbers"),
        ("REQUEST msg_id=a type=2 budget_us=5", "type=2 is not in services"),
        ("REQUEST msg_id=a type=-1 budget_us=5", "type=-1 is not in services"),
        ("HELLO a=b", "message HELLO is not known"),
    ],
)
def test_a_message_that_cannot_be_read_is_a_wire_error(line, expected_error):
    with pytest.raises(WireError, match=expected_error):
        read_event(Message(line), SETTINGS)


@pytest.mark.parametrize(
    ("line", "expected_error"),
    [
        ("HELLO junk", "'junk' is not name=value"),
        ("ANSWER msg_id=a runner=w:1 state_code=NEVER", "state_code=NEVER is not known"),
        ("WAKE", "ctx is missing"),
    ],
)
def test_the_error_for_a_faulty_pair_names_the_pair(line, expected_error):
    with pytest.raises(ConfigurationError, match=expected_error):
        read_event(Message(line), SETTINGS)


def test_an_endpoint_is_read_with_the_defaults_of_what_it_leaves_out():
    full = "RUNNER runner=w:1 campus=1 type=2 cluster=3 mode=LAME weight=0.5 ready_at_us=9 new=x"
    assert read_endpoint(Message("RUNNER runner=w:1")) == Endpoint("w:1")
    assert read_endpoint(Message(full)) == Endpoint("w:1", 1, 2, 3, EndpointState.DRAINING, 0.5, 9)


def test_another_message_in_a_table_is_a_wire_error():
    with pytest.raises(WireError, match="fewer RUNNER"):
        read_endpoint(Message("END"))
