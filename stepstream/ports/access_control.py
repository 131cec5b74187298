"""Authentication and authorization of peers, as the fronts use them.

Implemented by the identity subsystem; without it the fronts admit every peer.
"""

from enum import Enum
from typing import Protocol

from stepstream.model.records import record


@record
class Credential:
    """What a peer presents to identify itself."""

    token: bytes | None = None  # bearer token, not yet verified
    certificate: object = None  # client certificate, verified in the TLS handshake


class RejectionKind(Enum):
    """Why a peer is rejected. The values are the error codes of the Gearman front."""

    UNAUTHENTICATED = "NOT_IDENTIFIED"  # its credential is missing or not valid
    FORBIDDEN = "NOT_ALLOWED"  # the peer is known, but not allowed to do this
    RATE_LIMITED = "LATER"  # allowed, but the caller has reached a limit


@record
class Rejection:
    """A rejected request, worker or command."""

    kind: RejectionKind
    reason: str  # one word, for the peer and the log
    retry_after_seconds: float = 0.0  # for RATE_LIMITED


class Authorization(Protocol):
    """An admitted request of an identified caller. Any thread may release it."""

    caller: str
    tenant: str

    def release(self) -> None:
        """Stop counting the request against the caller's limits; later calls have no effect."""


class AccessControl(Protocol):
    """Decides who may do what. The fronts' threads call it; no method waits.

    `front` names the calling front. Rejections are written to the audit log. Admissions are
    written only if the operators have switched that on.
    """

    def authorize_request(
        self, front: str, credential: Credential, class_name: str, tenant: str | None
    ) -> Authorization | Rejection:
        """Authorize a client's request of a job class.

        If `tenant` is None, the caller's only tenant is used.
        """

    def authorize_job_access(
        self, front: str, credential: Credential, callers: set[str]
    ) -> Rejection | None:
        """Authorize access to a job of `callers`; return None if the peer is one of them."""

    def authorize_worker(
        self, front: str, credential: Credential, worker_id: str
    ) -> Rejection | None:
        """Authorize a notification or registration under a worker id; return None if allowed."""

    def authorize_admin(self, front: str, credential: Credential, command: str) -> Rejection | None:
        """Authorize an operator's command; return None if allowed."""
