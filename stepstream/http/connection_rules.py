"""Decisions about inbound HTTP connections; there is no state here."""


def counts_as_client(
    accepted_at_seconds: float, shutdown_started_at: float | None, new_connections_seconds: float
) -> bool:
    """Decide whether a peer that has sent only a part of its first message counts as a client.

    After SIGTERM, the front proxy opens connections for at most `new_connections_seconds`. A
    connection that opens later does not carry a client's request. Without this rule, peers that
    connect and never finish a message would delay the shutdown. Times are monotonic seconds. Before
    a shutdown (`shutdown_started_at` is None) every peer counts as a client.
    """
    if shutdown_started_at is None:
        return True
    return accepted_at_seconds <= shutdown_started_at + new_connections_seconds
