"""An HTTP server with scripted answers, and a client that exchanges one message with a server."""

import contextlib
import socket
import threading

from stepstream.http.codec import Parser
from tests.config.configurations import LIMITS
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS

RECEIVE_BYTES = 65_536


class ScriptedServer:
    """A server on 127.0.0.1 that answers each request by `reply(message)`.

    `reply` returns the bytes of the answer, or None to disconnect. `requests` records the messages.
    """

    def __init__(self, reply):
        """Start listening on a free port."""
        self.reply = reply
        self.requests = []
        self.peers = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept_connections, daemon=True).start()

    def accept_connections(self):
        """Serve each connection in its own thread, until the listener is closed."""
        while True:
            try:
                peer, _ = self.listener.accept()
            except OSError:
                return
            self.peers.append(peer)
            threading.Thread(target=self.serve_connection, args=(peer,), daemon=True).start()

    def serve_connection(self, peer):
        """Serve one connection until it ends; its peer may disconnect at any time."""
        with peer, contextlib.suppress(OSError):
            self.answer_requests(peer, Parser(LIMITS))

    def answer_requests(self, peer, parser):
        """Answer the requests of one connection."""
        while data := peer.recv(RECEIVE_BYTES):
            parser.feed(data)
            while (message := parser.next()) is not None:
                self.requests.append(message)
                answer = self.reply(message)
                if answer is None:
                    return
                peer.sendall(answer)

    def close(self):
        """Stop listening and disconnect every peer, which ends the threads."""
        for sock in (self.listener, *self.peers):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self.listener.close()


def exchange(port, data, sock=None):
    """Send a message to a local port, or on `sock` if it is given, and return the answer.

    If `data` is empty, only wait for the answer.
    """
    peer = sock or socket.create_connection(("127.0.0.1", port), timeout=WAIT_TIMEOUT_SECONDS)
    parser = Parser(LIMITS, answers=True)
    peer.sendall(data)
    message = None
    while message is None:
        received = peer.recv(RECEIVE_BYTES)
        parser.feed(received)
        message = parser.next() if received else parser.end()
        if message is None and not received:
            raise ConnectionError("no answer")
    if sock is None:
        peer.close()
    return message
