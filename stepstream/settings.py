"""The one reader of settings: dotted pairs from the simulator's wire, nested JSON from a deployment.

Both become the module's Settings by the same checks and defaults, so that a key means one thing.
"""

import os
from collections.abc import Mapping
from dataclasses import dataclass, field
from math import inf

import ujson

from stepstream import interface as i

REPORTS = {how: how for how in ("answers", "probe", "none")}
SCOPES = {scope: scope for scope in ("all", "zone", "cell")}
EFFECTS = {"pure": i.Effect.SAFE, "token": i.Effect.KEYED, "side_effect": i.Effect.UNSAFE}


class FieldError(Exception):
    """A value is missing or cannot be read; the text names its key."""


class Fields:
    """The name=value parts of one message; names that nobody asks for are ignored."""

    def __init__(self, parts: list[str]) -> None:
        self.values: dict[str, str] = {}
        for part in parts:
            name, eq, value = part.partition("=")
            if not eq or not name:
                raise FieldError(f"'{part}' is not name=value")
            self.values[name] = value

    @classmethod
    def of(cls, values: dict[str, str]) -> "Fields":
        fields = cls([])
        fields.values = values
        return fields

    def text(self, name: str, default: str | None = None) -> str:
        value = self.values.get(name, default)
        if value is None:
            raise FieldError(f"{name} is missing")
        return value

    def whole(self, name: str, default: int | None = None) -> int:
        value = self.values.get(name)
        if value is None and default is not None:
            return default
        try:
            return int(self.text(name))
        except ValueError:
            raise FieldError(f"{name}={value} is not a whole number") from None

    def number(self, name: str, default: float | None = None) -> float:
        value = self.values.get(name)
        if value is None and default is not None:
            return default
        try:
            number = float(self.text(name))
        except ValueError:
            raise FieldError(f"{name}={value} is not a number") from None
        if number != number or number in (float("inf"), float("-inf")):
            raise FieldError(f"{name}={value} is not a finite number")
        return number

    def least(self, name: str, least: int, default: int | None = None) -> int:
        """A whole number that cannot be served below `least`."""
        value = self.whole(name, default)
        if value < least:
            raise FieldError(f"{name}={value} must be at least {least}")
        return value

    def between(self, name: str, low: float, high: float, default: float) -> float:
        value = self.number(name, default)
        if not low <= value <= high:
            raise FieldError(f"{name}={value} is not between {low:g} and {high:g}")
        return value

    def flag(self, name: str, default: bool = False) -> bool:
        value = self.values.get(name)
        if value is None:
            return default
        if value in ("1", "true"):
            return True
        if value in ("0", "false"):
            return False
        raise FieldError(f"{name}={value} is not a truth value")

    def one_of(self, name: str, table: dict, default: str | None = None) -> object:
        value = self.text(name, default)
        if value not in table:
            raise FieldError(f"{name}={value} is not known")
        return table[value]

    def row(self, name: str) -> list[str]:
        value = self.values.get(name, "")
        return value.split(",") if value not in ("", "-") else []


def read_settings(fields: Fields) -> i.Settings:
    count = fields.least("services.count", 1)
    try:
        kinds = [int(x) for x in fields.row("extra.class_kind")] or [-1] * count
        stretches = [float(x) for x in fields.row("extra.class_stretch")]
    except ValueError:
        raise FieldError(
            "extra.class_kind or extra.class_stretch is not a list of numbers"
        ) from None
    stretches = stretches or [fields.number(f"services.{k}.aim_stretch", 0.0) for k in range(count)]
    if len(kinds) != count or len(stretches) != count:
        raise FieldError("extra.class_kind or extra.class_stretch does not match services.count")

    def job_class(k: int) -> i.JobClass:
        at = f"services.{k}."
        deadline = fields.least(at + "deadline_us", 1)
        effect = fields.one_of(at + "effect", EFFECTS, "side_effect")
        keyed = effect is i.Effect.KEYED  # to the others a scope means nothing
        scope = fields.one_of(at + "key_scope", SCOPES, "cell") if keyed else "cell"
        return i.JobClass(
            goal_us=fields.least(at + "goal_time_us", 1, deadline),
            deadline_us=deadline,
            effect=effect,
            worth=fields.number(at + "worth", 1.0),
            late_worth=fields.number(at + "late_worth", 0.0),
            stretch=stretches[k],
            key_scope=scope,
            # Of 0: no repeat is inside it, and none is sent.
            window_us=fields.least(at + "window_us", 0, 0),
            kind=kinds[k],
            name=fields.text(at + "name", ""),
        )

    names = fields.row("load_report.columns")
    columns = [report_name(fields, name) for name in names]
    for name, meaning in zip(names, columns, strict=True):
        if names.count(name) > 1 or columns.count(meaning) > 1:
            raise FieldError(f"load_report.columns names {name} twice")
    return i.Settings(
        classes=tuple(job_class(k) for k in range(count)),
        quotas_per_s=tuple(
            fields.number(f"projects.{k}.quota_per_s", 0.0)
            for k in range(fields.whole("projects.count", 0))
        ),
        over_share_worth=fields.number("over_share_worth", 1.0),
        fleet_size=fields.least("fleet_size", 1, 1),
        zone=fields.whole("zone", 0),
        must_ask=fields.text("discovery", "automatic") == "subscribe",
        must_ask_us=fields.least("safety.must_ask_in_us", 0, 10_000_000),
        attempt_limit=fields.least("limits.try_limit", 1, 1),
        may_probe=fields.flag("limits.probing"),
        may_cancel=fields.flag("limits.cancelling"),
        may_duplicate=fields.flag("limits.may_duplicate"),
        may_advise_retry=fields.flag("limits.retry_after"),
        max_retry_after_us=fields.least("limits.max_retry_after_us", 0, 0),
        reports=fields.one_of("load_report.how", REPORTS, "none"),
        report_columns=tuple(columns),
        report_names=tuple(names),
        tells_start=fields.flag("extra.tells_start"),
        cross_zone_price=fields.number("deductions.cross_zone", 0.0),
        handshake_price=fields.number("deductions.handshake", 0.0),
        probe_price=fields.number("deductions.probe", 0.0),
        drain_grace_us=fields.least("safety.stop_sending_within_us", 0, 0),
        cold_share=fields.between("safety.cold_share", 0, 1, 1.0),
        warm_within_us=fields.least("safety.warm_within_us", 0, 0),
        fall_multiple=fields.between(
            "safety.fall_multiple", 0, inf, 1.0
        ),  # of 0: nothing while it is cold
        fall_span_us=fields.least("safety.tip_after_us", 0, 1_000_000),
        quantum_us=fields.whole("quantum_us", 1_000),
        tenants=tuple(
            fields.text(f"projects.{k}.name", "") for k in range(fields.whole("projects.count", 0))
        ),
        zones=tuple(fields.row("zones")),
        kinds=tuple(fields.row("kinds")),
        grace_us=fields.least("safety.grace_to_answer_us", 0, 0),
        conn_idle_us=fields.least("limits.conn_idle_us", 0, 10_000_000),
        dial_timeout_us=fields.least("limits.dial_timeout_us", 1, 250_000),
        max_open=fields.least("limits.max_open", 1, 20_000),
    )


def report_name(fields: Fields, column: str) -> str:
    """The reports' x0 and x1 by the meaning the settings give them, worded as one name."""
    meaning = fields.text(f"extra.report_{column}", column) if column in ("x0", "x1") else column
    return "_".join(meaning.split()) or column


@dataclass(frozen=True)
class Config:
    """What one dispatcher is told at its start."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    cores: float
    memory_mb: int
    sockets: int
    settings: i.Settings
    known: dict = field(default_factory=dict)  # a list in discovery's form, maybe old
    operator: tuple[str, int] | None = None  # the admin listener's address; None: there is none


def flatten(value: object, path: str, pairs: dict[str, str]) -> dict[str, str]:
    """Nested JSON as the wire's dotted pairs."""
    dot = f"{path}." if path else ""
    if isinstance(value, dict):
        for name, part in value.items():
            flatten(part, dot + str(name), pairs)
    elif isinstance(value, list) and any(isinstance(part, dict) for part in value):
        pairs[dot + "count"] = str(len(value))
        for k, part in enumerate(value):
            flatten(part, f"{dot}{k}", pairs)
    elif isinstance(value, list):
        if any("," in str(part) for part in value):
            raise FieldError(f"{path}: a value in this list holds a comma")
        pairs[path] = ",".join(map(plain, value))
    elif value is not None:
        pairs[path] = plain(value)
    return pairs


def plain(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


def address(fields: Fields, name: str) -> tuple[str, int]:
    host, _, port = fields.text(name).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise FieldError(f"{name}={fields.text(name)} is not HOST:PORT")
    return host, int(port)


def positive(fields: Fields, name: str, default: float) -> float:
    value = fields.number(name, default)
    if value <= 0:
        raise FieldError(f"{name}={value} must be above 0")
    return value


def read_config(environment: Mapping[str, str] = os.environ) -> Config:
    """EDGE_CONFIG's file; EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and EDGE_OPERATOR stand in for what it
    leaves out.
    """
    path = environment.get("EDGE_CONFIG")
    if not path:
        raise FieldError("EDGE_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            data = ujson.loads(file.read())
    except (OSError, ValueError) as error:
        raise FieldError(f"EDGE_CONFIG={path} cannot be read: {error}") from None
    if not isinstance(data, dict):
        raise FieldError(f"EDGE_CONFIG={path} is not a JSON object")
    return config_from(data, environment)


def config_from(data: dict, environment: Mapping[str, str]) -> Config:
    names = ("name", "listen", "discovery", "operator", "seed", "limits")
    own = {name: data[name] for name in names if name in data}
    pairs = flatten(own, "", {})
    for name in ("name", "listen", "discovery", "operator"):
        if f"EDGE_{name.upper()}" in environment:
            pairs.setdefault(name, environment[f"EDGE_{name.upper()}"])
    fields = Fields.of(pairs)
    if not isinstance(data.get("settings"), dict):
        raise FieldError("settings is missing or not an object")
    known = data.get("known") or {}
    if not isinstance(known, dict):
        raise FieldError("known is not an object")
    seed = fields.text("seed", "0")
    try:
        number = int(seed, 16)
    except ValueError:
        raise FieldError(f"seed={seed} is not a hexadecimal number") from None
    try:
        settings = read_settings(Fields.of(flatten(data["settings"], "", {})))
    except FieldError as error:
        raise FieldError(f"settings: {error}") from None
    return Config(
        name=fields.text("name", "dispatcher"),
        listen=address(fields, "listen"),
        discovery=address(fields, "discovery"),
        seed=number,
        cores=positive(fields, "limits.cores", 1.0),
        memory_mb=int(positive(fields, "limits.memory_mb", 192)),
        sockets=int(positive(fields, "limits.sockets", 1024)),
        settings=settings,
        known=known,
        operator=address(fields, "operator") if fields.values.get("operator") else None,
    )
