"""Records compare, hash and print by their fields, like frozen dataclasses."""

from dataclasses import dataclass, field, replace

import pytest

from stepstream.model.records import record


@record
class Point:
    """A record with a default value and a default factory."""

    x: int
    y: int = 0
    tags: tuple[str, ...] = field(default_factory=tuple)


@record
class Size:
    """A record with the same fields as `Point`, of another class."""

    x: int
    y: int = 0
    tags: tuple[str, ...] = field(default_factory=tuple)


@dataclass(frozen=True)
class Reference:
    """A frozen dataclass with the same fields as `Point`."""

    x: int
    y: int = 0
    tags: tuple[str, ...] = field(default_factory=tuple)


@pytest.mark.parametrize("fields", [(1,), (1, 2), (1, 2, ("a",))])
def test_a_record_hashes_and_prints_as_a_frozen_dataclass(fields):
    assert hash(Point(*fields)) == hash(Reference(*fields))
    assert repr(Point(*fields)) == repr(Reference(*fields)).replace("Reference", "Point")


def test_records_are_equal_by_class_and_fields():
    assert Point(1, 2) == Point(1, y=2)
    assert Point(1, 2) != Point(1, 3)
    assert Point(1, 2) != Size(1, 2)
    assert Point(1, 2) != (1, 2, ())
    assert replace(Point(1, 2), y=5) == Point(1, 5)


def test_a_record_matches_by_position_and_has_no_further_attributes():
    match Point(1, 2):
        case Point(x, y):
            assert (x, y) == (1, 2)
    with pytest.raises(AttributeError):
        Point(1).z = 3
