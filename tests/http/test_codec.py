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
