"""The load balancer: owns the state of one dispatcher's policy and routes events to its modules.

Only the decision thread touches it.
"""

from stepstream.model.actions import PolicyAction, TimerToken
from stepstream.model.endpoints import EndpointList, EndpointListKind
from stepstream.model.events import (
    AttemptEnded,
    AttemptStarted,
    HealthChecked,
    JobAbandoned,
    JobSubmitted,
    PolicyEvent,
    SettingsChanged,
    TimerFired,
)
from stepstream.model.settings import Settings
from stepstream.model.state import PolicyState
from stepstream.policy import admission, outliers, pools, retries
from stepstream.policy.endpoint_polling import EndpointPoller

PERIOD_US = 500_000  # between two runs of the periodic tasks


class LoadBalancer:
    """The decisions of one dispatcher: events in, actions out."""

    def __init__(self, settings: Settings, seed: int, start_us: int) -> None:
        self.state = PolicyState(settings, seed, start_us)
        # Periods begin at random: dispatchers that start together must not act in step.
        first_us = start_us + self.state.rng.randrange(PERIOD_US)
        self.state.set_timer(TimerToken.PERIODIC_TASKS, first_us)
        self.endpoint_poller = EndpointPoller(self.state)

    def handle(self, now_us: int, events: list[PolicyEvent]) -> list[PolicyAction]:
        """Take the events of one round and return the actions that they call for, in order."""
        self.state.begin_round(now_us)
        for event in events:
            self._on_event(event)
        retries.retry_waiting_jobs(self.state)
        return self.state.take_actions()

    def _on_event(self, event: PolicyEvent) -> None:
        state = self.state
        match event:
            case JobSubmitted():
                if not state.workers:
                    self.endpoint_poller.poll()  # nothing to gain by waiting for a turn
                admission.on_job(state, event)
            case AttemptEnded():
                retries.on_attempt_ended(state, event)
            case AttemptStarted() if event.job_id in state.jobs:
                retries.on_attempt_started(state, state.jobs[event.job_id], event.attempt_number)
            case EndpointList():
                self._on_endpoint_list(event)
            case TimerFired():
                self._on_timer(event.token)
            case HealthChecked() if event.worker_id in state.workers:
                outliers.on_load_report(state, state.workers[event.worker_id], event.load_report)
            case JobAbandoned() if event.job_id in state.jobs:
                state.end_job(state.jobs[event.job_id])
            case SettingsChanged():
                state.replace_settings(event.settings)

    def _on_endpoint_list(self, listed: EndpointList) -> None:
        if listed.kind is EndpointListKind.FAILED:
            self.endpoint_poller.on_failure()
            return
        self.endpoint_poller.on_success()
        self.state.apply_endpoints(listed)
        pools.fill_empty_pool(self.state)

    def _on_timer(self, token: int) -> None:
        if token == TimerToken.POLL_ENDPOINTS:
            self.endpoint_poller.poll()
        elif token == TimerToken.START_DUE:
            retries.on_starts_due(self.state)
        elif token == TimerToken.PERIODIC_TASKS:
            self._run_periodic_tasks()

    def _run_periodic_tasks(self) -> None:
        state = self.state
        outliers.update_slow_ejections(state, spare_capacity=pools.has_spare_capacity(state))
        state.begin_period()
        pools.resize(state)
        outliers.check_silent_workers(state, PERIOD_US)
        state.set_timer(TimerToken.PERIODIC_TASKS, state.now_us + PERIOD_US)
