"""Which connections give up what they have buffered, when all of them hold too much together.

There is no state here. Any thread may call the function.
"""

from collections.abc import Iterable, Sequence

from stepstream.ports.connections import Connection

# More is freed than is needed, so that the next bytes do not choose again at once.
FREED_FRACTION_OF_BUFFERED = 0.125


def connections_to_shed(
    connections: Iterable[Connection], excess_bytes: int
) -> Sequence[Connection]:
    """Decide which connections are shed: those that hold most.

    Connections without an open request come first, and among them peers without a worker.

    `excess_bytes` is what the connections hold beyond the budget; without an excess, none is shed.
    A sound request is small or arrives at once, so that it seldom is among the largest.
    """
    if excess_bytes <= 0:
        return ()
    holding = [connection for connection in connections if connection.buffered_bytes()]
    holding.sort(
        key=lambda one: (not one.has_open_request(), one.is_external, one.buffered_bytes()),
        reverse=True,
    )
    held_bytes = sum(connection.buffered_bytes() for connection in holding)
    remaining_bytes = excess_bytes + held_bytes * FREED_FRACTION_OF_BUFFERED
    chosen = []
    for connection in holding:
        if remaining_bytes <= 0:
            break
        chosen.append(connection)
        remaining_bytes -= connection.buffered_bytes()
    return chosen
