"""Which connections give up what they have buffered."""

from types import SimpleNamespace

import pytest

from stepstream.http.memory_shedding import connections_to_shed


def connection(size_bytes, *, is_external=True, has_open_request=False):
    return SimpleNamespace(
        buffered_bytes=lambda: size_bytes,
        is_external=is_external,
        has_open_request=lambda: has_open_request,
    )


LARGE = connection(1000)
SMALL = connection(10)
WORKER = connection(2000, is_external=False)
OPEN = connection(3000, has_open_request=True)
EMPTY = connection(0)
ALL = [SMALL, OPEN, WORKER, LARGE, EMPTY]


@pytest.mark.parametrize(
    ("excess_bytes", "shed"),
    [
        (0, []),
        (1, [LARGE]),
        (500, [LARGE, SMALL, WORKER]),  # an eighth of what is held is freed in addition
        (10_000, [LARGE, SMALL, WORKER, OPEN]),
    ],
)
def test_the_largest_are_shed_first_and_those_that_owe_an_answer_last(excess_bytes, shed):
    assert list(connections_to_shed(ALL, excess_bytes)) == shed
