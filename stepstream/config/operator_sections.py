"""The sections of the operator's TOML file, one typed structure each.

Most attributes are spelled as the file's keys, so that a fault and `require_unchanged` name what
the operator wrote. Each docstring gives the default, unit and consequence of every key. Rules for a
single value (type, bounds, form) are declared here; `operator_checks` compares values with the
settings and with other sections. Sections are immutable.
"""

from typing import Annotated, Literal

import msgspec

PROBE_SWEEP_LEASE_SECONDS = 3.0  # time to live of the lease of `probe_sweep`

HOST_PORT_PATTERN = r"^[^:\s]+:\d{1,5}$"
IPV4_PORT_PATTERN = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"
IDENTIFIER_PATTERN = r"^[A-Za-z0-9._-]+$"
# The words that replace each pattern in the text of a fault.
PATTERN_FORMS = {
    HOST_PORT_PATTERN: "HOST:PORT",
    IPV4_PORT_PATTERN: "IPv4:PORT, never a name",
    IDENTIFIER_PATTERN: "letters, digits, '.', '_' and '-' only",
}

Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Milliseconds = Annotated[int, msgspec.Meta(ge=10, le=600_000)]
HostPort = Annotated[str, msgspec.Meta(pattern=HOST_PORT_PATTERN)]
Ipv4Port = Annotated[str, msgspec.Meta(pattern=IPV4_PORT_PATTERN)]
Identifier = Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern=IDENTIFIER_PATTERN)]
NonEmptyText = Annotated[str, msgspec.Meta(min_length=1)]
LogFormat = Literal["json", "console"]
CredentialKind = Literal["token", "certificate"]


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all sections: an unknown key is a fault and is not ignored."""


class WorkerDefaults(Section, frozen=True, kw_only=True):
    """`[gearman.worker]`: the defaults for what a Gearman worker's client id leaves out.

    zone (""): name of its zone; "" stands for the first zone of the settings. With a wrong zone
        its jobs pay for crossing zones.
    kind (""): name of its kind; "" stands for the first kind of the settings. The kind decides
        which classes it may run.
    cell (0): number of its cell. The workers of one cell drop a repeat of a job that has an
        idempotency key, if one of them has had the job before.
    slots (1, 1 to 1024 jobs): jobs that it may have at once. With too many, jobs wait inside the
        worker, where the dispatcher does not see them.
    weight (1.0, above 0): its weight against the others' in the rotation.
    """

    zone: str = ""
    kind: str = ""
    cell: int = 0
    slots: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 1
    weight: Annotated[float, msgspec.Meta(gt=0)] = 1.0


class GearmanSection(Section, frozen=True, kw_only=True):
    """`[gearman]`: Gearman's front and carrier; docs/gearman.md.

    listen (required, HOST:PORT): where Gearman's clients and workers connect; needs a restart.
    tenant (""): the tenant of functions that name none; "" rejects such functions if the settings
        have tenants.
    allow_shutdown (false): whether the text command `shutdown` may end the program.
    queue (8, 0 to 10,000 jobs): jobs beyond its slots that may wait for one worker's GRAB_JOB;
        for a further job the worker is full.
    queue_wait_ms (1,000 ms): longest wait of a job for GRAB_JOB. Afterwards it is returned without
        having run, and may be sent to another worker.
    outcome_retention_seconds (`keep_s`, 300 s): how long the outcome of an ended background job is
        retained.
    max_retained_outcomes (`keep_most`, 10,000 jobs): how many outcomes are retained; the oldest are
        dropped first.
    jobs_a_connection (1,000 jobs): open jobs of one client connection; further ones are rejected.
    worker: the defaults of workers, `[gearman.worker]`.
    """

    listen: HostPort
    tenant: str = ""
    allow_shutdown: bool = False
    queue: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 8
    queue_wait_ms: Count = 1_000
    outcome_retention_seconds: Count = msgspec.field(name="keep_s", default=300)
    max_retained_outcomes: Count = msgspec.field(name="keep_most", default=10_000)
    jobs_a_connection: Count = 1_000
    worker: WorkerDefaults = WorkerDefaults()


class CallerSection(Section, frozen=True, kw_only=True):
    """`[[identity.caller]]`: a caller and its rights; docs/identity.md.

    name (required, up to 64 characters): its name in the audit log; unique.
    subjects (required): subjects of tokens and names of certificates that stand for it.
    tenants (required): tenants for which it may send requests; "*" stands for all.
    classes (required): job classes that it may request; "*" stands for all.
    state ("active"): "suspended" denies it everything.
    rate_per_s (0.0 requests a second): its rate limit; 0 for none.
    burst (1 request): requests that it may make at once within the rate limit.
    most_open (0 requests): bound of its open requests; 0 for no bound.
    """

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    subjects: Annotated[tuple[str, ...], msgspec.Meta(min_length=1)]
    tenants: tuple[str, ...]
    classes: tuple[str, ...]
    state: Literal["active", "suspended"] = "active"
    rate_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    burst: Count = 1
    most_open: Annotated[int, msgspec.Meta(ge=0)] = 0


class TlsSection(Section, frozen=True, kw_only=True):
    """`[identity.tls]`: TLS listeners beside the plain ones; docs/identity.md.

    listen (required, HOST:PORT): the TLS listener of HTTP; needs a restart.
    gearman_listen (none, HOST:PORT): the TLS listener of Gearman; needs `[gearman]` and a restart.
    certificate (required, path): PEM file of the server's certificate with its chain.
    key (required, path): PEM file of its private key.
    clients_ca (required, path): PEM bundle that clients' certificates are verified against.
    clients ("required"): whether clients need a certificate; with "wanted", a client without one
        may send a token.
    least ("1.3"): lowest version of TLS, "1.2" or "1.3".
    crl ("", path): PEM file of revocation lists, signed by a CA of the bundle; "" for none.
    names (["uri", "dns"]): kinds of names of a certificate; the first kind that it has counts.
    """

    listen: HostPort
    gearman_listen: HostPort | None = None
    certificate: str
    key: str
    clients_ca: str
    clients: Literal["required", "wanted"] = "required"
    least: Literal["1.2", "1.3"] = "1.3"
    crl: str = ""
    names: tuple[Literal["uri", "dns", "cn"], ...] = ("uri", "dns")


class IdentitySection(Section, frozen=True, kw_only=True):
    """`[identity]`: authentication and authorization of callers; docs/identity.md.

    keys (required, path): JWK set that tokens are verified against.
    issuer (required): the tokens' `iss`.
    audience (required): a value that must be among the tokens' `aud`.
    leeway_s (5, 0 to 60 s): tolerated difference between clocks.
    token_bytes (4,096, 256 to 12,288 bytes): a longer token is rejected without being read.
    longest_s (86,400 s): longest lifetime of a token, from `iat` to `exp`.
    cache (10,000 tokens): verified tokens that are cached; with fewer, more signatures are checked.
    workers (["worker/"]): a worker's subject is one of these prefixes and the worker's id.
    notification_access (`news`, "identified"): "open" accepts workers' notifications and
        registrations without a credential.
    admins ([]): subjects that may use Gearman's text commands.
    audit ("json"): format of audit lines, "json" or "console".
    audit_allowed (false): whether the audit log has allowed requests too.
    denials_per_s (20 lines a second): audit lines of denials; further denials are only counted.
    methods ({}): by class, the kinds of credential that it accepts; the other classes accept any.
    caller ([], up to 10,000): the callers.
    tls (none): TLS listeners.
    """

    keys: str
    issuer: NonEmptyText
    audience: NonEmptyText
    leeway_s: Annotated[int, msgspec.Meta(ge=0, le=60)] = 5
    token_bytes: Annotated[int, msgspec.Meta(ge=256, le=12_288)] = 4096
    longest_s: Count = 86_400
    cache: Count = 10_000
    workers: tuple[str, ...] = ("worker/",)
    notification_access: Literal["identified", "open"] = msgspec.field(
        name="news", default="identified"
    )
    admins: tuple[str, ...] = ()
    audit: LogFormat = "json"
    audit_allowed: bool = False
    denials_per_s: Count = 20
    methods: dict[str, Annotated[tuple[CredentialKind, ...], msgspec.Meta(min_length=1)]] = {}
    caller: Annotated[tuple[CallerSection, ...], msgspec.Meta(max_length=10_000)] = ()
    tls: TlsSection | None = None


class MembershipSection(Section, frozen=True, kw_only=True):
    """`[fleet]`: the dispatchers' membership protocol (SWIM with Lifeguard); docs/membership.md.

    listen (required, IPv4:PORT): UDP address of this member.
    advertise (`listen`, IPv4:PORT): address to which the other members send.
    seeds ([], up to 64 IPv4:PORT): members to join through; without any, this member stays alone
        until another member has it as a seed.
    cluster (required): name of the cluster; datagrams of another one are dropped and counted.
    share_maintenance (false): whether maintenance of a worker that is set at one dispatcher holds
        at all dispatchers.
    follow_size (true): whether the policy's count of dispatchers follows the membership list;
        otherwise the settings' `fleet_size` counts, even after crashes and joins.
    hold_s (30, 1 to 86,400 s): how long a dead member still counts as a dispatcher. Shorter: an
        outage of a few seconds changes every dispatcher's share twice.
    period_ms (400, 10 to 600,000 ms): protocol period, between two probes. Longer: crashes are
        noticed later; shorter: more datagrams.
    timeout_ms (200 ms): time for the answer to a direct probe; then indirect probes are sent. If it
        is below the round-trip time, every probe becomes an indirect one.
    helpers (3, 0 to 16 members): members that are asked for an indirect probe. 0: one lossy link is
        enough for a suspicion.
    suspicion (3, 1 to 100 periods): shortest duration of a suspicion, multiplied by the logarithm
        of the cluster's size. Shorter: slow members are declared dead.
    slack (6, 1 to 100 times): how many times the shortest duration a suspicion lasts if no member
        confirms it.
    confirmations (3, 0 to 16 members): independent confirmations after which a suspicion has its
        shortest duration.
    gossip (4, 1 to 32 times): retransmissions of a message, multiplied by the logarithm of the
        cluster's size. Fewer: more changes reach a member only by anti-entropy.
    sync_ms (5,000 ms): time between two anti-entropy exchanges with a random member.
    reach_ms (1,000 ms): time between two attempts to reach a seed or a dead member. Longer: a
        healed partition is noticed later.
    young_s (10, 1 to 600 s): time after this member's start in which the policy's count of
        dispatchers is at least the settings' `fleet_size`. Shorter: a member that does not know the
        others yet takes more than its share.
    health (8, 0 to 32): highest local health score (Lifeguard); each point lengthens this member's
        probes by a period. 0 switches it off.
    forget_s (86,400, 60 to 2,592,000 s): shortest time for which a member's death or leave is
        remembered.
    most (1,024, 2 to 4,096): bound of the names of members, and of the workers with a maintenance
        record.
    log ("console"): format of its log lines, "json" or "console".
    """

    listen: Ipv4Port
    advertise: Ipv4Port | None = None
    seeds: Annotated[tuple[Ipv4Port, ...], msgspec.Meta(max_length=64)] = ()
    cluster: Identifier
    share_maintenance: bool = False
    follow_size: bool = True
    hold_s: Annotated[float, msgspec.Meta(ge=1, le=86_400)] = 30.0
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
    log: LogFormat = "console"


class LeasesSection(Section, frozen=True, kw_only=True):
    """`[leases]`: cluster-wide tasks with one holder at a time (PaxosLease); docs/leases.md.

    voters (required, 1 to 15 names): the acceptors; a majority of them grants leases. Three voters
        tolerate one failure, five tolerate two.
    old_voters ([], up to 15 names): the previous set while the voters are changed; majorities of
        both sets are needed.
    drift (0.01, above 0 to 0.2): fraction by which a clock may run fast or slow. If it is too
        small, two may hold a lease at once; if too large, a lost holder blocks its lease longer.
    longest_s (60, 1 to 3,600 s): longest time to live of a lease. A voter is silent for this time
        after its start.
    timeout_ms (300 ms): time for one round to the voters and back. If it is below the true
        round-trip time, no lease is granted.
    turn_ms (300 ms): how long the candidate that waited longest has precedence once a lease is
        free.
    most (4,096, 1 to 65,536): leases that a voter remembers.
    most_sessions (1,024, 1 to 65,536): programs and tasks that want leases through this dispatcher;
        further ones get 503.
    probe_sweep (false): whether one dispatcher at a time checks workers' health for the others.
    log ("console"): format of its log lines, "json" or "console".
    """

    voters: Annotated[tuple[Identifier, ...], msgspec.Meta(min_length=1, max_length=15)]
    old_voters: Annotated[tuple[Identifier, ...], msgspec.Meta(max_length=15)] = ()
    drift: Annotated[float, msgspec.Meta(gt=0, le=0.2)] = 0.01
    longest_s: Annotated[float, msgspec.Meta(ge=1, le=3600)] = 60.0
    timeout_ms: Milliseconds = 300
    turn_ms: Milliseconds = 300
    most: Annotated[int, msgspec.Meta(ge=1, le=65_536)] = 4_096
    most_sessions: Annotated[int, msgspec.Meta(ge=1, le=65_536)] = 1_024
    probe_sweep: bool = False
    log: LogFormat = "console"


class OperatorConfig(Section, frozen=True, kw_only=True):
    """The whole file; a section that is missing leaves its subsystem switched off."""

    gearman: GearmanSection | None = None
    identity: IdentitySection | None = None
    fleet: MembershipSection | None = None
    leases: LeasesSection | None = None
