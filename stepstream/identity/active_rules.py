"""The rules that the access control decides by, built from a section and its files.

`ActiveRules` is immutable but for the state of its parts: the token cache, the rate limiters and
the audit log's count. The access control replaces it as a whole.
"""

from dataclasses import dataclass, replace

from stepstream.config.operator_file import IdentitySection
from stepstream.identity.audit import AuditLog
from stepstream.identity.certificates import NAME_KINDS, RevocationList
from stepstream.identity.configuration import LoadedIdentity, permissions_of, token_rules_of
from stepstream.identity.permissions import Permissions
from stepstream.identity.tls import TlsCredentials
from stepstream.identity.token_cache import CachingTokenVerifier


@dataclass(frozen=True)
class ActiveRules:
    """The rules in force; each decision uses the rules that were in force when it began."""

    section: IdentitySection
    token_verifier: CachingTokenVerifier
    permissions: Permissions
    tls: TlsCredentials | None
    audit_log: AuditLog

    @property
    def revocation_list(self) -> RevocationList:
        """The revoked certificates; none without TLS."""
        return self.tls.revocation_list if self.tls else RevocationList()

    @property
    def name_kinds(self) -> tuple[str, ...]:
        """The kinds of certificate names that identify a peer, the preferred one first."""
        return self.section.tls.names if self.section.tls else NAME_KINDS


def rules_at_start(loaded: LoadedIdentity) -> ActiveRules:
    """Return the rules of a section, with an empty token cache and unused limits."""
    section = loaded.section
    return ActiveRules(
        section=section,
        token_verifier=CachingTokenVerifier(loaded.key_set, token_rules_of(section), section.cache),
        permissions=permissions_of(section),
        tls=loaded.tls,
        audit_log=audit_log_of(section),
    )


def rules_after_reload(previous: ActiveRules, loaded: LoadedIdentity) -> ActiveRules:
    """Return the rules of a reloaded section.

    The token cache is empty. The limits are unused until `Permissions.adopt_usage` is called.
    """
    section = loaded.section
    return ActiveRules(
        section=section,
        token_verifier=previous.token_verifier.with_key_set(
            loaded.key_set, token_rules_of(section), section.cache
        ),
        permissions=permissions_of(section),
        tls=loaded.tls,
        audit_log=audit_log_of(section),
    )


def rules_with_new_keys(previous: ActiveRules, loaded: LoadedIdentity) -> ActiveRules:
    """Return the rules after a change of the key file alone, with an empty token cache."""
    section = previous.section
    token_verifier = previous.token_verifier.with_key_set(
        loaded.key_set, token_rules_of(section), section.cache
    )
    return replace(previous, token_verifier=token_verifier, tls=loaded.tls)


def audit_log_of(section: IdentitySection) -> AuditLog:
    """Return the audit log of a section."""
    return AuditLog(section.audit, section.denials_per_s, include_allowed=section.audit_allowed)
