"""`stepstream lease run`: run a command under a lease; end it before another can hold the lease.

    acquiring -> running    the dispatcher grants the lease, and SIGTERM would not be due yet
    acquiring -> ended      the call is invalid, `--wait` has passed, or a signal came
    running   -> ending     the lease ends soon, is lost or is revoked, or a signal came: SIGTERM
    ending    -> ended      the command has ended, or SIGKILL shortly before the lease's end

Each call is a heartbeat of the program's session (`session_table`). The remaining time in the
dispatcher's answer counts from the start of the call. `command_deadlines` has the times of calls
and signals.

One thread; a signal handler only sets `stop_signal`. All times are seconds of the machine's
boot-time clock.
"""

import contextlib
import ctypes
import os
import signal
import subprocess
import sys
import time
import uuid
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from stepstream.config.errors import ConfigurationError
from stepstream.leases.command_deadlines import (
    HEARTBEATS_PER_TTL,
    acquire_interval_seconds,
    call_timeout_seconds,
    exclusive_seconds,
    has_time_to_run,
    is_kill_due,
    is_term_due,
    term_margin_seconds,
)
from stepstream.leases.driver import boot_time_seconds
from stepstream.leases.lease_state import LeaseState
from stepstream.subsystem_api.admin_client import call_admin

EXIT_LEASE_LOST = os.EX_UNAVAILABLE  # 69
EXIT_NOT_ACQUIRED = os.EX_TEMPFAIL  # 75
EXIT_USAGE = os.EX_USAGE  # 64
# These three are a shell's exit codes.
EXIT_NOT_EXECUTABLE = 126
EXIT_NOT_FOUND = 127
EXIT_SIGNAL_BASE = 128  # the signal's number is added

POLL_INTERVAL_SECONDS = 0.05
MIN_TTL_SECONDS = 1.0  # there is no time to end a command in a shorter one
RELEASE_CALL_SECONDS = 1.0
PR_SET_PDEATHSIG = 1  # prctl(2)

BAD_CALL_STATUSES = (
    HTTPStatus.BAD_REQUEST,
    HTTPStatus.NOT_FOUND,
    HTTPStatus.METHOD_NOT_ALLOWED,
)
FINAL_STATES = (LeaseState.LOST.value, LeaseState.RELEASED.value)
NOT_RENEWED = "not renewed in time"
REVOKED = "revoked by an operator"


@dataclass(frozen=True, slots=True)
class SessionAnswer:
    """The dispatcher's answer to a heartbeat; status 0 if there was none."""

    status: int = 0
    state: str = ""
    token: int = 0
    remaining_seconds: float = 0.0
    max_clock_drift: float = 0.0
    ending: bool = False
    error: str = ""

    @classmethod
    def from_json(cls, status: int, fields: dict[str, Any]) -> "SessionAnswer":
        """Translate the answer's fields, whose spelling is `admin_api`'s."""
        return cls(
            status,
            fields.get("state", ""),
            fields.get("token", 0),
            fields.get("left_ms", 0) / 1000,
            fields.get("drift", 0.0),
            fields.get("ending", False),
            fields.get("error", ""),
        )


class CommandRunner:
    """One call of `stepstream lease run`.

    Times are seconds; if `wait_seconds` is None, the wait for the lease is unlimited. Raise
    `ConfigurationError` if the time to live is too short.
    """

    def __init__(
        self,
        address: str,
        name: str,
        ttl_seconds: float,
        wait_seconds: float | None,
        command: list[str],
    ) -> None:
        if ttl_seconds < MIN_TTL_SECONDS:
            raise ConfigurationError(f"--ttl={ttl_seconds:g} is under {MIN_TTL_SECONDS:g} s")
        self.address = address
        self.name = name
        self.ttl_seconds = ttl_seconds
        self.wait_seconds = wait_seconds
        self.command = command
        self.term_seconds = term_margin_seconds(ttl_seconds)
        self.session_name = uuid.uuid4().hex
        self.token = 0  # of the grant that the command runs under; 0 before the command starts
        self.expires_at = 0.0  # nobody else can hold the lease before this time
        self.answer = SessionAnswer()
        self.last_printed_error = ""
        self.stop_signal = 0  # the number of the signal that arrived; 0 if none

    def stop(self, signal_number: int) -> None:
        """End the command, or the wait for the lease; a signal handler may call this."""
        self.stop_signal = signal_number

    def run(self) -> int:
        """Wait for the lease and run the command; return the exit code."""
        begun_at = boot_time_seconds()
        while True:
            self.heartbeat()
            if self.answer.status in BAD_CALL_STATUSES:
                error = self.answer.error or self.answer.status
                print(f"stepstream: {self.address}: {error}", file=sys.stderr)
                return EXIT_USAGE
            if self.may_start_command():
                return self.run_command()
            if self.answer.state in FINAL_STATES:
                # The lease was granted and lost between two calls: begin another attempt.
                self.session_name = uuid.uuid4().hex
            self.print_new_error()
            if self.stop_signal or self.is_wait_over(begun_at):
                return self.give_up()
            time.sleep(acquire_interval_seconds(self.ttl_seconds))

    def may_start_command(self) -> bool:
        """Return whether the lease is held for long enough to start the command."""
        has_time = has_time_to_run(boot_time_seconds(), self.expires_at, self.term_seconds)
        return has_time and self.answer.token != 0

    def print_new_error(self) -> None:
        """Print why the lease is not granted, if that has changed since the last call."""
        error = self.answer.error
        if error and error != self.last_printed_error:
            self.last_printed_error = error
            print(f"stepstream: waiting for {self.name}: {error}", file=sys.stderr)

    def is_wait_over(self, begun_at: float) -> bool:
        """Return whether `--wait` has passed."""
        if self.wait_seconds is None:
            return False
        return boot_time_seconds() - begun_at >= self.wait_seconds

    def give_up(self) -> int:
        """End the wait for the lease; return the exit code."""
        self.release()
        if self.stop_signal:
            return EXIT_SIGNAL_BASE + self.stop_signal
        print(
            f"stepstream: {self.name} was not acquired within {self.wait_seconds:g} s",
            file=sys.stderr,
        )
        return EXIT_NOT_ACQUIRED

    # -- the dispatcher ---------------------------------------------------------------------------

    def heartbeat(self) -> None:
        """Call the dispatcher; its answer may extend the time for which the lease is held."""
        called_at = boot_time_seconds()
        path = (
            f"/leases/{self.name}/want?session={self.session_name}"
            f"&ttl_ms={self.ttl_seconds * 1000:.0f}&act_ms={self.term_seconds * 1000:.0f}"
        )
        until_term_seconds = None
        if self.token:
            until_term_seconds = self.expires_at - self.term_seconds - called_at
        timeout_seconds = call_timeout_seconds(self.ttl_seconds, until_term_seconds)
        try:
            status, fields = call_admin(self.address, path, "PUT", timeout_seconds=timeout_seconds)
        except ConnectionError as error:
            self.answer = SessionAnswer(error=str(error))
            return
        self.answer = SessionAnswer.from_json(status, fields)
        self.extend_expiry(called_at)

    def extend_expiry(self, called_at: float) -> None:
        """Extend the lease's end by the answer to a call, unless it is about a later grant."""
        answer = self.answer
        is_held = answer.status == HTTPStatus.OK and answer.remaining_seconds > 0
        is_same_grant = self.token in (0, answer.token)
        if is_held and is_same_grant:
            seconds = exclusive_seconds(answer.remaining_seconds, answer.max_clock_drift)
            self.expires_at = max(self.expires_at, called_at + seconds)

    def release(self) -> None:
        """Release the lease; if the dispatcher cannot be reached, the lease expires."""
        path = f"/leases/{self.name}/release?session={self.session_name}"
        with contextlib.suppress(ConnectionError):
            call_admin(self.address, path, "PUT", timeout_seconds=RELEASE_CALL_SECONDS)

    # -- the command ------------------------------------------------------------------------------

    def run_command(self) -> int:
        """Run the command under the lease and release it; return the exit code."""
        self.token = self.answer.token
        try:
            process = self.start_process()
        except OSError as error:
            self.release()
            print(f"stepstream: {self.command[0]}: {error}", file=sys.stderr)
            is_missing = isinstance(error, FileNotFoundError)
            return EXIT_NOT_FOUND if is_missing else EXIT_NOT_EXECUTABLE
        lost_reason = self.supervise(process)
        self.release()
        if lost_reason:
            print(
                f"stepstream: {self.name} was lost: {lost_reason}; the command was ended",
                file=sys.stderr,
            )
            return EXIT_LEASE_LOST
        if process.returncode < 0:
            return EXIT_SIGNAL_BASE - process.returncode
        return int(process.returncode)

    def start_process(self) -> "subprocess.Popen[bytes]":
        """Start the command in a process group of its own; OSError if it cannot be started."""
        environment = {
            **os.environ,
            "STEPSTREAM_LEASE": self.name,
            "STEPSTREAM_FENCE": str(self.token),
        }
        return subprocess.Popen(
            self.command, env=environment, start_new_session=True, preexec_fn=die_with_parent
        )

    def supervise(self, process: "subprocess.Popen[bytes]") -> str:
        """Send heartbeats until the command has ended; return why the lease was lost, or ""."""
        next_heartbeat_at = boot_time_seconds()
        is_sigterm_sent = False
        lost_reason = ""
        while process.poll() is None:
            now = boot_time_seconds()
            if is_kill_due(now, self.expires_at):
                lost_reason = lost_reason or self.not_renewed_reason()
                signal_group(process, signal.SIGKILL)
                process.wait()
                break
            if now >= next_heartbeat_at and not lost_reason:
                self.heartbeat()
                next_heartbeat_at = now + self.ttl_seconds / HEARTBEATS_PER_TTL
                lost_reason = self.answered_loss_reason()
            if not lost_reason and self.is_term_due():
                lost_reason = self.not_renewed_reason()
            if (lost_reason or self.stop_signal) and not is_sigterm_sent:
                is_sigterm_sent = True
                signal_group(process, signal.SIGTERM)
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(POLL_INTERVAL_SECONDS)
        signal_group(process, signal.SIGKILL)  # processes that the command left in its group
        return lost_reason

    def is_term_due(self) -> bool:
        """Return whether the command gets SIGTERM, since the lease was not renewed in time."""
        return is_term_due(boot_time_seconds(), self.expires_at, self.term_seconds)

    def answered_loss_reason(self) -> str:
        """Return why the lease is lost, by the dispatcher's last answer; "" if it is not."""
        if self.answer.ending:
            return REVOKED
        return NOT_RENEWED if self.answer.state in FINAL_STATES else ""

    def not_renewed_reason(self) -> str:
        """Return why the lease expires."""
        return self.answer.error or NOT_RENEWED


def signal_group(process: "subprocess.Popen[bytes]", signal_number: int) -> None:
    """Send a signal to the command's process group, if it still exists."""
    with contextlib.suppress(ProcessLookupError, PermissionError):
        os.killpg(process.pid, signal_number)


def die_with_parent() -> None:
    """Request SIGKILL for the command if this program dies and so cannot end it in time.

    Called in the command's process before it is executed.
    """
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
