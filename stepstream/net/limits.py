"""Every size, count and time of the network code, filled once at start and handed down."""

from dataclasses import dataclass

from stepstream.settings import Config


@dataclass(frozen=True)
class Limits:
    # sizes, in bytes
    head: int = 16 * 1024  # a message's first line and headers
    body: int = 64 * 1024  # the platform's bound for a body
    list_body: int = 4 * 1024 * 1024  # discovery's answers
    chunk_line: int = 256  # the line before a chunk
    read: int = 16 * 1024  # one read from a socket
    stack: int = 256 * 1024  # a thread's stack; ujson needs most of it for deep nesting
    packet: int = 72 * 1024  # one of Gearman's: a body and its names
    text_line: int = 1024  # a text command
    unique: int = 256
    pieces: int = 256 * 1024  # WORK_DATA and WORK_WARNING of one job, kept until its outcome
    held: int = 32 * 1024 * 1024  # workloads of all open Gearman jobs
    unsent: int = 1024 * 1024  # bytes that wait for one peer to take them
    # counts
    members: int = 250  # Gearman workers
    abilities: int = 256  # functions of one worker
    peer_errors: int = 16  # of one Gearman connection, before it is ended
    open_jobs: int = 4000  # Gearman's; each costs a few KiB beside its workload
    list_changes: int = (
        300  # what a Gearman peer may say of itself or ask in text before it is slowed
    )
    pressing: int = (
        64  # events that wait for the core; with more, Gearman clients are read no further
    )
    inbound: int = 500  # connections of clients and workers, one thread each
    outbound: int = 350  # connections to workers, idle ones included
    for_news: int = 48  # of the inbound ones; kept for workers' hosts
    open_requests: int = (
        430  # a few fewer than all others: news may come from hosts that discovery does not name
    )
    call_threads: int = 200  # outbound calls between their start and their 202
    lag: int = 32  # connections that have made room while their threads have yet to close them
    lingering: int = 16  # connections shut by us that are closed a while later
    evict_at_once: int = 32  # connections that make room for the next ones
    late_writers: int = 8  # threads for answers that a slow client does not take at once
    backlog: int = 1024
    admin_connections: int = 32  # operators' calls open at once; the oldest unfinished makes room
    admin_body: int = 64 * 1024  # of an operator's call, or of news passed on with its result
    handover_most: int = 1024 * 1024  # the handed-over state; more is not read
    relay_threads: int = 4  # that pass news on to the process beside this one
    log_lines: int = 10  # lines in a period on one sort of input that cannot be read
    batch: int = 256  # events that the core takes at a time
    # times, in microseconds
    tick_us: int = 2_000  # of the timer wheel
    early_us: int = (
        4_000  # calls are timed out so long before the deadline: an answer takes time to write
    )
    # times, in seconds
    nap: float = 0.5  # the decision thread's longest wait
    accept_pause: float = 0.01  # after a failed accept
    list_change: float = 0.01  # between two such words of a slowed peer
    pressed: float = 0.005  # between two looks at whether the core has caught up
    dial: float = 0.25
    write: float = 2.0  # a peer that takes nothing for so long is given up
    greeting: float = (
        2.0  # a new connection's first message, from the connect on; no stranger idles for longer
    )
    slow_peer: float = 2.0  # a later message, from its first byte to its last
    linger: float = 2.0  # a connection whose last answer is out waits so long for its peer to close
    inbound_idle: float = 120.0  # of a connection that has brought jobs or news
    stranger: float = (
        1.0  # a new connection without a whole message so far is the next to make room by then
    )
    turned_linger: float = 1.0
    parting: float = (
        0.3  # after we have shut a connection: for the peer's bytes on their way, and its end
    )
    spare_idle: float = (
        0.05  # an inbound connection that has been quiet for so long may have to make room
    )
    outbound_idle: float = (
        5.0  # well before the worker closes: a request must not cross its closing
    )
    outbound_rest: float = 0.05  # so long after its last answer a connection takes no further call
    queued: float = 0.3  # a call not begun by then ends as not sent
    call_silence: float = 30.0  # backstop of a call's read; the core ends calls long before
    answer_rest: float = (
        1.0  # from an answer's first byte to its last; each read bounds the next by it
    )
    delete_answer: float = 1.0
    probe: float = 1.0
    first_list: float = 6.0  # a start without a list waits so long for one before it takes clients
    agent_first: float = 0.6  # a start beside an agent of pushed lists waits so long for its word
    sweep: float = 0.5
    signal_wait: float = (
        0.05  # the main thread's longest wait: a signal is heard by then at the latest
    )
    status: float = 60.0  # between two status lines in the log
    stop_quiet: float = 0.3  # after SIGTERM: nothing owed for so long means the front has noticed
    stop_least: float = 0.8  # and never sooner than this
    kill_wait: float = (
        3.0  # a stopped dispatcher is killed after the longest deadline, taken as this at most
    )
    kill_more: float = 0.7  # and so much
    answer_before: float = 0.3  # all is answered so long before that
    close_before: float = 1.5  # and clients' connections close so long before
    stop_serving: float = (
        2.2  # after SIGTERM clients are served on the connections that they have for so long
    )
    stop_answer: float = 3.4  # and all is answered by then
    stop_arrivals: float = 0.4  # after SIGTERM the front's new connections come for so long at most
    stop_longest: float = 60.0
    stop_look: float = 0.02
    admin_turn: float = 0.05  # the admin listener looks at its timers at least so often
    admin_patience: float = (
        5.0  # an operator's call not whole by then is given up; callers may hold 4 s
    )
    log_period: float = 10.0
    relay_wait: float = 0.5  # for the process beside this one to take news passed on
    drain_close: float = (
        0.5  # after /healthcheck/fail: the front goes on sending for 0.2 s after its first no
    )


def limits_for(config: Config) -> Limits:
    """The descriptors are split between the two sides; both keep within what memory allows."""
    spare = min(64, config.sockets // 4)
    usable = config.sockets - spare
    by_memory = (
        max(config.memory_mb - 20, 4) * 1024 // 128
    )  # about 128 KiB a connection and its thread
    inbound = max(min(usable * 2 // 3, by_memory), 4)
    outbound = max(min(usable - inbound, by_memory), 4)
    for_news = min(48, inbound // 4)
    idle = config.settings.conn_idle_us / 1e6
    longest = max(kind.deadline_us for kind in config.settings.classes) / 1e6
    killed = min(longest, Limits.kill_wait) + Limits.kill_more
    return Limits(
        inbound=inbound,
        outbound=outbound,
        for_news=for_news,
        open_requests=max((inbound - for_news) * 15 // 16, 1),
        lag=spare // 2,
        lingering=spare // 4,
        members=max(inbound // 2, 1),
        held=max(config.memory_mb // 6, 1) * 1024 * 1024,
        open_jobs=max(config.memory_mb * 20, 100),
        call_threads=max(min(200, outbound), 2),
        dial=config.settings.dial_timeout_us / 1e6,
        outbound_idle=idle * 0.5,
        stop_serving=max(killed - Limits.close_before, 0.4),
        stop_answer=max(killed - Limits.answer_before, 0.4),
    )
