"""Immutable records that are cheap to define.

For a frozen dataclass six methods are generated and compiled for each class. With some seventy
records this took half of the time that a dispatcher needs to import its modules, and operators wait
for each start. Of a record only the initializer is generated; all records share the other methods.
"""

from dataclasses import dataclass, field
from typing import Any, TypeVar, dataclass_transform

Class = TypeVar("Class")


@dataclass_transform(frozen_default=True, field_specifiers=(field,))
def record(cls: type[Class]) -> type[Class]:
    """Make a class a record: a dataclass that compares, hashes and prints by its fields.

    It has slots. mypy reports an assignment to a field; at run time nothing prevents one.
    """
    cls.__eq__ = _is_equal  # type: ignore[method-assign]
    cls.__hash__ = _hash  # type: ignore[method-assign]
    cls.__repr__ = _repr  # type: ignore[method-assign]
    return dataclass(eq=False, repr=False, slots=True)(cls)


def _field_values(instance: Any) -> tuple[object, ...]:  # noqa: ANN401  a record of any class
    fields = instance.__dataclass_fields__.values()
    return tuple(getattr(instance, each.name) for each in fields if each.compare)


def _is_equal(self: object, other: object) -> Any:  # noqa: ANN401  a bool or NotImplemented
    if type(self) is not type(other):
        return NotImplemented
    return _field_values(self) == _field_values(other)


def _hash(self: object) -> int:
    return hash(_field_values(self))


def _repr(self: Any) -> str:  # noqa: ANN401  a record of any class
    fields = (f"{name}={getattr(self, name)!r}" for name in self.__dataclass_fields__)
    return f"{type(self).__qualname__}({', '.join(fields)})"
