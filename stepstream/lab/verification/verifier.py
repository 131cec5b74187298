"""Verify one run against the rules of `rules.py` while it is played.

The emulated workers and clients call a `Verifier` at each event; it builds the observation, applies
the rules of that kind of observation and records each breach. `rules.py` says how to add a rule;
`score.py` computes the run's figures from the records.

This module does no I/O. A `Verifier` owns the observations of one run; it has no lock, so only the
thread of the event loop that plays the run may call it. All times are in microseconds on the lab's
clock.
"""

from collections.abc import Callable, Iterable
from typing import TypeVar

from stepstream.lab.emulator.clock import US_PER_MS, US_PER_SECOND
from stepstream.lab.load.scenario import Scenario
from stepstream.lab.load.site import JobClassTable
from stepstream.lab.verification.observations import (
    Attempt,
    ClientRequest,
    FinalOutcome,
    JobRecord,
    RequestKey,
)
from stepstream.lab.verification.rules import (
    ARRIVAL_RULES,
    OVERLOAD_RULES,
    RESPONSE_RULES,
    Arrival,
    OverloadFailure,
    Response,
)
from stepstream.lab.verification.score import Figures, score_run

MAX_BREACHES = 100
"""How many breaches a run records; later ones are dropped."""

Observation = TypeVar("Observation", Arrival, Response, OverloadFailure)


class Verifier:
    """Observe the requests of one run and record each breach of a rule."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.started_at_us = 0  # set by the caller when the run starts
        self.requests: dict[RequestKey, ClientRequest] = {}
        self.records: dict[int, JobRecord] = {}  # by job number
        # By worker: since when the dispatcher knows that the worker drains or is gone.
        self.drain_known_since_us: dict[str, int] = {}
        self.breaches: list[str] = []
        self.attempt_count = 0  # arrivals at workers

    def record_breach(self, now_us: int, description: str) -> None:
        """Record a breach with its time since the start of the run, up to `MAX_BREACHES`."""
        if len(self.breaches) < MAX_BREACHES:
            elapsed_seconds = (now_us - self.started_at_us) / US_PER_SECOND
            self.breaches.append(f"{elapsed_seconds:.3f} s: {description}")

    def figures(self) -> Figures:
        """Return the figures of the run so far."""
        records = list(self.records.values())
        return score_run(self.scenario, records, self.attempt_count, self.breaches)

    # -- at the workers ---------------------------------------------------------------------------

    def on_drain_known(self, now_us: int, worker: str) -> None:
        """Record that the dispatcher knows from now on that the worker drains or is gone."""
        self.drain_known_since_us.setdefault(worker, now_us)

    def on_worker_ready(self, worker: str) -> None:
        """Record that the worker accepts new work again."""
        self.drain_known_since_us.pop(worker, None)

    def on_arrival(self, now_us: int, key: RequestKey, worker: str, cell: int) -> Attempt:
        """Record that an attempt reached a worker, and apply `ARRIVAL_RULES`.

        An attempt at a job that is not part of the scenario is counted but not verified.
        """
        self.attempt_count += 1
        attempt = Attempt(worker, cell, now_us)
        if not 0 <= key.job_number < len(self.scenario.requests):
            return attempt
        request = self.requests.setdefault(key, ClientRequest())
        job_class = self._job_class(key)
        arrival = Arrival(
            attempt=attempt,
            earlier=tuple(request.may_have_run()),
            job_class=job_class,
            drain_known_since_us=self.drain_known_since_us.get(worker),
            drain_grace_us=self.scenario.site.drain_grace_ms * US_PER_MS,
            description=f"{_describe_request(key, job_class)} at {worker}",
        )
        self._apply(ARRIVAL_RULES, arrival, now_us)
        request.attempts.append(attempt)
        return attempt

    def on_result(self, key: RequestKey, result: str) -> None:
        """Record a result that a worker produced for a request."""
        if key in self.requests:
            self.requests[key].results.add(result)

    def on_overload_failure(self, now_us: int, worker: str) -> None:
        """Apply `OVERLOAD_RULES` to the failure of a worker that was warming up."""
        self._apply(OVERLOAD_RULES, OverloadFailure(worker), now_us)

    # -- at the clients ---------------------------------------------------------------------------

    def on_submission(self, job_number: int) -> None:
        """Record that a client submits a job of the scenario."""
        self.records[job_number] = JobRecord(self.scenario.requests[job_number])

    def on_response(
        self, now_us: int, key: RequestKey, outcome: FinalOutcome, result: str | None = None
    ) -> None:
        """Record the final response to a request, and apply `RESPONSE_RULES`."""
        request = self.requests.setdefault(key, ClientRequest())
        request.outcomes.append(outcome)
        record = self.records[key.job_number]
        record.outcome = outcome
        record.elapsed_us = now_us - self.started_at_us - record.planned.at_us
        job_class = self._job_class(key)
        response = Response(outcome, result, request, job_class, _describe_request(key, job_class))
        self._apply(RESPONSE_RULES, response, now_us)

    # -- common -----------------------------------------------------------------------------------

    def _apply(
        self,
        rules: Iterable[Callable[[Observation], str | None]],
        observation: Observation,
        now_us: int,
    ) -> None:
        """Apply each rule to the observation and record the breaches."""
        for rule in rules:
            breach = rule(observation)
            if breach is not None:
                self.record_breach(now_us, breach)

    def _job_class(self, key: RequestKey) -> JobClassTable:
        """Return the job class of a request."""
        planned = self.scenario.requests[key.job_number]
        return self.scenario.site.job_classes[planned.class_index]


def _describe_request(key: RequestKey, job_class: JobClassTable) -> str:
    """Return the words that identify a request in the texts of breaches."""
    return f"{job_class.name} {key.job_number} try {key.client_attempt}"
