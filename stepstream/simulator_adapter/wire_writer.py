"""Write actions of the policy as messages of the simulator's wire. The module keeps no state.

Only this module translates the program's names into the names of outgoing messages and pairs.
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
    """Return the action as one line; raise TypeError for an action that has no wire form."""
    action_writer = ACTION_WRITERS.get(type(action))
    if action_writer is None:
        raise TypeError(f"no wire form for {action!r}")
    return action_writer(action)


def without_line_breaks(text: str) -> str:
    """Replace line breaks by spaces, so that the text may be the last value of a message."""
    return text.replace("\n", " ")


def write_start_attempt(action: StartAttempt) -> str:
    """Return a RELAY message."""
    return f"RELAY msg_id={action.job_id} limit_us={action.timeout_us} runner={action.worker_id}"


def write_reject(action: Reject) -> str:
    """Return a SAY_NO message."""
    return f"SAY_NO msg_id={action.job_id} pause_us={action.retry_after_us}"


def write_fail(action: Fail) -> str:
    """Return a REPORT_FAILURE message."""
    return f"REPORT_FAILURE msg_id={action.job_id}"


def write_cancel_attempt(action: CancelAttempt) -> str:
    """Return a DROP_ATTEMPT message."""
    return f"DROP_ATTEMPT msg_id={action.job_id} n={action.attempt_number}"


def write_check_health(action: CheckHealth) -> str:
    """Return a PING message."""
    return f"PING runner={action.worker_id}"


def write_set_timer(action: SetTimer) -> str:
    """Return a WAKE_ME message with the number of the timer's token."""
    return f"WAKE_ME ctx={action.token} moment_us={action.at_us}"


def write_watch_endpoints(action: WatchEndpoints) -> str:
    """Return a STREAM_CHANGES message."""
    return f"STREAM_CHANGES active={int(action.active)}"


def write_fetch_endpoints(_action: FetchEndpoints) -> str:
    """Return a QUERY_ALL message."""
    return "QUERY_ALL"


def write_log(action: WriteLog) -> str:
    """Return a WRITE_LOG message."""
    return f"WRITE_LOG body_text={without_line_breaks(action.text)}"


def write_panic(error: Exception) -> str:
    """Return a PANIC message, which replaces the actions of a batch that an error has ended."""
    return "PANIC body_text=" + without_line_breaks(f"{type(error).__name__}: {error}")


# The writer for each type of action; it accepts only actions of this type.
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
