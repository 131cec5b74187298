"""The HTTP/1.1 parser: messages received in pieces of any size, and the status of each error."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stepstream.http.codec import Parser, ProtocolError, write_answer, write_request
from tests.config.configurations import LIMITS

# Pairs of a message's bytes and its body.
MESSAGES = [
    (write_request("POST", "/a?user=1", {"Host": "x"}, b"hello"), b"hello"),
    (write_request("GET", "/b", {"Host": "x"}), b""),
    (
        b"POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: 1\r\n\r\n",
        b"abcde",
    ),
    (b"\r\nPOST /d HTTP/1.0\r\ncontent-length: 0\r\n\r\n", b""),
]
TOO_MANY_FIELDS = LIMITS.sizes.header_fields + 1
CHUNKED_HEAD = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
STREAM = b"".join(data for data, _ in MESSAGES)


@settings(derandomize=True, deadline=None, database=None)
@given(st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_pieces_of_any_size_give_the_same_messages(cuts):
    parser, bodies, start = Parser(LIMITS), [], 0
    for end in [*sorted(cuts), len(STREAM)]:
        parser.feed(STREAM[start:end])
        start = end
        while (message := parser.next()) is not None:
            bodies.append(message.body)
    assert bodies == [body for _, body in MESSAGES]
    assert parser.idle


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"NONSENSE\r\n\r\n", 400),
        (b"GET / HTTP/2.0\r\n\r\n", 400),
        (b"GET /a b HTTP/1.1\r\n\r\n", 400),
        (b"GET /\xff HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nno colon\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nA : b\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: +2\r\n\r\nab", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: 2, 2\r\n\r\nab", 400),
        (b"POST / HTTP/1.1\r\nContent-Length : 2\r\n\r\nab", 400),
        (b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2 \r\n", 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;a\nb\r\n", 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabcd", 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffff\r\n", 413),
        (b"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413),
        (b"GET / HTTP/1.1\r\nA: " + b"a" * 20_000, 431),
        (b"GET /" + b"a" * LIMITS.sizes.request_target_bytes + b" HTTP/1.1\r\n\r\n", 414),
        (b"GET / HTTP/1.1\r\n" + b"a:\r\n" * TOO_MANY_FIELDS + b"\r\n", 431),
        (CHUNKED_HEAD + b"0\r\n" + b"a:\r\n" * TOO_MANY_FIELDS, 431),
        (CHUNKED_HEAD + b"0\r\n" + (b"a:" + b"b" * 15_000 + b"\r\n") * 2, 431),
    ],
)
def test_a_malformed_message_raises_its_status_and_breaks_the_parser(data, status):
    parser = Parser(LIMITS)
    parser.feed(data)
    with pytest.raises(ProtocolError) as raised:
        parser.next()
    assert raised.value.status == status
    parser.feed(b"GET / HTTP/1.1\r\n\r\n")
    with pytest.raises(ProtocolError):
        parser.next()


def test_an_answer_without_a_length_ends_with_its_connection():
    parser = Parser(LIMITS, answers=True)
    parser.feed(b"HTTP/1.1 200 OK\r\n\r\nabc")
    assert parser.next() is None
    message = parser.end()
    assert message.body == b"abc"
    assert not message.keep_alive


def test_an_incomplete_answer_is_not_returned():
    parser = Parser(LIMITS, answers=True)
    parser.feed(write_answer(200, b"abc")[:-1])
    assert parser.next() is None
    assert parser.end() is None


def test_answers_without_a_body_need_no_length():
    parser = Parser(LIMITS, answers=True)
    parser.feed(b"HTTP/1.1 204 No Content\r\n\r\n" + write_answer(202))
    assert [parser.next().status, parser.next().status] == [204, 202]


@pytest.mark.parametrize(
    ("head", "keep_alive"),
    [
        (b"HTTP/1.1\r\n", True),
        (b"HTTP/1.0\r\n", False),
        (b"HTTP/1.1\r\nConnection: x, Close\r\n", False),
        (b"HTTP/1.0\r\nConnection: keep-alive\r\n", True),
    ],
)
def test_version_and_connection_options_decide_whether_the_connection_persists(head, keep_alive):
    parser = Parser(LIMITS)
    parser.feed(b"GET / " + head + b"\r\n")
    assert parser.next().keep_alive is keep_alive


def test_a_head_of_as_many_fields_as_allowed_is_read():
    fields = b"".join(b"f%d:\r\n" % number for number in range(LIMITS.sizes.header_fields))
    parser = Parser(LIMITS)
    parser.feed(b"GET / HTTP/1.1\r\n" + fields + b"\r\n")
    assert len(parser.next().headers) == LIMITS.sizes.header_fields


def test_a_chunked_body_is_held_as_its_bytes():
    # Guards against one object for each tiny chunk, which takes twenty times its bytes.
    parser = Parser(LIMITS)
    parser.feed(CHUNKED_HEAD + b"2\r\nab\r\n" * 5000)
    assert parser.next() is None
    assert parser.held_bytes <= 5000 * 2 + len(CHUNKED_HEAD)


def test_a_parser_with_a_bound_on_its_steps_goes_on_where_it_paused():
    parser = Parser(LIMITS, max_steps_at_once=10)
    parser.feed(CHUNKED_HEAD + b"1\r\na\r\n" * 50 + b"0\r\n\r\n")
    calls = 1
    while (message := parser.next()) is None:
        assert parser.is_paused
        calls += 1
    assert message.body == b"a" * 50
    assert calls > 5
    assert parser.next() is None
    assert not parser.is_paused


def test_a_parser_holds_nothing_after_its_messages_are_discarded():
    parser = Parser(LIMITS)
    parser.feed(b"POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc")
    assert parser.next() is None
    assert (parser.held_bytes > 3, parser.announced_body_bytes) == (True, 10)
    parser.discard()
    assert parser.held_bytes == 0
    with pytest.raises(ProtocolError):
        parser.next()
