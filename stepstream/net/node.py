"""One real dispatcher: the core in its decision thread, and the network side wired round it."""

import signal
import sys
import threading
import time
from queue import Empty, SimpleQueue

from stepstream import dispatch
from stepstream.dispatch import Dispatcher, Outcome
from stepstream.net.discovery import DestinationSet, Discovery
from stepstream.net.http1 import ProtocolError
from stepstream.net.inbound import House
from stepstream.net.limits import Limits, limits_for
from stepstream.net.outbound import Outbound
from stepstream.net.platform import ClientSide, DiscoverySide
from stepstream.net.threads import Clock, guarded, log, spawn
from stepstream.settings import Config


class Node:
    def __init__(self, config: Config) -> None:
        self.config = config
        self.limits: Limits = limits_for(config)
        self.clock = Clock()
        self.events: SimpleQueue[dispatch.Event] = SimpleQueue()
        post = self.events.put
        ticks = self.limits.tick_us, self.limits.early_us
        self.core = Dispatcher(config.settings, config.seed, self.clock.now_us(), *ticks, log)
        self.destinations = DestinationSet()
        self.house = House(self.limits, self.clock, ClientSide(config.settings), post)
        self.outbound = Outbound(self.limits, self.clock, self.destinations, post)
        side = DiscoverySide(config.settings)
        self.discovery = Discovery(self.limits, config.discovery, side, self.destinations, post)
        self.counts = dict.fromkeys(Outcome, 0)
        self.stopping = threading.Event()

    def start(self) -> None:
        threading.stack_size(self.limits.stack)
        self.recall()
        self.house.listen(self.config.listen)
        spawn("decisions", self.decide_on)
        spawn("discovery", self.discovery.run)
        spawn("accept", self.house.accept_on)
        log(f"{self.config.name} serves on {self.config.listen[0]}:{self.config.listen[1]}")

    def recall(self) -> None:
        """The list from before the start; one that cannot be read is as good as none."""
        try:
            self.discovery.learn(self.discovery.side.read(self.config.known, kept=True))
        except ProtocolError as error:
            log(f"known list ignored: {error}")

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
                self.outbound.start(call)
            case dispatch.StopCall(call):
                self.outbound.stop(call)
            case dispatch.Answer(request):
                self.counts[command.outcome] += 1
                request.origin.answer(command)
            case dispatch.ProbeWorker(worker):
                self.outbound.probe(worker)
            case dispatch.AskList(watch):
                self.discovery.ask(watch)
            case dispatch.Note(text):
                log(f"note: {text}")

    # -- the main thread ----------------------------------------------------------------------------------

    def run(self) -> int:
        signal.signal(signal.SIGTERM, lambda *_: self.stopping.set())
        signal.signal(signal.SIGINT, lambda *_: self.stopping.set())
        # Threads that wait for the interpreter ask for it sooner than after the usual 5 ms.
        sys.setswitchinterval(0.001)
        self.start()
        reported = time.monotonic()
        while not self.stopping.wait(self.limits.sweep):
            guarded("sweep", self.outbound.pool.sweep)
            if time.monotonic() - reported >= self.limits.status:
                reported += self.limits.status
                self.report()
        self.stop()
        return 0

    def report(self) -> None:
        counts = ", ".join(f"{n} {outcome.value}" for outcome, n in self.counts.items())
        log(
            f"status: {self.core.open_count} requests open, {len(self.house.inbound)} inbound and "
            f"{self.outbound.pool.count} outbound connections, {self.house.turned_away} turned away, {counts}"
        )

    def stop(self) -> None:
        """Answers all that was taken; connections keep arriving until the front has noticed.

        The listener stays open to the end: workers bring the news that open requests wait for on new ones.
        """
        begun = busy = time.monotonic()
        log(f"stopping, {self.core.open_count} requests open")
        self.house.door.leaving = True
        while (now := time.monotonic()) - begun < self.limits.stop_longest:
            self.house.close_idle()
            if self.house.busy() or self.core.open_count:
                busy = now
            if now - busy >= self.limits.stop_quiet and now - begun >= self.limits.stop_least:
                break
            time.sleep(self.limits.stop_look)
        self.house.close_listener()
        self.report()
        log("stopped")
