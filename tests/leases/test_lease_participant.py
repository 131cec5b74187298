"""The participant: members with different configurations."""

import random

from stepstream.leases.configuration import LeaseConfiguration
from stepstream.leases.messages import PROTOCOL_VERSION, ConfigurationMismatch, Envelope, Prepare
from stepstream.leases.participant import Participant
from tests.leases.lease_builders import recovered_participant


def test_a_member_with_another_configuration_gets_a_mismatch_answer_and_no_promise():
    participant = recovered_participant()
    configuration = LeaseConfiguration(("n1", "n8", "n9"), max_ttl_seconds=6.0)
    other = Participant("n1", "n1@1", configuration, 1, random.Random(2), 0.0)
    proposer, _ = other.acquire(1.0, "x", 4.0, 1.0)
    prepare = Prepare("x", proposer.ballot, 4000, 0)
    envelope = Envelope(PROTOCOL_VERSION, configuration.digests, (prepare,))
    (answer,) = participant.handle(1.0, "n1", envelope)
    assert answer.member == "n1"
    assert isinstance(answer.envelope.messages[0], ConfigurationMismatch)
    assert "n1" in participant.mismatched_members
    other.handle(1.1, "n0", answer.envelope)
    assert not proposer.promised_by - {"n1"}
