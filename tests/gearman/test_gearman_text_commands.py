"""Tests of the parser of text commands and of error lines."""

import pytest

from stepstream.gearman.text_commands import TextCommand, error_line, parse_command
from tests.case_ids import case_id


@pytest.mark.parametrize(
    ("line", "command", "arguments"),
    [
        ("status", TextCommand.STATUS, ()),
        ("status now", TextCommand.STATUS, ("now",)),
        ("maxqueue revalue 3", TextCommand.MAXQUEUE, ("revalue", "3")),
        ("cancel job H:n0:1", TextCommand.CANCEL_JOB, ("H:n0:1",)),
        ("show unique jobs", TextCommand.SHOW_UNIQUE_JOBS, ()),
        ("show jobs", TextCommand.SHOW_JOBS, ()),
    ],
    ids=case_id,
)
def test_a_line_is_parsed_as_a_command_and_its_arguments(line, command, arguments):
    assert parse_command(tuple(line.split())) == (command, arguments)


@pytest.mark.parametrize("line", ["", "STATUS", "show", "cancel", "jobs show", "POST / HTTP/1.1"])
def test_any_other_line_is_no_command(line):
    assert parse_command(tuple(line.split())) is None


def test_an_error_line_has_plus_signs_in_place_of_spaces():
    assert error_line("NOT_ALLOWED", "it is off") == "ERR NOT_ALLOWED it+is+off\n"
