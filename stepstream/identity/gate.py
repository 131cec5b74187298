"""The gate of the running program: key file, verifier and rights under one lock, for every front."""

import os
import socket
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

import ujson

from stepstream.config.errors import ConfigurationError
from stepstream.config.operator_file import IdentitySection as Section
from stepstream.identity import tls
from stepstream.identity.audit import Audit
from stepstream.identity.certificates import NAMES, Certificate, CertificateError, Revoked, check
from stepstream.identity.keys import KeyRing, KeySetError, read_keys
from stepstream.identity.rights import Caller, Decision, Identity, Method, Rights, Verdict
from stepstream.identity.tokens import TokenError, TokenRules, Verifier
from stepstream.ports.access_control import Credential, Rejection, RejectionKind
from stepstream.runtime.log import log

MOST_KEY_FILE = 256 * 1024


@dataclass(slots=True)
class Visa:
    """What an allowed request is known by; `end` once it is over."""

    caller: str
    tenant: str
    gate: "Gate | None" = None

    def release(self) -> None:
        gate, self.gate = self.gate, None
        if gate is not None:
            gate.ended(self.caller)


@dataclass(frozen=True, slots=True)
class Prepared:
    """A section and its key file, read and found whole: nothing of it can fail any more."""

    section: Section
    ring: KeyRing
    stamp: tuple[int, int]
    credentials: "tls.Credentials | None" = None


def prepare(section: Section) -> Prepared:
    """FieldError names the key of the operator's file, or the member of the key file."""
    try:
        with open(section.keys, "rb") as file:
            stat = os.fstat(file.fileno())
            data = file.read(MOST_KEY_FILE + 1)
    except OSError as error:
        raise ConfigurationError(
            f"identity.keys={section.keys}: {error.strerror or error}"
        ) from None
    if len(data) > MOST_KEY_FILE:
        raise ConfigurationError(f"identity.keys={section.keys}: over {MOST_KEY_FILE} bytes")
    try:
        ring = read_keys(ujson.loads(data))
    except (KeySetError, ValueError, RecursionError) as error:
        raise ConfigurationError(f"identity.keys={section.keys}: {error}") from None
    credentials = tls.load(section.tls) if section.tls else None
    return Prepared(section, ring, (stat.st_mtime_ns, stat.st_ino), credentials)


def rights_of(section: Section) -> Rights:
    callers = tuple(
        Caller(
            name=row.name,
            subjects=frozenset(row.subjects),
            tenants=frozenset(row.tenants),
            classes=frozenset(row.classes),
            suspended=row.state == "suspended",
            rate_per_s=row.rate_per_s,
            burst=row.burst,
            most_open=row.most_open,
        )
        for row in section.caller
    )
    methods = {kind: frozenset(map(Method, names)) for kind, names in section.methods.items()}
    return Rights(callers, methods)


def rules_of(section: Section) -> TokenRules:
    return TokenRules(
        section.issuer, section.audience, section.leeway_s, section.token_bytes, section.longest_s
    )


@dataclass(frozen=True)
class Rules:
    """What is in force, replaced as a whole: whoever has begun to judge by it goes on with it."""

    section: Section
    verifier: Verifier
    rights: Rights
    credentials: tls.Credentials | None
    audit: Audit

    @property
    def revoked(self) -> Revoked:
        return self.credentials.revoked if self.credentials else Revoked()


class Gate:
    """Any thread may call it; none of its methods waits for more than a signature's check.

    Only callers with a rate or a number of open requests are counted, under the lock: all others share
    nothing but what is read.
    """

    def __init__(self, prepared: Prepared, now: Callable[[], float] = time.time) -> None:
        section = prepared.section
        self.now, self.lock, self.stamp = now, threading.Lock(), prepared.stamp
        self.rules = Rules(
            section,
            Verifier(prepared.ring, rules_of(section), section.cache),
            rights_of(section),
            prepared.credentials,
            Audit(section.audit, section.audit_allowed, section.denials_per_s),
        )

    def link(self, sock: socket.socket) -> tls.TlsLink:
        return tls.TlsLink(sock, self.rules.credentials.context)

    # -- reload -------------------------------------------------------------------------------------------

    def apply(self, prepared: Prepared) -> None:
        """Callers keep what they have used; cached tokens are looked at anew."""
        section, rights, old = prepared.section, rights_of(prepared.section), self.rules
        verifier = old.verifier.replaced(prepared.ring, rules_of(section), section.cache)
        audit = Audit(section.audit, section.audit_allowed, section.denials_per_s)
        with self.lock:
            rights.carry(old.rights)
            self.rules = Rules(section, verifier, rights, prepared.credentials, audit)
            self.stamp = prepared.stamp

    def look(self) -> None:
        """Twice a second: a key file that has changed is read, and a bad one changes nothing."""
        rules = self.rules
        try:
            stat = os.stat(rules.section.keys)
        except OSError:
            return  # being replaced, or gone: the keys of before serve on
        stamp = (stat.st_mtime_ns, stat.st_ino)
        if stamp == self.stamp:
            return
        self.stamp = stamp  # said once a change
        try:
            prepared = prepare(rules.section)
        except ConfigurationError as error:
            log(f"keys: {error}; the old ones serve on")
            return
        verifier = rules.verifier.replaced(
            prepared.ring, rules_of(rules.section), rules.section.cache
        )
        self.rules = replace(rules, verifier=verifier, credentials=prepared.credentials)
        self.stamp = prepared.stamp
        log(f"keys: {len(prepared.ring.keys)} read anew")

    # -- decisions ----------------------------------------------------------------------------------------

    def authorize_request(
        self, front: str, credential: Credential, kind: str, tenant: str | None
    ) -> "Visa | Rejection":
        rules, now = self.rules, self.now()
        shown = self.shown(rules, credential, now)
        decision = shown.fault or rules.rights.judge(shown.identity, kind, tenant)
        metered = (
            decision.verdict is Verdict.ALLOWED and rules.rights.by_subject[shown.subject].metered
        )
        if metered:
            with self.lock:
                decision = self.rules.rights.admit(shown.identity, kind, tenant, now)
        self.note(rules, front, f"{tenant or decision.tenant or '-'}/{kind}", decision, shown)
        if decision.verdict is Verdict.ALLOWED:
            return Visa(decision.caller, decision.tenant, self if metered else None)
        return turned(decision)

    def note(self, rules: Rules, front: str, what: str, decision: Decision, shown: "Shown") -> None:
        if decision.verdict is not Verdict.ALLOWED or rules.section.audit_allowed:
            with self.lock:
                rules.audit.decision(front, what, decision, shown.subject, shown.key)

    def ended(self, caller: str) -> None:
        with self.lock:
            self.rules.rights.ended(caller)

    def authorize_job_access(
        self, front: str, credential: Credential, callers: set[str]
    ) -> Rejection | None:
        rules = self.rules
        shown = self.shown(rules, credential, self.now())
        caller = rules.rights.by_subject.get(shown.subject)
        if shown.fault is None and caller is not None and caller.name in callers:
            return None
        decision = shown.fault or Decision(Verdict.DENIED, "anothers_job", "identity")
        self.note(rules, front, "status", decision, shown)
        return turned(decision)

    def authorize_worker(self, front: str, credential: Credential, name: str) -> Rejection | None:
        section = self.rules.section
        if section.news == "open":
            return None
        return self.named(
            front, credential, f"worker {name}", [prefix + name for prefix in section.workers]
        )

    def authorize_admin(self, front: str, credential: Credential, what: str) -> Rejection | None:
        return self.named(front, credential, what, self.rules.section.admins)

    def named(
        self, front: str, credential: Credential, what: str, subjects: Sequence[str]
    ) -> Rejection | None:
        rules = self.rules
        shown = self.shown(rules, credential, self.now())
        if shown.fault is None and shown.subject in subjects:
            return None
        decision = shown.fault or Decision(Verdict.DENIED, "somebody_else", "identity")
        self.note(rules, front, what, decision, shown)
        return turned(decision)

    def shown(self, rules: Rules, credential: Credential, now: float) -> "Shown":
        """Who shows this. A certificate counts before a token; beside it a token must be the same
        caller's.
        """
        by_token = by_certificate = None
        try:
            if credential.certificate is not None:
                by_certificate = self.by_certificate(rules, credential.certificate, now)
            if credential.token is not None:
                claims = rules.verifier.verify(credential.token, now)
                by_token = Identity(claims.subject, Method.TOKEN, claims.kid, claims.expires)
        except TokenError as fault:
            return Shown(fault=Decision(Verdict.UNKNOWN, fault.reason, "identity"), key=fault.kid)
        except CertificateError as fault:
            return Shown(
                fault=Decision(Verdict.UNKNOWN, fault.reason, "identity.tls"), key=fault.serial
            )
        identity = by_certificate or by_token
        if identity is None:
            return Shown(fault=Decision(Verdict.UNKNOWN, "no_credential", "identity"))
        if by_certificate and by_token and not rules.rights.same_caller(by_certificate, by_token):
            fault = Decision(Verdict.DENIED, "two_callers", "identity")
            return Shown(identity, identity.subject, identity.key, fault)
        return Shown(identity, identity.subject, identity.key)

    def by_certificate(self, rules: Rules, certificate: Certificate, now: float) -> Identity:
        """Looked at for every request: a certificate may end, or be revoked, while its connection lives."""
        now = rules.verifier.latest = max(now, rules.verifier.latest)
        check(certificate, rules.revoked, now)
        names = rules.section.tls.names if rules.section.tls else NAMES
        return Identity(
            certificate.subject(names), Method.CERTIFICATE, certificate.key, certificate.not_after
        )


@dataclass(frozen=True, slots=True)
class Shown:
    identity: Identity | None = None
    subject: str = ""
    key: str = ""
    fault: Decision | None = None


REFUSALS = {
    Verdict.UNKNOWN: RejectionKind.UNAUTHENTICATED,
    Verdict.DENIED: RejectionKind.FORBIDDEN,
    Verdict.LATER: RejectionKind.RATE_LIMITED,
}


def turned(decision: Decision) -> Rejection:
    return Rejection(REFUSALS[decision.verdict], decision.reason, decision.retry_s)
