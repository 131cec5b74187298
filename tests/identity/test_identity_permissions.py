"""Permissions: decisions with their reasons, rate limits against a model, and the audit log."""

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
SUSPENDED = Caller("out", frozenset(("out",)), frozenset(("*",)), frozenset(("*",)), suspended=True)
REQUIRED_METHODS = {"nav-publish": frozenset((AuthenticationMethod.CERTIFICATE,))}


def permissions_with(*callers):
    return Permissions((PORTAL, ADMIN, SUSPENDED, *callers), REQUIRED_METHODS)


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
def test_a_decision_has_its_verdict_reason_and_rule(
    principal, class_name, tenant, verdict, reason, rule
):
    decision = permissions_with().decide(principal, class_name, tenant)
    assert (decision.verdict, decision.reason, decision.rule) == (verdict, reason, rule)


def test_a_request_without_a_tenant_gets_the_only_tenant_of_its_caller():
    assert permissions_with().decide(by_token("portal"), "revalue", None).tenant == "north"


def test_a_caller_over_its_rate_gets_a_retry_after():
    slow = Caller(
        "slow",
        frozenset(("slow",)),
        frozenset(("*",)),
        frozenset(("*",)),
        rate_per_second=2.0,
        burst=1,
    )
    permissions = permissions_with(slow)
    assert permissions.admit(by_token("slow"), "revalue", "north", 10.0).verdict is Verdict.ALLOWED
    rejection = permissions.admit(by_token("slow"), "revalue", "north", 10.1)
    assert rejection.verdict is Verdict.RATE_LIMITED
    assert rejection.retry_after_seconds == pytest.approx(0.4)
    assert permissions.admit(by_token("slow"), "revalue", "north", 10.5).verdict is Verdict.ALLOWED
    # The rejected request took no token, so the caller has one again at 10.5 s. The rate of another
    # caller is counted separately.
    assert permissions.admit(by_token("admin"), "revalue", "north", 10.5).verdict is Verdict.ALLOWED


def test_a_reload_keeps_the_used_limits():
    limited = Caller(
        "few", frozenset(("few",)), frozenset(("*",)), frozenset(("*",)), max_open_requests=1
    )
    previous, reloaded = permissions_with(limited), permissions_with(limited)
    assert previous.admit(by_token("few"), "revalue", "north", 1.0).verdict is Verdict.ALLOWED
    reloaded.adopt_usage(previous)
    assert reloaded.admit(by_token("few"), "revalue", "north", 1.0).reason == "too_many_open"
    reloaded.release("few")
    assert reloaded.admit(by_token("few"), "revalue", "north", 1.0).verdict is Verdict.ALLOWED


RATE_PER_SECOND = 4
BURST = 3
MAX_OPEN_REQUESTS = 2
MILLITOKENS_PER_REQUEST = 1000
# All times are multiples of 1/8 s and the rate is 4 per second, so floats hold all sums exactly.
WAITS_MS = (125, 250, 500)


class RateLimiterMachine(RuleBasedStateMachine):
    """Compares rate limits with a model that computes in whole milliseconds and millitokens."""

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
        self.millitokens = BURST * MILLITOKENS_PER_REQUEST
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
        if self.millitokens < MILLITOKENS_PER_REQUEST:
            assert decision.reason == "over_rate"
            missing_seconds = (
                (MILLITOKENS_PER_REQUEST - self.millitokens)
                / MILLITOKENS_PER_REQUEST
                / RATE_PER_SECOND
            )
            assert decision.retry_after_seconds == pytest.approx(missing_seconds)
            return
        assert decision.verdict is Verdict.ALLOWED
        self.millitokens -= MILLITOKENS_PER_REQUEST
        self.open_requests += 1

    def refill(self):
        added = (self.now_ms - self.refilled_at_ms) * RATE_PER_SECOND
        self.millitokens = min(self.millitokens + added, BURST * MILLITOKENS_PER_REQUEST)
        self.refilled_at_ms = self.now_ms

    @rule()
    def release(self):
        self.permissions.release("c")
        self.open_requests = max(self.open_requests - 1, 0)

    @invariant()
    def open_requests_agree_with_the_model(self):
        limiter = self.permissions.rate_limiters.get("c")
        assert limiter is None or limiter.open_requests == self.open_requests


def test_rate_limits_agree_with_the_model(run_state_machine):
    run_state_machine(RateLimiterMachine)


# -- audit -----------------------------------------------------------------------------------------

DENIAL = Decision(Verdict.DENIED, "suspended", "identity.caller out: state", "out")


def parse_lines(stream):
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_audit_lines_name_the_subject_operation_and_reason_and_denials_are_rate_limited():
    now_seconds, stream = [0.0], io.StringIO()
    audit_log = AuditLog("json", 2, include_allowed=True, stream=stream, now=lambda: now_seconds[0])
    for _ in range(5):
        audit_log.record("http", "north/revalue", DENIAL, "out", "k1")
    now_seconds[0] = 1.0
    audit_log.record("http", "north/revalue", DENIAL, "out", "k1")
    audit_log.record(
        "http", "north/revalue", Decision(Verdict.ALLOWED, "allowed", "r", "portal"), "portal", "k1"
    )
    records = parse_lines(stream)
    assert len(records) == 4
    assert records[2]["left_out"] == 3
    assert {
        name: records[0][name] for name in ("front", "what", "decision", "reason", "subject", "key")
    } == {
        "front": "http",
        "what": "north/revalue",
        "decision": "denied",
        "reason": "suspended",
        "subject": "out",
        "key": "k1",
    }
    assert records[3]["decision"] == "allowed"


def test_allowed_requests_are_written_only_if_enabled_and_long_values_are_truncated():
    stream = io.StringIO()
    audit_log = AuditLog("json", 10, include_allowed=False, stream=stream)
    audit_log.record("http", "x", Decision(Verdict.ALLOWED, "allowed", "r"))
    audit_log.record("http", "w" * 1000, DENIAL, "s" * 1000, "k" * 1000)
    (record,) = parse_lines(stream)
    assert len(record["what"]) == len(record["subject"]) == len(record["key"]) == 128
