"""Fault schedules: what goes wrong in a cluster of dispatchers and when, and the file format.

A schedule is read from a TOML file here or generated from a seed by `random_schedule`. `injector`
applies it, to simulated clusters (`simulation`) and to processes (`reports.fault_run`) alike.
"""

import tomllib
from collections.abc import Iterable
from enum import StrEnum
from typing import Annotated

import msgspec

from stepstream.config.errors import ConfigurationError

Seconds = Annotated[float, msgspec.Meta(ge=0, le=86_400)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]

FLAP_HALF_PERIOD_SECONDS = 0.4
"""Length of each cut of a flap, and of each pause between two cuts.

It is shorter than any suspicion timeout.
"""


class FaultKind(StrEnum):
    """What happens during a fault; the values are those of the schedule file.

    In the docstrings below, "members" are the fault's `members`, "others" are all other members of
    the cluster.
    """

    CRASH = "crash"
    """Kill each member; start it again at the end of the fault."""

    RESTART = "restart"
    """Kill each member and start it again at once."""

    LEAVE = "leave"
    """Stop each member gracefully; start it again at the end of the fault."""

    STALL = "stall"
    """Suspend each member's process until the end of the fault."""

    CUT = "cut"
    """Drop all traffic between the members and the others, in both directions."""

    ONE_WAY = "one_way"
    """Drop the traffic from the members to the others."""

    FLAP = "flap"
    """Cut as with `CUT` and heal in turn, every `FLAP_HALF_PERIOD_SECONDS`."""

    LOSS = "loss"
    """Drop a fraction of the datagrams on every link; `members` has no effect."""


PROCESS_FAULTS = frozenset({FaultKind.CRASH, FaultKind.RESTART, FaultKind.LEAVE, FaultKind.STALL})
"""The kinds that apply to processes; all others apply to links."""


class Fault(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    kw_only=True,
    rename={
        "begin_seconds": "at",
        "duration_seconds": "length",
        "members": "who",
        "loss_fraction": "size",
    },
):
    """One fault; `rename` gives the keys of the schedule file, which operators know.

    Attributes:
        kind: what happens.
        begin_seconds: when the fault begins, counted from the start of the schedule.
        duration_seconds: time from the begin to the end; a restart does not use it.
        members: the affected members, or one side of a cut; the other side is all others.
        loss_fraction: fraction of the datagrams that a loss drops.

    """

    kind: FaultKind
    begin_seconds: Seconds
    duration_seconds: Seconds = 0.0
    members: tuple[str, ...] = ()
    loss_fraction: Fraction = 0.0


class Schedule(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"faults": "fault"}):
    """All faults of one run; the file's array of tables is named `fault`."""

    faults: tuple[Fault, ...] = ()


def read_schedule(path: str, member_names: Iterable[str]) -> Schedule:
    """Read a schedule from the `[[fault]]` tables of a TOML file.

    Raises:
        ConfigurationError: the file can't be read, has a wrong or unknown key, or names a member
            that is not among `member_names`; the message names the file and the key.

    """
    try:
        with open(path, "rb") as file:
            schedule = msgspec.convert(tomllib.load(file), Schedule)
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError, msgspec.ValidationError) as error:
        raise ConfigurationError(f"faults {path}: {error}") from error
    known_names = set(member_names)
    for number, fault in enumerate(schedule.faults):
        for name in fault.members:
            if name not in known_names:
                raise ConfigurationError(f"faults {path}: fault[{number}].who: no member {name}")
    return schedule
