"""The one place where recorded decision streams meet the names of the program's types.

A recorded stream holds plain data only: settings as the wire's dotted keys, enum values as the
program spells them ("connect_failed", "persisted"), kinds of events and actions as lower-case
words. After a rename in the program only this file changes; the recordings stay as they are.
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
    AttemptEnded,
    AttemptResult,
    AttemptStarted,
    HealthChecked,
    JobAbandoned,
    JobSubmitted,
    SettingsChanged,
    TimerFired,
)
from stepstream.policy.load_balancer import LoadBalancer

# The modules whose every line the recorded streams have to reach.
DECISION_MODULES = (
    "stepstream.model.actions",
    "stepstream.model.endpoints",
    "stepstream.model.estimators",
    "stepstream.model.events",
    "stepstream.model.records",
    "stepstream.model.settings",
    "stepstream.policy.load_balancer",
)


Policy = LoadBalancer  # what the streams are played against


def decision_modules() -> list[ModuleType]:
    """The modules that hold the decision code."""
    return [importlib.import_module(name) for name in DECISION_MODULES]


def settings_from(pairs: dict[str, str]):
    """The program's settings, from the wire's dotted keys."""
    return read_settings(SettingsFields.of(pairs))


def new_policy(settings: dict[str, str], seed: int, start_us: int) -> Policy:
    """A policy that has been told nothing yet."""
    return LoadBalancer(settings_from(settings), seed, start_us)


def decide(policy: Policy, now_us: int, events: list[dict]) -> list[dict]:
    """Hand one round of plain events to the policy; its actions as plain data, in their order."""
    actions = policy.handle(now_us, [event_from(event) for event in events])
    return [action_to_data(action) for action in actions]


def learned(policy: Policy) -> dict[str, list]:
    """What the policy has drawn and averaged so far, by topic; floats to the last bit.

    Actions alone would not show a changed order of float sums, or not for long.
    """
    runs, share = policy.runs, policy.share
    pools = (share.busy, share.level, share.running, share.run_level, share.count)
    return {
        "draws": [policy.random.getstate()],
        "means": [
            policy.mean_worth,
            policy.ordinary_worth,
            policy.priority_share,
            policy.common_cap,
            policy.strength,
            policy.probe_credit,
            list(policy.parts),
            list(policy.credit),
            list(policy.late_at),
        ],
        "runs": [runs.gap_us, list(runs.mean_us), list(runs.usual)],
        "report age": list(policy.report_age.errors),
        "share": [share.cap, [[pool[True], pool[False]] for pool in pools]],
        "workers": [worker_learned(policy.workers[name]) for name in sorted(policy.workers)],
    }


def worker_learned(worker) -> list:
    """What the policy has learned of one worker."""
    return [
        worker.entry.worker_id,
        worker.high,
        worker.turn,
        worker.busy_slots,
        worker.running_slots,
        worker.cap,
        worker.room,
        worker.heard,
        worker.failures,
        worker.pace,
        worker.pace_now,
        worker.pause_us,
        worker.trial_us,
    ]


def entry_from(data: dict) -> Endpoint:
    """One line of a worker list."""
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


def event_from(data: dict):
    """The program's event, from plain data."""
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
        case "list":
            return EndpointList(
                EndpointListKind(data["kind"]), tuple(map(entry_from, data["entries"]))
            )
        case "left":
            return JobAbandoned(data["job"])
        case "timer":
            return TimerFired(data["token"])
        case "settings":
            return SettingsChanged(settings_from(data["settings"]))
    raise ValueError(f"no event is called {data['event']}")


def action_to_data(action) -> dict:
    """Plain data, from the program's action."""
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
    raise ValueError(f"no plain form of {action!r}")
