"""Tokens: JWT (RFC 7519) checked against the key ring at a given time; free of I/O.

The library verifies the signature. Everything that depends on the time is checked here against the caller's
clock, so that a token in the cache is judged by the same words as a new one.
"""

import base64
import binascii
import hashlib
import json
import re
import threading
from collections import OrderedDict
from dataclasses import dataclass

import jwt

from stepstream.identity.keys import ALGORITHMS, KID, Key, KeyRing

FORM = re.compile(rb"[A-Za-z0-9_-]+\.[A-Za-z0-9_-]+\.[A-Za-z0-9_-]+")
SUBJECT = re.compile(r"[!-~]{1,128}")
MOST_TIME = 2**53
VERIFIERS = {name: jwt.get_algorithm_by_name(name) for name in ALGORITHMS}


class TokenError(Exception):
    """The token identifies nobody; `reason` is one word for logs, tables and the client."""

    def __init__(self, reason: str, kid: str = "") -> None:
        super().__init__(reason)
        self.reason, self.kid = reason, kid


@dataclass(frozen=True, slots=True)
class TokenRules:
    issuer: str
    audience: str
    leeway_s: int = 5
    most_bytes: int = 4096
    longest_s: int = 86_400  # between iat and exp


@dataclass(frozen=True, slots=True)
class Claims:
    """Times in Unix seconds."""

    subject: str
    kid: str
    expires: float
    not_before: float
    issued: float
    id: str = ""


def verify(token: bytes, ring: KeyRing, rules: TokenRules, now: float) -> Claims:
    """Who the token speaks of; TokenError with the first reason why not."""
    key = key_of(token, ring, rules)
    if (fault := key.fault(now)) is not None:
        raise TokenError(fault, key.kid)
    signed, _, signature = token.rpartition(b".")
    # The algorithm is the key's. What the header says of it has been compared, and is not asked again.
    if not VERIFIERS[key.algorithm].verify(signed, key.public, decoded(signature)):
        raise TokenError("bad_signature", key.kid)
    claims = read_claims(decoded(signed.partition(b".")[2]), key, rules)
    check_times(claims, rules, now)
    return claims


def key_of(token: bytes, ring: KeyRing, rules: TokenRules) -> Key:
    """By the header's `kid` alone; nothing is parsed before its size is bounded."""
    if len(token) > rules.most_bytes:
        raise TokenError("too_long")
    if not FORM.fullmatch(token):
        raise TokenError("not_a_token")
    header = read_object(decoded(token.split(b".")[0]))
    kid = header.get("kid")
    if not isinstance(kid, str) or not KID.fullmatch(kid):
        raise TokenError("no_kid" if kid is None else "bad_kid")
    key = ring.find(kid)
    if key is None:
        raise TokenError("unknown_kid", kid)
    if header.get("alg") != key.algorithm:
        raise TokenError("wrong_alg", kid)
    if header.get("typ", "JWT") not in ("JWT", "at+jwt"):
        raise TokenError("wrong_typ", kid)
    if "crit" in header or header.get("b64") is False:
        raise TokenError("crit", kid)  # RFC 7515, 4.1.11: extensions that are not understood
    return key


def decoded(part: bytes) -> bytes:
    try:
        return base64.urlsafe_b64decode(part + b"=" * (-len(part) % 4))
    except (binascii.Error, ValueError):
        raise TokenError("not_a_token") from None


def read_object(data: bytes) -> dict:
    """Guards against a member that comes twice: two readers would each see another one."""

    def once(pairs: list[tuple[str, object]]) -> dict:
        found = dict(pairs)
        if len(found) != len(pairs):
            raise TokenError("duplicate_claim")
        return found

    try:
        value = json.loads(data, object_pairs_hook=once, parse_constant=not_finite)
    except (ValueError, RecursionError):
        raise TokenError("not_json") from None
    if not isinstance(value, dict):
        raise TokenError("not_json")
    return value


def not_finite(_: str) -> object:
    raise TokenError("not_json")


def read_claims(payload: bytes, key: Key, rules: TokenRules) -> Claims:
    claims = read_object(payload)
    if claims.get("iss") != rules.issuer:
        raise TokenError("wrong_issuer" if "iss" in claims else "no_issuer", key.kid)
    audience = claims.get("aud")
    heard = audience if isinstance(audience, list) else [audience]
    if rules.audience not in [one for one in heard if isinstance(one, str)]:
        raise TokenError("wrong_audience" if audience is not None else "no_audience", key.kid)
    subject = claims.get("sub")
    if not isinstance(subject, str) or not SUBJECT.fullmatch(subject):
        raise TokenError("bad_subject" if subject is not None else "no_subject", key.kid)
    expires, issued = (time_of(claims, name, key) for name in ("exp", "iat"))
    if expires is None:
        raise TokenError("no_expiry", key.kid)
    if issued is None:
        raise TokenError("no_issue_time", key.kid)
    not_before = time_of(claims, "nbf", key)
    named = claims.get("jti", "")
    if not isinstance(named, str) or len(named) > 128:
        raise TokenError("bad_id", key.kid)
    return Claims(
        subject, key.kid, expires, issued if not_before is None else not_before, issued, named
    )


def time_of(claims: dict, name: str, key: Key) -> float | None:
    value = claims.get(name)
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < MOST_TIME:
        raise TokenError("bad_time", key.kid)
    return float(value)


def check_times(claims: Claims, rules: TokenRules, now: float) -> None:
    if claims.expires - claims.issued > rules.longest_s:
        raise TokenError("too_long_lived", claims.kid)
    if now >= claims.expires + rules.leeway_s:
        raise TokenError("expired", claims.kid)
    if now < claims.not_before - rules.leeway_s:
        raise TokenError("not_yet", claims.kid)
    if now < claims.issued - rules.leeway_s:
        raise TokenError("issued_later", claims.kid)


class Verifier:
    """Verified tokens kept by their hash: bounded, and judged anew in everything that may have changed.

    A cached token is good only while its key is in the present ring unrevoked and its own times hold; the
    signature alone is not looked at again. A new ring empties the cache.
    """

    def __init__(self, ring: KeyRing, rules: TokenRules, most: int) -> None:
        self.ring, self.rules, self.most = ring, rules, most
        self.known: OrderedDict[bytes, Claims] = OrderedDict()
        self.hits = self.misses = 0
        self.latest = 0.0
        self.lock = threading.Lock()  # of the table's order; a look needs none

    def replaced(self, ring: KeyRing, rules: TokenRules, most: int) -> "Verifier":
        """One for a new ring; the time that has been goes along."""
        new = Verifier(ring, rules, most)
        new.latest = self.latest
        return new

    def verify(self, token: bytes, now: float) -> Claims:
        # Guards against a clock that steps back: what has expired stays so.
        self.latest = now = max(now, self.latest)
        if len(token) > self.rules.most_bytes:
            raise TokenError("too_long")
        mark = hashlib.sha256(token).digest()
        claims = self.known.get(mark)
        if claims is None:
            self.misses += 1
            claims = verify(token, self.ring, self.rules, now)
            with self.lock:
                self.known[mark] = claims
                while len(self.known) > self.most:
                    self.known.popitem(last=False)
            return claims
        self.hits += 1
        try:
            key = self.ring.find(claims.kid)
            if key is None:
                raise TokenError("unknown_kid", claims.kid)
            if (fault := key.fault(now)) is not None:
                raise TokenError(fault, claims.kid)
            check_times(claims, self.rules, now)
        except TokenError:
            self.known.pop(mark, None)
            raise
        return claims
