"""Actions of the policy, written as messages of the simulator's wire. Nothing here keeps state.

This is the one place where the program's names are translated into those of outgoing messages and
pairs.
"""

from collections.abc import Callable
from typing import Any

from stepstream.model.actions import (
    CancelAttempt,
    CheckHealth,
    Fail,
    FetchEndpoints,
    PolicyAction,
    Reject,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
    WriteLog,
)


def write_action(action: PolicyAction) -> str:
    """Return the action as one line; TypeError for an action that has no wire form."""
    write = ACTION_WRITERS.get(type(action))
    if write is None:
        raise TypeError(f"no wire form for {action!r}")
    return write(action)


def one_line(text: str) -> str:
    """Return a text that may be the last value of a message."""
    return text.replace("\n", " ")


def write_start_attempt(action: StartAttempt) -> str:
    """Return RELAY."""
    return f"RELAY msg_id={action.job_id} limit_us={action.timeout_us} runner={action.worker_id}"


def write_reject(action: Reject) -> str:
    """Return SAY_NO."""
    return f"SAY_NO msg_id={action.job_id} pause_us={action.retry_after_us}"


def write_fail(action: Fail) -> str:
    """Return REPORT_FAILURE."""
    return f"REPORT_FAILURE msg_id={action.job_id}"


def write_cancel_attempt(action: CancelAttempt) -> str:
    """Return DROP_ATTEMPT."""
    return f"DROP_ATTEMPT msg_id={action.job_id} n={action.attempt_number}"


def write_check_health(action: CheckHealth) -> str:
    """Return PING."""
    return f"PING runner={action.worker_id}"


def write_set_timer(action: SetTimer) -> str:
    """Return WAKE_ME; the token goes as its number."""
    return f"WAKE_ME ctx={action.token} moment_us={action.at_us}"


def write_watch_endpoints(action: WatchEndpoints) -> str:
    """Return STREAM_CHANGES."""
    return f"STREAM_CHANGES active={int(action.active)}"


def write_fetch_endpoints(_action: FetchEndpoints) -> str:
    """Return QUERY_ALL."""
    return "QUERY_ALL"


def write_log(action: WriteLog) -> str:
    """Return WRITE_LOG."""
    return f"WRITE_LOG body_text={one_line(action.text)}"


def write_panic(fault: Exception) -> str:
    """Return PANIC, which replaces the actions of a batch that a fault has ended."""
    return "PANIC body_text=" + one_line(f"{type(fault).__name__}: {fault}")


# By the action's own type; each writer accepts that type alone.
ACTION_WRITERS: dict[type[PolicyAction], Callable[[Any], str]] = {
    StartAttempt: write_start_attempt,
    Reject: write_reject,
    Fail: write_fail,
    CancelAttempt: write_cancel_attempt,
    CheckHealth: write_check_health,
    SetTimer: write_set_timer,
    WatchEndpoints: write_watch_endpoints,
    FetchEndpoints: write_fetch_endpoints,
    WriteLog: write_log,
}
