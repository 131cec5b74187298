"""Parses function names, as job classes and tenants, and the client ids of workers.

The module holds no state; any thread may call its functions.
"""

import re
from collections.abc import Container
from dataclasses import dataclass

from stepstream.config.fields import parse_whole_number
from stepstream.config.operator_file import WorkerDefaults
from stepstream.gearman.errors import RequestError
from stepstream.model.settings import Settings

CLIENT_ID = re.compile(r"[!-:<-~]{1,64}")  # printable, no space and no semicolon
CLIENT_ID_KEYS = ("zone", "kind", "cell", "slots", "weight", "start")
MAX_SLOTS = 1024
MAX_SLOT_DIGITS = 4
MAX_CELL = 2**31
MIN_WEIGHT = 1e-6
MAX_WEIGHT = 1e6
MAX_START_MS = 2**53
MILLISECOND_US = 1000


@dataclass(frozen=True, slots=True)
class FunctionName:
    """The parts of a function name; `tenant` is None if the name states no tenant."""

    class_name: str
    tenant: str | None
    slots: float


@dataclass(frozen=True, slots=True)
class FunctionTarget:
    """The job class and tenant of a function, as indexes into the settings."""

    job_class: int
    tenant: int
    slots: float


def parse_function(name: bytes, settings: Settings) -> FunctionName:
    """Parse `CLASS` or `TENANT/CLASS`, optionally followed by `+N` for a job of N slots.

    Raise `RequestError` for an unknown class or a number of slots out of bounds.
    """
    decoded_name = name.decode("utf-8", "replace")
    full_name, plus, slots = decoded_name.partition("+")
    if plus:
        slot_count = parse_whole_number(slots.lstrip("0"), MAX_SLOT_DIGITS)
        if slot_count is None or slot_count > MAX_SLOTS:
            raise RequestError(
                "BAD_FUNCTION",
                f"{decoded_name}: the slots behind + are a number from 1 to {MAX_SLOTS}",
            )
    tenant, slash, class_name = full_name.rpartition("/")
    if class_name not in settings.class_names:
        raise RequestError(
            "UNKNOWN_FUNCTION",
            f"{decoded_name}: no such class; there are {', '.join(settings.class_names)}",
        )
    return FunctionName(class_name, tenant if slash else None, float(slots or 1))


def find_target(function: FunctionName, settings: Settings, tenant: str) -> FunctionTarget:
    """Return the job class and tenant of a function in a job of `tenant`.

    Raise `RequestError` for an unknown tenant.
    """
    if settings.tenants and tenant not in settings.tenants:
        reason = f"no such tenant {tenant}" if tenant else "a function here is TENANT/CLASS"
        raise RequestError("UNKNOWN_FUNCTION", f"{function.class_name}: {reason}")
    tenant_index = settings.tenants.index(tenant) if settings.tenants else 0
    job_class = settings.class_names.index(function.class_name)
    return FunctionTarget(job_class, tenant_index, function.slots)


def full_function_name(settings: Settings, job_class: int, tenant: int) -> str:
    """Return the name of a class and tenant by index, as the text command `status` lists it."""
    class_name = settings.classes[job_class].name
    tenant_name = settings.tenant_name(tenant)
    return f"{tenant_name}/{class_name}" if tenant_name else class_name


def registered_name(functions: Container[str], class_name: str, tenant: str) -> str | None:
    """Return the name under which a worker registered a class, or None.

    TENANT/CLASS has priority over CLASS: a worker may register it with a timeout of its own.
    """
    candidates = (f"{tenant}/{class_name}", class_name)
    return next((name for name in candidates if name in functions), None)


@dataclass(frozen=True, slots=True)
class WorkerIdentity:
    """The properties of a worker, from its client id or the defaults of the operator's file.

    `zone` and `kind` are indexes into the settings.
    """

    name: str
    zone: int
    kind: int
    cell: int
    slots: int
    weight: float
    started_us: int


def parse_client_id(
    client_id: bytes, settings: Settings, defaults: WorkerDefaults, now_us: int
) -> WorkerIdentity:
    """Parse `ID` or `ID;zone=Z;kind=K;cell=N;slots=N;weight=W;start=MS`.

    Fields may come in any order, each at most once; otherwise raise `RequestError`. `start` is the
    worker's last start in Unix milliseconds. Without it, and for a start in the future, the start
    is `now_us`: a worker must not skip its slow start.
    """
    name, *parts = client_id.decode("utf-8", "replace").split(";")
    if not CLIENT_ID.fullmatch(name):
        raise RequestError(
            "BAD_CLIENT_ID", "the id has 1 to 64 printable characters, none a space or semicolon"
        )
    fields = _split_fields(parts)
    start_ms = _parse_integer("start", fields.get("start", "0"), 0, MAX_START_MS)
    return WorkerIdentity(
        name=name,
        zone=_index_of("zone", fields.get("zone", defaults.zone), settings.zones),
        kind=_index_of("kind", fields.get("kind", defaults.kind), settings.worker_kinds),
        cell=_parse_integer("cell", fields.get("cell", str(defaults.cell)), 0, MAX_CELL),
        slots=_parse_integer("slots", fields.get("slots", str(defaults.slots)), 1, MAX_SLOTS),
        weight=_parse_float(
            "weight", fields.get("weight", str(defaults.weight)), MIN_WEIGHT, MAX_WEIGHT
        ),
        started_us=min(start_ms * MILLISECOND_US, now_us) if start_ms else now_us,
    )


def _split_fields(parts: list[str]) -> dict[str, str]:
    fields: dict[str, str] = {}
    for part in parts:
        key, equals, value = part.partition("=")
        if key not in CLIENT_ID_KEYS or not equals or key in fields:
            raise RequestError(
                "BAD_CLIENT_ID", f"'{part}' is none of {', '.join(CLIENT_ID_KEYS)}, or comes twice"
            )
        fields[key] = value
    return fields


def _index_of(key: str, name: str, known_names: tuple[str, ...]) -> int:
    """Return the index of a name; 0 for an empty name."""
    if not name:
        return 0
    if name not in known_names:
        raise RequestError("BAD_CLIENT_ID", f"{key}={name} is not in the settings")
    return known_names.index(name)


def _parse_integer(key: str, value_text: str, minimum: int, maximum: int) -> int:
    try:
        value = int(value_text)
    except ValueError:
        raise _not_a_number(key, value_text, minimum, maximum) from None
    if not minimum <= value <= maximum:
        raise _not_a_number(key, value_text, minimum, maximum)
    return value


def _parse_float(key: str, value_text: str, minimum: float, maximum: float) -> float:
    try:
        value = float(value_text)
    except ValueError:
        raise _not_a_number(key, value_text, minimum, maximum) from None
    if not minimum <= value <= maximum:  # true for NaN
        raise _not_a_number(key, value_text, minimum, maximum)
    return value


def _not_a_number(key: str, value_text: str, minimum: float, maximum: float) -> RequestError:
    return RequestError(
        "BAD_CLIENT_ID", f"{key}={value_text} is not a number from {minimum:g} to {maximum:g}"
    )
