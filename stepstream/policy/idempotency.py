"""Idempotency: whether, where and until when a job may run again, and whether clients may retry.

A job may run anywhere if its earlier attempts provably never ran. Any other repeat depends on the
effect of the job's class, and on the first attempt that may have run.
"""

from stepstream.model.job_records import Attempt, InFlightJob
from stepstream.model.settings import Effect, KeyScope
from stepstream.model.worker_records import Worker


def first_possible_run(job: InFlightJob) -> Attempt | None:
    """Return the first attempt that may have run, or None if no attempt can have run."""
    return next((attempt for attempt in job.attempts if not attempt.never_ran), None)


def may_repeat(job: InFlightJob, now_us: int) -> bool:
    """Return whether another attempt cannot cause a second effect.

    With an idempotency key, repeats are safe until the window after the first possible run ends.
    """
    first_attempt = first_possible_run(job)
    if first_attempt is None or job.class_settings.effect is Effect.IDEMPOTENT:
        return True
    window_ends_us = first_attempt.sent_us + job.class_settings.idempotency_window_us
    has_key = job.class_settings.effect is Effect.IDEMPOTENT_WITH_KEY
    return has_key and now_us <= window_ends_us


def workers_in_idempotency_scope(job: InFlightJob, workers: list[Worker]) -> list[Worker]:
    """Return those of the workers on which a repeat would be recognized by its key.

    All workers are returned if the job cannot have run, or may repeat anywhere.
    """
    first_attempt = first_possible_run(job)
    if first_attempt is None or _may_repeat_anywhere(job):
        return workers
    endpoint = first_attempt.worker.endpoint
    if job.class_settings.key_scope == KeyScope.ZONE:
        return [worker for worker in workers if worker.endpoint.zone == endpoint.zone]
    return [worker for worker in workers if worker.endpoint.cell == endpoint.cell]


def _may_repeat_anywhere(job: InFlightJob) -> bool:
    """Return whether a job that may have run may repeat in any zone and cell."""
    settings = job.class_settings
    return settings.effect is Effect.IDEMPOTENT or settings.key_scope == KeyScope.ALL


def is_client_retry_harmless(job: InFlightJob) -> bool:
    """Return whether the client may submit the job again without a second effect.

    The client's retry may reach any worker, so an idempotency key only helps if all workers
    recognize it.
    """
    settings = job.class_settings
    has_key_everywhere = (
        settings.effect is Effect.IDEMPOTENT_WITH_KEY and settings.key_scope == KeyScope.ALL
    )
    return (
        settings.effect is Effect.IDEMPOTENT
        or has_key_everywhere
        or first_possible_run(job) is None
    )
