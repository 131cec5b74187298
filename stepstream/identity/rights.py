"""What an identified caller may do: one decision that says why; free of I/O.

Denied means that the caller may not (401: nobody is identified, 403: somebody is, and may not). Over a rate
or a number of open requests is no denial: it is a refusal under the rules and says when to come back.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Method(Enum):
    """How a caller was identified."""

    TOKEN = "token"
    CERTIFICATE = "certificate"


class Verdict(Enum):
    ALLOWED = "allowed"
    UNKNOWN = "unknown"  # 401
    DENIED = "denied"  # 403
    LATER = "later"  # 503 with Retry-After


@dataclass(frozen=True, slots=True)
class Identity:
    subject: str
    method: Method
    key: str = ""  # kid, or the certificate's serial number
    until: float = 0.0  # Unix seconds


@dataclass(frozen=True, slots=True)
class Caller:
    """`rate_per_s` and `most_open`: 0 for none. `tenants` and `classes`: empty for none, "*" for all."""

    name: str
    subjects: frozenset[str]
    tenants: frozenset[str]
    classes: frozenset[str]
    suspended: bool = False
    rate_per_s: float = 0.0
    burst: int = 1
    most_open: int = 0

    @property
    def metered(self) -> bool:
        return bool(self.rate_per_s or self.most_open)


@dataclass(frozen=True, slots=True)
class Decision:
    """`rule` names the line of the operator's file, or the check, that decided."""

    verdict: Verdict
    reason: str
    rule: str
    caller: str = ""
    tenant: str = ""
    retry_s: float = 0.0


@dataclass(slots=True)
class Meter:
    """A caller's token bucket and its open requests."""

    level: float
    at: float
    open: int = 0


@dataclass
class Rights:
    callers: tuple[Caller, ...]
    methods: Mapping[
        str, frozenset[Method]
    ]  # by class, which are demanded; a class without an entry takes any
    meters: dict[str, Meter] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.by_subject = {
            subject: caller for caller in self.callers for subject in caller.subjects
        }

    def carry(self, old: "Rights") -> None:
        """A reload: callers keep what they have used, by name."""
        names = {caller.name for caller in self.callers}
        self.meters = {name: meter for name, meter in old.meters.items() if name in names}

    def same_caller(self, one: Identity, other: Identity) -> bool:
        found = self.by_subject.get(one.subject)
        return one.subject == other.subject or (
            found is not None and found is self.by_subject.get(other.subject)
        )

    def judge(self, identity: Identity | None, kind: str, tenant: str | None) -> Decision:
        """Whether this caller may send a job of this class for this tenant; None: whoever he stands for.

        Nothing is counted by it.
        """
        if identity is None:
            return Decision(Verdict.UNKNOWN, "no_credential", "identity")
        caller = self.by_subject.get(identity.subject)
        if caller is None:
            return Decision(Verdict.DENIED, "unknown_caller", "identity.caller")
        rule = f"identity.caller {caller.name}"

        def denied(reason: str, member: str) -> Decision:
            return Decision(Verdict.DENIED, reason, f"{rule}: {member}", caller.name)

        if caller.suspended:
            return denied("suspended", "state")
        if not caller.classes & {kind, "*"}:
            return denied("class_not_allowed", "classes")
        demanded = self.methods.get(kind)
        if demanded is not None and identity.method not in demanded:
            return Decision(
                Verdict.DENIED, "method_not_allowed", f"identity.methods.{kind}", caller.name
            )
        if tenant is None:
            if len(caller.tenants) != 1 or "*" in caller.tenants:
                return denied("tenant_missing", "tenants")
            (tenant,) = caller.tenants
        elif not caller.tenants & {tenant, "*"}:
            return denied("tenant_contradicts", "tenants")
        return Decision(Verdict.ALLOWED, "allowed", rule, caller.name, tenant)

    def admit(
        self, identity: Identity | None, kind: str, tenant: str | None, now: float
    ) -> Decision:
        """As `judge`, and counted: an allowed request is open until `ended`."""
        decision = self.judge(identity, kind, tenant)
        if decision.verdict is not Verdict.ALLOWED:
            return decision
        caller = self.by_subject[identity.subject]
        if not caller.metered:
            return decision
        meter = self.meters.setdefault(caller.name, Meter(float(caller.burst), now))
        rule = f"identity.caller {caller.name}"
        if caller.most_open and meter.open >= caller.most_open:
            retry = 1 / caller.rate_per_s if caller.rate_per_s else 1.0
            return Decision(
                Verdict.LATER, "too_many_open", f"{rule}: most_open", caller.name, retry_s=retry
            )
        if caller.rate_per_s:
            earned = max(now - meter.at, 0.0) * caller.rate_per_s
            meter.level, meter.at = (
                min(meter.level + earned, float(caller.burst)),
                max(now, meter.at),
            )
            if meter.level < 1.0:
                wait = (1.0 - meter.level) / caller.rate_per_s
                return Decision(
                    Verdict.LATER, "over_rate", f"{rule}: rate_per_s", caller.name, retry_s=wait
                )
            meter.level -= 1.0
        meter.open += 1
        return decision

    def ended(self, caller: str) -> None:
        meter = self.meters.get(caller)
        if meter is not None:
            meter.open = max(meter.open - 1, 0)
