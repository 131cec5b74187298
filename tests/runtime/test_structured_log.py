"""Log lines of changes: a line each, and the rest counted."""

import io

import pytest
import ujson

from stepstream.runtime.structured_log import MAX_CHANGE_LINES, log_changes, structured_logger


@pytest.mark.parametrize("count", [0, 1, MAX_CHANGE_LINES, MAX_CHANGE_LINES + 1, 120])
def test_changes_beyond_the_limit_are_counted_in_one_line(count):
    stream = io.StringIO()
    fields = [{"name": f"n{number}", "after": "alive"} for number in range(count)]
    log_changes(
        structured_logger("json", stream),
        lambda logger, **change: logger.info("thing", **change),
        lambda logger, *, more: logger.info("things", more=more),
        fields,
    )
    lines = [ujson.loads(line) for line in stream.getvalue().splitlines()]
    for line in lines:
        del line["timestamp"]
    logged = min(count, 50)
    expected = [
        {"event": "thing", "name": f"n{number}", "after": "alive"} for number in range(logged)
    ]
    if count > 50:
        expected.append({"event": "things", "more": count - 50})
    assert lines == expected
