"""An inbound server on loopback sockets, and messages that its peers send."""

import socket
import threading

from stepstream.core.commands import Answer, Outcome
from stepstream.http.client_api import ClientApi
from stepstream.http.codec import write_request
from stepstream.http.server import InboundServer
from stepstream.runtime.clock import Clock
from stepstream.runtime.resident_memory import ResidentMemory
from tests.config.configurations import LIMITS, POLICY_SETTINGS
from tests.runtime.thread_ends import end_server
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS, wait_for

NOTIFICATION = write_request("POST", "/_jobs/news", {}, b'{"id":"01","from":"s","state":"started"}')
READINESS_CHECK = b"GET /-/ready HTTP/1.1\r\n\r\n"
WORKER_HOST = "127.0.0.9"


class ServerHarness:
    """A listening server whose events are recorded; there is no core to handle them."""

    def __init__(self, limits=LIMITS):
        self.events = []
        self.server = InboundServer(
            limits,
            Clock(),
            ClientApi(POLICY_SETTINGS),
            self.events.append,
            lambda host: host == WORKER_HOST,
            ResidentMemory(None),
        )
        spec = self.server.bind(("127.0.0.1", 0))
        self.server.start_listening(spec)
        self.port = spec.listener.getsockname()[1]
        self.accept_thread = threading.Thread(
            target=self.server.accept_loop, args=(spec,), daemon=True
        )
        self.accept_thread.start()

    def connect(self, host="127.0.0.1"):
        """Connect to the server from this loopback address."""
        address = ("127.0.0.1", self.port)
        return socket.create_connection(
            address, timeout=WAIT_TIMEOUT_SECONDS, source_address=(host, 0)
        )

    def enforce_timeouts_until(self, condition):
        """Enforce timeouts repeatedly, as the main thread does, until `condition()` is true."""
        wait_for(lambda: self.server.enforce_timeouts() or condition())

    def requests(self, event_type):
        """Return the requests of all events of a type, in order."""
        return [event.request for event in self.events if isinstance(event, event_type)]

    def close(self):
        """Stop listening and end the server's threads."""
        self.server.close_listeners()
        self.accept_thread.join(WAIT_TIMEOUT_SECONDS)
        end_server(self.server)


def answer_request(request, result="ok"):
    """Give an open request its final answer, as the decision thread does."""
    request.response_sink.answer(Answer(request, Outcome.SERVED, result))
