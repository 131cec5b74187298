"""The rights engine: each decision with the rule behind it, and meters against a model."""

import io
import json

import pytest
from hypothesis import strategies as st
from walk import walks

from stepstream.identity.audit import Audit
from stepstream.identity.rights import Caller, Decision, Identity, Method, Rights, Verdict

PORTAL = Caller(
    "portal",
    frozenset(("portal", "portal-2")),
    frozenset(("north",)),
    frozenset(("revalue", "price-check")),
)
ADMIN = Caller("admin", frozenset(("admin",)), frozenset(("*",)), frozenset(("*",)))
OUT = Caller("out", frozenset(("out",)), frozenset(("*",)), frozenset(("*",)), suspended=True)
METHODS = {"nav-publish": frozenset((Method.CERTIFICATE,))}


def rights(*more):
    return Rights((PORTAL, ADMIN, OUT, *more), METHODS)


def by_token(subject):
    return Identity(subject, Method.TOKEN, "k")


@pytest.mark.parametrize(
    ("identity", "kind", "tenant", "verdict", "reason", "rule"),
    [
        (None, "revalue", "north", Verdict.UNKNOWN, "no_credential", "identity"),
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
            Identity("admin", Method.CERTIFICATE),
            "nav-publish",
            "south",
            Verdict.ALLOWED,
            "allowed",
            "identity.caller admin",
        ),
    ],
)
def test_each_decision_says_why(identity, kind, tenant, verdict, reason, rule):
    found = rights().judge(identity, kind, tenant)
    assert (found.verdict, found.reason, found.rule) == (verdict, reason, rule)


def test_a_caller_of_one_tenant_need_not_name_it():
    assert rights().judge(by_token("portal"), "revalue", None).tenant == "north"


def test_over_its_rate_a_caller_hears_when_to_come_back():
    slow = Caller(
        "slow", frozenset(("slow",)), frozenset(("*",)), frozenset(("*",)), rate_per_s=2.0, burst=1
    )
    engine = rights(slow)
    assert engine.admit(by_token("slow"), "revalue", "north", 10.0).verdict is Verdict.ALLOWED
    later = engine.admit(by_token("slow"), "revalue", "north", 10.1)
    assert later.verdict is Verdict.LATER
    assert later.retry_s == pytest.approx(0.4)
    assert engine.admit(by_token("slow"), "revalue", "north", 10.5).verdict is Verdict.ALLOWED
    # One caller's rate is not another's, and what is denied costs nothing.
    assert engine.admit(by_token("admin"), "revalue", "north", 10.5).verdict is Verdict.ALLOWED


def test_a_reload_keeps_what_was_used():
    few = Caller("few", frozenset(("few",)), frozenset(("*",)), frozenset(("*",)), most_open=1)
    old, new = rights(few), rights(few)
    assert old.admit(by_token("few"), "revalue", "north", 1.0).verdict is Verdict.ALLOWED
    new.carry(old)
    assert new.admit(by_token("few"), "revalue", "north", 1.0).reason == "too_many_open"
    new.ended("few")
    assert new.admit(by_token("few"), "revalue", "north", 1.0).verdict is Verdict.ALLOWED


class MeterRig:
    """The model: exact arithmetic over whole milliseconds."""

    RATE, BURST, OPEN = 4, 3, 2

    def __init__(self):
        caller = Caller(
            "c",
            frozenset(("c",)),
            frozenset(("*",)),
            frozenset(("*",)),
            False,
            self.RATE,
            self.BURST,
            self.OPEN,
        )
        self.engine, self.ms = Rights((caller,), {}), 0
        self.level, self.open, self.last = self.BURST * 1000, 0, 0

    def wait(self, ms):
        self.ms += ms

    def ask(self, _):
        found = self.engine.admit(by_token("c"), "revalue", "north", self.ms / 1000)
        if self.open >= self.OPEN:
            assert found.reason == "too_many_open"
            return
        self.level = min(self.level + (self.ms - self.last) * self.RATE, self.BURST * 1000)
        self.last = self.ms
        if self.level < 1000:
            assert found.reason == "over_rate"
            assert found.retry_s == pytest.approx((1000 - self.level) / 1000 / self.RATE)
            return
        assert found.verdict is Verdict.ALLOWED
        self.level, self.open = self.level - 1000, self.open + 1

    def end(self, _):
        self.engine.ended("c")
        self.open = max(self.open - 1, 0)

    def check(self):
        meter = self.engine.meters.get("c")
        assert meter is None or meter.open == self.open


# Quarters of a second and rates of four: sums that floats hold exactly.
test_meters_against_their_model = walks(
    MeterRig, wait=st.sampled_from((125, 250, 500)), ask=st.none(), end=st.none()
)


# -- audit ------------------------------------------------------------------------------------------------

DENIED = Decision(Verdict.DENIED, "suspended", "identity.caller out: state", "out")


def lines(stream):
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_an_audit_line_says_who_what_and_why_and_denials_are_bounded():
    clock, stream = [0.0], io.StringIO()
    audit = Audit("json", True, 2, stream, lambda: clock[0])
    for _ in range(5):
        audit.decision("http", "north/revalue", DENIED, "out", "k1")
    clock[0] = 1.0
    audit.decision("http", "north/revalue", DENIED, "out", "k1")
    audit.decision(
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


def test_allowed_requests_are_written_only_if_asked_for_and_what_is_made_up_is_cut():
    stream = io.StringIO()
    audit = Audit("json", False, 10, stream)
    audit.decision("http", "x", Decision(Verdict.ALLOWED, "allowed", "r"))
    audit.decision("http", "w" * 1000, DENIED, "s" * 1000, "k" * 1000)
    (line,) = lines(stream)
    assert len(line["what"]) == len(line["subject"]) == len(line["key"]) == 128
