"""Settings, messages and limits that the network tests share."""

from stepstream.config.limits import Limits
from stepstream.core.requests import Payload, Request
from stepstream.http.codec import write_request
from stepstream.model.endpoints import Endpoint
from stepstream.model.settings import Effect, JobClass, Settings

SETTINGS = Settings(
    classes=(
        JobClass(
            latency_objective_us=200_000,
            deadline_us=5_000_000,
            effect=Effect.IDEMPOTENT,
            name="revalue",
        ),
        JobClass(
            latency_objective_us=120_000,
            deadline_us=5_000_000,
            effect=Effect.IDEMPOTENT_WITH_KEY,
            priority_weight=10.0,
            idempotency_window_us=7_500_000,
            name="nav-publish",
        ),
    ),
    attempt_limit=4,
    may_cancel=True,
    may_hedge=True,
    may_advise_retry=True,
    max_retry_after_us=2_000_000,
    reports_start=True,
    polls_endpoints=True,
    tenants=("tatra-invest", "hron-asset"),
    quotas_per_s=(92.0, 47.0),
    zones=("ruzinov", "petrzalka"),
    worker_kinds=("new-blade", "old-blade"),
)
LIMITS = Limits()
PROBED = {
    "load_report_source": "probe",
    "load_report_names": ("queue", "x0"),
    "load_report_columns": ("queue", "free_slots"),
}
WORKERS = tuple(Endpoint(f"s-{k}", zone=0, cell=k % 2) for k in range(4))


def job_bytes(name="00000000000000aa", path="/revalue", method="POST", body=b"{}", **headers):
    given = {
        "Host": "x",
        "Request-Id": name,
        "Tenant": "tatra-invest",
        "Request-Timeout-Ms": "5000",
    }
    given.update({key.replace("_", "-"): value for key, value in headers.items()})
    return write_request(method, path, {k: v for k, v in given.items() if v is not None}, body)


def request(name, now_us=1_000_000, job_class=0, budget_us=5_000_000):
    return Request(name, job_class, now_us, now_us + budget_us, payload=Payload("/revalue"))
