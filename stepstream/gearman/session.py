"""One Gearman connection as a state machine without I/O: bytes in, steps out.

The session answers what concerns the connection alone (ECHO_REQ, OPTION_REQ, unknown packets and
those that are not offered) and returns the rest. An error of the framing ends the connection, and
nothing behind it is parsed. The connection's reader thread feeds it under the front's lock; its
flags may be read without the lock.
"""

from dataclasses import dataclass

from stepstream.config.limits import Limits
from stepstream.gearman import codec
from stepstream.gearman.codec import Packet, PacketKind, Parser, TextLine, UnknownPacket
from stepstream.gearman.errors import GearmanError, RequestError
from stepstream.gearman.text_commands import parse_command, unknown_command_error

TOKEN_OPTION = b"token:"
EXCEPTIONS_OPTION = b"exceptions"
NOT_OFFERED = {
    PacketKind.SUBMIT_REDUCE_JOB: "map and reduce",
    PacketKind.SUBMIT_REDUCE_JOB_BACKGROUND: "map and reduce",
    PacketKind.SUBMIT_JOB_SCHED: "jobs at a later time",
    PacketKind.SUBMIT_JOB_EPOCH: "jobs at a later time",
}


@dataclass(frozen=True, slots=True)
class Reply:
    """Bytes to send at once; after those with `close`, nothing more is sent."""

    data: bytes
    close: bool = False


Step = Reply | Packet | TextLine


class Session:
    """The protocol state of a connection, and the options that its peer has switched on."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.parser = Parser(limits)
        self.closed = False  # its last reply is given
        self.has_sent_work = False  # the peer has sent a message for the service
        self.exceptions = False  # OPTION_REQ has switched on WORK_EXCEPTION
        self.error_count = 0

    @property
    def is_idle(self) -> bool:
        """Whether no message is partly received."""
        return self.parser.is_idle

    def feed(self, data: bytes) -> list[Step]:
        """Take received bytes; return the steps that they complete, in order."""
        if self.closed:
            return []
        self.parser.feed(data)
        steps: list[Step] = []
        try:
            while not self.closed and (item := self.parser.next_message()) is not None:
                steps.append(self._step_for(item))
        except GearmanError as error:
            steps.append(self.close_with_error(error))
        return steps

    def close_with_error(self, error: GearmanError) -> Reply:
        """Return the last reply; the bytes behind the error are not parsed."""
        self.closed = True
        return Reply(codec.encode_error(error.code, str(error)), close=True)

    def reply_to_error(self, error: GearmanError) -> Reply:
        """Return the reply to an error after which the framing is intact.

        The connection ends after too many errors.
        """
        self.error_count += 1
        if self.error_count >= self.limits.gearman.errors_per_connection:
            return self.close_with_error(error)
        return Reply(codec.encode_error(error.code, str(error)))

    def _step_for(self, item: codec.Message) -> Step:
        match item:
            case TextLine(tokens):
                if parse_command(tokens) is None:
                    # Guards against a request of another protocol, whose body may hold packets.
                    self.closed = True
                    return Reply(unknown_command_error().encode(), close=True)
            case UnknownPacket(number):
                return self.reply_to_error(
                    RequestError(
                        "UNKNOWN_COMMAND", f"there is no packet of type {number} from here"
                    )
                )
            case Packet(PacketKind.ECHO_REQ, (data,)):
                return Reply(codec.encode_response(PacketKind.ECHO_RES, data))
            case Packet(PacketKind.OPTION_REQ, (option,)):
                return self._step_for_option(item, option)
            case Packet(kind) if kind in NOT_OFFERED:
                return self.reply_to_error(
                    RequestError("NOT_OFFERED", f"{kind.name}: {NOT_OFFERED[kind]} are not offered")
                )
        self.has_sent_work = True
        return item

    def _step_for_option(self, packet: Packet, option: bytes) -> Step:
        if option.startswith(TOKEN_OPTION):
            return packet  # the service stores the token; it does not count as work
        if option != EXCEPTIONS_OPTION:
            return self.reply_to_error(
                RequestError("UNKNOWN_OPTION", "the one option is 'exceptions'")
            )
        self.exceptions = True
        return Reply(codec.encode_response(PacketKind.OPTION_RES, option))
