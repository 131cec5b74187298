"""The inbound side: clients' requests and workers' news, one reader thread a connection."""

import math
import socket
import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, IntEnum

from stepstream.dispatch import Answer, Arrived, Broken, Event, Left, Request, Told
from stepstream.net import platform
from stepstream.net.http1 import Message, Parser, ProtocolError, write_answer
from stepstream.net.limits import Limits
from stepstream.net.links import Link
from stepstream.net.sockets import hang_up, time_limit
from stepstream.net.threads import Clock, Crew, log
from stepstream.ports import Connection, Credential, Entrance, Gate, Turned, Visa


class Door:
    """What all inbound connections go by: the platform's words, and whether new work is taken."""

    def __init__(self, side: platform.ClientSide) -> None:
        self.side = side  # replaced by a reload, between two messages
        self.starting = False  # no list to serve from yet: the front is told to send nobody
        self.leaving = False  # after SIGTERM: the front is told to send nobody new
        self.closing = False  # some time later: connections close after their next answer
        self.failed = False  # the operators' drain: the front is told to send nobody new
        self.left_at: float | None = None  # monotonic seconds of SIGTERM
        self.drained = False  # some time later: as `closing`, until the drain ends
        self.gate: Gate | None = None  # who is calling, where an installation wants to know
        # Whether one more request would leave no connection for the news that ends it.
        self.crowded: Callable[[], bool] = lambda: False


@dataclass(frozen=True, slots=True)
class Reply:
    """Bytes that are due at once, with no word from the core."""

    data: bytes
    close: bool


Step = Reply | Request | Told


class Phase(Enum):
    READING = 1  # a message, or nothing yet
    WAITING = 2  # a request is open; what comes behind it stays unread
    CLOSED = 3


class Session:
    """An inbound connection as a state machine: bytes and answers in, steps and bytes out."""

    def __init__(self, limits: Limits, door: Door, link: Link | None = None) -> None:
        """`link`: what the gate may ask who is there; nothing is read or written here."""
        self.limits, self.door, self.link = limits, door, link
        self.visa: Visa | None = None  # of the open request
        self.parser = Parser(limits)
        self.phase = Phase.READING
        self.request: Request | None = None
        self.keep_alive = True
        self.of_worker = False  # it has brought news
        self.proven = False  # it has brought a job or news: it is no stranger
        self.answered = False  # it has had an answer: its next message has a time of its own

    @property
    def between(self) -> bool:
        """Nothing is owed and nothing half read: it may be closed."""
        return self.phase is Phase.READING and self.parser.idle

    def feed(self, data: bytes, now_us: int) -> list[Step]:
        if self.phase is Phase.CLOSED:
            return []
        self.parser.feed(data)
        if self.phase is Phase.WAITING:
            # Guards against a peer that sends on and on behind an open request.
            if len(self.parser.buffer) > self.limits.head + self.limits.body:
                return [self.refuse(ProtocolError(413, "too much behind an open request"))]
            return []
        return self.steps(now_us)

    def steps(self, now_us: int) -> list[Step]:
        found: list[Step] = []
        while self.phase is Phase.READING:
            try:
                message = self.parser.next()
                if message is None:
                    break
                self.keep_alive = message.keep_alive
                found += self.read(message, now_us)
            except ProtocolError as error:
                found.append(self.refuse(error))
        return found

    def read(self, message: Message, now_us: int) -> list[Step]:
        path = platform.path_of(message)
        if path == platform.NEWS:
            told = platform.read_news(message, self.door.side.reports)
            if self.door.gate is not None:
                name = platform.read_json(message.body)["from"]
                turned = self.door.gate.worker("http", self.credential(message), name)
                if turned is not None:
                    return [self.turn_away(turned)]
            self.of_worker = self.proven = True
            return [self.reply(200), *([told] if told else [])]
        if path == platform.READY:
            if message.method != "GET":
                raise ProtocolError(405, "only GET")
            away = self.door.starting or self.door.leaving or self.door.failed
            return [self.reply(503 if away else 200)]
        visa = self.visa_for(message)
        if isinstance(visa, Turned):
            return [self.turn_away(visa)]
        try:
            request = self.door.side.read_request(message, now_us, visa.tenant if visa else None)
        except ProtocolError:
            self.end_visa(visa)
            raise
        if self.door.crowded():
            self.end_visa(visa)
            # Guards the news: with every connection held by a waiting request none of them would ever end.
            self.phase = Phase.CLOSED
            return [Reply(platform.refusal(self.door.side.settings.max_retry_after_us, True), True)]
        self.request, self.phase, self.proven, self.visa = request, Phase.WAITING, True, visa
        return [self.request]

    def visa_for(self, message: Message) -> "Visa | Turned | None":
        if self.door.gate is None:
            return None
        side = self.door.side
        kind = side.settings.classes[side.class_of(message)].name
        tenant = message.headers.get("tenant")
        return self.door.gate.enter("http", self.credential(message), kind, tenant)

    def credential(self, message: Message) -> Credential:
        return Credential(platform.bearer(message), self.link.certificate if self.link else None)

    @staticmethod
    def end_visa(visa: Visa | None) -> None:
        if visa is not None:
            visa.end()

    def turn_away(self, turned: Turned) -> Reply:
        """The framing is whole: another request may follow, by somebody who may."""
        close = self.closing()
        self.phase, self.answered = Phase.CLOSED if close else Phase.READING, True
        return Reply(platform.turned_answer(turned, close), close)

    def closing(self) -> bool:
        # Open requests still wait for workers' news: those connections stay until the end. A request that has
        # been read behind this one is answered before its connection closes.
        closing = self.door.closing or self.door.drained
        return not self.keep_alive or (closing and not self.of_worker and not self.parser.whole())

    def reply(self, status: int) -> Reply:
        close = self.closing()
        self.phase, self.answered = Phase.CLOSED if close else Phase.READING, True
        return Reply(write_answer(status, close=close), close)

    def refuse(self, error: ProtocolError) -> Reply:
        """Ends the connection: behind a message in doubt nothing is read, and strangers hold no place."""
        self.phase = Phase.CLOSED
        return Reply(write_answer(error.status, close=True), True)

    def answer(self, answer: Answer) -> Reply | None:
        """The final answer's bytes; None if the request is no longer this connection's."""
        if self.phase is not Phase.WAITING or answer.request is not self.request:
            return None
        close = self.closing()
        data = platform.final_answer(answer.outcome, answer.result, answer.pause_us, close)
        self.request, self.phase, self.answered = (
            None,
            Phase.CLOSED if close else Phase.READING,
            True,
        )
        self.end_visa(self.visa)
        return Reply(data, close)

    def patience(self, limits: Limits) -> float:
        """For how long its peer may go on as it is; a stranger's silence is not that of an old client."""
        if self.phase is Phase.WAITING:
            return math.inf
        if self.phase is Phase.CLOSED:
            return limits.linger
        if self.between:
            return limits.inbound_idle if self.proven else limits.greeting
        return limits.slow_peer if self.answered else limits.greeting

    @property
    def owes(self) -> bool:
        """A message is half read or a request open."""
        return self.phase is Phase.WAITING or (self.phase is Phase.READING and not self.parser.idle)

    def closed(self) -> Request | None:
        """The peer has gone; the request that it leaves behind, if any."""
        left, self.request, self.phase = self.request, None, Phase.CLOSED
        self.end_visa(self.visa)
        return left


class Rank(IntEnum):
    """Who makes room first.

    An idle client's next request costs a new connection and no more; a new connection may be that of a client
    that takes its time, and closed before its first request that request has failed.
    """

    DONE = 1
    STRANGER = 2  # without a job or news for a good while
    IDLE = 3
    NEW = 4
    NEVER = 5  # a request is open


class Inbound:
    """A connection's driver. Its thread reads; whoever has an answer writes, never waiting for the peer."""

    def __init__(self, link: Link, house: "House", guest: bool = True) -> None:
        self.link, self.house, self.guest = link, house, guest  # guest: not from a worker's host
        self.lock = threading.Lock()
        self.session = Session(house.limits, house.door, link)
        self.writing = False  # a late writer is at work on the rest of an answer
        self.late: deque[Reply] = deque()  # what has come behind that
        self.ended = False  # the reader has left; the late writer closes the socket
        self.left = False  # it has made room and counts among those that leave
        # The last byte or answer; the current message's first byte or, once closed, the last answer's end.
        self.active = self.begun = self.came = time.monotonic()

    def run(self) -> None:
        try:
            self.read_on()
        finally:
            with self.lock:
                left = self.session.closed()
                self.ended = True
                if self.writing:
                    # Guards the late writer: a number closed under its hands may be another's socket by then.
                    self.link.hang_up()
                else:
                    self.link.close()
            self.house.forget(self)
            self.let_go(left)

    def let_go(self, left: Request | None) -> None:
        """Its client has gone: no call of it begins any more, also before the core has heard."""
        if left is not None:
            left.gone = True
            self.house.post(Left(left))

    def read_on(self) -> None:
        limits = self.house.limits
        time_limit(self.link.sock, socket.SO_SNDTIMEO, limits.write)
        try:
            self.link.begin()
        except OSError:
            return
        while True:
            try:
                if not self.link.wait(limits.read):
                    return
            except OSError:
                return
            if not self.survives():
                return

    def look(self, now: float) -> None:
        """Guards against half-open, silent and dawdling peers, which would hold their thread for ever."""
        with self.lock:
            session = self.session
            since = self.active if session.between else self.begun
            if self.writing or now - since <= session.patience(self.house.limits):
                return
            reply = None
            if session.phase is Phase.READING and not session.between:
                reply = session.refuse(ProtocolError(400, "too slow"))
            elif session.phase is Phase.CLOSED or not self.link.unread():
                if session.phase is Phase.CLOSED:
                    self.link.hang_up()
                else:
                    self.part(now)
        if reply is not None:
            self.write(reply)

    def survives(self) -> bool:
        """Guards a request against a fault in this thread: it is answered all the same."""
        try:
            return self.on_data()
        except Exception as error:
            log(f"fault in inbound: {type(error).__name__}: {error}")
            with self.lock:
                request = self.session.request
                reply = None if request else self.session.refuse(ProtocolError(500, "fault"))
            if request:
                self.house.post(Broken(request))
            else:
                self.write(reply)
            return True

    def on_data(self) -> bool:
        """Takes what has come; false once its connection is to be closed.

        Bytes leave the kernel under the lock only: whoever ends the connection sees those that nobody has
        taken, and no request can be taken before its end and looked at after it.
        """
        with self.lock:
            data = self.link.take(self.house.limits.read)
            now_us, now = self.house.clock.now_us(), time.monotonic()
            if self.session.phase is Phase.CLOSED:
                # Guards against a peer that goes on sending after its last answer.
                self.active = now
                return now - self.begun < self.house.limits.linger
            if self.session.between and self.session.answered:
                self.begun = now
            self.active = now
            steps = self.session.feed(data, now_us)
            # Guards against a peer that drips its message: each byte alone would renew its time.
            reading = self.session.phase is Phase.READING and not self.session.between
            if reading and now - self.begun > self.session.patience(self.house.limits):
                steps.append(self.session.refuse(ProtocolError(400, "too slow")))
        self.take(steps)
        return True

    def take(self, steps: list[Step]) -> None:
        for step in steps:
            match step:
                case Reply():
                    self.write(step)
                    if step.close:
                        with self.lock:
                            left = self.session.closed()
                        # An error ends the connection: it was the answer to what was open too.
                        self.let_go(left)
                case Request():
                    step.origin = self
                    self.house.post(Arrived(step))
                case Told():
                    self.house.post(step)

    def answer(self, answer: Answer) -> None:
        """Called by the decision thread: what the peer does not take at once goes to a late writer."""
        with self.lock:
            reply = self.session.answer(answer)
            if reply is None:
                return
            # What has come behind the request begins now, however long that took.
            self.active = self.begun = time.monotonic()
        self.write(reply)
        with self.lock:
            steps = (
                self.session.steps(self.house.clock.now_us()) if self.session.parser.buffer else []
            )
        self.take(steps)

    def write(self, reply: Reply) -> None:
        with self.lock:
            if self.writing:
                # Guards the order of bytes: one thread at a time sends.
                self.late.append(reply)
                return
            try:
                if self.link.offer(reply.data):
                    self.finish(reply)
                    return
            except OSError:
                self.link.hang_up()
                return
            self.writing = True
        self.house.writers.submit(self.write_rest, reply)

    def write_rest(self, reply: Reply) -> None:
        while True:
            try:
                self.link.finish()
            except OSError:
                self.link.hang_up()
            with self.lock:
                if self.ended:
                    self.writing = False
                    self.link.close()
                    return
                self.finish(reply)
                if not self.late:
                    self.writing = False
                    return
                reply = self.late.popleft()
                self.link.add(reply.data)

    def finish(self, reply: Reply) -> None:
        """Half a close: a full one could reset the connection and take the answer with it."""
        if reply.close:
            self.begun = (
                time.monotonic()
            )  # what it lingers from; the last byte says whether it may make room
            self.link.half_close()

    def progress(self, done: int, of: int) -> None:
        """HTTP/1.1 has no words for it."""

    def waiting(self) -> bool:
        return self.session.phase is Phase.WAITING

    def busy(self) -> bool:
        session = self.session
        stays = session.proven and not session.of_worker and session.phase is Phase.READING
        parting = session.phase is Phase.CLOSED and (
            time.monotonic() - self.begun < self.house.limits.parting
        )
        return self.owes() or self.writing or parting or (stays and not self.house.door.closing)

    def owes(self) -> bool:
        """A request is open, or a message half read that may yet be one of the front's.

        Guards the end of a stop against a crowd that connects and never finishes a message: after SIGTERM the
        front sends new connections for 0.4 s at most, and what a stranger began later is nobody's request.
        """
        session, left_at = self.session, self.house.door.left_at
        if not session.owes:
            return False
        if session.phase is Phase.WAITING or session.proven or left_at is None:
            return True
        return self.came <= left_at + self.house.limits.stop_arrivals

    def spare(self, now: float) -> tuple[Rank, float]:
        """The least makes room first, and among equals the one quiet for longest."""
        with self.lock:
            session = self.session
            if session.phase is Phase.WAITING or self.writing:
                return Rank.NEVER, math.inf
            since = self.begun if session.owes else self.active
            if session.phase is Phase.CLOSED:
                # Guards an error on its way to a peer that still sends: ended now, a reset would overtake it.
                return Rank.DONE, since
            if session.proven:
                return Rank.IDLE, since
            return Rank.STRANGER if now - since >= self.house.limits.stranger else Rank.NEW, since

    def part(self, now: float) -> None:
        """With the lock held, between messages: half a close; what the peer sent meanwhile is read to its end
        and dropped, for a close over unread bytes would reset the connection.
        """
        self.session.closed()
        self.begun = now
        self.link.half_close()

    def evict(self) -> bool:
        """Guards the budget: peers that dawdle or say nothing must not keep out those that work."""
        with self.lock:
            if (
                self.session.phase is Phase.WAITING
                or self.writing
                or (self.session.between and self.link.unread())
            ):
                return False
            self.session.closed()
            self.link.hang_up()
            return True

    def close_if_between(self) -> bool:
        """Between requests only, and not if bytes of the next one are here already."""
        with self.lock:
            if not self.session.between or self.session.of_worker or self.link.unread():
                return False
            self.part(time.monotonic())
            return True


class House:
    """The listening sockets, and every inbound connection within the one budget, whatever its protocol."""

    def __init__(
        self,
        limits: Limits,
        clock: Clock,
        side: platform.ClientSide,
        post: Callable[[Event], None],
        known_host: Callable[[str], bool] = lambda _: False,
    ) -> None:
        """`known_host` tells a worker's host: news must get in when strangers take every other place."""
        self.known_host = known_host
        self.limits, self.clock, self.post = limits, clock, post
        self.door = Door(side)
        self.door.crowded = self.crowded
        self.readers = Crew("inbound", limits.inbound)
        self.writers = Crew("late writer", limits.late_writers)
        self.lock = threading.Lock()
        self.inbound: set[Connection] = set()
        self.guests = 0  # of these, not from a worker's host
        self.leaving = 0  # connections that have made room but are not closed yet
        self.lingering: deque[tuple[float, socket.socket]] = (
            deque()
        )  # shut by us, and when to close them
        self.turned_away = 0
        self.entrances: list[Entrance] = []

    def reconfigure(self, limits: Limits, side: platform.ClientSide) -> None:
        """After a reload; connections beyond a smaller budget stay until they end."""
        self.limits, self.door.side = limits, side
        self.readers.most, self.writers.most = limits.inbound, limits.late_writers

    def bind(self, address: tuple[str, int]) -> Entrance:
        """The platform's entrance, not open yet: its address is ours, and who connects is refused. A hot
        restart's new process has it beside the old one (SO_REUSEPORT).
        """
        make = lambda sock, guest: Inbound(Link(sock), self, guest)  # noqa: E731
        return self.let_in(address, make, self.http_refusal, shared=True, opened=False)

    def open(self, entrance: Entrance) -> None:
        entrance.listener.listen(self.limits.backlog)

    def listen_also(
        self, address: tuple[str, int], link: Callable[[socket.socket], Link]
    ) -> Entrance:
        """HTTP over another kind of link; what is full there says so by its end."""
        return self.let_in(address, lambda sock, guest: Inbound(link(sock), self, guest), bytes)

    def http_refusal(self) -> bytes:
        return platform.refusal(self.door.side.settings.max_retry_after_us, True)

    def let_in(
        self,
        address: tuple[str, int],
        make: Callable[[socket.socket, bool], Connection],
        refusal: Callable[[], bytes],
        shared: bool = False,
        opened: bool = True,
    ) -> Entrance:
        """Listens on one more address, for any protocol; OSError if it cannot be had.

        `shared`: with SO_REUSEPORT, so that two processes of this user may listen there at once.
        """
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            # A restart must not wait for the connections of the process before it.
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if shared:
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            listener.bind(address)
            if opened:
                listener.listen(self.limits.backlog)
        except OSError:
            listener.close()
            raise
        entrance = Entrance(listener, make, refusal)
        self.entrances.append(entrance)
        return entrance

    def accept_on(self, entrance: Entrance) -> None:
        while True:
            try:
                sock, peer = entrance.listener.accept()
            except OSError as error:
                if entrance.listener.fileno() < 0:
                    return
                # Guards against a peer gone before its accept, or no descriptor left: neither may end this.
                log(f"accept failed: {error}")
                time.sleep(self.limits.accept_pause)
                continue
            self.admit(entrance, sock, peer[0])

    def admit(self, entrance: Entrance, sock: socket.socket, host: str) -> None:
        guest = not self.known_host(host)
        if self.full(guest):
            self.make_room()
        if self.full(guest):
            self.fail_fast(entrance, sock)
            return
        inbound = entrance.open(sock, guest)
        with self.lock:
            self.inbound.add(inbound)
            self.guests += guest
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            pass
        # Threads are kept: workers bring each piece of news on a connection of its own.
        self.readers.submit(inbound.run)

    def full(self, guest: bool) -> bool:
        limits = self.limits
        with self.lock:
            if len(self.inbound) + self.leaving >= limits.inbound + limits.lag:
                return True
            if guest and self.guests >= limits.inbound - limits.for_news:
                return True
            return len(self.inbound) >= limits.inbound

    def make_room(self) -> None:
        """Several at a time, or each of a flood would look through all."""
        now, made = time.monotonic(), 0
        with self.lock:
            every = list(self.inbound)
        first = None
        for rank, since, k in sorted((*inbound.spare(now), k) for k, inbound in enumerate(every)):
            # Those that cost their clients something go only while nobody else does.
            if made == self.limits.evict_at_once or (made and rank > first):
                return
            if now - since >= self.limits.spare_idle and every[k].evict():
                first, made = rank, made + 1
                self.leave(every[k])

    def leave(self, inbound: Connection) -> None:
        """Its place is free at once; its descriptor only when its thread has closed it."""
        with self.lock:
            if self.strike(inbound):
                self.leaving += 1
                inbound.left = True

    def strike(self, inbound: Connection) -> bool:
        """With the lock held."""
        if inbound not in self.inbound:
            return False
        self.inbound.discard(inbound)
        self.guests -= inbound.guest
        return True

    def look(self) -> None:
        """Every while: ends what has gone on for too long."""
        now = time.monotonic()
        with self.lock:
            every = list(self.inbound)
        for inbound in every:
            inbound.look(now)
        self.end_lingering(now)

    def linger(self, sock: socket.socket, seconds: float) -> None:
        """Closes a connection that we have shut, a while later and without a thread: closed over bytes that
        its peer sends meanwhile, it would be reset, and what was told last could be lost with it.
        """
        with self.lock:
            self.lingering.append((time.monotonic() + seconds, sock))
            oldest = (
                self.lingering.popleft()[1] if len(self.lingering) > self.limits.lingering else None
            )
        if oldest is not None:
            self.read_out(oldest)
            oldest.close()

    def end_lingering(self, now: float) -> None:
        with self.lock:
            waiting, self.lingering = self.lingering, deque()
        kept = []
        for until, sock in waiting:
            self.read_out(sock)
            if now > until:
                sock.close()
            else:
                kept.append((until, sock))
        with self.lock:
            self.lingering.extendleft(reversed(kept))

    def read_out(self, sock: socket.socket) -> None:
        """Drops what has come."""
        try:
            while sock.recv(self.limits.read, socket.MSG_DONTWAIT):
                pass
        except OSError:
            pass  # nothing more, or no connection

    def fail_fast(self, entrance: Entrance, sock: socket.socket) -> None:
        """Over budget: refused before a byte is read, without a thread."""
        self.turned_away += 1
        try:
            sock.send(entrance.refusal(), socket.MSG_DONTWAIT)
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            sock.close()
            return
        self.linger(sock, self.limits.turned_linger)

    def forget(self, inbound: Connection) -> None:
        with self.lock:
            self.strike(inbound)
            self.leaving -= inbound.left
            inbound.left = False

    def crowded(self) -> bool:
        """Only open requests count: connections between requests make room when news needs it."""
        most = self.limits.open_requests
        if len(self.inbound) < most:
            return False
        with self.lock:
            return sum(inbound.waiting() for inbound in self.inbound) >= most

    def close_idle(self) -> None:
        with self.lock:
            every = list(self.inbound)
        for inbound in every:
            inbound.close_if_between()

    def busy(self) -> bool:
        """Something is owed, or, until connections are closed, a client may use the one it has."""
        with self.lock:
            return any(inbound.busy() for inbound in self.inbound)

    def close_entrances(self) -> None:
        for entrance in self.entrances:
            self.close_entrance(entrance)

    def close_entrance(self, entrance: Entrance) -> None:
        """Guards connections that the kernel has accepted: they are taken before the listener goes."""
        if entrance.listener.fileno() < 0:
            return
        entrance.listener.setblocking(False)
        try:
            while True:
                sock, peer = entrance.listener.accept()
                sock.setblocking(True)
                self.admit(entrance, sock, peer[0])
        except OSError:
            pass
        hang_up(entrance.listener)
        entrance.listener.close()
