"""One real dispatcher: the core in its decision thread, the platform's network side round it, and whatever
subsystems the configuration and the operator's file switch on.

The one place that knows them all: a subsystem is a package whose `plug` module makes a `ports.Subsystem`, and
one line in PLUGS. It is imported only where it is switched on.
"""

import gc
import random
import signal
import sys
import threading
import time
from dataclasses import replace
from importlib import import_module
from queue import Empty, SimpleQueue
from typing import TYPE_CHECKING

from stepstream import dispatch
from stepstream import interface as i
from stepstream.dispatch import Dispatcher, Outcome
from stepstream.net.discovery import SOURCE, DestinationSet, Discovery
from stepstream.net.doubt import Doubt
from stepstream.net.http1 import ProtocolError
from stepstream.net.inbound import House
from stepstream.net.limits import Limits, limits_for
from stepstream.net.outbound import Outbound
from stepstream.net.platform import ClientSide, DiscoverySide
from stepstream.net.reports import Reports
from stepstream.net.schedule import Schedule
from stepstream.net.threads import Clock, Complaints, guarded, log, spawn
from stepstream.ports import Carrier, Door, Subsystem
from stepstream.settings import Config, FieldError, read_config

if TYPE_CHECKING:
    from stepstream.operator_file import Operator

# In the order in which they are made and started. `operator` is the configuration's key, the others are
# sections of the operator's file.
PLUGS = {
    "identity": "stepstream.identity.plug",
    "gearman": "stepstream.gearman.plug",
    "fleet": "stepstream.fleet.plug",
    "leases": "stepstream.leases.plug",
    "operator": "stepstream.admin.plug",
}


class Node:
    """What a subsystem may use of it is `ports.Host`."""

    def __init__(
        self, config: Config, operator: "Operator | None" = None, operator_path: str | None = None
    ) -> None:
        """`operator`: what the operator's own file names, if there is one; `operator_path`: for a reload."""
        self.config, self.operator, self.operator_path = config, operator, operator_path
        self.limits: Limits = limits_for(config)
        self.clock = Clock()
        self.events: SimpleQueue[dispatch.Event] = SimpleQueue()
        self.post = self.events.put
        ticks = self.limits.tick_us, self.limits.early_us
        self.core = Dispatcher(config.settings, config.seed, self.clock.now_us(), *ticks, log)
        self.destinations = DestinationSet(
            Doubt(config.settings.fleet_size, random.Random(config.seed))
        )
        self.bad_reports = Complaints("load report ignored:", self.limits)
        self.bad_answers = Complaints("answer", self.limits)
        self.bad_lists = Complaints("discovery failed:", self.limits)
        self.reports = Reports(config.settings, self.bad_reports.add)
        side = ClientSide(config.settings, self.reports)
        self.house = House(self.limits, self.clock, side, self.post, self.destinations.is_worker)
        more = self.reports, self.bad_answers
        self.outbound = Outbound(self.limits, self.clock, self.destinations, self.post, *more)
        # A queue and no Event: its put() may interrupt its own get(), as a signal handler does.
        self.signals: SimpleQueue[int] = SimpleQueue()
        self.carriers: dict[str, Carrier] = {SOURCE: self.outbound}
        self.discovery = self.discovery_for(config, self.limits)
        self.counts = dict.fromkeys(Outcome, 0)
        # The list from before the start: the configuration's, or a newer one handed over.
        self.known = config.known
        self.hot = False
        self.spared = lambda worker: False
        self.sharing: int | None = (
            None  # dispatchers, where a subsystem knows better than the settings
        )
        self.parts: dict[str, Subsystem] = {}
        for name, module in PLUGS.items():
            if switched_on(name, config, operator):
                self.parts[name] = import_module(module).plug(self)
        self.doers = {
            kind: do for part in self.parts.values() for kind, do in part.commands().items()
        }

    def discovery_for(self, config: Config, limits: Limits) -> Discovery:
        side = DiscoverySide(config.settings)
        schedule = Schedule.of(config.settings, random.Random(config.seed))
        more = self.events.put, self.bad_lists, schedule
        return Discovery(limits, config.discovery, side, self.destinations, *more)

    def start(self) -> None:
        threading.stack_size(self.limits.stack)
        for part in self.parts.values():
            part.start()
        self.recall()
        self.house.door.starting = True
        entrance = self.house.bind(self.config.listen)
        spawn("discovery", self.discovery.run)
        self.await_agent()
        self.house.open(entrance)
        doors = [Door(self.config.listen, entrance)]
        for part in self.parts.values():
            doors += part.open()
        spawn("decisions", self.decide_on)
        for door in doors:
            spawn("accept", self.house.accept_on, door.entrance)
            log(f"{self.config.name} serves on {door.address[0]}:{door.address[1]}{door.what}")
        for part in self.parts.values():
            part.serving()
        # Last: whoever hears the yes may count on all of this.
        if self.destinations.version is None:
            spawn("first list", self.await_list)
        else:
            self.house.door.starting = False

    def recall(self) -> None:
        """The list from before the start; one that cannot be read is as good as none."""
        if not self.known:
            return  # its version would be one that discovery never gave
        try:
            self.discovery.learn(self.discovery.side.read(self.known, kept=True))
        except ProtocolError as error:
            log(f"known list ignored: {error}")

    def await_agent(self) -> None:
        """Guards the first requests: what an agent of pushed lists holds counts from the first moment."""
        if not self.config.settings.must_ask:
            self.discovery.heard.wait(self.limits.agent_first)

    def await_list(self) -> None:
        """Ready means: there is a list to serve from, or none could be had in a few seconds."""
        self.discovery.ask()
        self.discovery.heard.wait(self.limits.first_list)
        self.house.door.starting = False

    # -- the decision thread ------------------------------------------------------------------------------

    def decide_on(self) -> None:
        while True:
            guarded("decisions", self.decide)

    def decide(self) -> None:
        events = self.wait_for_events()
        for command in self.core.handle(self.clock.now_us(), events):
            guarded("a command", self.carry_out, command)

    def wait_for_events(self) -> list[dispatch.Event]:
        """All that is there by now, or nothing once a timer is due."""
        due_us = self.core.next_us()
        longest = self.limits.nap
        nap = longest if due_us is None else (due_us - self.clock.now_us()) / 1e6
        events: list[dispatch.Event] = []
        try:
            if nap > 0:
                events.append(self.events.get(timeout=min(nap, longest)))
            while len(events) < self.limits.batch:
                events.append(self.events.get_nowait())
        except Empty:
            pass
        return events

    def carry_out(self, command: dispatch.Command) -> None:
        match command:
            case dispatch.StartCall(call):
                call.carrier = self.carrier(call.worker)
                call.carrier.start(call)
            case dispatch.StopCall(call):
                call.carrier.stop(call)
            case dispatch.Progress(request, done, of):
                request.origin.progress(done, of)
            case dispatch.Answer(request):
                self.counts[command.outcome] += 1
                request.origin.answer(command)
            case dispatch.ProbeWorker(worker):
                if not self.spared(worker):
                    self.carrier(worker).probe(worker)
            case dispatch.AskList():
                self.discovery.ask()
            case dispatch.Note(text):
                log(f"note: {text}")
            case _ if (do := self.doers.get(type(command))) is not None:
                do(command)

    def carrier(self, worker: str) -> Carrier:
        """Of the source that holds the worker; discovery's says 'not sent' for one that nobody holds."""
        return self.carriers[self.core.members.source(worker) or SOURCE]

    # -- the main thread ----------------------------------------------------------------------------------

    def run(self) -> int:
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda came, _: self.signals.put(came))
        # Threads that wait for the interpreter ask for it sooner than after the usual 5 ms.
        sys.setswitchinterval(0.001)
        self.start()
        if self.operator is not None:
            # What further packages have brought lives as long as the process: no collection need look at it.
            gc.freeze()
        reported = swept = time.monotonic()
        while (came := self.next_signal()) in (None, signal.SIGHUP):
            if came is not None:
                guarded("reload", self.reload)
            if (now := time.monotonic()) - swept >= self.limits.sweep:
                swept = now
                self.look_round()
            if now - reported >= self.limits.status:
                reported += self.limits.status
                self.report()
        self.stop()
        return 0

    def look_round(self) -> None:
        guarded("sweep", self.outbound.pool.sweep)
        guarded("doubt", self.look_at_list)
        self.look_at_parts()

    def look_at_list(self) -> None:
        if self.destinations.doubted():
            log(
                "discovery asked beside its watch: workers that its list calls ready refuse connections"
            )
            self.discovery.check()

    def look_at_parts(self) -> None:
        guarded("look", self.house.look)
        for name, part in self.parts.items():
            guarded(name, part.look)

    def next_signal(self) -> int | None:
        """In short waits: where a signal does not cut a wait short, SIGTERM is heard that much later, and
        the time to answer all before SIGKILL, which counts from the signal, is that much shorter.
        """
        try:
            return self.signals.get(timeout=self.limits.signal_wait)
        except Empty:
            return None

    def reload(self) -> None:
        """SIGHUP: the file is read anew, all or nothing; what is open or learned stays."""
        try:
            config = read_config()
            operator = read_again(self.operator_path, config, self.operator)
            if config.listen != self.config.listen:
                raise FieldError(
                    f"listen={config.listen[0]}:{config.listen[1]} changes only with a restart"
                )
            taken_over = [part.prepare(config, operator) for part in self.parts.values()]
        except FieldError as error:
            log(f"configuration: {error}; the old one serves on")
            return
        self.apply(config)
        self.operator = operator
        for take_over in taken_over:
            take_over()
        log(
            f"reloaded: {config.name} asks discovery at {config.discovery[0]}:{config.discovery[1]}"
        )

    def share_by(self, dispatchers: int) -> None:
        self.sharing = dispatchers
        settings = self.in_force(self.config)
        self.post(i.NewSettings(settings))
        self.discovery.schedule.dispatchers = dispatchers
        self.destinations.doubt.fleet = dispatchers
        log(f"the workers are shared by {dispatchers} dispatchers")

    def in_force(self, config: Config) -> i.Settings:
        shared = {} if self.sharing is None else {"fleet_size": self.sharing}
        return replace(config.settings, **shared)

    def apply(self, config: Config) -> None:
        config = replace(config, settings=self.in_force(config))
        limits = limits_for(config)
        old, new = self.discovery, self.discovery_for(config, limits)
        if config.discovery == self.config.discovery:
            new.version = old.version  # the same list goes on: no need for a whole one
        new.hurry()  # what it has to tell counts soon after a reload
        spawn("discovery", new.run)  # first: without a thread nothing changes
        old.retire()
        # Before anything is read by the new settings: the core hears of them first.
        self.events.put(i.NewSettings(config.settings))
        self.config, self.limits = config, limits
        self.reports.reconfigure(config.settings)
        self.house.reconfigure(limits, ClientSide(config.settings, self.reports))
        self.outbound.reconfigure(limits)
        self.destinations.doubt.fleet = config.settings.fleet_size
        self.discovery = new

    def report(self) -> None:
        counts = ", ".join(f"{n} {outcome.value}" for outcome, n in self.counts.items())
        log(
            f"status: {self.core.open_count} requests open, {len(self.house.inbound)} inbound and "
            f"{self.outbound.pool.count} outbound connections, {self.house.turned_away} turned away, "
            f"{self.bad_reports.count} load reports and {self.bad_answers.count} answers unreadable, "
            f"{self.bad_lists.count} calls to discovery failed, {counts}"
            + "".join(f", {more}" for part in self.parts.values() if (more := part.status()))
        )

    def stop(self) -> None:
        """Answers all that was taken; connections keep arriving until the front has noticed.

        Clients go on with the connections that they have while there is time to answer: when dispatchers
        restart one after the other, the next one may not be back yet and they would find nobody.
        The listener stays open to the end: workers bring the news that open requests wait for on new ones.
        """
        begun = busy = self.house.door.left_at = time.monotonic()
        # A hot restart: new connections go to the process beside this one, and the front is not told no.
        hot = self.hot = any([part.leave() for part in self.parts.values()])
        beside = " for the process beside this one" if hot else ""
        log(f"stopping{beside}, {self.core.open_count} requests open")
        if hot:
            self.house.close_entrance(self.house.entrances[0])
        else:
            self.house.door.leaving = True
        by_us = self.clock.now_us() + int(self.limits.stop_answer * 1e6)
        self.events.put(dispatch.LastCall(by_us))
        while (now := time.monotonic()) - begun < self.limits.stop_longest:
            if hot or now - begun >= self.limits.stop_serving:
                self.house.door.closing = True
                self.house.close_idle()
            self.look_at_parts()
            if self.house.busy() or self.core.open_count:
                busy = now
            if now - busy >= self.limits.stop_quiet and now - begun >= self.limits.stop_least:
                break
            time.sleep(self.limits.stop_look)
        self.house.close_entrances()
        for name, part in self.parts.items():
            guarded(name, part.stop)
        self.report()
        log("stopped")


def switched_on(name: str, config: Config, operator: "Operator | None") -> bool:
    if name == "operator":
        return config.operator is not None
    return operator is not None and getattr(operator, name) is not None


def read_again(path: str | None, config: Config, old: "Operator | None") -> "Operator | None":
    """The operator's file at a reload; FieldError if a section has come or gone."""
    if path is None or old is None:
        return old
    from stepstream.operator_file import read_operator

    new = read_operator(path, config.settings)
    for name in PLUGS:
        if name != "operator" and (getattr(old, name) is None) != (getattr(new, name) is None):
            raise FieldError(f"{name} is switched on or off only with a restart")
    return new
