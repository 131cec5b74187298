"""Idempotency: whether a job may run once more, where, until when, and what its client may do.

A job whose earlier attempts provably never ran is free to run. Any other repeat depends on the
effect of its class, and on the first attempt that may have run.
"""

from stepstream.model.job_records import Attempt, InFlightJob
from stepstream.model.settings import Effect, KeyScope
from stepstream.model.worker_records import Worker


def first_possible_run(job: InFlightJob) -> Attempt | None:
    """Return the first attempt that may have had its effect, or None if none did."""
    return next((attempt for attempt in job.attempts if not attempt.never_ran), None)


def may_repeat(job: InFlightJob, now_us: int) -> bool:
    """Return whether another attempt cannot cause a second effect.

    An idempotency key counts from the first possible run, and until its window ends.
    """
    first = first_possible_run(job)
    if first is None or job.class_settings.effect is Effect.IDEMPOTENT:
        return True
    window_ends_us = first.sent_us + job.class_settings.idempotency_window_us
    has_key = job.class_settings.effect is Effect.IDEMPOTENT_WITH_KEY
    return has_key and now_us <= window_ends_us


def workers_in_idempotency_scope(job: InFlightJob, workers: list[Worker]) -> list[Worker]:
    """Return those of the workers on which a repeat would be recognized by its key.

    Where the key does not matter all workers are returned.
    """
    first = first_possible_run(job)
    if first is None or _may_repeat_anywhere(job):
        return workers
    endpoint = first.worker.endpoint
    if job.class_settings.key_scope == KeyScope.ZONE:
        return [worker for worker in workers if worker.endpoint.zone == endpoint.zone]
    return [worker for worker in workers if worker.endpoint.cell == endpoint.cell]


def _may_repeat_anywhere(job: InFlightJob) -> bool:
    """Return whether repeats of a job that may have run are bound to no place."""
    terms = job.class_settings
    return terms.effect is Effect.IDEMPOTENT or terms.key_scope == KeyScope.ALL


def is_client_retry_harmless(job: InFlightJob) -> bool:
    """Return whether the client may submit the job again without a second effect.

    The client's retry may reach any worker, so a key has to be known everywhere.
    """
    terms = job.class_settings
    has_key_everywhere = (
        terms.effect is Effect.IDEMPOTENT_WITH_KEY and terms.key_scope == KeyScope.ALL
    )
    return (
        terms.effect is Effect.IDEMPOTENT or has_key_everywhere or first_possible_run(job) is None
    )
