"""Every size, count and time limit of the dispatcher, by concern.

The main thread derives the limits from the configuration, at the start and at a reload, and hands
them down; they are immutable, so any thread may read them. What a limit protects, or what happens
beyond it, stands beside it. Nobody compares or prints limits, so no methods are generated for
that: they would lengthen every start.
"""

from dataclasses import dataclass, field

from stepstream.config.node_config import NodeConfig

KIB = 1024
MIB = 1024 * KIB

# How memory and descriptors are divided.
RESERVED_MEMORY_MB = 20  # for the program itself, before any connection
LEAST_CONNECTION_MEMORY_MB = 4
CONNECTION_KIB = 128  # an inbound connection with its thread, about
LEAST_CONNECTIONS = 4
# Descriptors beside the connections counted below: listeners, files, connections being closed.
MAX_UNASSIGNED_DESCRIPTORS = 64
MAX_RESERVED_FOR_WORKERS = 48
MAX_CALL_THREADS = 200
LEAST_CALL_THREADS = 2
GEARMAN_JOBS_PER_MB = 20
LEAST_GEARMAN_JOBS = 100
# Fraction of a worker's idle timeout after which an idle connection to it is not used again.
OUTBOUND_IDLE_FRACTION = 0.5
LEAST_SHUTDOWN_SECONDS = 0.4
MICROSECONDS = 1e6


@dataclass(frozen=True, eq=False, repr=False)
class SizeLimits:
    """Sizes in bytes."""

    head_bytes: int = 16 * KIB  # a message's first line and headers
    body_bytes: int = 64 * KIB  # the platform's bound for a body
    endpoint_list_bytes: int = 4 * MIB  # discovery's answers
    chunk_line_bytes: int = 256  # the line before a chunk
    read_bytes: int = 16 * KIB  # one read from a socket
    thread_stack_bytes: int = 256 * KIB  # ujson needs most of it for deep nesting
    unsent_bytes: int = 1 * MIB  # that wait for one peer to take them; with more it is closed
    admin_body_bytes: int = 64 * KIB  # of an admin request, or of a forwarded notification
    handover_bytes: int = 1 * MIB  # the state of a hot restart; more is not read


@dataclass(frozen=True, eq=False, repr=False)
class GearmanLimits:
    """Limits of the Gearman front and carrier."""

    packet_bytes: int = 72 * KIB  # a body and its names
    text_line_bytes: int = 1024  # a text command
    unique_id_bytes: int = 256
    # WORK_DATA and WORK_WARNING of one job, buffered until its outcome
    partial_result_bytes: int = 256 * KIB
    in_flight_workload_bytes: int = 32 * MIB  # workloads of all open jobs
    workers: int = 250
    functions_per_worker: int = 256
    errors_per_connection: int = 16  # of one connection, before it is closed
    open_jobs: int = 4000  # each costs a few KiB beside its workload
    # registrations and text commands of one peer before each costs it a pause
    registration_changes: int = 300
    registration_change_pause_seconds: float = 0.01  # between two of a slowed peer
    core_backlog_events: int = 64  # events queued for the core; with more, clients are not read
    core_backlog_check_seconds: float = 0.005  # between two checks of that backlog


@dataclass(frozen=True, eq=False, repr=False)
class ConnectionLimits:
    """Counts of connections and of the threads that serve them."""

    inbound: int = 500  # connections of clients and workers, one thread each
    outbound: int = 350  # connections to workers, idle ones included
    reserved_for_workers: int = MAX_RESERVED_FOR_WORKERS  # of the inbound ones
    # a few fewer than the others: notifications may come from hosts that discovery does not name
    open_requests: int = 430
    call_threads: int = MAX_CALL_THREADS  # outbound calls between their start and their 202
    # evicted connections that their threads have yet to close; with more, new ones are rejected
    evicted_unclosed: int = 32
    lingering: int = 16  # connections shut down here that are closed a while later
    evictions_at_once: int = 32  # connections that one shortage may evict
    slow_writer_threads: int = 8  # for answers that a slow client does not take at once
    listen_backlog: int = 1024
    admin: int = 32  # admin requests open at once; the oldest unfinished one is evicted
    forwarder_threads: int = 4  # that forward notifications to the sibling process


@dataclass(frozen=True, eq=False, repr=False)
class Timeouts:
    """Timeouts of connections and calls, in seconds."""

    accept_retry_seconds: float = 0.01  # after a failed accept
    connect_seconds: float = 0.25
    write_seconds: float = 2.0  # a peer that takes nothing for so long is given up
    first_message_seconds: float = 2.0  # from the connect on, on a new connection
    message_seconds: float = 2.0  # a later message, from its first byte to its last
    linger_seconds: float = 2.0  # after the last answer, for the peer to close
    inbound_idle_seconds: float = 120.0  # of a connection that has brought jobs or notifications
    # a new connection without a complete message is the next to be evicted by then
    unproven_seconds: float = 1.0
    rejected_linger_seconds: float = 1.0
    # after a shutdown of a connection: for the peer's bytes on their way, and its end
    close_grace_seconds: float = 0.3
    evictable_idle_seconds: float = 0.05  # quiet for so long, an inbound connection may be evicted
    # well before the worker closes: a request must not cross its closing
    outbound_idle_seconds: float = 5.0
    outbound_reuse_delay_seconds: float = 0.05  # from an answer to the connection's next call
    call_queue_seconds: float = 0.3  # a call not begun by then ends as not sent
    call_answer_seconds: float = 30.0  # backstop of a read; the core ends calls long before
    # from an answer's first byte to its last; each read extends the next one's bound
    answer_body_seconds: float = 1.0
    cancel_answer_seconds: float = 1.0
    health_check_seconds: float = 1.0
    admin_poll_seconds: float = 0.05  # the admin listener checks its timers at least so often
    admin_request_seconds: float = 5.0  # for a complete admin request; callers may take 4 s
    forward_seconds: float = 0.5  # for the sibling process to take a forwarded notification
    # after /healthcheck/fail: the front goes on sending for 0.2 s after its first refusal
    drain_close_seconds: float = 0.5


@dataclass(frozen=True, eq=False, repr=False)
class StartupTimeouts:
    """How long a start waits for a first endpoint list, in seconds."""

    first_endpoint_list_seconds: float = 6.0  # then the node is ready without a list
    # for an agent beside the node that pushes lists, before clients are listened to
    first_agent_list_seconds: float = 0.6


@dataclass(frozen=True, eq=False, repr=False)
class ShutdownTimeouts:
    """Times of a shutdown after SIGTERM, in seconds.

    The platform kills a stopped dispatcher after the longest deadline, taken as at most
    `longest_deadline_seconds`, and `kill_grace_seconds` more.
    """

    longest_deadline_seconds: float = 3.0
    kill_grace_seconds: float = 0.7
    answer_margin_seconds: float = 0.3  # everything is answered so long before the kill
    close_margin_seconds: float = 1.5  # clients' connections close so long before the kill
    # The following count from SIGTERM on.
    serving_seconds: float = 2.2  # clients are served on their open connections for so long
    answering_seconds: float = 3.4  # everything is answered by then
    arrivals_seconds: float = 0.4  # the front opens new connections for so long at most
    quiet_seconds: float = 0.3  # nothing owed for so long means that the front has noticed
    least_seconds: float = 0.8  # the process does not end sooner, however quiet it is
    longest_seconds: float = 60.0  # the process ends then, whatever is owed
    poll_seconds: float = 0.02  # between two checks of what is owed


@dataclass(frozen=True, eq=False, repr=False)
class LoopLimits:
    """Periods and batch sizes of the decision thread and of the main thread."""

    timer_tick_us: int = 2_000  # resolution of the timer wheel
    # calls time out so long before the deadline: an answer takes time to write
    answer_margin_us: int = 4_000
    longest_wait_seconds: float = 0.5  # of the decision thread, for an event or a timer
    event_batch: int = 256  # events that the core takes at a time
    sweep_seconds: float = 0.5  # between two runs of the main thread's periodic tasks
    # the main thread's longest wait: a signal is handled by then at the latest
    signal_wait_seconds: float = 0.05
    status_period_seconds: float = 60.0  # between two `status` events in the log


@dataclass(frozen=True, eq=False, repr=False)
class LogLimits:
    """Rate limit of the log events of one kind of bad input."""

    lines_per_period: int = 10  # further ones are counted, and the next line says how many
    period_seconds: float = 10.0


@dataclass(frozen=True, eq=False, repr=False)
class Limits:
    """All limits, by concern."""

    sizes: SizeLimits = field(default_factory=SizeLimits)
    gearman: GearmanLimits = field(default_factory=GearmanLimits)
    connections: ConnectionLimits = field(default_factory=ConnectionLimits)
    timeouts: Timeouts = field(default_factory=Timeouts)
    startup: StartupTimeouts = field(default_factory=StartupTimeouts)
    shutdown: ShutdownTimeouts = field(default_factory=ShutdownTimeouts)
    loop: LoopLimits = field(default_factory=LoopLimits)
    logging: LogLimits = field(default_factory=LogLimits)


def limits_for(config: NodeConfig) -> Limits:
    """Derive the limits of a dispatcher from its configured memory, descriptors and settings."""
    connections = connection_limits(config.sockets, config.memory_mb)
    worker_idle_seconds = config.settings.worker_idle_timeout_us / MICROSECONDS
    return Limits(
        gearman=gearman_limits(config.memory_mb, connections),
        connections=connections,
        timeouts=Timeouts(
            connect_seconds=config.settings.connect_timeout_us / MICROSECONDS,
            outbound_idle_seconds=worker_idle_seconds * OUTBOUND_IDLE_FRACTION,
        ),
        shutdown=shutdown_timeouts(config),
    )


def connection_limits(descriptors: int, memory_mb: int) -> ConnectionLimits:
    """Divide the descriptors between inbound and outbound connections, within the memory."""
    unassigned = min(MAX_UNASSIGNED_DESCRIPTORS, descriptors // 4)
    assigned = descriptors - unassigned
    connection_memory_mb = max(memory_mb - RESERVED_MEMORY_MB, LEAST_CONNECTION_MEMORY_MB)
    by_memory = connection_memory_mb * KIB // CONNECTION_KIB
    inbound = max(min(assigned * 2 // 3, by_memory), LEAST_CONNECTIONS)
    outbound = max(min(assigned - inbound, by_memory), LEAST_CONNECTIONS)
    reserved_for_workers = min(MAX_RESERVED_FOR_WORKERS, inbound // 4)
    return ConnectionLimits(
        inbound=inbound,
        outbound=outbound,
        reserved_for_workers=reserved_for_workers,
        open_requests=max((inbound - reserved_for_workers) * 15 // 16, 1),
        evicted_unclosed=unassigned // 2,
        lingering=unassigned // 4,
        call_threads=max(min(MAX_CALL_THREADS, outbound), LEAST_CALL_THREADS),
    )


def gearman_limits(memory_mb: int, connections: ConnectionLimits) -> GearmanLimits:
    """Bound Gearman's workers by the connections, its jobs by the memory."""
    return GearmanLimits(
        workers=max(connections.inbound // 2, 1),
        in_flight_workload_bytes=max(memory_mb // 6, 1) * MIB,
        open_jobs=max(memory_mb * GEARMAN_JOBS_PER_MB, LEAST_GEARMAN_JOBS),
    )


def shutdown_timeouts(config: NodeConfig) -> ShutdownTimeouts:
    """Fit the shutdown between SIGTERM and the platform's kill."""
    defaults = ShutdownTimeouts()
    longest_deadline_us = max(job_class.deadline_us for job_class in config.settings.classes)
    longest_deadline_seconds = min(
        longest_deadline_us / MICROSECONDS, defaults.longest_deadline_seconds
    )
    killed_at = longest_deadline_seconds + defaults.kill_grace_seconds  # seconds after SIGTERM
    serving_seconds = killed_at - defaults.close_margin_seconds
    answering_seconds = killed_at - defaults.answer_margin_seconds
    return ShutdownTimeouts(
        serving_seconds=max(serving_seconds, LEAST_SHUTDOWN_SECONDS),
        answering_seconds=max(answering_seconds, LEAST_SHUTDOWN_SECONDS),
    )
