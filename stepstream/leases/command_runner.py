"""`stepstream lease run`: one command under one lease, ended before the lease can be another's.

    acquiring -> running    the dispatcher answers that the lease is held for long enough
    acquiring -> ended      the call is bad, `--wait` is over, or a signal came
    running   -> ending     the lease ends soon, is lost or is taken back, or a signal came: SIGTERM
    ending    -> ended      the command has ended, or SIGKILL shortly before the lease's end

Each call is a heartbeat of the program's session (`sessions`). What the dispatcher answers counts
from before the call, on this program's own clock and less the bound on clock drift, so that a
dispatcher that dies, stalls or cannot be reached leaves the command no time that is another
holder's.

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
from stepstream.leases.driver import boot_time_seconds
from stepstream.leases.proposer import LeaseState
from stepstream.subsystem_api.admin_client import call_admin

EXIT_LOST = os.EX_UNAVAILABLE
EXIT_NOT_ACQUIRED = os.EX_TEMPFAIL
EXIT_BAD_CALL = os.EX_USAGE
EXIT_NOT_EXECUTABLE = 126  # as a shell says it, as the two below
EXIT_NOT_FOUND = 127
EXIT_SIGNAL_BASE = 128  # and the signal's number

KILL_MARGIN_SECONDS = 0.3  # from SIGKILL to the lease's end: the process is surely gone by then
TERM_MARGIN_SECONDS = 0.2  # from SIGTERM to SIGKILL, at least
TERM_SHARE = 1 / 4  # of the time to live, from SIGTERM to the lease's end
POLL_SECONDS = 0.05  # between two looks at the command
MIN_TTL_SECONDS = 1.0  # with which a command can be ended in time
HEARTBEATS_PER_TTL = 6  # while the command runs
MAX_ACQUIRE_INTERVAL_SECONDS = 0.25
ACQUIRE_CALLS_PER_TTL = 20
MAX_CALL_SECONDS = 2.0
RELEASE_CALL_SECONDS = 1.0
PR_SET_PDEATHSIG = 1  # prctl(2)

BAD_CALL_STATUSES = (
    HTTPStatus.BAD_REQUEST,
    HTTPStatus.NOT_FOUND,
    HTTPStatus.METHOD_NOT_ALLOWED,
)
OVER_STATES = (LeaseState.LOST.value, LeaseState.RELEASED.value)
NOT_RENEWED = "not renewed in time"
TAKEN_BACK = "given back by an operator"


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
    """One `stepstream lease run`.

    Times in seconds; without `wait_seconds` it waits for the lease as long as it takes. Raise
    `ConfigurationError` if an option does not fit.
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
        self.term_seconds = max(
            ttl_seconds * TERM_SHARE, KILL_MARGIN_SECONDS + TERM_MARGIN_SECONDS
        )  # from SIGTERM to the lease's end
        self.session_name = uuid.uuid4().hex
        self.token = 0  # that the command was given
        self.expires_at = 0.0  # nobody else can hold the lease before
        self.answer = SessionAnswer()
        self.stop_signal = 0  # the number of the signal that came

    def stop(self, signal_number: int) -> None:
        """End the command, or the wait for the lease; a signal handler may call this."""
        self.stop_signal = signal_number

    def run(self) -> int:
        """Wait for the lease and run the command; return the exit code."""
        begun_at = boot_time_seconds()
        last_error = ""
        while True:
            self.heartbeat()
            if self.answer.status in BAD_CALL_STATUSES:
                error = self.answer.error or self.answer.status
                print(f"stepstream: {self.address}: {error}", file=sys.stderr)
                return EXIT_BAD_CALL
            if self.has_time_to_run() and self.answer.token:
                return self.run_command()
            if self.answer.state in OVER_STATES:
                # The lease was held and lost between two calls: make another attempt.
                self.session_name = uuid.uuid4().hex
            if self.answer.error and self.answer.error != last_error:
                last_error = self.answer.error
                print(f"stepstream: waiting for {self.name}: {last_error}", file=sys.stderr)
            if self.stop_signal or self.is_wait_over(begun_at):
                return self.give_up()
            time.sleep(min(self.ttl_seconds / ACQUIRE_CALLS_PER_TTL, MAX_ACQUIRE_INTERVAL_SECONDS))

    def has_time_to_run(self) -> bool:
        """Tell whether the lease lasts until the command would have to be ended."""
        return self.expires_at - boot_time_seconds() > self.term_seconds

    def is_wait_over(self, begun_at: float) -> bool:
        """Tell whether `--wait` has passed."""
        if self.wait_seconds is None:
            return False
        return boot_time_seconds() - begun_at >= self.wait_seconds

    def give_up(self) -> int:
        """End the wait for the lease; return the exit code."""
        self.release()
        if self.stop_signal:
            return EXIT_SIGNAL_BASE + self.stop_signal
        print(f"stepstream: {self.name} was not had in {self.wait_seconds:g} s", file=sys.stderr)
        return EXIT_NOT_ACQUIRED

    # -- the dispatcher ---------------------------------------------------------------------------

    def heartbeat(self) -> None:
        """Call the dispatcher; its answer may extend the time for which the lease is held."""
        called_at = boot_time_seconds()
        path = (
            f"/leases/{self.name}/want?session={self.session_name}"
            f"&ttl_ms={self.ttl_seconds * 1000:.0f}&act_ms={self.term_seconds * 1000:.0f}"
        )
        call_timeout_seconds = self.call_timeout_seconds(called_at)
        try:
            status, fields = call_admin(
                self.address, path, "PUT", timeout_seconds=call_timeout_seconds
            )
        except ConnectionError as error:
            self.answer = SessionAnswer(error=str(error))
            return
        self.answer = answer = SessionAnswer.from_json(status, fields)
        if status == HTTPStatus.OK and answer.remaining_seconds and self.token in (0, answer.token):
            drift = answer.max_clock_drift
            surely_seconds = answer.remaining_seconds * (1 - drift) / (1 + drift)
            self.expires_at = max(self.expires_at, called_at + surely_seconds)

    def call_timeout_seconds(self, now: float) -> float:
        """Return the bound on a call.

        While the command runs, nothing may keep this program past the time to end it.
        """
        available_seconds = self.ttl_seconds
        if self.token:
            available_seconds = max(self.expires_at - self.term_seconds - now, POLL_SECONDS)
        return min(self.ttl_seconds / 4, MAX_CALL_SECONDS, available_seconds)

    def release(self) -> None:
        """Give the lease back; if the dispatcher cannot be reached, it expires."""
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
            return EXIT_LOST
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
        is_terminated = False
        lost_reason = ""
        while process.poll() is None:
            now = boot_time_seconds()
            if now >= self.expires_at - KILL_MARGIN_SECONDS:
                lost_reason = lost_reason or self.not_renewed_reason()
                signal_group(process, signal.SIGKILL)
                process.wait()
                break
            if now >= next_heartbeat_at and not lost_reason:
                self.heartbeat()
                next_heartbeat_at = now + self.ttl_seconds / HEARTBEATS_PER_TTL
                lost_reason = self.answered_loss()
            if not lost_reason and boot_time_seconds() >= self.expires_at - self.term_seconds:
                lost_reason = self.not_renewed_reason()
            if (lost_reason or self.stop_signal) and not is_terminated:
                is_terminated = True
                signal_group(process, signal.SIGTERM)
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(POLL_SECONDS)
        signal_group(process, signal.SIGKILL)  # whatever it has left behind in its group
        return lost_reason

    def answered_loss(self) -> str:
        """Return why the lease is lost by the dispatcher's last answer, or ""."""
        if self.answer.ending:
            return TAKEN_BACK
        return NOT_RENEWED if self.answer.state in OVER_STATES else ""

    def not_renewed_reason(self) -> str:
        """Return why the lease runs out."""
        return self.answer.error or NOT_RENEWED


def signal_group(process: "subprocess.Popen[bytes]", signal_number: int) -> None:
    """Signal the command's process group; one that is gone is none the worse."""
    with contextlib.suppress(ProcessLookupError, PermissionError):
        os.killpg(process.pid, signal_number)


def die_with_parent() -> None:
    """Have the command killed if this program dies, which then cannot end it in time.

    Called in the command's process before it is executed.
    """
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
