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

from stepstream.config.errors import ConfigurationError
from stepstream.config.limits import Limits, limits_for
from stepstream.config.node_config import NodeConfig, read_config
from stepstream.core.commands import (
    Answer,
    CheckWorkerHealth,
    Command,
    LogMessage,
    Outcome,
    PollEndpoints,
    Progress,
    StartCall,
    StopCall,
)
from stepstream.core.dispatcher import Dispatcher
from stepstream.core.events import Event, ShutdownStarted
from stepstream.http.codec import ProtocolError
from stepstream.http.destination_set import SOURCE, DestinationSet
from stepstream.http.discovery_client import DiscoveryClient
from stepstream.http.load_reports import LoadReportReader
from stepstream.http.outbound import OutboundCarrier
from stepstream.http.platform_api import ClientApi, DiscoveryApi
from stepstream.http.poll_schedule import PollSchedule
from stepstream.http.server import InboundServer
from stepstream.http.staleness import StalenessDetector
from stepstream.model.events import SettingsChanged
from stepstream.model.settings import Settings
from stepstream.ports.carriers import Carrier
from stepstream.ports.connections import BoundListener
from stepstream.ports.subsystem import Subsystem
from stepstream.runtime.clock import Clock
from stepstream.runtime.log import RateLimitedLogger, log
from stepstream.runtime.threads import run_guarded, spawn_thread

if TYPE_CHECKING:
    from stepstream.config.operator_file import OperatorConfig

# In the order in which they are made and started. `operator` is the configuration's key, the others are
# sections of the operator's file.
SUBSYSTEM_MODULES = {
    "identity": "stepstream.identity.subsystem",
    "gearman": "stepstream.gearman.subsystem",
    "fleet": "stepstream.membership.subsystem",
    "leases": "stepstream.leases.subsystem",
    "operator": "stepstream.admin.subsystem",
}


class Node:
    """What a subsystem may use of it is `ports.Host`."""

    def __init__(
        self,
        config: NodeConfig,
        operator: "OperatorConfig | None" = None,
        operator_path: str | None = None,
    ) -> None:
        """`operator`: what the operator's own file names, if there is one; `operator_path`: for a reload."""
        self.config, self.operator, self.operator_path = config, operator, operator_path
        self.limits: Limits = limits_for(config)
        self.clock = Clock()
        self.events: SimpleQueue[Event] = SimpleQueue()
        self.post = self.events.put
        ticks = self.limits.loop.timer_tick_us, self.limits.loop.answer_margin_us
        self.core = Dispatcher(config.settings, config.seed, self.clock.now_us(), *ticks, log)
        self.destinations = DestinationSet(
            StalenessDetector(config.settings.dispatcher_count, random.Random(config.seed))
        )
        self.bad_reports = RateLimitedLogger("load report ignored:", self.limits)
        self.bad_answers = RateLimitedLogger("answer", self.limits)
        self.bad_lists = RateLimitedLogger("discovery failed:", self.limits)
        self.reports = LoadReportReader(config.settings, self.bad_reports.add)
        side = ClientApi(config.settings, self.reports)
        self.server = InboundServer(
            self.limits, self.clock, side, self.post, self.destinations.is_worker
        )
        more = self.reports, self.bad_answers
        self.outbound = OutboundCarrier(
            self.limits, self.clock, self.destinations, self.post, *more
        )
        # A queue and no Event: its put() may interrupt its own get(), as a signal handler does.
        self.signals: SimpleQueue[int] = SimpleQueue()
        self.carriers: dict[str, Carrier] = {SOURCE: self.outbound}
        self.discovery = self.discovery_for(config, self.limits)
        self.counts = dict.fromkeys(Outcome, 0)
        # The list from before the start: the configuration's, or a newer one handed over.
        self.persisted_endpoints = config.persisted_endpoints
        self.hot_restarting = False
        self.is_health_check_delegated = lambda worker: False
        self.sharing: int | None = (
            None  # dispatchers, where a subsystem knows better than the settings
        )
        self.subsystems: dict[str, Subsystem] = {}
        for name, module in SUBSYSTEM_MODULES.items():
            if switched_on(name, config, operator):
                self.subsystems[name] = import_module(module).create_subsystem(self)
        self.doers = {
            kind: do
            for part in self.subsystems.values()
            for kind, do in part.command_handlers().items()
        }

    def discovery_for(self, config: NodeConfig, limits: Limits) -> DiscoveryClient:
        side = DiscoveryApi(config.settings)
        schedule = PollSchedule.of(config.settings, random.Random(config.seed))
        more = self.events.put, self.bad_lists, schedule
        return DiscoveryClient(limits, config.discovery, side, self.destinations, *more)

    def start(self) -> None:
        threading.stack_size(self.limits.sizes.thread_stack_bytes)
        for part in self.subsystems.values():
            part.start()
        self.recall()
        self.server.state.starting = True
        entrance = self.server.bind(self.config.listen)
        spawn_thread("discovery", self.discovery.run)
        self.await_agent()
        self.server.start_listening(entrance)
        doors = [BoundListener(self.config.listen, entrance)]
        for part in self.subsystems.values():
            doors += part.open_listeners()
        spawn_thread("decisions", self.decide_on)
        for door in doors:
            spawn_thread("accept", self.server.accept_loop, door.spec)
            log(
                f"{self.config.name} serves on {door.address[0]}:{door.address[1]}{door.log_suffix}"
            )
        for part in self.subsystems.values():
            part.on_serving()
        # Last: whoever hears the yes may count on all of this.
        if self.destinations.version is None:
            spawn_thread("first list", self.await_list)
        else:
            self.server.state.starting = False

    def recall(self) -> None:
        """The list from before the start; one that cannot be read is as good as none."""
        if not self.persisted_endpoints:
            return  # its version would be one that discovery never gave
        try:
            self.discovery.learn(self.discovery.side.read(self.persisted_endpoints, kept=True))
        except ProtocolError as error:
            log(f"known list ignored: {error}")

    def await_agent(self) -> None:
        """Guards the first requests: what an agent of pushed lists holds counts from the first moment."""
        if not self.config.settings.polls_endpoints:
            self.discovery.heard.wait(self.limits.startup.first_agent_list_seconds)

    def await_list(self) -> None:
        """Ready means: there is a list to serve from, or none could be had in a few seconds."""
        self.discovery.poll()
        self.discovery.heard.wait(self.limits.startup.first_endpoint_list_seconds)
        self.server.state.starting = False

    # -- the decision thread ------------------------------------------------------------------------------

    def decide_on(self) -> None:
        while True:
            run_guarded("decisions", self.decide)

    def decide(self) -> None:
        events = self.wait_for_events()
        for command in self.core.handle(self.clock.now_us(), events):
            run_guarded("a command", self.carry_out, command)

    def wait_for_events(self) -> list[Event]:
        """All that is there by now, or nothing once a timer is due."""
        due_us = self.core.next_timer_us()
        longest = self.limits.loop.longest_wait_seconds
        nap = longest if due_us is None else (due_us - self.clock.now_us()) / 1e6
        events: list[Event] = []
        try:
            if nap > 0:
                events.append(self.events.get(timeout=min(nap, longest)))
            while len(events) < self.limits.loop.event_batch:
                events.append(self.events.get_nowait())
        except Empty:
            pass
        return events

    def carry_out(self, command: Command) -> None:
        match command:
            case StartCall(call):
                call.carrier = self.carrier(call.worker_id)
                call.carrier.start(call)
            case StopCall(call):
                call.carrier.stop(call)
            case Progress(request, done, of):
                request.response_sink.progress(done, of)
            case Answer(request):
                self.counts[command.outcome] += 1
                request.response_sink.answer(command)
            case CheckWorkerHealth(worker):
                if not self.is_health_check_delegated(worker):
                    self.carrier(worker).check_health(worker)
            case PollEndpoints():
                self.discovery.poll()
            case LogMessage(text):
                log(f"note: {text}")
            case _ if (do := self.doers.get(type(command))) is not None:
                do(command)

    def carrier(self, worker: str) -> Carrier:
        """Of the source that holds the worker; discovery's says 'not sent' for one that nobody holds."""
        return self.carriers[self.core.endpoints.owner(worker) or SOURCE]

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
                run_guarded("reload", self.reload)
            if (now := time.monotonic()) - swept >= self.limits.loop.sweep_seconds:
                swept = now
                self.look_round()
            if now - reported >= self.limits.loop.status_period_seconds:
                reported += self.limits.loop.status_period_seconds
                self.report()
        self.stop()
        return 0

    def look_round(self) -> None:
        run_guarded("sweep", self.outbound.pool.sweep)
        run_guarded("doubt", self.look_at_list)
        self.look_at_parts()

    def look_at_list(self) -> None:
        if self.destinations.is_suspected_stale():
            log(
                "discovery asked beside its watch: workers that its list calls ready refuse connections"
            )
            self.discovery.check()

    def look_at_parts(self) -> None:
        run_guarded("look", self.server.enforce_timeouts)
        for name, part in self.subsystems.items():
            run_guarded(name, part.run_periodic_tasks)

    def next_signal(self) -> int | None:
        """In short waits: where a signal does not cut a wait short, SIGTERM is heard that much later, and
        the time to answer all before SIGKILL, which counts from the signal, is that much shorter.
        """
        try:
            return self.signals.get(timeout=self.limits.loop.signal_wait_seconds)
        except Empty:
            return None

    def reload(self) -> None:
        """SIGHUP: the file is read anew, all or nothing; what is open or learned stays."""
        try:
            config = read_config()
            operator = read_again(self.operator_path, config, self.operator)
            if config.listen != self.config.listen:
                raise ConfigurationError(
                    f"listen={config.listen[0]}:{config.listen[1]} changes only with a restart"
                )
            taken_over = [
                part.prepare_reload(config, operator) for part in self.subsystems.values()
            ]
        except ConfigurationError as error:
            log(f"configuration: {error}; the old one serves on")
            return
        self.apply(config)
        self.operator = operator
        for take_over in taken_over:
            take_over()
        log(
            f"reloaded: {config.name} asks discovery at {config.discovery[0]}:{config.discovery[1]}"
        )

    def set_dispatcher_count(self, dispatchers: int) -> None:
        self.sharing = dispatchers
        settings = self.in_force(self.config)
        self.post(SettingsChanged(settings))
        self.discovery.schedule.dispatchers = dispatchers
        self.destinations.doubt.fleet = dispatchers
        log(f"the workers are shared by {dispatchers} dispatchers")

    def in_force(self, config: NodeConfig) -> Settings:
        shared = {} if self.sharing is None else {"dispatcher_count": self.sharing}
        return replace(config.settings, **shared)

    def apply(self, config: NodeConfig) -> None:
        config = replace(config, settings=self.in_force(config))
        limits = limits_for(config)
        old, new = self.discovery, self.discovery_for(config, limits)
        if config.discovery == self.config.discovery:
            new.version = old.version  # the same list goes on: no need for a whole one
        new.poll_soon()  # what it has to tell counts soon after a reload
        spawn_thread("discovery", new.run)  # first: without a thread nothing changes
        old.stop()
        # Before anything is read by the new settings: the core hears of them first.
        self.events.put(SettingsChanged(config.settings))
        self.config, self.limits = config, limits
        self.reports.reconfigure(config.settings)
        self.server.reconfigure(limits, ClientApi(config.settings, self.reports))
        self.outbound.reconfigure(limits)
        self.destinations.doubt.fleet = config.settings.dispatcher_count
        self.discovery = new

    def report(self) -> None:
        counts = ", ".join(f"{n} {outcome.value}" for outcome, n in self.counts.items())
        log(
            f"status: {self.core.open_count} requests open, {len(self.server.connections)} inbound and "
            f"{self.outbound.pool.count} outbound connections, {self.server.rejected_count} turned away, "
            f"{self.bad_reports.count} load reports and {self.bad_answers.count} answers unreadable, "
            f"{self.bad_lists.count} calls to discovery failed, {counts}"
            + "".join(f", {more}" for part in self.subsystems.values() if (more := part.status()))
        )

    def stop(self) -> None:
        """Answers all that was taken; connections keep arriving until the front has noticed.

        Clients go on with the connections that they have while there is time to answer: when dispatchers
        restart one after the other, the next one may not be back yet and they would find nobody.
        The listener stays open to the end: workers bring the news that open requests wait for on new ones.
        """
        begun = busy = self.server.state.shutdown_started_at = time.monotonic()
        # A hot restart: new connections go to the process beside this one, and the front is not told no.
        hot = self.hot_restarting = any(
            [part.begin_shutdown() for part in self.subsystems.values()]
        )
        beside = " for the process beside this one" if hot else ""
        log(f"stopping{beside}, {self.core.open_count} requests open")
        if hot:
            self.server.close_listener(self.server.listeners[0])
        else:
            self.server.state.shutting_down = True
        by_us = self.clock.now_us() + int(self.limits.shutdown.answering_seconds * 1e6)
        self.events.put(ShutdownStarted(by_us))
        while (now := time.monotonic()) - begun < self.limits.shutdown.longest_seconds:
            if hot or now - begun >= self.limits.shutdown.serving_seconds:
                self.server.state.closing = True
                self.server.close_idle()
            self.look_at_parts()
            if self.server.busy() or self.core.open_count:
                busy = now
            if (
                now - busy >= self.limits.shutdown.quiet_seconds
                and now - begun >= self.limits.shutdown.least_seconds
            ):
                break
            time.sleep(self.limits.shutdown.poll_seconds)
        self.server.close_listeners()
        for name, part in self.subsystems.items():
            run_guarded(name, part.stop)
        self.report()
        log("stopped")


def switched_on(name: str, config: NodeConfig, operator: "OperatorConfig | None") -> bool:
    if name == "operator":
        return config.operator is not None
    return operator is not None and getattr(operator, name) is not None


def read_again(
    path: str | None, config: NodeConfig, old: "OperatorConfig | None"
) -> "OperatorConfig | None":
    """The operator's file at a reload; FieldError if a section has come or gone."""
    if path is None or old is None:
        return old
    from stepstream.config.operator_file import read_operator

    new = read_operator(path, config.settings)
    for name in SUBSYSTEM_MODULES:
        if name != "operator" and (getattr(old, name) is None) != (getattr(new, name) is None):
            raise ConfigurationError(f"{name} is switched on or off only with a restart")
    return new
