"""Every log event of the program: its name, its fields with their units, and its severity.

One function stands for one event. It has the event's name, and writes exactly one line. Call them
from any thread. docs/oncall.md explains each event; a test compares that page with this module.

The events of the membership, lease and identity subsystems that take a `logger` are written by it
as structured lines; all others are plain lines of `runtime.log`.
"""

from typing import Protocol

from stepstream.runtime.log import Severity, write_event


class StructuredLogger(Protocol):
    """Writes structured log lines; `structlog.BoundLogger` is one."""

    def info(self, event: str, **fields: object) -> object:
        """Write one line."""


# -- start, reload and shutdown of a dispatcher ---------------------------------------------------


def listener_started(*, dispatcher: str, address: str, protocol: str) -> None:
    """Log that a listener for clients and workers accepts connections."""
    write_event(
        Severity.INFO, "listener_started", dispatcher=dispatcher, address=address, protocol=protocol
    )


def status(*, counts: dict[str, int]) -> None:
    """Log what is open now and the counts since the start; see `node.status`."""
    write_event(Severity.INFO, "status", **counts)


def configuration_reloaded(*, dispatcher: str, discovery_address: str) -> None:
    """Log that a new configuration is in force."""
    write_event(
        Severity.INFO,
        "configuration_reloaded",
        dispatcher=dispatcher,
        discovery_address=discovery_address,
    )


def reload_failed(*, reason: str) -> None:
    """Log that a new configuration has a fault; the previous one stays in force."""
    write_event(Severity.ERROR, "reload_failed", reason=reason, in_force="previous configuration")


def shutdown_started(*, open_requests: int, hot_restart: bool) -> None:
    """Log a SIGTERM; with `hot_restart`, a sibling process serves the clients' address."""
    write_event(
        Severity.INFO, "shutdown_started", open_requests=open_requests, hot_restart=hot_restart
    )


def shutdown_finished() -> None:
    """Log that every request is answered and the process exits with 0."""
    write_event(Severity.INFO, "shutdown_finished")


def dispatcher_count_changed(*, dispatchers: int) -> None:
    """Log how many dispatchers share the workers from now on, this one included."""
    write_event(Severity.INFO, "dispatcher_count_changed", dispatchers=dispatchers)


def policy_message(*, text: str) -> None:
    """Log a message of the policy."""
    write_event(Severity.INFO, "policy_message", text=text)


# -- faults and resources -------------------------------------------------------------------------


def internal_fault(*, where: str, error: Exception) -> None:
    """Log an unexpected fault of the program in a thread, step or call."""
    write_event(
        Severity.ERROR,
        "internal_fault",
        where=where,
        error_type=type(error).__name__,
        error=str(error),
    )


def thread_start_failed(*, pool: str) -> None:
    """Log that the system could not start a thread; the task waits for another one of its pool."""
    write_event(Severity.WARNING, "thread_start_failed", pool=pool)


def accept_failed(*, reason: str, suppressed_events: int) -> None:
    """Log that a connection ended before it was accepted, or that no file descriptor was left."""
    write_event(
        Severity.WARNING, "accept_failed", reason=reason, suppressed_events=suppressed_events
    )


# -- discovery, workers and their load reports ----------------------------------------------------


def persisted_endpoint_list_ignored(*, reason: str) -> None:
    """Log that the endpoint list from before the start cannot be read."""
    write_event(Severity.WARNING, "persisted_endpoint_list_ignored", reason=reason)


def discovery_call_failed(*, reason: str, suppressed_events: int) -> None:
    """Log a failed call for the endpoint list, or a watch that was not answered in time."""
    write_event(
        Severity.WARNING,
        "discovery_call_failed",
        reason=reason,
        suppressed_events=suppressed_events,
    )


def endpoint_list_suspected_stale() -> None:
    """Log an extra poll in addition to the watch: active workers of the list refuse connections."""
    write_event(
        Severity.WARNING,
        "endpoint_list_suspected_stale",
        reason="active workers refuse connections",
        action="polled discovery in addition to the watch",
    )


def endpoint_list_overtaken(*, version: int, current_version: int | None) -> None:
    """Log an endpoint list that was not adopted: the list has changed since the call began.

    `current_version` is None if the complete list is to be fetched.
    """
    write_event(
        Severity.INFO, "endpoint_list_overtaken", version=version, current_version=current_version
    )


def worker_id_conflict(*, worker: str, source: str, owner: str) -> None:
    """Log that a source lists a worker id which another source, the owner, has listed before."""
    write_event(Severity.WARNING, "worker_id_conflict", worker=worker, source=source, owner=owner)


def worker_answer_unreadable(*, reason: str, suppressed_events: int) -> None:
    """Log a worker's answer to a call that is not valid HTTP; the reason names the worker."""
    write_event(
        Severity.WARNING,
        "worker_answer_unreadable",
        reason=reason,
        suppressed_events=suppressed_events,
    )


def load_report_ignored(*, reason: str, suppressed_events: int) -> None:
    """Log a load report that cannot be read."""
    write_event(
        Severity.WARNING, "load_report_ignored", reason=reason, suppressed_events=suppressed_events
    )


def resources_shared(*, process_count: int) -> None:
    """Log among how many processes the memory and the descriptors are divided from now on."""
    write_event(Severity.INFO, "resources_shared", process_count=process_count)


def request_ids_not_shared(*, reason: str) -> None:
    """Log that the processes of a hot restart do not know each other's request ids."""
    write_event(Severity.WARNING, "request_ids_not_shared", reason=reason)


def message_memory_exhausted(*, reason: str, suppressed_events: int) -> None:
    """Log that a message was rejected, or its connection ended, for want of memory."""
    write_event(
        Severity.WARNING,
        "message_memory_exhausted",
        reason=reason,
        suppressed_events=suppressed_events,
    )


def memory_usage_changed(  # noqa: PLR0913  each budget stands beside the memory
    *,
    pressure: str,
    memory_bytes: int,
    memory_limit_bytes: int,
    open_request_bytes: int,
    buffered_bytes: int,
    queued_result_bytes: int,
    connections: int,
    threads: int,
) -> None:
    """Log the counted memory beside its budgets, after a visible step or another pressure."""
    write_event(
        Severity.INFO,
        "memory_usage_changed",
        pressure=pressure,
        memory_bytes=memory_bytes,
        memory_limit_bytes=memory_limit_bytes,
        open_request_bytes=open_request_bytes,
        buffered_bytes=buffered_bytes,
        queued_result_bytes=queued_result_bytes,
        connections=connections,
        threads=threads,
    )


def job_notification_rejected(*, reason: str, suppressed_events: int) -> None:
    """Log a job notification that cannot be read; its sender got an error and the reason."""
    write_event(
        Severity.WARNING,
        "job_notification_rejected",
        reason=reason,
        suppressed_events=suppressed_events,
    )


# -- admin listener, maintenance and drain --------------------------------------------------------


def admin_listener_started(*, dispatcher: str, address: str) -> None:
    """Log that the admin listener accepts connections."""
    write_event(Severity.INFO, "admin_listener_started", dispatcher=dispatcher, address=address)


def admin_request_rejected(*, reason: str, suppressed_events: int) -> None:
    """Log an admin request that cannot be read or routed."""
    write_event(
        Severity.WARNING,
        "admin_request_rejected",
        reason=reason,
        suppressed_events=suppressed_events,
    )


def worker_maintenance_started(*, worker: str, requested_at: str, in_maintenance: int) -> None:
    """Log that a worker gets no new jobs.

    `requested_at` is the dispatcher at which the operators asked for it; `in_maintenance` counts
    the workers that are in maintenance now.
    """
    write_event(
        Severity.INFO,
        "worker_maintenance_started",
        worker=worker,
        requested_at=requested_at,
        in_maintenance=in_maintenance,
    )


def worker_maintenance_ended(*, worker: str, requested_at: str, in_maintenance: int) -> None:
    """Log that a worker may serve again, in slow start; the fields are as at the start."""
    write_event(
        Severity.INFO,
        "worker_maintenance_ended",
        worker=worker,
        requested_at=requested_at,
        in_maintenance=in_maintenance,
    )


def maintenance_state_adopted(*, in_maintenance: int) -> None:
    """Log that this process has adopted the sibling process's maintenance state."""
    write_event(Severity.INFO, "maintenance_state_adopted", in_maintenance=in_maintenance)


def drain_started() -> None:
    """Log that readiness checks fail from now on."""
    write_event(Severity.INFO, "drain_started")


def drain_closing_connections() -> None:
    """Log that from now on connections are closed after their next answer."""
    write_event(Severity.INFO, "drain_closing_connections")


def drain_ended() -> None:
    """Log that readiness checks succeed again."""
    write_event(Severity.INFO, "drain_ended")


# -- hot restart ----------------------------------------------------------------------------------


def handover_state_missing() -> None:
    """Log a start without the state of an earlier process."""
    write_event(Severity.INFO, "handover_state_missing")


def handover_state_ignored(*, reason: str, at_start: bool) -> None:
    """Log a handed-over state that cannot be used; `at_start`: the process starts without it."""
    write_event(Severity.WARNING, "handover_state_ignored", reason=reason, at_start=at_start)


def handover_state_write_failed(*, reason: str) -> None:
    """Log that this process's state could not be written; the next change writes it again."""
    write_event(Severity.WARNING, "handover_state_write_failed", reason=reason)


def endpoint_list_adopted(*, version: object) -> None:
    """Log that this process starts with the endpoint list of the previous process."""
    write_event(Severity.INFO, "endpoint_list_adopted", version=version)


def sibling_process_changed(*, present: bool) -> None:
    """Log whether another process of this dispatcher listens on the clients' address."""
    write_event(Severity.INFO, "sibling_process_changed", present=present)


# -- identity -------------------------------------------------------------------------------------


def keys_reloaded(*, keys: int) -> None:
    """Log that a changed key file is in force, with its count of keys."""
    write_event(Severity.INFO, "keys_reloaded", keys=keys)


def client_certificate_unreadable(*, reason: str) -> None:
    """Log that a client's certificate passed the TLS handshake, but cannot be parsed."""
    write_event(Severity.WARNING, "client_certificate_unreadable", reason=reason)


def keys_reload_failed(*, reason: str) -> None:
    """Log that a changed key file cannot be used; the previous keys stay in force."""
    write_event(Severity.ERROR, "keys_reload_failed", reason=reason, in_force="previous keys")


def audit(  # noqa: PLR0913  one parameter per field
    logger: StructuredLogger,
    *,
    front: str,
    what: str,
    decision: str,
    reason: str,
    rule: str,
    caller: str,
    subject: str,
    key: str,
    left_out: int,
) -> None:
    """Log a decision of access control; operators' tools read its fields by these names.

    `what` is the operation, `key` the id of the token's key, and `left_out` the count of denials
    without a line since the last one; the field is absent if it is 0.
    """
    more = {"left_out": left_out} if left_out else {}
    logger.info(
        "audit",
        front=front,
        what=what,
        decision=decision,
        reason=reason,
        rule=rule,
        caller=caller,
        subject=subject,
        key=key,
        **more,
    )


# -- membership -----------------------------------------------------------------------------------


def membership_started(*, dispatcher: str, cluster: str, address: str) -> None:
    """Log that this dispatcher is a member of a cluster, at its address for datagrams."""
    write_event(
        Severity.INFO, "membership_started", dispatcher=dispatcher, cluster=cluster, address=address
    )


def member_state_changed(
    logger: StructuredLogger, *, member: str, before: str, after: str, by: str, why: str
) -> None:
    """Log a member's change of state; `by` names the member that reported it."""
    logger.info("member_state_changed", member=member, before=before, after=after, by=by, why=why)


def member_state_changes_omitted(logger: StructuredLogger, *, more: int) -> None:
    """Log how many further changes of one step have no line of their own."""
    logger.info("member_state_changes_omitted", more=more)


def membership_datagram_dropped(*, reason: str, suppressed_events: int) -> None:
    """Log a datagram that cannot be read; the reason names its sender."""
    write_event(
        Severity.WARNING,
        "membership_datagram_dropped",
        reason=reason,
        suppressed_events=suppressed_events,
    )


def maintenance_record_rejected(*, worker: str, known_workers: int, limit_key: str) -> None:
    """Log that a worker's maintenance is not shared: the table of records is full."""
    write_event(
        Severity.WARNING,
        "maintenance_record_rejected",
        worker=worker,
        known_workers=known_workers,
        limit_key=limit_key,
    )


# -- leases ---------------------------------------------------------------------------------------


def acceptor_recovering(*, dispatcher: str, recovery_seconds: float) -> None:
    """Log that this acceptor grants nothing until leases granted before its start have expired."""
    write_event(
        Severity.INFO,
        "acceptor_recovering",
        dispatcher=dispatcher,
        recovery_seconds=recovery_seconds,
    )


def acceptor_set_weak(*, key: str, acceptors: int, tolerated_failures: int) -> None:
    """Log a set of acceptors that tolerates no more failures than one acceptor less would."""
    write_event(
        Severity.WARNING,
        "acceptor_set_weak",
        key=key,
        acceptors=acceptors,
        tolerated_failures=tolerated_failures,
    )


def lease_message_dropped(*, reason: str, suppressed_events: int) -> None:
    """Log a lease or health-check message that cannot be read; the reason names its sender."""
    write_event(
        Severity.WARNING,
        "lease_message_dropped",
        reason=reason,
        suppressed_events=suppressed_events,
    )


def lease_state_changed(
    logger: StructuredLogger, *, lease: str, before: str, after: str, token: int, holder: str
) -> None:
    """Log a lease's change of state at this dispatcher, with its fencing token."""
    logger.info(
        "lease_state_changed", lease=lease, before=before, after=after, token=token, holder=holder
    )


def lease_state_changes_omitted(logger: StructuredLogger, *, more: int) -> None:
    """Log how many further changes of one step have no line of their own."""
    logger.info("lease_state_changes_omitted", more=more)


def lease_configuration_mismatch(logger: StructuredLogger, *, member: str, why: str) -> None:
    """Log a member with another lease configuration; neither grants the other anything."""
    logger.info("lease_configuration_mismatch", member=member, why=why)
