"""The admin listener's driver: one thread, non-blocking sockets and poll, so that a caller who holds a
connection without a whole call holds nobody else up. Every connection is bounded in time and count.
"""

import select
import socket
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

from stepstream.admin.routing import Added, Asked, Denied, Verdict, route
from stepstream.config.limits import Limits
from stepstream.http.codec import Parser, ProtocolError, write_answer
from stepstream.ports.admin import AdminResponse, AdminRoute
from stepstream.runtime.log import RateLimitedLogger, log

IN, OUT = select.POLLIN, select.POLLOUT
GONE = select.POLLERR | select.POLLHUP | select.POLLNVAL


@dataclass
class Caller:
    sock: socket.socket
    parser: Parser
    begun: float
    out: bytearray = field(default_factory=bytearray)
    answered: bool = False  # its answer is written or on its way; what it sends now is not read


class AdminListener:
    """`answer` decides a readable call; `look` is called every turn, at least every `admin_turn` seconds."""

    def __init__(
        self,
        address: tuple[str, int],
        limits: Limits,
        answer: Callable[[Asked], Verdict],
        look: Callable[[float], None],
        paths: Sequence[AdminRoute] = (),
    ) -> None:
        """`paths`: what subsystems add. OSError if the address cannot be had."""
        self.limits, self.answer, self.look, self.paths = limits, answer, look, paths
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.listener.bind(address)
            self.listener.listen(limits.connections.admin)
            self.listener.setblocking(False)
        except OSError:
            self.listener.close()
            raise
        self.poll = select.poll()
        self.poll.register(self.listener, IN)
        self.callers: dict[int, Caller] = {}
        self.complaints = RateLimitedLogger("admin call", limits)

    def run(self) -> None:
        """Until the listener is closed."""
        while self.listener.fileno() >= 0:
            self.turn()

    def turn(self) -> None:
        for number, events in self.poll.poll(self.limits.timeouts.admin_poll_seconds * 1000):
            if events & select.POLLNVAL and number not in self.callers:
                return  # the listener is closed
            if number == self.listener.fileno():
                self.accept()
            elif number in self.callers:
                self.serve(self.callers[number], events)
        now = time.monotonic()
        for caller in [
            c
            for c in self.callers.values()
            if now - c.begun > self.limits.timeouts.admin_request_seconds
        ]:
            self.end(caller)
        self.look(now)

    def accept(self) -> None:
        for _ in range(self.limits.connections.admin):
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return  # none left, or gone before its accept
            if len(self.callers) >= self.limits.connections.admin:
                # Guards the next callers: the one waiting longest without a whole call makes room.
                self.end(min(self.callers.values(), key=lambda c: c.begun))
            sock.setblocking(False)
            parser = Parser(self.limits, max_body_bytes=self.limits.sizes.admin_body_bytes)
            self.callers[sock.fileno()] = Caller(sock, parser, time.monotonic())
            self.poll.register(sock, IN)

    def serve(self, caller: Caller, events: int) -> None:
        try:
            if events & OUT:
                self.send(caller)
            elif events & (IN | GONE):
                self.read(caller)
        except OSError:
            self.end(caller)

    def read(self, caller: Caller) -> None:
        data = caller.sock.recv(self.limits.sizes.read_bytes)
        if not data or caller.answered:
            self.end(caller)  # it has gone, or sends on behind its one call
            return
        caller.parser.feed(data)
        try:
            message = caller.parser.next()
        except ProtocolError as error:
            self.complaints.add(f"unread: {error}")
            self.reply(caller, error.status, f"{error}")
            return
        if message is None:
            return
        asked = route(message.method, message.target, self.paths)
        if isinstance(asked, Denied):
            self.complaints.add(f"{message.method} {message.target[:64]}: {asked.reason}")
            self.reply(caller, asked.status, asked.reason)
            return
        head = message.method == "HEAD"
        if isinstance(asked, Added):
            told = self.answer_added(asked, message.body)
            self.reply(caller, told.status, told.text, head, told.content_type)
            return
        verdict = self.answer(replace(asked, body=message.body))
        self.reply(caller, verdict.status, verdict.text, head)

    def answer_added(self, added: Added, body: bytes) -> AdminResponse:
        try:
            return added.path.answer(replace(added.call, body=body))
        except Exception as error:
            # Guards the listener, and the caller: a subsystem's fault is an answer, not a silence.
            log(f"fault in an admin call: {type(error).__name__}: {error}")
            return AdminResponse(500, "fault")

    def reply(
        self, caller: Caller, status: int, text: str, head: bool = False, kind: str = "text/plain"
    ) -> None:
        body = (text + "\n").encode("utf-8", "replace")
        data = write_answer(status, body, {"Content-Type": kind}, close=True)
        caller.out += data[: len(data) - len(body)] if head else data
        caller.answered = True
        self.send(caller)

    def send(self, caller: Caller) -> None:
        try:
            del caller.out[: caller.sock.send(caller.out)]
        except BlockingIOError:
            pass
        if caller.out:
            self.poll.modify(caller.sock, OUT)
            return
        self.end(caller)

    def end(self, caller: Caller) -> None:
        self.callers.pop(caller.sock.fileno(), None)
        try:
            self.poll.unregister(caller.sock)
        except (KeyError, ValueError):
            pass
        caller.sock.close()
