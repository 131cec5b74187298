"""`stepstream lease run`: one command under one lease, ended before the lease can be another's.

What the dispatcher tells counts from before it was asked, on this program's own clock and less the drift, so
a dispatcher that dies, stalls or cannot be reached leaves the command no time that is another's.
"""

import contextlib
import ctypes
import os
import signal
import subprocess
import sys
import time
import uuid

from stepstream.admin_client import call_admin
from stepstream.config.errors import ConfigurationError
from stepstream.leases.driver import clock

LOST, NOT_HAD, BAD_CALL = os.EX_UNAVAILABLE, os.EX_TEMPFAIL, os.EX_USAGE
KILL_S = 0.3  # before the end of the lease: SIGKILL, and its process is surely gone
LOOK_S = 0.05  # between two looks at the command
SHORTEST_S = 1.0  # time to live with which a command can be ended in time
PR_SET_PDEATHSIG = 1


class Runner:
    def __init__(
        self, at: str, name: str, ttl: float, wait: float | None, command: list[str]
    ) -> None:
        """Seconds; FieldError names an option that does not fit."""
        if ttl < SHORTEST_S:
            raise ConfigurationError(f"--ttl={ttl:g} is under {SHORTEST_S:g} s")
        self.at, self.name, self.ttl, self.wait, self.command = at, name, ttl, wait, command
        self.act = max(ttl / 4, KILL_S + 0.2)  # from SIGTERM to the lease's end
        self.session = uuid.uuid4().hex
        self.token = 0  # that the command was given
        self.until = 0.0  # by this program's clock: nobody else can hold it before
        self.told: dict = {}
        self.stopped = 0  # the signal that came

    def stop(self, number: int) -> None:
        self.stopped = number

    def run(self) -> int:
        begun, said = clock(), ""
        while True:
            status = self.ask()
            if status in (400, 404, 405):
                print(f"stepstream: {self.at}: {self.told.get('error', status)}", file=sys.stderr)
                return BAD_CALL
            if self.until - clock() > self.act and self.told.get("token"):
                return self.hold()
            if self.told.get("state") in ("lost", "released"):
                self.session = (
                    uuid.uuid4().hex
                )  # it was had and lost between two calls: another attempt
            if (error := self.told.get("error", "")) and error != said:
                said = error
                print(f"stepstream: waiting for {self.name}: {error}", file=sys.stderr)
            if self.stopped or (self.wait is not None and clock() - begun >= self.wait):
                self.give_back()
                if not self.stopped:
                    print(
                        f"stepstream: {self.name} was not had in {self.wait:g} s", file=sys.stderr
                    )
                return 128 + self.stopped if self.stopped else NOT_HAD
            time.sleep(min(self.ttl / 20, 0.25))

    def ask(self) -> int:
        """The status, 0 without an answer."""
        asked = clock()
        path = (
            f"/leases/{self.name}/want?session={self.session}"
            f"&ttl_ms={self.ttl * 1000:.0f}&act_ms={self.act * 1000:.0f}"
        )
        # While the command runs nothing may keep this program past the time to end it.
        spare = max(self.until - self.act - asked, LOOK_S) if self.token else self.ttl
        try:
            status, told = call_admin(
                self.at, path, "PUT", timeout_seconds=min(self.ttl / 4, 2.0, spare)
            )
        except ConnectionError as error:
            self.told = {"error": str(error)}
            return 0
        self.told = told
        if status == 200 and told["left_ms"] and self.token in (0, told["token"]):
            drift = told["drift"]
            self.until = max(self.until, asked + told["left_ms"] / 1000 * (1 - drift) / (1 + drift))
        return status

    def hold(self) -> int:
        """The command, from its start to its end."""
        self.token = self.told["token"]
        environment = {
            **os.environ,
            "STEPSTREAM_LEASE": self.name,
            "STEPSTREAM_FENCE": str(self.token),
        }
        try:
            process = subprocess.Popen(
                self.command, env=environment, start_new_session=True, preexec_fn=die_with_parent
            )
        except OSError as error:
            self.give_back()
            print(f"stepstream: {self.command[0]}: {error}", file=sys.stderr)
            return 127 if isinstance(error, FileNotFoundError) else 126
        lost = self.watch(process)
        self.give_back()
        if lost:
            print(
                f"stepstream: {self.name} was lost: {lost}; the command was ended", file=sys.stderr
            )
            return LOST
        return process.returncode if process.returncode >= 0 else 128 - process.returncode

    def watch(self, process: subprocess.Popen) -> str:
        """Until the command has ended; why the lease was lost before that, or ""."""
        next_ask, termed, why = clock(), False, ""
        while process.poll() is None:
            now = clock()
            if now >= self.until - KILL_S:
                why = why or self.told.get("error") or "not renewed in time"
                signal_group(process, signal.SIGKILL)
                process.wait()
                break
            if now >= next_ask and not why:
                self.ask()
                next_ask = now + self.ttl / 6
                if self.told.get("ending") or self.told.get("state") in ("lost", "released"):
                    why = (
                        "given back by an operator"
                        if self.told.get("ending")
                        else "not renewed in time"
                    )
            if not why and clock() >= self.until - self.act:
                why = self.told.get("error") or "not renewed in time"
            if (why or self.stopped) and not termed:
                termed = True
                signal_group(process, signal.SIGTERM)
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(LOOK_S)
        signal_group(process, signal.SIGKILL)  # whatever it has left behind in its group
        return why

    def give_back(self) -> None:
        with contextlib.suppress(ConnectionError):
            call_admin(
                self.at,
                f"/leases/{self.name}/release?session={self.session}",
                "PUT",
                timeout_seconds=1.0,
            )


def signal_group(process: subprocess.Popen, number: int) -> None:
    with contextlib.suppress(ProcessLookupError, PermissionError):
        os.killpg(process.pid, number)


def die_with_parent() -> None:
    """In the command's process: SIGKILL if this program dies, which then cannot end it in time."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
