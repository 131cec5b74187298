"""Permissions: each decision with the rule behind it, and rate limiters against a model."""

import io
import json

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from stepstream.identity.audit import AuditLog
from stepstream.identity.permissions import (
    AuthenticationMethod,
    Caller,
    Decision,
    Permissions,
    Principal,
    Verdict,
)

PORTAL = Caller(
    "portal",
    frozenset(("portal", "portal-2")),
    frozenset(("north",)),
    frozenset(("revalue", "price-check")),
)
ADMIN = Caller("admin", frozenset(("admin",)), frozenset(("*",)), frozenset(("*",)))
OUT = Caller("out", frozenset(("out",)), frozenset(("*",)), frozenset(("*",)), suspended=True)
METHODS = {"nav-publish": frozenset((AuthenticationMethod.CERTIFICATE,))}


def permissions_with(*more):
    return Permissions((PORTAL, ADMIN, OUT, *more), METHODS)


def by_token(subject):
    return Principal(subject, AuthenticationMethod.TOKEN, "k")


@pytest.mark.parametrize(
    ("principal", "class_name", "tenant", "verdict", "reason", "rule"),
    [
        (None, "revalue", "north", Verdict.UNAUTHENTICATED, "no_credential", "identity"),
        (by_token("who"), "revalue", "north", Verdict.DENIED, "unknown_caller", "identity.caller"),
        (
            by_token("out"),
            "revalue",
            "north",
            Verdict.DENIED,
            "suspended",
            "identity.caller out: state",
        ),
        (
            by_token("portal"),
            "nav-publish",
            "north",
            Verdict.DENIED,
            "class_not_allowed",
            "identity.caller portal: classes",
        ),
        (
            by_token("portal"),
            "revalue",
            "south",
            Verdict.DENIED,
            "tenant_contradicts",
            "identity.caller portal: tenants",
        ),
        (
            by_token("portal"),
            "revalue",
            "*",
            Verdict.DENIED,
            "tenant_contradicts",
            "identity.caller portal: tenants",
        ),
        (
            by_token("admin"),
            "revalue",
            None,
            Verdict.DENIED,
            "tenant_missing",
            "identity.caller admin: tenants",
        ),
        (
            by_token("admin"),
            "nav-publish",
            "north",
            Verdict.DENIED,
            "method_not_allowed",
            "identity.methods.nav-publish",
        ),
        (
            by_token("portal-2"),
            "revalue",
            "north",
            Verdict.ALLOWED,
            "allowed",
            "identity.caller portal",
        ),
        (
            Principal("admin", AuthenticationMethod.CERTIFICATE),
            "nav-publish",
            "south",
            Verdict.ALLOWED,
            "allowed",
            "identity.caller admin",
        ),
    ],
    ids=[
        "no credential",
        "unknown caller",
        "suspended",
        "class not allowed",
        "another tenant",
        "all tenants",
        "tenant missing",
        "method not allowed",
        "allowed by token",
        "allowed by certificate",
    ],
)
def test_each_decision_says_why(principal, class_name, tenant, verdict, reason, rule):
    found = permissions_with().decide(principal, class_name, tenant)
    assert (found.verdict, found.reason, found.rule) == (verdict, reason, rule)


def test_a_caller_of_one_tenant_need_not_name_it():
    assert permissions_with().decide(by_token("portal"), "revalue", None).tenant == "north"


def test_over_its_rate_a_caller_gets_a_retry_after():
    slow = Caller(
        "slow",
        frozenset(("slow",)),
        frozenset(("*",)),
        frozenset(("*",)),
        rate_per_second=2.0,
        burst=1,
    )
    engine = permissions_with(slow)
    assert engine.admit(by_token("slow"), "revalue", "north", 10.0).verdict is Verdict.ALLOWED
    later = engine.admit(by_token("slow"), "revalue", "north", 10.1)
    assert later.verdict is Verdict.RATE_LIMITED
    assert later.retry_after_seconds == pytest.approx(0.4)
    assert engine.admit(by_token("slow"), "revalue", "north", 10.5).verdict is Verdict.ALLOWED
    # One caller's rate is not another's, and what is denied costs nothing.
    assert engine.admit(by_token("admin"), "revalue", "north", 10.5).verdict is Verdict.ALLOWED


def test_the_used_limits_outlive_a_reload():
    few = Caller(
        "few", frozenset(("few",)), frozenset(("*",)), frozenset(("*",)), max_open_requests=1
    )
    old, new = permissions_with(few), permissions_with(few)
    assert old.admit(by_token("few"), "revalue", "north", 1.0).verdict is Verdict.ALLOWED
    new.adopt_usage(old)
    assert new.admit(by_token("few"), "revalue", "north", 1.0).reason == "too_many_open"
    new.release("few")
    assert new.admit(by_token("few"), "revalue", "north", 1.0).verdict is Verdict.ALLOWED


RATE_PER_SECOND = 4
BURST = 3
MAX_OPEN_REQUESTS = 2
TOKEN = 1000  # what one request takes; a level counts in thousandths of a request
# Quarters of a second and rates of four: sums that floats hold exactly.
WAITS_MS = (125, 250, 500)


class RateLimiterMachine(RuleBasedStateMachine):
    """The model: exact arithmetic over whole milliseconds."""

    def __init__(self):
        super().__init__()
        caller = Caller(
            "c",
            frozenset(("c",)),
            frozenset(("*",)),
            frozenset(("*",)),
            rate_per_second=RATE_PER_SECOND,
            burst=BURST,
            max_open_requests=MAX_OPEN_REQUESTS,
        )
        self.permissions = Permissions((caller,), {})
        self.now_ms = 0
        self.refilled_at_ms = 0
        self.level = BURST * TOKEN
        self.open_requests = 0

    @rule(duration_ms=st.sampled_from(WAITS_MS))
    def wait(self, duration_ms):
        self.now_ms += duration_ms

    @rule()
    def admit(self):
        now_seconds = self.now_ms / 1000
        decision = self.permissions.admit(by_token("c"), "revalue", "north", now_seconds)
        if self.open_requests >= MAX_OPEN_REQUESTS:
            assert decision.reason == "too_many_open"
            return
        self.refill()
        if self.level < TOKEN:
            assert decision.reason == "over_rate"
            missing_seconds = (TOKEN - self.level) / TOKEN / RATE_PER_SECOND
            assert decision.retry_after_seconds == pytest.approx(missing_seconds)
            return
        assert decision.verdict is Verdict.ALLOWED
        self.level -= TOKEN
        self.open_requests += 1

    def refill(self):
        refilled = (self.now_ms - self.refilled_at_ms) * RATE_PER_SECOND
        self.level = min(self.level + refilled, BURST * TOKEN)
        self.refilled_at_ms = self.now_ms

    @rule()
    def end(self):
        self.permissions.release("c")
        self.open_requests = max(self.open_requests - 1, 0)

    @invariant()
    def agrees_with_the_model(self):
        limiter = self.permissions.rate_limiters.get("c")
        assert limiter is None or limiter.open_requests == self.open_requests


def test_rate_limiters_against_their_model(run_state_machine):
    run_state_machine(RateLimiterMachine)


# -- audit ------------------------------------------------------------------------------------------------

DENIED = Decision(Verdict.DENIED, "suspended", "identity.caller out: state", "out")


def lines(stream):
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_an_audit_line_says_who_what_and_why_and_denials_are_bounded():
    clock, stream = [0.0], io.StringIO()
    audit = AuditLog("json", 2, include_allowed=True, stream=stream, now=lambda: clock[0])
    for _ in range(5):
        audit.record("http", "north/revalue", DENIED, "out", "k1")
    clock[0] = 1.0
    audit.record("http", "north/revalue", DENIED, "out", "k1")
    audit.record(
        "http", "north/revalue", Decision(Verdict.ALLOWED, "allowed", "r", "portal"), "portal", "k1"
    )
    found = lines(stream)
    assert len(found) == 4
    assert found[2]["left_out"] == 3
    assert {k: found[0][k] for k in ("front", "what", "decision", "reason", "subject", "key")} == {
        "front": "http",
        "what": "north/revalue",
        "decision": "denied",
        "reason": "suspended",
        "subject": "out",
        "key": "k1",
    }
    assert found[3]["decision"] == "allowed"


def test_allowed_requests_are_written_only_if_enabled_and_long_values_are_cut():
    stream = io.StringIO()
    audit = AuditLog("json", 10, include_allowed=False, stream=stream)
    audit.record("http", "x", Decision(Verdict.ALLOWED, "allowed", "r"))
    audit.record("http", "w" * 1000, DENIED, "s" * 1000, "k" * 1000)
    (line,) = lines(stream)
    assert len(line["what"]) == len(line["subject"]) == len(line["key"]) == 128
