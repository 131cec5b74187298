"""Wire adapter: plays Balancers against the drill protocol on standard input and output.

It only translates. Every decision is taken in stepstream.balance.
"""

import sys
from collections.abc import Callable, Iterator
from typing import TextIO

from stepstream import interface as i
from stepstream.balance import Balancer
from stepstream.settings import FieldError, Fields, read_settings

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


class WireError(FieldError):
    """The peer sent something that cannot be read."""


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
            except FieldError:
                raise
            except Exception as error:  # a fault in deciding must be seen, never papered over
                reply = ["PANIC body_text=" + f"{type(error).__name__}: {error}".replace("\n", " ")]
            reply.append(f"FINISHED batch={batch}")
            sink.write("\n".join(reply) + "\n")
            sink.flush()
    except FieldError as error:
        complain(f"line {lines.number}: {error}")
        return 2
    return 0


def main() -> int:
    return run(
        sys.stdin, sys.stdout, lambda text: print("stepstream.drill:", text, file=sys.stderr)
    )


if __name__ == "__main__":
    sys.exit(main())
