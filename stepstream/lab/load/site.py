"""Input of a lab run: a site file of ranges, and the fleet, load and faults drawn from it.

`read_site` reads the ranges and `draw_scenario` draws one `Scenario` from them. Each purpose draws
from a random stream of its own, all spawned from one `SeedSequence`, so a change to the draws of
one purpose does not shift those of the others, and one seed gives the same fleet, load and faults
whatever the mix of protocols.

The module holds no state. A `Scenario` belongs to the run that drew it: its streams change with
each draw and are used on that run's event loop thread only.
"""

import tomllib
from dataclasses import dataclass
from enum import Enum
from importlib.resources import files
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
import numpy as np

from stepstream.config.errors import ConfigurationError
from stepstream.lab.emulator.worker_model import WorkerSpec

Range = tuple[float, float]  # low and high end of a uniform draw
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Positive = Annotated[float, msgspec.Meta(gt=0)]

# In the order in which they are spawned from the seed: a new one goes to the end.
STREAM_NAMES = (
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
MIXES = ("http", "gearman", "mixed")
BUNDLED_SITES = ("small", "probed")  # the site files that come with the program

GEARMAN_SHARE_OF_MIXED = 0.5  # of the requests
MIN_WORK_US = 1000
US_PER_MS = 1000
US_PER_SECOND = 1e6

# Settings of the dispatcher that are the same for each site.
QUOTA_FACTOR = 1.5  # a tenant's quota over its expected request rate
OVER_SHARE_WEIGHT = 0.2  # of a request beyond its tenant's share
MAX_RETRY_AFTER_US = 2_000_000
CONNECTION_IDLE_US = 10_000_000
CONNECT_TIMEOUT_US = 250_000
MAX_OPEN_REQUESTS = 20_000
MAX_POLL_INTERVAL_US = 10_000_000
ANSWER_GRACE_US = 16_000
QUANTUM_US = 4000


class SiteTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the tables of a site file; field names are the file's keys."""


class NodeKindTable(SiteTable, frozen=True, kw_only=True):
    """A kind of worker node, drawn with a probability in proportion to `share`."""

    name: str
    share: Positive
    cores: Annotated[int, msgspec.Meta(ge=1)]
    speed: Range
    queue: Annotated[int, msgspec.Meta(ge=0)]  # jobs that may wait


class JobClassTable(SiteTable, frozen=True, kw_only=True):
    """A class of jobs: its share of the load, its work, and what the dispatcher is told of it."""

    name: str
    share: Positive
    work_ms: Positive  # mean, on a core of speed 1
    cv: Positive  # coefficient of variation of the lognormal work
    aim_ms: Positive  # latency objective
    stretch: float = 0.0
    deadline_ms: Positive
    worth: Positive  # priority weight
    effect: Literal["pure", "token", "side_effect"]
    window_ms: int = 0
    two_slots: Share = 0.0  # of the jobs, those that take two slots


class TenantTable(SiteTable, frozen=True, kw_only=True):
    """A tenant and its share of the load."""

    name: str
    share: Share


class FaultTable(SiteTable, frozen=True, kw_only=True):
    """A fault that hits a random part of the fleet at a given time."""

    kind: Literal["crash", "drain", "slow", "errors"]
    at: Share  # start, as a share of the run
    length: Share  # duration, as a share of the run
    part: Share  # of the fleet
    size: float = 1.0  # factor of slowness, or rate of errors


class Site(SiteTable, frozen=True, kw_only=True):
    """A whole site file: ranges and settings of the fleet, the load and the faults."""

    nodes: Annotated[int, msgspec.Meta(ge=2, le=1024)]
    cell_size: Annotated[int, msgspec.Meta(ge=1)]
    zones: tuple[str, ...]
    load: Positive  # requested work over the fleet's capacity
    notice_ms: Range  # delay until discovery learns of a change
    cold_share: Share  # capacity of a node just started, as a share of its full capacity
    warm_ms: int  # duration of the warm-up
    fall_multiple: Positive  # work over present capacity that makes a cold node fail,
    fall_span_ms: int  # if it is sent within this time
    drain_grace_ms: int
    error_rate: Share
    retries: int  # by the client
    backoff_ms: float
    kind: tuple[NodeKindTable, ...]
    job: tuple[JobClassTable, ...]
    tenant: tuple[TenantTable, ...]
    fault: tuple[FaultTable, ...] = ()
    # "asked": the dispatcher polls discovery; "pushed": an agent beside it holds the endpoint list
    lists: Literal["asked", "pushed"] = "asked"
    reports: Literal["none", "probe", "answers"] = "none"  # where nodes report their load
    report_ms: Annotated[float, msgspec.Meta(ge=0)] = 50.0  # interval of a node's load samples
    probe_work_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0  # cost, on a core of speed 1
    attempts: Annotated[int, msgspec.Meta(ge=1)] = 4
    second_copies: bool = True  # whether the dispatcher may hedge
    marks_retries: bool = False  # whether clients mark a request as a retry
    worth_by: Literal["request", "work"] = "request"


def read_site(path: str | None = None, name: str = BUNDLED_SITES[0]) -> Site:
    """Read the site file at `path` or, without one, the bundled site called `name`.

    Raises ConfigurationError, naming the file and the key, if the name is unknown or the file is
    missing or malformed.
    """
    if name not in BUNDLED_SITES:
        raise ConfigurationError(f"--site={name} is none of {', '.join(BUNDLED_SITES)}")
    source = path or f"{name}.toml"
    try:
        file = Path(path) if path else files(__package__) / source
        return msgspec.convert(tomllib.loads(file.read_text(encoding="utf-8")), Site)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ConfigurationError(f"site file {source}: {error}") from error


class WireProtocol(Enum):
    """Protocol that a client or a worker node speaks with the dispatcher."""

    HTTP = "http"
    GEARMAN = "gearman"


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One request of the schedule; the client's retries of it are part of it."""

    number: int
    at_us: int  # from the start of the run
    job_class: int  # index in Site.job
    tenant: int  # index in Site.tenant
    work_us: int  # on a core of speed 1
    slots: int
    speech: WireProtocol
    patience: float  # uniform draw that decides whether this client follows Retry-After


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of the schedule; times count from the start of the run."""

    kind: str  # as FaultTable.kind
    at_us: int
    end_us: int
    nodes: tuple[int, ...]  # indexes in Day.specs
    size: float  # as FaultTable.size


@dataclass(frozen=True)
class Scenario:
    """One draw from a site: fleet, request schedule and fault schedule of a run."""

    site: Site
    seconds: int
    specs: tuple[WorkerSpec, ...]
    speeches: tuple[WireProtocol, ...]  # of the nodes, in the order of `specs`
    asks: tuple[PlannedRequest, ...]  # by time
    faults: tuple[Fault, ...]
    streams: dict[str, np.random.Generator]  # by purpose, for draws during the run


def draw_scenario(site: Site, seed: int, seconds: int, mix: str) -> Scenario:
    """Draw a run of `seconds` from `site`.

    `mix` is one of `MIXES` and decides who speaks which protocol, nothing else. Raises
    ConfigurationError if it is not one of them.
    """
    if mix not in MIXES:
        raise ConfigurationError(f"--mix={mix} is none of {', '.join(MIXES)}")
    children = np.random.SeedSequence(seed).spawn(len(STREAM_NAMES))
    streams = {
        name: np.random.default_rng(child)
        for name, child in zip(STREAM_NAMES, children, strict=True)
    }
    specs = tuple(sample_node(site, index, streams["fleet"]) for index in range(site.nodes))
    speeches = tuple(choose_node_protocol(mix, index) for index in range(len(specs)))
    asks = sample_requests(site, specs, seconds, mix, streams)
    faults = tuple(sample_fault(site, table, seconds, streams["faults"]) for table in site.fault)
    return Scenario(site, seconds, specs, speeches, asks, faults, streams)


def choose_node_protocol(mix: str, index: int) -> WireProtocol:
    """Return the protocol of the node with this index; in a mixed fleet the odd ones speak HTTP."""
    if mix == "http" or (mix == "mixed" and index % 2):
        return WireProtocol.HTTP
    return WireProtocol.GEARMAN


def sample_node(site: Site, index: int, rng: np.random.Generator) -> WorkerSpec:
    """Draw kind, name and speed of one node; zone and cell follow from its index."""
    shares = normalized([kind.share for kind in site.kind])
    kind = site.kind[rng.choice(len(site.kind), p=shares)]
    return WorkerSpec(
        name=f"s-{int(rng.integers(2**32)):08x}",
        zone=site.zones[index % len(site.zones)],
        kind=kind.name,
        cell=index // site.cell_size,
        cores=kind.cores,
        speed=float(rng.uniform(*kind.speed)),
        queue=kind.queue,
        cold_share=site.cold_share,
        warm_us=site.warm_ms * US_PER_MS,
        error_rate=site.error_rate,
        fall_multiple=site.fall_multiple,
        fall_span_us=site.fall_span_ms * US_PER_MS,
    )


def sample_requests(
    site: Site,
    specs: tuple[WorkerSpec, ...],
    seconds: int,
    mix: str,
    streams: dict[str, np.random.Generator],
) -> tuple[PlannedRequest, ...]:
    """Draw the requests, as Poisson arrivals; each stream is drawn for all of them at once."""
    shares = normalized([table.share for table in site.job])
    duration_us = seconds * US_PER_SECOND
    count = int(streams["arrivals"].poisson(arrival_rate_per_us(site, specs, shares) * duration_us))
    arrivals_us = np.sort(streams["arrivals"].uniform(0, duration_us, count))
    classes = streams["classes"].choice(len(site.job), size=count, p=shares)
    slot_draws = streams["classes"].random(count)
    sigmas = np.sqrt(np.log1p(np.array([table.cv for table in site.job]) ** 2))
    normals = streams["work"].standard_normal(count)
    tenant_shares = normalized([table.share for table in site.tenant])
    tenants = streams["tenants"].choice(len(site.tenant), size=count, p=tenant_shares)
    protocol_draws = streams["protocol"].random(count)
    patiences = streams["retries"].random(count)
    asks = []
    for number in range(count):
        table = site.job[classes[number]]
        sigma = sigmas[classes[number]]
        # Lognormal with the mean `work_ms`.
        work_us = table.work_ms * US_PER_MS * np.exp(sigma * normals[number] - sigma**2 / 2)
        asks.append(
            PlannedRequest(
                number=number,
                at_us=int(arrivals_us[number]),
                job_class=int(classes[number]),
                tenant=int(tenants[number]),
                work_us=max(int(work_us), MIN_WORK_US),
                slots=2 if slot_draws[number] < table.two_slots else 1,
                speech=choose_client_protocol(mix, protocol_draws[number]),
                patience=float(patiences[number]),
            )
        )
    return tuple(asks)


def normalized(weights: list[float]) -> np.ndarray:
    """Return the weights scaled to a sum of 1."""
    return np.array(weights) / float(np.array(weights).sum())


def arrival_rate_per_us(site: Site, specs: tuple[WorkerSpec, ...], shares: np.ndarray) -> float:
    """Return the requests per microsecond that load the fleet as `site.load` says.

    `shares` are those of the job classes, with a sum of 1.
    """
    slots = np.array([1 + table.two_slots for table in site.job])
    mean_us = float(sum(shares * slots * [table.work_ms * US_PER_MS for table in site.job]))
    capacity = sum(spec.cores * spec.speed for spec in specs)
    return site.load * capacity / mean_us


def choose_client_protocol(mix: str, uniform: float) -> WireProtocol:
    """Return a request's protocol; `uniform`, a draw on [0, 1), decides in a mixed load."""
    if mix == "gearman" or (mix == "mixed" and uniform < GEARMAN_SHARE_OF_MIXED):
        return WireProtocol.GEARMAN
    return WireProtocol.HTTP


def sample_fault(site: Site, table: FaultTable, seconds: int, rng: np.random.Generator) -> Fault:
    """Draw the nodes that a fault hits, at least one."""
    count = min(max(1, round(table.part * site.nodes)), site.nodes)
    nodes = tuple(int(index) for index in rng.choice(site.nodes, size=count, replace=False))
    at_us = int(table.at * seconds * US_PER_SECOND)
    end_us = at_us + int(table.length * seconds * US_PER_SECOND)
    return Fault(table.kind, at_us, end_us, nodes, table.size)


def settings_of(day: Scenario) -> dict[str, Any]:
    """Return the dispatcher's settings for a run: nested JSON with the platform's own keys."""
    site = day.site
    rate_per_second = len(day.asks) / day.seconds
    return {
        "services": [_service_settings(table) for table in site.job],
        "extra": {
            "class_kind": [-1] * len(site.job),
            "class_stretch": [table.stretch for table in site.job],
            "tells_start": True,
            "report_x0": "free slots",
        },
        "projects": [
            {
                "name": tenant.name,
                "quota_per_s": round(QUOTA_FACTOR * rate_per_second * tenant.share, 1),
                "share": tenant.share,
            }
            for tenant in site.tenant
        ],
        "over_share_worth": OVER_SHARE_WEIGHT,
        "fleet_size": 1,
        "zones": list(site.zones),
        "zone": 0,
        "kinds": [kind.name for kind in site.kind],
        "discovery": "subscribe" if site.lists == "asked" else "automatic",
        "worth_by": site.worth_by,
        "limits": _limit_settings(site),
        "safety": _safety_settings(site),
        "load_report": {
            "how": site.reports,
            "columns": [] if site.reports == "none" else ["queue", "x0"],
        },
        "quantum_us": QUANTUM_US,
    }


def _service_settings(table: JobClassTable) -> dict[str, Any]:
    """Return a job class as an entry of the settings' `services`."""
    return {
        "name": table.name,
        "goal_time_us": int(table.aim_ms * US_PER_MS),
        "deadline_us": int(table.deadline_ms * US_PER_MS),
        "effect": table.effect,
        "key_scope": "cell",
        "window_us": table.window_ms * US_PER_MS,
        "worth": table.worth,
        "late_worth": 0.0,
    }


def _limit_settings(site: Site) -> dict[str, Any]:
    """Return the settings' `limits`."""
    return {
        "try_limit": site.attempts,
        "cancelling": True,
        "may_duplicate": site.second_copies,
        "probing": site.reports != "none",
        "retry_after": True,
        "max_retry_after_us": MAX_RETRY_AFTER_US,
        "conn_idle_us": CONNECTION_IDLE_US,
        "dial_timeout_us": CONNECT_TIMEOUT_US,
        "max_open": MAX_OPEN_REQUESTS,
    }


def _safety_settings(site: Site) -> dict[str, Any]:
    """Return the settings' `safety`."""
    return {
        "stop_sending_within_us": site.drain_grace_ms * US_PER_MS,
        "cold_share": site.cold_share,
        "warm_within_us": site.warm_ms * US_PER_MS,
        "fall_multiple": site.fall_multiple,
        "tip_after_us": site.fall_span_ms * US_PER_MS,
        "must_ask_in_us": MAX_POLL_INTERVAL_US,
        "grace_to_answer_us": ANSWER_GRACE_US,
    }
