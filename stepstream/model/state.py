"""What one load balancer knows: workers, jobs in flight, estimators, and the actions of a round.

It records and measures; the policy's modules decide by it. Only the decision thread touches it.
"""

import random
from collections import deque
from math import inf

from stepstream.model.actions import PolicyAction, SetTimer, TimerToken
from stepstream.model.endpoints import Endpoint, EndpointList, EndpointListKind, EndpointState
from stepstream.model.estimators import RunTimeEstimator
from stepstream.model.job_mix import JobMix
from stepstream.model.job_records import Attempt, AwaitedStart, InFlightJob
from stepstream.model.load_report_lag import LoadReportLag
from stepstream.model.pool_load import MANY_DISPATCHERS, PoolLoadEstimator
from stepstream.model.pools import SAFETY_FACTOR, Pool
from stepstream.model.settings import LoadReportSource, Settings
from stepstream.model.tenant_usage import TenantUsage
from stepstream.model.worker_records import HEADROOM_VALID_US, Worker

LATE_STARTS_KEPT = 15  # latest starts that tell the common cap where there are no load reports
NEWEST_OUTCOME_WEIGHT = 0.3  # in a worker's failure rate
NEWEST_RUN_WEIGHT = 0.15  # in a worker's slowness


class PolicyState:
    """The state that the modules of the policy share; times in microseconds."""

    def __init__(self, settings: Settings, seed: int, start_us: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.now_us = start_us
        self.actions: list[PolicyAction] = []
        self.workers: dict[str, Worker] = {}
        self.eligible_workers: list[Worker] = []  # active ones, by id
        self.workers_by_key: dict[str, list[Worker]] = {}  # of keys seen since the list changed
        self.jobs: dict[str, InFlightJob] = {}
        self.waiting: list[InFlightJob] = []  # until a worker has headroom
        self.awaited_starts: list[AwaitedStart] = []
        self.headroom_changed = False  # or time has passed, since waiting jobs were last tried
        self.health_check_credit = 0.0  # health checks that the jobs of this period allow
        self.warm_worker_count = 0.0  # capacity of all eligible workers, in warm ones
        self.common_cap: float | None = None  # stands in for an unknown cap
        self.late_start_slots: deque[float] = deque(maxlen=LATE_STARTS_KEPT)  # busy slots at those
        self.pool_headrooms: dict[Pool, float] = {}  # of this round
        self.has_load_reports = settings.load_report_source != LoadReportSource.NONE
        self.job_mix = JobMix()
        self.run_times = RunTimeEstimator(len(settings.classes), start_us)
        self.tenant_usage = TenantUsage(settings.quotas_per_s)
        self.report_lag = LoadReportLag()
        self.pool_load = PoolLoadEstimator(start_us, settings.dispatcher_count)
        self.high_set = self.pool_load.high_set
        self.low_set = self.pool_load.low_set

    # -- rounds -----------------------------------------------------------------------------

    def begin_round(self, now_us: int) -> None:
        """Set the time of the events that follow."""
        self.now_us = now_us
        self.pool_headrooms = {}
        self.pool_load.advance(now_us)
        self.common_cap = self.common_cap or self.median_cap()

    def take_actions(self) -> list[PolicyAction]:
        """Return the actions of the round and forget them."""
        actions = self.actions
        self.actions = []
        return actions

    def set_timer(self, token: TimerToken, at_us: int) -> None:
        """Ask for a timer."""
        self.actions.append(SetTimer(token, at_us))

    def replace_settings(self, new: Settings) -> None:
        """Go on under new settings; what was learned of classes and tenants stays, by name."""
        old = self.settings
        self.settings = new
        self.has_load_reports = new.load_report_source != LoadReportSource.NONE
        self.pool_load.is_many = new.dispatcher_count > MANY_DISPATCHERS
        self.run_times.carry_over(old.class_names, new.class_names)
        self.tenant_usage.carry_over(old.tenants, new.tenants)
        for job in self.jobs.values():
            job.reclassify(new.class_names)

    # -- workers ----------------------------------------------------------------------------

    def apply_endpoints(self, listed: EndpointList) -> None:
        """Add, change and remove workers as an endpoint list says."""
        for endpoint in listed.endpoints:
            self._apply_endpoint(endpoint)
        if listed.kind is not EndpointListKind.CHANGES:
            named = {endpoint.worker_id for endpoint in listed.endpoints}
            self.workers = {
                worker_id: worker
                for worker_id, worker in self.workers.items()
                if worker_id in named
            }
        self.eligible_workers = [
            worker
            for _, worker in sorted(self.workers.items())
            if worker.endpoint.state is EndpointState.ACTIVE
        ]
        self.workers_by_key = {}
        self.headroom_changed = True

    def _apply_endpoint(self, endpoint: Endpoint) -> None:
        if endpoint.state is EndpointState.REMOVED:
            self.workers.pop(endpoint.worker_id, None)
            return
        worker = self.workers.get(endpoint.worker_id)
        if worker is None or endpoint.started_us > worker.endpoint.started_us:
            # A restarted process is cold and healthy, and its old cap says nothing; its pool stays.
            warm_us = (
                endpoint.started_us + self.settings.slow_start_us if endpoint.started_us else 0
            )
            pool = worker.pool if worker is not None else self.low_set
            worker = Worker(endpoint, warm_us, self.now_us, pool)
            # By chance: else all dispatchers begin with the same worker.
            worker.current_weight = -self.rng.random() * endpoint.weight
            self.workers[endpoint.worker_id] = worker
        worker.endpoint = endpoint

    def headroom(self, worker: Worker) -> float:
        """Return the slots that a worker has free: as reported, else its cap less its busy slots.

        Where load is reported, an old 'full' must not draw attempts to its worker.
        """
        if self.now_us - worker.headroom_at_us <= HEADROOM_VALID_US:
            return worker.headroom
        own_cap = None if self.has_load_reports else worker.cap
        cap = self.common_cap if own_cap is None else own_cap
        return inf if cap is None else cap - worker.busy_slots

    def median_cap(self) -> float | None:
        """Return the median of the caps known by load report, 'full' or late starts, if any."""
        since_us = self.now_us - HEADROOM_VALID_US
        any_told = self.has_load_reports
        caps = [
            worker.headroom + worker.busy_slots
            if worker.headroom_at_us >= since_us and (any_told or worker.cap)
            else worker.cap
            for worker in self.eligible_workers
        ]
        if not any_told:
            # Many late starts count, so that one on a slow worker does not stand for all.
            caps += self.late_start_slots
        known = sorted(cap for cap in caps if cap is not None)
        return known[len(known) // 2] if known else None

    def record_load_report(self, worker: Worker, headroom: float) -> None:
        """Note a worker's free slots less its queued jobs, as it reports them."""
        self.report_lag.record_report(worker, self.now_us, headroom)
        worker.headroom = headroom - self.report_lag.unreported_slots(worker, self.now_us)
        worker.headroom_at_us = self.now_us
        if worker.headroom >= 1:  # less would help no waiting job
            self.headroom_changed = True

    def record_no_headroom(self, worker: Worker) -> None:
        """Note that a worker has no headroom now, whatever an older report says."""
        worker.headroom = min(self.headroom(worker), 0.0)
        worker.headroom_at_us = self.now_us

    def record_full(self, worker: Worker, busy_slots: float) -> None:
        """Note an answer 'full' that came with this many of our slots busy."""
        worker.cap = max(busy_slots * SAFETY_FACTOR, 1.0)
        # Else a worker that rejects jobs at once would look idle and draw the next ones.
        self.record_no_headroom(worker)

    def record_outcome(self, worker: Worker, *, failed: bool) -> None:
        """Count an attempt's outcome in the worker's failure rate."""
        worker.failure_rate += NEWEST_OUTCOME_WEIGHT * (failed - worker.failure_rate)

    def measure_open_runs(self) -> None:
        """Measure workers' slowness with open runs as they grow: on a slow worker few runs end."""
        for worker in self.eligible_workers:
            worker.slowness_with_open_runs = worker.slowness
        for job in self.jobs.values():
            for attempt in job.attempts:
                if attempt.open and attempt.started:
                    worker = attempt.worker
                    run_us = self.now_us - attempt.started_us
                    slowness = self.run_times.slowness(job.request.job_class, run_us)
                    more = max(slowness - worker.slowness, 0.0)
                    worker.slowness_with_open_runs += NEWEST_RUN_WEIGHT * more

    # -- attempts ---------------------------------------------------------------------------

    def record_attempt(self, job: InFlightJob, worker: Worker) -> Attempt:
        """Note that an attempt of the job goes to the worker."""
        attempt = Attempt(worker, self.now_us)
        job.attempts.append(attempt)
        self._change_busy(worker, job.request.slots)
        worker.record_attempt(job.request.job_class, self.now_us)
        return attempt

    def record_start(self, job: InFlightJob, attempt: Attempt) -> None:
        """Note that a worker has started an attempt."""
        worker = attempt.worker
        if not attempt.started:
            self._change_running(worker, job.request.slots)
            worker.record_start(job.request.job_class)
            if not attempt.late and worker.pool is self.low_set:
                self.pool_load.record_low_set_start(late=False)
            attempt.started_us = self.now_us
        at_cap = worker.busy_slots >= (self.common_cap or inf)
        if at_cap and not worker.has_valid_headroom(self.now_us):
            self.late_start_slots.append(worker.busy_slots + 1)  # headroom beyond the common cap

    def record_late_start(self, attempt: Attempt) -> None:
        """Note that an attempt has not started when it should have: its worker has no headroom."""
        worker = attempt.worker
        self.late_start_slots.append(worker.busy_slots)
        attempt.late = True
        if worker.pool is self.low_set:
            self.pool_load.record_low_set_start(late=True)
        self.record_no_headroom(worker)

    def record_end(self, job: InFlightJob, attempt: Attempt) -> None:
        """Note that an attempt is over, whatever its result."""
        attempt.open = False
        self._change_busy(attempt.worker, -job.request.slots)
        if attempt.started:
            self._change_running(attempt.worker, -job.request.slots)

    def record_served(self, job: InFlightJob, attempt: Attempt, elapsed_us: int) -> None:
        """Note how long a served job took, since it was sent and since it started."""
        self.run_times.record_served(self.now_us, job.request.job_class, elapsed_us)
        if attempt.started:
            run_us = self.now_us - attempt.started_us
            slowness = self.run_times.record_run(job.request.job_class, run_us)
            worker = attempt.worker
            worker.slowness += NEWEST_RUN_WEIGHT * (slowness - worker.slowness)

    def take_due_starts(self) -> list[AwaitedStart]:
        """Return the starts that are due by now, and stop waiting for them."""
        due = [start for start in self.awaited_starts if start.due_us <= self.now_us]
        self.awaited_starts = [start for start in self.awaited_starts if start.due_us > self.now_us]
        return due

    def _change_busy(self, worker: Worker, slots: float) -> None:
        worker.change_busy(self.now_us, slots)
        worker.pool.busy_slots += slots
        if slots < 0 and self.headroom(worker) >= 1:
            self.headroom_changed = True

    def _change_running(self, worker: Worker, slots: float) -> None:
        worker.running_slots += slots
        worker.pool.running_slots += slots
