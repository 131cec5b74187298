"""Score a run by the jobs that were served within their latency objective.

Each part of the score is a fraction from 0 to 1: the priority weight of the jobs served in time,
divided by that of the jobs submitted. The score is the weighted sum of four parts, each computed by
one function: the whole run, its worst window, its worst job class and its worst tenant. To add a
part, write its function, choose its weight and add both to `score_run`.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from stepstream.lab.emulator.clock import US_PER_MS, US_PER_SECOND
from stepstream.lab.load.scenario import PlannedRequest, Scenario
from stepstream.lab.load.site import Site, WeightBasis
from stepstream.lab.verification.observations import FinalOutcome, JobRecord

WINDOW_US = 10_000_000
"""Length of a sliding window; the worst window is a part of the score."""

WINDOW_STEP_US = 1_000_000
"""Time between the starts of two windows."""

# Weights of the parts of the score; their sum is 1.
WHOLE_RUN_WEIGHT = 0.4
WORST_WINDOW_WEIGHT = 0.3
WORST_CLASS_WEIGHT = 0.2
WORST_TENANT_WEIGHT = 0.1

MEDIAN = 0.5
PERCENTILE_99 = 0.99

ClassFigures = dict[str, float]
"""One job class's row of the results, with the keys of the printed and stored results."""


@dataclass(slots=True)
class Figures:
    """The result of a run; the field names are keys of the stored results.

    The parts of the score are fractions from 0 to 1, latencies are in milliseconds.
    """

    score: float
    whole: float
    worst_window: float
    worst_class: float
    worst_tenant: float
    by_class: dict[str, ClassFigures]
    by_tenant: dict[str, float]
    finals: dict[str, int]
    attempts: int
    breaches: list[str]


def score_run(
    scenario: Scenario, records: list[JobRecord], attempt_count: int, breaches: list[str]
) -> Figures:
    """Return the figures of a run from the records of its jobs, in the order of submission."""
    by_class = figures_by_class(scenario.site, records)
    by_tenant = fraction_by_tenant(scenario.site, records)
    whole_run = whole_run_fraction(scenario.site, records)
    worst_window = worst_window_fraction(scenario, records)
    worst_class = worst_class_fraction(by_class)
    worst_tenant = worst_tenant_fraction(by_tenant)
    return Figures(
        score=WHOLE_RUN_WEIGHT * whole_run
        + WORST_WINDOW_WEIGHT * worst_window
        + WORST_CLASS_WEIGHT * worst_class
        + WORST_TENANT_WEIGHT * worst_tenant,
        whole=whole_run,
        worst_window=worst_window,
        worst_class=worst_class,
        worst_tenant=worst_tenant,
        by_class=by_class,
        by_tenant=by_tenant,
        finals=count_outcomes(records),
        attempts=attempt_count,
        breaches=list(breaches),
    )


# -- the parts of the score -----------------------------------------------------------------------


def whole_run_fraction(site: Site, records: list[JobRecord]) -> float:
    """Return the fraction served in time over the whole run."""
    return in_time_fraction(site, records)


def worst_window_fraction(scenario: Scenario, records: list[JobRecord]) -> float:
    """Return the least fraction served in time of any window of `WINDOW_US`."""
    return min(_window_fractions(scenario, records))


def worst_class_fraction(by_class: dict[str, ClassFigures]) -> float:
    """Return the least fraction served in time of any job class."""
    return min(row["in_time"] for row in by_class.values())


def worst_tenant_fraction(by_tenant: dict[str, float]) -> float:
    """Return the least fraction served in time of any tenant."""
    return min(by_tenant.values())


def _window_fractions(scenario: Scenario, records: list[JobRecord]) -> Iterator[float]:
    """Yield the fraction of each sliding window, by the jobs planned within it."""
    last_start_us = max(scenario.seconds * US_PER_SECOND - WINDOW_US, 0)
    for start_us in range(0, last_start_us + 1, WINDOW_STEP_US):
        end_us = start_us + WINDOW_US
        in_window = [record for record in records if start_us <= record.planned.at_us < end_us]
        yield in_time_fraction(scenario.site, in_window)


# -- one job --------------------------------------------------------------------------------------


def latency_objective_us(site: Site, planned: PlannedRequest) -> float:
    """Return a job's latency objective: that of its class plus `stretch` times the job's work.

    The objective is never longer than the deadline.
    """
    job_class = site.job_classes[planned.class_index]
    objective_us = job_class.latency_objective_ms * US_PER_MS + job_class.stretch * planned.work_us
    return min(objective_us, job_class.deadline_ms * US_PER_MS)


def is_in_time(site: Site, record: JobRecord) -> bool:
    """Return whether a job was served within its latency objective."""
    if record.outcome is not FinalOutcome.SERVED:
        return False
    return record.elapsed_us <= latency_objective_us(site, record.planned)


def priority_weight(site: Site, planned: PlannedRequest) -> float:
    """Return a job's weight: that of its class, times the job's work if the site weighs by work."""
    weight = site.job_classes[planned.class_index].priority_weight
    if site.weight_by is WeightBasis.WORK:
        return weight * planned.work_us * planned.slots
    return weight


def in_time_fraction(site: Site, records: list[JobRecord]) -> float:
    """Return the weight served in time over the weight submitted; 1 if nothing was submitted."""
    if not records:
        return 1.0
    weights = [priority_weight(site, record.planned) for record in records]
    served = sum(
        weight for weight, record in zip(weights, records, strict=True) if is_in_time(site, record)
    )
    return served / sum(weights)


# -- tables of the results ------------------------------------------------------------------------


def figures_by_class(site: Site, records: list[JobRecord]) -> dict[str, ClassFigures]:
    """Return the row of each job class, by its name."""
    return {
        job_class.name: class_figures(
            site, [record for record in records if record.planned.class_index == index]
        )
        for index, job_class in enumerate(site.job_classes)
    }


def class_figures(site: Site, records: list[JobRecord]) -> ClassFigures:
    """Return the row of one job class; the latencies are those of its served jobs."""
    latencies_ms = sorted(
        record.elapsed_us / US_PER_MS for record in records if record.outcome is FinalOutcome.SERVED
    )
    count = Counter(record.outcome for record in records)
    return {
        "asked": len(records),
        "in_time": in_time_fraction(site, records),
        "served": count[FinalOutcome.SERVED],
        "refused": count[FinalOutcome.REJECTED],
        "failed": count[FinalOutcome.FAILED],
        "p50_ms": quantile(latencies_ms, MEDIAN),
        "p99_ms": quantile(latencies_ms, PERCENTILE_99),
    }


def fraction_by_tenant(site: Site, records: list[JobRecord]) -> dict[str, float]:
    """Return the fraction served in time of each tenant, by its name."""
    return {
        tenant.name: in_time_fraction(
            site, [record for record in records if record.planned.tenant_index == index]
        )
        for index, tenant in enumerate(site.tenants)
    }


def count_outcomes(records: list[JobRecord]) -> dict[str, int]:
    """Return the number of jobs by the value of their outcome, "none" for those without one."""
    return dict(Counter(record.outcome.value if record.outcome else "none" for record in records))


def quantile(ordered: list[float], fraction: float) -> float:
    """Return the value at the given fraction of an ordered list; 0 if the list is empty."""
    if not ordered:
        return 0.0
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]
