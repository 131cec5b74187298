"""The sending side of an inbound HTTP connection: replies leave in order, and nobody waits.

The thread that has a reply sends what the kernel accepts at once. A slow-writer thread of the
server's pool sends the rest, and the replies queued after it; meanwhile no other thread sends. The
connection's lock guards the fields; the callers of all methods but `_send_slowly` hold it.
"""

import threading
import time
from collections import deque
from collections.abc import Callable

from stepstream.http.session import Reply
from stepstream.runtime.threads import ThreadPool
from stepstream.runtime.transport import Transport


class ReplyWriter:
    """Sends a connection's replies; a peer that takes them too slowly is shut down."""

    def __init__(
        self,
        transport: Transport,
        lock: threading.Lock,
        threads: ThreadPool,
        *,
        on_sent: Callable[[Reply], None],
        on_caught_up: Callable[[], None],
    ) -> None:
        """`threads` are for slow peers.

        `on_sent` is called for each reply, `on_caught_up` once a slow peer has taken all of them;
        both under the lock.
        """
        self._transport = transport
        self._lock = lock
        self._threads = threads
        self._on_sent = on_sent
        self._on_caught_up = on_caught_up
        self._queue: deque[Reply] = deque()  # behind the reply that a slow writer sends
        self._has_ended = False  # if True, an active slow writer closes the socket
        self.is_slow = False  # if True, only a slow-writer thread sends; any thread may read it

    @property
    def pending_bytes(self) -> int:
        """The bytes that the peer has not taken yet."""
        return len(self._transport.unsent) + sum(len(reply.data) for reply in self._queue)

    def send(self, reply: Reply, answer_write_seconds: float) -> None:
        """Send a reply without waiting; the peer has this time to take what is left."""
        if self.is_slow:
            self._queue.append(reply)
            return
        try:
            if self._transport.send_available(reply.data):
                self._on_sent(reply)
                return
        except OSError:
            self._transport.shut_down()
            return
        self.is_slow = True
        deadline_seconds = time.monotonic() + answer_write_seconds
        self._threads.submit(self._send_slowly, reply, deadline_seconds)

    def end(self) -> None:
        """Close the socket, or let the active slow writer close it."""
        self._has_ended = True
        if self.is_slow:
            # If the socket were closed now, another one could get its descriptor while the slow
            # writer still sends.
            self._transport.shut_down()
        else:
            self._transport.close()

    def _send_slowly(self, reply: Reply, deadline_seconds: float) -> None:
        """Send the rest of a reply and the queued replies, waiting for the peer."""
        while True:
            try:
                self._transport.flush(deadline_seconds)
            except OSError:
                self._transport.shut_down()
            with self._lock:
                if self._has_ended:
                    self.is_slow = False
                    self._transport.close()
                    return
                self._on_sent(reply)
                if not self._queue:
                    self.is_slow = False
                    self._on_caught_up()
                    return
                reply = self._queue.popleft()
                self._transport.enqueue(reply.data)
