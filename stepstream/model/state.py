"""What one load balancer knows: workers, jobs in flight, estimators, and the actions of a round.

It records and measures; the policy's modules decide by it. Only the decision thread touches it.
"""

import random
from collections import deque
from math import inf
from zlib import crc32

from stepstream.model.actions import (
    CancelAttempt,
    PolicyAction,
    SetTimer,
    StartAttempt,
    TimerToken,
)
from stepstream.model.endpoints import Endpoint, EndpointList, EndpointListKind, EndpointState
from stepstream.model.estimators import RunTimeEstimator
from stepstream.model.events import AttemptEnded, AttemptResult, JobSubmitted
from stepstream.model.job_mix import JobMix
from stepstream.model.job_records import Attempt, AwaitedStart, InFlightJob
from stepstream.model.load_report_lag import LoadReportLag
from stepstream.model.pool_load import MANY_DISPATCHERS, PoolLoadEstimator
from stepstream.model.pools import SAFETY_FACTOR, Pool
from stepstream.model.settings import LoadReportSource, Settings
from stepstream.model.tenant_usage import TenantUsage
from stepstream.model.worker_records import HEADROOM_VALID_US, LONGEST_REPORT_LAG_US, Worker

START_DUE_FRACTION = 0.4  # of the latency objective: an attempt that starts later is late
START_DUE_FRACTION_MANY = 0.2  # the same of many dispatchers, whose caps are told by it
LATE_STARTS_REMEMBERED = 15  # they tell the common cap where there are no load reports
NEWEST_OUTCOME_WEIGHT = 0.3  # in a worker's failure rate
NEWEST_RUN_WEIGHT = 0.15  # in a worker's slowness
HASH_FACTOR = 0x9E3779B1  # spreads the bits of a 32-bit hash: Knuth's multiplicative method


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
        self.headroom_changed = False  # since waiting jobs were last tried, or time has passed
        self.health_check_credit = 0.0  # health checks that the jobs of this period allow
        self.warm_worker_count = 0.0  # capacity of all eligible workers, in warm ones
        self.common_cap: float | None = None  # stands in for an unknown cap
        # Busy slots at the latest late starts, and at prompt ones beyond the common cap.
        self.late_start_slots: deque[float] = deque(maxlen=LATE_STARTS_REMEMBERED)
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

    def begin_period(self) -> None:
        """Measure anew what changes slowly, and forget the jobs of long ago."""
        self.common_cap = self.median_cap()
        self.headroom_changed = True  # time has passed
        self.job_mix.forget_old_jobs()
        self._count_warm_workers()

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
        self.pool_load.has_many_dispatchers = new.dispatcher_count > MANY_DISPATCHERS
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
        self._count_warm_workers()

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

    def workers_for_key(self, key: str) -> list[Worker]:
        """Return the eligible workers in the key's order, which is the same at every dispatcher."""
        if key not in self.workers_by_key:
            key_hash = crc32(key.encode())
            self.workers_by_key[key] = sorted(
                self.eligible_workers,
                key=lambda worker: (worker.id_hash ^ key_hash) * HASH_FACTOR % 2**32,
            )
        return self.workers_by_key[key]

    def slow_start_factor(self, worker: Worker) -> float:
        """Return the least fraction of its capacity that a worker has by now."""
        if self.now_us >= worker.slow_start_ends_us:
            return 1.0
        age_us = max(self.now_us - worker.endpoint.started_us, 0)
        progress = age_us / max(self.settings.slow_start_us, 1)
        first = self.settings.cold_capacity_fraction
        return first + (1 - first) * progress

    def _count_warm_workers(self) -> None:
        self.warm_worker_count = sum(map(self.slow_start_factor, self.eligible_workers))

    def warm_worker_interval_us(self, job_class: int) -> float:
        """Return the mean time between two jobs of this class that a warm worker serves for us."""
        settings = self.settings
        interval_us = self.run_times.served_interval_us
        interval_us = interval_us or settings.overload_window_us * settings.dispatcher_count
        class_mean_us = self.run_times.mean_us[job_class]
        overall_mean_us = self.run_times.mean_us[-1]
        if class_mean_us and overall_mean_us:
            interval_us *= class_mean_us / overall_mean_us
        return interval_us * self.warm_worker_count

    @property
    def worker_cap(self) -> float:
        """Return the cap of a worker whose own is not known, in slots."""
        if self.pool_load.has_many_dispatchers:
            return self.pool_load.cap
        return inf if self.common_cap is None else max(self.common_cap, 1.0)

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
        has_reports = self.has_load_reports
        caps = [
            worker.headroom + worker.busy_slots
            if worker.headroom_at_us >= since_us and (has_reports or worker.cap)
            else worker.cap
            for worker in self.eligible_workers
        ]
        if not has_reports:
            # Many late starts count, so that one on a slow worker does not stand for all.
            caps += self.late_start_slots
        known = sorted(cap for cap in caps if cap is not None)
        return known[len(known) // 2] if known else None

    def known_headroom_count(self) -> int:
        """Return how many eligible workers' headroom is known and recent."""
        return sum(worker.has_valid_headroom(self.now_us) for worker in self.eligible_workers)

    def silent_workers(self, silent_us: int) -> list[Worker]:
        """Return the eligible workers whose headroom was last heard of so long ago."""
        return [w for w in self.eligible_workers if self.now_us - w.headroom_at_us >= silent_us]

    def record_load_report(self, worker: Worker, report: dict[str, float] | None) -> bool:
        """Note a worker's load; return whether it reports headroom and no queue."""
        if not report or "free_slots" not in report:
            return False
        headroom = report["free_slots"] - report.get("queue", 0.0)
        self.report_lag.record_report(worker, self.now_us, headroom)
        worker.headroom = headroom - self.report_lag.unreported_slots(worker, self.now_us)
        worker.headroom_at_us = self.now_us
        if worker.headroom >= 1:  # less would help no waiting job
            self.headroom_changed = True
        return headroom >= 1 and report.get("queue", 1.0) < 1

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

    # -- jobs and attempts ------------------------------------------------------------------

    def record_arrival(self, request: JobSubmitted) -> bool:
        """Count a job; return whether its tenant is within its quota."""
        self.job_mix.record_arrival(request.key)
        return self.tenant_usage.record_job(
            request.tenant, self.settings.quotas_per_s, self.job_mix.jobs_seen
        )

    def start_attempt(self, job: InFlightJob, worker: Worker) -> None:
        """Send the job to the worker and, where starts are reported, await its start."""
        attempt = Attempt(worker, self.now_us)
        job.attempts.append(attempt)
        self._change_busy(worker, job.request.slots)
        worker.record_attempt(job.request.job_class, self.now_us)
        self.actions.append(StartAttempt(job.request.job_id, worker.endpoint.worker_id))
        if self.settings.reports_start:
            fraction = (
                START_DUE_FRACTION_MANY
                if self.pool_load.has_many_dispatchers
                else START_DUE_FRACTION
            )
            due_us = self.now_us + int(fraction * job.class_settings.latency_objective_us)
            self.awaited_starts.append(AwaitedStart(due_us, job, attempt))
            self.set_timer(TimerToken.START_DUE, due_us)

    def cancel_attempts(self, job: InFlightJob, attempts: list[Attempt]) -> None:
        """Cancel those of the job's attempts that are open, where the platform can cancel."""
        for number, attempt in enumerate(job.attempts):
            if self.settings.may_cancel and attempt.open and attempt in attempts:
                self.actions.append(CancelAttempt(job.request.job_id, number))

    def end_job(self, job: InFlightJob) -> None:
        """Note that no answer is owed any more, and cancel attempts that now serve nobody."""
        job.ended = True
        self.cancel_attempts(job, job.attempts)
        if not job.has_open_attempt:
            self.jobs.pop(job.request.job_id, None)

    def add_waiting_job(self, job: InFlightJob, until_us: int) -> None:
        """Let a job wait for headroom, with a timer for when it may not wait any longer."""
        self.waiting.append(job)
        if not job.wait_timer_set:
            self.set_timer(TimerToken.WAIT_EXPIRED, until_us)
            job.wait_timer_set = True

    def waiting_priority_slots(self) -> float:
        """Return the slots of the priority jobs that wait for headroom."""
        return sum(job.request.slots for job in self.waiting if job.priority and not job.ended)

    def expected_wait_us(self) -> float:
        """Return when one more waiting job has its turn, at the rate at which our jobs end."""
        ahead = sum(1 for job in self.waiting if not job.ended)
        return self.run_times.served_interval_us * (1 + ahead)

    def take_headroom_change(self) -> bool:
        """Return whether headroom or time has changed since the last call."""
        changed = self.headroom_changed
        self.headroom_changed = False
        return changed

    def take_waiting_jobs(self) -> list[InFlightJob]:
        """Return the jobs that wait for headroom, priority jobs first, and forget them."""
        if not self.waiting:
            return []
        waiting = [job for job in self.waiting if not job.ended]
        waiting.sort(key=lambda job: not job.priority)
        self.waiting = []
        return waiting

    def find_lost_attempts(self, worker: Worker) -> list[tuple[InFlightJob, Attempt]]:
        """Return attempts that should have started before a report of now: they never will."""
        sent_before_us = self.now_us - LONGEST_REPORT_LAG_US
        return [
            (job, attempt)
            for job in self.jobs.values()
            for attempt in job.attempts
            if attempt.worker is worker
            and attempt.start_missing
            and attempt.sent_us < sent_before_us
        ]

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

    def record_end(self, job: InFlightJob, attempt: Attempt, ended: AttemptEnded) -> None:
        """Note that an attempt is over, and how long it took if its job was served."""
        attempt.open = False
        attempt.never_ran = ended.result.never_ran
        self._change_busy(attempt.worker, -job.request.slots)
        if attempt.started:
            self._change_running(attempt.worker, -job.request.slots)
        if ended.result is AttemptResult.OK:
            self._record_served(job, attempt, ended.elapsed_us)

    def _record_served(self, job: InFlightJob, attempt: Attempt, elapsed_us: int) -> None:
        self.run_times.record_served(self.now_us, job.request.job_class, elapsed_us)
        if attempt.started:
            run_us = self.now_us - attempt.started_us
            slowness = self.run_times.record_run(job.request.job_class, run_us)
            worker = attempt.worker
            worker.slowness += NEWEST_RUN_WEIGHT * (slowness - worker.slowness)

    def take_due_starts(self) -> list[AwaitedStart]:
        """Return the starts that are due and still missing, and stop waiting for what is due."""
        due = [start for start in self.awaited_starts if start.due_us <= self.now_us]
        self.awaited_starts = [start for start in self.awaited_starts if start.due_us > self.now_us]
        return [start for start in due if start.attempt.open and not start.attempt.started]

    def _change_busy(self, worker: Worker, slots: float) -> None:
        worker.change_busy(self.now_us, slots)
        worker.pool.busy_slots += slots
        if slots < 0 and self.headroom(worker) >= 1:
            self.headroom_changed = True

    def _change_running(self, worker: Worker, slots: float) -> None:
        worker.running_slots += slots
        worker.pool.running_slots += slots
