"""The rules of a key rotation at their bounds in time."""

import pytest

from stepstream.identity.errors import IdentityCommandError
from stepstream.identity.rotation_rules import (
    has_propagated,
    is_expired,
    retire_active,
    signing_jwk,
)

OLD = {"kid": "old", "state": "retiring", "not_after": 500}
FIRST = {"kid": "first", "state": "active"}
SECOND = {"kid": "second", "state": "active"}


def test_a_next_key_signs_once_every_verifier_has_read_it():
    jwk = {"kid": "next", "state": "next", "not_before": 1000}
    assert [has_propagated(jwk, now) for now in (1059, 1060)] == [False, True]


def test_a_key_is_removed_once_its_last_token_has_expired():
    assert [is_expired(OLD, now) for now in (499, 500)] == [False, True]
    assert not is_expired({**OLD, "state": "active"}, 500)


def test_a_retired_keys_tokens_are_good_for_the_overlap():
    jwk = dict(FIRST)
    assert retire_active([jwk], 3600, 1000) == [
        "first is retiring: its tokens stay valid for 3600 s"
    ]
    assert jwk == {"kid": "first", "state": "retiring", "not_after": 4600}


def test_the_newest_active_key_signs_unless_one_is_named():
    jwks = [OLD, FIRST, SECOND]
    assert signing_jwk(jwks, None) is SECOND
    assert signing_jwk(jwks, "first") is FIRST
    with pytest.raises(IdentityCommandError, match="there is no active key"):
        signing_jwk([OLD], None)
