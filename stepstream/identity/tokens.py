"""Verification of bearer tokens: JWT (RFC 7519) in JWS compact form (RFC 7515); free of I/O.

A token is verified against a key set at a given time. The library verifies the signature only.
Times are checked here against the time passed in, so that a cached token is checked by the same
functions as a new one. The module has no state; any thread may call the functions.
"""

import base64
import binascii
import json
import re
from dataclasses import dataclass
from typing import Any, NoReturn

import jwt

from stepstream.config.json_decoding import JsonNestingError, check_nesting
from stepstream.identity.errors import TokenError
from stepstream.identity.key_set import (
    ALGORITHMS,
    KEY_ID_PATTERN,
    MAX_UNIX_SECONDS,
    KeySet,
    VerificationKey,
)

# Three base64url parts without padding. The empty signature of `alg` none does not match.
COMPACT_FORM = re.compile(rb"[A-Za-z0-9_-]+\.[A-Za-z0-9_-]+\.[A-Za-z0-9_-]+")
SUBJECT_PATTERN = re.compile(r"[!-~]{1,128}")
ACCEPTED_TYPES = ("JWT", "at+jwt")  # RFC 7519, 5.1; RFC 9068, 2.1
MAX_TOKEN_ID_LENGTH = 128
SIGNATURE_VERIFIERS = {name: jwt.get_algorithm_by_name(name) for name in ALGORITHMS}


@dataclass(frozen=True, slots=True)
class TokenRules:
    """What a token must satisfy besides the check of its signature."""

    issuer: str
    audience: str
    leeway_seconds: int = 5  # tolerated difference between clocks
    max_bytes: int = 4096
    max_lifetime_seconds: int = 86_400  # from `iat` to `exp`


@dataclass(frozen=True, slots=True)
class Claims:
    """The claims of a verified token; times in Unix seconds."""

    subject: str
    key_id: str
    expires_at: float
    not_before: float
    issued_at: float
    token_id: str = ""


def verify_token(token: bytes, key_set: KeySet, rules: TokenRules, now: float) -> Claims:
    """Return the claims of a token; raise `TokenError` for the first check that it fails."""
    key = select_key(token, key_set, rules)
    key.check_usable(now)
    signing_input, _, signature = token.rpartition(b".")
    # The key determines the algorithm. `select_key` has compared the header's `alg` with it
    # (RFC 8725, 3.1).
    verifier = SIGNATURE_VERIFIERS[key.algorithm]
    if not verifier.verify(signing_input, key.public_key, decode_base64url(signature)):
        raise TokenError("bad_signature", "the signature does not match the key", key.key_id)
    payload = decode_base64url(signing_input.partition(b".")[2])
    claims = parse_claims(payload, key.key_id, rules)
    check_times(claims, rules, now)
    return claims


def check_size(token: bytes, rules: TokenRules) -> None:
    """Raise `TokenError` for a token over the size limit, before any part of it is parsed."""
    if len(token) > rules.max_bytes:
        raise TokenError("too_long", f"longer than {rules.max_bytes} bytes")


def select_key(token: bytes, key_set: KeySet, rules: TokenRules) -> VerificationKey:
    """Return the key that the header's `kid` names; raise `TokenError`.

    The size is checked before anything is parsed. See RFC 7515, 4.1 for the header's members.
    """
    check_size(token, rules)
    if not COMPACT_FORM.fullmatch(token):
        raise TokenError("not_a_token", "not three base64url parts")
    header = parse_json_object(decode_base64url(token.split(b".")[0]))
    key_id = header.get("kid")
    if key_id is None:
        raise TokenError("no_kid", "the header has no kid")
    if not isinstance(key_id, str) or not KEY_ID_PATTERN.fullmatch(key_id):
        raise TokenError("bad_kid", "kid is not 1 to 64 letters, digits, - or _")
    key = key_set.find(key_id)
    if header.get("alg") != key.algorithm:
        raise TokenError("wrong_alg", f"the header's alg is not {key.algorithm}", key_id)
    if header.get("typ", "JWT") not in ACCEPTED_TYPES:
        raise TokenError("wrong_typ", f"typ is none of {', '.join(ACCEPTED_TYPES)}", key_id)
    if "crit" in header or header.get("b64") is False:
        # Unknown extensions must not be ignored (RFC 7515, 4.1.11; RFC 7797).
        raise TokenError("crit", "the header requires extensions that are not supported", key_id)
    return key


def decode_base64url(part: bytes) -> bytes:
    """Decode base64url without padding (RFC 7515, 2); raise `TokenError`."""
    try:
        return base64.urlsafe_b64decode(part + b"=" * (-len(part) % 4))
    except (binascii.Error, ValueError):
        # No cause is chained here and in `parse_json_object`: the cause may quote the credential.
        raise TokenError("not_a_token", "a part is not base64url") from None


def parse_json_object(data: bytes) -> dict[str, Any]:
    """Decode a JSON object; raise `TokenError`.

    Names must be unique (RFC 7515, 4; RFC 7519, 4): otherwise two readers could see different
    values.
    """
    try:
        # Decoded first: `json.loads` would take bytes as UTF-16 as well, which RFC 7515 rules out.
        text = data.decode()
        check_nesting(text)
        value = json.loads(
            text, object_pairs_hook=reject_duplicate_names, parse_constant=reject_constant
        )
    except JsonNestingError as error:
        raise TokenError("not_json", f"a part is {error}") from None
    except ValueError:
        raise TokenError("not_json", "a part is not JSON") from None
    if not isinstance(value, dict):
        raise TokenError("not_json", "a part is not a JSON object")
    return value


def reject_duplicate_names(members: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return a JSON object from its members; raise `TokenError` if a name occurs twice."""
    value = dict(members)
    if len(value) != len(members):
        raise TokenError("duplicate_claim", "a JSON object has two members of one name")
    return value


def reject_constant(_constant: str) -> NoReturn:
    """Raise `TokenError` for NaN and infinities, which are not JSON (RFC 8259, 6)."""
    raise TokenError("not_json", "a number is not finite")


def parse_claims(payload: bytes, key_id: str, rules: TokenRules) -> Claims:
    """Read the claims of a token whose signature is valid (RFC 7519, 4.1); raise `TokenError`."""
    claims = parse_json_object(payload)
    check_issuer_and_audience(claims, key_id, rules)
    subject = claims.get("sub")
    if subject is None:
        raise TokenError("no_subject", "there is no sub", key_id)
    if not isinstance(subject, str) or not SUBJECT_PATTERN.fullmatch(subject):
        raise TokenError("bad_subject", "sub is not 1 to 128 visible ASCII characters", key_id)
    expires_at = numeric_date(claims, "exp", key_id)
    issued_at = numeric_date(claims, "iat", key_id)
    if expires_at is None:
        raise TokenError("no_expiry", "there is no exp", key_id)
    if issued_at is None:
        raise TokenError("no_issue_time", "there is no iat", key_id)
    not_before = numeric_date(claims, "nbf", key_id)
    if not_before is None:
        not_before = issued_at
    token_id = claims.get("jti", "")
    if not isinstance(token_id, str) or len(token_id) > MAX_TOKEN_ID_LENGTH:
        raise TokenError("bad_id", f"jti is not up to {MAX_TOKEN_ID_LENGTH} characters", key_id)
    return Claims(subject, key_id, expires_at, not_before, issued_at, token_id)


def check_issuer_and_audience(claims: dict[str, Any], key_id: str, rules: TokenRules) -> None:
    """Check `iss` and `aud` (RFC 7519, 4.1.1 and 4.1.3); raise `TokenError`."""
    if "iss" not in claims:
        raise TokenError("no_issuer", "there is no iss", key_id)
    if claims["iss"] != rules.issuer:
        raise TokenError("wrong_issuer", "iss is not identity.issuer", key_id)
    audience = claims.get("aud")
    if audience is None:
        raise TokenError("no_audience", "there is no aud", key_id)
    audiences = audience if isinstance(audience, list) else [audience]
    if rules.audience not in [member for member in audiences if isinstance(member, str)]:
        raise TokenError("wrong_audience", "aud does not name identity.audience", key_id)


def numeric_date(claims: dict[str, Any], name: str, key_id: str) -> float | None:
    """Return a claim that is a NumericDate (RFC 7519, 2), in Unix seconds; None if it is missing.

    Raise `TokenError` if the claim is not Unix seconds.
    """
    value = claims.get(name)
    if value is None:
        return None
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 <= value < MAX_UNIX_SECONDS:
        raise TokenError("bad_time", f"{name} is not Unix seconds", key_id)
    return float(value)


def check_times(claims: Claims, rules: TokenRules, now: float) -> None:
    """Raise `TokenError` if a token is not valid at the Unix time `now` (RFC 7519, 4.1.4 to 6).

    Each time is compared with the leeway, because clocks differ. The lifetime is bounded, so that a
    stolen token does not stay valid for ever.
    """
    if claims.expires_at - claims.issued_at > rules.max_lifetime_seconds:
        explanation = f"exp is more than {rules.max_lifetime_seconds} s after iat"
        raise TokenError("too_long_lived", explanation, claims.key_id)
    if now >= claims.expires_at + rules.leeway_seconds:
        raise TokenError("expired", "exp has passed", claims.key_id)
    if now < claims.not_before - rules.leeway_seconds:
        raise TokenError("not_yet", "nbf is in the future", claims.key_id)
    if now < claims.issued_at - rules.leeway_seconds:
        raise TokenError("issued_later", "iat is in the future", claims.key_id)
