"""The access control of the running program, for every front: authentication, then authorization.

`IdentityAccessControl` owns the active rules. The main thread replaces them as a whole, at a reload
of the operator's file or when the key file changes. The fronts' threads call the `authorize_`
methods. One lock guards the rate limiters and the audit log.
"""

import socket
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from stepstream.config.errors import ConfigurationError
from stepstream.identity.active_rules import (
    ActiveRules,
    rules_after_reload,
    rules_at_start,
    rules_with_new_keys,
)
from stepstream.identity.authentication import AuthenticationResult, authenticate
from stepstream.identity.configuration import LoadedIdentity, key_file_version, load_identity
from stepstream.identity.permissions import Decision, Verdict
from stepstream.identity.tls import TlsTransport
from stepstream.ports.access_control import Credential, Rejection, RejectionKind
from stepstream.runtime import log_events

REJECTION_KINDS = {
    Verdict.UNAUTHENTICATED: RejectionKind.UNAUTHENTICATED,
    Verdict.DENIED: RejectionKind.FORBIDDEN,
    Verdict.RATE_LIMITED: RejectionKind.RATE_LIMITED,
}


@dataclass(slots=True)
class RequestAuthorization:
    """An admitted request; implements `ports.access_control.Authorization`."""

    caller: str
    tenant: str
    # Counts the request; None after its end, and for a caller without limits.
    counted_by: "IdentityAccessControl | None" = None

    def release(self) -> None:
        """Stop counting the request against the caller's limits; later calls have no effect."""
        access_control = self.counted_by
        self.counted_by = None
        if access_control is not None:
            access_control.release_request(self.caller)


class IdentityAccessControl:
    """Authenticates and authorizes peers; implements `ports.access_control.AccessControl`.

    Any thread may call it; no method waits longer than the check of a signature takes. Only
    requests of callers with limits are counted, under the lock; all others read immutable rules.
    `now` returns Unix seconds.
    """

    def __init__(self, loaded: LoadedIdentity, now: Callable[[], float] = time.time) -> None:
        self.now = now
        self.lock = threading.Lock()  # guards the rate limiters and the audit log
        self.key_file_version = loaded.key_file_version
        self.rules = rules_at_start(loaded)

    def create_tls_transport(self, sock: socket.socket) -> TlsTransport:
        """Create a transport with the current certificates; called only if TLS is configured."""
        tls = self.rules.tls
        assert tls is not None
        return TlsTransport(sock, tls.context)

    # -- reload, by the main thread ---------------------------------------------------------------

    def apply(self, loaded: LoadedIdentity) -> None:
        """Put a reloaded `[identity]` section into force.

        The used limits of the callers are kept. Cached tokens are verified again.
        """
        previous = self.rules
        rules = rules_after_reload(previous, loaded)
        with self.lock:
            rules.permissions.adopt_usage(previous.permissions)
            self.rules = rules
            self.key_file_version = loaded.key_file_version

    def reload_changed_keys(self) -> None:
        """Read the key file again if it has changed; a faulty one is logged and changes nothing.

        The main thread calls this twice a second.
        """
        rules = self.rules
        try:
            version = key_file_version(rules.section)
        except OSError:
            return  # the file is being replaced or is missing: the current keys stay in force
        if version == self.key_file_version:
            return
        self.key_file_version = version  # a faulty file is logged once
        try:
            loaded = load_identity(rules.section)
        except ConfigurationError as error:
            log_events.keys_reload_failed(reason=str(error))
            return
        self.rules = rules_with_new_keys(rules, loaded)
        self.key_file_version = loaded.key_file_version
        log_events.keys_reloaded(keys=len(loaded.key_set.keys))

    # -- authorization, by the fronts' threads ----------------------------------------------------

    def authorize_request(
        self, front: str, credential: Credential, class_name: str, tenant: str | None
    ) -> RequestAuthorization | Rejection:
        """Authorize a client's request of a job class.

        If `tenant` is None, the caller's only tenant is used.
        """
        rules = self.rules
        now = self.now()
        authentication = authenticate(rules, credential, now)
        principal = authentication.principal
        permissions = rules.permissions
        decision = authentication.failure or permissions.decide(principal, class_name, tenant)
        is_counted = permissions.is_counted(authentication.subject, decision)
        if is_counted:
            with self.lock:
                # Not `rules`: a reload may have moved the rate limiters to newer rules.
                decision = self.rules.permissions.admit(principal, class_name, tenant, now)
        operation = f"{tenant or decision.tenant or '-'}/{class_name}"
        self._audit(rules, front, operation, decision, authentication)
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
        """Authorize access to a job of `callers`; return None if the peer is one of them."""
        rules = self.rules
        authentication = authenticate(rules, credential, self.now())
        caller = rules.permissions.callers_by_subject.get(authentication.subject)
        if authentication.failure is None and caller is not None and caller.name in callers:
            return None
        return self._deny(rules, front, "status", authentication, "anothers_job")

    def authorize_worker(
        self, front: str, credential: Credential, worker_id: str
    ) -> Rejection | None:
        """Authorize a notification or registration under a worker id; return None if allowed."""
        section = self.rules.section
        if section.notification_access == "open":
            return None
        subjects = [prefix + worker_id for prefix in section.workers]
        return self._authorize_subject(front, credential, f"worker {worker_id}", subjects)

    def authorize_admin(self, front: str, credential: Credential, command: str) -> Rejection | None:
        """Authorize an operator's command; return None if allowed."""
        return self._authorize_subject(front, credential, command, self.rules.section.admins)

    def _authorize_subject(
        self, front: str, credential: Credential, operation: str, subjects: Sequence[str]
    ) -> Rejection | None:
        """Authorize an operation that only these subjects may do; return None if allowed."""
        rules = self.rules
        authentication = authenticate(rules, credential, self.now())
        if authentication.failure is None and authentication.subject in subjects:
            return None
        return self._deny(rules, front, operation, authentication, "somebody_else")

    def _deny(
        self,
        rules: ActiveRules,
        front: str,
        operation: str,
        authentication: AuthenticationResult,
        reason: str,
    ) -> Rejection:
        """Return a rejection and write it to the audit log.

        The authentication's failure, if any, takes precedence over `reason`.
        """
        decision = authentication.failure or Decision(Verdict.DENIED, reason, "identity")
        self._audit(rules, front, operation, decision, authentication)
        return rejection_of(decision)

    def _audit(
        self,
        rules: ActiveRules,
        front: str,
        operation: str,
        decision: Decision,
        authentication: AuthenticationResult,
    ) -> None:
        if rules.audit_log.should_record(decision):
            with self.lock:
                rules.audit_log.record(
                    front, operation, decision, authentication.subject, authentication.key_id
                )


def rejection_of(decision: Decision) -> Rejection:
    """Convert a decision that does not allow a request to the `Rejection` that fronts expect."""
    kind = REJECTION_KINDS[decision.verdict]
    return Rejection(kind, decision.reason, decision.retry_after_seconds)
