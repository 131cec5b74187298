"""Wire adapter: plays Balancers against the drill protocol on standard input and output.

It only translates. Every decision is taken in stepstream.balance.
"""

import sys
from collections.abc import Callable, Iterator
from typing import TextIO

from stepstream import interface as i
from stepstream.balance import Balancer

EFFECTS = {"pure": i.Effect.SAFE, "token": i.Effect.KEYED, "side_effect": i.Effect.UNSAFE}
RESULTS = {
    "OK": i.Result.OK,
    "INTERNAL": i.Result.ERROR,
    "RESOURCE_EXHAUSTED": i.Result.FULL,
    "DEADLINE_EXCEEDED": i.Result.TIMEOUT,
    "UNAVAILABLE": i.Result.CONNECT_FAILED,
    "ABORTED": i.Result.RESET,
    "CANCELLED": i.Result.CANCELLED,
    "TOO_LATE": i.Result.NOT_SENT,
}
STATES = {"IN": i.WorkerState.IN, "LAME": i.WorkerState.DRAINING, "OUT": i.WorkerState.OUT}
LISTS = {
    "Partial": i.ListKind.CHANGES,
    "Complete": i.ListKind.COMPLETE,
    "Persisted": i.ListKind.PERSISTED,
    "Error": i.ListKind.FAILED,
}


class WireError(Exception):
    """The peer sent something that cannot be read."""


class Fields:
    """The name=value parts of one message; names that nobody asks for are ignored."""

    def __init__(self, parts: list[str]) -> None:
        self.values: dict[str, str] = {}
        for part in parts:
            name, eq, value = part.partition("=")
            if not eq or not name:
                raise WireError(f"'{part}' is not name=value")
            self.values[name] = value

    def text(self, name: str, default: str | None = None) -> str:
        value = self.values.get(name, default)
        if value is None:
            raise WireError(f"{name} is missing")
        return value

    def whole(self, name: str, default: int | None = None) -> int:
        value = self.values.get(name)
        if value is None and default is not None:
            return default
        try:
            return int(self.text(name))
        except ValueError:
            raise WireError(f"{name}={value} is not a whole number") from None

    def number(self, name: str, default: float | None = None) -> float:
        value = self.values.get(name)
        if value is None and default is not None:
            return default
        try:
            number = float(self.text(name))
        except ValueError:
            raise WireError(f"{name}={value} is not a number") from None
        if number != number or number in (float("inf"), float("-inf")):
            raise WireError(f"{name}={value} is not a finite number")
        return number

    def flag(self, name: str, default: bool = False) -> bool:
        value = self.values.get(name)
        if value is None:
            return default
        if value in ("1", "true"):
            return True
        if value in ("0", "false"):
            return False
        raise WireError(f"{name}={value} is not a truth value")

    def one_of(self, name: str, table: dict, default: str | None = None) -> object:
        value = self.text(name, default)
        if value not in table:
            raise WireError(f"{name}={value} is not known")
        return table[value]

    def row(self, name: str) -> list[str]:
        value = self.values.get(name, "")
        return value.split(",") if value not in ("", "-") else []


def read_settings(fields: Fields) -> i.Settings:
    count = fields.whole("services.count")
    if count < 1:
        raise WireError("services.count must be at least 1")
    try:
        kinds = [int(x) for x in fields.row("extra.class_kind")] or [-1] * count
        stretches = [float(x) for x in fields.row("extra.class_stretch")]
    except ValueError:
        raise WireError("extra.class_kind or extra.class_stretch is not a list of numbers") from None
    stretches = stretches or [fields.number(f"services.{k}.aim_stretch", 0.0) for k in range(count)]
    if len(kinds) != count or len(stretches) != count:
        raise WireError("extra.class_kind or extra.class_stretch does not match services.count")

    def job_class(k: int) -> i.JobClass:
        at = f"services.{k}."
        deadline = fields.whole(at + "deadline_us")
        return i.JobClass(
            goal_us=fields.whole(at + "goal_time_us", deadline),
            deadline_us=deadline,
            effect=fields.one_of(at + "effect", EFFECTS, "side_effect"),
            worth=fields.number(at + "worth", 1.0),
            late_worth=fields.number(at + "late_worth", 0.0),
            stretch=stretches[k],
            key_scope=fields.text(at + "key_scope", "cell"),
            window_us=fields.whole(at + "window_us", 0),
            kind=kinds[k],
        )

    fleet = fields.whole("fleet_size", 1)
    if fleet < 1:
        raise WireError("fleet_size must be at least 1")
    return i.Settings(
        classes=tuple(job_class(k) for k in range(count)),
        quotas_per_s=tuple(
            fields.number(f"projects.{k}.quota_per_s", 0.0) for k in range(fields.whole("projects.count", 0))
        ),
        over_share_worth=fields.number("over_share_worth", 1.0),
        fleet_size=fleet,
        zone=fields.whole("zone", 0),
        must_ask=fields.text("discovery", "automatic") == "subscribe",
        must_ask_us=fields.whole("safety.must_ask_in_us", 10_000_000),
        attempt_limit=fields.whole("limits.try_limit", 1),
        may_probe=fields.flag("limits.probing"),
        may_cancel=fields.flag("limits.cancelling"),
        may_duplicate=fields.flag("limits.may_duplicate"),
        may_advise_retry=fields.flag("limits.retry_after"),
        max_retry_after_us=fields.whole("limits.max_retry_after_us", 0),
        reports=fields.text("load_report.how", "none"),
        report_columns=tuple(report_name(fields, c) for c in fields.row("load_report.columns")),
        tells_start=fields.flag("extra.tells_start"),
        cross_zone_price=fields.number("deductions.cross_zone", 0.0),
        probe_price=fields.number("deductions.probe", 0.0),
        drain_grace_us=fields.whole("safety.stop_sending_within_us", 0),
        cold_share=fields.number("safety.cold_share", 1.0),
        warm_within_us=fields.whole("safety.warm_within_us", 0),
        fall_multiple=fields.number("safety.fall_multiple", 1.0),
        fall_span_us=fields.whole("safety.tip_after_us", 1_000_000),
        quantum_us=fields.whole("quantum_us", 1_000),
    )


def report_name(fields: Fields, column: str) -> str:
    """The reports' x0 and x1 by the meaning the settings give them."""
    return fields.text(f"extra.report_{column}", column) if column in ("x0", "x1") else column


def read_report(fields: Fields, settings: i.Settings) -> dict[str, float] | None:
    row = fields.row("gauge")
    if not row:
        return None
    if len(row) != len(settings.report_columns):
        raise WireError("gauge does not match load_report.columns")
    try:
        return {name: float(x) for name, x in zip(settings.report_columns, row, strict=True) if x}
    except ValueError:
        raise WireError("gauge is not a list of numbers") from None


def read_entry(fields: Fields) -> i.WorkerEntry:
    return i.WorkerEntry(
        worker=fields.text("runner"),
        zone=fields.whole("campus", 0),
        kind=fields.whole("type", 0),
        cell=fields.whole("cluster", 0),
        state=fields.one_of("mode", STATES, "IN"),
        weight=fields.number("weight", 1.0),
        started_us=fields.whole("ready_at_us", 0),
    )


def read_event(name: str, fields: Fields, settings: i.Settings) -> i.Event | None:
    """One event of an instance, or None for kinds that this library has no use for."""
    if name == "REQUEST":
        which = fields.whole("type")
        if not 0 <= which < len(settings.classes):
            raise WireError(f"type={which} is not in services")
        return i.Job(
            job=fields.text("msg_id"),
            job_class=which,
            budget_us=fields.whole("budget_us"),
            tenant=fields.whole("tenant", 0),
            key=fields.values.get("path_key"),
            slots=fields.number("cores_needed", 1.0),
            memory=fields.number("ram_units", 0.0),
            client_retry=fields.flag("again_by_client"),
        )
    if name == "ANSWER":
        return i.AttemptEnded(
            job=fields.text("msg_id"),
            attempt=fields.whole("n", 0),
            worker=fields.text("runner"),
            result=fields.one_of("state_code", RESULTS),
            spent_us=fields.whole("spent_us", 0),
            job_ended=fields.flag("finished"),
            report=read_report(fields, settings),
        )
    if name == "PROGRESS":
        if fields.whole("kind", 0) != 1:
            return None
        return i.Started(fields.text("msg_id"), fields.whole("n", 0), fields.text("runner"))
    if name == "SAMPLED":
        return i.Probed(
            worker=fields.text("runner"),
            ok=fields.text("state_code", "OK") == "OK",
            spent_us=fields.whole("spent_us", 0),
            report=read_report(fields, settings),
        )
    if name == "CANCELLED_BY_CLIENT":
        return i.ClientLeft(fields.text("msg_id"))
    if name == "WAKE":
        return i.Timer(fields.whole("ctx"))
    if name in ("STREAMING", "PEER"):
        return None
    raise WireError(f"message {name} is not known")


def write_action(action: i.Action) -> str:
    match action:
        case i.Push(job, worker, limit):
            return f"RELAY msg_id={job} limit_us={limit} runner={worker}"
        case i.Refuse(job, pause):
            return f"SAY_NO msg_id={job} pause_us={pause}"
        case i.Fail(job):
            return f"REPORT_FAILURE msg_id={job}"
        case i.Cancel(job, attempt):
            return f"DROP_ATTEMPT msg_id={job} n={attempt}"
        case i.Probe(worker):
            return f"PING runner={worker}"
        case i.WakeMe(token, at):
            return f"WAKE_ME ctx={token} moment_us={at}"
        case i.WatchList(active):
            return f"STREAM_CHANGES active={int(active)}"
        case i.FetchList():
            return "QUERY_ALL"
        case i.Log(text):
            return "WRITE_LOG body_text=" + text.replace("\n", " ")
    raise TypeError(f"no wire form for {action!r}")


class Drill:
    """Keeps the process-wide worker tables and one Balancer for each instance."""

    def __init__(self) -> None:
        self.tables: dict[int, tuple[i.WorkerEntry, ...]] = {}
        self.balancers: dict[int, Balancer] = {}
        self.settings: dict[int, i.Settings] = {}

    def batch(self, now_us: int, lines: Iterator[str]) -> list[str]:
        """Reads one batch up to its END and returns the reply's lines without FINISHED."""
        reply: list[str] = []
        events: list[i.Event] = []
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
                fields = Fields(parts)
                sheet, count = fields.whole("sheet"), fields.whole("lines", 0)
                self.tables[sheet] = tuple(self.entry(lines) for _ in range(count))
            elif name == "SWITCH_TO":
                decide()
                at = Fields(parts).whole("dispatcher")
            elif at is None:
                raise WireError(f"{name} comes before any SWITCH_TO")
            elif name == "ENLIST":
                decide()
                fields = Fields(parts)
                self.settings[at] = read_settings(fields)
                self.balancers[at] = Balancer(self.settings[at], fields.whole("rng_seed"), now_us)
            elif at not in self.balancers:
                raise WireError(f"{name} for dispatcher {at}, which is not running")
            elif name == "EXIT":
                decide()
                del self.balancers[at], self.settings[at]
            elif name == "TOPOLOGY":
                fields = Fields(parts)
                kind = fields.one_of("mode", LISTS)
                sheet = fields.whole("sheet", -1)
                if kind is not i.ListKind.FAILED and sheet not in self.tables:
                    raise WireError(f"sheet={sheet} was never sent")
                entries = () if kind is i.ListKind.FAILED else self.tables[sheet]
                events.append(i.WorkerList(kind, entries))
            else:
                event = read_event(name, Fields(parts), self.settings[at])
                if event is not None:
                    events.append(event)
        raise WireError("the input ends inside a batch")

    @staticmethod
    def entry(lines: Iterator[str]) -> i.WorkerEntry:
        name, *parts = next(lines, "").split(" ")
        if name != "RUNNER":
            raise WireError("a TABLE has fewer RUNNER lines than it announces")
        return read_entry(Fields(parts))


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
    drill, lines = Drill(), Lines(source)
    try:
        for line in lines:
            if not line:
                continue
            name, *parts = line.split(" ")
            if name != "MARK":
                raise WireError(f"expected MARK, found {name}")
            fields = Fields(parts)
            now_us, batch = fields.whole("t_us"), fields.whole("batch")
            try:
                reply = drill.batch(now_us, lines)
            except WireError:
                raise
            except Exception as error:  # a fault in deciding must be seen, never papered over
                reply = ["PANIC body_text=" + f"{type(error).__name__}: {error}".replace("\n", " ")]
            reply.append(f"FINISHED batch={batch}")
            sink.write("\n".join(reply) + "\n")
            sink.flush()
    except WireError as error:
        complain(f"line {lines.number}: {error}")
        return 2
    return 0


def main() -> int:
    return run(sys.stdin, sys.stdout, lambda text: print("stepstream.drill:", text, file=sys.stderr))


if __name__ == "__main__":
    sys.exit(main())
