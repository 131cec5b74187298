"""The membership subsystem: connects the protocol, configured by `[fleet]`, to the node.

The subsystem owns the protocol, the driver and the count of dispatchers. The node's main thread
calls its lifecycle methods. The membership thread calls `run_periodic_task` under the driver's
lock. The admin listener's thread calls `record_maintenance`, which takes that lock.
"""

import random
import time
from collections.abc import Callable, Sequence

from stepstream import __version__
from stepstream.config.errors import ConfigurationError
from stepstream.config.node_config import NodeConfig
from stepstream.config.operator_file import (
    MembershipSection,
    OperatorConfig,
    require_all_unchanged,
    split_address,
)
from stepstream.membership.admin_api import MembershipAdminApi
from stepstream.membership.driver import (
    NANOSECONDS_PER_MILLISECOND,
    Driver,
    MessageHandler,
    new_generation,
    newest_generation,
)
from stepstream.membership.errors import MembershipError
from stepstream.membership.member_count import (
    MemberCount,
    ObservedMember,
    counted_dispatchers,
    observe,
)
from stepstream.membership.member_status import reported_phase
from stepstream.membership.messages import (
    MAX_CONFIRMED_DEATHS,
    MaintenanceRecord,
    MemberRecord,
    MemberState,
    MemberStatus,
    Phase,
)
from stepstream.membership.protocol import MembershipProtocol
from stepstream.membership.section import (
    KEYS_FIXED_UNTIL_RESTART,
    protocol_settings,
    section_of,
    validate_section,
)
from stepstream.membership.settings_digest import settings_digest
from stepstream.ports.admin import (
    AdminRoute,
    WorkerMaintenance,
)
from stepstream.runtime import log_events
from stepstream.runtime.structured_log import structured_logger
from stepstream.runtime.threads import spawn_thread
from stepstream.subsystem_api.context import SubsystemContext, worker_maintenance
from stepstream.subsystem_api.subsystem import Subsystem

STATUS_INTERVAL_SECONDS = 0.5
MAX_LIST_VERSION = 2**53  # the greatest number in a datagram (`messages.Unsigned`)


class MembershipSubsystem(Subsystem):
    """The dispatchers' membership; a MessageTransport (ports.messaging) for other subsystems.

    The constructor raises `ConfigurationError`, which names an invalid key of the section or the
    configuration.
    """

    def __init__(self, host: SubsystemContext) -> None:
        self.host = host
        section = self.section
        config = host.config
        validate_section(section, config)
        rng = random.Random()  # seeded by the machine: each member must draw other numbers
        address = section.advertise or section.listen
        local = MemberRecord(config.name, address, new_generation(rng), 0, MemberState.ALIVE)
        self.protocol = MembershipProtocol(
            local,
            section.cluster,
            section.seeds,
            protocol_settings(section),
            rng,
            time.monotonic(),
            newest_generation=newest_generation,
        )
        self.member_count = MemberCount(config.name, section.hold_s)
        self.started_at_ms = time.time_ns() // NANOSECONDS_PER_MILLISECOND
        self.phase = Phase.STARTING
        self.dispatcher_count = config.settings.dispatcher_count
        self.process_name = f"{config.name}@{local.generation:x}"
        self._driver: Driver | None = None  # None before the start
        self._message_handlers: dict[str, MessageHandler] = {}
        # The records that this dispatcher's worker maintenance has applied, by worker.
        self._applied_maintenance: dict[str, MaintenanceRecord] = {}
        self._status_published_at = 0.0

    @property
    def section(self) -> MembershipSection:
        """The `[fleet]` section in force."""
        return section_of(self.host.operator)

    @property
    def maintenance(self) -> WorkerMaintenance | None:
        """The admin subsystem's worker maintenance; None without an admin listener."""
        return worker_maintenance(self.host)

    @property
    def driver(self) -> Driver:
        """The driver; available once the subsystem has started."""
        if self._driver is None:
            raise MembershipError("the membership subsystem is used before its start")
        return self._driver

    # -- MessageTransport, for other subsystems ---------------------------------------------------

    def subscribe(self, kind: str, on_message: MessageHandler) -> None:
        """Pass messages of a kind to `on_message`; call this before the start."""
        self._message_handlers[kind] = on_message

    def send(self, member: str, kind: str, data: bytes) -> None:
        """Send a message to a member; it may be lost, duplicated or late."""
        if self._driver is not None:
            self._driver.send_application_message(member, kind, data)

    def present_members(self) -> list[str]:
        """Return the names of the other present members."""
        with self.driver.lock:
            return self.protocol.members.others()

    def superseded(self) -> bool:
        """Return whether a later process has taken over this one's name."""
        return self.protocol.members.superseded_by is not None

    # -- the node's main thread -------------------------------------------------------------------

    def start(self) -> None:
        """Bind the socket and start the membership thread."""
        section = self.section
        try:
            self._driver = Driver(
                split_address(section.listen),
                self.protocol,
                self.host.limits,
                structured_logger(section.log),
                self.run_periodic_task,
            )
        except OSError as error:
            raise ConfigurationError(f"fleet.listen={section.listen}: {error}") from error
        self._driver.message_handlers = self._message_handlers
        if section.share_maintenance and self.maintenance is not None:
            # Set before the admin listener takes its first call: it would not be shared otherwise.
            self.maintenance.on_change = self.record_maintenance
        # The thread ends once the driver is closed.
        spawn_thread("fleet", self._driver.run)
        address = self.protocol.members.local.address
        log_events.membership_started(
            dispatcher=self.host.config.name, cluster=section.cluster, address=address
        )

    def on_serving(self) -> None:
        """Report the serving phase."""
        self.phase = Phase.SERVING

    def prepare_reload(
        self, config: NodeConfig, operator: OperatorConfig | None
    ) -> Callable[[], None]:
        """Check a reloaded section; return a function that applies it."""
        require_all_unchanged(KEYS_FIXED_UNTIL_RESTART, self.host.operator, operator)
        section = section_of(operator)
        validate_section(section, config)
        if config.name != self.host.config.name:
            raise ConfigurationError(
                f"name={config.name} changes only with a restart where there is [fleet]"
            )
        return lambda: self._apply_section(section)

    def _apply_section(self, section: MembershipSection) -> None:
        with self.driver.lock:
            self.protocol.reconfigure(protocol_settings(section), section.seeds)
            self.member_count.confirmation_delay_seconds = section.hold_s
            # Makes the periodic task set the dispatcher count in the node's new settings.
            self.dispatcher_count = 0

    def begin_shutdown(self) -> bool:
        """Report the leaving phase; return False: this subsystem knows of no sibling process."""
        self.phase = Phase.LEAVING
        return False

    def stop(self) -> None:
        """Leave the cluster; in a hot restart the sibling process continues under this name."""
        if self.host.hot_restarting:
            self.driver.is_closed = True
        else:
            self.driver.leave()

    def status_counts(self) -> dict[str, int]:
        """Return the membership's fields of the status event."""
        return {
            "members_present": len(self.protocol.members.present),
            "dispatchers_counted": self.dispatcher_count,
            "dropped_datagrams": self.driver.dropped_datagrams.count,
            "unsent_datagrams": self.driver.unsent_datagrams,
        }

    # -- the membership thread, with the driver's lock held ---------------------------------------

    def run_periodic_task(self, now: float) -> None:
        """Publish the local status; apply the dispatcher count and maintenance to the node."""
        observed = observe(self.protocol.members, now)
        if now - self._status_published_at >= STATUS_INTERVAL_SECONDS:
            self._status_published_at = now
            confirmed_deaths = self.member_count.confirmed_deaths(observed)
            self.protocol.statuses.publish(self.local_status(confirmed_deaths))
        dispatcher_count = self._count_dispatchers(now, observed)
        if dispatcher_count != self.dispatcher_count:
            self.dispatcher_count = dispatcher_count
            if self.section.follow_size:
                self.host.set_dispatcher_count(dispatcher_count)
        self._apply_maintenance_records()

    def _apply_maintenance_records(self) -> None:
        maintenance = self.maintenance
        if not self.section.share_maintenance or maintenance is None:
            return
        for worker, record in self.protocol.maintenance.by_worker.items():
            if self._applied_maintenance.get(worker) != record:
                self._applied_maintenance[worker] = record
                maintenance.apply_remote_change(
                    worker, record.in_maintenance, record.recorded_by, record.recorded_at_us
                )

    def _count_dispatchers(self, now: float, observed: list[ObservedMember]) -> int:
        protocol = self.protocol
        confirmations = {
            owner: frozenset(status.confirmed_deaths)
            for owner, status in protocol.statuses.by_owner.items()
        }
        count = self.member_count.update(observed, confirmations)
        uptime_seconds = now - protocol.started_at
        return counted_dispatchers(
            count,
            self.host.config.settings.dispatcher_count,
            is_starting=uptime_seconds < protocol.context.settings.startup_hold_seconds,
            has_joined=protocol.members.joined_at is not None,
        )

    def local_status(self, confirmed_deaths: list[int]) -> MemberStatus:
        """Return what this member reports of itself."""
        host = self.host
        is_draining = self.maintenance is not None and self.maintenance.draining()
        return MemberStatus(
            owner=self.protocol.members.local_name,
            generation=0,  # `MemberStatuses.publish` fills in this and the revision
            revision=0,
            phase=reported_phase(self.phase, is_draining=is_draining),
            endpoint_list_version=min(max(host.destinations.version or 0, 0), MAX_LIST_VERSION),
            settings_digest=settings_digest(host.config.settings),
            open_requests=host.core.open_count,
            started_at_ms=self.started_at_ms,
            program_version=__version__,
            confirmed_deaths=tuple(confirmed_deaths[:MAX_CONFIRMED_DEATHS]),
        )

    # -- the admin listener's thread --------------------------------------------------------------

    def record_maintenance(
        self,
        worker: str,
        in_maintenance: bool,  # noqa: FBT001  called as WorkerMaintenance.on_change
    ) -> None:
        """Share an operator's call on a worker with all members."""
        with self.driver.lock:
            record = self.protocol.maintenance.record(
                worker,
                in_maintenance=in_maintenance,
                recorded_at_us=self.host.clock.now_us(),
            )
            if record is not None:
                self._applied_maintenance[worker] = record
        if record is None:
            log_events.maintenance_record_rejected(
                worker=worker,
                known_workers=self.protocol.context.settings.max_members,
                limit_key="fleet.most",
            )

    def admin_routes(self) -> Sequence[AdminRoute]:
        """Return the routes below `/fleet`."""
        return MembershipAdminApi(self.host, self.driver, lambda: self.dispatcher_count).routes()


def create_subsystem(host: SubsystemContext) -> MembershipSubsystem:
    """Return the subsystem; the node calls this where the operator's file has `[fleet]`."""
    return MembershipSubsystem(host)
