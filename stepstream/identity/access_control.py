"""The access control of the running program, for every front: authentication, then authorization.

Owns what is in force: `ActiveRules`, replaced as a whole by the main thread, at a reload of the
operator's file or when the key file changes. The fronts' threads ask it. Its lock guards the rate
limiters and the audit log.
"""

import socket
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from stepstream.config.errors import ConfigurationError
from stepstream.config.operator_file import IdentitySection
from stepstream.identity.audit import AuditLog
from stepstream.identity.certificates import (
    NAME_KINDS,
    ClientCertificate,
    RevocationList,
    check_validity,
)
from stepstream.identity.configuration import (
    LoadedIdentity,
    key_file_version,
    load_identity,
    permissions_of,
    token_rules_of,
)
from stepstream.identity.errors import CertificateError, CredentialError, TokenError
from stepstream.identity.permissions import (
    AuthenticationMethod,
    Decision,
    Permissions,
    Principal,
    Verdict,
)
from stepstream.identity.tls import TlsCredentials, TlsTransport
from stepstream.identity.token_cache import CachingTokenVerifier
from stepstream.ports.access_control import Credential, Rejection, RejectionKind
from stepstream.runtime import log_events

REJECTION_KINDS = {
    Verdict.UNKNOWN: RejectionKind.UNAUTHENTICATED,
    Verdict.DENIED: RejectionKind.FORBIDDEN,
    Verdict.LATER: RejectionKind.RATE_LIMITED,
}


@dataclass(slots=True)
class RequestAuthorization:
    """An admitted request; implements `ports.access_control.Authorization`."""

    caller: str
    tenant: str
    # Where the request is counted; None once it is over, or for a caller without limits.
    counted_by: "IdentityAccessControl | None" = None

    def release(self) -> None:
        """End the request for the caller's limits; further calls have no effect."""
        access_control = self.counted_by
        self.counted_by = None
        if access_control is not None:
            access_control.release_request(self.caller)


@dataclass(frozen=True, slots=True)
class PresentedCredential:
    """Whom a peer's credential identifies, or why nobody."""

    principal: Principal | None = None
    failure: Decision | None = None
    key_id: str = ""  # kid or serial number, as far as it is known

    @property
    def subject(self) -> str:
        """The principal's subject; empty without one."""
        return "" if self.principal is None else self.principal.subject


@dataclass(frozen=True)
class ActiveRules:
    """What is in force; a decision that has begun goes on with the rules it began with."""

    section: IdentitySection
    token_verifier: CachingTokenVerifier
    permissions: Permissions
    tls: TlsCredentials | None
    audit_log: AuditLog

    @property
    def revocation_list(self) -> RevocationList:
        """The revoked certificates; none without TLS."""
        return self.tls.revocation_list if self.tls else RevocationList()


class IdentityAccessControl:
    """Authenticates and authorizes peers; implements `ports.access_control.AccessControl`.

    Any thread may call it; no method waits for more than the check of a signature. Only requests of
    callers with limits are counted, under the lock; all others share only what is read. `now` gives
    Unix seconds.
    """

    def __init__(self, loaded: LoadedIdentity, now: Callable[[], float] = time.time) -> None:
        section = loaded.section
        self.now = now
        self.lock = threading.Lock()  # guards the rate limiters and the audit log
        self.key_file_version = loaded.key_file_version
        self.rules = ActiveRules(
            section=section,
            token_verifier=CachingTokenVerifier(
                loaded.key_set, token_rules_of(section), section.cache
            ),
            permissions=permissions_of(section),
            tls=loaded.tls,
            audit_log=audit_log_of(section),
        )

    def create_tls_transport(self, sock: socket.socket) -> TlsTransport:
        """Make a transport with the present certificates; only where there is TLS."""
        tls = self.rules.tls
        assert tls is not None
        return TlsTransport(sock, tls.context)

    # -- reload, by the main thread ---------------------------------------------------------------

    def apply(self, loaded: LoadedIdentity) -> None:
        """Put a reloaded section into force.

        Callers keep what they have used of their limits; cached tokens are verified anew.
        """
        section = loaded.section
        previous = self.rules
        permissions = permissions_of(section)
        token_verifier = previous.token_verifier.replaced(
            loaded.key_set, token_rules_of(section), section.cache
        )
        audit_log = audit_log_of(section)
        with self.lock:
            permissions.adopt_usage(previous.permissions)
            self.rules = ActiveRules(section, token_verifier, permissions, loaded.tls, audit_log)
            self.key_file_version = loaded.key_file_version

    def reload_changed_keys(self) -> None:
        """Read the key file again if it has changed; a faulty one is logged and changes nothing.

        The main thread calls this twice a second.
        """
        rules = self.rules
        try:
            version = key_file_version(rules.section)
        except OSError:
            return  # being replaced, or gone: the present keys stay in force
        if version == self.key_file_version:
            return
        self.key_file_version = version  # a faulty file is logged once a change
        try:
            loaded = load_identity(rules.section)
        except ConfigurationError as error:
            log_events.keys_reload_failed(reason=str(error))
            return
        token_verifier = rules.token_verifier.replaced(
            loaded.key_set, token_rules_of(rules.section), rules.section.cache
        )
        self.rules = replace(rules, token_verifier=token_verifier, tls=loaded.tls)
        self.key_file_version = loaded.key_file_version
        log_events.keys_reloaded(keys=len(loaded.key_set.keys))

    # -- authorization, by the fronts' threads ----------------------------------------------------

    def authorize_request(
        self, front: str, credential: Credential, class_name: str, tenant: str | None
    ) -> RequestAuthorization | Rejection:
        """Authorize a client's request of a job class.

        Without a `tenant`, the request is of the one tenant that the caller belongs to.
        """
        rules = self.rules
        now = self.now()
        presented = authenticate(rules, credential, now)
        principal = presented.principal
        permissions = rules.permissions
        decision = presented.failure or permissions.decide(principal, class_name, tenant)
        is_counted = (
            decision.verdict is Verdict.ALLOWED
            and permissions.callers_by_subject[presented.subject].has_limits
        )
        if is_counted:
            with self.lock:
                # By the rules of now: a reload may have moved the rate limiters to new ones.
                decision = self.rules.permissions.admit(principal, class_name, tenant, now)
        operation = f"{tenant or decision.tenant or '-'}/{class_name}"
        self._audit(rules, front, operation, decision, presented)
        if decision.verdict is not Verdict.ALLOWED:
            return rejection_of(decision)
        counted_by = self if is_counted else None
        return RequestAuthorization(decision.caller, decision.tenant, counted_by)

    def release_request(self, caller: str) -> None:
        """End a counted request of this caller."""
        with self.lock:
            self.rules.permissions.release(caller)

    def authorize_job_access(
        self, front: str, credential: Credential, callers: set[str]
    ) -> Rejection | None:
        """Authorize access to a job that belongs to `callers`; return None if the peer is one."""
        rules = self.rules
        presented = authenticate(rules, credential, self.now())
        caller = rules.permissions.callers_by_subject.get(presented.subject)
        if presented.failure is None and caller is not None and caller.name in callers:
            return None
        return self._deny(rules, front, "status", presented, "anothers_job")

    def authorize_worker(
        self, front: str, credential: Credential, worker_id: str
    ) -> Rejection | None:
        """Authorize a notification or registration under a worker id; return None if allowed."""
        section = self.rules.section
        if section.news == "open":
            return None
        subjects = [prefix + worker_id for prefix in section.workers]
        return self._authorize_subject(front, credential, f"worker {worker_id}", subjects)

    def authorize_admin(self, front: str, credential: Credential, command: str) -> Rejection | None:
        """Authorize an operator's command; return None if allowed."""
        return self._authorize_subject(front, credential, command, self.rules.section.admins)

    def _authorize_subject(
        self, front: str, credential: Credential, operation: str, subjects: Sequence[str]
    ) -> Rejection | None:
        """Authorize what only these subjects may do."""
        rules = self.rules
        presented = authenticate(rules, credential, self.now())
        if presented.failure is None and presented.subject in subjects:
            return None
        return self._deny(rules, front, operation, presented, "somebody_else")

    def _deny(
        self,
        rules: ActiveRules,
        front: str,
        operation: str,
        presented: PresentedCredential,
        reason: str,
    ) -> Rejection:
        """Reject for the credential's failure, or else for the reason, and write it down."""
        decision = presented.failure or Decision(Verdict.DENIED, reason, "identity")
        self._audit(rules, front, operation, decision, presented)
        return rejection_of(decision)

    def _audit(
        self,
        rules: ActiveRules,
        front: str,
        operation: str,
        decision: Decision,
        presented: PresentedCredential,
    ) -> None:
        if rules.audit_log.wants(decision):
            with self.lock:
                rules.audit_log.record(
                    front, operation, decision, presented.subject, presented.key_id
                )


def audit_log_of(section: IdentitySection) -> AuditLog:
    """Make the audit log of a section."""
    return AuditLog(section.audit, section.denials_per_s, include_allowed=section.audit_allowed)


def rejection_of(decision: Decision) -> Rejection:
    """Translate a decision that does not allow into the fronts' form."""
    kind = REJECTION_KINDS[decision.verdict]
    return Rejection(kind, decision.reason, decision.retry_after_seconds)


# -- authentication -------------------------------------------------------------------------------


def authenticate(rules: ActiveRules, credential: Credential, now: float) -> PresentedCredential:
    """Identify who presents a credential at the Unix time `now`.

    A certificate takes precedence over a token; a token beside it must be the same caller's.
    """
    by_certificate = None
    by_token = None
    try:
        if credential.certificate is not None:
            assert isinstance(credential.certificate, ClientCertificate)
            by_certificate = authenticate_certificate(rules, credential.certificate, now)
        if credential.token is not None:
            by_token = authenticate_token(rules, credential.token, now)
    except TokenError as error:
        return unauthenticated(error, "identity")
    except CertificateError as error:
        return unauthenticated(error, "identity.tls")
    principal = by_certificate or by_token
    if principal is None:
        return PresentedCredential(failure=Decision(Verdict.UNKNOWN, "no_credential", "identity"))
    failure = None
    if (
        by_certificate is not None
        and by_token is not None
        and not rules.permissions.is_same_caller(by_certificate, by_token)
    ):
        failure = Decision(Verdict.DENIED, "two_callers", "identity")
    return PresentedCredential(principal, failure, principal.key_id)


def unauthenticated(error: CredentialError, rule: str) -> PresentedCredential:
    """Return a credential that identifies nobody, as the check that `rule` names found."""
    decision = Decision(Verdict.UNKNOWN, error.reason, rule)
    return PresentedCredential(failure=decision, key_id=error.key_id)


def authenticate_token(rules: ActiveRules, token: bytes, now: float) -> Principal:
    """Return whom a bearer token identifies; raise `TokenError`."""
    claims = rules.token_verifier.verify(token, now)
    return Principal(claims.subject, AuthenticationMethod.TOKEN, claims.key_id, claims.expires_at)


def authenticate_certificate(
    rules: ActiveRules, certificate: ClientCertificate, now: float
) -> Principal:
    """Return whom a client certificate identifies; raise `CertificateError`.

    Checked for every request: it may expire or be revoked while its connection is open.
    """
    check_validity(certificate, rules.revocation_list, rules.token_verifier.advance_clock(now))
    name_kinds = rules.section.tls.names if rules.section.tls else NAME_KINDS
    return Principal(
        certificate.subject(name_kinds),
        AuthenticationMethod.CERTIFICATE,
        certificate.key_id,
        certificate.not_after,
    )
