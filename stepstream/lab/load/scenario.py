"""Draw a scenario from a site: the workers, the planned requests and the faults of one run.

Each purpose has a random stream of its own; all streams are spawned from one `SeedSequence`. So a
change to the draws of one purpose does not change those of the others, and one seed gives the same
workers, load and faults for every mix of protocols.

The module holds no state. A `Scenario` belongs to the run that drew it: each draw changes its
streams, and only the thread of that run's event loop uses them.
"""

from dataclasses import dataclass
from enum import Enum

import numpy as np

from stepstream.config.errors import ConfigurationError
from stepstream.lab.emulator.clock import US_PER_MS, US_PER_SECOND
from stepstream.lab.emulator.worker_model import WorkerSpec
from stepstream.lab.load.site import JobClassTable, Site, WorkerFaultKind, WorkerFaultTable

MIXES = ("http", "gearman", "mixed")  # which protocols the clients and workers speak
MIXED_GEARMAN_FRACTION = 0.5  # fraction of the requests sent by Gearman in a mixed run
MIN_WORK_US = 1000

# The streams are spawned from the seed in this order. Append a new one at the end, so that the
# others stay the same.
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


class WireProtocol(Enum):
    """The protocol that a client or a worker speaks with the dispatcher."""

    HTTP = "http"
    GEARMAN = "gearman"


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One request of the schedule; the client's retries belong to the same request."""

    number: int
    at_us: int  # planned time, from the start of the run
    class_index: int  # in Site.job_classes
    tenant_index: int  # in Site.tenants
    work_us: int  # on a core of speed 1
    slots: int
    protocol: WireProtocol
    retry_after_random: float  # uniform on [0, 1); decides if the client follows Retry-After


@dataclass(frozen=True, slots=True)
class WorkerFault:
    """A fault that hits some of the workers; times count from the start of the run."""

    kind: WorkerFaultKind
    at_us: int
    end_us: int
    worker_indexes: tuple[int, ...]  # in Scenario.worker_specs
    size: float  # as WorkerFaultTable.size


@dataclass(frozen=True)
class Scenario:
    """The workers, planned requests and faults of one run, drawn from a site."""

    site: Site
    seconds: int
    worker_specs: tuple[WorkerSpec, ...]
    worker_protocols: tuple[WireProtocol, ...]  # in the order of `worker_specs`
    requests: tuple[PlannedRequest, ...]  # sorted by `at_us`
    faults: tuple[WorkerFault, ...]
    streams: dict[str, np.random.Generator]  # by purpose, for draws during the run


def generate_scenario(site: Site, seed: int, seconds: int, mix: str) -> Scenario:
    """Draw a run of `seconds` from `site`.

    `mix` decides which protocol each client and worker speaks, and nothing else. Raises
    ConfigurationError if it is not one of `MIXES`.
    """
    if mix not in MIXES:
        raise ConfigurationError(f"--mix={mix} is none of {', '.join(MIXES)}")
    children = np.random.SeedSequence(seed).spawn(len(STREAM_NAMES))
    streams = {
        name: np.random.default_rng(child)
        for name, child in zip(STREAM_NAMES, children, strict=True)
    }
    specs = tuple(
        sample_worker(site, index, streams["fleet"]) for index in range(site.worker_count)
    )
    protocols = tuple(choose_worker_protocol(mix, index) for index in range(len(specs)))
    requests = sample_requests(site, specs, seconds, mix, streams)
    faults = tuple(sample_fault(site, table, seconds, streams["faults"]) for table in site.faults)
    return Scenario(site, seconds, specs, protocols, requests, faults, streams)


def choose_worker_protocol(mix: str, index: int) -> WireProtocol:
    """Return a worker's protocol; in a mixed run the workers with an odd index speak HTTP."""
    if mix == "http" or (mix == "mixed" and index % 2):
        return WireProtocol.HTTP
    return WireProtocol.GEARMAN


def sample_worker(site: Site, index: int, rng: np.random.Generator) -> WorkerSpec:
    """Draw the kind, name and speed of one worker; its index decides its zone and cell."""
    shares = normalized([kind.share for kind in site.worker_kinds])
    kind = site.worker_kinds[rng.choice(len(site.worker_kinds), p=shares)]
    return WorkerSpec(
        name=f"s-{int(rng.integers(2**32)):08x}",
        zone=site.zones[index % len(site.zones)],
        kind=kind.name,
        cell=index // site.cell_size,
        cores=kind.cores,
        speed=float(rng.uniform(*kind.speed)),
        queue_capacity=kind.queue_capacity,
        initial_capacity_fraction=site.initial_capacity_fraction,
        slow_start_us=site.slow_start_ms * US_PER_MS,
        error_rate=site.error_rate,
        overload_multiple=site.overload_multiple,
        overload_window_us=site.overload_window_ms * US_PER_MS,
    )


def sample_requests(
    site: Site,
    specs: tuple[WorkerSpec, ...],
    seconds: int,
    mix: str,
    streams: dict[str, np.random.Generator],
) -> tuple[PlannedRequest, ...]:
    """Draw the requests, as Poisson arrivals; each stream draws for all requests at once."""
    shares = normalized([table.share for table in site.job_classes])
    duration_us = seconds * US_PER_SECOND
    count = int(streams["arrivals"].poisson(arrival_rate_per_us(site, specs, shares) * duration_us))
    arrivals_us = np.sort(streams["arrivals"].uniform(0, duration_us, count))
    classes = streams["classes"].choice(len(site.job_classes), size=count, p=shares)
    slot_draws = streams["classes"].random(count)
    sigmas = np.sqrt(np.log1p(np.array([table.cv for table in site.job_classes]) ** 2))
    normals = streams["work"].standard_normal(count)
    tenant_shares = normalized([table.share for table in site.tenants])
    tenants = streams["tenants"].choice(len(site.tenants), size=count, p=tenant_shares)
    protocol_draws = streams["protocol"].random(count)
    retry_after_draws = streams["retries"].random(count)
    requests = []
    for number in range(count):
        table = site.job_classes[classes[number]]
        work_us = lognormal_work_us(table, sigmas[classes[number]], normals[number])
        requests.append(
            PlannedRequest(
                number=number,
                at_us=int(arrivals_us[number]),
                class_index=int(classes[number]),
                tenant_index=int(tenants[number]),
                work_us=work_us,
                slots=2 if slot_draws[number] < table.two_slots_fraction else 1,
                protocol=choose_client_protocol(mix, protocol_draws[number]),
                retry_after_random=float(retry_after_draws[number]),
            )
        )
    return tuple(requests)


def lognormal_work_us(table: JobClassTable, sigma: float, normal: float) -> int:
    """Return a job's work, with mean `work_ms`; `normal` is a draw of the standard normal."""
    work_us = table.work_ms * US_PER_MS * np.exp(sigma * normal - sigma**2 / 2)
    return max(int(work_us), MIN_WORK_US)


def normalized(weights: list[float]) -> np.ndarray:
    """Return the weights scaled to a sum of 1."""
    return np.array(weights) / float(np.array(weights).sum())


def arrival_rate_per_us(site: Site, specs: tuple[WorkerSpec, ...], shares: np.ndarray) -> float:
    """Return the rate of requests, per microsecond, that loads the workers by `site.load`.

    `shares` holds the share of each job class; their sum is 1.
    """
    slots = np.array([1 + table.two_slots_fraction for table in site.job_classes])
    mean_us = float(sum(shares * slots * [table.work_ms * US_PER_MS for table in site.job_classes]))
    capacity = sum(spec.cores * spec.speed for spec in specs)
    return site.load * capacity / mean_us


def choose_client_protocol(mix: str, uniform: float) -> WireProtocol:
    """Return a request's protocol; in a mixed run, `uniform`, a draw on [0, 1), decides."""
    if mix == "gearman" or (mix == "mixed" and uniform < MIXED_GEARMAN_FRACTION):
        return WireProtocol.GEARMAN
    return WireProtocol.HTTP


def sample_fault(
    site: Site, table: WorkerFaultTable, seconds: int, rng: np.random.Generator
) -> WorkerFault:
    """Draw the workers that a fault hits, at least one."""
    count = min(max(1, round(table.worker_fraction * site.worker_count)), site.worker_count)
    worker_indexes = tuple(
        int(index) for index in rng.choice(site.worker_count, size=count, replace=False)
    )
    at_us = int(table.start_fraction * seconds * US_PER_SECOND)
    end_us = at_us + int(table.duration_fraction * seconds * US_PER_SECOND)
    return WorkerFault(table.kind, at_us, end_us, worker_indexes, table.size)
