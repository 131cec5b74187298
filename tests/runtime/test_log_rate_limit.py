"""The rate limit of repeated log lines."""

from stepstream.runtime.log import LogRateLimit


def test_lines_beyond_the_rate_are_suppressed_and_counted():
    limit = LogRateLimit(2, 10.0)
    assert [limit.admit_line(now_seconds) for now_seconds in (0.0, 1.0, 2.0, 3.0)] == [
        0,
        0,
        None,
        None,
    ]
    assert limit.admit_line(10.5) == 2
