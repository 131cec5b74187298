"""The bytes that hostile and faulty clients send, by the kind of their fault.

A `Traffic` describes one connection: the bytes that it sends, whether the client reads answers, and
how it leaves. `hostile_clients` sends it. There is no I/O here.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import StrEnum
from itertools import count

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
FILLED_HEAD_BYTES = MAX_HEAD_BYTES - 512  # room for the lines that make the message valid
FIELD_NAME_ALPHABET = "abcdefghijklmnopqrstuvwxyz0123456789"
MAX_AFFINITY_KEY_BYTES = 8000 - len("/revalue?user=")
BATCH_BYTES = 16 * 1024  # of small messages that are sent together
GEARMAN_PACKET_BYTES = 72 * 1024
GEARMAN_CAN_DO = 1
GEARMAN_SUBMIT_JOB = 7
GEARMAN_GET_STATUS = 15
GEARMAN_ECHO_REQ = 16
GEARMAN_SUBMIT_JOB_BG = 18


class Departure(StrEnum):
    """What a client does after its last byte."""

    STAY = "stay"  # it keeps the connection open and reads
    CLOSE = "close"  # it closes the connection (FIN; RST if answers are unread)
    RESET = "reset"  # it resets the connection (RST)
    HALF_CLOSE = "half-close"  # it ends its sending direction and reads


@dataclass(frozen=True, slots=True)
class Traffic:
    """What the clients of one kind send on each connection.

    `pieces` takes the connection's number, unique in the run, and yields the bytes to send.
    """

    pieces: Callable[[int], Iterator[bytes]]
    reads_answers: bool = True
    # The client waits for an answer after each piece.
    waits_for_answers: bool = False


def request_head(request_id: str, path: str, fields: str) -> bytes:
    """Return the head of a request of the lab's first class; `fields` are complete lines."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: d\r\nRequest-Id: {request_id}\r\nTenant: hron-asset\r\n"
        f"{fields}\r\n"
    ).encode("ascii")


def short_fields(max_bytes: int) -> str:
    """Return as many short header lines with different names as fit into `max_bytes`."""
    lines: list[str] = []
    size_bytes = 0
    for number in count():
        line = f"{_short_name(number)}:\r\n"
        size_bytes += len(line)
        if size_bytes > max_bytes:
            return "".join(lines)
        lines.append(line)
    raise AssertionError("unreachable: `count` has no end")


def _short_name(number: int) -> str:
    """Return the shortest field names in order."""
    name = ""
    while True:
        number, index = divmod(number, len(FIELD_NAME_ALPHABET))
        name += FIELD_NAME_ALPHABET[index]
        if not number:
            return name
        number -= 1


def request_id(connection_number: int, request_number: int) -> str:
    """Return an id that no other request of the run has."""
    return f"bad{connection_number:06x}{request_number:07x}"


def _unfinished_body(connection_number: int) -> Iterator[bytes]:
    """Send all but the last byte of a request of the largest size."""
    fields = f"Content-Length: {MAX_BODY_BYTES}\r\n"
    yield request_head(request_id(connection_number, 0), "/revalue", fields)
    yield b"x" * (MAX_BODY_BYTES - 1)


def _unfinished_body_many_fields(connection_number: int) -> Iterator[bytes]:
    """Send all but the last byte of a request with a head of very many short fields."""
    fields = f"Content-Length: {MAX_BODY_BYTES}\r\n" + short_fields(FILLED_HEAD_BYTES)
    yield request_head(request_id(connection_number, 0), "/revalue", fields)
    yield b"x" * (MAX_BODY_BYTES - 1)


def _unfinished_head(connection_number: int) -> Iterator[bytes]:  # noqa: ARG001  as all kinds
    """Send a head without its end."""
    yield b"POST /revalue HTTP/1.1\r\n" + short_fields(FILLED_HEAD_BYTES).encode()


def _many_fields(connection_number: int) -> Iterator[bytes]:
    """Send requests with heads of very many short fields, one after the other."""
    filling = short_fields(FILLED_HEAD_BYTES)
    for number in count():
        yield request_head(request_id(connection_number, number), "/revalue", filling)


def _one_repeated_field(connection_number: int) -> Iterator[bytes]:
    """Send requests whose head repeats one field as often as it fits."""
    filling = "a:\r\n" * (FILLED_HEAD_BYTES // 4)
    for number in count():
        yield request_head(request_id(connection_number, number), "/revalue", filling)


def _unfinished_tiny_chunks(connection_number: int) -> Iterator[bytes]:
    """Send a chunked body in chunks of two bytes, without its end."""
    fields = "Transfer-Encoding: chunked\r\n"
    yield request_head(request_id(connection_number, 0), "/revalue", fields)
    yield b"2\r\nxx\r\n" * (MAX_BODY_BYTES // 2 - 1)


def _tiny_chunks(connection_number: int) -> Iterator[bytes]:
    """Send requests with chunked bodies in chunks of one byte, one after the other."""
    body = b"1\r\nx\r\n" * MAX_BODY_BYTES + b"0\r\n\r\n"
    for number in count():
        identifier = request_id(connection_number, number)
        yield request_head(identifier, "/revalue", "Transfer-Encoding: chunked\r\n") + body


def _endless_trailers(connection_number: int) -> Iterator[bytes]:
    """Send a chunked body whose trailer section never ends."""
    fields = "Transfer-Encoding: chunked\r\n"
    yield request_head(request_id(connection_number, 0), "/revalue", fields) + b"0\r\n"
    while True:
        yield b"a:\r\n" * (BATCH_BYTES // 4)


def _slow_body(connection_number: int) -> Iterator[bytes]:
    """Send a large request in small pieces; the client's pause lies between them."""
    fields = f"Content-Length: {MAX_BODY_BYTES}\r\n"
    yield request_head(request_id(connection_number, 0), "/revalue", fields)
    for _ in range(MAX_BODY_BYTES // 1024 - 1):
        yield b"x" * 1024


def _held_requests(connection_number: int) -> Iterator[bytes]:
    """Send a request of the largest size that its worker holds, and more bytes behind it."""
    fields = f"Content-Length: {MAX_BODY_BYTES}\r\nRequest-Timeout-Ms: 5000\r\n"
    path = "/revalue?hold_ms=4000"
    yield request_head(request_id(connection_number, 0), path, fields) + b"x" * MAX_BODY_BYTES
    yield request_head(request_id(connection_number, 1), path, fields) + b"x" * (MAX_BODY_BYTES - 1)


def _large_requests(connection_number: int) -> Iterator[bytes]:
    """Send requests of the largest size, each after the answer to the one before."""
    fields = f"Content-Length: {MAX_BODY_BYTES}\r\nRequest-Timeout-Ms: 5000\r\n"
    for number in count():
        identifier = request_id(connection_number, number)
        yield request_head(identifier, "/revalue", fields) + b"x" * MAX_BODY_BYTES


def _small_requests(connection_number: int) -> Iterator[bytes]:
    """Send small requests of a class, many at once, without waiting for answers."""
    numbers = count()
    while True:
        yield b"".join(
            request_head(request_id(connection_number, next(numbers)), "/revalue", "")
            for _ in range(100)
        )


def _new_affinity_keys(connection_number: int) -> Iterator[bytes]:
    """Send requests with ever new and long affinity keys, each after the last answer."""
    for number in count():
        key = f"{connection_number}-{number}-".ljust(12_000, "k")
        identifier = request_id(connection_number, number)
        yield request_head(identifier, f"/revalue?user={key}", "")


def _new_affinity_keys_at_the_bound(connection_number: int) -> Iterator[bytes]:
    """Send requests with ever new affinity keys of the largest size that is read."""
    for number in count():
        key = f"{connection_number}-{number}-".ljust(MAX_AFFINITY_KEY_BYTES, "k")
        identifier = request_id(connection_number, number)
        yield request_head(identifier, f"/revalue?user={key}", "")


def _many_query_parameters(connection_number: int) -> Iterator[bytes]:
    """Send requests whose query has as many parameters as fit, each after the last answer."""
    query = "&".join(["a=1"] * 3500)
    for number in count():
        yield request_head(request_id(connection_number, number), f"/revalue?{query}", "")


def _one_request_id(connection_number: int) -> Iterator[bytes]:  # noqa: ARG001  as all kinds
    """Send requests that all have the id of the first one, many at once."""
    while True:
        yield request_head("badfeed", "/revalue?hold_ms=4000", "") * 100


def _expired_requests(connection_number: int) -> Iterator[bytes]:
    """Send requests whose time is up at once, many together."""
    numbers = count()
    while True:
        yield b"".join(
            request_head(
                request_id(connection_number, next(numbers)),
                "/revalue",
                "Request-Timeout-Ms: 0\r\n",
            )
            for _ in range(100)
        )


def _unknown_class(connection_number: int) -> Iterator[bytes]:
    """Send a request of a class that does not exist; its error closes the connection."""
    yield request_head(request_id(connection_number, 0), "/nothing", "")


def _readiness_checks(connection_number: int) -> Iterator[bytes]:  # noqa: ARG001  as all kinds
    """Send readiness checks without an end."""
    while True:
        yield b"GET /-/ready HTTP/1.1\r\n\r\n" * (BATCH_BYTES // 28)


def notification(identifier: str, worker_id: str, state: str, result_json: str) -> bytes:
    """Return a worker's notification."""
    body = f'{{"id":"{identifier}","from":"{worker_id}","state":"{state}","result":{result_json}}}'
    head = f"POST /_jobs/news HTTP/1.1\r\nHost: d\r\nContent-Length: {len(body)}\r\n\r\n"
    return (head + body).encode()


def _notifications(connection_number: int) -> Iterator[bytes]:
    """Send small notifications of unknown requests, under ever new names, many at once."""
    numbers = count()
    while True:
        yield b"".join(
            notification(
                request_id(connection_number, next(numbers)),
                f"w-{connection_number}-{next(numbers)}",
                "done",
                "1",
            )
            for _ in range(100)
        )


def _large_notifications(connection_number: int) -> Iterator[bytes]:
    """Send notifications whose results are large and cost many times their bytes decoded."""
    result = "[" + ",".join(["{}"] * 21_000) + "]"
    for number in count():
        yield notification(request_id(connection_number, number), "w-1", "done", result)


def _unreadable_notifications(connection_number: int) -> Iterator[bytes]:  # noqa: ARG001
    """Send notifications that are no JSON; the error closes the connection."""
    yield b"POST /_jobs/news HTTP/1.1\r\nContent-Length: 2\r\n\r\n{]"


def _silence(connection_number: int) -> Iterator[bytes]:  # noqa: ARG001  as all kinds
    """Send nothing."""
    yield from ()


def _bytes_after_error(connection_number: int) -> Iterator[bytes]:
    """Go on sending at full speed after an error that has ended the session."""
    yield request_head(request_id(connection_number, 0), "/nothing", "")
    while True:
        yield b"x" * BATCH_BYTES


def packet(kind: int, *arguments: bytes) -> bytes:
    """Return a Gearman packet."""
    body = b"\0".join(arguments)
    return b"\0REQ" + kind.to_bytes(4, "big") + len(body).to_bytes(4, "big") + body


def _gearman_unfinished_packet(connection_number: int) -> Iterator[bytes]:  # noqa: ARG001
    """Send all but the last byte of a Gearman packet of the largest size."""
    yield packet(GEARMAN_ECHO_REQ, b"x" * GEARMAN_PACKET_BYTES)[:-1]


def _gearman_echo(connection_number: int) -> Iterator[bytes]:  # noqa: ARG001  as all kinds
    """Ask for large echoes without an end."""
    while True:
        yield packet(GEARMAN_ECHO_REQ, b"x" * (GEARMAN_PACKET_BYTES - 64))


def _gearman_small_echo(connection_number: int) -> Iterator[bytes]:  # noqa: ARG001  as all kinds
    """Ask for empty echoes without an end."""
    while True:
        yield packet(GEARMAN_ECHO_REQ, b"") * (BATCH_BYTES // 12)


def _gearman_status(connection_number: int) -> Iterator[bytes]:
    """Ask for the status of ever new handles."""
    numbers = count()
    while True:
        yield b"".join(
            packet(GEARMAN_GET_STATUS, f"H:{connection_number}:{next(numbers)}".encode())
            for _ in range(100)
        )


def _gearman_functions(connection_number: int) -> Iterator[bytes]:
    """Register ever new functions."""
    numbers = count()
    while True:
        yield b"".join(
            packet(GEARMAN_CAN_DO, f"f-{connection_number}-{next(numbers)}".encode())
            for _ in range(100)
        )


def _gearman_max_queue(connection_number: int) -> Iterator[bytes]:
    """Set the longest queue of ever new functions by the text command."""
    numbers = count()
    while True:
        yield "".join(
            f"maxqueue f-{connection_number}-{next(numbers)} 5\n" for _ in range(100)
        ).encode()


def _gearman_background_jobs(connection_number: int) -> Iterator[bytes]:
    """Submit background jobs of the largest size, with ever new unique ids."""
    for number in count():
        unique = f"{connection_number}-{number}".encode()
        workload = b"x" * MAX_BODY_BYTES
        yield packet(GEARMAN_SUBMIT_JOB_BG, b"hron-asset/revalue", unique, workload)


def _gearman_small_jobs(connection_number: int) -> Iterator[bytes]:
    """Submit small jobs with ever new unique ids, many at once."""
    numbers = count()
    while True:
        yield b"".join(
            packet(
                GEARMAN_SUBMIT_JOB,
                b"hron-asset/revalue",
                f"{connection_number}-{next(numbers)}".encode(),
                b"x",
            )
            for _ in range(100)
        )


def _gearman_unknown_function(connection_number: int) -> Iterator[bytes]:
    """Submit jobs of functions that do not exist, many at once."""
    numbers = count()
    while True:
        yield b"".join(
            packet(
                GEARMAN_SUBMIT_JOB, f"no/{connection_number}-{next(numbers)}".encode(), b"", b"x"
            )
            for _ in range(10)
        )


TRAFFIC_BY_KIND = {
    "unfinished-body": Traffic(_unfinished_body),
    "unfinished-body-many-fields": Traffic(_unfinished_body_many_fields),
    "unfinished-head": Traffic(_unfinished_head),
    "many-fields": Traffic(_many_fields, waits_for_answers=True),
    "one-repeated-field": Traffic(_one_repeated_field, waits_for_answers=True),
    "unfinished-tiny-chunks": Traffic(_unfinished_tiny_chunks),
    "tiny-chunks": Traffic(_tiny_chunks, waits_for_answers=True),
    "endless-trailers": Traffic(_endless_trailers),
    "slow-body": Traffic(_slow_body),
    "held-requests": Traffic(_held_requests),
    "large-requests": Traffic(_large_requests, waits_for_answers=True),
    "small-requests": Traffic(_small_requests),
    "new-affinity-keys": Traffic(_new_affinity_keys, waits_for_answers=True),
    "new-affinity-keys-at-the-bound": Traffic(
        _new_affinity_keys_at_the_bound, waits_for_answers=True
    ),
    "many-query-parameters": Traffic(_many_query_parameters, waits_for_answers=True),
    "one-request-id": Traffic(_one_request_id),
    "expired-requests": Traffic(_expired_requests),
    "unknown-class": Traffic(_unknown_class),
    "readiness-checks": Traffic(_readiness_checks),
    "readiness-checks-unread": Traffic(_readiness_checks, reads_answers=False),
    "notifications": Traffic(_notifications),
    "notifications-unread": Traffic(_notifications, reads_answers=False),
    "large-notifications": Traffic(_large_notifications),
    "unreadable-notifications": Traffic(_unreadable_notifications),
    "bytes-after-error": Traffic(_bytes_after_error),
    "silence": Traffic(_silence),
    "gearman-unfinished-packet": Traffic(_gearman_unfinished_packet),
    "gearman-echo-unread": Traffic(_gearman_echo, reads_answers=False),
    "gearman-small-echo": Traffic(_gearman_small_echo),
    "gearman-status": Traffic(_gearman_status),
    "gearman-functions": Traffic(_gearman_functions),
    "gearman-max-queue": Traffic(_gearman_max_queue),
    "gearman-background-jobs": Traffic(_gearman_background_jobs),
    "gearman-small-jobs": Traffic(_gearman_small_jobs),
    "gearman-unknown-function": Traffic(_gearman_unknown_function),
}
