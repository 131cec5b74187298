"""Convert between the plain data of recorded decision streams and the program's types.

A recorded stream holds plain data only: settings as the wire's dotted keys, enum values as the
program spells them ("connect_failed", "persisted"), kinds of events and actions as lower-case
words. No other module of the recorded streams uses the names of the program's types: a rename in
the program changes this file, and the recordings stay as they are.
"""

import importlib
from types import ModuleType

from stepstream.config.fields import SettingsFields
from stepstream.config.settings_reader import read_settings
from stepstream.model.actions import (
    CancelAttempt,
    CheckHealth,
    Fail,
    FetchEndpoints,
    Reject,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
    WriteLog,
)
from stepstream.model.endpoints import Endpoint, EndpointList, EndpointListKind, EndpointState
from stepstream.model.events import (
    AnswerDue,
    AttemptEnded,
    AttemptResult,
    AttemptStarted,
    ConnectionRefused,
    EndpointCallFailed,
    EndpointListConfirmed,
    HealthChecked,
    JobAbandoned,
    JobSubmitted,
    SettingsChanged,
    TimerFired,
)
from stepstream.policy.load_balancer import LoadBalancer

# The recorded streams have to run every line of the functions in these modules.
DECISION_MODULES = (
    "stepstream.model.actions",
    "stepstream.model.endpoints",
    "stepstream.model.estimators",
    "stepstream.model.events",
    "stepstream.model.job_mix",
    "stepstream.model.job_records",
    "stepstream.model.load_report_lag",
    "stepstream.model.pool_load",
    "stepstream.model.pools",
    "stepstream.model.settings",
    "stepstream.model.state",
    "stepstream.model.tenant_usage",
    "stepstream.model.worker_records",
    "stepstream.policy.admission",
    "stepstream.policy.attempts",
    "stepstream.policy.capacity",
    "stepstream.policy.endpoint_polling",
    "stepstream.policy.endpoint_updates",
    "stepstream.policy.hedging",
    "stepstream.policy.idempotency",
    "stepstream.policy.key_affinity",
    "stepstream.policy.load_balancer",
    "stepstream.policy.load_reports",
    "stepstream.policy.lost_attempts",
    "stepstream.policy.outliers",
    "stepstream.policy.pool_capacity",
    "stepstream.policy.pools",
    "stepstream.policy.priority",
    "stepstream.policy.quotas",
    "stepstream.policy.retries",
    "stepstream.policy.selection",
    "stepstream.policy.slow_start",
    "stepstream.policy.timers",
    "stepstream.policy.unconfirmed_list",
    "stepstream.policy.waiting",
    "stepstream.policy.weighted_round_robin",
)


Policy = LoadBalancer  # the policy that decides on the events of the streams


def decision_modules() -> list[ModuleType]:
    """Return the modules that hold the decision code."""
    return [importlib.import_module(name) for name in DECISION_MODULES]


def settings_from_pairs(pairs: dict[str, str]):
    """Return the program's settings, read from the wire's dotted keys."""
    return read_settings(SettingsFields.from_pairs(pairs))


def new_policy(settings: dict[str, str], seed: int, start_us: int) -> Policy:
    """Return a policy that has received no events yet."""
    return LoadBalancer(settings_from_pairs(settings), seed, start_us)


def decide(policy: Policy, now_us: int, events: list[dict]) -> list[dict]:
    """Give the policy the events of one round; return its actions as plain data, in their order."""
    actions = policy.handle(now_us, [event_from_data(event) for event in events])
    return [action_to_data(action) for action in actions]


def learned_state(policy: Policy) -> dict[str, list]:
    """Return the policy's random state and its averages by topic, with floats in full precision.

    A changed order of float additions alters the last bits of an average; it may alter an action
    only many rounds later, or never. So the actions alone do not show such a change.
    """
    state = policy.state
    measurements = state.measurements
    pools = (state.pools.high_set, state.pools.low_set)
    slot_counts = (
        [pool.busy_slots for pool in pools],
        [pool.mean_busy_slots for pool in pools],
        [pool.running_slots for pool in pools],
        [pool.mean_running_slots for pool in pools],
        [pool.worker_count for pool in pools],
    )
    job_mix = measurements.job_mix
    runs = measurements.run_times
    workers = state.workers
    return {
        "draws": [state.rng.getstate()],
        "means": [
            job_mix.mean_weight,
            job_mix.mean_ordinary_weight,
            job_mix.priority_fraction,
            measurements.common_cap,
            workers.warm_worker_equivalents,
            measurements.health_check_credit,
            list(measurements.tenant_usage.job_fractions),
            list(measurements.tenant_usage.credit_jobs),
            list(measurements.observed_caps),
        ],
        "runs": [runs.served_interval_us, list(runs.mean_elapsed_us), list(runs.mean_log_run_us)],
        "report age": list(measurements.report_lag.errors),
        "share": [state.pools.worker_cap, list(slot_counts)],
        "workers": [
            learned_worker_state(state, workers.by_id[name]) for name in sorted(workers.by_id)
        ],
    }


def learned_worker_state(state, worker) -> list:
    """Return what the policy has learned about one worker."""
    return [
        worker.endpoint.worker_id,
        worker.pool is state.pools.high_set,
        worker.current_weight,
        worker.busy_slots,
        worker.running_slots,
        worker.cap,
        worker.headroom,
        worker.last_report_headroom,
        worker.failure_rate,
        worker.slowness,
        worker.slowness_with_open_runs,
        worker.ejection_time_us,
        worker.next_probation_us,
    ]


def endpoint_from_data(data: dict) -> Endpoint:
    """Return the endpoint of one entry of a list, from plain data."""
    return Endpoint(
        worker_id=data["worker"],
        zone=data["zone"],
        worker_kind=data["kind"],
        cell=data["cell"],
        state=EndpointState(data["state"]),
        weight=data["weight"],
        started_us=data["started_us"],
        supported_jobs=None if data["runs"] is None else frozenset(data["runs"]),
    )


def event_from_data(data: dict):
    """Return the program's event, from plain data."""
    match data["event"]:
        case "job":
            return JobSubmitted(
                job_id=data["job"],
                job_class=data["class"],
                budget_us=data["budget_us"],
                tenant=data["tenant"],
                key=data["key"],
                slots=data["slots"],
                memory=data["memory"],
                client_retry=data["client_retry"],
            )
        case "ended":
            return AttemptEnded(
                job_id=data["job"],
                attempt_number=data["attempt"],
                worker_id=data["worker"],
                result=AttemptResult(data["result"]),
                elapsed_us=data["spent_us"],
                job_answered=data["job_ended"],
                load_report=data["report"],
            )
        case "started":
            return AttemptStarted(data["job"], data["attempt"], data["worker"])
        case "probed":
            return HealthChecked(data["worker"], data["ok"], data["spent_us"], data["report"])
    return other_event_from_data(data)


def other_event_from_data(data: dict):
    """Return the program's event of a kind that `event_from_data` does not read itself."""
    match data["event"]:
        case "list":
            return EndpointList(
                EndpointListKind(data["kind"]), tuple(map(endpoint_from_data, data["entries"]))
            )
        case "left":
            return JobAbandoned(data["job"])
        case "due":
            return AnswerDue(data["job"])
        case "call_failed":
            return EndpointCallFailed(data["unconfirmed_us"])
        case "list_confirmed":
            return EndpointListConfirmed()
        case "refused":
            return ConnectionRefused(data["worker"])
        case "timer":
            return TimerFired(data["token"])
        case "settings":
            return SettingsChanged(settings_from_pairs(data["settings"]))
    raise ValueError(f"unknown kind of event: {data['event']}")


def action_to_data(action) -> dict:
    """Return the program's action as plain data."""
    match action:
        case StartAttempt():
            return {
                "action": "push",
                "job": action.job_id,
                "worker": action.worker_id,
                "limit_us": action.timeout_us,
            }
        case Reject():
            return {"action": "refuse", "job": action.job_id, "pause_us": action.retry_after_us}
        case Fail():
            return {"action": "fail", "job": action.job_id}
        case CancelAttempt():
            return {"action": "cancel", "job": action.job_id, "attempt": action.attempt_number}
        case CheckHealth():
            return {"action": "probe", "worker": action.worker_id}
        case SetTimer():
            return {"action": "wake", "token": action.token, "at_us": action.at_us}
        case WatchEndpoints():
            return {"action": "watch", "active": action.active}
        case FetchEndpoints():
            return {"action": "fetch"}
        case WriteLog():
            return {"action": "log", "text": action.text}
    raise ValueError(f"action has no plain form: {action!r}")
