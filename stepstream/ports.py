"""What a front, a carrier, a catalogue and a connection owe the core and each other.

A front hears clients and answers them, a carrier takes calls to workers, a catalogue says which workers there
are. They know the core's types and these, never each other; `node.py` wires them together.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Protocol

import ujson

if TYPE_CHECKING:
    import socket

    from stepstream.dispatch import Answer, Call, Command
    from stepstream.interface import Probed
    from stepstream.operator_file import Operator
    from stepstream.settings import Config


@dataclass(frozen=True, slots=True)
class Payload:
    """What a worker is given of a request, in no protocol's form; every carrier can send it.

    `path` holds class, further path and query as they came, `body` the job's input. `idempotency_key` is ""
    where the client gave none.
    """

    path: str
    body: bytes = b""
    idempotency_key: str = ""


@dataclass(frozen=True, slots=True)
class Piece:
    """A part of a result that its worker sent before the end; a warning is told, but is no part of it."""

    data: bytes
    warning: bool = False


@dataclass(frozen=True, slots=True)
class Pieces:
    """The result of a worker that gives it in pieces; a front without pieces answers with the whole."""

    pieces: tuple[Piece, ...]
    last: bytes

    @property
    def whole(self) -> bytes:
        return b"".join(piece.data for piece in self.pieces if not piece.warning) + self.last


def result_bytes(result: object) -> bytes:
    """What a worker of any carrier gave, in one piece: text as it is, anything else of JSON as JSON."""
    if isinstance(result, Pieces):
        return result.whole
    text = result if isinstance(result, str) else ujson.dumps(result, escape_forward_slashes=False)
    return text.encode("utf-8", "surrogatepass")


class Origin(Protocol):
    """Where a request came from; the decision thread calls it, so neither may wait for a peer."""

    def answer(self, answer: "Answer") -> None: ...

    def progress(self, done: int, of: int) -> None: ...


@dataclass(frozen=True, slots=True)
class Credential:
    """What a peer shows of itself; a certificate was verified in the handshake."""

    token: bytes | None = None
    certificate: object = None


class Refusal(Enum):
    """Why a gate turns somebody away: nobody is identified, he may not, or not now."""

    UNKNOWN = "NOT_IDENTIFIED"
    DENIED = "NOT_ALLOWED"
    LATER = "LATER"


@dataclass(frozen=True, slots=True)
class Turned:
    """Turned away; `reason` is one word, `retry_s` when to come back."""

    refusal: Refusal
    reason: str
    retry_s: float = 0.0


class Visa(Protocol):
    """An allowed request of an identified caller."""

    caller: str
    tenant: str

    def end(self) -> None:
        """It is over; any number of times."""


class Gate(Protocol):
    """Who may come in, where an installation wants to know. Any thread; none of these waits."""

    def enter(
        self, front: str, credential: Credential, kind: str, tenant: str | None
    ) -> "Visa | Turned":
        """A client's request of a class; `tenant` None: the one that the caller stands for."""

    def owner(self, front: str, credential: Credential, callers: set[str]) -> Turned | None:
        """Somebody asks for a job of these callers; None if he is one of them."""

    def worker(self, front: str, credential: Credential, name: str) -> Turned | None:
        """A worker's word or joining under this id; None if it is who it says."""

    def admin(self, front: str, credential: Credential, what: str) -> Turned | None:
        """An operator's command; None if he may."""


class Carrier(Protocol):
    """Takes calls to the workers of one source. None of these waits.

    What becomes of a call is posted to the core: `CallEnded` where it never reached the job's end by the
    carrier's own knowledge, `Told` where its worker says so.
    """

    def start(self, call: "Call") -> None: ...

    def stop(self, call: "Call") -> None: ...

    def probe(self, worker: str) -> None: ...


class Prober(Protocol):
    """Probes a worker for whoever asks."""

    def probe(self, worker: str, told: "Callable[[Probed], None] | None" = None) -> None:
        """Never waits; the outcome goes to `told`, from a thread of its own, or else to the core."""


class Catalogue(Protocol):
    """Says which workers there are: it posts `Listed` to the core, and may be asked to."""

    def ask(self, watch: bool) -> None: ...


class Connection(Protocol):
    """An inbound connection of any front, as the house sees it that shares the budget of places."""

    guest: bool  # not from a worker's host
    left: bool  # has made room, but its thread has yet to close it

    def run(self) -> None:
        """Reads until the connection ends, in a thread of its own."""

    def waiting(self) -> bool:
        """A request is open on it."""

    def busy(self) -> bool:
        """Something is owed to it, or its peer may still use it after SIGTERM."""

    def spare(self, now: float) -> tuple[int, float]:
        """Its rank among those that may make room, least first, and since when (seconds)."""

    def evict(self) -> bool:
        """Makes room, unless something is owed."""

    def look(self, now: float) -> None:
        """Ends what has gone on for too long."""

    def close_if_between(self) -> bool:
        """Closes it if nothing is owed and nothing half read."""


@dataclass(slots=True)
class Entrance:
    """A listening socket, what makes a connection of what it accepts, and the words of a full house."""

    listener: "socket.socket"
    open: "Callable[[socket.socket, bool], Connection]"
    refusal: Callable[[], bytes]


@dataclass(frozen=True, slots=True)
class Door:
    """An entrance that is open, and the end of the line in the log that tells of it."""

    address: tuple[str, int]
    entrance: Entrance
    what: str = ""


@dataclass(frozen=True, slots=True)
class AdminCall:
    """An operator's call to a path that a subsystem has added; `parts` are the path's variable ones."""

    method: str
    parts: tuple[str, ...] = ()
    query: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class AdminAnswer:
    """`text` as it goes out; 2xx is yes, 4xx or 5xx is no."""

    status: int
    text: str
    kind: str = "text/plain"  # the content's type


def as_json(status: int, told: object) -> AdminAnswer:
    return AdminAnswer(status, ujson.dumps(told, escape_forward_slashes=False), "application/json")


@dataclass(frozen=True, slots=True)
class AdminPath:
    """A path of the admin listener: a regular expression for all of it, and the methods that it takes.

    `answer` is called by the admin listener's thread and must not wait.
    """

    pattern: str
    methods: frozenset[str]
    answer: Callable[[AdminCall], AdminAnswer]


class Maintenance(Protocol):
    """Operators' words on workers, as the admin listener's part keeps them."""

    on_word: (
        "Callable[[str, bool], None] | None"  # called with each word told here: worker, whether out
    )

    def hear(self, worker: str, out: bool, by: str, at_us: int) -> None:
        """A word told at another dispatcher; any thread, never waits."""

    def draining(self) -> bool:
        """Whether this dispatcher is drained on an operator's word."""


class Messenger(Protocol):
    """Carries other subsystems' messages between dispatchers, as the fleet's view does."""

    process: str  # this start's name: of no other process, ever

    def hear(self, kind: str, take: Callable[[str, bytes], None]) -> None:
        """Before the start: messages of that kind go to `take`, with the sender's name; it must not wait."""

    def post(self, member: str, kind: str, data: bytes) -> None:
        """To a member by its name, whatever its state; it may be lost, doubled or late. Up to 1,064 bytes."""

    def present(self) -> list[str]:
        """The names of the others that are held alive or suspect."""

    def superseded(self) -> bool:
        """Whether a later process has this one's name: then this one speaks for nobody."""


class Subsystem(Protocol):
    """A part of the program beyond the platform's dispatcher, as `node.py` plugs it in.

    Made from the operator's file before anything listens; all of these but the admin paths' answers and the
    commands are called by the main thread. What a subsystem has nothing to say to it leaves as it is here.
    """

    def start(self) -> None:
        """Before the clients' address is open. FieldError names the key of what cannot be had."""

    def open(self) -> "Sequence[Door]":
        """Further entrances, once the clients' is open; FieldError names the key that cannot be had."""
        return ()

    def serving(self) -> None:
        """The clients' listener is open and accepted from."""

    def prepare(self, config: "Config", operator: "Operator | None") -> Callable[[], None]:
        """A reload: reads all that can be wrong (FieldError) and changes nothing; the answer takes it over.

        What it gives back cannot fail; it is called once every subsystem's part was found good.
        """
        return lambda: None

    def look(self) -> None:
        """Twice a second, and oftener while the program stops."""

    def leave(self) -> bool:
        """SIGTERM came; True if a process beside this one serves the clients' address from now on."""
        return False

    def stop(self) -> None:
        """All is answered and the process ends; may take a moment, never waits for a peer."""

    def paths(self) -> "Sequence[AdminPath]":
        """What it adds to the admin listener."""
        return ()

    def commands(self) -> "Mapping[type, Callable[[Command], None]]":
        """The core's commands that it carries out, by type; the decision thread calls these."""
        return {}

    def status(self) -> str:
        """What it adds to the status line, "" for nothing."""
        return ""
