"""The operator's own TOML file: one typed section a subsystem, each faulty key named by its path.

A subsystem whose section is missing is off: nothing of it is imported. The platform's dispatcher has no such
file and never imports this module, nor `msgspec`.
"""

import tomllib
from typing import Annotated, Literal

import msgspec

from stepstream.config.errors import ConfigurationError
from stepstream.model.settings import Settings

Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Address = Annotated[str, msgspec.Meta(pattern=r"^[^:\s]+:\d{1,5}$")]  # HOST:PORT


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What all sections share: a key that is not known is a fault, never ignored."""


class WorkerDefaults(Section, kw_only=True):
    """`[gearman.worker]`: what a worker that says nothing of itself is taken for."""

    zone: str = ""  # "": the first of the settings' zones
    kind: str = ""  # "": the first of the settings' kinds
    cell: int = 0
    slots: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 1  # jobs that it may hold assigned
    weight: Annotated[float, msgspec.Meta(gt=0)] = 1.0


class GearmanSection(Section, kw_only=True):
    """`[gearman]`: the second front and carrier, docs/gearman.md."""

    listen: Address
    tenant: str = (
        ""  # of functions that name none; "": such functions are refused where there are tenants
    )
    allow_shutdown: bool = False  # the text command `shutdown`
    queue: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = (
        8  # jobs that may wait for a worker's GRAB_JOB
    )
    queue_wait_ms: Count = 1_000  # one that waits longer is returned, never run
    keep_s: Count = 300  # for how long an ended background job can be asked for
    keep_most: Count = 10_000  # jobs kept for that, the oldest go first
    jobs_a_connection: Count = 1_000  # open jobs that one client may hang on
    worker: WorkerDefaults = WorkerDefaults()


class CallerSection(Section, kw_only=True):
    """`[[identity.caller]]`: who may do what. "*" stands for all tenants or classes."""

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    subjects: Annotated[
        tuple[str, ...], msgspec.Meta(min_length=1)
    ]  # of tokens, and names of certificates
    tenants: tuple[str, ...]
    classes: tuple[str, ...]
    state: Literal["active", "suspended"] = "active"
    rate_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0  # 0: none
    burst: Count = 1
    most_open: Annotated[int, msgspec.Meta(ge=0)] = 0  # open requests; 0: no bound of its own


class TlsSection(Section, kw_only=True):
    """`[identity.tls]`: listeners beside the plain ones."""

    listen: Address
    gearman_listen: Address | None = None
    certificate: str  # PEM, the server's with its chain
    key: str
    clients_ca: str  # PEM bundle that clients' certificates are verified against
    clients: Literal["required", "wanted"] = "required"
    least: Literal["1.2", "1.3"] = "1.3"
    crl: str = ""  # PEM, signed by a CA of the bundle
    names: tuple[Literal["uri", "dns", "cn"], ...] = ("uri", "dns")


class IdentitySection(Section, kw_only=True):
    """`[identity]`: who is calling, docs/identity.md."""

    keys: str  # path of the JWK set
    issuer: Annotated[str, msgspec.Meta(min_length=1)]
    audience: Annotated[str, msgspec.Meta(min_length=1)]
    leeway_s: Annotated[int, msgspec.Meta(ge=0, le=60)] = 5  # by which clocks may differ
    token_bytes: Annotated[int, msgspec.Meta(ge=256, le=12_288)] = (
        4096  # a longer one is not looked at
    )
    longest_s: Count = 86_400  # between a token's issue and its end
    cache: Count = 10_000  # verified tokens
    workers: tuple[str, ...] = ("worker/",)  # a worker's subject is one of these and its id
    news: Literal["identified", "open"] = "identified"  # whether workers must say who they are
    admins: tuple[str, ...] = ()  # subjects that may use Gearman's text commands
    audit: Literal["json", "console"] = "json"
    audit_allowed: bool = False  # whether allowed requests are written too
    denials_per_s: Count = 20  # audit lines of denials; more are counted
    methods: dict[
        str, Annotated[tuple[Literal["token", "certificate"], ...], msgspec.Meta(min_length=1)]
    ] = {}
    caller: Annotated[tuple[CallerSection, ...], msgspec.Meta(max_length=10_000)] = ()
    tls: TlsSection | None = None


Place = Annotated[
    str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
]  # IPv4:PORT, never a name
Milliseconds = Annotated[int, msgspec.Meta(ge=10, le=600_000)]


class MembershipSection(Section, kw_only=True):
    """`[fleet]`: the dispatchers' own view of each other, docs/fleet.md."""

    listen: Place  # UDP
    advertise: Place | None = None  # where others reach it, if that is not `listen`
    seeds: Annotated[tuple[Place, ...], msgspec.Meta(max_length=64)] = ()
    cluster: Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._-]+$")]
    share_maintenance: bool = False  # operators' calls on workers hold at all members
    follow_size: bool = True  # the module's fleet_size follows the view
    hold_s: Annotated[float, msgspec.Meta(ge=1, le=86_400)] = 30.0  # a dead member counts so long
    period_ms: Milliseconds = 400
    timeout_ms: Milliseconds = 200
    helpers: Annotated[int, msgspec.Meta(ge=0, le=16)] = 3
    suspicion: Annotated[float, msgspec.Meta(ge=1, le=100)] = 3.0
    slack: Annotated[float, msgspec.Meta(ge=1, le=100)] = 6.0
    confirmations: Annotated[int, msgspec.Meta(ge=0, le=16)] = 3
    gossip: Annotated[float, msgspec.Meta(ge=1, le=32)] = 4.0
    sync_ms: Milliseconds = 5_000
    reach_ms: Milliseconds = 1_000
    young_s: Annotated[float, msgspec.Meta(ge=1, le=600)] = 10.0
    health: Annotated[int, msgspec.Meta(ge=0, le=32)] = 8
    forget_s: Annotated[float, msgspec.Meta(ge=60, le=2_592_000)] = 86_400.0
    most: Annotated[int, msgspec.Meta(ge=2, le=4_096)] = 1_024
    log: Literal["json", "console"] = "console"


PROBE_SWEEP_LEASE_SECONDS = 3.0  # time to live of the probe sweep's lease
MemberName = Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._-]+$")]


class LeasesSection(Section, kw_only=True):
    """`[leases]`: fleet-wide tasks with one holder at a time, docs/leases.md."""

    voters: Annotated[tuple[MemberName, ...], msgspec.Meta(min_length=1, max_length=15)]
    old_voters: Annotated[
        tuple[MemberName, ...], msgspec.Meta(max_length=15)
    ] = ()  # while they are changed
    drift: Annotated[float, msgspec.Meta(gt=0, le=0.2)] = 0.01
    longest_s: Annotated[float, msgspec.Meta(ge=1, le=3600)] = 60.0
    timeout_ms: Milliseconds = 300
    turn_ms: Milliseconds = 300
    most: Annotated[int, msgspec.Meta(ge=1, le=65_536)] = 4_096  # leases that a voter keeps
    most_sessions: Annotated[int, msgspec.Meta(ge=1, le=65_536)] = (
        1_024  # `lease run` and tasks here
    )
    probe_sweep: bool = False  # one dispatcher's probes of workers serve all
    log: Literal["json", "console"] = "console"


class OperatorConfig(Section, kw_only=True):
    gearman: GearmanSection | None = None
    identity: IdentitySection | None = None
    fleet: MembershipSection | None = None
    leases: LeasesSection | None = None


def read_operator(path: str, settings: Settings) -> OperatorConfig:
    """The file's sections, checked against the deployment's settings; FieldError names the faulty key."""
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigurationError(f"operator file {path} cannot be read: {error}") from None
    try:
        operator = msgspec.convert(data, OperatorConfig)
    except msgspec.ValidationError as error:
        raise ConfigurationError(f"operator file {path}: {reworded(str(error))}") from None
    try:
        check(operator, settings)
    except ConfigurationError as error:
        raise ConfigurationError(f"operator file {path}: {error}") from None
    return operator


def reworded(text: str) -> str:
    """msgspec's 'Expected `int`, got `str` - at `$.gearman.queue`', with the key first."""
    fault, _, place = text.partition(" - at `$")
    key = place.rstrip("`").lstrip(".")
    return f"{key}: {fault}" if key else fault


def check(operator: OperatorConfig, settings: Settings) -> None:
    if (gearman := operator.gearman) is not None:
        one_of("gearman.tenant", gearman.tenant, settings.tenants)
        one_of("gearman.worker.zone", gearman.worker.zone, settings.zones)
        one_of("gearman.worker.kind", gearman.worker.kind, settings.worker_kinds)
        check_address("gearman.listen", gearman.listen)
    if (fleet := operator.fleet) is not None:
        check_address("fleet.listen", fleet.listen)
        check_address("fleet.advertise", fleet.advertise or ":1")
        for place, seed in enumerate(fleet.seeds):
            check_address(f"fleet.seeds[{place}]", seed)
    if (leases := operator.leases) is not None:
        check_leases(leases, operator)
    if (identity := operator.identity) is not None:
        check_identity(identity, settings)
        if identity.tls is not None and identity.tls.gearman_listen and gearman is None:
            raise ConfigurationError("identity.tls.gearman_listen needs [gearman]")


def check_leases(leases: LeasesSection, operator: OperatorConfig) -> None:
    if operator.fleet is None:
        raise ConfigurationError("leases needs [fleet]: its members carry the messages")
    for key, names in (("voters", leases.voters), ("old_voters", leases.old_voters)):
        for place, name in enumerate(names):
            if name in names[:place]:
                raise ConfigurationError(f"leases.{key}[{place}]={name} is there twice")
    if leases.probe_sweep and leases.longest_s < PROBE_SWEEP_LEASE_SECONDS:
        raise ConfigurationError(
            f"leases.longest_s={leases.longest_s:g} is under the {PROBE_SWEEP_LEASE_SECONDS:g} s of probe_sweep's lease"
        )
    if leases.longest_s * 1000 < 4 * leases.timeout_ms:
        raise ConfigurationError(
            f"leases.longest_s={leases.longest_s:g} is under four times leases.timeout_ms"
        )


def check_address(key: str, text: str) -> None:
    if not 0 <= int(text.rpartition(":")[2]) < 65536:
        raise ConfigurationError(f"{key}={text} is not HOST:PORT")


def check_identity(identity: IdentitySection, settings: Settings) -> None:
    for kind, _ in identity.methods.items():
        one_of(f"identity.methods.{kind}", kind, settings.class_names)
    names: dict[str, str] = {}
    for place, row in enumerate(identity.caller):
        at = f"identity.caller[{place}]"
        for key, values, known in (
            ("tenants", row.tenants, settings.tenants),
            ("classes", row.classes, settings.class_names),
        ):
            for value in values:
                one_of(f"{at}.{key}", value if value != "*" else "", known)
        for kind, values in (("name", (row.name,)), ("subjects", row.subjects)):
            for value in values:
                if f"{kind} {value}" in names:
                    raise ConfigurationError(
                        f"{at}.{kind}={value} is {names[f'{kind} {value}']}'s too"
                    )
                names[f"{kind} {value}"] = at
        if any(subject.startswith(identity.workers) for subject in row.subjects):
            raise ConfigurationError(
                f"{at}.subjects: names that begin with one of identity.workers are workers'"
            )
    if identity.tls is not None:
        check_address("identity.tls.listen", identity.tls.listen)
        check_address("identity.tls.gearman_listen", identity.tls.gearman_listen or ":1")


def one_of(key: str, value: str, known: tuple[str, ...]) -> None:
    if value and value not in known:
        raise ConfigurationError(
            f"{key}={value} is not in the settings ({', '.join(known) or 'which name none'})"
        )


def split_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def require_unchanged(key: str, old: OperatorConfig, new: OperatorConfig) -> None:
    """FieldError if a reload would change a value, or switch a section on or off, that needs a restart."""
    before, after = part_of(old, key), part_of(new, key)
    if isinstance(before, Section) or isinstance(after, Section):
        if (before is None) != (after is None):
            raise ConfigurationError(f"{key} is switched on or off only with a restart")
    elif before != after:
        raise ConfigurationError(f"{key}={after} changes only with a restart")


def part_of(operator: OperatorConfig, key: str) -> object:
    """A section or a value by its path; None where a section on the way is missing."""
    part: object = operator
    for name in key.split("."):
        part = getattr(part, name, None)
    return part
