"""An HTTP server with scripted answers, and an exchange of one message with any server."""

import contextlib
import socket
import threading

from stepstream.http.codec import Parser
from tests.config.configurations import LIMITS
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS

RECEIVE_BYTES = 65_536


class ScriptedServer:
    """Answer each request on 127.0.0.1 by `reply(message)`: bytes, or None to disconnect."""

    def __init__(self, reply):
        """Start to listen on a free port."""
        self.reply = reply
        self.requests = []
        self.peers = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        """Serve each connection by a thread, until the listener is closed."""
        while True:
            try:
                peer, _ = self.listener.accept()
            except OSError:
                return
            self.peers.append(peer)
            threading.Thread(target=self.serve, args=(peer,), daemon=True).start()

    def serve(self, peer):
        """Serve one connection; its peer may disconnect at any time."""
        with peer, contextlib.suppress(OSError):
            self.converse(peer, Parser(LIMITS))

    def converse(self, peer, parser):
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
    """Send a message and return the answer; on a new connection unless one is given."""
    peer = sock or socket.create_connection(("127.0.0.1", port), timeout=WAIT_TIMEOUT_SECONDS)
    parser = Parser(LIMITS, answers=True)
    peer.sendall(data)
    message = None
    while message is None:
        piece = peer.recv(RECEIVE_BYTES)
        parser.feed(piece)
        message = parser.next() if piece else parser.end()
        if message is None and not piece:
            raise ConnectionError("no answer")
    if sock is None:
        peer.close()
    return message
