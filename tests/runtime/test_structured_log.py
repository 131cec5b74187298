"""Log lines of changes: one line per change up to a limit, and one that counts the rest."""

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
        lambda logger, **change: logger.info("changed", **change),
        lambda logger, *, more: logger.info("changes_omitted", more=more),
        fields,
    )
    lines = [ujson.loads(line) for line in stream.getvalue().splitlines()]
    for line in lines:
        del line["timestamp"]
    logged = min(count, 50)
    expected = [
        {"event": "changed", "name": f"n{number}", "after": "alive"} for number in range(logged)
    ]
    if count > 50:
        expected.append({"event": "changes_omitted", "more": count - 50})
    assert lines == expected
