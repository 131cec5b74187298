"""What names mean on this wire: functions as classes and tenants, a worker's client id; free of I/O."""

import re
from dataclasses import dataclass

from stepstream.config.operator_file import WorkerDefaults
from stepstream.gearman.codec import GearmanError
from stepstream.model.settings import Settings

CLIENT_ID = re.compile(r"[!-:<-~]{1,64}")  # printable, no space and no semicolon
MOST_SLOTS = 1024


@dataclass(frozen=True, slots=True)
class Target:
    """What a function stands for, by places in the settings."""

    job_class: int
    tenant: int
    slots: float


@dataclass(frozen=True, slots=True)
class Function:
    """A function's name taken apart; `tenant` None: it names none."""

    kind: str
    tenant: str | None
    slots: float


def split_function(name: bytes, settings: Settings) -> Function:
    """`CLASS`, `TENANT/CLASS`, each with `+N` behind it for a job of N slots."""
    text = name.decode("utf-8", "replace")
    whole, plus, slots = text.partition("+")
    if plus and not (slots.isascii() and slots.isdigit() and 1 <= int(slots[:9]) <= MOST_SLOTS):
        raise GearmanError(
            "BAD_FUNCTION", f"{text}: the slots behind + are a number from 1 to {MOST_SLOTS}"
        )
    tenant, slash, kind = whole.rpartition("/")
    if kind not in settings.class_names:
        raise GearmanError(
            "UNKNOWN_FUNCTION",
            f"{text}: no such class; there are {', '.join(settings.class_names)}",
        )
    return Function(kind, tenant if slash else None, float(slots or 1))


def find_target(function: Function, settings: Settings, tenant: str) -> Target:
    """`tenant`: whose job it is."""
    if settings.tenants and tenant not in settings.tenants:
        fault = f"no such tenant {tenant}" if tenant else "a function here is TENANT/CLASS"
        raise GearmanError("UNKNOWN_FUNCTION", f"{function.kind}: {fault}")
    place = settings.tenants.index(tenant) if settings.tenants else 0
    return Target(settings.class_names.index(function.kind), place, function.slots)


def function_name(settings: Settings, job_class: int, tenant: int) -> str:
    """The full name, as `status` lists it."""
    name = settings.tenant_name(tenant)
    return (
        f"{name}/{settings.classes[job_class].name}" if name else settings.classes[job_class].name
    )


def registered_name(runs: "dict[str, int]", kind: str, tenant: str) -> str | None:
    """The name under which a worker knows a job of this class: what it registered, the narrower first."""
    return next((name for name in (f"{tenant}/{kind}", kind) if name in runs), None)


@dataclass(frozen=True, slots=True)
class Identity:
    """What a worker says of itself by SET_CLIENT_ID, with the file's defaults for what it leaves out."""

    name: str
    zone: int
    kind: int
    cell: int
    slots: int
    weight: float
    started_us: int


def read_client_id(
    data: bytes, settings: Settings, defaults: WorkerDefaults, now_us: int
) -> Identity:
    """`ID` or `ID;zone=Z;kind=K;cell=N;slots=N;weight=W;start=MS`, each part once and in any order.

    `start` is the worker's last start in Unix milliseconds. Without it the connection is taken for the start,
    and one in the future is taken for now: a worker is cold rather than trusted too early.
    """
    text = data.decode("utf-8", "replace")
    name, *parts = text.split(";")
    if not CLIENT_ID.fullmatch(name):
        raise GearmanError(
            "BAD_CLIENT_ID", "the id has 1 to 64 printable characters, none a space or semicolon"
        )
    said: dict[str, str] = {}
    for part in parts:
        key, equals, value = part.partition("=")
        if key not in FIELDS or not equals or key in said:
            raise GearmanError(
                "BAD_CLIENT_ID", f"'{part}' is none of {', '.join(FIELDS)}, or comes twice"
            )
        said[key] = value
    start_ms = figure("start", said.get("start", "0"), 0, 2**53, whole=True)
    return Identity(
        name=name,
        zone=place("zone", said.get("zone", defaults.zone), settings.zones),
        kind=place("kind", said.get("kind", defaults.kind), settings.worker_kinds),
        cell=int(figure("cell", said.get("cell", str(defaults.cell)), 0, 2**31, whole=True)),
        slots=int(
            figure("slots", said.get("slots", str(defaults.slots)), 1, MOST_SLOTS, whole=True)
        ),
        weight=figure("weight", said.get("weight", str(defaults.weight)), 1e-6, 1e6),
        started_us=min(int(start_ms) * 1000, now_us) if start_ms else now_us,
    )


FIELDS = ("zone", "kind", "cell", "slots", "weight", "start")


def place(key: str, value: str, known: tuple[str, ...]) -> int:
    if not value:
        return 0
    if value not in known:
        raise GearmanError("BAD_CLIENT_ID", f"{key}={value} is not in the settings")
    return known.index(value)


def figure(key: str, value: str, least: float, most: float, whole: bool = False) -> float:
    try:
        number = int(value) if whole else float(value)
    except ValueError:
        number = None
    if number is None or not least <= number <= most:
        raise GearmanError(
            "BAD_CLIENT_ID", f"{key}={value} is not a number from {least:g} to {most:g}"
        )
    return number
