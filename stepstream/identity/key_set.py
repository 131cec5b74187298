"""The keys that tokens are verified with: a JWK set (RFC 7517); free of I/O.

Besides the members of RFC 7517 each key has `state` (next, active, retiring, revoked) and, in Unix
seconds, `not_before` and `not_after`. A key is used with one algorithm only, its `alg`: a token's
header selects the key by its id, but not the algorithm (RFC 8725, 3.1). A key set is immutable; any
thread may read it.
"""

import re
from dataclasses import dataclass
from enum import Enum
from typing import Any

import jwt

from stepstream.identity.errors import KeySetError, TokenError

KEY_ID_PATTERN = re.compile(r"[0-9A-Za-z_-]{1,64}")
# By `alg`: the `kty` and `crv` that it requires (RFC 7518, 6.1; RFC 8037, 2).
ALGORITHMS: dict[str, tuple[str, str | None]] = {
    "EdDSA": ("OKP", "Ed25519"),
    "ES256": ("EC", "P-256"),
    "RS256": ("RSA", None),
}
MIN_RSA_BITS = 2048  # RFC 7518, 3.3
MAX_KEYS = 64
MAX_UNIX_SECONDS = 2**53  # JSON readers keep integers below it exact (RFC 8259, 6)
# Members that hold private or symmetric keys (RFC 7518, 6.2.2, 6.3.2 and 6.4.1).
PRIVATE_MEMBERS = frozenset(("d", "p", "q", "dp", "dq", "qi", "oth", "k"))


class KeyState(Enum):
    """A key's state in the rotation. The values are those of the key file."""

    NEXT = "next"  # known to all verifiers before it signs
    ACTIVE = "active"  # signs
    RETIRING = "retiring"  # no longer signs; its tokens are valid until `not_after`
    REVOKED = "revoked"  # none of its tokens is valid any more


@dataclass(frozen=True, slots=True)
class VerificationKey:
    """A public key; times in Unix seconds."""

    key_id: str
    algorithm: str
    state: KeyState
    not_before: int = 0
    not_after: int = 0  # 0: no end
    public_key: Any = None  # in the form that the algorithm's verifier expects

    def check_usable(self, now: float) -> None:
        """Raise `TokenError` if no token of this key is valid at the Unix time `now`.

        This is checked at each use of a token, cached or not: a key may be revoked at any time.
        """
        if self.state is KeyState.REVOKED:
            raise TokenError("key_revoked", "the key is revoked", self.key_id)
        if now < self.not_before:
            raise TokenError("key_not_yet", "the key is not valid yet", self.key_id)
        if self.not_after and now >= self.not_after:
            raise TokenError("key_past", "the key has retired", self.key_id)


@dataclass(frozen=True, slots=True)
class KeySet:
    """All keys of a key file, by id."""

    keys: dict[str, VerificationKey]

    def find(self, key_id: str) -> VerificationKey:
        """Return the key with this id; raise `TokenError` if there is none."""
        key = self.keys.get(key_id)
        if key is None:
            raise TokenError("unknown_kid", "the key set has no key with this kid", key_id)
        return key


def parse_key_set(data: object) -> KeySet:
    """Read a decoded JWK set (RFC 7517, 5); raise `KeySetError` if any key is faulty."""
    jwks = data.get("keys") if isinstance(data, dict) else None
    if not isinstance(jwks, list):
        raise KeySetError("keys: not a list")
    if len(jwks) > MAX_KEYS:
        raise KeySetError(f"keys: more than {MAX_KEYS}")
    keys: dict[str, VerificationKey] = {}
    for position, jwk in enumerate(jwks):
        key = parse_key(f"keys[{position}]", jwk)
        if key.key_id in keys:
            raise KeySetError(f"keys[{position}].kid: {key.key_id} comes twice")
        keys[key.key_id] = key
    return KeySet(keys)


def parse_key(path: str, jwk: object) -> VerificationKey:
    """Read one JWK with the members that this package adds; raise `KeySetError`."""
    if not isinstance(jwk, dict):
        raise KeySetError(f"{path}: not an object")
    key_id = jwk.get("kid")
    if not isinstance(key_id, str) or not KEY_ID_PATTERN.fullmatch(key_id):
        raise KeySetError(f"{path}.kid: needs 1 to 64 letters, digits, - or _")
    algorithm = parse_algorithm(path, jwk)
    if PRIVATE_MEMBERS & jwk.keys():
        # Guards against a private key that is distributed to every verifier.
        raise KeySetError(f"{path}: holds private members; a key set is public")
    if jwk.get("use", "sig") != "sig":  # RFC 7517, 4.2
        raise KeySetError(f"{path}.use: not sig")
    state = parse_state(path, jwk)
    not_before = jwk.get("not_before", 0)
    not_after = jwk.get("not_after", 0)
    if not (is_unix_time(not_before) and is_unix_time(not_after)):
        raise KeySetError(f"{path}: not_before and not_after are Unix seconds")
    if state is KeyState.RETIRING and not not_after:
        raise KeySetError(f"{path}.not_after: a retiring key needs an end time")
    public_key = parse_public_key(path, jwk, algorithm)
    return VerificationKey(key_id, algorithm, state, not_before, not_after, public_key)


def parse_algorithm(path: str, jwk: dict[str, Any]) -> str:
    """Return a JWK's `alg`, which its `kty` and `crv` must match; raise `KeySetError`."""
    algorithm = jwk.get("alg")
    if not isinstance(algorithm, str) or algorithm not in ALGORITHMS:
        raise KeySetError(f"{path}.alg: {algorithm} is none of {', '.join(ALGORITHMS)}")
    key_type, curve = ALGORITHMS[algorithm]
    if jwk.get("kty") != key_type or (curve and jwk.get("crv") != curve):
        expected = f"{key_type} {curve or ''}".rstrip()
        raise KeySetError(f"{path}.kty: {algorithm} requires {expected}")
    return algorithm


def parse_state(path: str, jwk: dict[str, Any]) -> KeyState:
    """Return a key's `state`, active by default; raise `KeySetError`."""
    try:
        return KeyState(jwk.get("state", KeyState.ACTIVE.value))
    except ValueError as error:
        expected = ", ".join(state.value for state in KeyState)
        raise KeySetError(f"{path}.state: {jwk['state']} is none of {expected}") from error


def is_unix_time(value: object) -> bool:
    """Return whether a JSON value is whole Unix seconds."""
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value < MAX_UNIX_SECONDS


def parse_public_key(path: str, jwk: dict[str, Any], algorithm: str) -> object:
    """Return a JWK's key in the library's form; raise `KeySetError`."""
    try:
        public_key = jwt.PyJWK(jwk, algorithm=algorithm).key
    except (jwt.PyJWTError, ValueError, TypeError, KeyError) as error:
        raise KeySetError(f"{path}: {type(error).__name__}: {error}") from error
    if algorithm == "RS256" and public_key.key_size < MIN_RSA_BITS:
        raise KeySetError(f"{path}.n: fewer than {MIN_RSA_BITS} bits")
    return public_key
