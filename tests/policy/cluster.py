"""A simulated cluster: many load balancers that share nothing but one set of workers."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from stepstream.model.actions import CancelAttempt, Fail, Reject, SetTimer, StartAttempt
from stepstream.model.endpoints import Endpoint, EndpointList, EndpointListKind
from stepstream.model.events import (
    AttemptEnded,
    AttemptResult,
    AttemptStarted,
    JobSubmitted,
    TimerFired,
)
from stepstream.model.settings import Settings
from stepstream.policy.load_balancer import LoadBalancer

NETWORK_DELAY_US = 1_000  # in each direction between a dispatcher and a worker
CLIENT_BUDGET_US = 5_000_000


class PlacedAttempt(NamedTuple):
    """An attempt that a worker has accepted."""

    dispatcher: int
    job_id: str
    attempt_number: int
    worker_id: str


class ScheduledStep(NamedTuple):
    """A step of the simulation; steps at the same time run in the order of their numbers."""

    at_us: int
    number: int
    step: Callable
    arguments: tuple


@dataclass
class SimulatedWorker:
    """A worker that runs jobs in its slots and queues the others; it may be dead, or fail jobs."""

    endpoint: Endpoint
    slots: int = 4
    speed: float = 1.0
    dead: bool = False
    failure_probability: float = 0.0
    running: set[PlacedAttempt] = field(default_factory=set)
    queue: list[PlacedAttempt] = field(default_factory=list)
    received: int = 0


@dataclass
class SimulatedJob:
    """A job and its outcome."""

    job_class: int
    run_us: int
    submitted_us: int
    latency_us: int | None = None  # from submission to answer; None: not served
    rejected: bool = False
    attempts: int = 0
    errors: int = 0


class SimulatedCluster:
    """Load balancers, workers and jobs on one simulated clock."""

    def __init__(self, classes, dispatchers=40, workers=20, zones=1, seed=1, **settings):
        common = {
            "reports_start": True,
            "may_cancel": True,
            "may_hedge": True,
            "attempt_limit": 4,
        }
        self.random = random.Random(seed)
        self.now_us = 0
        self.schedule = []
        self.scheduled_count = 0
        self.workers = {
            f"w{index:02}": SimulatedWorker(Endpoint(f"w{index:02}", zone=index % zones))
            for index in range(workers)
        }
        self.jobs: dict[str, SimulatedJob] = {}
        self.balancers = []
        endpoints = EndpointList(
            EndpointListKind.PERSISTED, tuple(worker.endpoint for worker in self.workers.values())
        )
        for dispatcher in range(dispatchers):
            dispatcher_settings = Settings(
                classes=classes,
                dispatcher_count=dispatchers,
                zone=dispatcher % zones,
                **{**common, **settings},
            )
            balancer_seed = self.random.randrange(2**32)
            self.balancers.append(LoadBalancer(dispatcher_settings, balancer_seed, 0))
            self.notify(dispatcher, endpoints)

    def call_at(self, at_us, step, *arguments):
        """Schedule a step of the simulation at this time."""
        self.scheduled_count += 1
        heapq.heappush(self.schedule, ScheduledStep(at_us, self.scheduled_count, step, arguments))

    def submit_jobs(self, rates_per_s, mean_runs_us, until_us):
        """Schedule Poisson arrivals of jobs; rates and mean run times are given by class."""
        for job_class, (rate, mean_run_us) in enumerate(
            zip(rates_per_s, mean_runs_us, strict=True)
        ):
            at_us = self.now_us
            while (at_us := at_us + int(self.random.expovariate(rate) * 1e6)) < until_us:
                run_us = int(mean_run_us * self.random.expovariate(1.0))
                dispatcher = self.random.randrange(len(self.balancers))
                self.call_at(at_us, self.submit, dispatcher, job_class, run_us)

    def run(self, until_us):
        """Run the scheduled steps up to and including this time."""
        while self.schedule and self.schedule[0].at_us <= until_us:
            scheduled = heapq.heappop(self.schedule)
            self.now_us = scheduled.at_us
            scheduled.step(*scheduled.arguments)
        self.now_us = until_us

    def submit(self, dispatcher, job_class, run_us):
        """Submit a job to a dispatcher."""
        job_id = f"{len(self.jobs):08x}"
        self.jobs[job_id] = SimulatedJob(job_class, run_us, self.now_us)
        self.notify(dispatcher, JobSubmitted(job_id, job_class, CLIENT_BUDGET_US))

    def notify(self, dispatcher, *events):
        """Pass events to a dispatcher and carry out its actions."""
        for action in self.balancers[dispatcher].handle(self.now_us, list(events)):
            match action:
                case SetTimer(token, at_us):
                    fires_us = max(at_us, self.now_us + 1)
                    self.call_at(fires_us, self.notify, dispatcher, TimerFired(token))
                case StartAttempt(job_id, worker_id):
                    number = self.jobs[job_id].attempts
                    self.jobs[job_id].attempts += 1
                    attempt = PlacedAttempt(dispatcher, job_id, number, worker_id)
                    self.call_at(self.now_us + NETWORK_DELAY_US, self.deliver, attempt)
                case CancelAttempt(job_id, number):
                    self.call_at(
                        self.now_us + NETWORK_DELAY_US, self.cancel, dispatcher, job_id, number
                    )
                case Reject(job_id) | Fail(job_id):
                    self.jobs[job_id].rejected = True

    def deliver(self, attempt):
        """Deliver an attempt to its worker."""
        worker = self.workers[attempt.worker_id]
        worker.received += 1
        if worker.dead:
            self.report_end(attempt, AttemptResult.CONNECT_FAILED)
        elif self.random.random() < worker.failure_probability:
            self.jobs[attempt.job_id].errors += 1
            self.report_end(attempt, AttemptResult.ERROR)
        else:
            worker.queue.append(attempt)
            self.start_queued(worker)

    def start_queued(self, worker):
        """Start queued attempts while slots are free."""
        while worker.queue and len(worker.running) < worker.slots:
            attempt = worker.queue.pop(0)
            worker.running.add(attempt)
            started = AttemptStarted(attempt.job_id, attempt.attempt_number, attempt.worker_id)
            self.call_at(self.now_us + NETWORK_DELAY_US, self.notify, attempt.dispatcher, started)
            run_us = int(self.jobs[attempt.job_id].run_us / worker.speed)
            self.call_at(self.now_us + run_us, self.finish, attempt)

    def finish(self, attempt):
        """End a run, and answer its job unless another attempt has answered it."""
        worker = self.workers[attempt.worker_id]
        if attempt in worker.running:
            worker.running.discard(attempt)
            job = self.jobs[attempt.job_id]
            if job.latency_us is None and not job.rejected:
                job.latency_us = self.now_us + NETWORK_DELAY_US - job.submitted_us
            self.report_end(attempt, AttemptResult.OK)
            self.start_queued(worker)

    def cancel(self, dispatcher, job_id, attempt_number):
        """Cancel an attempt: remove it from its worker, and report its end."""
        cancelled = (dispatcher, job_id, attempt_number)
        for worker in self.workers.values():
            for attempt in [a for a in (*worker.queue, *worker.running) if a[:3] == cancelled]:
                worker.queue = [other for other in worker.queue if other != attempt]
                worker.running.discard(attempt)
                self.report_end(attempt, AttemptResult.CANCELLED)
                self.start_queued(worker)

    def report_end(self, attempt, result):
        """Report an attempt's end to its dispatcher after the network delay."""
        answered = self.jobs[attempt.job_id].latency_us is not None
        ended = AttemptEnded(
            attempt.job_id, attempt.attempt_number, attempt.worker_id, result, 1000, answered
        )
        self.call_at(self.now_us + NETWORK_DELAY_US, self.notify, attempt.dispatcher, ended)

    def jobs_submitted(self, job_class, since_us, until_us):
        """Return the jobs of a class that were submitted between these times."""
        return [
            job
            for job in self.jobs.values()
            if job.job_class == job_class and since_us <= job.submitted_us < until_us
        ]

    def fraction_in_time(self, job_class, since_us, until_us, objective_us):
        """Return the fraction of a class's jobs that was served in time.

        A job is in time if its latency is at most the objective plus twice its run time.
        """
        jobs = self.jobs_submitted(job_class, since_us, until_us)
        in_time = [
            job
            for job in jobs
            if job.latency_us is not None and job.latency_us <= objective_us + 2 * job.run_us
        ]
        return len(in_time) / len(jobs)

    def fraction_rejected(self, job_class, since_us, until_us):
        """Return the fraction of a class's jobs that was rejected or failed."""
        jobs = self.jobs_submitted(job_class, since_us, until_us)
        return sum(job.rejected for job in jobs) / len(jobs)
