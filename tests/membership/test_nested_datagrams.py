"""Datagrams of any depth, on a thread's stack: of membership, leases and health reports.

Typed decoding bounds the levels of known fields. An unknown field may be as deep as its datagram is
long, and is skipped or rejected.
"""

import pytest

from tests.membership.nested_datagrams import DECODERS, decode_or_reject
from tests.runtime.thread_stack import call_on_thread_stack


@pytest.mark.parametrize("unknown_field", [False, True])
@pytest.mark.parametrize("name", DECODERS)
def test_a_deep_datagram_is_rejected_or_its_unknown_field_is_skipped(name, unknown_field):
    # Guards against a datagram that ends the process.
    call_on_thread_stack(decode_or_reject, name, unknown_field)
