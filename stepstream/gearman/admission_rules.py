"""The rules of job admission, as pure functions.

Each rule raises the error that the service sends to the client. A submission that passes all rules
is admitted. `job_admission` applies them in the order of this module.
"""

import hashlib
import re
from dataclasses import dataclass

from stepstream.config.limits import GearmanLimits, Limits
from stepstream.gearman.errors import JobQueueFullError, RequestError
from stepstream.model.settings import Effect, JobClass

MAX_IDEMPOTENCY_KEY_BYTES = 128
IDEMPOTENCY_KEY = re.compile(rb"[!-~]+")  # printable, no space
HASHED_KEY_PREFIX = b"sha256:"


@dataclass(frozen=True, slots=True)
class OpenJobUsage:
    """The dispatcher's open jobs and their memory, before a submission opens one more job."""

    function: str  # TENANT/CLASS, or CLASS where the settings name no tenants
    function_jobs: int  # open jobs of that function
    max_function_jobs: int | None  # set by the text command `maxqueue`; None: no limit
    jobs: int  # open jobs of all functions
    workload_bytes: int  # workloads of all open jobs together
    core_is_full: bool  # the core accepts no further request


def check_submission(
    job_class: JobClass, unique: bytes, workload_bytes: int, limits: Limits
) -> None:
    """Raise `RequestError` for a submission that no retry can make admissible.

    A class that is idempotent with a key needs a unique id, which becomes the idempotency key:
    without it a retry could run the job twice. Every worker accepts unique ids and workloads up to
    these limits, in bytes.
    """
    needs_key = job_class.effect is Effect.IDEMPOTENT_WITH_KEY
    if needs_key and not 1 <= len(unique) <= MAX_IDEMPOTENCY_KEY_BYTES:
        raise RequestError(
            "BAD_UNIQUE",
            f"{job_class.name} needs a unique id of 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes",
        )
    if len(unique) > limits.gearman.unique_id_bytes:
        raise RequestError(
            "BAD_UNIQUE", f"a unique id has at most {limits.gearman.unique_id_bytes} bytes"
        )
    if workload_bytes > limits.sizes.body_bytes:
        raise RequestError(
            "WORKLOAD_TOO_LARGE", f"a workload has at most {limits.sizes.body_bytes} bytes"
        )


def idempotency_key(unique: bytes) -> str:
    """Return the idempotency key for a unique id, which the protocol treats as opaque bytes.

    A key is printable text without spaces. A unique id of that form is its own key. Any other
    unique id is hashed, because printable text of a key's length cannot represent every byte
    string. A unique id that looks like a hashed key is hashed, too, so that no two ids share a
    key.
    """
    if IDEMPOTENCY_KEY.fullmatch(unique) and not unique.startswith(HASHED_KEY_PREFIX):
        return unique.decode("ascii")
    return (HASHED_KEY_PREFIX + hashlib.sha256(unique).hexdigest().encode()).decode("ascii")


def check_client_usage(
    open_submissions: int, max_open_submissions: int, retry_after_seconds: float
) -> None:
    """Raise `JobQueueFullError` for a client connection with too many open submissions.

    Without this limit one connection could use up the open jobs of the whole dispatcher.
    """
    if open_submissions >= max_open_submissions:
        raise JobQueueFullError("this connection has too many open jobs", retry_after_seconds)


def check_shutdown(*, is_closing: bool) -> None:
    """Raise `RequestError` during a shutdown: the process might end before a new job does."""
    if is_closing:
        raise RequestError(
            "SHUTTING_DOWN",
            "no new jobs are taken; another server may",
        )


def check_dispatcher_usage(
    usage: OpenJobUsage, workload_bytes: int, limits: GearmanLimits, retry_after_seconds: float
) -> None:
    """Raise `JobQueueFullError` if the dispatcher cannot open one more job.

    `workload_bytes` is the size of the new job's workload. The operator's limit of the function is
    checked first, then the core's limit, then the two that bound the memory of the process.
    """
    max_function_jobs = usage.max_function_jobs
    if max_function_jobs is not None and usage.function_jobs >= max_function_jobs:
        raise JobQueueFullError(
            f"{usage.function} has as many jobs as maxqueue allows", retry_after_seconds
        )
    has_too_many_jobs = usage.jobs >= limits.open_jobs
    open_bytes = usage.workload_bytes + workload_bytes
    has_too_many_bytes = open_bytes > limits.in_flight_workload_bytes
    if usage.core_is_full or has_too_many_jobs or has_too_many_bytes:
        raise JobQueueFullError("too many jobs are open here", retry_after_seconds)
