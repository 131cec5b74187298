"""The rules of a key rotation, on the JWKs of the key file; free of I/O.

A rotation has three steps. Each is safe on its own: no valid token is rejected. The next key is
known to all verifiers before it signs. It signs while tokens of the previous key are still valid.
The previous key is removed after the last of its tokens has expired. Times are Unix seconds.
"""

from collections.abc import Iterable
from typing import Any

from stepstream.identity.errors import IdentityCommandError
from stepstream.identity.key_set import KeyState

PROPAGATION_SECONDS = 60  # within this time every verifier has read a new key file

Jwk = dict[str, Any]  # a key of the key file, with the members that `key_set` adds


def state_of(jwk: Jwk) -> KeyState:
    """Return the state of a checked JWK, active by default."""
    return KeyState(jwk.get("state", KeyState.ACTIVE.value))


def has_propagated(next_jwk: Jwk, now: int) -> bool:
    """Return whether all verifiers know a next key, so that it may sign.

    A verifier that has not read the key yet would reject its tokens.
    """
    return bool(now - next_jwk.get("not_before", 0) >= PROPAGATION_SECONDS)


def is_expired(jwk: Jwk, now: int) -> bool:
    """Return whether a key is retiring and the last of its tokens has expired."""
    return state_of(jwk) is KeyState.RETIRING and bool(jwk["not_after"] <= now)


def first_next_jwk(jwks: Iterable[Jwk]) -> Jwk | None:
    """Return the first key in the state next, which a rotation activates; None without one."""
    return next((jwk for jwk in jwks if state_of(jwk) is KeyState.NEXT), None)


def signing_jwk(jwks: Iterable[Jwk], key_id: str | None) -> Jwk:
    """Return the key that signs a token: the one named, or the newest active one.

    Raise `IdentityCommandError` if there is none.
    """
    if key_id:
        matching = [jwk for jwk in jwks if jwk["kid"] == key_id]
    else:
        matching = [jwk for jwk in jwks if state_of(jwk) is KeyState.ACTIVE]
    if not matching:
        raise IdentityCommandError(
            f"there is no key {key_id}" if key_id else "there is no active key"
        )
    return matching[-1]


def retire_active(jwks: Iterable[Jwk], overlap_seconds: int, now: int) -> list[str]:
    """Retire the active keys among the JWKs; return a line for the operator on each.

    Their tokens stay valid for `overlap_seconds`: otherwise unexpired tokens would be rejected.
    """
    lines = []
    for jwk in jwks:
        if state_of(jwk) is KeyState.ACTIVE:
            jwk["state"] = KeyState.RETIRING.value
            jwk["not_after"] = now + overlap_seconds
            lines.append(f"{jwk['kid']} is retiring: its tokens stay valid for {overlap_seconds} s")
    return lines
