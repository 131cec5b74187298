"""Wire adapter: plays Balancers against the drill protocol on standard input and output.

It only translates. Every decision is taken in stepstream.balance.
"""

import sys
from collections.abc import Callable, Iterator
from typing import TextIO

from stepstream.config.errors import ConfigurationError
from stepstream.config.fields import SettingsFields
from stepstream.config.settings_reader import read_settings
from stepstream.model.actions import (
    CancelAttempt,
    CheckHealth,
    Fail,
    FetchEndpoints,
    PolicyAction,
    Reject,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
    WriteLog,
)
from stepstream.model.endpoints import Endpoint, EndpointList, EndpointListKind, EndpointState
from stepstream.model.events import (
    AttemptEnded,
    AttemptResult,
    AttemptStarted,
    HealthChecked,
    JobAbandoned,
    JobSubmitted,
    PolicyEvent,
    TimerFired,
)
from stepstream.model.settings import Settings
from stepstream.policy.load_balancer import LoadBalancer

RESULTS = {
    "OK": AttemptResult.OK,
    "INTERNAL": AttemptResult.ERROR,
    "RESOURCE_EXHAUSTED": AttemptResult.FULL,
    "DEADLINE_EXCEEDED": AttemptResult.TIMEOUT,
    "UNAVAILABLE": AttemptResult.CONNECT_FAILED,
    "ABORTED": AttemptResult.RESET,
    "CANCELLED": AttemptResult.CANCELLED,
    "TOO_LATE": AttemptResult.NOT_SENT,
}
STATES = {"IN": EndpointState.ACTIVE, "LAME": EndpointState.DRAINING, "OUT": EndpointState.REMOVED}
LISTS = {
    "Partial": EndpointListKind.CHANGES,
    "Complete": EndpointListKind.COMPLETE,
    "Persisted": EndpointListKind.PERSISTED,
    "Error": EndpointListKind.FAILED,
}


class WireError(ConfigurationError):
    """The peer sent something that cannot be read."""


def read_report(fields: SettingsFields, settings: Settings) -> dict[str, float] | None:
    row = fields.comma_separated("gauge")
    if not row:
        return None
    if len(row) != len(settings.load_report_columns):
        raise WireError("gauge does not match load_report.columns")
    try:
        return {
            name: float(x) for name, x in zip(settings.load_report_columns, row, strict=True) if x
        }
    except ValueError:
        raise WireError("gauge is not a list of numbers") from None


def read_entry(fields: SettingsFields) -> Endpoint:
    return Endpoint(
        worker_id=fields.text("runner"),
        zone=fields.integer("campus", 0),
        worker_kind=fields.integer("type", 0),
        cell=fields.integer("cluster", 0),
        state=fields.choice("mode", STATES, "IN"),
        weight=fields.number("weight", 1.0),
        started_us=fields.integer("ready_at_us", 0),
    )


def read_event(name: str, fields: SettingsFields, settings: Settings) -> PolicyEvent | None:
    """One event of an instance, or None for kinds that this library has no use for."""
    if name == "REQUEST":
        which = fields.integer("type")
        if not 0 <= which < len(settings.classes):
            raise WireError(f"type={which} is not in services")
        return JobSubmitted(
            job_id=fields.text("msg_id"),
            job_class=which,
            budget_us=fields.integer("budget_us"),
            tenant=fields.integer("tenant", 0),
            key=fields.values.get("path_key"),
            slots=fields.number("cores_needed", 1.0),
            memory=fields.number("ram_units", 0.0),
            client_retry=fields.flag("again_by_client"),
        )
    if name == "ANSWER":
        return AttemptEnded(
            job_id=fields.text("msg_id"),
            attempt_number=fields.integer("n", 0),
            worker_id=fields.text("runner"),
            result=fields.choice("state_code", RESULTS),
            elapsed_us=fields.integer("spent_us", 0),
            job_answered=fields.flag("finished"),
            load_report=read_report(fields, settings),
        )
    if name == "PROGRESS":
        if fields.integer("kind", 0) != 1:
            return None
        return AttemptStarted(fields.text("msg_id"), fields.integer("n", 0), fields.text("runner"))
    if name == "SAMPLED":
        return HealthChecked(
            worker_id=fields.text("runner"),
            healthy=fields.text("state_code", "OK") == "OK",
            elapsed_us=fields.integer("spent_us", 0),
            load_report=read_report(fields, settings),
        )
    if name == "CANCELLED_BY_CLIENT":
        return JobAbandoned(fields.text("msg_id"))
    if name == "WAKE":
        return TimerFired(fields.integer("ctx"))
    if name in ("STREAMING", "PEER"):
        return None
    raise WireError(f"message {name} is not known")


def write_action(action: PolicyAction) -> str:
    match action:
        case StartAttempt(job, worker, limit):
            return f"RELAY msg_id={job} limit_us={limit} runner={worker}"
        case Reject(job, pause):
            return f"SAY_NO msg_id={job} pause_us={pause}"
        case Fail(job):
            return f"REPORT_FAILURE msg_id={job}"
        case CancelAttempt(job, attempt):
            return f"DROP_ATTEMPT msg_id={job} n={attempt}"
        case CheckHealth(worker):
            return f"PING runner={worker}"
        case SetTimer(token, at):
            return f"WAKE_ME ctx={token} moment_us={at}"
        case WatchEndpoints(active):
            return f"STREAM_CHANGES active={int(active)}"
        case FetchEndpoints():
            return "QUERY_ALL"
        case WriteLog(text):
            return "WRITE_LOG body_text=" + text.replace("\n", " ")
    raise TypeError(f"no wire form for {action!r}")


class SimulatorAdapter:
    """Keeps the process-wide worker tables and one Balancer for each instance."""

    def __init__(self) -> None:
        self.tables: dict[int, tuple[Endpoint, ...]] = {}
        self.balancers: dict[int, LoadBalancer] = {}
        self.settings: dict[int, Settings] = {}

    def batch(self, now_us: int, lines: Iterator[str]) -> list[str]:
        """Reads one batch up to its END and returns the reply's lines without FINISHED."""
        reply: list[str] = []
        events: list[PolicyEvent] = []
        at: int | None = None

        def decide() -> None:
            if at is not None and events and at in self.balancers:
                actions = self.balancers[at].handle(now_us, events)
                if actions:
                    reply.append(f"AS dispatcher={at}")
                    reply.extend(write_action(a) for a in actions)
            events.clear()

        for line in lines:
            name, *parts = line.split(" ")
            if name == "END":
                decide()
                return reply
            if name == "TABLE":
                fields = SettingsFields(parts)
                sheet, count = fields.integer("sheet"), fields.integer("lines", 0)
                self.tables[sheet] = tuple(self.entry(lines) for _ in range(count))
            elif name == "SWITCH_TO":
                decide()
                at = SettingsFields(parts).integer("dispatcher")
            elif at is None:
                raise WireError(f"{name} comes before any SWITCH_TO")
            elif name == "ENLIST":
                decide()
                fields = SettingsFields(parts)
                self.settings[at] = read_settings(fields)
                self.balancers[at] = LoadBalancer(
                    self.settings[at], fields.integer("rng_seed"), now_us
                )
            elif at not in self.balancers:
                raise WireError(f"{name} for dispatcher {at}, which is not running")
            elif name == "EXIT":
                decide()
                del self.balancers[at], self.settings[at]
            elif name == "TOPOLOGY":
                fields = SettingsFields(parts)
                kind = fields.choice("mode", LISTS)
                sheet = fields.integer("sheet", -1)
                if kind is not EndpointListKind.FAILED and sheet not in self.tables:
                    raise WireError(f"sheet={sheet} was never sent")
                entries = () if kind is EndpointListKind.FAILED else self.tables[sheet]
                events.append(EndpointList(kind, entries))
            else:
                event = read_event(name, SettingsFields(parts), self.settings[at])
                if event is not None:
                    events.append(event)
        raise WireError("the input ends inside a batch")

    @staticmethod
    def entry(lines: Iterator[str]) -> Endpoint:
        name, *parts = next(lines, "").split(" ")
        if name != "RUNNER":
            raise WireError("a TABLE has fewer RUNNER lines than it announces")
        return read_entry(SettingsFields(parts))


class Lines:
    """The input's lines without their ends, counted for messages."""

    def __init__(self, stream: TextIO) -> None:
        self.stream = stream
        self.number = 0

    def __iter__(self) -> "Lines":
        return self

    def __next__(self) -> str:
        line = self.stream.readline()
        if not line:
            raise StopIteration
        self.number += 1
        return line.rstrip("\r\n")


def run(source: TextIO, sink: TextIO, complain: Callable[[str], None]) -> int:
    drill, lines = SimulatorAdapter(), Lines(source)
    try:
        for line in lines:
            if not line:
                continue
            name, *parts = line.split(" ")
            if name != "MARK":
                raise WireError(f"expected MARK, found {name}")
            fields = SettingsFields(parts)
            now_us, batch = fields.integer("t_us"), fields.integer("batch")
            try:
                reply = drill.batch(now_us, lines)
            except ConfigurationError:
                raise
            except Exception as error:  # a fault in deciding must be seen, never papered over
                reply = ["PANIC body_text=" + f"{type(error).__name__}: {error}".replace("\n", " ")]
            reply.append(f"FINISHED batch={batch}")
            sink.write("\n".join(reply) + "\n")
            sink.flush()
    except ConfigurationError as error:
        complain(f"line {lines.number}: {error}")
        return 2
    return 0


def main() -> int:
    return run(
        sys.stdin,
        sys.stdout,
        lambda text: print("stepstream.simulator_adapter:", text, file=sys.stderr),
    )


if __name__ == "__main__":
    sys.exit(main())
