"""The decoding of envelopes, valid and malformed."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stepstream.leases.messages import (
    PROTOCOL_VERSION,
    Ballot,
    Envelope,
    EnvelopeError,
    Prepare,
    Propose,
    Release,
    decode,
    encode,
)
from tests.leases.lease_builders import CONFIGURATION, recovered_participant


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.data())
def test_a_corrupted_envelope_is_rejected_or_handled_without_an_error(data):
    ballot = Ballot(200, "b.1")
    messages = (Prepare("x", ballot, 3000, 5), Propose("x", ballot, 1, 200, 3000))
    encoded = encode(Envelope(PROTOCOL_VERSION, CONFIGURATION.digests, messages))
    corrupted = bytearray(encoded[: data.draw(st.integers(0, len(encoded)))])
    for _ in range(data.draw(st.integers(0, 3))):
        if corrupted:
            corrupted[data.draw(st.integers(0, len(corrupted) - 1))] = data.draw(
                st.integers(0, 255)
            )
    participant = recovered_participant()
    try:
        envelope = decode(bytes(corrupted))
    except EnvelopeError:
        return
    participant.handle(1.0, "n1", envelope)
    assert len(participant.acceptor.records) <= 2


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"\xc1", "unreadable"),
        (b"x" * 1100, "over"),
        (encode(Envelope(2, (1,), ())), "version 2"),
        (encode(Envelope(1, (1,), (Release("No Name", Ballot(1, "a")),))), "unreadable"),
        (encode(Envelope(1, (1,), (Release("x", Ballot(2**60, "a")),))), "unreadable"),
        (encode(Envelope(1, (1, 2, 3), ())), "unreadable"),
    ],
)
def test_a_malformed_envelope_is_rejected_with_the_reason(data, reason):
    with pytest.raises(EnvelopeError, match=reason):
        decode(data)
