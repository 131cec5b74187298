"""Admission: which jobs are priority jobs, and which ordinary ones are rejected on arrival."""

from stepstream.model.events import JobSubmitted
from stepstream.model.job_records import InFlightJob
from stepstream.model.settings import JobClass
from stepstream.model.state import PolicyState
from stepstream.policy import attempts, pools, retries

HEALTH_CHECKS_PER_JOB = 1.0
HEAVY_EXCESS_FRACTION = 0.5  # of its caps by which jobs above mean weight may exceed the Low Set's


def on_job(state: PolicyState, request: JobSubmitted) -> None:
    """Reject the job or start its first attempt."""
    state.health_check_credit += HEALTH_CHECKS_PER_JOB
    state.job_mix.record_arrival(request.key)
    job = _classify(state, request)
    state.jobs[request.job_id] = job
    if _is_rejected(state, job):
        attempts.give_up(state, job)
    else:
        retries.attempt_or_wait(state, job)


def _classify(state: PolicyState, request: JobSubmitted) -> InFlightJob:
    settings = state.settings
    kind = settings.classes[request.job_class]
    within_quota = state.tenant_usage.record_job(
        request.tenant, settings.quotas_per_s, state.job_mix.jobs_seen
    )
    excess = not within_quota and settings.over_quota_weight_fraction < 1.0
    weight = kind.priority_weight * (settings.over_quota_weight_fraction if excess else 1.0)
    priority = state.job_mix.record_weight(weight)
    stale_retry = not priority and _is_stale_retry(state, request, kind)
    return InFlightJob(
        request,
        kind,
        arrived_us=state.now_us,
        priority=priority,
        priority_weight=weight,
        excess=excess or stale_retry,
        stale_retry=stale_retry,
    )


def _is_stale_retry(state: PolicyState, request: JobSubmitted, kind: JobClass) -> bool:
    """Return whether a retry has waited as advised and so is past its latency objective."""
    settings = state.settings
    advised = settings.may_advise_retry and settings.max_retry_after_us > kind.latency_objective_us
    return request.client_retry and advised and not kind.late_weight_fraction


def _is_rejected(state: PolicyState, job: InFlightJob) -> bool:
    full = not job.priority and _low_set_is_full(state, job) and not pools.lends(state)
    if full and (job.excess or not _is_soon_served(state, job)):
        return True
    # A stale retry needs a whole worker's headroom: first tries would wait in vain behind it.
    return job.stale_retry and pools.pool_headroom(state, state.low_set) < pools.worker_cap(state)


def _low_set_is_full(state: PolicyState, job: InFlightJob) -> bool:
    """Return whether the Low Set is over its caps for an ordinary job of this weight."""
    heavy = state.job_mix.record_ordinary_weight(job.priority_weight)
    headroom = pools.pool_headroom(state, state.low_set)
    if not state.pool_load.is_many:
        return headroom < job.request.slots
    allowed = 0.0
    if heavy:
        allowed = HEAVY_EXCESS_FRACTION * state.pool_load.cap * state.low_set.worker_count
    return headroom < -allowed


def _is_soon_served(state: PolicyState, job: InFlightJob) -> bool:
    """Return whether our jobs end so often that this one's turn is likely to come in time.

    Without load reports a pool over its caps has a queue already: late starts, which set the caps,
    count it.
    """
    ahead = 1 + sum(1 for waiting in state.waiting if not waiting.ended)
    wait_us = state.run_times.served_interval_us * ahead
    return state.has_load_reports and 0 < wait_us <= (
        retries.latest_start_us(state, job) - state.now_us
    )
