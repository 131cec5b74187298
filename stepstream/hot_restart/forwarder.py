"""Forwarding of workers' notifications to the admin listener of the sibling process.

The decision thread submits the notifications, and a pool of threads sends them, so that the
decision thread never waits for a peer.
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

FORWARDING_PATH = "/_jobs/news"  # a path of the admin listener
FORWARDED_HEADER = "Stepstream-Relayed"  # the receiver must not forward the notification again


class NotificationForwarder:
    """Sends each notification once, and drops it if the sibling does not accept it in time."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.threads = ThreadPool("relay", limits.connections.forwarder_threads)

    def submit(self, sibling: ProcessRecord, notification: JobNotification) -> None:
        """Forward a notification in a thread of the pool; any thread may call this."""
        self.threads.submit(self.forward, sibling, notification)

    def forward(self, sibling: ProcessRecord, notification: JobNotification) -> None:
        """Send the notification and wait for the answer, whose status is ignored."""
        headers = {"Host": sibling.admin_address, FORWARDED_HEADER: "1", "Connection": "close"}
        request = write_request("POST", FORWARDING_PATH, headers, notification_body(notification))
        try:
            connection = self._connect(sibling)
        except OSError:
            return
        with connection, contextlib.suppress(OSError, ProtocolError):
            self._exchange(connection, request)

    def _connect(self, sibling: ProcessRecord) -> socket.socket:
        address = split_address(sibling.admin_address)
        timeouts = self.limits.timeouts
        return connect(address, timeouts.connect_seconds, timeouts.forward_seconds)

    def _exchange(self, connection: socket.socket, request: bytes) -> None:
        """Write the request; read until one answer is complete or the connection ends."""
        set_socket_timeout(connection, socket.SO_RCVTIMEO, self.limits.timeouts.forward_seconds)
        connection.sendall(request)
        parser = Parser(self.limits, answers=True)
        while received := connection.recv(self.limits.sizes.read_bytes):
            parser.feed(received)
            if parser.next() is not None:
                return
