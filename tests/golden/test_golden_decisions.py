"""The policy decides on recorded streams as it did when they were recorded, byte for byte."""

import pytest
from golden import decision_codec as codec
from golden.decision_scenarios import SCENARIOS
from golden.decision_streams import first_difference, read_stream, stream_files, stream_name
from golden.line_reach import missed_lines

FILES = stream_files()
MAX_TOTAL_BYTES = 1_500_000  # of all recorded streams together


@pytest.mark.parametrize("path", FILES, ids=stream_name)
def test_the_policy_returns_the_recorded_actions(path):
    stream = read_stream(path)
    assert stream["rounds"]
    difference = first_difference(stream)
    assert difference is None, difference


def test_there_is_one_recorded_stream_for_each_scenario():
    assert [stream_name(path) for path in FILES] == sorted(scenario.name for scenario in SCENARIOS)
    assert sum(path.stat().st_size for path in FILES) < MAX_TOTAL_BYTES


def test_the_streams_run_every_line_of_the_decision_functions():
    streams = [read_stream(path) for path in FILES]

    def play_streams():
        for stream in streams:
            first_difference(stream)

    assert missed_lines(play_streams, codec.decision_modules()) == []
