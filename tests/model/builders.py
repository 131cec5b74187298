"""Job classes and endpoints for the tests of the policy and of its records."""

from stepstream.model.endpoints import Endpoint
from stepstream.model.settings import Effect, JobClass, KeyScope

IDEMPOTENT = JobClass(latency_objective_us=400_000, deadline_us=5_000_000, effect=Effect.IDEMPOTENT)
NOT_IDEMPOTENT = JobClass(
    latency_objective_us=400_000, deadline_us=5_000_000, effect=Effect.NOT_IDEMPOTENT
)
WITH_KEY_IN_ZONE = JobClass(
    latency_objective_us=4_000_000,
    deadline_us=5_000_000,
    effect=Effect.IDEMPOTENT_WITH_KEY,
    key_scope=KeyScope.ZONE,
    idempotency_window_us=2_000_000,
)
WITH_KEY = JobClass(
    latency_objective_us=4_000_000,
    deadline_us=5_000_000,
    effect=Effect.IDEMPOTENT_WITH_KEY,
    key_scope=KeyScope.ALL,
    idempotency_window_us=2_000_000,
)
HIGH_PRIORITY = JobClass(
    latency_objective_us=400_000,
    deadline_us=5_000_000,
    effect=Effect.IDEMPOTENT,
    priority_weight=10.0,
)


def make_endpoint(number, **fields):
    """Return an endpoint whose worker id ends in this number."""
    return Endpoint(f"10.0.0.{number}:5000", **fields)
