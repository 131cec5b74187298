"""The watch on discovery's list of workers."""

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from queue import Empty, SimpleQueue

pass
from stepstream.config.limits import Limits
from stepstream.core.endpoint_set import EndpointsUpdated
from stepstream.core.events import Event
from stepstream.http.codec import Parser, ProtocolError
from stepstream.http.destination_set import SOURCE, Address, DestinationSet
from stepstream.http.platform_api import DiscoveryApi, EndpointAnswer
from stepstream.http.poll_schedule import PollSchedule
from stepstream.runtime.log import RateLimitedLogger
from stepstream.runtime.sockets import connect, is_stale, receive_until, shut_down
from stepstream.runtime.threads import spawn_thread


class DiscoveryClient:
    """One address of discovery, called by a thread of its own; a reload retires it and begins another.

    When it calls is `Schedule`'s word; the module's asks only cut the first pause short. A watch that has not
    been answered in its time stays open beside the next call: given up before that one's answer, what it
    missed would count as told at once.
    """

    def __init__(
        self,
        limits: Limits,
        address: Address,
        side: DiscoveryApi,
        destinations: DestinationSet,
        post: Callable[[Event], None],
        complaints: RateLimitedLogger,
        schedule: PollSchedule,
    ) -> None:
        self.limits, self.where, self.side, self.complaints = limits, address, side, complaints
        self.destinations, self.post, self.schedule = destinations, post, schedule
        self.wakes: SimpleQueue[None] = SimpleQueue()  # each cuts the pause between two calls short
        self.version: int | None = None  # of the list that is held; 0 is a version like any other
        self.lock = threading.Lock()  # orders a list, or a new connection, against the end
        self.retired = self.renewing = False
        self.sock: socket.socket | None = None
        self.checking = threading.Lock()  # one check beside the watch at a time
        self.heard = threading.Event()  # the first answer is in

    def poll(self) -> None:
        """The module wants the list: where none is held, the first call is made now."""
        if self.version is None and not self.heard.is_set():
            self.poll_soon()

    def poll_soon(self) -> None:
        """The next call is made now."""
        self.wakes.put(None)

    def stop(self) -> None:
        """Its call ends now, and nothing of it is told once this returns."""
        with self.lock:
            self.retired = True
            if self.sock is not None:
                shut_down(self.sock)
        self.poll_soon()

    def learn(self, targets: EndpointAnswer, since: int | None = None) -> bool:
        """Takes over a list, also the one from before a start: a watch goes on from its version.

        `since`: only if that version is still the one that is held. Whether it was taken.
        """
        with self.lock:
            # Guards against a list of the address before a reload, which must not follow the new one's, and
            # against one that was overtaken.
            if self.retired or (since is not None and self.version != since):
                return False
            self.version = targets.version
            self.destinations.apply(targets)
            self.post(EndpointsUpdated(SOURCE, targets.update))
            return True

    def run(self) -> None:
        self.rest(self.schedule.first())
        while not self.retired:
            self.rest(self.follow())
        self.hang_up()

    def rest(self, seconds: float) -> None:
        if seconds > 0 and not self.retired:
            with contextlib.suppress(Empty):
                self.wakes.get(timeout=seconds)

    def follow(self) -> float:
        """One call and what comes of it; how long to wait before the next, in seconds.

        A watch from the version that is held; the whole list only where none is known: it is dear where a
        fleet asks. A failure changes nothing, is counted, and is called again soon.
        """
        begun, version = time.monotonic(), self.version
        try:
            targets = self.call(version)
        except Exception as error:
            # Any fault: without this thread nothing would be told any more.
            self.hang_up()
            if self.renewed():
                return 0.0
            if not self.retired:
                self.complaints.add(str(error))
            return self.schedule.failed()
        self.renewed()  # guards a later failure from passing for one that was asked for
        self.learn(targets)
        self.heard.set()
        if version is not None and targets.version < version:
            # Guards against a discovery that began to count anew: it would not tell what came before.
            self.version = None
        idle = version is not None and targets.version == version
        return self.schedule.answered(time.monotonic() - begun, idle)

    def call(self, version: int | None) -> EndpointAnswer:
        """The answer to a watch, or to a call beside one that stays silent; OSError or ProtocolError."""
        if version is None:
            return self.exchange(
                self.connect(), self.side.fetch_bytes(self.host), self.schedule.limit
            )
        sock, wait = self.connect(), self.schedule.wait
        data = self.side.watch_bytes(self.host, version, wait)
        try:
            return self.exchange(sock, data, wait + self.schedule.slack)
        except TimeoutError:
            self.complaints.add("a watch fell silent")
        targets = None
        while targets is None:
            try:
                targets = self.ask_beside(version)
            except (OSError, ProtocolError) as error:
                if self.retired:
                    raise
                self.complaints.add(str(error))
                self.rest(self.schedule.failed())
        self.hang_up()  # only now: what it missed is known
        return targets

    def ask_beside(self, version: int) -> EndpointAnswer:
        """The changes since then, on a connection of its own, answered at once."""
        begun, limit = time.monotonic(), self.schedule.limit
        sock = connect(self.where, limit, self.limits.timeouts.write_seconds)
        try:
            data = self.side.watch_bytes(self.host, version, 0.0)
            return self.exchange(sock, data, limit - (time.monotonic() - begun))
        finally:
            sock.close()

    def check(self) -> None:
        """The watch may have fallen silent: the list is asked for beside it, and it is opened anew if there
        is news. On a thread of its own; any thread may call this.
        """
        if self.checking.acquire(blocking=False):
            spawn_thread("discovery check", self.look_beside)

    def look_beside(self) -> None:
        try:
            version = self.version
            if version is None or self.retired:
                return
            targets = self.ask_beside(version)
            if targets.version != version and self.learn(targets, since=version):
                self.renew()
        except (OSError, ProtocolError) as error:
            self.complaints.add(str(error))
        finally:
            self.checking.release()

    def renew(self) -> None:
        """The watch is opened anew, from the version that is held."""
        with self.lock:
            if not self.retired and self.sock is not None:
                self.renewing = True
                shut_down(self.sock)

    def renewed(self) -> bool:
        with self.lock:
            renewing, self.renewing = self.renewing and not self.retired, False
            return renewing

    @property
    def host(self) -> str:
        return f"{self.where[0]}:{self.where[1]}"

    def exchange(self, sock: socket.socket, data: bytes, seconds: float) -> EndpointAnswer:
        """Reads on from the moment the call is written: a change counts as told once discovery wrote it.

        `seconds` bound the whole answer: one that comes in drips must not hold the list up.
        """
        until = time.monotonic() + seconds
        sock.sendall(data)
        parser = Parser(
            self.limits, answers=True, max_body_bytes=self.limits.sizes.endpoint_list_bytes
        )
        message = None
        while message is None:
            piece = receive_until(sock, until, self.limits.sizes.read_bytes)
            parser.feed(piece)
            message = parser.next() if piece else parser.end()
            if message is None and not piece:
                raise ProtocolError(400, "the connection ended before the answer")
        if sock is self.sock and (not message.keep_alive or not parser.idle):
            self.hang_up()
        return self.side.read_answer(message)

    def connect(self) -> socket.socket:
        if self.sock is not None and is_stale(self.sock):
            self.hang_up()
        if self.sock is None:
            sock = connect(self.where, self.schedule.limit, self.limits.timeouts.write_seconds)
            with self.lock:
                self.sock = sock
        if self.retired:
            # Guards against a call that begins while its address is being left.
            raise OSError("retired")
        return self.sock

    def hang_up(self) -> None:
        with self.lock:
            sock, self.sock = self.sock, None
        if sock is not None:
            sock.close()
