"""The rules of a key rotation, on the rows of the key file; free of I/O.

A rotation has three steps, each safe on its own. The next key is known to all verifiers before it
signs. It signs while tokens of the previous key are still good. The previous key is removed once
the last of its tokens has expired. Times are Unix seconds.
"""

from collections.abc import Iterable
from typing import Any

from stepstream.identity.errors import IdentityCommandError
from stepstream.identity.key_set import KeyState

PROPAGATION_SECONDS = 60  # every verifier has read the key file by then

JwkRow = dict[str, Any]  # a key's row in the key file


def state_of(row: JwkRow) -> KeyState:
    """Return a checked row's state; a row without one is active."""
    return KeyState(row.get("state", KeyState.ACTIVE.value))


def has_propagated(next_row: JwkRow, now: int) -> bool:
    """Decide whether all verifiers know a next key, so that it may sign.

    A verifier that has not read it yet would reject its tokens.
    """
    return bool(now - next_row.get("not_before", 0) >= PROPAGATION_SECONDS)


def is_expired(row: JwkRow, now: int) -> bool:
    """Decide whether a key is removed: it is retired, and the last of its tokens has expired."""
    return state_of(row) is KeyState.RETIRING and bool(row["not_after"] <= now)


def first_next_row(rows: Iterable[JwkRow]) -> JwkRow | None:
    """Return the next key that signs after a rotation, None without one."""
    return next((row for row in rows if state_of(row) is KeyState.NEXT), None)


def signing_row(rows: Iterable[JwkRow], key_id: str | None) -> JwkRow:
    """Return the key that signs a token: the one named, or the newest active one.

    Raise `IdentityCommandError` if there is none.
    """
    if key_id:
        matching = [row for row in rows if row["kid"] == key_id]
    else:
        matching = [row for row in rows if state_of(row) is KeyState.ACTIVE]
    if not matching:
        raise IdentityCommandError(
            f"there is no key {key_id}" if key_id else "there is no active key"
        )
    return matching[-1]


def retire_active(rows: Iterable[JwkRow], overlap_seconds: int, now: int) -> list[str]:
    """Retire the active keys in the rows; return a line for the operator on each.

    Their tokens are good for `overlap_seconds` more: an abrupt end would reject good tokens.
    """
    lines = []
    for row in rows:
        if state_of(row) is KeyState.ACTIVE:
            row["state"] = KeyState.RETIRING.value
            row["not_after"] = now + overlap_seconds
            lines.append(f"{row['kid']} is retiring: its tokens stay valid for {overlap_seconds} s")
    return lines
