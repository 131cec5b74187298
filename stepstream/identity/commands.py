"""`stepstream keys`, `stepstream token` and `stepstream identity explain`.

Each public function takes docopt's arguments or their values, prints, and returns the exit status.
"""

import secrets
import time
from pathlib import Path
from typing import Any

import ujson

from stepstream.config.errors import ConfigurationError
from stepstream.config.fields import parse_whole_number
from stepstream.config.operator_file import IdentitySection
from stepstream.identity.active_rules import rules_at_start
from stepstream.identity.authentication import authenticate
from stepstream.identity.configuration import load_identity
from stepstream.identity.errors import IdentityCommandError, TokenError
from stepstream.identity.key_rotation import SigningKeyStore
from stepstream.identity.key_set import KeyState
from stepstream.identity.permissions import Verdict
from stepstream.identity.rotation_rules import state_of
from stepstream.identity.tokens import decode_base64url, parse_json_object
from stepstream.ports.access_control import Credential

TOKEN_ID_RANDOM_BYTES = 8
MAX_SECONDS_DIGITS = 9
TIME_CLAIMS = ("iat", "nbf", "exp")
TIME_FORMAT = "%Y-%m-%dT%H:%M:%SZ"


def run_keys_command(arguments: dict[str, Any]) -> int:
    """Create, rotate, revoke or list the signing keys of `--dir`.

    Raise `IdentityCommandError` or OSError.
    """
    key_store = SigningKeyStore(Path(arguments["--dir"]))
    now = int(time.time())
    if arguments["new"]:
        state = KeyState.NEXT if arguments["--state"] == "next" else KeyState.ACTIVE
        print(key_store.create_key(arguments["--alg"], arguments["--kid"], state, now))
    elif arguments["rotate"]:
        overlap_seconds = seconds_argument(arguments, "--overlap")
        for line in key_store.rotate(overlap_seconds, now, early=arguments["--early"]):
            print(line)
    elif arguments["revoke"]:
        key_id = arguments["KID"]
        key_store.revoke(key_id)
        print(f"{key_id} is revoked: its tokens are invalid once verifiers have reloaded the keys")
    else:
        for jwk in key_store.load_jwks():
            print(key_line(jwk))
    return 0


def key_line(jwk: dict[str, Any]) -> str:
    """Return the line that `keys list` prints for a JWK of the key file."""
    end = f" until {format_time(jwk['not_after'])}" if jwk.get("not_after") else ""
    start = format_time(jwk.get("not_before", 0))
    return f"{jwk['kid']} {jwk['alg']} {state_of(jwk).value} since {start}{end}"


def run_token_command(arguments: dict[str, Any]) -> int:
    """Issue a token or print the content of one; raise `IdentityCommandError` or OSError."""
    if arguments["inspect"]:
        return inspect_token(arguments["TOKEN"])
    now = int(time.time())
    claims = {
        "iss": arguments["--issuer"],
        "aud": arguments["--audience"],
        "sub": arguments["--subject"],
        "iat": now,
        "nbf": now,
        "exp": now + seconds_argument(arguments, "--ttl"),
        "jti": secrets.token_hex(TOKEN_ID_RANDOM_BYTES),
    }
    key_store = SigningKeyStore(Path(arguments["--dir"]))
    print(key_store.issue_token(claims, arguments["--kid"]))
    return 0


def inspect_token(token: str) -> int:
    """Print the header and claims of a token without verifying it.

    Raise `IdentityCommandError` if the token cannot be decoded.
    """
    try:
        parts = token.encode().split(b".")
        header, claims = (parse_json_object(decode_base64url(part)) for part in parts[:2])
    except TokenError as error:
        raise IdentityCommandError(f"TOKEN is not a token: {error.reason}") from error
    except ValueError as error:
        raise IdentityCommandError(f"TOKEN is not a token: {error}") from error
    for name in TIME_CLAIMS:
        value = claims.get(name)
        if isinstance(value, int | float) and not isinstance(value, bool):
            claims[f"{name} at"] = format_time(value)
    print(ujson.dumps({"header": header, "claims": claims, "verified": False}, indent=1))
    return 0


def explain_decision(
    section: IdentitySection | None, token: str, class_name: str, tenant: str | None
) -> int:
    """Print the access control's decision on a request and the rule behind it.

    Return 0 if the request is allowed and 1 if not; raise `ConfigurationError`.
    """
    if section is None:
        raise ConfigurationError("the operator's file has no [identity]")
    credential = Credential(token=token.encode())
    rules = rules_at_start(load_identity(section))
    authentication = authenticate(rules, credential, time.time())
    decision = authentication.failure or rules.permissions.decide(
        authentication.principal, class_name, tenant
    )
    print(f"{decision.verdict.value}: {decision.reason}")
    print(f"rule: {decision.rule}")
    print(
        f"subject: {authentication.subject or '-'}, key: {authentication.key_id or '-'},"
        f" caller: {decision.caller or '-'}"
    )
    if decision.tenant:
        print(f"tenant: {decision.tenant}")
    return 0 if decision.verdict is Verdict.ALLOWED else 1


def seconds_argument(arguments: dict[str, Any], name: str) -> int:
    """Return an argument in whole seconds; raise `IdentityCommandError`."""
    text: str = arguments[name]
    seconds = parse_whole_number(text, MAX_SECONDS_DIGITS)
    if seconds is None:
        raise IdentityCommandError(f"{name}={text} is not a whole number of seconds")
    return seconds


def format_time(unix_seconds: float) -> str:
    """Return a time in UTC; "ever" for 0, which means that there is no bound."""
    return time.strftime(TIME_FORMAT, time.gmtime(unix_seconds)) if unix_seconds else "ever"
