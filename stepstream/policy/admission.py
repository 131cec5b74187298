"""Admission: which jobs are priority jobs, and which ordinary ones are rejected on arrival."""

from stepstream.model.events import JobSubmitted
from stepstream.model.job_records import InFlightJob
from stepstream.model.state import PolicyState
from stepstream.policy import pools, retries

HEALTH_CHECKS_PER_JOB = 1.0
LONGEST_WAIT_FRACTION = 0.8  # of the latency objective that a job may wait for headroom
HEAVY_EXCESS_FRACTION = 0.5  # of its caps by which jobs above mean weight may exceed the Low Set's


def on_job(state: PolicyState, request: JobSubmitted) -> None:
    """Reject the job or start its first attempt."""
    state.health_check_credit += HEALTH_CHECKS_PER_JOB
    job = _classify(state, request)
    state.jobs[request.job_id] = job
    if _is_rejected(state, job):
        retries.give_up(state, job)
    else:
        retries.attempt_or_wait(state, job)


def _classify(state: PolicyState, request: JobSubmitted) -> InFlightJob:
    settings = state.settings
    kind = settings.classes[request.job_class]
    within_quota = state.record_arrival(request)
    excess = not within_quota and settings.over_quota_weight_fraction < 1.0
    weight = kind.priority_weight * (settings.over_quota_weight_fraction if excess else 1.0)
    priority = state.job_mix.record_weight(weight)
    # A retry that has waited as advised is past its latency objective, a first try is not.
    waited = request.client_retry and settings.advises_beyond_objective(kind)
    stale = waited and not priority and not kind.late_weight_fraction
    return InFlightJob(
        request,
        kind,
        wait_until_us=state.now_us + int(LONGEST_WAIT_FRACTION * kind.latency_objective_us),
        deadline_us=state.now_us + request.budget_us,
        priority=priority,
        priority_weight=weight,
        excess=excess or stale,
        stale_retry=stale,
    )


def _is_rejected(state: PolicyState, job: InFlightJob) -> bool:
    full = not job.priority and _low_set_is_full(state, job) and not pools.lends(state)
    if full and (job.excess or not _is_soon_served(state, job)):
        return True
    # A stale retry needs a whole worker's headroom: first tries would wait in vain behind it.
    return job.stale_retry and pools.pool_headroom(state, state.low_set) < state.worker_cap


def _low_set_is_full(state: PolicyState, job: InFlightJob) -> bool:
    """Return whether the Low Set is over its caps for an ordinary job of this weight."""
    heavy = state.job_mix.record_ordinary_weight(job.priority_weight)
    headroom = pools.pool_headroom(state, state.low_set)
    if not state.pool_load.has_many_dispatchers:
        return headroom < job.request.slots
    allowed_slots = HEAVY_EXCESS_FRACTION * state.pool_load.summed_caps(state.low_set)
    return headroom < (-allowed_slots if heavy else 0.0)


def _is_soon_served(state: PolicyState, job: InFlightJob) -> bool:
    """Return whether the job's turn is likely to come in time, at the rate our jobs end."""
    # Without load reports a pool over its caps has a queue already: late starts, which set the
    # caps, count it.
    longest_us = retries.latest_start_us(state, job) - state.now_us
    return state.has_load_reports and 0 < state.expected_wait_us() <= longest_us
