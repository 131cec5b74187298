"""The wiring of one dispatcher: its core, its HTTP server and clients, and the subsystems.

The main thread creates the context, and only it replaces its attributes (at a reload, and
`hot_restarting` at a shutdown). Other threads read them and post events. Each component documents
which threads may call it. Subsystems see the context as `SubsystemContext`.
"""

import os
import random
from collections.abc import Callable
from dataclasses import replace
from importlib import import_module
from queue import SimpleQueue
from typing import TYPE_CHECKING

from stepstream.config.limits import Limits, limits_for
from stepstream.config.node_config import NodeConfig
from stepstream.core.commands import Command
from stepstream.core.dispatcher import Dispatcher
from stepstream.core.events import Event
from stepstream.http.client_api import ClientApi
from stepstream.http.destination_set import DISCOVERY_SOURCE, DestinationSet
from stepstream.http.discovery_api import DiscoveryApi
from stepstream.http.discovery_client import DiscoveryClient
from stepstream.http.load_reports import LoadReportReader
from stepstream.http.outbound import OutboundCarrier
from stepstream.http.poll_schedule import PollSchedule
from stepstream.http.server import InboundServer
from stepstream.http.staleness import StalenessDetector
from stepstream.model.events import SettingsChanged
from stepstream.model.settings import Settings
from stepstream.node.subsystems import enabled_subsystems
from stepstream.ports.carriers import Carrier
from stepstream.runtime import log_events
from stepstream.runtime.clock import Clock
from stepstream.runtime.log import RateLimitedLogger
from stepstream.runtime.resident_memory import ResidentMemory

if TYPE_CHECKING:  # loaded only where a subsystem is switched on
    from stepstream.config.operator_file import OperatorConfig
    from stepstream.subsystem_api.subsystem import Subsystem


class NodeContext:
    """The components of one dispatcher, wired to each other but not started.

    `operator` is the content of the operator's file, if there is one, and `operator_path` its path,
    for a reload. Raises ConfigurationError if a subsystem cannot be created.
    """

    def __init__(
        self,
        config: NodeConfig,
        operator: "OperatorConfig | None" = None,
        operator_path: str | None = None,
    ) -> None:
        self.config = config
        self.operator = operator
        self.operator_path = operator_path
        self.process_count = 1  # processes that share the memory and the descriptors
        limits = self.limits_of(config)
        self.limits: Limits = limits
        self.clock = Clock()
        self.events: SimpleQueue[Event] = SimpleQueue()  # to the decision thread
        self.post = self.events.put
        # To the main thread. A SimpleQueue and not an Event, because a signal handler calls put()
        # while the same thread may be inside get().
        self.signals: SimpleQueue[int] = SimpleQueue()
        self.unreadable_load_reports = RateLimitedLogger(log_events.load_report_ignored, limits)
        self.unreadable_answers = RateLimitedLogger(log_events.worker_answer_unreadable, limits)
        self.failed_discovery_calls = RateLimitedLogger(log_events.discovery_call_failed, limits)
        self.core = create_core(config, limits, self.clock)
        self.destinations = create_destinations(config)
        self.reports = LoadReportReader(config.settings, self.unreadable_load_reports.add)
        self.server = self.create_server()
        self.outbound = OutboundCarrier(
            limits, self.clock, self.destinations, self.post, self.reports, self.unreadable_answers
        )
        self.carriers: dict[str, Carrier] = {DISCOVERY_SOURCE: self.outbound}  # by endpoint source
        self.discovery = self.create_discovery_client(config, limits)
        # The endpoint list to start with: the configuration's, or a newer one from a hot restart.
        self.persisted_endpoints = config.persisted_endpoints
        self.hot_restarting = False
        self.is_health_check_delegated: Callable[[str], bool] = never_delegated
        # The number of dispatchers that share the workers, as counted by a subsystem; None: the
        # settings' number is used.
        self.observed_dispatcher_count: int | None = None
        self.subsystems: dict[str, Subsystem] = {}
        self.command_handlers: dict[type, Callable[[Command], None]] = {}
        self.create_subsystems()

    def create_server(self) -> InboundServer:
        """Create the server of inbound connections; the node's start binds its address."""
        server = InboundServer(
            self.limits,
            self.clock,
            ClientApi(self.config.settings, self.reports),
            self.post,
            self.destinations.is_worker_host,
            ResidentMemory(os.environ.get("TMPDIR") or None),
        )
        server.pending_event_count = self.events.qsize
        return server

    def create_subsystems(self) -> None:
        """Import and create each enabled subsystem, and register the commands that it handles.

        A subsystem can use those that were created before it, in `subsystems`.
        """
        for key, module in enabled_subsystems(self.config, self.operator):
            self.subsystems[key] = import_module(module).create_subsystem(self)
        for subsystem in self.subsystems.values():
            self.command_handlers.update(subsystem.command_handlers())

    def create_discovery_client(self, config: NodeConfig, limits: Limits) -> DiscoveryClient:
        """Create a client of the configured discovery service; the caller starts its thread."""
        return DiscoveryClient(
            limits,
            config.discovery,
            DiscoveryApi(config.settings),
            self.destinations,
            self.events.put,
            self.failed_discovery_calls,
            PollSchedule.from_settings(config.settings, random.Random(config.seed)),
            self.events.put,
        )

    def limits_of(self, config: NodeConfig) -> Limits:
        """Return the limits of this process under `config`."""
        return limits_for(
            config,
            has_subsystems=self.operator is not None,
            process_count=self.process_count,
        )

    def share_resources(self, process_count: int) -> None:
        """Take this process's part of the memory and the descriptors; the main thread calls it.

        Connections beyond smaller limits stay open until they end.
        """
        if process_count == self.process_count:
            return
        self.process_count = process_count
        self.limits = self.limits_of(self.config)
        self.server.reconfigure(self.limits, self.server.state.client_api)
        self.outbound.reconfigure(self.limits)
        log_events.resources_shared(process_count=process_count)

    def set_dispatcher_count(self, dispatchers: int) -> None:
        """Set the number of dispatchers that share the workers, this one included."""
        self.observed_dispatcher_count = dispatchers
        self.post(SettingsChanged(self.effective_settings(self.config)))
        self.discovery.schedule.dispatcher_count = dispatchers
        self.destinations.staleness.dispatcher_count = dispatchers
        log_events.dispatcher_count_changed(dispatchers=dispatchers)

    def effective_settings(self, config: NodeConfig) -> Settings:
        """Return the settings of `config`, with the counted number of dispatchers if known."""
        if self.observed_dispatcher_count is None:
            return config.settings
        return replace(config.settings, dispatcher_count=self.observed_dispatcher_count)


def create_core(config: NodeConfig, limits: Limits, clock: Clock) -> Dispatcher:
    """Create the core, which belongs to the decision thread once that has started."""
    return Dispatcher(
        config.settings,
        config.seed,
        clock.now_us(),
        limits.loop.timer_tick_us,
        limits.loop.answer_margin_us,
        log_events,
    )


def create_destinations(config: NodeConfig) -> DestinationSet:
    """Create the empty set of discovery's workers, with the detector of a stale list."""
    detector = StalenessDetector(config.settings.dispatcher_count, random.Random(config.seed))
    return DestinationSet(detector)


def never_delegated(worker_id: str) -> bool:  # noqa: ARG001  default for a subsystem's function
    """Return False: this dispatcher checks the health of every worker itself."""
    return False
