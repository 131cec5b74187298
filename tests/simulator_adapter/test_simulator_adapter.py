"""The simulator adapter as a whole: transcripts of messages, and the replies to them."""

import io
import os
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

import pytest

from stepstream.policy.load_balancer import LoadBalancer
from stepstream.simulator_adapter.command import run

ROOT = Path(__file__).parents[2]
INSTANCE_SETTINGS = (
    "services.count=2 services.0.deadline_us=5000000 services.0.effect=pure services.0.goal_time_us=400000 "
    "services.1.deadline_us=5000000 services.1.effect=side_effect services.1.goal_time_us=400000 "
    "limits.try_limit=3 load_report.columns=queue,x0 extra.report_x0=free_slots zone=0 new.key=7"
)
START_BATCH = [
    "MARK t_us=1000000 batch=1",
    "SWITCH_TO dispatcher=3",
    f"ENLIST rng_seed=5 {INSTANCE_SETTINGS}",
    "TABLE sheet=0 lines=2",
    "RUNNER runner=10.0.0.1:5000 campus=0 type=0 cluster=0 mode=IN weight=1 shiny=yes",
    "RUNNER runner=10.0.0.2:5000 mode=IN",
    "TOPOLOGY serial=1 sheet=0 mode=Persisted",
    "END",
]
REQUEST = "REQUEST msg_id=00000000000000aa type=1 tenant=0 budget_us=5000000"


class TranscriptResult(NamedTuple):
    """The exit code, the lines written and the errors reported for a transcript."""

    exit_code: int
    output: list[str]
    errors: list[str]


def run_transcript(*lines):
    """Run the adapter on these lines of input."""
    output = io.StringIO()
    errors = []
    exit_code = run(io.StringIO("\n".join(lines) + "\n"), output, errors.append)
    return TranscriptResult(exit_code, output.getvalue().splitlines(), errors)


def batch_lines(number, *lines, at_us=2_000_000):
    return [f"MARK t_us={at_us} batch={number}", "SWITCH_TO dispatcher=3", *lines, "END"]


def test_a_request_is_relayed_and_answered():
    result = run_transcript(
        "MARK t_us=1 batch=0",
        "END",
        *START_BATCH,
        *batch_lines(2, REQUEST),
        *batch_lines(
            3,
            "ANSWER msg_id=00000000000000aa n=0 runner=10.0.0.1:5000 state_code=ABORTED spent_us=9",
        ),
    )
    assert (result.exit_code, result.errors) == (0, [])
    assert result.output[0] == "FINISHED batch=0"
    assert [line for line in result.output if line.startswith("RELAY msg_id=00000000000000aa")]
    assert result.output[-3:] == [
        "AS dispatcher=3",
        "REPORT_FAILURE msg_id=00000000000000aa",
        "FINISHED batch=3",
    ]


def test_late_events_of_ended_requests_are_ignored():
    result = run_transcript(
        *START_BATCH,
        *batch_lines(
            2,
            "ANSWER msg_id=00000000000000bb n=0 runner=10.0.0.1:5000 state_code=OK spent_us=9 finished=1",
            "CANCELLED_BY_CLIENT msg_id=00000000000000bb",
            "PROGRESS msg_id=00000000000000bb level=0 kind=1 n=0 runner=10.0.0.1:5000",
            "PEER origin_peer=1 msg=68",
        ),
    )
    assert result.exit_code == 0
    assert result.output[-1] == "FINISHED batch=2"


def test_an_endpoint_list_holds_the_table_as_it_is_at_that_point_of_the_batch():
    result = run_transcript(
        *START_BATCH,
        *batch_lines(
            2,
            "TABLE sheet=0 lines=1",
            "RUNNER runner=10.0.0.9:5000 mode=IN",
            "TOPOLOGY serial=2 sheet=0 mode=Complete",
            "TABLE sheet=0 lines=0",
            REQUEST,
        ),
    )
    assert result.exit_code == 0
    assert any(line.endswith("runner=10.0.0.9:5000") for line in result.output)


def test_an_instance_that_exits_and_comes_back_starts_anew():
    result = run_transcript(
        *START_BATCH, *batch_lines(2, REQUEST, "EXIT", *START_BATCH[2:-1], REQUEST)
    )
    assert result.exit_code == 0
    assert len([line for line in result.output if line.startswith("RELAY")]) == 2


@pytest.mark.parametrize(
    ("lines", "reason"),
    [
        (["HELLO a=1"], "MARK"),
        (["MARK t_us=abc batch=1", "END"], "t_us=abc"),
        ([*START_BATCH, *batch_lines(2, "REQUEST msg_id=1 type=9 budget_us=1")], "type=9"),
        ([*START_BATCH, *batch_lines(2, "REQUEST msg_id=1 type=0")], "budget_us is missing"),
        ([*START_BATCH, *batch_lines(2, "NONSENSE a=1")], "NONSENSE"),
        ([*START_BATCH, *batch_lines(2, "REQUEST junk")], "junk"),
        ([*START_BATCH, *batch_lines(2, "TOPOLOGY serial=2 sheet=5 mode=Complete")], "sheet=5"),
        (
            [*START_BATCH, *batch_lines(2, "TABLE sheet=0 lines=3", "RUNNER runner=a:1")],
            "fewer RUNNER",
        ),
        ([*START_BATCH, "MARK t_us=3 batch=2"], "ends inside"),
        (["MARK t_us=1 batch=1", "SWITCH_TO dispatcher=8", REQUEST, "END"], "dispatcher 8"),
        (
            ["MARK t_us=1 batch=1", "SWITCH_TO dispatcher=8", "ENLIST rng_seed=1 zone=0", "END"],
            "services.count",
        ),
    ],
    ids=[
        "no MARK",
        "time",
        "unknown class",
        "missing field",
        "unknown message",
        "no field",
        "unknown table",
        "short table",
        "no END",
        "unknown dispatcher",
        "no classes",
    ],
)
def test_malformed_input_is_reported_in_one_line_with_an_error_exit_code(lines, reason):
    result = run_transcript(*lines)
    assert result.exit_code != 0
    assert len(result.errors) == 1
    assert reason in result.errors[0]
    assert result.errors[0].startswith("line ")
    assert not result.output or result.output[-1].startswith("FINISHED")  # no incomplete reply


def test_an_exception_in_the_policy_is_reported_as_a_panic(monkeypatch):
    def raise_error(*_):
        raise KeyError("lost")

    monkeypatch.setattr(LoadBalancer, "handle", raise_error)
    result = run_transcript(*START_BATCH)
    assert result.exit_code == 0
    assert result.output[0].startswith("PANIC body_text=KeyError")
    assert result.output[-1] == "FINISHED batch=1"


def transcript_of(instances):
    """Return a transcript of many batches; an instance gets the same messages in any transcript."""
    lines = []
    for number in range(1, 60):
        lines.append(f"MARK t_us={number * 50_000} batch={number}")
        for instance in instances:
            lines.append(f"SWITCH_TO dispatcher={instance}")
            if number == 1:
                lines += [
                    f"ENLIST rng_seed={instance + 9} discovery=subscribe {INSTANCE_SETTINGS}",
                    *START_BATCH[3:-1],
                ]
            else:
                lines.append(
                    f"REQUEST msg_id={instance * 1000 + number:016x} type={number % 2} budget_us=5000000"
                )
            if number % 7 == 0:
                lines += ["TOPOLOGY serial=2 mode=Error", "WAKE ctx=0", "WAKE ctx=1"]
        lines.append("END")
    return "\n".join(lines) + "\n"


def actions_by_instance(instances):
    environment = {**os.environ, "PYTHONHASHSEED": str(sum(instances) + 1)}
    process = subprocess.run(
        [sys.executable, "-m", "stepstream.simulator_adapter"],
        input=transcript_of(instances),
        capture_output=True,
        text=True,
        cwd=ROOT,
        env=environment,
        check=True,
    )
    actions = {}
    instance = None
    for line in process.stdout.splitlines():
        if line.startswith("AS "):
            instance = line
        elif not line.startswith("FINISHED"):
            actions.setdefault(instance, []).append(line)
    return actions


def test_instances_act_alike_in_one_process_and_in_separate_processes():
    together = actions_by_instance([0, 1, 2])
    apart = {}
    for instance in range(3):
        apart.update(actions_by_instance([instance]))
    assert together == apart
    assert len(together) == 3
