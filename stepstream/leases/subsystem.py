"""The subsystem that the node creates for the section `[leases]` of the operator's file.

Creates and owns the participant, its driver, the sessions and, if configured, the health-check
leader; starts their threads (`leases`, `sweep`) and stops them. The node's main thread calls it.
"""

import random
import time
from collections.abc import Callable, Sequence
from typing import cast

from stepstream.config.errors import ConfigurationError
from stepstream.config.node_config import NodeConfig
from stepstream.config.operator_file import LeasesSection, OperatorConfig, require_all_unchanged
from stepstream.leases.admin_api import LeaseAdminApi
from stepstream.leases.client import LeaseClient
from stepstream.leases.configuration import LeaseConfiguration
from stepstream.leases.driver import LeaseDriver, boot_time_seconds
from stepstream.leases.health_check_leader import HealthCheckLeader, HealthCheckPort
from stepstream.leases.participant import Participant
from stepstream.leases.session_table import SessionTable
from stepstream.leases.sessions import SessionService
from stepstream.ports.admin import AdminRoute
from stepstream.ports.messaging import MessageTransport
from stepstream.runtime import log_events
from stepstream.runtime.log import RateLimitedLogger
from stepstream.runtime.structured_log import structured_logger
from stepstream.runtime.threads import spawn_thread
from stepstream.subsystem_api.context import SubsystemContext, worker_maintenance
from stepstream.subsystem_api.subsystem import Subsystem

# The keys of `[leases]` that a reload must not change: members have to agree on them.
RESTART_ONLY_KEYS = tuple(
    f"leases.{key}"
    for key in (
        "voters",
        "old_voters",
        "drift",
        "longest_s",
        "timeout_ms",
        "turn_ms",
        "most",
        "most_sessions",
        "probe_sweep",
    )
)


class LeasesSubsystem(Subsystem):
    """The leases of one dispatcher."""

    def __init__(self, context: SubsystemContext) -> None:
        self.context = context
        section = section_of(context.operator)
        self.configuration = configuration_of(section)
        # The membership subsystem is created before this one; it carries the leases' messages.
        transport = cast("MessageTransport", context.subsystems["fleet"])
        self.participant = Participant(
            context.config.name,
            transport.process_name,
            self.configuration,
            time.time_ns() // 1_000_000,
            random.Random(),  # seeded by the system, so that members draw different values
            boot_time_seconds(),
        )
        malformed_logger = RateLimitedLogger(log_events.lease_message_dropped, context.limits)
        self.driver = LeaseDriver(
            self.participant,
            transport,
            malformed_logger,
            structured_logger(section.log),
            self.run_driver_tasks,
        )
        self.client = LeaseClient(self.driver, self.configuration)
        self.sessions = SessionService(self.driver, SessionTable(section.most_sessions))
        self.admin_api = LeaseAdminApi(self.driver, self.sessions, self.client)
        self.health_check_leader: HealthCheckLeader | None = None
        if section.probe_sweep:
            port = health_check_port(context)
            leader = HealthCheckLeader(self.client, transport, malformed_logger, port)
            self.health_check_leader = leader
            context.is_health_check_delegated = leader.is_delegated
        self.shutting_down = False

    # -- the node's calls -------------------------------------------------------------------------

    def start(self) -> None:
        """Warn of acceptor sets that tolerate few failures, and start the driver's thread."""
        acceptor_sets = (
            ("voters", self.configuration.acceptors),
            ("old_voters", self.configuration.previous_acceptors),
        )
        for key, names in acceptor_sets:
            warn_of_small_quorum(key, names)
        if self.participant.acceptor is not None:
            log_events.acceptor_recovering(
                dispatcher=self.context.config.name,
                recovery_seconds=self.configuration.recovery_seconds,
            )
        spawn_thread("leases", self.driver.run)  # `stop` ends it

    def on_serving(self) -> None:
        """Start the health-check leader's thread, which `begin_shutdown` ends."""
        if self.health_check_leader is not None:
            spawn_thread("sweep", self.health_check_leader.run)

    def prepare_reload(
        self, _config: NodeConfig, operator: OperatorConfig | None
    ) -> Callable[[], None]:
        """Reject a reload that changes what members have to agree on."""
        require_all_unchanged(RESTART_ONLY_KEYS, self.context.operator, operator)
        return lambda: None

    def run_periodic_tasks(self) -> None:
        """Hold no leases while this dispatcher is drained; allow new ones after the drain."""
        maintenance = worker_maintenance(self.context)
        draining = maintenance is not None and maintenance.draining()
        if draining and not self.client.closed:
            self.end_all()
        elif not draining and not self.shutting_down:
            self.client.closed = False

    def begin_shutdown(self) -> bool:
        """Acquire and renew no leases from now on; notify every holder here to end."""
        self.shutting_down = True
        self.end_all()
        if self.health_check_leader is not None:
            self.health_check_leader.stopped = True
        return False

    def stop(self) -> None:
        """End the driver's thread.

        A lease that was not released expires by itself, since its program may still act.
        """
        self.driver.stopped = True

    def status_counts(self) -> dict[str, int]:
        """Return the leases' fields of the status event."""
        with self.driver.state_changed:
            now = boot_time_seconds()
            proposers = self.participant.proposers.values()
            held_count = sum(proposer.is_held(now) for proposer in proposers)
            counts = {"leases_held": held_count, "leases_wanted": len(proposers) - held_count}
        if self.health_check_leader is None:
            return counts
        receiver = self.health_check_leader.receiver
        return counts | {
            "health_checks_sent": self.health_check_leader.check_count,
            "health_reports_received": receiver.received_count,
            "health_reports_rejected": receiver.outdated_count + receiver.fenced_count,
        }

    def admin_routes(self) -> Sequence[AdminRoute]:
        """Return the calls on leases."""
        return self.admin_api.routes()

    # -- leases -----------------------------------------------------------------------------------

    def end_all(self) -> None:
        """Notify every holder here to end after its current operation; acquire no new leases."""
        self.client.closed = True
        self.sessions.end()

    def run_driver_tasks(self, now: float) -> None:
        """Expire sessions without heartbeats; the driver's thread calls this twice a second."""
        self.sessions.expire(now)


def section_of(operator: OperatorConfig | None) -> LeasesSection:
    """Return the section `[leases]`; without it the node does not create this subsystem."""
    assert operator is not None
    assert operator.leases is not None
    return operator.leases


def configuration_of(section: LeasesSection) -> LeaseConfiguration:
    """Translate the keys of the operator's file, whose spelling is fixed."""
    return LeaseConfiguration(
        acceptors=section.voters,
        previous_acceptors=section.old_voters,
        max_clock_drift=section.drift,
        max_ttl_seconds=section.longest_s,
        round_timeout_seconds=section.timeout_ms / 1000,
        head_start_seconds=section.turn_ms / 1000,
        max_leases=section.most,
    )


def health_check_port(context: SubsystemContext) -> HealthCheckPort:
    """Return the node's functions that the health-check leader uses.

    Raise `ConfigurationError` if the settings have no load reports or no health checks.
    """
    settings = context.config.settings
    if settings.load_report_source == "none" or not settings.may_check_health:
        raise ConfigurationError(
            "leases.probe_sweep needs load reports and probes (load_report.how, limits.probing)"
        )
    return HealthCheckPort(
        list_workers=context.destinations.usable_workers,
        check_health=context.outbound.check_health,
        load_report_columns=lambda: context.config.settings.load_report_columns,
        post=context.post,
    )


def warn_of_small_quorum(key: str, names: Sequence[str]) -> None:
    """Log a set of acceptors that tolerates no more failures than a smaller set would."""
    count = len(names)
    if count == 1 or (count > 0 and count % 2 == 0):
        log_events.acceptor_set_weak(
            key=f"leases.{key}", acceptors=count, tolerated_failures=(count - 1) // 2
        )


def create_subsystem(context: SubsystemContext) -> LeasesSubsystem:
    """Create the subsystem; the node calls this for an operator's file with `[leases]`."""
    return LeasesSubsystem(context)
