"""Gearman's packets: what is written reads back however it is split, and what is none ends at once."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from net_helpers import LIMITS

from stepstream.gearman import codec
from stepstream.gearman.codec import (
    ANSWERS,
    REQUESTS,
    Kind,
    Line,
    Packet,
    Parser,
    ParserState,
    Unknown,
)
from stepstream.gearman.errors import FramingError
from stepstream.gearman.session import Reply, Session

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
        while (item := parser.next()) is not None:
            found.append(item)
    return found


@pytest.mark.parametrize(("forms", "magic"), [(REQUESTS, codec.REQ), (ANSWERS, codec.RES)])
def test_what_is_written_reads_back_however_it_is_split(forms, magic):
    @settings(derandomize=True, deadline=None, max_examples=200, database=None)
    @given(st.data())
    def check(data):
        sent = data.draw(st.lists(packets(forms), max_size=6))
        raw = b"".join(codec.write(magic, packet.kind, *packet.args) for packet in sent)
        cuts = sorted(data.draw(st.lists(st.integers(0, len(raw)), max_size=8)))
        parser = Parser(LIMITS, answers=magic is codec.RES)
        assert feed_split(parser, raw, cuts) == sent
        assert parser.idle

    check()


@settings(derandomize=True, deadline=None, max_examples=300, database=None)
@given(st.binary(max_size=200), st.lists(st.integers(0, 200), max_size=4))
def test_no_bytes_raise_anything_but_a_gearman_error_and_nothing_behind_it_is_read(data, cuts):
    parser = Parser(LIMITS)
    try:
        feed_split(parser, data, sorted(min(cut, len(data)) for cut in cuts))
    except FramingError:
        parser.feed(codec.request(Kind.GRAB_JOB))
        with pytest.raises(FramingError):
            parser.next()


def test_every_type_of_the_protocol_has_its_form():
    assert {kind for kind in Kind} == set(REQUESTS) | set(ANSWERS)
    assert set(REQUESTS) & set(ANSWERS) == {kind for kind in Kind if kind.name.startswith("WORK_")}


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (codec.HEADER.pack(codec.REQ, Kind.SUBMIT_JOB, 2**32 - 1), "PACKET_TOO_LARGE"),
        (b"\0RES" + bytes(8), "BAD_MAGIC"),
        (b"\0R\0", "BAD_MAGIC"),
        (codec.HEADER.pack(codec.REQ, Kind.SUBMIT_JOB, 3) + b"abc", "BAD_ARGUMENTS"),
        (codec.HEADER.pack(codec.REQ, Kind.CAN_DO_TIMEOUT, 7) + b"revalue", "BAD_ARGUMENTS"),
        (codec.HEADER.pack(codec.REQ, Kind.GRAB_JOB, 1) + b"x", "BAD_ARGUMENTS"),
        (b"a" * 1100, "LINE_TOO_LONG"),
        (b"GET \x80\n", "BAD_TEXT"),
    ],
)
def test_framing_in_doubt_is_one_error_and_the_end(data, code):
    session = Session(LIMITS)
    (reply,) = session.feed(data + codec.request(Kind.GRAB_JOB))
    assert reply.close
    assert code.encode() in reply.data
    assert session.closed
    assert session.feed(codec.request(Kind.ECHO_REQ, b"x")) == []


def test_what_is_half_here_and_what_says_nothing_is_ended_within_three_seconds():
    assert (
        max(LIMITS.timeouts.first_message_seconds, LIMITS.timeouts.message_seconds)
        + LIMITS.loop.sweep_seconds
        < 3.0
    )


def test_another_protocols_words_end_the_connection_before_its_body_is_read():
    hidden = codec.request(Kind.SUBMIT_JOB, "revalue", "", "x")
    (reply,) = Session(LIMITS).feed(b"POST /revalue HTTP/1.1\r\n\r\n" + hidden)
    assert reply.close
    assert reply.data.startswith(b"ERR UNKNOWN_COMMAND")


def test_a_size_is_refused_before_its_bytes_are_waited_for():
    parser = Parser(LIMITS)
    parser.feed(codec.HEADER.pack(codec.REQ, Kind.ECHO_REQ, LIMITS.gearman.packet_bytes + 1))
    with pytest.raises(FramingError):
        parser.next()
    assert parser.state is ParserState.BROKEN


def test_text_and_packets_mix_on_one_connection():
    parser = Parser(LIMITS)
    parser.feed(b"status\r\n" + codec.request(Kind.ECHO_REQ, b"\0x") + b"cancel job  H:1\nversion")
    assert [parser.next() for _ in range(4)] == [
        Line(("status",)),
        Packet(Kind.ECHO_REQ, (b"\0x",)),
        Line(("cancel", "job", "H:1")),
        None,
    ]
    parser.feed(b"\n")
    assert parser.next() == Line(("version",))


def test_an_unknown_type_leaves_the_framing_whole_and_only_so_many_are_borne():
    parser = Parser(LIMITS)
    parser.feed(codec.HEADER.pack(codec.REQ, 99, 2) + b"ab" + codec.request(Kind.PRE_SLEEP))
    assert [parser.next(), parser.next()] == [Unknown(99), Packet(Kind.PRE_SLEEP)]
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
        codec.request(Kind.SUBMIT_REDUCE_JOB, "f", "u", "r", "w"),
        codec.request(Kind.SUBMIT_REDUCE_JOB_BACKGROUND, "f", "u", "r", "w"),
        codec.request(Kind.SUBMIT_JOB_EPOCH, "f", "u", "1", "w"),
    ],
)
def test_what_is_not_offered_is_refused_by_its_name(packet):
    (reply,) = Session(LIMITS).feed(packet)
    assert isinstance(reply, Reply)
    assert not reply.close
    assert b"NOT_OFFERED\0SUBMIT_" in reply.data


def test_an_argument_that_cannot_be_split_is_not_written():
    with pytest.raises(ValueError, match="NUL"):
        codec.request(Kind.SUBMIT_JOB, "a\0b", "", "")
    with pytest.raises(ValueError, match="arguments"):
        codec.request(Kind.SUBMIT_JOB, "a")
