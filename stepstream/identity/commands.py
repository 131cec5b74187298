"""`stepstream keys`, `stepstream token` and `stepstream identity explain`; each gives an exit code."""

import secrets
import time
from dataclasses import dataclass
from pathlib import Path

import ujson

from stepstream.config.errors import ConfigurationError
from stepstream.config.operator_file import IdentitySection as Section
from stepstream.identity.gate import prepare, rights_of, rules_of
from stepstream.identity.keeper import Keeper, KeeperError
from stepstream.identity.keys import State
from stepstream.identity.rights import Decision, Identity, Method, Verdict
from stepstream.identity.tokens import TokenError, decoded, read_object, verify


def keys(arguments: dict) -> int:
    keeper, now = Keeper(Path(arguments["--dir"])), int(time.time())
    if arguments["new"]:
        state = State.NEXT if arguments["--state"] == "next" else State.ACTIVE
        print(keeper.new(arguments["--alg"], arguments["--kid"], state, now))
    elif arguments["rotate"]:
        for line in keeper.rotate(whole(arguments, "--overlap"), now, arguments["--early"]):
            print(line)
    elif arguments["revoke"]:
        keeper.revoke(arguments["KID"])
        print(f"{arguments['KID']} is revoked: no token of it is good from the next reading on")
    else:
        for row in keeper.rows():
            ends = f" until {stamp(row['not_after'])}" if row.get("not_after") else ""
            print(
                f"{row['kid']} {row['alg']} {row['state']} since {stamp(row.get('not_before', 0))}{ends}"
            )
    return 0


def token(arguments: dict) -> int:
    if arguments["inspect"]:
        return inspect(arguments["TOKEN"])
    now = int(time.time())
    claims = {
        "iss": arguments["--issuer"],
        "aud": arguments["--audience"],
        "sub": arguments["--subject"],
        "iat": now,
        "nbf": now,
        "exp": now + whole(arguments, "--ttl"),
        "jti": secrets.token_hex(8),
    }
    print(Keeper(Path(arguments["--dir"])).issue(claims, arguments["--kid"]))
    return 0


def inspect(text: str) -> int:
    """What a token says, unverified, without its signature."""
    try:
        parts = text.encode().split(b".")
        header, claims = (read_object(decoded(part)) for part in parts[:2])
    except (TokenError, ValueError) as fault:
        raise KeeperError(f"TOKEN is none: {fault}") from None
    for name in ("iat", "nbf", "exp"):
        if isinstance(claims.get(name), int | float) and not isinstance(claims[name], bool):
            claims[f"{name} at"] = stamp(claims[name])
    print(ujson.dumps({"header": header, "claims": claims, "verified": False}, indent=1))
    return 0


@dataclass(frozen=True, slots=True)
class Explained:
    decision: Decision
    subject: str = ""
    key: str = ""


def explain(section: Section | None, text: str, kind: str, tenant: str | None) -> int:
    """The decision and the rule behind it, as the gate would take it now; 0 if allowed, else 1."""
    if section is None:
        raise ConfigurationError("the operator's file has no [identity]")
    found = explained(section, text.encode(), kind, tenant, time.time())
    decision = found.decision
    print(f"{decision.verdict.value}: {decision.reason}")
    print(f"rule: {decision.rule}")
    print(
        f"subject: {found.subject or '-'}, key: {found.key or '-'}, caller: {decision.caller or '-'}"
    )
    if decision.tenant:
        print(f"tenant: {decision.tenant}")
    return 0 if decision.verdict is Verdict.ALLOWED else 1


def explained(
    section: Section, text: bytes, kind: str, tenant: str | None, now: float
) -> Explained:
    prepared = prepare(section)
    try:
        claims = verify(text, prepared.ring, rules_of(section), now)
    except TokenError as fault:
        return Explained(Decision(Verdict.UNKNOWN, fault.reason, "identity"), key=fault.kid)
    identity = Identity(claims.subject, Method.TOKEN, claims.kid, claims.expires)
    return Explained(rights_of(section).judge(identity, kind, tenant), claims.subject, claims.kid)


def whole(arguments: dict, name: str) -> int:
    text = arguments[name]
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise KeeperError(f"{name}={text} is not a whole number of seconds")
    return int(text)


def stamp(seconds: float) -> str:
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(seconds)) if seconds else "ever"
