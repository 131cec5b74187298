"""Access checks: what peers may do while the identity subsystem is on.

Without access control everything is allowed. The service calls this module under the lock of the
front that owns it.
"""

from stepstream.gearman import codec
from stepstream.gearman.codec import Packet, PacketKind
from stepstream.gearman.errors import JobQueueFullError, RequestError
from stepstream.gearman.jobs import Job
from stepstream.gearman.names import FunctionName
from stepstream.gearman.peers import Peer, Worker
from stepstream.gearman.session import TOKEN_OPTION
from stepstream.gearman.state import FRONT_NAME, ServiceState
from stepstream.ports.access_control import Authorization, Rejection, RejectionKind

# This period is no longer than the time to notice a changed key file, so that a worker's revoked
# credential loses its effect as quickly.
CREDENTIAL_RECHECK_PERIOD_US = 500_000


class AccessChecks:
    """Asks the access control, and raises its rejections as `RequestError`."""

    def __init__(self, state: ServiceState) -> None:
        self.state = state

    def set_token(self, _now_us: int, peer: Peer, packet: Packet) -> None:
        """Store the bearer token of OPTION_REQ `token:JWT`; each later request verifies it."""
        token = packet.args[0].removeprefix(TOKEN_OPTION)
        peer.token = token or None
        peer.authorized_at_us = 0
        self.state.output.send(peer, codec.encode_response(PacketKind.OPTION_RES, "token"))

    def authorize_submission(self, peer: Peer, function: FunctionName) -> Authorization | None:
        """Authorize a submission; return None if the identity subsystem is off."""
        access_control = self.state.host.access_control
        if access_control is None:
            return None
        decision = access_control.authorize_request(
            FRONT_NAME, peer.credential, function.class_name, function.tenant
        )
        if isinstance(decision, Rejection):
            raise _error_for(decision)
        return decision

    def check_job_access(self, peer: Peer, job: Job | None) -> None:
        """Check that the peer submitted the job; reject an unknown job like another caller's."""
        access_control = self.state.host.access_control
        if access_control is not None:
            callers = job.callers if job else set()
            _raise_if_rejected(
                access_control.authorize_job_access(FRONT_NAME, peer.credential, callers)
            )

    def check_new_worker(self, peer: Peer, worker_name: str) -> None:
        """Check that the peer may be a worker of this name."""
        access_control = self.state.host.access_control
        if access_control is not None:
            _raise_if_rejected(
                access_control.authorize_worker(FRONT_NAME, peer.credential, worker_name)
            )

    def check_worker(self, now_us: int, worker: Worker) -> None:
        """Check that a worker's credential is still valid.

        A worker whose credential has expired gets no further job; it may end the jobs that it
        holds.
        """
        access_control = self.state.host.access_control
        peer = worker.peer
        if access_control is None or not needs_recheck(now_us, peer.authorized_at_us):
            return
        _raise_if_rejected(
            access_control.authorize_worker(FRONT_NAME, peer.credential, worker.identity.name)
        )
        peer.authorized_at_us = now_us

    def authorize_command(self, peer: Peer, tokens: tuple[str, ...]) -> Rejection | None:
        """Authorize a text command; return None if it is allowed."""
        access_control = self.state.host.access_control
        if access_control is None:
            return None
        return access_control.authorize_admin(FRONT_NAME, peer.credential, " ".join(tokens))


def needs_recheck(now_us: int, authorized_at_us: int) -> bool:
    """Decide whether a worker's credential is verified again before it is assigned a job.

    Times are microseconds on the node's clock. A verification at each GRAB_JOB would cost too much;
    with one at the registration only, a revoked worker would get jobs for hours.
    """
    return now_us - authorized_at_us >= CREDENTIAL_RECHECK_PERIOD_US


def _raise_if_rejected(rejection: Rejection | None) -> None:
    if rejection is not None:
        raise _error_for(rejection)


def _error_for(rejection: Rejection) -> RequestError:
    if rejection.kind is RejectionKind.RATE_LIMITED:
        return JobQueueFullError(rejection.reason, rejection.retry_after_seconds)
    return RequestError(rejection.kind.value, rejection.reason)
