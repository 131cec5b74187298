"""What the operators' calls do to the process: the wiring between the admin listener and the rest.

Each effect takes hold before the call is answered: a ban is in the destination set, so that no call is
written to that worker from then on, and the core hears of it in its next round.
"""

import time
from collections.abc import Callable

from stepstream.admin.calls import Asked, Effect, Verdict, View, decide
from stepstream.dispatch import Event, Maintained
from stepstream.drain import Drain
from stepstream.maintenance import Bans
from stepstream.net.discovery import DestinationSet
from stepstream.net.inbound import House
from stepstream.net.threads import Clock, log


class Desk:
    def __init__(
        self,
        house: House,
        destinations: DestinationSet,
        bans: Bans,
        drain: Drain,
        clock: Clock,
        post: Callable[[Event], None],
        known: Callable[[str], bool],
    ) -> None:
        """`known`: whether a catalogue holds a worker by that id."""
        self.house, self.destinations, self.bans, self.drain = house, destinations, bans, drain
        self.clock, self.post, self.known = clock, post, known
        self.started = False  # the clients' listener is open and served
        self.changed: Callable[[], None] = lambda: None  # the state is to be handed over anew
        self.swept = 0.0

    def serving(self) -> bool:
        door = self.house.door
        return self.started and not door.leaving and not self.drain.failed

    def answer(self, asked: Asked) -> Verdict:
        view = View(self.serving(), self.known(asked.worker), self.bans.holds(asked.worker))
        verdict = decide(asked, view)
        if verdict.effect is not None:
            self.carry_out(verdict.effect, asked.worker)
        elif verdict.status == 404:
            self.bans.counts.unknown += 1
        return verdict

    def carry_out(self, effect: Effect, worker: str) -> None:
        door = self.house.door
        match effect:
            case Effect.BAN if self.bans.ban(worker):
                self.spread(f"worker {worker} out for maintenance")
            case Effect.LIFT if self.bans.lift(worker, self.clock.now_us()):
                self.spread(f"worker {worker} back from maintenance, cold")
            case Effect.FAIL if self.drain.fail(time.monotonic()):
                door.failed = True
                log("drain asked: the front is told no from now on")
            case Effect.OK if self.drain.ok():
                door.failed = door.drained = False
                log("drain ended: the front is told yes again")

    def spread(self, text: str) -> None:
        """The bans, everywhere they count."""
        state = self.bans.snapshot()
        self.destinations.ban(state.banned)
        self.post(Maintained(state))
        self.changed()
        log(f"{text}; {len(state.banned)} out")

    def adopted(self) -> None:
        """Another process's bans were taken over."""
        state = self.bans.snapshot()
        self.destinations.ban(state.banned)
        self.post(Maintained(state))
        log(f"maintenance taken over: {len(state.banned)} out")

    def look(self, now: float) -> None:
        """Every turn of the admin listener: a drain closes kept connections once its time has come."""
        if not self.drain.closing(now) or now - self.swept < 0.1:
            return
        self.swept = now
        if not self.house.door.drained:
            self.house.door.drained = True
            log("drain: kept connections close after their answers")
        self.house.close_idle()
