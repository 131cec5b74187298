"""Tokens: forged and expired ones are rejected for the expected reason, valid ones accepted.

The tests also cover the token cache, a rotation of keys, and faulty key sets.
"""

import base64
import hashlib
import hmac
import json
import re

import jwt
import pytest
from cryptography.hazmat.primitives.serialization import Encoding, PublicFormat
from hypothesis import given, settings
from hypothesis import strategies as st

from stepstream.config.errors import ConfigurationError
from stepstream.config.json_decoding import MAX_NESTING_LEVELS
from stepstream.config.operator_file import IdentitySection
from stepstream.identity.configuration import load_identity
from stepstream.identity.errors import (
    CertificateError,
    CredentialError,
    IdentityCommandError,
    IdentityError,
    KeySetError,
    TokenError,
)
from stepstream.identity.key_rotation import SigningKeyStore, generate_private_key, public_jwk
from stepstream.identity.key_set import KeyState, parse_key_set
from stepstream.identity.token_cache import CachingTokenVerifier
from stepstream.identity.tokens import Claims, TokenRules, verify_token
from tests.config.nested_json import nested_lists

NOW = 1_900_000_000
RULES = TokenRules(issuer="https://issuer.test", audience="stepstream")
KEYS = {
    kid: (alg, generate_private_key(alg))
    for kid, alg in (("ed", "EdDSA"), ("es", "ES256"), ("rs", "RS256"))
}
KEYS |= {
    kid: ("EdDSA", generate_private_key("EdDSA")) for kid in ("next", "soon", "old", "past", "gone")
}
STATE_MEMBERS = {
    "next": {"state": "next", "not_before": NOW - 10},
    "soon": {"state": "next", "not_before": NOW + 10},
    "old": {"state": "retiring", "not_after": NOW + 10},
    "past": {"state": "retiring", "not_after": NOW - 10},
    "gone": {"state": "revoked"},
}
JWKS = [
    {**public_jwk(alg, private_key), "kid": kid, **STATE_MEMBERS.get(kid, {})}
    for kid, (alg, private_key) in KEYS.items()
]
KEY_SET = parse_key_set({"keys": JWKS})
VALID_CLAIMS = {
    "iss": RULES.issuer,
    "aud": RULES.audience,
    "sub": "portal",
    "iat": NOW - 5,
    "exp": NOW + 60,
    "jti": "1",
}


def base64url(data):
    return base64.urlsafe_b64encode(data).rstrip(b"=")


def sign(kid="ed", header=None, payload=None, **claims):
    """Return a token signed with the private key of `kid`, without the members that are None."""
    alg, private_key = KEYS[kid]
    header_members = {"alg": alg, "kid": kid, "typ": "JWT", **(header or {})}
    header_members = {name: value for name, value in header_members.items() if value is not None}
    members = {
        name: value for name, value in {**VALID_CLAIMS, **claims}.items() if value is not None
    }
    data = json.dumps(members).encode() if payload is None else payload
    signing_input = base64url(json.dumps(header_members).encode()) + b"." + base64url(data)
    return (
        signing_input
        + b"."
        + base64url(jwt.get_algorithm_by_name(alg).sign(signing_input, private_key))
    )


def nested_member():
    """Return a value that is within the bound on nesting, and beyond it as a member."""
    return json.loads(nested_lists(MAX_NESTING_LEVELS))


def encode_token(header, payload=None, signature=b"x"):
    """Return a token of these parts, which need not be valid."""
    data = json.dumps(VALID_CLAIMS).encode() if payload is None else payload
    return base64url(header) + b"." + base64url(data) + b"." + base64url(signature)


def public_pem(kid):
    public_key = KEYS[kid][1].public_key()
    return public_key.public_bytes(Encoding.PEM, PublicFormat.SubjectPublicKeyInfo)


def hs256_with_the_public_key(kid):
    """Return a token signed with HS256, whose secret is the public key of `kid`."""
    signing_input = (
        base64url(json.dumps({"alg": "HS256", "kid": kid}).encode())
        + b"."
        + base64url(json.dumps(VALID_CLAIMS).encode())
    )
    return (
        signing_input
        + b"."
        + base64url(hmac.new(public_pem(kid), signing_input, hashlib.sha256).digest())
    )


def signed_by_other_key(kid, signer_kid):
    """Return a token that names `kid`, signed with another key of the same algorithm."""
    header, payload, _ = sign(kid).split(b".")
    alg, private_key = KEYS[signer_kid]
    return b".".join(
        (
            header,
            payload,
            base64url(jwt.get_algorithm_by_name(alg).sign(header + b"." + payload, private_key)),
        )
    )


REJECTED_TOKENS = {
    "empty": (b"", "not_a_token"),
    "one part": (b"abc", "not_a_token"),
    "two parts": (b"abc.def", "not_a_token"),
    "four parts": (sign() + b".x", "not_a_token"),
    "no signature": (sign().rpartition(b".")[0] + b".", "not_a_token"),
    "padding": (sign() + b"==", "not_a_token"),
    "white space": (sign() + b"\n", "not_a_token"),
    "standard base64 alphabet": (b"+/+/." + sign().partition(b".")[2], "not_a_token"),
    "one megabyte": (b"a" * 1_000_000, "too_long"),
    "one byte too long": (b"a" * 4097, "too_long"),
    "header that is not JSON": (encode_token(b"{"), "not_json"),
    "header that is a list": (encode_token(b"[]"), "not_json"),
    "deeply nested header": (encode_token(b"[" * 2000), "not_json"),
    "deeply nested member of the header": (sign(header={"x": nested_member()}), "not_json"),
    "deeply nested claim": (sign(x=nested_member()), "not_json"),
    "header in UTF-16": (encode_token('{"kid":"ed"}'.encode("utf-16")), "not_json"),
    "alg twice in the header": (
        encode_token(b'{"alg":"EdDSA","alg":"none","kid":"ed"}'),
        "duplicate_claim",
    ),
    "kid twice in the header": (
        encode_token(b'{"alg":"EdDSA","kid":"ed","kid":"es"}'),
        "duplicate_claim",
    ),
    "no kid": (sign(header={"kid": None}), "no_kid"),
    "kid that is a number": (sign(header={"kid": 1}), "bad_kid"),
    "kid that is a path": (sign(header={"kid": "../../keys/ed"}), "bad_kid"),
    "kid that is a command": (sign(header={"kid": "ed;ls"}), "bad_kid"),
    "kid too long": (sign(header={"kid": "k" * 65}), "bad_kid"),
    "kid empty": (sign(header={"kid": ""}), "bad_kid"),
    "kid unknown": (sign(header={"kid": "who"}), "unknown_kid"),
    "alg none": (sign(header={"alg": "none"}), "wrong_alg"),
    "alg None": (sign(header={"alg": "None"}), "wrong_alg"),
    "alg missing": (sign(header={"alg": None}), "wrong_alg"),
    "alg that is a list": (sign(header={"alg": ["EdDSA"]}), "wrong_alg"),
    "HS256 with the RSA public key": (hs256_with_the_public_key("rs"), "wrong_alg"),
    "HS256 with the EC public key": (hs256_with_the_public_key("es"), "wrong_alg"),
    "HS256 with the Ed25519 public key": (hs256_with_the_public_key("ed"), "wrong_alg"),
    "ES256 with an RSA key": (sign("rs", header={"alg": "ES256"}), "wrong_alg"),
    "RS512 with an RS256 key": (sign("rs", header={"alg": "RS512"}), "wrong_alg"),
    "crit": (sign(header={"crit": ["exp"]}), "crit"),
    "b64 false": (sign(header={"b64": False}), "crit"),
    "another typ": (sign(header={"typ": "JWE"}), "wrong_typ"),
    "signed by another key": (signed_by_other_key("ed", "next"), "bad_signature"),
    "signature of one byte": (
        encode_token(json.dumps({"alg": "EdDSA", "kid": "ed"}).encode(), signature=b"\0"),
        "bad_signature",
    ),
    "signature of zeros, ES256": (
        encode_token(json.dumps({"alg": "ES256", "kid": "es"}).encode(), signature=bytes(64)),
        "bad_signature",
    ),
    "key revoked": (sign("gone"), "key_revoked"),
    "key not valid yet": (sign("soon"), "key_not_yet"),
    "key past its end": (sign("past"), "key_past"),
    "payload that is not JSON": (sign(payload=b"{"), "not_json"),
    "payload that is a string": (sign(payload=b'"x"'), "not_json"),
    "NaN in the payload": (sign(payload=b'{"exp":NaN}'), "not_json"),
    "sub twice": (
        sign(payload=json.dumps(VALID_CLAIMS).encode()[:-1] + b',"sub":"admin"}'),
        "duplicate_claim",
    ),
    "no issuer": (sign(iss=None), "no_issuer"),
    "another issuer": (sign(iss="https://issuer.test.evil"), "wrong_issuer"),
    "issuer that is a list": (sign(iss=[RULES.issuer]), "wrong_issuer"),
    "no audience": (sign(aud=None), "no_audience"),
    "another audience": (sign(aud="somebody"), "wrong_audience"),
    "list of other audiences": (sign(aud=["a", "b"]), "wrong_audience"),
    "nested audience list": (sign(aud=[[RULES.audience]]), "wrong_audience"),
    "no subject": (sign(sub=None), "no_subject"),
    "subject that is a number": (sign(sub=7), "bad_subject"),
    "subject with a line break": (sign(sub="portal\nadmin"), "bad_subject"),
    "subject empty": (sign(sub=""), "bad_subject"),
    "no expiry": (sign(exp=None), "no_expiry"),
    "no issue time": (sign(iat=None), "no_issue_time"),
    "expiry that is a string": (sign(exp=str(NOW + 60)), "bad_time"),
    "expiry that is a boolean": (sign(exp=True), "bad_time"),
    "negative expiry": (sign(exp=-1), "bad_time"),
    "expiry beyond the bound": (sign(exp=1e300), "bad_time"),
    "expired": (sign(exp=NOW - 6), "expired"),
    "expired at the end of the leeway": (sign(exp=NOW - 5), "expired"),
    "not valid yet": (sign(nbf=NOW + 6), "not_yet"),
    "issued in the future": (sign(iat=NOW + 6, nbf=NOW), "issued_later"),
    "lives too long": (sign(exp=NOW + 90_000), "too_long_lived"),
    "token id that is a number": (sign(jti=5), "bad_id"),
    "token id too long": (sign(jti="x" * 200), "bad_id"),
}


@pytest.mark.parametrize("name", REJECTED_TOKENS)
def test_a_faulty_token_is_rejected_with_the_expected_reason(name):
    token, reason = REJECTED_TOKENS[name]
    with pytest.raises(TokenError) as raised:
        verify_token(token, KEY_SET, RULES, NOW)
    assert raised.value.reason == reason


@pytest.mark.parametrize("name", REJECTED_TOKENS)
def test_no_error_message_contains_a_part_of_the_token(name):
    token, _ = REJECTED_TOKENS[name]
    with pytest.raises(TokenError) as raised:
        verify_token(token, KEY_SET, RULES, NOW)
    message = str(raised.value)
    assert re.fullmatch(r"token( of [0-9A-Za-z_-]{1,64})?: [^\n]+", message)
    assert not any(part.decode() in message for part in token.split(b".") if len(part) > 3)
    assert raised.value.__suppress_context__ or raised.value.__cause__ is None


def test_errors_derive_from_the_bases_that_callers_catch():
    for error in (CredentialError, KeySetError, IdentityCommandError):
        assert issubclass(error, IdentityError)
    for error in (TokenError, CertificateError):
        assert issubclass(error, CredentialError)


def test_the_table_has_at_least_40_tokens_and_none_twice():
    assert len(REJECTED_TOKENS) >= 40
    assert len({token for token, _ in REJECTED_TOKENS.values()}) == len(REJECTED_TOKENS)


@pytest.mark.parametrize("kid", ["ed", "es", "rs", "next", "old"])
def test_valid_tokens_of_each_algorithm_and_key_state_are_accepted(kid):
    claims = verify_token(sign(kid), KEY_SET, RULES, NOW)
    assert claims == Claims("portal", kid, NOW + 60, NOW - 5, NOW - 5, "1")
    assert (
        verify_token(sign(kid, aud=["x", RULES.audience], exp=NOW - 4), KEY_SET, RULES, NOW).subject
        == "portal"
    )


@settings(derandomize=True, deadline=None, max_examples=300, database=None)
@given(
    st.sampled_from(["ed", "es", "rs"]),
    st.integers(0, 2**16),
    st.integers(1, 255),
    st.sampled_from("xid"),  # xor, insert or delete
)
def test_no_mutation_of_a_valid_token_is_accepted(kid, position, byte, mutation):
    token = bytearray(VALID_TOKENS[kid])
    position %= len(token)
    if mutation == "x":
        token[position] ^= byte
    elif mutation == "i":
        token.insert(position, byte)
    else:
        del token[position]
    try:
        claims = verify_token(bytes(token), KEY_SET, RULES, NOW)
    except TokenError:
        return
    # Base64 ignores some bits of the signature's last character. So a mutation may be accepted only
    # in this character; the header and the payload must be unchanged.
    parts = bytes(token).split(b"."), VALID_TOKENS[kid].split(b".")
    assert parts[0][:2] == parts[1][:2]
    assert claims.subject == "portal"


VALID_TOKENS = {kid: sign(kid) for kid in ("ed", "es", "rs")}


# -- the cache -------------------------------------------------------------------------------------


def rejection_reason(verifier, token, now):
    """Return why the verifier rejects a token; None if it accepts the token."""
    try:
        verifier.verify(token, now)
    except TokenError as error:
        return error.reason
    return None


def test_a_cached_token_is_rejected_after_its_expiry_or_the_end_of_its_key():
    verifier, token = CachingTokenVerifier(KEY_SET, RULES, 10), sign()
    assert [rejection_reason(verifier, token, NOW + seconds) for seconds in (0, 1, 64, 65)] == [
        None,
        None,
        None,
        "expired",
    ]
    verifier, token = CachingTokenVerifier(KEY_SET, RULES, 10), sign("old", exp=NOW + 600)
    assert [rejection_reason(verifier, token, NOW + seconds) for seconds in (0, 9, 10)] == [
        None,
        None,
        "key_past",
    ]
    assert (verifier.hit_count, verifier.miss_count) == (2, 1)


def test_a_cached_token_is_rejected_after_its_key_is_revoked_or_removed():
    verifier, token = CachingTokenVerifier(KEY_SET, RULES, 10), sign()
    assert rejection_reason(verifier, token, NOW) is None
    jwks = [{**jwk, "state": "revoked"} if jwk["kid"] == "ed" else jwk for jwk in JWKS]
    verifier = verifier.with_key_set(parse_key_set({"keys": jwks}), RULES, 10)
    assert rejection_reason(verifier, token, NOW) == "key_revoked"
    verifier = verifier.with_key_set(parse_key_set({"keys": jwks[1:]}), RULES, 10)
    assert rejection_reason(verifier, token, NOW) == "unknown_kid"


def test_an_expired_token_stays_expired_if_the_clock_steps_back():
    verifier, token = CachingTokenVerifier(KEY_SET, RULES, 10), sign()
    assert rejection_reason(verifier, token, NOW + 70) == "expired"
    assert rejection_reason(verifier, token, NOW) == "expired"


def test_a_full_cache_evicts_the_oldest_token():
    verifier = CachingTokenVerifier(KEY_SET, RULES, 2)
    tokens = [sign(jti=str(number)) for number in range(3)]
    for token in (*tokens, tokens[0]):
        verifier.verify(token, NOW)
    assert len(verifier.cached_claims) == 2
    assert verifier.miss_count == 4


def test_a_rotation_rejects_no_valid_token_and_accepts_none_after_its_end():
    """In each second, verify the tokens issued in the last 80 s; key b replaces a after 100 s."""
    kids, start = ("a", "b"), NOW
    private_keys = {kid: generate_private_key("EdDSA") for kid in kids}
    KEYS.update({kid: ("EdDSA", private_keys[kid]) for kid in kids})

    def jwks_at(second):
        key_a = {**public_jwk("EdDSA", private_keys["a"]), "kid": "a"}
        key_b = {**public_jwk("EdDSA", private_keys["b"]), "kid": "b", "not_before": start}
        if second < 100:
            return [{**key_a, "state": "active"}, {**key_b, "state": "next"}]
        if second < 160:
            return [
                {**key_a, "state": "retiring", "not_after": start + 160},
                {**key_b, "state": "active"},
            ]
        return [{**key_b, "state": "active"}]

    verifier, issued = CachingTokenVerifier(parse_key_set({"keys": jwks_at(0)}), RULES, 100), []
    for second in range(300):
        if second in (100, 160):
            verifier = verifier.with_key_set(parse_key_set({"keys": jwks_at(second)}), RULES, 100)
        now = start + second
        signer = "a" if second < 100 else "b"
        issued.append((signer, now, sign(signer, iat=now, exp=now + 30, jti=str(second))))
        for kid, issued_at, token in issued[-80:]:
            is_valid = now < issued_at + 30 + RULES.leeway_seconds and (kid == "b" or second < 160)
            assert (rejection_reason(verifier, token, now) is None) == is_valid, (
                second,
                kid,
                issued_at - start,
            )


# -- key sets --------------------------------------------------------------------------------------


def jwk(**changes):
    return {**JWKS[0], **changes}


@pytest.mark.parametrize(
    ("data", "expected_text"),
    [
        ([], "keys: not a list"),
        ({"keys": [1]}, "keys[0]: not an object"),
        ({"keys": [jwk(kid="a/b")]}, "keys[0].kid"),
        ({"keys": [jwk(alg="HS256")]}, "keys[0].alg"),
        ({"keys": [jwk(alg="none")]}, "keys[0].alg"),
        ({"keys": [jwk(alg="ES256")]}, "keys[0].kty"),
        ({"keys": [jwk(kty="oct", k="c2VjcmV0")]}, "keys[0].kty"),
        ({"keys": [jwk(d="AA")]}, "keys[0]: holds private members"),
        ({"keys": [jwk(x="AA")]}, "keys[0]: "),
        ({"keys": [jwk(state="fresh")]}, "keys[0].state"),
        ({"keys": [jwk(state="retiring")]}, "keys[0].not_after"),
        ({"keys": [jwk(not_before="x")]}, "keys[0]: not_before"),
        ({"keys": [jwk(use="enc")]}, "keys[0].use"),
        ({"keys": [jwk(), jwk()]}, "keys[1].kid: ed comes twice"),
        ({"keys": [jwk(alg=["EdDSA"])]}, "keys[0].alg"),
        ({"keys": [jwk(kid=f"k{number}") for number in range(65)]}, "more than 64"),
    ],
    ids=[
        "key set that is not an object",
        "key that is not an object",
        "faulty key id",
        "symmetric algorithm",
        "algorithm none",
        "key type of another algorithm",
        "symmetric key type",
        "private member",
        "short public key",
        "unknown state",
        "retiring key without an end",
        "not_before that is not a time",
        "use other than sig",
        "key id twice",
        "algorithm that is not a string",
        "too many keys",
    ],
)
def test_the_error_of_a_faulty_key_set_names_the_member(data, expected_text):
    with pytest.raises(KeySetError) as raised:
        parse_key_set(data)
    assert expected_text in str(raised.value)


def test_a_key_file_that_is_nested_too_deeply_is_rejected_by_the_program_and_by_commands(tmp_path):
    (tmp_path / "keys.json").write_text(f'{{"keys":{nested_lists()}}}')
    section = IdentitySection(
        keys=str(tmp_path / "keys.json"), issuer=RULES.issuer, audience=RULES.audience
    )
    with pytest.raises(ConfigurationError, match="keys.json: JSON nested more than"):
        load_identity(section)
    with pytest.raises(IdentityCommandError, match="keys.json: JSON nested more than"):
        SigningKeyStore(tmp_path).load_jwks()


def test_key_states_and_times_are_parsed():
    assert KEY_SET.find("old").state is KeyState.RETIRING
    assert KEY_SET.find("old").not_after == NOW + 10
    assert KEY_SET.find("ed").state is KeyState.ACTIVE
    with pytest.raises(TokenError) as raised:
        KEY_SET.find("nobody")
    assert raised.value.reason == "unknown_kid"
