"""The leases' one thread: timers of the core, its letters by way of the fleet's messenger.

The clock is CLOCK_BOOTTIME: monotonic, and it goes on while the machine is suspended, as voters' clocks do.
"""

import threading
import time
from collections.abc import Callable

import structlog

from stepstream.leases import messages as m
from stepstream.leases.claim import Claim
from stepstream.leases.core import Change, Core, Send
from stepstream.ports.messaging import MessageTransport
from stepstream.runtime.log import RateLimitedLogger, log

KIND = "lease"
LONGEST_WAIT = 0.5  # seconds
LINES = 50  # changes written in one turn; more are counted in one line


def clock() -> float:
    """Seconds; only differences mean anything."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Driver:
    """Every call may come from any thread. `act` is called by the thread twice a second and must not wait."""

    def __init__(
        self,
        core: Core,
        messenger: MessageTransport,
        complaints: RateLimitedLogger,
        lines: structlog.BoundLogger,
        act: Callable[[float], None],
    ) -> None:
        self.core, self.messenger, self.complaints, self.lines, self.act = (
            core,
            messenger,
            complaints,
            lines,
            act,
        )
        self.turned = (
            threading.Condition()
        )  # its lock guards the core; notified with every change of state
        self.acted = 0.0
        self.cpu_s = 0.0  # that the thread has used
        self.closed = False
        self.foreign: set[str] = set()  # members of other rules that were told of
        messenger.subscribe(KIND, self.hear)

    # -- any thread ---------------------------------------------------------------------------------------

    def hear(self, member: str, data: bytes) -> None:
        try:
            letter = m.decode(data)
        except m.BadLetterError as error:
            self.complaints.add(f"from {member}: {error}")
            return
        with self.turned:
            sends = self.core.handle(clock(), member, letter)
            self.turned.notify_all()
        self.carry(sends)

    def acquire(self, lease: str, ttl: float, act: float) -> Claim:
        with self.turned:
            claim, sends = self.core.acquire(clock(), lease, ttl, act)
            self.turned.notify_all()
        self.carry(sends)
        return claim

    def release(self, claim: Claim) -> None:
        with self.turned:
            sends = self.core.release(clock(), claim)
            self.turned.notify_all()
        self.carry(sends)

    def carry(self, sends: list[Send]) -> None:
        for send in sends:
            self.messenger.send(send.member, KIND, m.encode(send.letter))

    # -- the thread ---------------------------------------------------------------------------------------

    def run(self) -> None:
        while not self.closed:
            try:
                self.turn()
            except Exception as error:
                # Guards the leases: a fault over one of them must not end the others' renewals.
                log(f"fault in leases: {type(error).__name__}: {error}")
                time.sleep(LONGEST_WAIT)

    def turn(self) -> None:
        with self.turned:
            wait = min(max(self.core.next_at() - clock(), 0.0), LONGEST_WAIT)
            if wait > 0:
                self.turned.wait(wait)
            if self.messenger.superseded():
                self.core.voter = None  # a later process votes under this name
            sends = self.core.tick(clock())
            changes = list(self.core.changes)
            self.core.changes.clear()
            foreign = set(self.core.foreign) - self.foreign
            self.foreign = set(self.core.foreign)
            if changes:
                self.turned.notify_all()
        self.carry(sends)
        self.write(changes, foreign)
        if (now := time.monotonic()) - self.acted >= LONGEST_WAIT:
            self.acted, self.cpu_s = now, time.thread_time()
            self.act(clock())

    def write(self, changes: list[Change], foreign: set[str]) -> None:
        for change in changes[:LINES]:
            self.lines.info(
                "lease",
                lease=change.lease,
                before=change.before,
                after=change.after,
                token=change.token,
                holder=change.proposer,
            )
        if len(changes) > LINES:
            self.lines.info("leases", more=len(changes) - LINES)
        for member in sorted(foreign):
            self.lines.info(
                "leases: other rules",
                member=member,
                why="voters, drift and longest_s must be alike",
            )
