"""Access checks: what peers may do where the identity subsystem is on.

Without access control everything is allowed. The service calls it, under the lock of its front.
"""

from stepstream.gearman import codec
from stepstream.gearman.codec import Packet, PacketKind
from stepstream.gearman.errors import JobQueueFullError, RequestError
from stepstream.gearman.jobs import Job
from stepstream.gearman.names import FunctionName
from stepstream.gearman.peers import Peer, Worker
from stepstream.gearman.session import TOKEN_OPTION
from stepstream.gearman.state import SOURCE, ServiceState
from stepstream.ports.access_control import Authorization, Rejection, RejectionKind

# No longer than a changed key file takes to be read: a revoked credential ends as soon.
CREDENTIAL_RECHECK_PERIOD_US = 500_000


class AccessChecks:
    """Calls the access control, and turns its rejections into errors."""

    def __init__(self, state: ServiceState) -> None:
        self.state = state

    def set_token(self, _now_us: int, peer: Peer, packet: Packet) -> None:
        """Take the bearer token of OPTION_REQ `token:JWT`; it is verified at each later request."""
        token = packet.args[0].removeprefix(TOKEN_OPTION)
        peer.token = token or None
        peer.authorized_at_us = 0
        self.state.output.send(peer, codec.encode_response(PacketKind.OPTION_RES, "token"))

    def authorize_submission(self, peer: Peer, function: FunctionName) -> Authorization | None:
        """Authorize a job; None where callers are not identified."""
        access_control = self.state.host.access_control
        if access_control is None:
            return None
        found = access_control.authorize_request(
            SOURCE, peer.credential, function.class_name, function.tenant
        )
        if isinstance(found, Rejection):
            raise _error_for(found)
        return found

    def check_job_access(self, peer: Peer, job: Job | None) -> None:
        """Check that a job is the peer's; an unknown one is rejected like another caller's."""
        access_control = self.state.host.access_control
        if access_control is not None:
            callers = job.callers if job else set()
            _raise_if(access_control.authorize_job_access(SOURCE, peer.credential, callers))

    def check_new_worker(self, peer: Peer, worker_name: str) -> None:
        """Check that the peer may be a worker of this name."""
        access_control = self.state.host.access_control
        if access_control is not None:
            _raise_if(access_control.authorize_worker(SOURCE, peer.credential, worker_name))

    def check_worker(self, now_us: int, worker: Worker) -> None:
        """Check that a worker's credential has not expired since it registered.

        Such a worker gets no further job and may end the jobs that it holds.
        """
        access_control = self.state.host.access_control
        peer = worker.peer
        if access_control is None or not needs_recheck(now_us, peer.authorized_at_us):
            return
        _raise_if(access_control.authorize_worker(SOURCE, peer.credential, worker.identity.name))
        peer.authorized_at_us = now_us

    def authorize_command(self, peer: Peer, tokens: tuple[str, ...]) -> Rejection | None:
        """Authorize a text command; None if it is allowed."""
        access_control = self.state.host.access_control
        if access_control is None:
            return None
        return access_control.authorize_admin(SOURCE, peer.credential, " ".join(tokens))


def needs_recheck(now_us: int, authorized_at_us: int) -> bool:
    """Decide whether a worker's credential is verified again before it is assigned a job.

    Times are microseconds on the node's clock. A verification for each GRAB_JOB would cost too
    much, and one at the registration only would keep a revoked worker for hours.
    """
    return now_us - authorized_at_us >= CREDENTIAL_RECHECK_PERIOD_US


def _raise_if(rejection: Rejection | None) -> None:
    if rejection is not None:
        raise _error_for(rejection)


def _error_for(rejection: Rejection) -> RequestError:
    if rejection.kind is RejectionKind.RATE_LIMITED:
        return JobQueueFullError(rejection.reason, rejection.retry_after_seconds)
    return RequestError(rejection.kind.value, rejection.reason)
