"""How `[fleet]` plugs into the node: the view, what it is for, and the operators' calls about it."""

import random
import signal
import time
from collections.abc import Callable, Sequence

import msgspec

from stepstream import __version__
from stepstream.config.errors import ConfigurationError
from stepstream.config.node_config import NodeConfig
from stepstream.config.operator_file import MembershipSection as Section
from stepstream.config.operator_file import OperatorConfig, require_unchanged, split_address
from stepstream.membership import messages as m
from stepstream.membership import report
from stepstream.membership.counting import Roster, Seen
from stepstream.membership.driver import Driver, new_generation
from stepstream.membership.messages import Phase
from stepstream.membership.settings_digest import settings_digest
from stepstream.membership.view import Times, View
from stepstream.ports.admin import (
    AdminRequest,
    AdminResponse,
    AdminRoute,
    WorkerMaintenance,
    json_response,
)
from stepstream.ports.subsystem import Subsystem
from stepstream.runtime.log import log
from stepstream.runtime.structured_log import structured_logger
from stepstream.runtime.threads import spawn_thread
from stepstream.subsystem_context import SubsystemContext

READS = frozenset({"GET", "HEAD"})
FACTS = 0.5  # seconds between two looks at what this member says of itself
FIXED = (
    "fleet.listen",
    "fleet.advertise",
    "fleet.cluster",
    "fleet.share_maintenance",
    "fleet.follow_size",
)


class MembershipSubsystem(Subsystem):
    def __init__(self, host: SubsystemContext) -> None:
        """FieldError names a key of the section, or of the configuration, that does not fit."""
        self.host = host
        section, config = host.operator.fleet, host.config
        check(section, config)
        self.draw = random.Random()  # by the machine's own chance: members must not draw alike
        address = section.advertise or section.listen
        me = m.Row(config.name, address, new_generation(self.draw), 0, m.State.ALIVE)
        now = time.monotonic()
        self.view = View(me, section.cluster, section.seeds, times_of(section), self.draw, now)
        self.roster = Roster(config.name, section.hold_s)
        self.started_ms = time.time_ns() // 1_000_000
        self.phase = Phase.STARTING
        self.counted = config.settings.dispatcher_count
        self.told: dict[str, m.Word] = {}  # words that maintenance here has heard
        self.facts_at = 0.0  # when it last told them
        self.driver: Driver | None = None
        self.heard: dict[str, Callable[[str, bytes], None]] = {}
        self.process = f"{config.name}@{me.generation:x}"

    # -- for other subsystems (ports.Messenger) -----------------------------------------------------------

    def subscribe(self, kind: str, take: Callable[[str, bytes], None]) -> None:
        self.heard[kind] = take

    def send(self, member: str, kind: str, data: bytes) -> None:
        if self.driver is not None:
            self.driver.post(member, kind, data)

    def present(self) -> list[str]:
        with self.driver.lock:
            return self.view.others()

    def superseded(self) -> bool:
        return bool(self.view.superseded)

    @property
    def section(self) -> Section:
        return self.host.operator.fleet

    @property
    def maintenance(self) -> WorkerMaintenance | None:
        return self.host.subsystems.get("operator")

    # -- the node's calls ---------------------------------------------------------------------------------

    def start(self) -> None:
        listen = self.section.listen
        try:
            lines = structured_logger(self.section.log)
            self.driver = Driver(
                split_address(listen), self.view, self.host.limits, lines, self.act
            )
        except OSError as error:
            raise ConfigurationError(f"fleet.listen={listen}: {error}") from None
        self.driver.heard = self.heard
        if self.section.share_maintenance and self.maintenance is not None:
            # Before the admin listener hears its first call: a word told by then would stay here.
            self.maintenance.on_change = self.say
        spawn_thread("fleet", self.driver.run)
        log(
            f"{self.host.config.name} is a member of {self.section.cluster} at {self.view.me.address}"
        )

    def on_serving(self) -> None:
        self.phase = Phase.SERVING

    def prepare_reload(
        self, config: NodeConfig, operator: OperatorConfig | None
    ) -> Callable[[], None]:
        for key in FIXED:
            require_unchanged(key, self.host.operator, operator)
        check(operator.fleet, config)
        if config.name != self.host.config.name:
            raise ConfigurationError(
                f"name={config.name} changes only with a restart where there is [fleet]"
            )
        return lambda: self.take_over(operator.fleet)

    def take_over(self, section: Section) -> None:
        with self.driver.lock:
            self.view.times, self.view.seeds = times_of(section), section.seeds
            self.view.gossip.multiple = self.view.times.gossip
            self.roster.hold = section.hold_s
            self.counted = 0  # the settings are new: what follows from the view is told again

    def begin_shutdown(self) -> bool:
        self.phase = Phase.LEAVING
        return False

    def stop(self) -> None:
        """All is answered. In a hot restart the name goes on with the process beside this one."""
        if self.host.hot_restarting:
            self.driver.closed = True
        else:
            self.driver.leave()

    def status(self) -> str:
        view, driver = self.view, self.driver
        return (
            f"fleet of {len(view.here)} present and {self.counted} counted, "
            f"{driver.complaints.count} datagrams dropped and {driver.unsent} not sent"
        )

    # -- the fleet thread, with the view locked -----------------------------------------------------------

    def act(self, now: float) -> None:
        """What follows from the view: this member's own facts, the share, and operators' words."""
        seen = [
            Seen(name, x.row.state, now - x.since, x.row.mark)
            for name, x in self.view.members.items()
        ]
        if now - self.facts_at >= FACTS:
            self.facts_at = now
            self.view.tell_facts(self.own_facts(self.roster.witnessed(seen)))
        counted = self.count(now, seen)
        if counted != self.counted:
            self.counted = counted
            if self.section.follow_size:
                self.host.set_dispatcher_count(counted)
        if self.section.share_maintenance and self.maintenance is not None:
            for worker, word in self.view.words.items():
                if self.told.get(worker) != word:
                    self.told[worker] = word
                    self.maintenance.apply_remote_change(worker, word.out, word.by, word.at_us)

    def count(self, now: float, seen: list[Seen]) -> int:
        witnesses = {name: frozenset(facts.ended) for name, facts in self.view.facts.items()}
        counted = self.roster.update(seen, witnesses)
        young = now - self.view.begun < self.view.times.young
        if young or not self.view.joined:
            # Until it has heard of the others for a while, the settings' word is the safer one.
            return max(counted, self.host.config.settings.dispatcher_count)
        return counted

    def own_facts(self, ended: list[int]) -> m.Facts:
        host = self.host
        desk_drains = self.maintenance is not None and self.maintenance.draining()
        phase = Phase.DRAINING if desk_drains and self.phase is Phase.SERVING else self.phase
        return m.Facts(
            owner=self.view.me.name,
            generation=0,
            count=0,
            phase=phase,
            list_version=min(max(host.destinations.version or 0, 0), 2**53),
            settings=settings_digest(host.config.settings),
            open_requests=host.core.open_count,
            started_ms=self.started_ms,
            program=__version__,
            ended=tuple(ended[: m.MOST_ENDED]),
        )

    # -- the admin listener's thread ----------------------------------------------------------------------

    def say(self, worker: str, out: bool) -> None:
        with self.driver.lock:
            word = self.view.say(worker, out, self.host.clock.now_us())
            if word is not None:
                self.told[worker] = word
        if word is None:
            log(
                f"fleet: no room for word of {worker}: {self.view.times.most} workers are known (fleet.most)"
            )

    def admin_routes(self) -> Sequence[AdminRoute]:
        return (
            AdminRoute(r"/fleet", READS, self.on_members),
            AdminRoute(r"/fleet/changes", READS, self.on_changes),
            AdminRoute(r"/fleet/members/([^/]{1,128})", READS, self.on_explain),
            AdminRoute(r"/fleet/leave", frozenset({"PUT", "POST"}), self.on_leave),
        )

    def on_members(self, call: AdminRequest) -> AdminResponse:
        with self.driver.lock:
            told = report.members(self.view, self.counted, time.monotonic())
        counts = {"dropped": self.driver.complaints.count, "unsent": self.driver.unsent}
        told["counts"] |= {**counts, "cpu_s": round(self.driver.cpu_s, 3)}
        return json_response(200, told)

    def on_changes(self, call: AdminRequest) -> AdminResponse:
        after = call.query.get("after", "0")
        if not (after.isascii() and after.isdigit() and len(after) < 16):
            return json_response(400, {"error": "after is not a whole number"})
        with self.driver.lock:
            return json_response(200, report.changes(self.view, int(after), time.monotonic()))

    def on_explain(self, call: AdminRequest) -> AdminResponse:
        with self.driver.lock:
            found = report.explain(self.view, call.parts[0], time.monotonic())
        return (
            json_response(200, found) if found else json_response(404, {"error": "no such member"})
        )

    def on_leave(self, call: AdminRequest) -> AdminResponse:
        """The graceful stop, as SIGTERM begins it: all is answered, and the others are told."""
        self.host.signals.put(signal.SIGTERM)
        return json_response(200, {"leaving": self.view.me.name})


def times_of(section: Section) -> Times:
    return Times(
        period=section.period_ms / 1000,
        timeout=section.timeout_ms / 1000,
        helpers=section.helpers,
        suspicion=section.suspicion,
        slack=section.slack,
        confirmations=section.confirmations,
        gossip=section.gossip,
        sync=section.sync_ms / 1000,
        reach=section.reach_ms / 1000,
        young=section.young_s,
        health=section.health,
        forget=section.forget_s,
        most=section.most,
    )


def check(section: Section, config: NodeConfig) -> None:
    try:
        msgspec.convert(config.name, m.Name)
    except msgspec.ValidationError:
        raise ConfigurationError(
            f"name={config.name} cannot be a member's: letters, digits, . _ - only"
        ) from None
    if (section.advertise or section.listen).startswith("0.0.0.0:"):
        raise ConfigurationError("fleet.advertise: 0.0.0.0 is no address that others can reach")
    if section.timeout_ms >= section.period_ms:
        raise ConfigurationError(f"fleet.timeout_ms={section.timeout_ms} must be under period_ms")
    if section.share_maintenance and config.operator is None:
        raise ConfigurationError(
            "fleet.share_maintenance needs `operator`, the admin listener's address"
        )


def create_subsystem(host: SubsystemContext) -> MembershipSubsystem:
    return MembershipSubsystem(host)
