"""How `[leases]` plugs into the node: the voter and the claims, and the operators' calls about them."""

import random
import re
import time
from collections.abc import Callable, Sequence

from stepstream.config.errors import ConfigurationError
from stepstream.config.node_config import NodeConfig
from stepstream.config.operator_file import LeasesSection as Section
from stepstream.config.operator_file import OperatorConfig, require_unchanged
from stepstream.leases import messages as m
from stepstream.leases.claim import State
from stepstream.leases.core import Core, fault_of
from stepstream.leases.driver import Driver, clock
from stepstream.leases.rules import Rules
from stepstream.leases.sessions import Session, Sessions, no_quorum
from stepstream.leases.sweeper import Sweeper
from stepstream.leases.tasks import Leases
from stepstream.ports.admin import AdminRequest, AdminResponse, AdminRoute, json_response
from stepstream.ports.messaging import MessageTransport
from stepstream.ports.subsystem import Subsystem
from stepstream.runtime.log import RateLimitedLogger, log
from stepstream.runtime.structured_log import structured_logger
from stepstream.runtime.threads import spawn_thread
from stepstream.subsystem_context import SubsystemContext

READS, WRITES = frozenset({"GET", "HEAD"}), frozenset({"PUT", "POST"})
FIXED = tuple(
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
NAME = re.compile(m.LEASE)
SESSION = re.compile(r"[A-Za-z0-9-]{8,64}")


class LeasesSubsystem(Subsystem):
    def __init__(self, host: SubsystemContext) -> None:
        self.host = host
        section = host.operator.leases
        self.rules = rules_of(section)
        messenger: MessageTransport = host.subsystems["fleet"]
        base = time.time_ns() // 1_000_000
        draw = random.Random()  # by the machine's own chance: members must not draw alike
        self.core = Core(host.config.name, messenger.process, self.rules, base, draw, clock())
        self.sessions = Sessions(section.most_sessions)
        complaints = RateLimitedLogger("lease letter dropped:", host.limits)
        self.driver = Driver(
            self.core, messenger, complaints, structured_logger(section.log), self.look_at_sessions
        )
        self.leases = Leases(self.driver, self.rules)
        self.sweeper: Sweeper | None = None
        if section.probe_sweep:
            self.sweeper = self.sweeper_for(messenger, complaints)
            host.is_health_check_delegated = self.sweeper.spared
        self.leaving = False

    def sweeper_for(self, messenger: MessageTransport, complaints: RateLimitedLogger) -> Sweeper:
        host = self.host
        settings = host.config.settings
        if settings.load_report_source == "none" or not settings.may_check_health:
            why = "needs load reports and probes (load_report.how, limits.probing)"
            raise ConfigurationError(f"leases.probe_sweep {why}")

        def names() -> tuple[str, ...]:
            return host.config.settings.load_report_columns

        told = host.destinations.usable_workers, host.outbound.check_health, names, host.post
        return Sweeper(self.leases, messenger, complaints, *told)

    # -- the node's calls ---------------------------------------------------------------------------------

    def start(self) -> None:
        for key, names in (("voters", self.rules.voters), ("old_voters", self.rules.old_voters)):
            if names and len(names) % 2 == 0:
                log(
                    f"leases.{key}: {len(names)} voters bear no more failures than {len(names) - 1}"
                )
            elif len(names) == 1:
                log(f"leases.{key}: with one voter no lease is had while it is away")
        if self.core.voter is not None:
            log(
                f"{self.host.config.name} votes on leases, after {self.rules.silence:.1f} s of silence"
            )
        spawn_thread("leases", self.driver.run)

    def on_serving(self) -> None:
        if self.sweeper is not None:
            spawn_thread("sweep", self.sweeper.run)

    def prepare_reload(
        self, config: NodeConfig, operator: OperatorConfig | None
    ) -> Callable[[], None]:
        for key in FIXED:
            require_unchanged(key, self.host.operator, operator)
        return lambda: None

    def begin_shutdown(self) -> bool:
        """Nothing new, and nothing is renewed; whoever holds one through here is told to end."""
        self.leaving = True
        self.let_go()
        if self.sweeper is not None:
            self.sweeper.closed = True
        return False

    def let_go(self) -> None:
        """Whoever holds a lease through here ends its act in hand and gives it back; nothing new."""
        self.leases.closed = True
        with self.driver.turned:
            self.sessions.end()
            sends = self.core.fade(clock())
            self.driver.turned.notify_all()
        self.driver.carry(sends)

    def run_periodic_tasks(self) -> None:
        """A drained dispatcher holds no leases; its tasks may want them again once the drain is over."""
        desk = self.host.subsystems.get("operator")
        drained = desk is not None and desk.draining()
        if drained and not self.leases.closed:
            self.let_go()
        elif not drained and not self.leaving:
            self.leases.closed = False

    def stop(self) -> None:
        """What was not given back runs out by itself: its program may still act."""
        self.driver.closed = True

    def status(self) -> str:
        with self.driver.turned:
            now = clock()
            held = sum(claim.held(now) for claim in self.core.claims.values())
            words = f"{held} leases held and {len(self.core.claims) - held} wanted"
        if self.sweeper is None:
            return words
        heard = self.sweeper.hearing
        refused = heard.old + heard.fenced
        return f"{words}, {self.sweeper.probes} probes swept, {heard.heard} reports heard and {refused} refused"

    # -- sessions -----------------------------------------------------------------------------------------

    def look_at_sessions(self, now: float) -> None:
        with self.driver.turned:
            waiting = self.sessions.sweep(now)
        for session in waiting:
            self.driver.release(session.claim)

    def end_sessions(self, lease: str) -> int:
        with self.driver.turned:
            ended = self.sessions.end(lease)
            sends = self.core.fade(clock(), lease)
            self.driver.turned.notify_all()
        self.driver.carry(sends)
        return len(ended)

    # -- the admin listener's thread ----------------------------------------------------------------------

    def admin_routes(self) -> Sequence[AdminRoute]:
        return (
            AdminRoute(r"/leases", READS, self.on_list),
            AdminRoute(r"/leases/([^/]{1,200})", READS, self.on_show),
            AdminRoute(r"/leases/([^/]{1,200})/want", WRITES, self.on_want),
            AdminRoute(r"/leases/([^/]{1,200})/release", WRITES, self.on_release),
        )

    def on_list(self, call: AdminRequest) -> AdminResponse:
        return json_response(200, self.told())

    def on_show(self, call: AdminRequest) -> AdminResponse:
        if not NAME.fullmatch(call.parts[0]):
            return bad_name(call.parts[0])
        found = [row for row in self.told() if row["name"] == call.parts[0]]
        return (
            json_response(200, found[0])
            if found
            else json_response(404, {"error": "no such lease is known here"})
        )

    def told(self) -> list[dict]:
        """By lease: as this dispatcher's own voter and claims know it."""
        with self.driver.turned:
            now, rows = clock(), {}
            if self.core.voter is not None:
                for lease, record in self.core.voter.records.items():
                    grant = (
                        record.grant
                        if record.grant is not None and record.grant.until > now
                        else None
                    )
                    rows[lease] = {
                        "name": lease,
                        "holder": grant.ballot.proposer if grant is not None else "",
                        "token": grant.token if grant is not None else 0,
                        "state": State.HELD.value if grant is not None else "free",
                        "left_ms": round((grant.until - now) * 1000) if grant is not None else 0,
                        "waiting": [x.ballot.proposer for x in self.core.voter.row(now, record)],
                    }
            for claim in self.core.claims.values():
                row = rows.setdefault(
                    claim.lease,
                    {
                        "name": claim.lease,
                        "holder": claim.holder,
                        "token": 0,
                        "left_ms": 0,
                        "waiting": [],
                    },
                )
                if claim.held(now):
                    row |= {
                        "holder": claim.proposer,
                        "token": claim.token,
                        "state": claim.state(now).value,
                    }
                    row["left_ms"] = round(claim.left(now) * 1000)
                else:
                    row.setdefault("state", State.WANTED.value)
            return [rows[lease] for lease in sorted(rows)]

    def on_want(self, call: AdminRequest) -> AdminResponse:
        """A program outside wants the lease, or goes on wanting or holding it; it asks again and again."""
        lease, session_name = call.parts[0], call.query.get("session", "")
        if not NAME.fullmatch(lease):
            return bad_name(lease)
        if not SESSION.fullmatch(session_name):
            return json_response(400, {"error": "session: 8 to 64 letters, digits and hyphens"})
        now = clock()
        with self.driver.turned:
            session = self.sessions.get(now, session_name)
            room = session is not None or self.sessions.room(now)
        if session is None:
            ttl, act = (milliseconds(call.query.get(key, "")) for key in ("ttl_ms", "act_ms"))
            if ttl is None or act is None:
                return json_response(400, {"error": "ttl_ms and act_ms: whole milliseconds"})
            if fault := fault_of(self.rules, ttl, act):
                return json_response(400, {"error": fault})
            if self.leases.closed or not room:
                closed = "this dispatcher is drained or stops"
                why = closed if self.leases.closed else "leases.most_sessions are open"
                return json_response(503, {"error": why})
            claim = self.driver.acquire(lease, ttl, act)
            with self.driver.turned:
                session = self.sessions.add(now, session_name, claim)
        elif session.claim.lease != lease:
            return json_response(400, {"error": f"session is of lease {session.claim.lease}"})
        return self.answer(session)

    def answer(self, session: Session) -> AdminResponse:
        with self.driver.turned:
            now, claim = clock(), session.claim
            told = {
                "state": claim.state(now).value,
                "token": claim.token,
                "left_ms": int(claim.left(now) * 1000),
                "ending": session.ending,
                "holder": claim.holder,
                "drift": self.rules.drift,
            }
            error = no_quorum(self.rules, claim, now) if not claim.over else ""
        return (
            json_response(503, {**told, "error": error})
            if error and not told["token"]
            else json_response(200, told)
        )

    def on_release(self, call: AdminRequest) -> AdminResponse:
        """By its own session: at once. By an operator: whoever holds it through here is told to end."""
        lease, name = call.parts[0], call.query.get("session")
        if not NAME.fullmatch(lease):
            return bad_name(lease)
        if name is None:
            ended = self.end_sessions(lease)
            return (
                json_response(200, {"ending": ended})
                if ended
                else json_response(404, {"error": "not held through here"})
            )
        with self.driver.turned:
            session = self.sessions.open.pop(name, None)
        if session is None:
            return json_response(404, {"error": "no such session"})
        self.driver.release(session.claim)
        return json_response(200, {"released": lease})


def milliseconds(text: str) -> float | None:
    """Seconds, of whole milliseconds; None if it is not a number of them."""
    return int(text) / 1000 if text.isascii() and text.isdigit() and len(text) <= 8 else None


def bad_name(lease: str) -> AdminResponse:
    return json_response(
        400, {"error": f"{lease[:80]!r} is no lease's name: [a-z0-9._-], 1 to 64 of them"}
    )


def rules_of(section: Section) -> Rules:
    return Rules(
        voters=section.voters,
        old_voters=section.old_voters,
        drift=section.drift,
        longest=section.longest_s,
        timeout=section.timeout_ms / 1000,
        turn=section.turn_ms / 1000,
        most=section.most,
    )


def create_subsystem(host: SubsystemContext) -> LeasesSubsystem:
    return LeasesSubsystem(host)
