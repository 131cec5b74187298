"""The protocol state of one Gearman connection: it turns received bytes into steps, without I/O.

The session itself answers messages that concern only the connection: ECHO_REQ, OPTION_REQ, unknown
packets and packets that are not offered. It returns all other messages for the service. A framing
error ends the connection, and no bytes after it are parsed. The connection's reader thread feeds
the session under the front's lock; its flags may be read without the lock.
"""

from dataclasses import dataclass

from stepstream.config.limits import Limits
from stepstream.gearman import codec
from stepstream.gearman.codec import Packet, PacketKind, Parser, TextLine, UnknownPacket
from stepstream.gearman.errors import GearmanError, RequestError
from stepstream.gearman.text_commands import parse_command, unknown_command_error

TOKEN_OPTION = b"token:"
EXCEPTIONS_OPTION = b"exceptions"
UNSUPPORTED_FEATURES = {
    PacketKind.SUBMIT_REDUCE_JOB: "map and reduce",
    PacketKind.SUBMIT_REDUCE_JOB_BACKGROUND: "map and reduce",
    PacketKind.SUBMIT_JOB_SCHED: "jobs at a later time",
    PacketKind.SUBMIT_JOB_EPOCH: "jobs at a later time",
}


@dataclass(frozen=True, slots=True)
class Reply:
    """Bytes that the session answers with; nothing is sent after bytes with `close`."""

    data: bytes
    close: bool = False


Step = Reply | Packet | TextLine


class Session:
    """The protocol state of a connection, and the options that its peer has switched on."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.parser = Parser(limits)
        self.closed = False  # the last reply is given; further bytes are ignored
        self.has_sent_work = False  # the peer has sent a message for the service
        self.exceptions_enabled = False  # OPTION_REQ has switched on WORK_EXCEPTION
        self.error_count = 0

    @property
    def is_idle(self) -> bool:
        """Whether no message is partly received."""
        return self.parser.is_idle

    def feed(self, data: bytes) -> list[Step]:
        """Parse received bytes; return the steps that they complete, in order."""
        self.receive(data)
        steps: list[Step] = []
        while (step := self.next_step()) is not None:
            steps.append(step)
        return steps

    def receive(self, data: bytes) -> None:
        """Buffer received bytes."""
        if not self.closed:
            self.parser.feed(data)

    def next_step(self) -> Step | None:
        """Return the step of the next buffered message, or None until more bytes are received."""
        if self.closed:
            return None
        try:
            message = self.parser.next_message()
            return None if message is None else self._step_for(message)
        except GearmanError as error:
            return self.close_with_error(error)

    @property
    def held_bytes(self) -> int:
        """The bytes of messages that the session holds."""
        return len(self.parser.buffer)

    def close_with_error(self, error: GearmanError) -> Reply:
        """Close the session and return its last reply; later bytes are not parsed."""
        self.closed = True
        self.parser.buffer.clear()
        return Reply(codec.encode_error(error.code, str(error)), close=True)

    def reply_to_error(self, error: GearmanError) -> Reply:
        """Return the reply to an error that leaves the framing intact.

        The connection ends after too many errors.
        """
        self.error_count += 1
        if self.error_count >= self.limits.gearman.errors_per_connection:
            return self.close_with_error(error)
        return Reply(codec.encode_error(error.code, str(error)))

    def _step_for(self, message: codec.Message) -> Step:
        match message:
            case TextLine(tokens):
                if parse_command(tokens) is None:
                    # The line may be a request of another protocol, whose body may hold packets.
                    self.closed = True
                    return Reply(unknown_command_error().encode(), close=True)
            case UnknownPacket(type_number):
                return self.reply_to_error(
                    RequestError(
                        "UNKNOWN_COMMAND", f"there is no packet of type {type_number} from here"
                    )
                )
            case Packet(PacketKind.ECHO_REQ, (data,)):
                return Reply(codec.encode_response(PacketKind.ECHO_RES, data))
            case Packet(PacketKind.OPTION_REQ, (option,)):
                return self._step_for_option(message, option)
            case Packet(kind) if kind in UNSUPPORTED_FEATURES:
                return self.reply_to_error(
                    RequestError(
                        "NOT_OFFERED", f"{kind.name}: {UNSUPPORTED_FEATURES[kind]} are not offered"
                    )
                )
        self.has_sent_work = True
        return message

    def _step_for_option(self, packet: Packet, option: bytes) -> Step:
        if option.startswith(TOKEN_OPTION):
            return packet  # the service stores the token; `has_sent_work` stays unchanged
        if option != EXCEPTIONS_OPTION:
            return self.reply_to_error(
                RequestError("UNKNOWN_OPTION", "the one option is 'exceptions'")
            )
        self.exceptions_enabled = True
        return Reply(codec.encode_response(PacketKind.OPTION_RES, option))
