"""Received datagrams: valid ones are decoded, all others are dropped with a reason."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stepstream.lab.simulation.membership_cluster import CLUSTER_NAME
from stepstream.membership.messages import (
    MAX_DATAGRAM_BYTES,
    PROTOCOL_VERSION,
    Ack,
    Datagram,
    InvalidDatagramError,
    MemberRecord,
    MemberState,
    PingRequest,
    decode,
    encode,
)
from tests.membership.membership_builders import new_protocol

LOCAL_RECORD = new_protocol().members.local


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.data())
def test_any_bytes_decode_to_a_bounded_datagram_or_are_dropped(data):
    encoded = encode(
        Datagram(
            PROTOCOL_VERSION,
            CLUSTER_NAME,
            LOCAL_RECORD,
            PingRequest(3, "n1", "127.0.0.1:5"),
            member_records=(LOCAL_RECORD,) * 3,
        )
    )
    damaged = bytearray(encoded[: data.draw(st.integers(0, len(encoded)))])
    for _ in range(data.draw(st.integers(0, 3))):
        if damaged:
            damaged[data.draw(st.integers(0, len(damaged) - 1))] = data.draw(st.integers(0, 255))
    receiver = new_protocol(name="n1")
    try:
        datagram = decode(bytes(damaged), CLUSTER_NAME)
    except InvalidDatagramError:
        return
    receiver.handle(1.0, datagram)
    # The receiver knows at most itself, the sender and the members of three piggybacked records.
    assert len(receiver.members.by_name) <= 1 + 4
    assert datagram.cluster == CLUSTER_NAME


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"\xc1" * 10, "unreadable"),
        (b"x" * (MAX_DATAGRAM_BYTES + 1), "over"),
        (encode(Datagram(2, CLUSTER_NAME, LOCAL_RECORD, Ack(1))), "version 2"),
        (encode(Datagram(1, "other", LOCAL_RECORD, Ack(1))), "cluster 'other'"),
        (
            encode(
                Datagram(
                    1,
                    CLUSTER_NAME,
                    MemberRecord("a b", "127.0.0.1:1", 1, 0, MemberState.ALIVE),
                    Ack(1),
                )
            ),
            "unreadable",
        ),
        (
            encode(
                Datagram(
                    1, CLUSTER_NAME, MemberRecord("a", "host:1", 1, 0, MemberState.ALIVE), Ack(1)
                )
            ),
            "unreadable",
        ),
        (
            encode(
                Datagram(
                    1,
                    CLUSTER_NAME,
                    MemberRecord("a", "127.0.0.1:1", 2**60, 0, MemberState.ALIVE),
                    Ack(1),
                )
            ),
            "unreadable",
        ),
    ],
)
def test_an_invalid_datagram_is_dropped_with_its_reason(data, reason):
    with pytest.raises(InvalidDatagramError, match=reason):
        decode(data, CLUSTER_NAME)
