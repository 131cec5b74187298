"""Authentication and authorization of peers, as fronts ask for them."""

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    pass


@dataclass(frozen=True, slots=True)
class Credential:
    """What a peer shows of itself; a certificate was verified in the handshake."""

    token: bytes | None = None
    certificate: object = None


class RejectionKind(Enum):
    """Why a gate turns somebody away: nobody is identified, he may not, or not now."""

    UNAUTHENTICATED = "NOT_IDENTIFIED"
    FORBIDDEN = "NOT_ALLOWED"
    RATE_LIMITED = "LATER"


@dataclass(frozen=True, slots=True)
class Rejection:
    """Turned away; `reason` is one word, `retry_s` when to come back."""

    kind: RejectionKind
    reason: str
    retry_after_seconds: float = 0.0


class Authorization(Protocol):
    """An allowed request of an identified caller."""

    caller: str
    tenant: str

    def release(self) -> None:
        """It is over; any number of times."""


class AccessControl(Protocol):
    """Who may come in, where an installation wants to know. Any thread; none of these waits."""

    def authorize_request(
        self, front: str, credential: Credential, kind: str, tenant: str | None
    ) -> "Authorization | Rejection":
        """A client's request of a class; `tenant` None: the one that the caller stands for."""

    def authorize_job_access(
        self, front: str, credential: Credential, callers: set[str]
    ) -> Rejection | None:
        """Somebody asks for a job of these callers; None if he is one of them."""

    def authorize_worker(self, front: str, credential: Credential, name: str) -> Rejection | None:
        """A worker's word or joining under this id; None if it is who it says."""

    def authorize_admin(self, front: str, credential: Credential, what: str) -> Rejection | None:
        """An operator's command; None if he may."""
