"""Datagrams of membership, leases and health reports that are as deep as they are long."""

from stepstream.lab.simulation.membership_cluster import CLUSTER_NAME
from stepstream.leases import health_reports
from stepstream.leases import messages as lease_messages
from stepstream.leases.errors import LeaseError
from stepstream.membership import messages
from stepstream.membership.errors import MembershipError
from stepstream.membership.messages import MAX_DATAGRAM_BYTES, Ack, Datagram
from tests.membership.membership_builders import new_protocol

OPEN_ARRAY = b"\x91"  # MessagePack: an array of one element follows
NIL = b"\xc0"


def nested_arrays(space_bytes):
    """Return a value that is as deep as it is long."""
    return OPEN_ARRAY * (space_bytes - 1) + NIL


def with_unknown_field(encoded, struct_bytes, space_bytes):
    """Return a message to whose struct, an array of under 15 elements, a deep one is appended."""
    before, _, after = encoded.rpartition(struct_bytes)
    longer_struct = bytes([struct_bytes[0] + 1]) + struct_bytes[1:]
    return before + longer_struct + nested_arrays(space_bytes) + after


def decode_datagram(*, unknown_field):
    if not unknown_field:
        return messages.decode(nested_arrays(MAX_DATAGRAM_BYTES), CLUSTER_NAME)
    sound = messages.encode(Datagram(1, CLUSTER_NAME, new_protocol().members.local, Ack(7)))
    space_bytes = MAX_DATAGRAM_BYTES - len(sound)
    data = with_unknown_field(sound, messages._ENCODER.encode(Ack(7)), space_bytes)
    return messages.decode(data, CLUSTER_NAME)


def decode_lease_envelope(*, unknown_field):
    if not unknown_field:
        return lease_messages.decode(nested_arrays(lease_messages.MAX_RECEIVED_BYTES))
    sound = lease_messages.encode(lease_messages.Envelope(1, (1,), ()))
    return lease_messages.decode(with_unknown_field(sound, sound, 1_000))


def decode_health_reports(*, unknown_field):
    if not unknown_field:
        return health_reports.decode_page(nested_arrays(MAX_DATAGRAM_BYTES))
    report = health_reports.HealthReport("s-1", 5, 700, {})
    sound = health_reports.encode_page(1, [report])
    data = with_unknown_field(sound, health_reports.ENCODER.encode(report), 1_000)
    return health_reports.decode_page(data)


DECODERS = {
    "membership": decode_datagram,
    "leases": decode_lease_envelope,
    "health reports": decode_health_reports,
}


def decode_or_reject(name, unknown_field):
    """Decode a deep message; an error of its own package rejects it."""
    try:
        DECODERS[name](unknown_field=unknown_field)
    except (LeaseError, MembershipError):
        return
    assert unknown_field, "a datagram of nothing but arrays was decoded"
