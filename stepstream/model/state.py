"""The state of one load balancer: workers, pools, jobs, measurements, outgoing actions.

The policy's modules read and change these records; only the decision thread touches them.
"""

import random
from collections import deque

from stepstream.model.actions import PolicyAction
from stepstream.model.estimators import RunTimeEstimator
from stepstream.model.job_mix import JobMix
from stepstream.model.job_records import AwaitedStart, InFlightJob
from stepstream.model.load_report_lag import LoadReportLag
from stepstream.model.pool_load import PoolLoad
from stepstream.model.settings import LoadReportSource, Settings
from stepstream.model.tenant_usage import TenantUsage
from stepstream.model.worker_records import Worker

# Several caps are kept, so that one start on a slow worker does not decide for the whole fleet.
MAX_CAPS_OBSERVED = 15


class WorkerTable:
    """The workers that the endpoint list names."""

    def __init__(self) -> None:
        self.by_id: dict[str, Worker] = {}
        self.eligible: list[Worker] = []  # the active ones, in the order of their ids
        # The eligible workers in each key's order, by the key's CRC-32.
        self.key_orders: dict[int, list[Worker]] = {}
        self.warm_worker_equivalents = 0.0  # the sum of the eligible workers' slow-start factors
        # Since when nothing has confirmed the endpoint list; None: it is confirmed.
        self.unconfirmed_since_us: int | None = None
        # Whether to try the waiting jobs again: headroom was freed or measured, or a period began.
        self.waiting_jobs_due = False


class JobTable:
    """The jobs in flight, those that wait for headroom, and the awaited starts."""

    def __init__(self) -> None:
        self.in_flight: dict[str, InFlightJob] = {}  # by job id
        self.waiting_for_headroom: list[InFlightJob] = []
        self.awaited_starts: list[AwaitedStart] = []


class Measurements:
    """What is learned of jobs, run times, caps and load reports."""

    def __init__(self, settings: Settings, start_us: int) -> None:
        self.job_mix = JobMix()
        self.tenant_usage = TenantUsage(settings.quotas_per_s)
        self.run_times = RunTimeEstimator(len(settings.classes), start_us)
        self.report_lag = LoadReportLag()
        # Slots; the median of the known caps, which is used for a worker without a known cap.
        self.common_cap: float | None = None
        # Slots; caps that recent attempts' starts have shown.
        self.observed_caps: deque[float] = deque(maxlen=MAX_CAPS_OBSERVED)
        self.health_check_credit = 0.0  # health checks that may be sent at the end of the period

    def carry_over(self, old: Settings, new: Settings) -> None:
        """Keep what was learned of the classes and tenants that the new settings still name."""
        self.run_times.carry_over(old.class_names, new.class_names)
        self.tenant_usage.carry_over(old.tenants, new.tenants)


class PolicyState:
    """The records of one load balancer, and the actions of the present round."""

    def __init__(self, settings: Settings, seed: int, start_us: int) -> None:
        self.settings = settings
        self.has_load_reports = settings.load_report_source != LoadReportSource.NONE
        self.rng = random.Random(seed)
        self.now_us = start_us
        self.workers = WorkerTable()
        self.pools = PoolLoad(start_us)
        self.jobs = JobTable()
        self.measurements = Measurements(settings, start_us)
        self.actions: list[PolicyAction] = []

    def begin_round(self, now_us: int) -> None:
        """Begin a round: set the time of its events, and update the pools' averages."""
        self.now_us = now_us
        self.pools.headrooms = {}
        self.pools.advance(now_us)

    def take_actions(self) -> list[PolicyAction]:
        """Return the actions of the round and forget them."""
        actions = self.actions
        self.actions = []
        return actions

    def replace_settings(self, new: Settings) -> None:
        """Replace the settings; keep what was learned of classes and tenants by their names."""
        old = self.settings
        self.settings = new
        self.has_load_reports = new.load_report_source != LoadReportSource.NONE
        self.measurements.carry_over(old, new)
        for worker in self.workers.by_id.values():
            worker.reclassify_ejections(old.class_names, new.class_names)
        for job in self.jobs.in_flight.values():
            job.reclassify(new.class_names)
