"""Authentication: identify a peer from its credential by the active rules; free of I/O."""

from dataclasses import dataclass

from stepstream.identity.active_rules import ActiveRules
from stepstream.identity.certificates import ClientCertificate, check_validity
from stepstream.identity.errors import CertificateError, CredentialError, TokenError
from stepstream.identity.permissions import AuthenticationMethod, Decision, Principal, Verdict
from stepstream.ports.access_control import Credential


@dataclass(frozen=True, slots=True)
class AuthenticationResult:
    """The principal that a peer's credential identifies, or why it identifies none.

    Both are set if the peer has presented the credentials of two callers.
    """

    principal: Principal | None = None
    failure: Decision | None = None
    key_id: str = ""  # kid or serial number; empty if the check failed earlier

    @property
    def subject(self) -> str:
        """The principal's subject; empty without one."""
        return "" if self.principal is None else self.principal.subject


def authenticate(rules: ActiveRules, credential: Credential, now: float) -> AuthenticationResult:
    """Identify the peer that presents a credential at the Unix time `now`.

    A certificate takes precedence over a token: in the TLS handshake the peer has proven that it
    holds the certificate's private key. A token beside a certificate must belong to the same
    caller: otherwise a stolen token would add its permissions.
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
        return AuthenticationResult(
            failure=Decision(Verdict.UNAUTHENTICATED, "no_credential", "identity")
        )
    failure = None
    if names_two_callers(rules, by_certificate, by_token):
        failure = Decision(Verdict.DENIED, "two_callers", "identity")
    return AuthenticationResult(principal, failure, principal.key_id)


def names_two_callers(
    rules: ActiveRules, by_certificate: Principal | None, by_token: Principal | None
) -> bool:
    """Return whether a certificate and a token presented together identify different callers."""
    if by_certificate is None or by_token is None:
        return False
    return not rules.permissions.is_same_caller(by_certificate, by_token)


def unauthenticated(error: CredentialError, rule: str) -> AuthenticationResult:
    """Return the result for a credential that identifies nobody; `rule` names the check."""
    decision = Decision(Verdict.UNAUTHENTICATED, error.reason, rule)
    return AuthenticationResult(failure=decision, key_id=error.key_id)


def authenticate_token(rules: ActiveRules, token: bytes, now: float) -> Principal:
    """Return the principal of a bearer token; raise `TokenError`."""
    claims = rules.token_verifier.verify(token, now)
    return Principal(claims.subject, AuthenticationMethod.TOKEN, claims.key_id, claims.expires_at)


def authenticate_certificate(
    rules: ActiveRules, certificate: ClientCertificate, now: float
) -> Principal:
    """Return the principal of a client certificate; raise `CertificateError`.

    It is checked for every request: it may expire or be revoked while its connection is open.
    """
    check_validity(certificate, rules.revocation_list, rules.token_verifier.advance_clock(now))
    return Principal(
        certificate.subject(rules.name_kinds),
        AuthenticationMethod.CERTIFICATE,
        certificate.key_id,
        certificate.not_after,
    )
