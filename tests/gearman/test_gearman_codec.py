"""Gearman's packets: parsing in pieces, faults of the framing, and a session's own replies."""

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

WORD = st.binary(max_size=20).map(lambda data: data.replace(b"\0", b"x"))


@st.composite
def packets(draw, forms):
    kind = draw(st.sampled_from(sorted(forms)))
    args = [draw(WORD) for _ in forms[kind][:-1]]
    return Packet(kind, (*args, draw(st.binary(max_size=60))) if forms[kind] else ())


def feed_split(parser, data, cuts):
    found = []
    for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
        parser.feed(data[start:end])
        while (item := parser.next_message()) is not None:
            found.append(item)
    return found


@pytest.mark.parametrize(
    ("forms", "magic"), [(REQUEST_ARGUMENTS, codec.REQ), (RESPONSE_ARGUMENTS, codec.RES)]
)
def test_written_packets_parse_back_however_they_are_split(forms, magic):
    @settings(derandomize=True, deadline=None, max_examples=200, database=None)
    @given(st.data())
    def check(data):
        sent = data.draw(st.lists(packets(forms), max_size=6))
        raw = b"".join(codec.encode_packet(magic, packet.kind, *packet.args) for packet in sent)
        cuts = sorted(data.draw(st.lists(st.integers(0, len(raw)), max_size=8)))
        parser = Parser(LIMITS, responses=magic is codec.RES)
        assert feed_split(parser, raw, cuts) == sent
        assert parser.is_idle

    check()


@settings(derandomize=True, deadline=None, max_examples=300, database=None)
@given(st.binary(max_size=200), st.lists(st.integers(0, 200), max_size=4))
def test_any_bytes_parse_or_raise_a_framing_error_behind_which_nothing_is_parsed(data, cuts):
    parser = Parser(LIMITS)
    try:
        feed_split(parser, data, sorted(min(cut, len(data)) for cut in cuts))
    except FramingError:
        parser.feed(codec.encode_request(PacketKind.GRAB_JOB))
        with pytest.raises(FramingError):
            parser.next_message()


def test_every_type_of_packet_has_its_argument_names():
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
    hidden = codec.encode_request(PacketKind.SUBMIT_JOB, "revalue", "", "x")
    (reply,) = Session(LIMITS).feed(b"POST /revalue HTTP/1.1\r\n\r\n" + hidden)
    assert reply.close
    assert reply.data.startswith(b"ERR UNKNOWN_COMMAND")


def test_too_large_a_packet_is_rejected_before_its_body_comes():
    parser = Parser(LIMITS)
    parser.feed(codec.HEADER.pack(codec.REQ, PacketKind.ECHO_REQ, LIMITS.gearman.packet_bytes + 1))
    with pytest.raises(FramingError):
        parser.next_message()
    assert parser.state is ParserState.BROKEN


def test_text_and_packets_mix_on_one_connection():
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


def test_unknown_types_keep_the_framing_and_are_limited_in_number():
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
    assert [r.close for r in replies] == [False] * (LIMITS.gearman.errors_per_connection - 1) + [
        True
    ]


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


def test_arguments_that_could_not_be_split_are_not_written():
    with pytest.raises(ValueError, match="NUL"):
        codec.encode_request(PacketKind.SUBMIT_JOB, "a\0b", "", "")
    with pytest.raises(ValueError, match="arguments"):
        codec.encode_request(PacketKind.SUBMIT_JOB, "a")
