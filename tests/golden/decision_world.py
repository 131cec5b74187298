"""A seeded world of clients, workers and discovery round one policy, in plain data only.

The policy's actions have consequences: its pushes queue, start, end, fail, are turned away, time
out or are never begun; its probes and calls for the worker list are answered; its timers ring when
they are due. The world need not be fair or likely. It has to make the policy run all of its code,
and to do so reproducibly.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

SECOND_US = 1_000_000
START_US = 5 * SECOND_US
LONGEST_REPORT_DELAY_US = 80_000
CANCEL_US = 3_000  # until a cancelled attempt has ended
ALL_INCIDENTS = (
    "drain",
    "remove",
    "add",
    "restart",
    "reweigh",
    "complete_list",
    "persisted_list",
    "watch_breaks",
    "sicken",
    "slow",
    "lose",
    "unreachable",
    "heal",
    "surge",
    "stray",
)


@dataclass(frozen=True)
class Scenario:
    """What one recorded stream is about."""

    name: str
    settings: dict[str, str]
    seed: int
    seconds: float = 8.0
    workers: int = 8
    jobs_per_s: float = 60.0
    work_us: int = 60_000  # mean run of a job on a usual worker
    worker_slots: float = 2.0
    queue_limit: int = 4  # jobs that a worker lets wait before it says that it is full
    zones: int = 2
    kinds: int = 2
    cells: int = 3
    reloads: tuple[dict[str, str], ...] = ()  # further settings, at equal distances
    incidents: tuple[str, ...] = ("drain", "restart", "add", "stray")
    incidents_per_s: float = 1.0
    error_part: float = 0.03
    cold_part: float = 0.0  # of the first workers that have just started
    silent_start_part: float = 0.1  # of starts that are not told
    keys: int = 12
    hot_key_part: float = 0.4
    keyless_part: float = 0.3  # of the jobs that need no key
    job_slots: tuple[float, ...] = (1.0,)
    leave_part: float = 0.02  # of clients that leave before their answer
    retry_part: float = 0.0  # of jobs that are marked as a client's repeat
    names_runs: bool = False  # some workers name what they run
    empty_start: bool = False  # the list from before the start is empty
    list_failures: int = 0  # calls for the list that fail before the first answer
    list_failure_part: float = 0.0
    list_delay_us: int = 40_000


@dataclass
class Machine:
    """A simulated worker."""

    entry: dict
    slots: float
    speed: float = 1.0
    error_part: float = 0.0
    reachable: bool = True
    loses: int = -1  # the class that it takes and never begins
    queue: list["Try"] = field(default_factory=list)
    running: list["Try"] = field(default_factory=list)

    @property
    def free_slots(self) -> float:
        return self.slots - sum(attempt.job["slots"] for attempt in self.running)


@dataclass
class Try:
    """One attempt that is out."""

    job: dict
    number: int
    machine: Machine
    sent_us: int
    over: bool = False


class World:
    """Plays one scenario; `decide` is the policy under test."""

    def __init__(self, scenario: Scenario, decide: Callable[[int, list[dict]], list[dict]]) -> None:
        self.scenario, self.decide = scenario, decide
        self.random = Random(scenario.seed)
        self.settings = scenario.settings
        self.quantum_us = int(self.settings["quantum_us"])
        self.now_us = START_US
        self.agenda: list[tuple[int, int, Callable[[], list[dict]]]] = []
        self.scheduled = 0
        self.machines: dict[str, Machine] = {}
        self.made = 0
        self.jobs: dict[str, dict] = {}
        self.tries: dict[str, list[Try]] = {}
        self.answered: set[str] = set()
        self.job_count = 0
        self.surge = 1.0
        self.calls_to_fail = scenario.list_failures
        self.watched = self.settings["discovery"] == "automatic"
        for _ in range(scenario.workers):
            self.make_machine(cold=self.random.random() < scenario.cold_part)

    # -- time -------------------------------------------------------------------------------------

    def at(self, when_us: float, do: Callable[[], list[dict]]) -> None:
        self.scheduled += 1
        heapq.heappush(self.agenda, (int(when_us), self.scheduled, do))

    def after(self, wait_us: float, do: Callable[[], list[dict]]) -> None:
        self.at(self.now_us + wait_us, do)

    def play(self) -> None:
        """Hand the policy round after round, and carry out what it answers, up to the end."""
        end_us = START_US + int(self.scenario.seconds * SECOND_US)
        self.schedule_script()
        first = [] if self.scenario.empty_start else list(self.machines.values())
        self.round([self.list_of("persisted", first)])
        while self.agenda and self.now_us < end_us:
            due_us = max(self.agenda[0][0], self.now_us + 1)
            self.now_us = -(-due_us // self.quantum_us) * self.quantum_us
            events: list[dict] = []
            while self.agenda and self.agenda[0][0] <= self.now_us:
                events += heapq.heappop(self.agenda)[2]()
            if events:
                self.round(events)

    def round(self, events: list[dict]) -> None:
        for action in self.decide(self.now_us, events):
            self.carry_out(action)

    def schedule_script(self) -> None:
        scenario = self.scenario
        self.after(self.gap_us(scenario.jobs_per_s), self.arrive)
        if scenario.incidents:
            self.after(self.gap_us(scenario.incidents_per_s), self.incident)
        for number, pairs in enumerate(scenario.reloads, 1):
            wait_us = scenario.seconds * SECOND_US * number / (len(scenario.reloads) + 1)
            self.after(wait_us, lambda pairs=pairs: self.reload(pairs))

    def gap_us(self, per_s: float) -> float:
        return self.random.expovariate(per_s) * SECOND_US

    # -- what the policy does ---------------------------------------------------------------------

    def carry_out(self, action: dict) -> None:
        match action["action"]:
            case "push":
                self.push(self.jobs[action["job"]], self.machines[action["worker"]])
            case "refuse" | "fail":
                self.answered.add(action["job"])
            case "cancel":
                attempt = self.tries[action["job"]][action["attempt"]]
                self.after(CANCEL_US, lambda: self.end(attempt, "cancelled"))
            case "probe":
                machine = self.machines[action["worker"]]
                wait_us = self.random.randrange(1_000, LONGEST_REPORT_DELAY_US)
                report = self.report(machine)  # as of now: old by the time it is heard
                self.after(wait_us, lambda: [self.probed(machine, wait_us, report)])
            case "wake":
                token = action["token"]
                self.at(
                    max(action["at_us"], self.now_us + 1),
                    lambda: [{"event": "timer", "token": token}],
                )
            case "watch":
                wait_us = self.random.random() * 2 * self.scenario.list_delay_us
                self.after(wait_us, self.answer_watch)

    def push(self, job: dict, machine: Machine) -> None:
        tries = self.tries[job["job"]]
        attempt = Try(job, len(tries), machine, self.now_us)
        tries.append(attempt)
        self.at(job["until_us"], lambda: self.end(attempt, "timeout"))
        draw = self.random.random()
        if not machine.reachable:
            self.after(2_000, lambda: self.end(attempt, "connect_failed"))
        elif draw < 0.005:
            self.after(1_000, lambda: self.end(attempt, "not_sent"))
        elif len(self.waiting(machine)) >= self.scenario.queue_limit or draw < 0.01:
            self.after(2_000, lambda: self.end(attempt, "full"))
        else:
            machine.queue.append(attempt)
            self.after(1_000, lambda: self.begin_next(machine))

    def begin_next(self, machine: Machine) -> list[dict]:
        """Begin what fits now, in the order of arrival; lost jobs stay where they are."""
        events = []
        for attempt in self.waiting(machine):
            if attempt.job["slots"] > machine.free_slots and machine.running:
                break
            machine.queue.remove(attempt)
            machine.running.append(attempt)
            tells_start = self.settings["extra.tells_start"] == "true"
            if tells_start and self.random.random() >= self.scenario.silent_start_part:
                events.append(self.started(attempt))
            self.after(self.run_us(attempt), lambda attempt=attempt: self.finish(attempt))
        return events

    def waiting(self, machine: Machine) -> list[Try]:
        """What a worker will begin; it neither begins nor counts the jobs that it has lost."""
        settings = self.settings
        return [
            attempt
            for attempt in machine.queue
            if attempt.job["class"] != machine.loses or attempt.job["settings"] is not settings
        ]

    def run_us(self, attempt: Try) -> float:
        return self.scenario.work_us * attempt.machine.speed * self.random.lognormvariate(-0.2, 0.6)

    def finish(self, attempt: Try) -> list[dict]:
        failed = self.random.random() < attempt.machine.error_part
        return self.end(attempt, self.random.choice(("error", "reset")) if failed else "ok")

    def end(self, attempt: Try, result: str) -> list[dict]:
        """The attempt's one outcome, and the starts that it makes room for."""
        if attempt.over:
            return []
        attempt.over = True
        machine, name = attempt.machine, attempt.job["job"]
        for held in (machine.queue, machine.running):
            if attempt in held:
                held.remove(attempt)
        if result == "ok":
            self.answered.add(name)
        event = {
            "event": "ended",
            "job": name,
            "attempt": attempt.number,
            "worker": machine.entry["worker"],
            "result": result,
            "spent_us": self.now_us - attempt.sent_us,
            "job_ended": name in self.answered,
            "report": self.answer_report(machine, result),
        }
        return [event, *self.begin_next(machine)]

    # -- what workers tell ------------------------------------------------------------------------

    def started(self, attempt: Try) -> dict:
        return {
            "event": "started",
            "job": attempt.job["job"],
            "attempt": attempt.number,
            "worker": attempt.machine.entry["worker"],
        }

    def answer_report(self, machine: Machine, result: str) -> dict | None:
        told = self.settings["load_report.how"] == "answers" and result in ("ok", "error", "full")
        return self.report(machine) if told and self.random.random() < 0.9 else None

    def report(self, machine: Machine) -> dict | None:
        """Noisy counts; as on the wire a value of 0 is left out."""
        waiting = float(len(self.waiting(machine)))
        noise = round(self.random.gauss(0, 0.3), 2) if self.random.random() < 0.3 else 0.0
        free = max(machine.free_slots + noise, 0.0)
        report = {"queue": waiting, "free_slots": free}
        if self.random.random() < 0.05:
            return None
        keep_zeros = self.random.random() < 0.5
        return {name: value for name, value in report.items() if value or keep_zeros}

    def probed(self, machine: Machine, spent_us: int, report: dict | None) -> dict:
        return {
            "event": "probed",
            "worker": machine.entry["worker"],
            "ok": machine.reachable,
            "spent_us": spent_us,
            "report": report if machine.reachable else None,
        }

    # -- clients ----------------------------------------------------------------------------------

    def arrive(self) -> list[dict]:
        self.after(self.gap_us(self.scenario.jobs_per_s * self.surge), self.arrive)
        job = self.draw_job()
        if self.random.random() < self.scenario.leave_part:
            wait_us = self.random.random() * (job["until_us"] - self.now_us)
            self.after(wait_us, lambda: self.leave(job["job"]))
        self.jobs[job["job"]], self.tries[job["job"]] = job, []
        return [{name: job[name] for name in job if name not in ("until_us", "settings")}]

    def draw_job(self) -> dict:
        draw = self.random
        place = draw.randrange(int(self.settings["services.count"]))
        deadline_us = int(self.settings[f"services.{place}.deadline_us"])
        budget_us = deadline_us if draw.random() < 0.8 else draw.randrange(1_000, deadline_us)
        tenants = int(self.settings["projects.count"])
        self.job_count += 1
        return {
            "event": "job",
            "job": f"job{self.job_count}",
            "class": place,
            "budget_us": budget_us,
            "tenant": min(int(draw.expovariate(0.8)), tenants),
            "key": self.draw_key(self.settings[f"services.{place}.effect"] == "token"),
            "slots": draw.choice(self.scenario.job_slots),
            "memory": draw.choice((0.0, 1.0)),
            "client_retry": draw.random() < self.scenario.retry_part,
            "until_us": self.now_us + budget_us,
            "settings": self.settings,
        }

    def draw_key(self, needed: bool) -> str | None:
        if not needed and self.random.random() < self.scenario.keyless_part:
            return None
        hot = self.random.random() < self.scenario.hot_key_part
        return "key0" if hot else f"key{self.random.randrange(self.scenario.keys)}"

    def leave(self, name: str) -> list[dict]:
        if name in self.answered and self.random.random() < 0.8:
            return []
        self.answered.add(name)
        return [{"event": "left", "job": name}]

    def reload(self, pairs: dict[str, str]) -> list[dict]:
        self.settings = pairs
        return [{"event": "settings", "settings": pairs}]

    # -- discovery --------------------------------------------------------------------------------

    def make_machine(self, cold: bool) -> Machine:
        scenario, draw = self.scenario, self.random
        zone = self.made % scenario.zones
        worker = f"10.{zone}.{self.made}.{draw.randrange(1, 250)}:5000"
        count = int(self.settings["services.count"])
        names = [self.settings[f"services.{place}.name"] for place in range(count)]
        runs = None
        if scenario.names_runs and draw.random() < 0.6:
            runs = sorted({draw.choice(names), f"tenant0/{draw.choice(names)}"})
        entry = {
            "worker": worker,
            "zone": zone,
            "kind": draw.randrange(scenario.kinds),
            "cell": self.made % scenario.cells,
            "state": "in",
            "weight": draw.choice((1.0, 1.0, 1.5, 2.0)),
            "started_us": self.now_us - draw.randrange(SECOND_US) if cold else 0,
            "runs": runs,
        }
        self.made += 1
        machine = Machine(entry, scenario.worker_slots, error_part=scenario.error_part)
        self.machines[worker] = machine
        return machine

    def listed(self) -> list[Machine]:
        return [machine for machine in self.machines.values() if machine.entry["state"] != "out"]

    def list_of(self, kind: str, machines: list[Machine]) -> dict:
        return {
            "event": "list",
            "kind": kind,
            "entries": [dict(machine.entry) for machine in machines],
        }

    def answer_watch(self) -> list[dict]:
        if self.calls_to_fail > 0 or self.random.random() < self.scenario.list_failure_part:
            self.calls_to_fail -= 1
            return [self.list_of("failed", [])]
        self.watched = True
        return [self.list_of("complete", self.listed())]

    def changes(self, *machines: Machine) -> list[dict]:
        return [self.list_of("changes", list(machines))] if self.watched else []

    # -- incidents --------------------------------------------------------------------------------

    def incident(self) -> list[dict]:
        self.after(self.gap_us(self.scenario.incidents_per_s), self.incident)
        name = self.random.choice(self.scenario.incidents)
        return getattr(self, f"incident_{name}")()

    def any_machine(self) -> Machine:
        return self.random.choice(self.listed())

    def plenty(self) -> bool:
        return 2 * len(self.listed()) > self.scenario.workers

    def incident_drain(self) -> list[dict]:
        machine = self.any_machine()
        machine.entry["state"] = "in" if machine.entry["state"] == "draining" else "draining"
        return self.changes(machine)

    def incident_remove(self) -> list[dict]:
        machine = self.any_machine()
        if not self.plenty():
            return []
        machine.entry["state"] = "out"
        return self.changes(machine)

    def incident_add(self) -> list[dict]:
        return self.changes(self.make_machine(cold=self.random.random() < 0.7))

    def incident_restart(self) -> list[dict]:
        machine = self.any_machine()
        lost = machine.queue + machine.running
        machine.entry["started_us"], machine.entry["state"] = self.now_us, "in"
        events = [event for attempt in lost for event in self.end(attempt, "reset")]
        machine.speed, machine.loses, machine.reachable = 1.0, -1, True
        return events + self.changes(machine)

    def incident_reweigh(self) -> list[dict]:
        machines = [self.any_machine(), self.any_machine()]
        for machine in machines:
            machine.entry["weight"] = round(self.random.uniform(0, 3), 2)
        return self.changes(*machines)

    def incident_complete_list(self) -> list[dict]:
        if self.plenty():
            self.any_machine().entry["state"] = "out"
        return [self.list_of("complete", self.listed())]

    def incident_persisted_list(self) -> list[dict]:
        return [self.list_of("persisted", self.listed())]

    def incident_watch_breaks(self) -> list[dict]:
        self.watched = False
        self.calls_to_fail = self.random.randrange(4)
        return [self.list_of("failed", [])]

    def incident_sicken(self) -> list[dict]:
        self.any_machine().error_part = self.random.choice((0.5, 1.0))
        return []

    def incident_slow(self) -> list[dict]:
        self.any_machine().speed = self.random.choice((4.0, 8.0))
        return []

    def incident_hang(self) -> list[dict]:
        self.any_machine().speed = 300.0
        return []

    def incident_lose(self) -> list[dict]:
        self.any_machine().loses = self.random.randrange(int(self.settings["services.count"]))
        return []

    def incident_unreachable(self) -> list[dict]:
        self.any_machine().reachable = False
        return []

    def incident_heal(self) -> list[dict]:
        events = []
        for machine in self.listed():
            machine.speed, machine.loses, machine.reachable = 1.0, -1, True
            machine.error_part = self.scenario.error_part
            events += self.begin_next(machine)
        return events

    def incident_surge(self) -> list[dict]:
        self.surge = self.random.choice((0.2, 1.0, 1.0, 3.0))
        return []

    def incident_stray(self) -> list[dict]:
        """News of jobs, attempts, workers and timers that are not known, or known to be over."""
        job = self.random.choice(list(self.jobs)) if self.jobs else "job0"
        worker, stranger = self.any_machine().entry["worker"], "10.9.9.9:5000"
        number = self.random.choice((-1, 0, 1, 7))
        ended = {
            "attempt": number,
            "result": "ok",
            "spent_us": 1,
            "job_ended": True,
            "report": None,
        }
        strays = [
            {"event": "ended", "job": "stranger", "worker": stranger, **ended},
            {"event": "started", "job": "stranger", "attempt": 0, "worker": stranger},
            {"event": "started", "job": job, "attempt": 7, "worker": worker},
            {
                "event": "probed",
                "worker": stranger,
                "ok": True,
                "spent_us": 9,
                "report": {"free_slots": 1.0},
            },
            {"event": "left", "job": "stranger"},
            {"event": "timer", "token": 77},
        ]
        over = [a for a in self.tries.get(job, []) if a.over]
        if over:
            again = {**ended, "attempt": over[0].number}
            strays.append({"event": "ended", "job": job, "worker": worker, **again})
        return self.random.sample(strays, 3)
