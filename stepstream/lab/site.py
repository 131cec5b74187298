"""What a run is made of: a site file of ranges, one draw from it, and the load's schedule.

One `SeedSequence` gives a stream a purpose, so that a change to one draw does not shift the others: the
same seed is the same fleet, load and faults whatever the protocols.
"""

import tomllib
from dataclasses import dataclass
from enum import Enum
from importlib.resources import files
from typing import Annotated, Literal

import msgspec
import numpy as np

from stepstream.config.errors import ConfigurationError
from stepstream.lab.pricing import NodeSpec

Range = tuple[float, float]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
STREAMS = (
    "fleet",
    "arrivals",
    "classes",
    "work",
    "tenants",
    "retries",
    "nodes",
    "faults",
    "protocol",
    "discovery",
)


class Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A table of the site file."""


class KindPart(Part, kw_only=True):
    name: str
    share: Positive
    cores: Annotated[int, msgspec.Meta(ge=1)]
    speed: Range
    queue: Annotated[int, msgspec.Meta(ge=0)]


class ClassPart(Part, kw_only=True):
    name: str
    share: Positive
    work_ms: Positive  # mean
    cv: Positive  # of the lognormal
    aim_ms: Positive
    stretch: float = 0.0
    deadline_ms: Positive
    worth: Positive
    effect: Literal["pure", "token", "side_effect"]
    window_ms: int = 0
    two_slots: Share = 0.0


class TenantPart(Part, kw_only=True):
    name: str
    share: Share


class FaultPart(Part, kw_only=True):
    kind: Literal["crash", "drain", "slow", "errors"]
    at: Share  # of the run
    length: Share
    part: Share  # of the fleet
    size: float = 1.0


class Site(Part, kw_only=True):
    nodes: Annotated[int, msgspec.Meta(ge=2, le=1024)]
    cell_size: Annotated[int, msgspec.Meta(ge=1)]
    zones: tuple[str, ...]
    load: Positive  # work asked for over what the fleet can do
    notice_ms: Range  # how late discovery hears of a change
    cold_share: Share
    warm_ms: int
    fall_multiple: Positive
    fall_span_ms: int
    drain_grace_ms: int
    error_rate: Share
    retries: int
    backoff_ms: float
    kind: tuple[KindPart, ...]
    job: tuple[ClassPart, ...]
    tenant: tuple[TenantPart, ...]
    fault: tuple[FaultPart, ...] = ()
    lists: Literal["asked", "pushed"] = (
        "asked"  # of discovery, or of an agent beside the dispatcher
    )
    reports: Literal["none", "probe", "answers"] = "none"  # where nodes tell their load
    report_ms: Annotated[float, msgspec.Meta(ge=0)] = 50.0  # a node looks at its load so often
    probe_work_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0  # a probe's, on a core of speed 1
    attempts: Annotated[int, msgspec.Meta(ge=1)] = 4
    second_copies: bool = True
    marks_retries: bool = False
    worth_by: Literal["request", "work"] = "request"


OWN = ("small", "probed")  # the sites that come with the program


def read_site(path: str | None = None, name: str = OWN[0]) -> Site:
    """A site that comes with the program, by its name, or a file of their form; FieldError names the key."""
    if name not in OWN:
        raise ConfigurationError(f"--site={name} is none of {', '.join(OWN)}")
    where = path or f"{name}.toml"
    try:
        text = (
            open(path, encoding="utf-8").read()
            if path
            else (files(__package__) / where).read_text()
        )
        return msgspec.convert(tomllib.loads(text), Site)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ConfigurationError(f"site file {where}: {error}") from None


class Speech(Enum):
    HTTP = "http"
    GEARMAN = "gearman"


@dataclass(frozen=True, slots=True)
class Ask:
    """One job of the schedule; a client's retries belong to it."""

    number: int
    at_us: int
    job_class: int
    tenant: int
    work_us: int
    slots: int
    speech: Speech
    patience: float  # a draw that decides whether this client follows advice


@dataclass(frozen=True, slots=True)
class Fault:
    kind: str
    at_us: int
    end_us: int
    nodes: tuple[int, ...]
    size: float


@dataclass(frozen=True)
class Day:
    site: Site
    seconds: int
    specs: tuple[NodeSpec, ...]
    speeches: tuple[Speech, ...]  # of the nodes
    asks: tuple[Ask, ...]
    faults: tuple[Fault, ...]
    streams: dict[str, np.random.Generator]


def draw_day(site: Site, seed: int, seconds: int, mix: str) -> Day:
    """One draw; `mix` is http, gearman or mixed and changes nothing but who speaks what."""
    if mix not in ("http", "gearman", "mixed"):
        raise ConfigurationError(f"--mix={mix} is none of http, gearman, mixed")
    children = np.random.SeedSequence(seed).spawn(len(STREAMS))
    streams = {
        name: np.random.default_rng(child) for name, child in zip(STREAMS, children, strict=True)
    }
    specs = tuple(draw_node(site, k, streams["fleet"]) for k in range(site.nodes))
    speeches = tuple(
        Speech.HTTP if mix == "http" or (mix == "mixed" and k % 2) else Speech.GEARMAN
        for k in range(len(specs))
    )
    asks = draw_asks(site, specs, seconds, mix, streams)
    faults = tuple(draw_fault(site, part, seconds, streams["faults"]) for part in site.fault)
    return Day(site, seconds, specs, speeches, asks, faults, streams)


def draw_node(site: Site, k: int, rng: np.random.Generator) -> NodeSpec:
    weights = np.array([kind.share for kind in site.kind])
    kind = site.kind[rng.choice(len(site.kind), p=weights / weights.sum())]
    return NodeSpec(
        name=f"s-{int(rng.integers(2**32)):08x}",
        zone=site.zones[k % len(site.zones)],
        kind=kind.name,
        cell=k // site.cell_size,
        cores=kind.cores,
        speed=float(rng.uniform(*kind.speed)),
        queue=kind.queue,
        cold_share=site.cold_share,
        warm_us=site.warm_ms * 1000,
        error_rate=site.error_rate,
        fall_multiple=site.fall_multiple,
        fall_span_us=site.fall_span_ms * 1000,
    )


def draw_asks(
    site: Site,
    specs: tuple[NodeSpec, ...],
    seconds: int,
    mix: str,
    streams: dict[str, np.random.Generator],
) -> tuple[Ask, ...]:
    """Poisson arrivals; each purpose has its stream, drawn for all jobs at once."""
    shares = np.array([part.share for part in site.job])
    shares = shares / shares.sum()
    slots = np.array([1 + part.two_slots for part in site.job])
    mean_us = float(sum(shares * slots * [part.work_ms * 1000 for part in site.job]))
    capacity = sum(spec.cores * spec.speed for spec in specs)
    rate = site.load * capacity / mean_us  # jobs a microsecond
    count = int(streams["arrivals"].poisson(rate * seconds * 1e6))
    at = np.sort(streams["arrivals"].uniform(0, seconds * 1e6, count))
    kinds = streams["classes"].choice(len(site.job), size=count, p=shares)
    two = streams["classes"].random(count)
    spread = np.sqrt(np.log1p(np.array([part.cv for part in site.job]) ** 2))
    normal = streams["work"].standard_normal(count)
    tenant_shares = np.array([part.share for part in site.tenant])
    tenants = streams["tenants"].choice(
        len(site.tenant), size=count, p=tenant_shares / tenant_shares.sum()
    )
    speech, patience = streams["protocol"].random(count), streams["retries"].random(count)
    asks = []
    for n in range(count):
        part, sigma = site.job[kinds[n]], spread[kinds[n]]
        work = part.work_ms * 1000 * np.exp(sigma * normal[n] - sigma**2 / 2)
        gearman = mix == "gearman" or (mix == "mixed" and speech[n] < 0.5)
        asks.append(
            Ask(
                number=n,
                at_us=int(at[n]),
                job_class=int(kinds[n]),
                tenant=int(tenants[n]),
                work_us=max(int(work), 1000),
                slots=2 if two[n] < part.two_slots else 1,
                speech=Speech.GEARMAN if gearman else Speech.HTTP,
                patience=float(patience[n]),
            )
        )
    return tuple(asks)


def draw_fault(site: Site, part: FaultPart, seconds: int, rng: np.random.Generator) -> Fault:
    count = max(1, round(part.part * site.nodes))
    hit = tuple(int(k) for k in rng.choice(site.nodes, size=min(count, site.nodes), replace=False))
    at_us = int(part.at * seconds * 1e6)
    return Fault(part.kind, at_us, at_us + int(part.length * seconds * 1e6), hit, part.size)


def settings_of(day: Day) -> dict:
    """The day as a dispatcher's settings: nested JSON, as the platform gives them."""
    site = day.site
    rate = len(day.asks) / day.seconds
    return {
        "services": [
            {
                "name": part.name,
                "goal_time_us": int(part.aim_ms * 1000),
                "deadline_us": int(part.deadline_ms * 1000),
                "effect": part.effect,
                "key_scope": "cell",
                "window_us": part.window_ms * 1000,
                "worth": part.worth,
                "late_worth": 0.0,
            }
            for part in site.job
        ],
        "extra": {
            "class_kind": [-1] * len(site.job),
            "class_stretch": [part.stretch for part in site.job],
            "tells_start": True,
            "report_x0": "free slots",
        },
        "projects": [
            {"name": t.name, "quota_per_s": round(1.5 * rate * t.share, 1), "share": t.share}
            for t in site.tenant
        ],
        "over_share_worth": 0.2,
        "fleet_size": 1,
        "zones": list(site.zones),
        "zone": 0,
        "kinds": [part.name for part in site.kind],
        "discovery": "subscribe" if site.lists == "asked" else "automatic",
        "worth_by": site.worth_by,
        "limits": {
            "try_limit": site.attempts,
            "cancelling": True,
            "may_duplicate": site.second_copies,
            "probing": site.reports != "none",
            "retry_after": True,
            "max_retry_after_us": 2_000_000,
            "conn_idle_us": 10_000_000,
            "dial_timeout_us": 250_000,
            "max_open": 20_000,
        },
        "safety": {
            "stop_sending_within_us": site.drain_grace_ms * 1000,
            "cold_share": site.cold_share,
            "warm_within_us": site.warm_ms * 1000,
            "fall_multiple": site.fall_multiple,
            "tip_after_us": site.fall_span_ms * 1000,
            "must_ask_in_us": 10_000_000,
            "grace_to_answer_us": 16_000,
        },
        "load_report": {
            "how": site.reports,
            "columns": [] if site.reports == "none" else ["queue", "x0"],
        },
        "quantum_us": 4000,
    }
