"""Admission: classify each job that arrives, and decide whether to reject it at once."""

from stepstream.model.events import JobSubmitted
from stepstream.model.job_records import InFlightJob
from stepstream.model.settings import JobClass, Settings
from stepstream.model.state import PolicyState
from stepstream.policy import load_reports, pool_capacity, pools, priority, quotas, retries, waiting

# With many dispatchers the Low Set may exceed its caps by this fraction of them for a heavy
# ordinary job. Heavy jobs are worth a little overload, light ones are not.
MAX_HEAVY_OVERLOAD_FRACTION_OF_CAPS = 0.5


def on_job_submitted(state: PolicyState, request: JobSubmitted) -> None:
    """Reject the job or start its first attempt."""
    load_reports.credit_health_checks(state)
    job = _classify(state, request)
    state.jobs.in_flight[request.job_id] = job
    if _is_rejected(state, job):
        retries.give_up(state, job)
    else:
        retries.attempt_or_wait(state, job)


def _classify(state: PolicyState, request: JobSubmitted) -> InFlightJob:
    """Count a job that has arrived; return its record, with its priority and its quota's state."""
    job_class = state.settings.classes[request.job_class]
    over_quota = _charge_quota(state, request)
    weight = job_class.priority_weight
    if over_quota:
        weight *= state.settings.over_quota_weight_fraction
    is_priority = _count_weight_and_compare(state, weight)
    misses_objective = _has_missed_objective(state.settings, request, job_class)
    return InFlightJob(
        request,
        job_class,
        wait_until_us=waiting.wait_until_us(state, job_class),
        deadline_us=state.now_us + request.budget_us,
        priority=is_priority,
        priority_weight=weight,
        over_quota=over_quota,
        stale_retry=misses_objective and not is_priority,
    )


def _charge_quota(state: PolicyState, request: JobSubmitted) -> bool:
    """Charge a job to its tenant's quota; return whether the job loses weight by being over it."""
    measurements = state.measurements
    measurements.job_mix.record_arrival(request.key)
    within_quota = quotas.charge_quota(
        measurements.tenant_usage,
        request.tenant,
        state.settings.quotas_per_s,
        measurements.job_mix.jobs_seen,
    )
    return not within_quota and state.settings.over_quota_weight_fraction < 1.0


def _count_weight_and_compare(state: PolicyState, weight: float) -> bool:
    """Count a job's weight, and return whether it is a priority job."""
    job_mix = state.measurements.job_mix
    job_mix.record_weight(weight)
    is_priority = priority.is_priority_weight(job_mix, weight)
    job_mix.record_priority(priority=is_priority)
    if not is_priority:
        job_mix.record_ordinary_weight(weight)
    return is_priority


def _has_missed_objective(settings: Settings, request: JobSubmitted, job_class: JobClass) -> bool:
    """Return whether a client's retry has already missed its latency objective and earns nothing.

    The client has waited as long as the earlier rejection advised. If this wait is longer than the
    objective, no retry can meet the objective. Only a class with a late weight still earns anything
    then.
    """
    if not request.client_retry or job_class.late_weight_fraction:
        return False
    advised_wait_us = settings.max_retry_after_us if settings.may_advise_retry else 0
    return advised_wait_us > job_class.latency_objective_us


def _is_rejected(state: PolicyState, job: InFlightJob) -> bool:
    """Return whether a job is rejected on arrival."""
    if _finds_pools_full(state, job) and not _may_wait(state, job):
        return True
    return _yields_to_first_attempts(state, job)


def _finds_pools_full(state: PolicyState, job: InFlightJob) -> bool:
    """Return whether an ordinary job finds the Low Set full and the High Set taking no overflow.

    For a priority job no pool counts as full.
    """
    if job.priority or not _is_low_set_full(state, job):
        return False
    return not pools.high_set_takes_overflow(state)


def _is_low_set_full(state: PolicyState, job: InFlightJob) -> bool:
    """Return whether the Low Set is over its caps for an ordinary job of this size and weight."""
    low_set = state.pools.low_set
    headroom = pool_capacity.pool_headroom(state, low_set)
    if not pool_capacity.has_many_dispatchers(state.settings):
        return headroom < job.request.slots
    allowed_overload = 0.0
    if priority.is_heavy_ordinary_weight(state.measurements.job_mix, job.priority_weight):
        summed_caps = pool_capacity.summed_caps(state.pools, low_set)
        allowed_overload = MAX_HEAVY_OVERLOAD_FRACTION_OF_CAPS * summed_caps
    return headroom < -allowed_overload


def _may_wait(state: PolicyState, job: InFlightJob) -> bool:
    """Return whether a job that finds the pools full may wait for headroom."""
    return not priority.is_best_effort(job) and _is_soon_served(state, job)


def _is_soon_served(state: PolicyState, job: InFlightJob) -> bool:
    """Return whether the job is likely to start in time, at the rate at which our jobs end.

    Without load reports this is not known: the caps come from overdue starts, and include attempts
    that wait in the workers' queues.
    """
    if not state.has_load_reports:
        return False
    max_wait_us = waiting.latest_start_us(state, job) - state.now_us
    return 0 < waiting.expected_wait_us(state) <= max_wait_us


def _yields_to_first_attempts(state: PolicyState, job: InFlightJob) -> bool:
    """Return whether a job is a stale retry and the Low Set's headroom is below one worker's cap.

    Such a retry is rejected: first attempts would wait behind a job that earns nothing.
    """
    if not job.stale_retry:
        return False
    low_set_headroom = pool_capacity.pool_headroom(state, state.pools.low_set)
    return low_set_headroom < pool_capacity.typical_cap(state)
