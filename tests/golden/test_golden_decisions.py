"""The policy decides on recorded streams as it did when they were recorded, byte for byte."""

import pytest
from golden import decision_codec as codec
from golden.decision_scenarios import SCENARIOS
from golden.decision_streams import first_difference, read_stream, stream_files, stream_name
from golden.line_reach import reached_by

FILES = stream_files()
MOST_BYTES = 1_500_000  # of all recorded streams together


@pytest.mark.parametrize("path", FILES, ids=stream_name)
def test_recorded_actions_come_again(path):
    stream = read_stream(path)
    assert stream["rounds"]
    difference = first_difference(stream)
    assert difference is None, difference


def test_each_scenario_is_recorded_and_nothing_else():
    assert [stream_name(path) for path in FILES] == sorted(scenario.name for scenario in SCENARIOS)
    assert sum(path.stat().st_size for path in FILES) < MOST_BYTES


def test_streams_reach_every_line_of_the_decision_code():
    streams = [read_stream(path) for path in FILES]

    def play():
        for stream in streams:
            first_difference(stream)

    assert reached_by(play, codec.decision_modules()) == []
