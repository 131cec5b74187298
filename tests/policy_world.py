"""Many instances of the module round one fleet of workers, in simulated time; they share nothing else."""

import heapq
import random
from dataclasses import dataclass, field

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

HOP_US = 1_000  # from a dispatcher to a worker and back


@dataclass
class Node:
    """A worker: jobs run in its slots and wait in turn; it may be dead or fail what it is sent."""

    entry: Endpoint
    slots: int = 4
    speed: float = 1.0
    dead: bool = False
    fails: float = 0.0
    running: set = field(default_factory=set)
    queue: list = field(default_factory=list)
    sent: int = 0


@dataclass
class Job:
    job_class: int
    run_us: int
    at_us: int
    latency_us: int | None = None  # of the answer, where it was served
    refused: bool = False
    attempts: int = 0
    errors: int = 0


class World:
    def __init__(self, classes, dispatchers=40, nodes=20, zones=1, seed=1, **settings):
        common = {
            "reports_start": True,
            "may_cancel": True,
            "may_hedge": True,
            "attempt_limit": 4,
        }
        self.random, self.now, self.heap, self.order = random.Random(seed), 0, [], 0
        self.nodes = {f"w{k:02}": Node(Endpoint(f"w{k:02}", zone=k % zones)) for k in range(nodes)}
        self.jobs: dict[str, Job] = {}
        self.balancers = []
        told = EndpointList(
            EndpointListKind.PERSISTED, tuple(node.entry for node in self.nodes.values())
        )
        for k in range(dispatchers):
            made = Settings(
                classes=classes,
                dispatcher_count=dispatchers,
                zone=k % zones,
                **{**common, **settings},
            )
            self.balancers.append(LoadBalancer(made, self.random.randrange(2**32), 0))
            self.tell(k, told)

    def at(self, us, step, *args):
        self.order += 1
        heapq.heappush(self.heap, (us, self.order, step, args))

    def load(self, rates, runs_us, until_us):
        """Poisson arrivals: jobs a second and mean run, by class."""
        for job_class, (rate, run_us) in enumerate(zip(rates, runs_us, strict=True)):
            at = self.now
            while (at := at + int(self.random.expovariate(rate) * 1e6)) < until_us:
                run = int(run_us * self.random.expovariate(1.0))
                self.at(at, self.arrive, self.random.randrange(len(self.balancers)), job_class, run)

    def run(self, until_us):
        while self.heap and self.heap[0][0] <= until_us:
            self.now, _, step, args = heapq.heappop(self.heap)
            step(*args)
        self.now = until_us

    def arrive(self, k, job_class, run_us):
        name = f"{len(self.jobs):08x}"
        self.jobs[name] = Job(job_class, run_us, self.now)
        self.tell(k, JobSubmitted(name, job_class, 5_000_000))

    def tell(self, k, *events):
        for action in self.balancers[k].handle(self.now, list(events)):
            match action:
                case SetTimer(token, at_us):
                    self.at(max(at_us, self.now + 1), self.tell, k, TimerFired(token))
                case StartAttempt(name, worker):
                    number, self.jobs[name].attempts = (
                        self.jobs[name].attempts,
                        self.jobs[name].attempts + 1,
                    )
                    self.at(self.now + HOP_US, self.reach, k, name, number, worker)
                case CancelAttempt(name, number):
                    self.at(self.now + HOP_US, self.drop, k, name, number)
                case Reject(name) | Fail(name):
                    self.jobs[name].refused = True

    def reach(self, k, name, number, worker):
        node = self.nodes[worker]
        node.sent += 1
        if node.dead:
            self.end(k, name, number, worker, AttemptResult.CONNECT_FAILED)
        elif self.random.random() < node.fails:
            self.jobs[name].errors += 1
            self.end(k, name, number, worker, AttemptResult.ERROR)
        else:
            node.queue.append((k, name, number, worker))
            self.start_next(node)

    def start_next(self, node):
        while node.queue and len(node.running) < node.slots:
            place = node.queue.pop(0)
            node.running.add(place)
            k, name, number, worker = place
            self.at(self.now + HOP_US, self.tell, k, AttemptStarted(name, number, worker))
            self.at(self.now + int(self.jobs[name].run_us / node.speed), self.done, place)

    def done(self, place):
        k, name, number, worker = place
        if place in self.nodes[worker].running:
            self.nodes[worker].running.discard(place)
            job = self.jobs[name]
            if job.latency_us is None and not job.refused:
                job.latency_us = self.now + HOP_US - job.at_us
            self.end(k, name, number, worker, AttemptResult.OK)
            self.start_next(self.nodes[worker])

    def drop(self, k, name, number):
        for node in self.nodes.values():
            for place in [p for p in (*node.queue, *node.running) if p[:3] == (k, name, number)]:
                node.queue = [p for p in node.queue if p != place]
                node.running.discard(place)
                self.end(*place, AttemptResult.CANCELLED)
                self.start_next(node)

    def end(self, k, name, number, worker, result):
        over = self.jobs[name].latency_us is not None
        ended = AttemptEnded(name, number, worker, result, 1000, over)
        self.at(self.now + HOP_US, self.tell, k, ended)

    def in_time(self, job_class, since_us, until_us, goal_us):
        """The part of a class's jobs of that time that was served within its goal and twice its run."""
        jobs = [
            j
            for j in self.jobs.values()
            if j.job_class == job_class and since_us <= j.at_us < until_us
        ]
        good = [
            j for j in jobs if j.latency_us is not None and j.latency_us <= goal_us + 2 * j.run_us
        ]
        return len(good) / len(jobs)

    def refused(self, job_class, since_us, until_us):
        jobs = [
            j
            for j in self.jobs.values()
            if j.job_class == job_class and since_us <= j.at_us < until_us
        ]
        return sum(j.refused for j in jobs) / len(jobs)
