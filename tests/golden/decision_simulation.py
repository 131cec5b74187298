"""Simulate the clients, workers and discovery around one policy.

The simulated platform carries out the policy's actions: attempts queue, start, end, fail, are
rejected, time out or never start; health checks and polls of the endpoint list are answered; timers
fire when they are due. The behaviour need not be realistic. It has to make the policy run all of
its code, and a seed has to give the same events each time. Events and actions are plain data,
without the types of the program.
"""

import heapq
from collections.abc import Callable, Mapping
from random import Random
from typing import NamedTuple

from golden.decision_scenario import Scenario
from golden.decision_workers import SimulatedAttempt, SimulatedWorker

SECOND_US = 1_000_000
START_US = 5 * SECOND_US
MAX_REPORT_DELAY_US = 80_000
CANCEL_DELAY_US = 3_000  # from the cancellation to the end of the attempt
REJECTION_DELAY_US = 2_000  # from the start to a rejection or a refused connection
DELIVERY_DELAY_US = 1_000  # from the start of an attempt to its arrival at the worker
UNKNOWN_WORKER = "10.9.9.9:5000"

Events = list[dict]


class ScheduledStep(NamedTuple):
    """A step that returns events; steps due at the same time run in the order of their numbers."""

    at_us: int
    number: int
    step: Callable[[], Events]


class SimulatedPlatform:
    """Play one scenario; `decide` is the policy under test."""

    def __init__(
        self,
        scenario: Scenario,
        decide: Callable[[int, Events], Events],
        incidents: Mapping[str, Callable[["SimulatedPlatform"], Events]],
    ) -> None:
        """Add the first workers; `incidents` holds the functions that the scenario names."""
        self.scenario = scenario
        self.decide = decide
        self.incidents = incidents
        self.random = Random(scenario.seed)
        self.settings = scenario.settings
        self.quantum_us = int(self.settings["quantum_us"])
        self.now_us = START_US
        self.schedule: list[ScheduledStep] = []
        self.scheduled_count = 0
        self.workers: dict[str, SimulatedWorker] = {}
        self.added_count = 0
        self.jobs: dict[str, dict] = {}
        self.attempts: dict[str, list[SimulatedAttempt]] = {}
        self.answered_jobs: set[str] = set()
        self.job_count = 0
        self.load_factor = 1.0
        self.polls_to_fail = scenario.list_failures
        self.watched = self.settings["discovery"] == "automatic"
        for _ in range(scenario.workers):
            self.add_worker(cold=self.random.random() < scenario.cold_fraction)

    # -- time -------------------------------------------------------------------------------------

    def call_at(self, at_us: float, step: Callable[[], Events]) -> None:
        """Schedule a step at this time."""
        self.scheduled_count += 1
        heapq.heappush(self.schedule, ScheduledStep(int(at_us), self.scheduled_count, step))

    def call_after(self, wait_us: float, step: Callable[[], Events]) -> None:
        """Schedule a step after a wait."""
        self.call_at(self.now_us + wait_us, step)

    def play(self) -> None:
        """Play rounds until the scenario's time is over."""
        end_us = START_US + int(self.scenario.seconds * SECOND_US)
        self.schedule_first_steps()
        first = [] if self.scenario.empty_start else list(self.workers.values())
        self.play_round([self.list_event("persisted", first)])
        while self.schedule and self.now_us < end_us:
            due_us = max(self.schedule[0].at_us, self.now_us + 1)
            self.now_us = -(-due_us // self.quantum_us) * self.quantum_us
            events: Events = []
            while self.schedule and self.schedule[0].at_us <= self.now_us:
                events += heapq.heappop(self.schedule).step()
            if events:
                self.play_round(events)

    def play_round(self, events: Events) -> None:
        """Give the policy the events of a round, and carry out its actions."""
        for action in self.decide(self.now_us, events):
            self.carry_out(action)

    def schedule_first_steps(self) -> None:
        """Schedule the first job, the first incident and each reload of the settings."""
        scenario = self.scenario
        self.call_after(self.random_gap_us(scenario.jobs_per_s), self.submit_job)
        if scenario.incidents:
            self.call_after(self.random_gap_us(scenario.incidents_per_s), self.play_incident)
        for number, settings in enumerate(scenario.reloads, 1):
            wait_us = scenario.seconds * SECOND_US * number / (len(scenario.reloads) + 1)
            self.call_after(wait_us, lambda settings=settings: self.reload_settings(settings))

    def random_gap_us(self, per_second: float) -> float:
        """Return a random interval between two events of this mean rate."""
        return self.random.expovariate(per_second) * SECOND_US

    def play_incident(self) -> Events:
        """Play one of the scenario's incidents, and schedule the next one."""
        self.call_after(self.random_gap_us(self.scenario.incidents_per_s), self.play_incident)
        name = self.random.choice(self.scenario.incidents)
        return self.incidents[name](self)

    # -- the policy's actions ---------------------------------------------------------------------

    def carry_out(self, action: dict) -> None:
        """Schedule the events that follow from an action."""
        match action["action"]:
            case "push":
                self.start_attempt(self.jobs[action["job"]], self.workers[action["worker"]])
            case "refuse" | "fail":
                self.answered_jobs.add(action["job"])
            case "cancel":
                attempt = self.attempts[action["job"]][action["attempt"]]
                self.call_after(CANCEL_DELAY_US, lambda: self.end_attempt(attempt, "cancelled"))
            case "probe":
                self.check_health(self.workers[action["worker"]])
            case "wake":
                timer = {"event": "timer", "token": action["token"]}
                self.call_at(max(action["at_us"], self.now_us + 1), lambda: [timer])
            case "watch":
                wait_us = self.random.random() * 2 * self.scenario.list_delay_us
                self.call_after(wait_us, self.answer_poll)

    def start_attempt(self, job: dict, worker: SimulatedWorker) -> None:
        """Queue an attempt at its worker, or let it fail after a short delay."""
        attempts = self.attempts[job["job"]]
        attempt = SimulatedAttempt(job, len(attempts), worker, self.now_us)
        attempts.append(attempt)
        self.call_at(job["until_us"], lambda: self.end_attempt(attempt, "timeout"))
        chance = self.random.random()
        if not worker.reachable:
            self.call_after(REJECTION_DELAY_US, lambda: self.end_attempt(attempt, "connect_failed"))
        elif chance < 0.005:
            self.call_after(DELIVERY_DELAY_US, lambda: self.end_attempt(attempt, "not_sent"))
        elif len(self.waiting_attempts(worker)) >= self.scenario.queue_limit or chance < 0.01:
            self.call_after(REJECTION_DELAY_US, lambda: self.end_attempt(attempt, "full"))
        else:
            worker.queue.append(attempt)
            self.call_after(DELIVERY_DELAY_US, lambda: self.begin_next(worker))

    def check_health(self, worker: SimulatedWorker) -> None:
        """Answer with the load of this moment after a delay, so that the report is out of date."""
        wait_us = self.random.randrange(1_000, MAX_REPORT_DELAY_US)
        report = self.load_report(worker)
        self.call_after(wait_us, lambda: [self.checked_event(worker, wait_us, report)])

    def begin_next(self, worker: SimulatedWorker) -> Events:
        """Begin the attempts that have free slots, in the order of arrival; lost jobs stay queued."""
        events = []
        for attempt in self.waiting_attempts(worker):
            if attempt.job["slots"] > worker.free_slots and worker.running:
                break
            worker.queue.remove(attempt)
            worker.running.append(attempt)
            reports_start = self.settings["extra.tells_start"] == "true"
            if reports_start and self.random.random() >= self.scenario.silent_start_fraction:
                events.append(self.started_event(attempt))
            self.call_after(
                self.random_run_us(attempt), lambda attempt=attempt: self.finish_run(attempt)
            )
        return events

    def waiting_attempts(self, worker: SimulatedWorker) -> list[SimulatedAttempt]:
        """Return the queued attempts that a worker will begin: all but those of lost jobs."""
        return [
            attempt
            for attempt in worker.queue
            if attempt.job["class"] != worker.lost_class
            or attempt.job["settings"] is not self.settings
        ]

    def random_run_us(self, attempt: SimulatedAttempt) -> float:
        """Return a random run time."""
        factor = attempt.worker.run_time_factor
        return self.scenario.work_us * factor * self.random.lognormvariate(-0.2, 0.6)

    def finish_run(self, attempt: SimulatedAttempt) -> Events:
        """End a run, with a failure at random."""
        failed = self.random.random() < attempt.worker.error_fraction
        return self.end_attempt(attempt, self.random.choice(("error", "reset")) if failed else "ok")

    def end_attempt(self, attempt: SimulatedAttempt, result: str) -> Events:
        """Return the event of the attempt's end, and of the starts in the slots that it frees.

        Nothing is returned if the attempt has already ended.
        """
        if attempt.ended:
            return []
        attempt.ended = True
        worker = attempt.worker
        job_id = attempt.job["job"]
        for attempts in (worker.queue, worker.running):
            if attempt in attempts:
                attempts.remove(attempt)
        if result == "ok":
            self.answered_jobs.add(job_id)
        event = {
            "event": "ended",
            "job": job_id,
            "attempt": attempt.number,
            "worker": worker.entry["worker"],
            "result": result,
            "spent_us": self.now_us - attempt.sent_us,
            "job_ended": job_id in self.answered_jobs,
            "report": self.load_report_in_answer(worker, result),
        }
        return [event, *self.begin_next(worker)]

    # -- workers' notifications and reports -------------------------------------------------------

    def started_event(self, attempt: SimulatedAttempt) -> dict:
        """Return the event of an attempt's start."""
        return {
            "event": "started",
            "job": attempt.job["job"],
            "attempt": attempt.number,
            "worker": attempt.worker.entry["worker"],
        }

    def load_report_in_answer(self, worker: SimulatedWorker, result: str) -> dict | None:
        """Return the load report in an answer, if there is one."""
        in_answers = self.settings["load_report.how"] == "answers"
        if not in_answers or result not in ("ok", "error", "full"):
            return None
        return self.load_report(worker) if self.random.random() < 0.9 else None

    def load_report(self, worker: SimulatedWorker) -> dict | None:
        """Return a load report with noise, or None; values of 0 are often left out, as on the wire."""
        waiting = float(len(self.waiting_attempts(worker)))
        noise = round(self.random.gauss(0, 0.3), 2) if self.random.random() < 0.3 else 0.0
        report = {"queue": waiting, "free_slots": max(worker.free_slots + noise, 0.0)}
        if self.random.random() < 0.05:
            return None
        with_zeros = self.random.random() < 0.5
        return {name: value for name, value in report.items() if value or with_zeros}

    def checked_event(self, worker: SimulatedWorker, spent_us: int, report: dict | None) -> dict:
        """Return the event of an answered health check."""
        return {
            "event": "probed",
            "worker": worker.entry["worker"],
            "ok": worker.reachable,
            "spent_us": spent_us,
            "report": report if worker.reachable else None,
        }

    # -- clients ----------------------------------------------------------------------------------

    def submit_job(self) -> Events:
        """Submit a random job, and schedule the next one."""
        rate = self.scenario.jobs_per_s * self.load_factor
        self.call_after(self.random_gap_us(rate), self.submit_job)
        job = self.random_job()
        job_id = job["job"]
        if self.random.random() < self.scenario.disconnect_fraction:
            wait_us = self.random.random() * (job["until_us"] - self.now_us)
            self.call_after(wait_us, lambda: self.disconnect(job_id))
        self.jobs[job_id] = job
        self.attempts[job_id] = []
        return [{name: job[name] for name in job if name not in ("until_us", "settings")}]

    def random_job(self) -> dict:
        """Return a job of a random class, budget, tenant and key."""
        rng = self.random
        class_index = rng.randrange(int(self.settings["services.count"]))
        deadline_us = int(self.settings[f"services.{class_index}.deadline_us"])
        budget_us = deadline_us if rng.random() < 0.8 else rng.randrange(1_000, deadline_us)
        tenants = int(self.settings["projects.count"])
        self.job_count += 1
        return {
            "event": "job",
            "job": f"job{self.job_count}",
            "class": class_index,
            "budget_us": budget_us,
            "tenant": min(int(rng.expovariate(0.8)), tenants),
            "key": self.random_key(
                needed=self.settings[f"services.{class_index}.effect"] == "token"
            ),
            "slots": rng.choice(self.scenario.job_slots),
            "memory": rng.choice((0.0, 1.0)),
            "client_retry": rng.random() < self.scenario.retry_fraction,
            "until_us": self.now_us + budget_us,
            "settings": self.settings,
        }

    def random_key(self, *, needed: bool) -> str | None:
        """Return a random key, often `key0`; None for some of the jobs that need no key."""
        if not needed and self.random.random() < self.scenario.keyless_fraction:
            return None
        is_hot = self.random.random() < self.scenario.hot_key_fraction
        return "key0" if is_hot else f"key{self.random.randrange(self.scenario.keys)}"

    def disconnect(self, job_id: str) -> Events:
        """Let a client disconnect; most clients that have their answer stay."""
        if job_id in self.answered_jobs and self.random.random() < 0.8:
            return []
        self.answered_jobs.add(job_id)
        return [{"event": "left", "job": job_id}]

    def reload_settings(self, settings: dict[str, str]) -> Events:
        """Apply these settings in place of the present ones."""
        self.settings = settings
        return [{"event": "settings", "settings": settings}]

    # -- discovery --------------------------------------------------------------------------------

    def add_worker(self, *, cold: bool) -> SimulatedWorker:
        """Add a worker, which has just started if it is cold."""
        scenario = self.scenario
        rng = self.random
        zone = self.added_count % scenario.zones
        worker_id = f"10.{zone}.{self.added_count}.{rng.randrange(1, 250)}:5000"
        entry = {
            "worker": worker_id,
            "zone": zone,
            "runs": self.random_run_names(),
            "kind": rng.randrange(scenario.kinds),
            "cell": self.added_count % scenario.cells,
            "state": "in",
            "weight": rng.choice((1.0, 1.0, 1.5, 2.0)),
            "started_us": self.now_us - rng.randrange(SECOND_US) if cold else 0,
        }
        self.added_count += 1
        worker = SimulatedWorker(
            entry, scenario.worker_slots, error_fraction=scenario.error_fraction
        )
        self.workers[worker_id] = worker
        return worker

    def random_run_names(self) -> list[str] | None:
        """Return the names of the jobs that a worker supports; None if it names none."""
        rng = self.random
        count = int(self.settings["services.count"])
        names = [self.settings[f"services.{class_index}.name"] for class_index in range(count)]
        if not self.scenario.names_runs or rng.random() >= 0.6:
            return None
        return sorted({rng.choice(names), f"tenant0/{rng.choice(names)}"})

    def listed_workers(self) -> list[SimulatedWorker]:
        """Return the workers that are not removed."""
        return [worker for worker in self.workers.values() if worker.entry["state"] != "out"]

    def random_listed_worker(self) -> SimulatedWorker:
        """Return a random worker of the list."""
        return self.random.choice(self.listed_workers())

    def has_spare_workers(self) -> bool:
        """Return whether more than half as many workers are listed as at the start."""
        return 2 * len(self.listed_workers()) > self.scenario.workers

    def list_event(self, kind: str, workers: list[SimulatedWorker]) -> dict:
        """Return the event of an endpoint list."""
        entries = [dict(worker.entry) for worker in workers]
        return {"event": "list", "kind": kind, "entries": entries}

    def answer_poll(self) -> Events:
        """Answer a poll of the endpoint list with the complete list, or let it fail."""
        failure_fraction = self.scenario.list_failure_fraction
        if self.polls_to_fail > 0 or self.random.random() < failure_fraction:
            self.polls_to_fail -= 1
            return [self.list_event("failed", [])]
        self.watched = True
        return [self.list_event("complete", self.listed_workers())]

    def changes_event(self, *workers: SimulatedWorker) -> Events:
        """Return the event that tells of changed workers; no event if the list is not watched."""
        return [self.list_event("changes", list(workers))] if self.watched else []
