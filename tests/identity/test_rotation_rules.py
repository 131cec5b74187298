"""The rules of a key rotation, checked just before and at each time limit."""

import pytest

from stepstream.identity.errors import IdentityCommandError
from stepstream.identity.rotation_rules import (
    has_propagated,
    is_expired,
    retire_active,
    signing_jwk,
)

RETIRING = {"kid": "old", "state": "retiring", "not_after": 500}
FIRST_ACTIVE = {"kid": "first", "state": "active"}
SECOND_ACTIVE = {"kid": "second", "state": "active"}


def test_a_next_key_may_sign_60_seconds_after_its_creation():
    jwk = {"kid": "next", "state": "next", "not_before": 1000}
    assert [has_propagated(jwk, now) for now in (1059, 1060)] == [False, True]


def test_a_retiring_key_expires_at_its_end_and_an_active_key_does_not():
    assert [is_expired(RETIRING, now) for now in (499, 500)] == [False, True]
    assert not is_expired({**RETIRING, "state": "active"}, 500)


def test_tokens_of_a_retired_key_stay_valid_for_the_overlap():
    jwk = dict(FIRST_ACTIVE)
    assert retire_active([jwk], 3600, 1000) == [
        "first is retiring: its tokens stay valid for 3600 s"
    ]
    assert jwk == {"kid": "first", "state": "retiring", "not_after": 4600}


def test_the_newest_active_key_signs_unless_a_key_id_is_given():
    jwks = [RETIRING, FIRST_ACTIVE, SECOND_ACTIVE]
    assert signing_jwk(jwks, None) is SECOND_ACTIVE
    assert signing_jwk(jwks, "first") is FIRST_ACTIVE
    with pytest.raises(IdentityCommandError, match="there is no active key"):
        signing_jwk([RETIRING], None)
