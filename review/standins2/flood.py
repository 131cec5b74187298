"""Bad clients: hundreds of requests at once, each the same again as soon as it is turned away.

Arguments: port, connections, seconds, bytes of a body. They read whatever is sent to them.
"""

import contextlib
import os
import socket
import sys
import threading
import time

from standins2.case import HOST
from standins2.web import Stream, encode


def run(port: int, connections: int, seconds: float, body_bytes: int) -> None:
    """Send at full speed from all connections until the time is over."""
    counts: dict[str, int] = {}
    ends_at = time.monotonic() + seconds
    body = b"x" * body_bytes

    def send_and_read(number: int) -> None:
        sent = 0
        while time.monotonic() < ends_at:
            with contextlib.suppress(OSError), socket.create_connection((HOST, port), 2.0) as sock:
                stream = Stream(sock)
                while time.monotonic() < ends_at:
                    sent += 1
                    headers = {
                        "Host": f"{HOST}:{port}",
                        "Request-Id": f"{os.getpid():08x}{number:03x}{sent:05x}",
                        "Tenant": "hron-asset",
                        "Request-Timeout-Ms": "5000",
                    }
                    sock.sendall(encode("POST /revalue HTTP/1.1", headers, body))
                    answer = stream.read()
                    if answer is None:
                        break
                    status = str(answer.status)
                    counts[status] = counts.get(status, 0) + 1
                    if answer.headers.get("connection") == "close":
                        break
            time.sleep(0.01)

    threads = [threading.Thread(target=send_and_read, args=(n,)) for n in range(connections)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print("bad clients' answers by status:", counts, flush=True)


if __name__ == "__main__":
    run(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), int(sys.argv[4]))
