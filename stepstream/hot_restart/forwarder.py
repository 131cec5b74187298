"""Forwarding of workers' notifications to the sibling process, by its admin listener.

Owns a pool of threads, so that the decision thread, which submits notifications, never waits for a
peer.
"""

import contextlib
import socket

from stepstream.config.fields import split_address
from stepstream.config.limits import Limits
from stepstream.core.events import JobNotification
from stepstream.hot_restart.process import ProcessRecord
from stepstream.http.codec import Parser, ProtocolError, write_request
from stepstream.http.worker_api import notification_body
from stepstream.runtime.sockets import connect, set_socket_timeout
from stepstream.runtime.threads import ThreadPool

FORWARDING_PATH = "/_jobs/news"  # the admin listener's
FORWARDED_HEADER = "Stepstream-Relayed"  # marks a notification that is not to be forwarded again


class NotificationForwarder:
    """Sends each notification once; one that the sibling does not take in time is dropped."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.threads = ThreadPool("relay", limits.connections.forwarder_threads)

    def submit(self, sibling: ProcessRecord, notification: JobNotification) -> None:
        """Forward in a thread of the pool; any thread may call it."""
        self.threads.submit(self.forward, sibling, notification)

    def forward(self, sibling: ProcessRecord, notification: JobNotification) -> None:
        """Send the notification and wait for the answer, whose status is ignored."""
        headers = {"Host": sibling.admin_address, FORWARDED_HEADER: "1", "Connection": "close"}
        data = write_request("POST", FORWARDING_PATH, headers, notification_body(notification))
        try:
            connection = self._connect(sibling)
        except OSError:
            return
        with connection, contextlib.suppress(OSError, ProtocolError):
            self._exchange(connection, data)

    def _connect(self, sibling: ProcessRecord) -> socket.socket:
        address = split_address(sibling.admin_address)
        timeouts = self.limits.timeouts
        return connect(address, timeouts.connect_seconds, timeouts.forward_seconds)

    def _exchange(self, connection: socket.socket, data: bytes) -> None:
        """Write the request and read one answer, or until the connection ends."""
        set_socket_timeout(connection, socket.SO_RCVTIMEO, self.limits.timeouts.forward_seconds)
        connection.sendall(data)
        parser = Parser(self.limits, answers=True)
        while received := connection.recv(self.limits.sizes.read_bytes):
            parser.feed(received)
            if parser.next() is not None:
                return
