"""Authorization of an authenticated principal: one decision with its reason; free of I/O.

A client should not repeat a denied request: its credential identifies nobody (401), or the caller
may not send it (403). A request over a limit may be repeated after the returned time (503).

`Permissions` owns the callers' rate limiters. `decide` reads immutable tables, and any thread may
call it. `admit`, `release` and `adopt_usage` change the rate limiters: they are called under the
access control's lock.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from stepstream.identity.rate_limiter import Limit, LimitExceeded, RateLimiter, TokenBucket

WILDCARD = "*"  # in a caller's tenants or classes: all of them
SETTING_BY_LIMIT = {Limit.OPEN_REQUESTS: "most_open", Limit.RATE: "rate_per_s"}


class AuthenticationMethod(Enum):
    """How a principal was authenticated. The values are those of `identity.methods`."""

    TOKEN = "token"
    CERTIFICATE = "certificate"


class Verdict(Enum):
    """The outcome of a decision. The values are those of the audit log."""

    ALLOWED = "allowed"
    UNAUTHENTICATED = "unknown"  # HTTP status 401
    DENIED = "denied"  # HTTP status 403
    RATE_LIMITED = "later"  # HTTP status 503 with Retry-After


@dataclass(frozen=True, slots=True)
class Principal:
    """The subject that a credential identifies, and how."""

    subject: str  # the token's subject, or the certificate's name
    method: AuthenticationMethod
    key_id: str = ""  # kid, or the certificate's serial number
    expires_at: float = 0.0  # Unix seconds


@dataclass(frozen=True, slots=True)
class Caller:
    """A caller of the operator's file with its permissions; a limit of 0 means no limit.

    `tenants` and `classes`: empty for none, "*" for all.
    """

    name: str
    subjects: frozenset[str]
    tenants: frozenset[str]
    classes: frozenset[str]
    suspended: bool = False
    rate_per_second: float = 0.0
    burst: int = 1
    max_open_requests: int = 0

    @property
    def has_limits(self) -> bool:
        """Whether its requests are counted."""
        return bool(self.rate_per_second or self.max_open_requests)


@dataclass(frozen=True, slots=True)
class Decision:
    """An authorization decision.

    `reason` is one word for the peer and the audit line. `rule` names the setting of the operator's
    file, or the check, that led to the decision.
    """

    verdict: Verdict
    reason: str
    rule: str
    caller: str = ""
    tenant: str = ""
    retry_after_seconds: float = 0.0  # for RATE_LIMITED


@dataclass
class Permissions:
    """The callers' permissions and what they have used of their limits.

    `required_methods`: the authentication methods that a class accepts; other classes accept any.
    """

    callers: tuple[Caller, ...]
    required_methods: Mapping[str, frozenset[AuthenticationMethod]]
    rate_limiters: dict[str, RateLimiter] = field(default_factory=dict)  # by the caller's name

    def __post_init__(self) -> None:
        self.callers_by_subject = {
            subject: caller for caller in self.callers for subject in caller.subjects
        }

    def adopt_usage(self, previous: "Permissions") -> None:
        """Take over the rate limiters of the callers that remain, by name, at a reload.

        Otherwise every reload would give each caller a new burst.
        """
        names = {caller.name for caller in self.callers}
        self.rate_limiters = {
            name: limiter for name, limiter in previous.rate_limiters.items() if name in names
        }

    def is_same_caller(self, principal: Principal, other: Principal) -> bool:
        """Return whether two principals are one subject, or subjects of one caller."""
        if principal.subject == other.subject:
            return True
        caller = self.callers_by_subject.get(principal.subject)
        return caller is not None and caller is self.callers_by_subject.get(other.subject)

    def decide(self, principal: Principal | None, class_name: str, tenant: str | None) -> Decision:
        """Decide whether a principal may send a job of this class for this tenant.

        If `tenant` is None, the caller's only tenant is used. The request is not counted.
        """
        if principal is None:
            return Decision(Verdict.UNAUTHENTICATED, "no_credential", "identity")
        caller = self.callers_by_subject.get(principal.subject)
        if caller is None:
            return Decision(Verdict.DENIED, "unknown_caller", "identity.caller")
        denial = self._class_denial(caller, principal, class_name)
        if denial is not None:
            return denial
        if tenant is None:
            tenant = sole_tenant(caller)
            if tenant is None:
                return denied(caller, "tenant_missing", "tenants")
        elif not caller.tenants & {tenant, WILDCARD}:
            return denied(caller, "tenant_contradicts", "tenants")
        return Decision(Verdict.ALLOWED, "allowed", rule_of(caller), caller.name, tenant)

    def _class_denial(
        self, caller: Caller, principal: Principal, class_name: str
    ) -> Decision | None:
        """Return why the caller may not send jobs of this class for any tenant; None if it may."""
        if caller.suspended:
            return denied(caller, "suspended", "state")
        if not caller.classes & {class_name, WILDCARD}:
            return denied(caller, "class_not_allowed", "classes")
        required = self.required_methods.get(class_name)
        if required is not None and principal.method not in required:
            rule = f"identity.methods.{class_name}"
            return Decision(Verdict.DENIED, "method_not_allowed", rule, caller.name)
        return None

    def is_counted(self, subject: str, decision: Decision) -> bool:
        """Return whether `admit` counts a request on which `decide` has decided.

        Only allowed requests of callers with limits are counted: all others need no lock.
        """
        if decision.verdict is not Verdict.ALLOWED:
            return False
        return self.callers_by_subject[subject].has_limits

    def admit(
        self, principal: Principal | None, class_name: str, tenant: str | None, now: float
    ) -> Decision:
        """Decide, and count an allowed request of a caller with limits until `release`.

        `now` is in Unix seconds.
        """
        decision = self.decide(principal, class_name, tenant)
        if principal is None or not self.is_counted(principal.subject, decision):
            return decision
        caller = self.callers_by_subject[principal.subject]
        limiter = self.rate_limiters.get(caller.name)
        if limiter is None:
            limiter = RateLimiter(TokenBucket(float(caller.burst), now))
            self.rate_limiters[caller.name] = limiter
        exceeded = limiter.try_open(
            now, caller.rate_per_second, caller.burst, caller.max_open_requests
        )
        return decision if exceeded is None else rate_limited(caller, exceeded)

    def release(self, caller_name: str) -> None:
        """Stop counting a request that `admit` has counted."""
        limiter = self.rate_limiters.get(caller_name)
        if limiter is not None:
            limiter.close_request()


def sole_tenant(caller: Caller) -> str | None:
    """Return the tenant of a caller that belongs to exactly one; None for any other caller."""
    if len(caller.tenants) != 1 or WILDCARD in caller.tenants:
        return None
    (tenant,) = caller.tenants
    return tenant


def rule_of(caller: Caller) -> str:
    """Return the name of the caller's table in the operator's file."""
    return f"identity.caller {caller.name}"


def denied(caller: Caller, reason: str, setting: str) -> Decision:
    """Return a denial that a setting of the caller's table causes."""
    return Decision(Verdict.DENIED, reason, f"{rule_of(caller)}: {setting}", caller.name)


def rate_limited(caller: Caller, exceeded: LimitExceeded) -> Decision:
    """Return a rejection that a limit of the caller's table causes."""
    return Decision(
        Verdict.RATE_LIMITED,
        exceeded.limit.value,
        f"{rule_of(caller)}: {SETTING_BY_LIMIT[exceeded.limit]}",
        caller.name,
        retry_after_seconds=exceeded.retry_after_seconds,
    )
