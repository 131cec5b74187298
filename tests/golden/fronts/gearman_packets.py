"""Gearman packets of peers, built without the program's codec, and the recorded conversations."""

import enum
import struct
from dataclasses import dataclass

from golden.fronts.configurations import FOLDER
from golden.recorded_data import bytes_of, read_inputs

INPUTS = read_inputs(FOLDER, "gearman")
REQUEST_MAGIC = b"\0REQ"
HEADER = ">4sII"  # magic, number of the kind, length of the arguments


class PacketNumber(enum.IntEnum):
    """Numbers of the packets that clients and workers send (gearman.org/protocol)."""

    CAN_DO = 1
    CANT_DO = 2
    RESET_ABILITIES = 3
    PRE_SLEEP = 4
    SUBMIT_JOB = 7
    GRAB_JOB = 9
    WORK_STATUS = 12
    WORK_COMPLETE = 13
    WORK_FAIL = 14
    GET_STATUS = 15
    ECHO_REQ = 16
    SUBMIT_JOB_BG = 18
    SUBMIT_JOB_HIGH = 21
    SET_CLIENT_ID = 22
    CAN_DO_TIMEOUT = 23
    WORK_EXCEPTION = 25
    OPTION_REQ = 26
    WORK_DATA = 28
    WORK_WARNING = 29
    GRAB_JOB_UNIQ = 30
    SUBMIT_JOB_LOW_BG = 34
    SUBMIT_JOB_SCHED = 35
    SUBMIT_REDUCE_JOB = 37
    GRAB_JOB_ALL = 39
    GET_STATUS_UNIQUE = 41


@dataclass(frozen=True)
class Sending:
    """A step of a conversation: a peer sends these bytes."""

    peer: str
    data: bytes


@dataclass(frozen=True)
class Advance:
    """A step of a conversation: time passes."""

    duration_us: int


@dataclass(frozen=True)
class FirstJobAnswered:
    """A step of a conversation: the core answers the first job."""

    outcome: str
    result: object
    retry_after_us: int


Step = Sending | Advance | FirstJobAnswered


def packet(number: int, *arguments: bytes) -> bytes:
    """Return a packet with these arguments, separated by zero bytes."""
    data = b"\0".join(arguments)
    return struct.pack(HEADER, REQUEST_MAGIC, number, len(data)) + data


def message_bytes(message: str | dict) -> bytes:
    """Return the bytes of a recorded message: text as it is, or a packet by its name or number."""
    if isinstance(message, str):
        return bytes_of(message)
    number = message["packet"]
    if isinstance(number, str):
        number = PacketNumber[number]
    return packet(number, *map(bytes_of, message.get("arguments", ())))


def conversation_steps(rows: list[str | dict]) -> list[Step]:
    """Return the steps of a recorded conversation; a text is the name of a fragment."""
    steps: list[Step] = []
    for row in rows:
        if isinstance(row, str):
            steps += conversation_steps(INPUTS["fragments"][row])
        elif "advance_us" in row:
            steps.append(Advance(row["advance_us"]))
        else:
            steps.append(Sending(row["peer"], message_bytes(row["sends"])))
    return steps
