"""Tokens: a table of forged and expired credentials, each rejected for its own reason, and mutations of good
ones."""

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

from stepstream.identity.errors import (
    CertificateError,
    CredentialError,
    IdentityCommandError,
    IdentityError,
    KeySetError,
    TokenError,
)
from stepstream.identity.key_rotation import generate_private_key, public_jwk
from stepstream.identity.key_set import KeyState, parse_key_set
from stepstream.identity.token_cache import CachingTokenVerifier
from stepstream.identity.tokens import Claims, TokenRules, verify_token

NOW = 1_900_000_000
RULES = TokenRules(issuer="https://issuer.test", audience="stepstream")
KEYS = {
    kid: (alg, generate_private_key(alg))
    for kid, alg in (("ed", "EdDSA"), ("es", "ES256"), ("rs", "RS256"))
}
KEYS |= {
    kid: ("EdDSA", generate_private_key("EdDSA")) for kid in ("next", "soon", "old", "past", "gone")
}
STATES = {
    "next": {"state": "next", "not_before": NOW - 10},
    "soon": {"state": "next", "not_before": NOW + 10},
    "old": {"state": "retiring", "not_after": NOW + 10},
    "past": {"state": "retiring", "not_after": NOW - 10},
    "gone": {"state": "revoked"},
}
JWKS = [
    {**public_jwk(alg, private), "kid": kid, **STATES.get(kid, {})}
    for kid, (alg, private) in KEYS.items()
]
KEY_SET = parse_key_set({"keys": JWKS})
GOOD = {
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
    """A token as a forger with the private key of `kid` would make it; None takes a claim out."""
    alg, private = KEYS[kid]
    members = {"alg": alg, "kid": kid, "typ": "JWT", **(header or {})}
    members = {name: value for name, value in members.items() if value is not None}
    body = {name: value for name, value in {**GOOD, **claims}.items() if value is not None}
    data = json.dumps(body).encode() if payload is None else payload
    signed = base64url(json.dumps(members).encode()) + b"." + base64url(data)
    return signed + b"." + base64url(jwt.get_algorithm_by_name(alg).sign(signed, private))


def raw(header, payload=None, signature=b"x"):
    data = json.dumps(GOOD).encode() if payload is None else payload
    return base64url(header) + b"." + base64url(data) + b"." + base64url(signature)


def public_pem(kid):
    public_key = KEYS[kid][1].public_key()
    return public_key.public_bytes(Encoding.PEM, PublicFormat.SubjectPublicKeyInfo)


def hs256_with_the_public_key(kid):
    signed = (
        base64url(json.dumps({"alg": "HS256", "kid": kid}).encode())
        + b"."
        + base64url(json.dumps(GOOD).encode())
    )
    return signed + b"." + base64url(hmac.new(public_pem(kid), signed, hashlib.sha256).digest())


def swapped(kid, other):
    """Signed by one key in the name of another of the same algorithm."""
    head, body, _ = sign(kid).split(b".")
    alg, private = KEYS[other]
    return b".".join(
        (head, body, base64url(jwt.get_algorithm_by_name(alg).sign(head + b"." + body, private)))
    )


FORGED = {
    "empty": (b"", "not_a_token"),
    "one part": (b"abc", "not_a_token"),
    "two parts": (b"abc.def", "not_a_token"),
    "four parts": (sign() + b".x", "not_a_token"),
    "no signature": (sign().rpartition(b".")[0] + b".", "not_a_token"),
    "padding": (sign() + b"==", "not_a_token"),
    "white space": (sign() + b"\n", "not_a_token"),
    "standard alphabet": (b"+/+/." + sign().partition(b".")[2], "not_a_token"),
    "a megabyte": (b"a" * 1_000_000, "too_long"),
    "a byte too long": (b"a" * 4097, "too_long"),
    "header no JSON": (raw(b"{"), "not_json"),
    "header a list": (raw(b"[]"), "not_json"),
    "header deep": (raw(b"[" * 2000), "not_json"),
    "header twice alg": (raw(b'{"alg":"EdDSA","alg":"none","kid":"ed"}'), "duplicate_claim"),
    "header twice kid": (raw(b'{"alg":"EdDSA","kid":"ed","kid":"es"}'), "duplicate_claim"),
    "no kid": (sign(header={"kid": None}), "no_kid"),
    "kid a number": (sign(header={"kid": 1}), "bad_kid"),
    "kid a path": (sign(header={"kid": "../../keys/ed"}), "bad_kid"),
    "kid a command": (sign(header={"kid": "ed;ls"}), "bad_kid"),
    "kid too long": (sign(header={"kid": "k" * 65}), "bad_kid"),
    "kid empty": (sign(header={"kid": ""}), "bad_kid"),
    "kid unknown": (sign(header={"kid": "who"}), "unknown_kid"),
    "alg none": (sign(header={"alg": "none"}), "wrong_alg"),
    "alg None": (sign(header={"alg": "None"}), "wrong_alg"),
    "alg missing": (sign(header={"alg": None}), "wrong_alg"),
    "alg a list": (sign(header={"alg": ["EdDSA"]}), "wrong_alg"),
    "HS256 with the RSA public key": (hs256_with_the_public_key("rs"), "wrong_alg"),
    "HS256 with the EC public key": (hs256_with_the_public_key("es"), "wrong_alg"),
    "HS256 with the Ed25519 public key": (hs256_with_the_public_key("ed"), "wrong_alg"),
    "ES256 named on an RSA key": (sign("rs", header={"alg": "ES256"}), "wrong_alg"),
    "RS512 on an RS256 key": (sign("rs", header={"alg": "RS512"}), "wrong_alg"),
    "crit": (sign(header={"crit": ["exp"]}), "crit"),
    "b64 off": (sign(header={"b64": False}), "crit"),
    "typ another": (sign(header={"typ": "JWE"}), "wrong_typ"),
    "signed by another key": (swapped("ed", "next"), "bad_signature"),
    "empty signature bytes": (
        raw(json.dumps({"alg": "EdDSA", "kid": "ed"}).encode(), signature=b"\0"),
        "bad_signature",
    ),
    "signature of zeros, ES256": (
        raw(json.dumps({"alg": "ES256", "kid": "es"}).encode(), signature=bytes(64)),
        "bad_signature",
    ),
    "key revoked": (sign("gone"), "key_revoked"),
    "key not begun": (sign("soon"), "key_not_yet"),
    "key past its end": (sign("past"), "key_past"),
    "payload no JSON": (sign(payload=b"{"), "not_json"),
    "payload a string": (sign(payload=b'"x"'), "not_json"),
    "payload NaN": (sign(payload=b'{"exp":NaN}'), "not_json"),
    "claim twice": (
        sign(payload=json.dumps(GOOD).encode()[:-1] + b',"sub":"admin"}'),
        "duplicate_claim",
    ),
    "no issuer": (sign(iss=None), "no_issuer"),
    "issuer another": (sign(iss="https://issuer.test.evil"), "wrong_issuer"),
    "issuer a list": (sign(iss=[RULES.issuer]), "wrong_issuer"),
    "no audience": (sign(aud=None), "no_audience"),
    "audience another": (sign(aud="somebody"), "wrong_audience"),
    "audiences others": (sign(aud=["a", "b"]), "wrong_audience"),
    "audience nested": (sign(aud=[[RULES.audience]]), "wrong_audience"),
    "no subject": (sign(sub=None), "no_subject"),
    "subject a number": (sign(sub=7), "bad_subject"),
    "subject with a line": (sign(sub="portal\nadmin"), "bad_subject"),
    "subject empty": (sign(sub=""), "bad_subject"),
    "no expiry": (sign(exp=None), "no_expiry"),
    "no issue time": (sign(iat=None), "no_issue_time"),
    "expiry a text": (sign(exp=str(NOW + 60)), "bad_time"),
    "expiry true": (sign(exp=True), "bad_time"),
    "expiry negative": (sign(exp=-1), "bad_time"),
    "expiry without end": (sign(exp=1e300), "bad_time"),
    "expired": (sign(exp=NOW - 6), "expired"),
    "expired at the leeway": (sign(exp=NOW - 5), "expired"),
    "not yet": (sign(nbf=NOW + 6), "not_yet"),
    "issued later": (sign(iat=NOW + 6, nbf=NOW), "issued_later"),
    "lives too long": (sign(exp=NOW + 90_000), "too_long_lived"),
    "id a number": (sign(jti=5), "bad_id"),
    "id too long": (sign(jti="x" * 200), "bad_id"),
}


@pytest.mark.parametrize("name", FORGED)
def test_each_forgery_is_rejected_for_its_own_reason(name):
    token, reason = FORGED[name]
    with pytest.raises(TokenError) as fault:
        verify_token(token, KEY_SET, RULES, NOW)
    assert fault.value.reason == reason


@pytest.mark.parametrize("name", FORGED)
def test_no_error_text_holds_a_part_of_the_token(name):
    token, _ = FORGED[name]
    with pytest.raises(TokenError) as fault:
        verify_token(token, KEY_SET, RULES, NOW)
    text = str(fault.value)
    assert re.fullmatch(r"token( of [0-9A-Za-z_-]{1,64})?: [^\n]+", text)
    assert not any(part.decode() in text for part in token.split(b".") if len(part) > 3)
    assert fault.value.__suppress_context__ or fault.value.__cause__ is None


def test_errors_have_one_base():
    for error in (CredentialError, KeySetError, IdentityCommandError):
        assert issubclass(error, IdentityError)
    for error in (TokenError, CertificateError):
        assert issubclass(error, CredentialError)


def test_the_table_is_as_long_as_it_should_be():
    assert len(FORGED) >= 40
    assert len({token for token, _ in FORGED.values()}) == len(FORGED)


@pytest.mark.parametrize("kid", ["ed", "es", "rs", "next", "old"])
def test_good_tokens_of_each_algorithm_and_state_are_accepted(kid):
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
    st.sampled_from("xid"),
)
def test_no_mutation_of_a_good_token_is_accepted(kid, at, flip, how):
    token = bytearray(TOKENS[kid])
    at %= len(token)
    if how == "x":
        token[at] ^= flip
    elif how == "i":
        token.insert(at, flip)
    else:
        del token[at]
    try:
        claims = verify_token(bytes(token), KEY_SET, RULES, NOW)
    except TokenError:
        return
    # Base64 leaves some bits of a last letter without meaning: those change nothing that is signed.
    parts = bytes(token).split(b"."), TOKENS[kid].split(b".")
    assert parts[0][:2] == parts[1][:2]
    assert claims.subject == "portal"


TOKENS = {kid: sign(kid) for kid in ("ed", "es", "rs")}


# -- the cache --------------------------------------------------------------------------------------------


def reason_of(verifier, token, now):
    try:
        verifier.verify(token, now)
    except TokenError as fault:
        return fault.reason
    return None


def test_a_cached_token_ends_with_its_time_and_with_its_key():
    verifier, token = CachingTokenVerifier(KEY_SET, RULES, 10), sign()
    assert [reason_of(verifier, token, NOW + k) for k in (0, 1, 64, 65)] == [
        None,
        None,
        None,
        "expired",
    ]
    verifier, token = CachingTokenVerifier(KEY_SET, RULES, 10), sign("old", exp=NOW + 600)
    assert [reason_of(verifier, token, NOW + k) for k in (0, 9, 10)] == [None, None, "key_past"]
    assert (verifier.hit_count, verifier.miss_count) == (2, 1)


def test_a_revocation_ends_cached_tokens_at_once():
    verifier, token = CachingTokenVerifier(KEY_SET, RULES, 10), sign()
    assert reason_of(verifier, token, NOW) is None
    jwks = [{**jwk, "state": "revoked"} if jwk["kid"] == "ed" else jwk for jwk in JWKS]
    verifier = verifier.with_key_set(parse_key_set({"keys": jwks}), RULES, 10)
    assert reason_of(verifier, token, NOW) == "key_revoked"
    verifier = verifier.with_key_set(parse_key_set({"keys": jwks[1:]}), RULES, 10)
    assert reason_of(verifier, token, NOW) == "unknown_kid"


def test_an_expired_token_stays_expired_if_the_clock_steps_back():
    verifier, token = CachingTokenVerifier(KEY_SET, RULES, 10), sign()
    assert reason_of(verifier, token, NOW + 70) == "expired"
    assert reason_of(verifier, token, NOW) == "expired"


def test_the_cache_is_bounded_and_forgets_the_oldest():
    verifier = CachingTokenVerifier(KEY_SET, RULES, 2)
    tokens = [sign(jti=str(k)) for k in range(3)]
    for token in (*tokens, tokens[0]):
        verifier.verify(token, NOW)
    assert len(verifier.cached_claims) == 2
    assert verifier.miss_count == 4


def test_a_rotation_rejects_no_good_token_and_accepts_none_past_its_end():
    """Every second of a rotation, with a token of each key made when it signed."""
    names, begun = ("a", "b"), NOW
    pair = {name: generate_private_key("EdDSA") for name in names}
    KEYS.update({name: ("EdDSA", pair[name]) for name in names})

    def ring(second):
        a = {**public_jwk("EdDSA", pair["a"]), "kid": "a"}
        b = {**public_jwk("EdDSA", pair["b"]), "kid": "b", "not_before": begun}
        if second < 100:
            return [{**a, "state": "active"}, {**b, "state": "next"}]
        if second < 160:
            return [{**a, "state": "retiring", "not_after": begun + 160}, {**b, "state": "active"}]
        return [{**b, "state": "active"}]

    verifier, held = CachingTokenVerifier(parse_key_set({"keys": ring(0)}), RULES, 100), []
    for second in range(300):
        if second in (100, 160):
            verifier = verifier.with_key_set(parse_key_set({"keys": ring(second)}), RULES, 100)
        now = begun + second
        signer = "a" if second < 100 else "b"
        held.append((signer, now, sign(signer, iat=now, exp=now + 30, jti=str(second))))
        for name, issued, token in held[-80:]:
            good = now < issued + 30 + RULES.leeway_seconds and (name == "b" or second < 160)
            assert (reason_of(verifier, token, now) is None) == good, (second, name, issued - begun)


# -- key sets ---------------------------------------------------------------------------------------------


def jwk(**changes):
    return {**JWKS[0], **changes}


@pytest.mark.parametrize(
    ("data", "text"),
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
        ({"keys": [jwk(kid=f"k{n}") for n in range(65)]}, "more than 64"),
    ],
    ids=[
        "no object",
        "no key object",
        "key id",
        "symmetric algorithm",
        "no algorithm",
        "type of another algorithm",
        "symmetric type",
        "private member",
        "short value",
        "unknown state",
        "retiring without an end",
        "start that is no time",
        "use",
        "key id twice",
        "algorithm that is no text",
        "too many keys",
    ],
)
def test_a_faulty_key_set_names_the_member(data, text):
    with pytest.raises(KeySetError) as fault:
        parse_key_set(data)
    assert text in str(fault.value)


def test_states_and_times_are_read():
    assert KEY_SET.find("old").state is KeyState.RETIRING
    assert KEY_SET.find("old").not_after == NOW + 10
    assert KEY_SET.find("ed").state is KeyState.ACTIVE
    with pytest.raises(TokenError) as fault:
        KEY_SET.find("nobody")
    assert fault.value.reason == "unknown_kid"
