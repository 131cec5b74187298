"""What the operators' calls do to the process: the wiring between the admin listener and the rest.

Each effect takes hold before the call is answered: a ban is in the destination set, so that no call is
written to that worker from then on, and the core hears of it in its next round.
"""

import time
from collections.abc import Callable
from queue import SimpleQueue
from typing import TYPE_CHECKING

from stepstream.admin.routing import Asked, Call, Effect, Verdict, View, decide
from stepstream.core.drain import DrainState
from stepstream.core.events import Event, MaintenanceChanged, SiblingProcessChanged
from stepstream.core.maintenance import MaintenanceRegistry
from stepstream.http import platform_api as platform
from stepstream.http.codec import Message, ProtocolError
from stepstream.http.destination_set import DestinationSet
from stepstream.http.server import InboundServer
from stepstream.runtime.clock import Clock
from stepstream.runtime.log import log

if TYPE_CHECKING:
    from stepstream.hot_restart.controller import HotRestartController


class AdminService:
    def __init__(
        self,
        house: InboundServer,
        destinations: DestinationSet,
        bans: MaintenanceRegistry,
        drain: DrainState,
        clock: Clock,
        post: Callable[[Event], None],
        known: Callable[[str], bool],
    ) -> None:
        """`known`: whether a catalogue holds a worker by that id."""
        self.house, self.destinations, self.bans, self.drain = house, destinations, bans, drain
        self.clock, self.post, self.known = clock, post, known
        self.started = False  # the clients' listener is open and served
        self.keeper: HotRestartController | None = (
            None  # the handed-over state, where there is $TMPDIR
        )
        self.neighbour = False
        self.on_word: Callable[[str, bool], None] | None = (
            None  # hears each word on a worker told here
        )
        self.heard: SimpleQueue[tuple[str, bool, str, int]] = SimpleQueue()  # words told elsewhere
        self.listed = 0  # the destination set's changes that the handed-over state holds
        self.swept = 0.0

    def serving(self) -> bool:
        door = self.house.state
        return self.started and not door.shutting_down and not self.drain.active

    def answer(self, asked: Asked) -> Verdict:
        if asked.call is Call.NEWS:
            return self.news(asked.body)
        view = View(self.serving(), self.known(asked.worker), self.bans.contains(asked.worker))
        verdict = decide(asked, view)
        if verdict.effect is not None:
            self.carry_out(verdict.effect, asked.worker)
        elif verdict.status == 404:
            self.bans.counts.unknown += 1
        if self.on_word is not None and verdict.status == 200 and asked.worker:
            # Also where it changes nothing here: another dispatcher may have been told the opposite.
            self.on_word(asked.worker, asked.call is Call.MAINT)
        return verdict

    def news(self, body: bytes) -> Verdict:
        """From the process beside this one: a worker brought it there, and it is this one's."""
        try:
            told = platform.read_notification(Message(method="POST", body=body), forwarded=True)
        except ProtocolError as error:
            return Verdict(error.status, f"{error}")
        if told is not None:
            self.post(told)
        return Verdict(200, "OK")

    def carry_out(self, effect: Effect, worker: str) -> None:
        door = self.house.state
        match effect:
            case Effect.BAN if self.bans.begin(worker):
                self.spread(f"worker {worker} out for maintenance")
            case Effect.LIFT if self.bans.release(worker, self.clock.now_us()):
                self.spread(f"worker {worker} back from maintenance, cold")
            case Effect.FAIL if self.drain.start(time.monotonic()):
                door.draining = True
                log("drain asked: the front is told no from now on")
            case Effect.OK if self.drain.cancel():
                door.draining = door.drain_closing = False
                log("drain ended: the front is told yes again")

    def spread(self, text: str) -> None:
        """The bans, everywhere they count."""
        state = self.bans.snapshot()
        self.destinations.set_in_maintenance(state.in_maintenance)
        self.post(MaintenanceChanged(state))
        if self.keeper is not None:
            self.keeper.write()
        log(f"{text}; {len(state.in_maintenance)} out")

    def adopted(self) -> None:
        """Another process's bans were taken over."""
        state = self.bans.snapshot()
        self.destinations.set_in_maintenance(state.in_maintenance)
        self.post(MaintenanceChanged(state))
        log(f"maintenance taken over: {len(state.in_maintenance)} out")

    def hear_on(self) -> None:
        """Words told at other dispatchers: they hold here whether or not this one knows the worker."""
        while not self.heard.empty():
            worker, out, by, at_us = self.heard.get_nowait()
            if out and self.bans.begin(worker):
                self.spread(f"worker {worker} out for maintenance, told at {by}")
            elif not out and self.bans.release(worker, at_us):
                self.spread(f"worker {worker} back from maintenance, cold, told at {by}")

    def look(self, now: float) -> None:
        """Every turn of the admin listener: words from elsewhere, and a drain's closing when due."""
        self.hear_on()
        if self.keeper is not None:
            self.look_beside()
        if not self.drain.closes_connections(now) or now - self.swept < 0.1:
            return
        self.swept = now
        if not self.house.state.drain_closing:
            self.house.state.drain_closing = True
            log("drain: kept connections close after their answers")
        self.house.close_idle()

    def look_beside(self) -> None:
        if self.keeper.watch():
            self.adopted()
        if self.destinations.update_count != self.listed:
            # What discovery told this process passes to the next one, at most one turn late.
            self.listed = self.destinations.update_count
            self.keeper.listed = self.destinations.export_list()
            self.keeper.write()
        present = self.keeper.neighbour() is not None
        if present != self.neighbour:
            self.neighbour = present
            self.post(SiblingProcessChanged(present))
            log(
                f"hot restart: {'a process beside this one' if present else 'alone'} on the clients' address"
            )
