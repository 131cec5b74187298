"""What befalls a fleet of dispatchers: a schedule, read or drawn, and its play on whatever stands for one.

The same schedule plays on views in simulated time (`fleet_world`) and on processes (`fleet_rig`).
"""

import random
import tomllib
from collections.abc import Iterable
from typing import Annotated, Literal, Protocol

import msgspec

from stepstream.config.errors import ConfigurationError

Seconds = Annotated[float, msgspec.Meta(ge=0, le=86_400)]
Kind = Literal["crash", "restart", "leave", "stall", "cut", "one_way", "flap", "loss"]
FLAP = 0.4  # seconds of each half of a flap: shorter than any suspicion


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """`who`: the members that it befalls, or one side of a cut; the other side is everybody else.

    crash: killed, started again after `length`; restart: killed and at once started; leave: a graceful stop,
    started after `length`; stall: stopped in the middle of work and let go on; cut, one_way (from `who` to
    the others) and flap (cut and healed in turn); loss: of `size` on every link.
    """

    kind: Kind
    at: Seconds
    length: Seconds = 0.0
    who: tuple[str, ...] = ()
    size: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0


class Schedule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    fault: tuple[Fault, ...] = ()


class Fleet(Protocol):
    """What a schedule is played on."""

    @property
    def names(self) -> tuple[str, ...]: ...

    def up(self, name: str) -> bool: ...

    def start(self, name: str) -> None: ...

    def kill(self, name: str) -> None: ...

    def leave(self, name: str) -> None: ...

    def stall(self, name: str) -> None: ...

    def go_on(self, name: str) -> None: ...

    def link(self, pairs: set[tuple[str, str]], loss: float) -> None:
        """The cuts and the loss that hold from now on."""


def read(path: str, names: Iterable[str]) -> Schedule:
    """`[[fault]]` tables; FieldError names the file and the key."""
    try:
        with open(path, "rb") as file:
            schedule = msgspec.convert(tomllib.load(file), Schedule)
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError, msgspec.ValidationError) as error:
        raise ConfigurationError(f"faults {path}: {error}") from None
    known = set(names)
    for place, fault in enumerate(schedule.fault):
        for name in fault.who:
            if name not in known:
                raise ConfigurationError(f"faults {path}: fault[{place}].who: no member {name}")
    return schedule


def draw(seed: int, names: tuple[str, ...], seconds: float, share: float = 0.5) -> Schedule:
    """A mix of everything over that time, each of up to a `share` of all; one seed draws one schedule."""
    dice = random.Random(seed)
    faults, at = [], dice.uniform(0.0, 2.0)
    while at < seconds:
        kind = dice.choice(
            ("crash", "restart", "leave", "stall", "cut", "cut", "one_way", "flap", "loss")
        )
        part = (
            1 if kind in ("restart", "leave") else dice.randint(1, max(int(len(names) * share), 1))
        )
        who = tuple(sorted(dice.sample(names, part)))
        size = dice.choice((0.1, 0.3)) if kind == "loss" else 0.0
        length = 0.0 if kind == "restart" else dice.uniform(0.5, 12.0)
        faults.append(
            Fault(kind=kind, at=round(at, 3), length=round(length, 3), who=who, size=size)
        )
        at += dice.expovariate(1 / 3.0)
    return Schedule(tuple(faults))


class Play:
    """One schedule on one fleet: `steps` in their order, each to be done at its time."""

    def __init__(self, fleet: Fleet, schedule: Schedule) -> None:
        self.fleet = fleet
        self.open: list[Fault] = []  # those of links that last
        self.steps: list[tuple[float, int, str, Fault]] = []
        for number, fault in enumerate(schedule.fault):
            self.steps.append((fault.at, number, "begin", fault))
            if fault.kind != "restart":
                self.steps.append((fault.at + fault.length, number, "end", fault))
            if fault.kind == "flap":
                for k in range(1, int(fault.length / FLAP)):
                    self.steps.append((fault.at + k * FLAP, number, ("begin", "end")[k % 2], fault))
        self.steps.sort(key=lambda step: step[:3])

    def do(self, what: str, fault: Fault) -> None:
        fleet = self.fleet
        match fault.kind, what:
            case (("crash" | "restart"), "begin"):
                for name in filter(fleet.up, fault.who):
                    fleet.kill(name)
                    if fault.kind == "restart":
                        fleet.start(name)
            case "leave", "begin":
                for name in filter(fleet.up, fault.who):
                    fleet.leave(name)
            case (("crash" | "leave"), "end"):
                for name in fault.who:
                    if not fleet.up(name):
                        fleet.start(name)
            case "stall", "begin":
                for name in filter(fleet.up, fault.who):
                    fleet.stall(name)
            case "stall", "end":
                for name in filter(fleet.up, fault.who):
                    fleet.go_on(name)
            case _, "begin":
                self.open.append(fault)
                self.relink()
            case _:
                self.open = [other for other in self.open if other is not fault]
                self.relink()

    def relink(self) -> None:
        pairs: set[tuple[str, str]] = set()
        for fault in self.open:
            others = [name for name in self.fleet.names if name not in fault.who]
            if fault.kind != "loss":
                pairs |= {(a, b) for a in fault.who for b in others}
            if fault.kind in ("cut", "flap"):
                pairs |= {(b, a) for a in fault.who for b in others}
        loss = max((fault.size for fault in self.open if fault.kind == "loss"), default=0.0)
        self.fleet.link(pairs, loss)

    def end(self) -> None:
        """All links whole, everybody up and going."""
        self.open = []
        self.relink()
        for name in self.fleet.names:
            if not self.fleet.up(name):
                self.fleet.start(name)
            self.fleet.go_on(name)
