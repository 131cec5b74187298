"""The admin listener's calls on leases: `GET /leases` and its sub-paths.

Paths, query parameters, JSON fields and error texts are read by operators' tools and by
`stepstream lease`; their spelling is fixed. This module alone translates between them and the
package's terms: `want` is a session's heartbeat, `act_ms` an operation's time, `left_ms` the
remaining time, `ending` that the program must end, `drift` the bound on clock drift.

Owns no state. The admin listener's thread calls it; the driver's lock guards what it reads.
"""

import re
from collections.abc import Mapping, Sequence

from stepstream.leases.client import LeaseClient
from stepstream.leases.configuration import (
    LeaseConfiguration,
    LeaseTimesError,
    check_lease_times,
)
from stepstream.leases.driver import LeaseDriver, boot_time_seconds
from stepstream.leases.errors import LeaseError
from stepstream.leases.lease_record import LeaseRecord
from stepstream.leases.lease_state import LeaseState
from stepstream.leases.messages import LEASE_NAME_PATTERN
from stepstream.leases.proposer import Proposer
from stepstream.leases.session_table import Session
from stepstream.leases.sessions import SessionService
from stepstream.ports.admin import (
    READ_METHODS,
    WRITE_METHODS,
    AdminRequest,
    AdminResponse,
    AdminRoute,
)
from stepstream.subsystem_api.admin_json import (
    json_error,
    json_or_not_found,
    json_response,
    parse_whole_number,
)

LEASE_NAME = re.compile(LEASE_NAME_PATTERN)
SESSION_NAME = re.compile(r"[A-Za-z0-9-]{8,64}")
MAX_MILLISECONDS_DIGITS = 8
MAX_QUOTED_CHARACTERS = 80
FREE = "free"  # the `state` of a lease that nobody holds
MAX_ANSWER_AGE_REFRESHES = 2  # a waiter gets an answer in each refresh interval
FIRST_ANSWER_ROUNDS = 2  # the first answers may take this number of rounds

Row = dict[str, object]  # one lease in `GET /leases`


class BadRequestError(LeaseError):
    """A call's path or parameter is invalid; the text is the answer's `error`."""


class LeaseAdminApi:
    """Answers the calls on leases."""

    def __init__(self, driver: LeaseDriver, sessions: SessionService, client: LeaseClient) -> None:
        self.driver = driver
        self.sessions = sessions
        self.client = client

    def routes(self) -> Sequence[AdminRoute]:
        """Return the paths and their handlers."""
        lease_path = r"/leases/([^/]{1,200})"
        return (
            AdminRoute(r"/leases", READ_METHODS, self.on_list),
            AdminRoute(lease_path, READ_METHODS, self.on_show),
            AdminRoute(f"{lease_path}/want", WRITE_METHODS, self.on_want),
            AdminRoute(f"{lease_path}/release", WRITE_METHODS, self.on_release),
        )

    def on_list(self, _request: AdminRequest) -> AdminResponse:
        """Answer `GET /leases`: all leases that this dispatcher knows of."""
        return json_response(200, self.rows())

    def on_show(self, request: AdminRequest) -> AdminResponse:
        """Answer `GET /leases/NAME`: one lease."""
        try:
            lease = lease_name(request)
        except BadRequestError as error:
            return json_error(400, str(error))
        row = next((row for row in self.rows() if row["name"] == lease), None)
        return json_or_not_found(row, "no such lease is known here")

    def on_want(self, request: AdminRequest) -> AdminResponse:
        """Answer `PUT /leases/NAME/want`: a heartbeat of a session, or its first call."""
        now = boot_time_seconds()
        try:
            lease = lease_name(request)
            session_name = session_name_of(request)
            session = self.sessions.heartbeat(now, session_name)
            if session is None:
                return self.open_session(now, lease, session_name, request.query)
        except BadRequestError as error:
            return json_error(400, str(error))
        if session.proposer.lease != lease:
            return json_error(400, f"session is of lease {session.proposer.lease}")
        return self.session_response(session)

    def open_session(
        self, now: float, lease: str, session_name: str, query: Mapping[str, str]
    ) -> AdminResponse:
        """Open a session if there is capacity; raise `BadRequestError` if a time is invalid."""
        configuration = self.client.configuration
        has_capacity = self.sessions.has_capacity(now)
        ttl_seconds = seconds_from_milliseconds(query.get("ttl_ms", ""))
        operation_seconds = seconds_from_milliseconds(query.get("act_ms", ""))
        if ttl_seconds is None or operation_seconds is None:
            raise BadRequestError("ttl_ms and act_ms: whole milliseconds")
        try:
            check_lease_times(configuration, ttl_seconds, operation_seconds)
        except LeaseTimesError as error:
            raise BadRequestError(str(error)) from error
        if self.client.closed:
            return json_error(503, "this dispatcher is drained or stops")
        if not has_capacity:
            return json_error(503, "leases.most_sessions are open")
        session = self.sessions.open(now, session_name, lease, ttl_seconds, operation_seconds)
        return self.session_response(session)

    def session_response(self, session: Session) -> AdminResponse:
        """Answer with a session's lease; 503 while a quorum of acceptors is missing."""
        configuration = self.client.configuration
        proposer = session.proposer
        with self.driver.state_changed:
            now = boot_time_seconds()
            fields = {
                "state": proposer.state(now).value,
                "token": proposer.token,
                "left_ms": int(proposer.remaining_seconds(now) * 1000),
                "ending": session.ending,
                "holder": proposer.last_known_holder,
                "drift": configuration.max_clock_drift,
            }
            error = "" if proposer.is_over else missing_quorum(configuration, proposer, now)
        if error and not fields["token"]:
            return json_response(503, {**fields, "error": error})
        return json_response(200, fields)

    def on_release(self, request: AdminRequest) -> AdminResponse:
        """Answer `PUT /leases/NAME/release`.

        With a session's name, the session's program releases the lease at once. Without one, an
        operator revokes the lease: its holders through this dispatcher are notified to end.
        """
        try:
            lease = lease_name(request)
        except BadRequestError as error:
            return json_error(400, str(error))
        session_name = request.query.get("session")
        if session_name is None:
            ended_count = self.sessions.end(lease)
            if ended_count == 0:
                return json_error(404, "not held through here")
            return json_response(200, {"ending": ended_count})
        if not self.sessions.release(session_name):
            return json_error(404, "no such session")
        return json_response(200, {"released": lease})

    # -- rows of `GET /leases` --------------------------------------------------------------------

    def rows(self) -> list[Row]:
        """Return each lease as this dispatcher's own acceptor and proposers know it, by name."""
        rows: dict[str, Row] = {}
        participant = self.driver.participant
        with self.driver.state_changed:
            now = boot_time_seconds()
            if participant.acceptor is not None:
                for lease, record in participant.acceptor.records.items():
                    rows[lease] = acceptor_row(now, lease, record)
            for proposer in participant.proposers.values():
                if proposer.lease not in rows:
                    rows[proposer.lease] = proposer_row(proposer)
                fill_from_proposer(now, rows[proposer.lease], proposer)
        return [rows[lease] for lease in sorted(rows)]


def acceptor_row(now: float, lease: str, record: LeaseRecord) -> Row:
    """Return a lease as the acceptor knows it."""
    grant = record.grant
    waiting = [waiter.ballot.proposer for waiter in record.waiters.in_order(now)]
    if grant is None or grant.expires_at <= now:
        return {
            "name": lease,
            "holder": "",
            "token": 0,
            "state": FREE,
            "left_ms": 0,
            "waiting": waiting,
        }
    return {
        "name": lease,
        "holder": grant.ballot.proposer,
        "token": grant.token,
        "state": LeaseState.HELD.value,
        "left_ms": round((grant.expires_at - now) * 1000),
        "waiting": waiting,
    }


def proposer_row(proposer: Proposer) -> Row:
    """Return a lease that no acceptor here has a record of."""
    return {
        "name": proposer.lease,
        "holder": proposer.last_known_holder,
        "token": 0,
        "left_ms": 0,
        "waiting": [],
    }


def fill_from_proposer(now: float, row: Row, proposer: Proposer) -> None:
    """Add what one of this dispatcher's proposers knows; a holder's own values replace others."""
    if not proposer.is_held(now):
        row.setdefault("state", LeaseState.ACQUIRING.value)
        return
    row["holder"] = proposer.proposer_id
    row["token"] = proposer.token
    row["state"] = proposer.state(now).value
    row["left_ms"] = round(proposer.remaining_seconds(now) * 1000)


def missing_quorum(configuration: LeaseConfiguration, proposer: Proposer, now: float) -> str:
    """Return an error that names the acceptors missing for a quorum.

    Return "" if the lease is held or can be granted.
    """
    max_age_seconds = MAX_ANSWER_AGE_REFRESHES * configuration.waiter_refresh_seconds()
    answered = {name for name, at in proposer.answered_at.items() if now - at <= max_age_seconds}
    first_rounds_seconds = FIRST_ANSWER_ROUNDS * configuration.round_timeout_seconds
    awaits_first_answers = now - proposer.requested_at < first_rounds_seconds
    if proposer.is_held(now) or configuration.is_quorum(answered) or awaits_first_answers:
        return ""
    acceptors = configuration.all_acceptors
    missing = ", ".join(sorted(acceptors - answered))
    return f"no quorum: {len(answered)} of {len(acceptors)} voters answered, not {missing}"


# -- parameters -----------------------------------------------------------------------------------


def lease_name(request: AdminRequest) -> str:
    """Return the lease that the path names."""
    name = request.path_parameters[0]
    if not LEASE_NAME.fullmatch(name):
        quoted = repr(name[:MAX_QUOTED_CHARACTERS])
        raise BadRequestError(f"{quoted} is no lease's name: [a-z0-9._-], 1 to 64 of them")
    return name


def session_name_of(request: AdminRequest) -> str:
    """Return the session that the query names."""
    name = request.query.get("session", "")
    if not SESSION_NAME.fullmatch(name):
        raise BadRequestError("session: 8 to 64 letters, digits and hyphens")
    return name


def seconds_from_milliseconds(text: str) -> float | None:
    """Return the seconds of whole milliseconds; None if the text is no such number."""
    milliseconds = parse_whole_number(text, MAX_MILLISECONDS_DIGITS)
    return None if milliseconds is None else milliseconds / 1000
