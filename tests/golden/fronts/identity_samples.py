"""Samples of access control at the HTTP and Gearman servers, with the audit log's lines."""

import dataclasses
import io
import re
from pathlib import Path

from golden.fronts.configurations import Sample, module_settings
from golden.fronts.gearman_packets import INPUTS as GEARMAN_INPUTS
from golden.fronts.gearman_packets import Sending, message_bytes
from golden.fronts.gearman_samples import converse
from golden.fronts.http_requests import NOTIFICATIONS, job_request, notification
from golden.fronts.http_samples import session_steps
from golden.fronts.identity_commands import explain_samples, key_command_samples
from golden.fronts.identity_keys import NOW_SECONDS, TOKENS, key_folder, token_in

from stepstream.config.operator_file import read_operator
from stepstream.identity.access_control import IdentityAccessControl
from stepstream.identity.audit import AuditLog
from stepstream.identity.configuration import load_identity

TIME_STAMP = re.compile(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z")
MESSAGES = GEARMAN_INPUTS["access_messages"]
PEERS = {"client": "c", "worker": "w", "operator": "o"}
DENIALS_PER_SECOND = 20


class AccessControlHarness:
    """Access control by the folder's operator file, at NOW_SECONDS, and its audit log."""

    def __init__(
        self, folder: Path, form: str = "json", denials_per_second: int = DENIALS_PER_SECOND
    ) -> None:
        """Read the operator's file; `form` is the audit log's."""
        section = read_operator(str(folder / "operator.toml"), module_settings()).identity
        identity = load_identity(section)
        self.access_control = IdentityAccessControl(identity, now=lambda: NOW_SECONDS)
        self.audit_stream = io.StringIO()
        self.audit_time_seconds = 1.0
        audit_log = AuditLog(
            form,
            denials_per_second,
            include_allowed=True,
            stream=self.audit_stream,
            now=lambda: self.audit_time_seconds,
        )
        rules = dataclasses.replace(self.access_control.rules, audit_log=audit_log)
        self.access_control.rules = rules

    def advance_audit_time(self, seconds: float) -> None:
        """Move the clock of the audit log."""
        self.audit_time_seconds += seconds

    def audit(self) -> str:
        """Return the audit log's lines without their times."""
        return TIME_STAMP.sub("TIME", self.audit_stream.getvalue())


def authorization_header(token: str | None) -> str:
    """Return the header line that carries a token; no line for no token."""
    return f"Authorization: Bearer {token}\r\n" if token else ""


def client_request(
    name: str, form: str = "json", path: str = "/revalue", *, with_tenant: bool = True
) -> dict:
    """Return the HTTP results of a request with the named token, and again with a close header."""
    with key_folder() as folder:
        harness = AccessControlHarness(folder, form)
        data = job_request(authorization_header(token_in(folder, name)), path)
        if not with_tenant:
            data = data.replace(b"Tenant: tatra-invest\r\n", b"")
        closing = data.replace(b"Host: x", b"Connection: close")
        return {
            "steps": session_steps(data, harness.access_control),
            "again, and close": session_steps(closing, harness.access_control),
            "audit": harness.audit(),
        }


def worker_notification(name: str) -> dict:
    """Return the HTTP results of a worker's notification with the named token."""
    with key_folder() as folder:
        harness = AccessControlHarness(folder)
        header = authorization_header(token_in(folder, name)).encode()
        plain_request = notification(NOTIFICATIONS["lost"])
        data = plain_request.replace(b"Host: x\r\n", b"Host: x\r\n" + header)
        steps = session_steps(data, harness.access_control)
        return {"steps": steps, "audit": harness.audit()}


def denials_over_the_limit(denials_per_second: int, requests: int) -> dict:
    """Return the audit log of denials over its limit; a later line counts the omitted ones."""
    with key_folder() as folder:
        harness = AccessControlHarness(folder, denials_per_second=denials_per_second)
        for _ in range(requests):
            session_steps(job_request(), harness.access_control)
        harness.advance_audit_time(9.0)
        session_steps(job_request(), harness.access_control)
        return {"audit": harness.audit()}


def gearman_peers(name: str) -> dict:
    """Return the Gearman results of a client, a worker and an operator with the named token."""
    with key_folder() as folder:
        harness = AccessControlHarness(folder)
        token = token_in(folder, name)
        steps = []
        for role, peer in PEERS.items():
            messages = [message_bytes(message) for message in MESSAGES[role]]
            if token:
                option = {"packet": "OPTION_REQ", "arguments": [f"token:{token}"]}
                messages.insert(0, message_bytes(option))
            steps += [Sending(peer, data) for data in messages]
        talk = converse(steps, harness.access_control)
        return {"talk": talk, "audit": harness.audit()}


def identity_samples() -> dict[str, Sample]:
    """Return every sample of identity."""
    samples = key_command_samples() | explain_samples()
    samples["audit/left out"] = lambda: denials_over_the_limit(2, 5)
    for name in TOKENS:
        for form in ("json", "console"):
            case = name, form
            samples[f"http/{name}/{form}"] = lambda case=case: client_request(*case)
        samples[f"http/{name}/keyed class"] = lambda name=name: client_request(
            name, path="/nav-publish"
        )
        samples[f"http/{name}/no tenant"] = lambda name=name: client_request(
            name, with_tenant=False
        )
        samples[f"http/{name}/news"] = lambda name=name: worker_notification(name)
        samples[f"gearman/{name}"] = lambda name=name: gearman_peers(name)
    return samples
