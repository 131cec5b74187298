"""Tests of the codec and the session: split packets, framing errors and a session's replies."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stepstream.gearman import codec
from stepstream.gearman.codec import (
    REQUEST_ARGUMENTS,
    RESPONSE_ARGUMENTS,
    Packet,
    PacketKind,
    Parser,
    ParserState,
    TextLine,
    UnknownPacket,
)
from stepstream.gearman.errors import FramingError
from stepstream.gearman.session import Reply, Session
from tests.config.configurations import LIMITS

ARGUMENT_BYTES = st.binary(max_size=20).map(lambda data: data.replace(b"\0", b"x"))


@st.composite
def packets(draw, argument_names):
    kind = draw(st.sampled_from(sorted(argument_names)))
    args = [draw(ARGUMENT_BYTES) for _ in argument_names[kind][:-1]]
    return Packet(kind, (*args, draw(st.binary(max_size=60))) if argument_names[kind] else ())


def feed_in_pieces(parser, data, cut_positions):
    messages = []
    for start, end in zip([0, *cut_positions], [*cut_positions, len(data)], strict=True):
        parser.feed(data[start:end])
        while (message := parser.next_message()) is not None:
            messages.append(message)
    return messages


@pytest.mark.parametrize(
    ("argument_names", "magic"), [(REQUEST_ARGUMENTS, codec.REQ), (RESPONSE_ARGUMENTS, codec.RES)]
)
def test_encoded_packets_are_parsed_unchanged_however_they_are_split(argument_names, magic):
    @settings(derandomize=True, deadline=None, max_examples=200, database=None)
    @given(st.data())
    def check(data):
        sent = data.draw(st.lists(packets(argument_names), max_size=6))
        raw = b"".join(codec.encode_packet(magic, packet.kind, *packet.args) for packet in sent)
        cut_positions = sorted(data.draw(st.lists(st.integers(0, len(raw)), max_size=8)))
        parser = Parser(LIMITS, responses=magic is codec.RES)
        assert feed_in_pieces(parser, raw, cut_positions) == sent
        assert parser.is_idle

    check()


@settings(derandomize=True, deadline=None, max_examples=300, database=None)
@given(st.binary(max_size=200), st.lists(st.integers(0, 200), max_size=4))
def test_any_bytes_are_parsed_or_raise_a_framing_error_after_which_nothing_is_parsed(
    data, cut_positions
):
    parser = Parser(LIMITS)
    try:
        feed_in_pieces(parser, data, sorted(min(cut, len(data)) for cut in cut_positions))
    except FramingError:
        parser.feed(codec.encode_request(PacketKind.GRAB_JOB))
        with pytest.raises(FramingError):
            parser.next_message()


def test_every_packet_kind_has_argument_names():
    assert {kind for kind in PacketKind} == set(REQUEST_ARGUMENTS) | set(RESPONSE_ARGUMENTS)
    assert set(REQUEST_ARGUMENTS) & set(RESPONSE_ARGUMENTS) == {
        kind for kind in PacketKind if kind.name.startswith("WORK_")
    }


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (codec.HEADER.pack(codec.REQ, PacketKind.SUBMIT_JOB, 2**32 - 1), "PACKET_TOO_LARGE"),
        (b"\0RES" + bytes(8), "BAD_MAGIC"),
        (b"\0R\0", "BAD_MAGIC"),
        (codec.HEADER.pack(codec.REQ, PacketKind.SUBMIT_JOB, 3) + b"abc", "BAD_ARGUMENTS"),
        (codec.HEADER.pack(codec.REQ, PacketKind.CAN_DO_TIMEOUT, 7) + b"revalue", "BAD_ARGUMENTS"),
        (codec.HEADER.pack(codec.REQ, PacketKind.GRAB_JOB, 1) + b"x", "BAD_ARGUMENTS"),
        (b"a" * 1100, "LINE_TOO_LONG"),
        (b"GET \x80\n", "BAD_TEXT"),
    ],
)
def test_a_framing_error_is_answered_once_and_ends_the_connection(data, code):
    session = Session(LIMITS)
    (reply,) = session.feed(data + codec.encode_request(PacketKind.GRAB_JOB))
    assert reply.close
    assert code.encode() in reply.data
    assert session.closed
    assert session.feed(codec.encode_request(PacketKind.ECHO_REQ, b"x")) == []


def test_partial_messages_and_silent_peers_time_out_within_three_seconds():
    assert (
        max(LIMITS.timeouts.first_message_seconds, LIMITS.timeouts.message_seconds)
        + LIMITS.loop.periodic_tasks_seconds
        < 3.0
    )


def test_another_protocols_request_ends_the_connection_before_its_body_is_parsed():
    packet_in_body = codec.encode_request(PacketKind.SUBMIT_JOB, "revalue", "", "x")
    (reply,) = Session(LIMITS).feed(b"POST /revalue HTTP/1.1\r\n\r\n" + packet_in_body)
    assert reply.close
    assert reply.data.startswith(b"ERR UNKNOWN_COMMAND")


def test_a_too_large_packet_is_rejected_before_its_body_arrives():
    parser = Parser(LIMITS)
    parser.feed(codec.HEADER.pack(codec.REQ, PacketKind.ECHO_REQ, LIMITS.gearman.packet_bytes + 1))
    with pytest.raises(FramingError):
        parser.next_message()
    assert parser.state is ParserState.BROKEN


def test_one_connection_carries_text_commands_and_packets():
    parser = Parser(LIMITS)
    parser.feed(
        b"status\r\n"
        + codec.encode_request(PacketKind.ECHO_REQ, b"\0x")
        + b"cancel job  H:1\nversion"
    )
    assert [parser.next_message() for _ in range(4)] == [
        TextLine(("status",)),
        Packet(PacketKind.ECHO_REQ, (b"\0x",)),
        TextLine(("cancel", "job", "H:1")),
        None,
    ]
    parser.feed(b"\n")
    assert parser.next_message() == TextLine(("version",))


def test_unknown_packets_keep_the_framing_and_too_many_end_the_connection():
    parser = Parser(LIMITS)
    parser.feed(
        codec.HEADER.pack(codec.REQ, 99, 2) + b"ab" + codec.encode_request(PacketKind.PRE_SLEEP)
    )
    assert [parser.next_message(), parser.next_message()] == [
        UnknownPacket(99),
        Packet(PacketKind.PRE_SLEEP),
    ]
    session = Session(LIMITS)
    replies = session.feed(
        codec.HEADER.pack(codec.REQ, 99, 0) * (LIMITS.gearman.errors_per_connection + 5)
    )
    assert [reply.close for reply in replies] == [False] * (
        LIMITS.gearman.errors_per_connection - 1
    ) + [True]


@pytest.mark.parametrize(
    "packet",
    [
        codec.encode_request(PacketKind.SUBMIT_REDUCE_JOB, "f", "u", "r", "w"),
        codec.encode_request(PacketKind.SUBMIT_REDUCE_JOB_BACKGROUND, "f", "u", "r", "w"),
        codec.encode_request(PacketKind.SUBMIT_JOB_EPOCH, "f", "u", "1", "w"),
    ],
)
def test_packets_that_are_not_offered_are_rejected_by_name(packet):
    (reply,) = Session(LIMITS).feed(packet)
    assert isinstance(reply, Reply)
    assert not reply.close
    assert b"NOT_OFFERED\0SUBMIT_" in reply.data


def test_arguments_that_the_receiver_could_not_split_are_not_encoded():
    with pytest.raises(ValueError, match="NUL"):
        codec.encode_request(PacketKind.SUBMIT_JOB, "a\0b", "", "")
    with pytest.raises(ValueError, match="arguments"):
        codec.encode_request(PacketKind.SUBMIT_JOB, "a")
