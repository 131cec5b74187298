"""The decisions of one dispatcher; types, events and actions are in stepstream/interface.py.

DynamicPart (Andreolini et al.): priority jobs go to the High Set, which borrows workers while its busy slots
exceed its caps; ordinary jobs go to the Low Set and are refused while it is over its caps. docs/design.md"""

import random
from collections import deque
from math import ceil, inf
from zlib import crc32

from stepstream.model.actions import (
    CancelAttempt,
    CheckHealth,
    Fail,
    PolicyAction,
    Reject,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from stepstream.model.endpoints import Endpoint, EndpointList, EndpointListKind, EndpointState
from stepstream.model.estimators import RunTimeEstimator, carry_over
from stepstream.model.events import (
    AttemptEnded,
    AttemptResult,
    AttemptStarted,
    HealthChecked,
    JobAbandoned,
    JobSubmitted,
    PolicyEvent,
    SettingsChanged,
    TimerFired,
)
from stepstream.model.records import (
    MANY_DISPATCHERS,
    Attempt,
    InFlightJob,
    LoadReportLag,
    PoolLoadEstimator,
    Worker,
)
from stepstream.model.settings import Effect, JobClass, Settings

SAFETY_FACTOR = (
    18 / 26
)  # part of the slots at 'full' that still keeps the goals (the paper's figures)
START_PRIORITY_SHARE = 0.2  # expected share of priority jobs before any is seen
EXCESS_LEAVES = 1.0  # slots of a worker that jobs past a share leave free; they get one attempt
LENT_AT = 0.25  # part of a worker's cap that the High Set keeps from ordinary jobs where reports tell rooms
DEAR_EXCEEDS = 0.5  # part of its caps by which ordinary jobs of more worth may exceed the Low Set's
PERIOD_US = 500_000  # between two looks at the pools
MOVES = 16  # one look moves one worker of so many
MEMORY = 0.02  # weight of the newest job in running means
SHARE_SLACK = 1.5  # past its share: asks so many times what the middle tenant does of its own
SICK_AFTER = 0.6  # mean of recent failures that takes a worker out (three in a row do)
FAIL_WEIGHT = 0.3  # weight of the newest outcome in that mean
FIRST_PAUSE_US, LONGEST_PAUSE_US = (
    1_000_000,
    8_000_000,
)  # before a trial, doubled each time one fails
SLOW = 1.1  # logarithm of how much longer than usual its runs take that takes a worker out
PACE_WEIGHT, SLOW_PAUSE_US = 0.15, 3_000_000  # weight of its newest run in that; before each trial
ASK_AGAIN_US = 500_000  # first wait after a failed call for the list, doubled each time
ASK_GAP_US = 100_000  # between two calls of a fleet that has started, or was turned away, as one
REPORT_FRESH_US = 2_000_000  # an older report tells nothing
PATIENCE = 0.8  # part of its goal that a job may wait for room; later it would hardly be in time
ROOMY = 0.5  # rotation keeps to workers with at least this part of the best one's room
CHOICES = 64  # workers that a choice looks at; more would only make it dearer with the fleet
HOMES = 2  # workers that a key's jobs keep to; a hot key's, so many more for each one that it could fill
KEY_HORIZON = 1000  # jobs that those parts are told by
PROBES_A_JOB = (
    1.0  # a dispatcher's probes are bounded by its own jobs, whatever the size of the fleet
)
COLD_PART = 0.6  # part of the fall multiple that is used; the rest is for chance
LATE_KEPT = 15  # latest starts that tell the common cap where there are no reports
START_PATIENCE = 0.4  # part of the goal in which a push should start
START_PATIENCE_MANY = 0.2  # the same where the shares of many dispatchers are told by it
TICK, ASK, PUMP, START = range(4)  # timer tokens


class LoadBalancer:
    def __init__(self, settings: Settings, seed: int, start_us: int) -> None:
        self.s, self.random, self.now = settings, random.Random(seed), start_us
        self.workers: dict[str, Worker] = {}
        self.order: list[Worker] = []  # workers that may be sent to, by id
        self.held: dict[str, InFlightJob] = {}
        self.waiting: list[InFlightJob] = []  # held back until a worker has room
        self.unstarted: list[
            tuple[int, InFlightJob, Attempt]
        ] = []  # and when each should have started
        self.stirred = False  # room or time has changed since the waiting jobs were last tried
        self.key_orders: dict[str, list[Worker]] = {}  # of the keys seen since the list changed
        self.key_jobs: dict[str | None, int] = {}
        self.pool_rooms, self.strength = {}, 0.0  # by pool; of all workers, in warm ones
        self.late_at: deque[float] = deque(
            maxlen=LATE_KEPT
        )  # busy slots where starts were late, or not yet
        # Periods begin at random: dispatchers that start together must not act in step.
        self.actions: list[PolicyAction] = [
            SetTimer(TICK, start_us + self.random.randrange(PERIOD_US))
        ]
        self.asking, self.ask_wait_us = not settings.polls_endpoints, self.first_ask_wait_us()
        if settings.dispatcher_count > MANY_DISPATCHERS:
            self.ask_later(0.0, ASK_GAP_US * settings.dispatcher_count)
        else:
            self.ask()
        self.priority_share, self.common_cap = START_PRIORITY_SHARE, None
        self.mean_worth = self.ordinary_worth = 0.0
        self.runs = RunTimeEstimator(len(settings.classes), start_us, MEMORY)
        self.jobs_seen, self.probe_credit = 0, 0.0
        self.parts = [
            q / (sum(settings.quotas_per_s) or 1.0) for q in settings.quotas_per_s
        ]  # by tenant
        self.credit = [1.0] * len(self.parts)
        self.report_age = LoadReportLag()
        self.share = PoolLoadEstimator(start_us, settings.dispatcher_count)

    def handle(self, now_us: int, events: list[PolicyEvent]) -> list[PolicyAction]:
        self.now, self.pool_rooms = now_us, {}
        self.share.advance(now_us)
        self.common_cap = self.common_cap or self.median_cap()
        for event in events:
            match event:
                case JobSubmitted():
                    self.on_job(event)
                case AttemptEnded():
                    self.on_attempt_ended(event)
                case AttemptStarted() if event.job_id in self.held:
                    self.on_started(self.held[event.job_id], event.attempt_number)
                case EndpointList():
                    self.on_list(event)
                case TimerFired():
                    self.on_timer(event.token)
                case HealthChecked() if event.worker_id in self.workers:
                    self.on_report(self.workers[event.worker_id], event.load_report)
                case JobAbandoned() if event.job_id in self.held:
                    self.end(self.held[event.job_id])
                case SettingsChanged():
                    self.on_settings(event.settings)
        self.pump()
        actions, self.actions = self.actions, []
        return actions

    def on_settings(self, new: Settings) -> None:
        old, self.s = self.s, new
        self.share.many = new.dispatcher_count > MANY_DISPATCHERS
        self.runs.carry(old.class_names, new.class_names)
        self.parts = carry_over(old.tenants, new.tenants, self.parts, 0.0)
        self.credit = carry_over(old.tenants, new.tenants, self.credit, 1.0)
        for held in self.held.values():
            held.move(new.class_names)

    # -- membership ---------------------------------------------------------------------------------------

    def on_list(self, event: EndpointList) -> None:
        if event.kind is EndpointListKind.FAILED:
            self.asking = False
            self.ask_later(0.5, self.ask_wait_us)
            # Calls given up are work for discovery too: a fleet that does not fall behind never gets in.
            longest_us = max(self.s.endpoint_poll_interval_us // 2, 3 * self.first_ask_wait_us())
            self.ask_wait_us = min(2 * self.ask_wait_us, longest_us)
            return
        self.ask_wait_us = self.first_ask_wait_us()
        for entry in event.endpoints:
            self.on_entry(entry)
        if event.kind is not EndpointListKind.CHANGES:
            named = {entry.worker_id for entry in event.endpoints}
            self.workers = {w: worker for w, worker in self.workers.items() if w in named}
        self.order = [
            w for _, w in sorted(self.workers.items()) if w.entry.state is EndpointState.ACTIVE
        ]
        self.key_orders, self.stirred = {}, True
        self.strength = sum(map(self.warmth, self.order))
        if not any(w.high for w in self.order):
            part = self.priority_share + (1 - self.priority_share) * (1 - SAFETY_FACTOR)
            for worker in self.order[: ceil(part * len(self.order))]:
                worker.high = True
        if self.order and all(w.high for w in self.order):
            self.order[-1].high = False

    def first_ask_wait_us(self) -> int:
        return min(
            max(ASK_AGAIN_US, ASK_GAP_US * self.s.dispatcher_count),
            self.s.endpoint_poll_interval_us // 2,
        )

    def ask_later(self, least: float, wait_us: int) -> None:
        """By chance within the wait: asked by a whole fleet as one, discovery serves only the first few."""
        self.actions.append(
            SetTimer(ASK, self.now + int(wait_us * self.random.uniform(least, 1.0)))
        )

    def ask(self) -> None:
        self.actions += [] if self.asking else [WatchEndpoints(True)]
        self.asking = True

    def on_entry(self, entry: Endpoint) -> None:
        if entry.state is EndpointState.REMOVED:
            self.workers.pop(entry.worker_id, None)
            return
        worker = self.workers.get(entry.worker_id)
        if worker is None or entry.started_us > worker.entry.started_us:
            # A restarted process is cold and healthy, and its old cap says nothing; its pool stays.
            warm_us = entry.started_us + self.s.slow_start_us if entry.started_us else 0
            high = worker is not None and worker.high
            worker = self.workers[entry.worker_id] = Worker(entry, warm_us, self.now, high=high)
            worker.turn = (
                -self.random.random() * entry.weight
            )  # else all begin with the same worker
        worker.entry = entry

    # -- health -------------------------------------------------------------------------------------------

    def judge(self, worker: Worker, failed: bool) -> None:
        worker.failures += FAIL_WEIGHT * (failed - worker.failures)
        if not failed and worker.pace_now <= SLOW:
            worker.pause_us = 0
        elif worker.failures > SICK_AFTER and self.now >= worker.trial_us:
            worker.pause_us = min(max(2 * worker.pause_us, FIRST_PAUSE_US), LONGEST_PAUSE_US)
            worker.trial_us = self.now + worker.pause_us

    def look_at_pace(self) -> None:  # open runs count as they grow: on a slow worker few end
        spare = (
            self.pool_room(True) + self.pool_room(False) > 2 * self.one_cap()
        )  # else slow ones are needed
        for worker in self.order:
            worker.pace_now = worker.pace
        for held, attempt in (
            (h, a) for h in self.held.values() for a in h.attempts if a.open and a.started
        ):
            more = (
                self.runs.surplus(held.job.job_class, self.now - attempt.started_us)
                - attempt.worker.pace
            )
            attempt.worker.pace_now += PACE_WEIGHT * max(more, 0.0)
        for worker in self.order:
            if (
                worker.pace_now > SLOW
                and worker.failures <= SICK_AFTER
                and spare != (worker.pause_us > 0)
            ):
                worker.pause_us, worker.trial_us = SLOW_PAUSE_US * spare, self.now + SLOW_PAUSE_US

    def usable(self, workers: list[Worker], job_class: int = -1) -> list[Worker]:
        well = [w for w in workers if w.fit(job_class, self.now)]
        return (
            well if 2 * len(well) >= len(workers) else workers
        )  # most look sick: it is not the workers

    def warmth(self, worker: Worker) -> float:  # the least part of its capacity that it has by now
        if self.now >= worker.warm_us:
            return 1.0
        part = max(self.now - worker.entry.started_us, 0) / max(self.s.slow_start_us, 1)
        return self.s.cold_capacity_fraction + (1 - self.s.cold_capacity_fraction) * part

    def cold_turn(self, held: InFlightJob, worker: Worker) -> bool:
        """It gets the work that a warm one did for us of late, times its warmth; so do all dispatchers."""
        own, mean = self.runs.mean_us[held.job.job_class], self.runs.mean_us[-1]
        gap = self.runs.gap_us or self.s.overload_window_us * self.s.dispatcher_count
        gap *= own / mean if own and mean else 1.0
        part = self.s.overload_multiple * COLD_PART * self.warmth(worker)
        gap = gap * self.strength / part if part else inf  # it may begin with nothing
        if gap <= self.s.overload_window_us:
            return self.now - worker.last_cold_us >= gap
        # Rarer pushes go by chance, drawn for each span: saved up, those of all would meet in a burst.
        if self.now >= worker.cold_span_us:
            worker.cold_span_us = self.now + self.s.overload_window_us
            worker.cold_chance = self.random.random() < self.s.overload_window_us / gap
        return worker.cold_chance

    # -- pools and caps -----------------------------------------------------------------------------------

    def median_cap(self) -> float | None:
        """What stands in for an unknown cap: the median of those known by report, 'full' or late starts."""
        heard = (
            self.s.load_report_source != "none"
        )  # else one late start on a slow worker must not stand for all
        caps = [
            w.room + w.busy_slots if self.fresh(w) and (heard or w.cap) else w.cap
            for w in self.order
        ]
        caps += [] if heard else self.late_at
        known = sorted(c for c in caps if c is not None)
        return known[len(known) // 2] if known else None

    def room(self, worker: Worker) -> float:
        """Cap less busy slots; where load is reported an old 'full' must not draw sends to its worker."""
        if self.fresh(worker):
            return worker.room
        cap = (
            self.common_cap
            if worker.cap is None or self.s.load_report_source != "none"
            else worker.cap
        )
        return inf if cap is None else cap - worker.busy_slots

    def fresh(self, worker: Worker) -> bool:
        return self.now - worker.room_us <= REPORT_FRESH_US

    def one_cap(self) -> float:
        if self.share.many:
            return self.share.cap
        return inf if self.common_cap is None else max(self.common_cap, 1.0)

    def on_report(self, worker: Worker, report: dict[str, float] | None) -> None:
        if report and "free_slots" in report:
            free = report["free_slots"] - report.get("queue", 0.0)
            self.report_age.heard(worker, self.now, free)
            worker.room = free - self.report_age.unseen(worker, self.now)
            worker.room_us = self.now
            if free >= 1 and report.get("queue", 1.0) < 1:
                self.look_for_lost(worker)
            self.stirred = self.stirred or worker.room >= 1  # less room would help no waiting job

    def look_for_lost(self, worker: Worker) -> None:
        """It reports room and no queue: a job of ours that should have begun before the report never will."""
        for held, attempt in (
            (h, a) for h in self.held.values() for a in h.attempts if a.worker is worker
        ):
            if attempt.unbegun and attempt.sent_us < self.now - LoadReportLag.AGES_US[-1]:
                attempt.lost = True
                worker.balked(
                    held.job.job_class, attempt, self.now, FIRST_PAUSE_US, LONGEST_PAUSE_US
                )
                if held.kind.effect is Effect.IDEMPOTENT and not held.ended:
                    self.cancel(held, [attempt])  # its end brings the next attempt

    def change_busy(self, worker: Worker, slots: float) -> None:
        worker.change_busy(self.now, slots)
        self.share.moved(worker.high, slots)
        self.stirred = self.stirred or (slots < 0 and self.room(worker) >= 1)

    def change_running(self, worker: Worker, slots: float) -> None:
        worker.running_slots += slots
        self.share.ran(worker.high, slots)

    def pool_room(
        self, high: bool
    ) -> float:  # summed caps less summed busy slots, once for a batch
        if self.share.many:
            return self.share.room(high)
        if high not in self.pool_rooms:
            pool = self.usable([w for w in self.order if w.high == high])
            self.pool_rooms[high] = sum(map(self.room, pool))
        return self.pool_rooms[high]

    def lends(self) -> bool:
        """Whether the High Set has so much room that an ordinary job may have a worker of it."""
        return self.pool_room(True) > self.one_cap() * (
            1.0 if self.s.load_report_source == "none" else LENT_AT
        )

    def resize(self) -> None:
        self.common_cap, self.stirred = self.median_cap(), True
        self.strength = sum(map(self.warmth, self.order))
        # Jobs that wait for room are load too: without them a full High Set would never look over its caps.
        room = self.pool_room(True) - sum(
            h.job.slots for h in self.waiting if h.priority and not h.ended
        )
        # Dispatchers that know few rooms must not all give back the same workers, down to the same one.
        few = self.s.load_report_source != "none" and 2 * sum(map(self.fresh, self.order)) < len(
            self.order
        )
        order = self.usable(self.random.sample(self.order, len(self.order)) if few else self.order)
        self.share.recount(order)
        for _ in range(max(len(order) // MOVES, 1)):
            high, low = ([w for w in order if w.high == pool] for pool in (True, False))
            if room < 0 and len(low) > 1:
                max(low, key=self.room).high = True
                room += self.one_cap()
            elif room > self.one_cap() and len(high) > max(
                few * self.priority_share * len(self.order), 1
            ):
                # Where dispatchers are many and most rooms alike, their High Sets must stay the same ids.
                max(reversed(high) if self.share.many else high, key=self.room).high = False
                room -= self.one_cap()
        self.share.recount(order)

    # -- admission ----------------------------------------------------------------------------------------

    def on_job(self, job: JobSubmitted) -> None:
        if not self.workers:
            self.ask()  # without a list from before the start nothing is gained by waiting for a turn
        self.probe_credit += PROBES_A_JOB
        self.jobs_seen += 1
        self.key_jobs[job.key] = self.key_jobs.get(job.key, 0) + 1
        kind = self.s.classes[job.job_class]
        excess = not self.in_share(job.tenant) and self.s.over_quota_weight_fraction < 1.0
        worth = kind.priority_weight * (self.s.over_quota_weight_fraction if excess else 1.0)
        self.mean_worth += MEMORY * (worth - self.mean_worth) if self.mean_worth else worth
        priority = worth >= self.mean_worth * (
            1 - 1e-6
        )  # with equal worths rounding must not decide
        self.priority_share += MEMORY * (priority - self.priority_share)
        stale = not priority and self.stale(job, kind)
        excess = excess or stale
        held = self.held[job.job_id] = InFlightJob(
            job, kind, self.now, self.now + job.budget_us, priority, excess
        )
        full = not priority and self.over(worth, job.slots) and not self.lends()
        if (full and (excess or not self.soon(held))) or (
            stale and self.pool_room(False) < self.one_cap()
        ):
            self.give_up(held)
        else:
            self.push(held)

    def over(self, worth: float, slots: float) -> bool:
        """Whether the Low Set is over its caps for an ordinary job of this worth: the dearer go last."""
        self.ordinary_worth += (
            MEMORY * (worth - self.ordinary_worth) if self.ordinary_worth else worth
        )
        if not self.share.many:
            return self.pool_room(False) < slots
        dear = worth > self.ordinary_worth
        return (
            self.pool_room(False) < -DEAR_EXCEEDS * dear * self.share.cap * self.share.count[False]
        )

    def stale(self, job: JobSubmitted, kind: JobClass) -> bool:
        """A marked retry that has waited as advised: its goal is past, a first try's is not."""
        advised = self.s.may_advise_retry and self.s.max_retry_after_us > kind.latency_objective_us
        return job.client_retry and advised and not kind.late_weight_fraction

    def soon(self, held: InFlightJob) -> bool:
        """Whether jobs of ours end so often that its turn is likely to come while it is still worth it.

        Without reports a pool over its caps has a queue already: late starts, which set them, count it."""
        ahead = 1 + sum(1 for h in self.waiting if not h.ended)
        return (
            self.s.load_report_source != "none"
            and 0 < self.runs.gap_us * ahead <= self.wait_until(held) - self.now
        )

    def in_share(self, tenant: int) -> bool:
        """By the tenant's part of the jobs seen here: one dispatcher's rates say nothing of the fleet's."""
        quotas = self.s.quotas_per_s
        if tenant not in range(len(quotas)):
            return True
        weight = max(MEMORY, 1 / (self.jobs_seen + 10))
        self.parts = [part + weight * ((k == tenant) - part) for k, part in enumerate(self.parts)]
        usage = [part / quota for part, quota in zip(self.parts, quotas, strict=True) if quota > 0]
        middle = sorted(usage)[(len(usage) - 1) // 2] if usage else 0.0
        self.credit[tenant] += min(SHARE_SLACK * middle * quotas[tenant] / self.parts[tenant], 1.0)
        within = self.credit[tenant] >= 1.0
        self.credit[tenant] -= within
        return within

    # -- choice -------------------------------------------------------------------------------------------

    def choose(self, held: InFlightJob) -> Worker | None:
        key = held.job.key
        tenant = self.s.tenant_name(held.job.tenant)
        able = [w for w in self.key_order(key) if w.entry.can_run(held.kind, tenant)]
        if len(able) > CHOICES:
            able = self.random.sample(able, CHOICES) if key is None else able[:CHOICES]
        turn = [w for w in able if self.now >= w.warm_us or self.cold_turn(held, w)]
        able = self.usable(turn, held.job.job_class)
        if held.attempts:
            able, tried = self.in_scope(held, able), [a.worker for a in held.attempts]
            able = [w for w in able if w not in tried] or able
        if key is not None:
            able = [w for w in able if w.high == held.priority] or able
            # A hot key's share of the fleet's work is more than two workers of a large fleet can do.
            part = (self.key_jobs.get(key, 1) - 1) / (self.jobs_seen + 1 / MEMORY)
            able = able[: HOMES + int(HOMES * part * len(able))]
        # Rotation passes over workers without room; a cap alone never holds up a priority job.
        rooms = {w: self.room(w) for w in able}
        needed = held.job.slots + EXCESS_LEAVES * held.excess
        # Many keep a pool's caps at admission: none of our jobs on a worker is room for one there.
        thin = self.share.many
        free = [
            w
            for w in able
            if rooms[w] >= needed
            or (not self.fresh(w) and (held.priority or (thin and not w.busy_slots)))
        ]
        pool = [w for w in free if w.high == held.priority]
        # Else the Low Set lends to one job; the High Set does if it has a worker to give back.
        if not pool and (held.priority or self.lends() or all(w.high for w in able)):
            pool = free
        if not pool or (key is not None and len(able) <= HOMES):
            return pool[0] if pool else None
        # Of stale and noisy counts the larger half is worth more than the rest: the turn goes round there.
        best = max(rooms[w] for w in pool)
        pool = [w for w in pool if best <= 0 or rooms[w] >= ROOMY * best]
        # The price of crossing zones is paid only when the own zone has no room, or for a cold worker's turn:
        # one back from a restart, or from maintenance, must warm up before it is needed.
        near = [w for w in pool if w.entry.zone == self.s.zone or self.now < w.warm_us]
        near = near if self.s.cross_zone_price else []
        return self.next_turn(near or pool)

    def key_order(self, key: str | None) -> list[Worker]:  # the same at every dispatcher
        if key is not None and key not in self.key_orders:
            k = crc32(key.encode())
            self.key_orders[key] = sorted(
                self.order, key=lambda w: (w.mark ^ k) * 0x9E3779B1 % 2**32
            )
        return self.order if key is None else self.key_orders[key]

    def in_scope(self, held: InFlightJob, workers: list[Worker]) -> list[Worker]:
        ran = held.may_have_run()
        if ran is None or held.kind.effect is Effect.IDEMPOTENT or held.kind.key_scope == "all":
            return workers
        zone, here = held.kind.key_scope == "zone", ran.worker.entry
        return [
            w for w in workers if (w.entry.zone == here.zone if zone else w.entry.cell == here.cell)
        ]

    def next_turn(self, pool: list[Worker]) -> Worker:
        """Smooth weighted round robin; a cold worker's weight shrinks with its warmth."""
        weights = [max(w.entry.weight, 1e-6) * self.warmth(w) for w in pool]
        for worker, weight in zip(pool, weights, strict=True):
            worker.turn += weight
        best = max(pool, key=lambda w: w.turn)
        best.turn -= sum(weights)
        return best

    # -- attempts -----------------------------------------------------------------------------------------

    def push(self, held: InFlightJob, later: bool = False) -> bool:
        """False if the job has to wait."""
        limit = 1 if held.excess else self.s.attempt_limit
        if (
            len(held.attempts) >= limit
            or self.now >= self.wait_until(held)
            or not held.repeatable(self.now)
        ):
            self.give_up(held)
            return True
        worker = None if later else self.choose(held)
        if worker is None:
            self.waiting.append(held)
            self.actions += [] if held.waited else [SetTimer(PUMP, self.wait_until(held))]
            held.waited = True
            return False
        self.send(held, worker)
        return True

    def send(self, held: InFlightJob, worker: Worker) -> None:
        held.attempts.append(Attempt(worker, self.now))
        self.change_busy(worker, held.job.slots)
        worker.last_cold_us, worker.cold_chance = self.now, False
        if worker.pause_us:
            worker.trial_us = self.now + worker.pause_us  # one trial at a time
        worker.tried(held.job.job_class, self.now)
        self.actions.append(StartAttempt(held.job.job_id, worker.entry.worker_id))
        if self.s.reports_start:
            patience = START_PATIENCE_MANY if self.share.many else START_PATIENCE
            due = self.now + int(patience * held.kind.latency_objective_us)
            self.unstarted.append((due, held, held.attempts[-1]))
            self.actions.append(SetTimer(START, due))

    def on_started(self, held: InFlightJob, number: int) -> None:
        if (attempt := held.attempt(number)) is not None:
            if not attempt.started:
                self.change_running(attempt.worker, held.job.slots)
                attempt.worker.began(held.job.job_class, FIRST_PAUSE_US)
                if not attempt.late and not attempt.worker.high:
                    self.share.started(False, late=False)
            attempt.started_us, busy = attempt.started_us or self.now, attempt.worker.busy_slots
            if busy >= (self.common_cap or inf) and not self.fresh(attempt.worker):
                self.late_at.append(busy + 1)  # it had room beyond the common cap
            self.cancel(held, [a for a in held.attempts if not a.started])

    def cancel(self, held: InFlightJob, attempts: list[Attempt]) -> None:
        for number, attempt in enumerate(held.attempts):
            if self.s.may_cancel and attempt.open and attempt in attempts:
                self.actions.append(CancelAttempt(held.job.job_id, number))

    def second_copies(self) -> None:
        """A push that does not start soon proves that its worker has no room, whatever a late report says.

        Where the class allows, a copy goes to a worker that has; the first to start cancels the other."""
        due = [late for late in self.unstarted if late[0] <= self.now]
        self.unstarted = [late for late in self.unstarted if late[0] > self.now]
        for _, held, attempt in due:
            if attempt.started or not attempt.open:
                continue
            self.late_at.append(attempt.worker.busy_slots)
            attempt.late = True
            if not attempt.worker.high:
                self.share.started(False, late=True)
            attempt.worker.room, attempt.worker.room_us = (
                min(self.room(attempt.worker), 0.0),
                self.now,
            )
            left = (
                not held.ended
                and len(held.attempts) < self.s.attempt_limit
                and held.repeatable(self.now)
            )
            if left and self.s.may_hedge and held.kind.effect is not Effect.NOT_IDEMPOTENT:
                worker, tried = self.choose(held), [a.worker for a in held.attempts]
                if worker and worker not in tried and self.room(worker) >= held.job.slots:
                    self.send(held, worker)

    def wait_until(self, held: InFlightJob) -> int:
        return min(
            held.arrived_us + int(PATIENCE * held.kind.latency_objective_us),
            held.deadline_us - self.s.scheduling_quantum_us,
        )

    def pump(self) -> None:
        """Jobs that wait get the room that has come up, priority jobs first; the late ones are given up."""
        waiting = sorted((h for h in self.waiting if not h.ended), key=lambda h: not h.priority)
        self.waiting, stuck, retry, self.stirred = [], set(), self.stirred, False
        for held in waiting:
            sort = (held.priority, held.job.job_class)
            if (not retry or sort in stuck) and self.now < self.wait_until(held):
                self.waiting.append(held)
            elif not self.push(held):
                stuck.add(sort)

    def give_up(self, held: InFlightJob) -> None:
        """The final answer where there is no good attempt left; harmless to retry only if that is known."""
        everywhere = held.kind.effect is Effect.IDEMPOTENT_WITH_KEY and held.kind.key_scope == "all"
        if held.may_have_run() is None or everywhere or held.kind.effect is Effect.IDEMPOTENT:
            pause = (
                self.s.max_retry_after_us if self.s.may_advise_retry and not held.priority else 0
            )
            self.actions.append(Reject(held.job.job_id, pause))
        else:
            self.actions.append(Fail(held.job.job_id))
        self.end(held)

    def end(self, held: InFlightJob) -> None:
        held.ended = True
        self.cancel(held, held.attempts)  # what is still out serves nobody
        if not any(a.open for a in held.attempts):
            self.held.pop(held.job.job_id, None)

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        held = self.held.get(event.job_id)
        attempt, result = held and held.attempt(event.attempt_number), event.result
        if attempt is None or not attempt.open:
            return
        attempt.open, worker, full_at = False, attempt.worker, attempt.worker.busy_slots
        self.change_busy(worker, -held.job.slots)
        if attempt.started:
            self.change_running(worker, -held.job.slots)
        self.on_report(worker, event.load_report)
        attempt.clean = result.never_ran
        if result is AttemptResult.FULL:
            worker.cap = max(full_at * SAFETY_FACTOR, 1.0)
            # Else a worker that turns jobs away at once would look idle and draw the next ones.
            worker.room, worker.room_us = min(self.room(worker), 0.0), self.now
        elif result is AttemptResult.OK:
            self.judge(worker, False)
            self.runs.served(self.now, held.job.job_class, event.elapsed_us)
            if attempt.started:
                more = self.runs.ran(held.job.job_class, self.now - attempt.started_us)
                worker.pace += PACE_WEIGHT * (more - worker.pace)
        elif result not in (AttemptResult.NOT_SENT, AttemptResult.CANCELLED):
            self.judge(worker, True)
        if event.job_answered or held.ended:
            self.end(held)
        elif not any(a.open for a in held.attempts):
            # Half of the attempts are kept for when room has changed: at a crowded fleet they are soon gone.
            self.push(
                held,
                result is AttemptResult.FULL and 2 * len(held.attempts) >= self.s.attempt_limit,
            )

    def on_timer(self, token: int) -> None:
        if token == ASK:
            self.ask()
        elif token == START:
            self.second_copies()
        elif token == TICK:
            self.look_at_pace()
            self.resize()
            if self.jobs_seen > KEY_HORIZON:
                self.jobs_seen //= 2
                self.key_jobs = {key: n // 2 for key, n in self.key_jobs.items() if n > 1}
            if self.s.load_report_source != "none" and self.s.may_check_health:
                silent = [
                    w for w in self.order if self.now - w.room_us >= PERIOD_US
                ]  # maybe jammed
                for worker in self.random.sample(silent, min(ceil(self.probe_credit), len(silent))):
                    self.actions.append(CheckHealth(worker.entry.worker_id))
                self.probe_credit = 0.0
            self.actions.append(SetTimer(TICK, self.now + PERIOD_US))
