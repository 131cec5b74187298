"""One connection as a state machine: bytes in, steps out; it knows no socket and no table of jobs.

What concerns the connection alone is answered here (ECHO_REQ, OPTION_REQ, what is not known or not
offered); the rest passes on, checked. Framing in doubt ends the connection, and nothing behind it is
parsed.
"""

from dataclasses import dataclass

from stepstream.config.limits import Limits
from stepstream.gearman import admin, codec
from stepstream.gearman.codec import GearmanError, Kind, Line, Packet, Parser, Unknown

TOKEN = b"token:"
NOT_OFFERED = {
    Kind.SUBMIT_REDUCE_JOB: "map and reduce",
    Kind.SUBMIT_REDUCE_JOB_BACKGROUND: "map and reduce",
    Kind.SUBMIT_JOB_SCHED: "jobs at a later time",
    Kind.SUBMIT_JOB_EPOCH: "jobs at a later time",
}


@dataclass(frozen=True, slots=True)
class Reply:
    """Bytes due at once; `close`: and nothing after them."""

    data: bytes
    close: bool = False


Step = Reply | Packet | Line


class Session:
    def __init__(self, limits: Limits) -> None:
        self.limits, self.parser = limits, Parser(limits)
        self.closed = False
        self.proven = False  # it has brought a message that means something: it is no stranger
        self.exceptions = False  # OPTION_REQ: WORK_EXCEPTION is sent
        self.errors = 0

    @property
    def between(self) -> bool:
        """Nothing is half read."""
        return self.parser.idle

    def feed(self, data: bytes) -> list[Step]:
        if self.closed:
            return []
        self.parser.feed(data)
        steps: list[Step] = []
        try:
            while not self.closed and (item := self.parser.next()) is not None:
                steps.append(self.read(item))
        except GearmanError as fault:
            steps.append(self.end(fault))
        return steps

    def end(self, fault: GearmanError) -> Reply:
        """The last word; what stands behind it is not parsed."""
        self.closed = True
        return Reply(codec.error(fault.code, str(fault)), close=True)

    def read(self, item: codec.Item) -> Step:
        match item:
            case Line(words) if admin.find(words) is None:
                # Guards against another protocol's words, in whose body packets may be hidden.
                self.closed = True
                return Reply(admin.unknown().encode(), close=True)
            case Line():
                self.proven = True
                return item
            case Unknown(number):
                return self.fault(
                    GearmanError(
                        "UNKNOWN_COMMAND", f"there is no packet of type {number} from here"
                    )
                )
            case Packet(Kind.ECHO_REQ, (data,)):
                return Reply(codec.answer(Kind.ECHO_RES, data))
            case Packet(Kind.OPTION_REQ, (option,)) if option.startswith(TOKEN):
                return item  # who is calling: the desk's to answer, and proof of nothing yet
            case Packet(Kind.OPTION_REQ, (option,)):
                if option != b"exceptions":
                    return self.fault(
                        GearmanError("UNKNOWN_OPTION", "the one option is 'exceptions'")
                    )
                self.exceptions = True
                return Reply(codec.answer(Kind.OPTION_RES, option))
            case Packet(kind) if kind in NOT_OFFERED:
                return self.fault(
                    GearmanError("NOT_OFFERED", f"{kind.name}: {NOT_OFFERED[kind]} are not offered")
                )
        self.proven = True
        return item

    def fault(self, fault: GearmanError) -> Reply:
        """An error that leaves the framing whole; a peer that makes nothing else is ended."""
        self.errors += 1
        if self.errors >= self.limits.gearman.errors_per_connection:
            return self.end(fault)
        return Reply(codec.error(fault.code, str(fault)))
