"""The load balancer: owns the state of one dispatcher's policy and routes events to its rules.

Only the decision thread touches it.
"""

from stepstream.model.actions import PolicyAction, TimerToken
from stepstream.model.endpoints import EndpointList, EndpointListKind
from stepstream.model.events import (
    AnswerDue,
    AttemptEnded,
    AttemptStarted,
    ConnectionRefused,
    EndpointCallFailed,
    EndpointListConfirmed,
    HealthChecked,
    JobAbandoned,
    JobSubmitted,
    PolicyEvent,
    SettingsChanged,
    TimerFired,
)
from stepstream.model.settings import Settings
from stepstream.model.state import PolicyState
from stepstream.policy import (
    admission,
    attempts,
    capacity,
    endpoint_updates,
    hedging,
    load_reports,
    outliers,
    pools,
    retries,
    slow_start,
    timers,
    unconfirmed_list,
)
from stepstream.policy.endpoint_polling import EndpointPoller


class LoadBalancer:
    """The decisions of one dispatcher: events in, actions out."""

    def __init__(self, settings: Settings, seed: int, start_us: int) -> None:
        self.state = PolicyState(settings, seed, start_us)
        timers.set_first_period(self.state)
        self.endpoint_poller = EndpointPoller(self.state)

    def handle(self, now_us: int, events: list[PolicyEvent]) -> list[PolicyAction]:
        """Process the events of one round; return the actions that follow from them, in order."""
        self.state.begin_round(now_us)
        capacity.measure_missing_common_cap(self.state)
        for event in events:
            self._on_event(event)
        retries.retry_waiting_jobs(self.state)
        return self.state.take_actions()

    def _on_event(self, event: PolicyEvent) -> None:
        match event:
            case EndpointCallFailed() | EndpointListConfirmed() | ConnectionRefused():
                self._on_list_evidence(event)
            case JobAbandoned() | AnswerDue():
                self._on_answer_event(event)
            case JobSubmitted():
                self._on_job_submitted(event)
            case AttemptEnded():
                retries.on_attempt_ended(self.state, event)
            case AttemptStarted():
                self._on_attempt_started(event)
            case EndpointList():
                self._on_endpoint_list(event)
            case TimerFired():
                self._on_timer_fired(event)
            case HealthChecked():
                self._on_health_checked(event)
            case SettingsChanged():
                self.state.replace_settings(event.settings)

    def _on_job_submitted(self, event: JobSubmitted) -> None:
        if not self.state.workers.by_id:
            # Without a list no job can be served, so the poll does not wait for its timer.
            self.endpoint_poller.poll()
        admission.on_job_submitted(self.state, event)

    def _on_attempt_started(self, event: AttemptStarted) -> None:
        job = self.state.jobs.in_flight.get(event.job_id)
        if job is not None:
            retries.on_attempt_started(self.state, job, event.attempt_number)

    def _on_endpoint_list(self, endpoint_list: EndpointList) -> None:
        if endpoint_list.kind is EndpointListKind.FAILED:
            self.endpoint_poller.on_failure()
            return
        self.endpoint_poller.on_success()
        endpoint_updates.apply_endpoint_list(self.state, endpoint_list)
        pools.fill_empty_pool(self.state)

    def _on_timer_fired(self, event: TimerFired) -> None:
        # WAIT_EXPIRED has no task of its own: each round gives up jobs that have waited too long.
        if event.token == TimerToken.POLL_ENDPOINTS:
            self.endpoint_poller.poll()
        elif event.token == TimerToken.START_DUE:
            hedging.on_starts_due(self.state)
        elif event.token == TimerToken.PERIODIC_TASKS:
            self._run_periodic_tasks()

    def _on_health_checked(self, event: HealthChecked) -> None:
        worker = self.state.workers.by_id.get(event.worker_id)
        if worker is not None:
            load_reports.on_load_report(self.state, worker, event.load_report)

    def _on_answer_event(self, event: JobAbandoned | AnswerDue) -> None:
        job = self.state.jobs.in_flight.get(event.job_id)
        if job is None:
            return
        if isinstance(event, JobAbandoned):
            attempts.end_job(self.state, job)
        elif not job.ended:
            retries.give_up(self.state, job)

    def _on_list_evidence(
        self, event: EndpointCallFailed | EndpointListConfirmed | ConnectionRefused
    ) -> None:
        match event:
            case EndpointCallFailed():
                unconfirmed_list.on_call_failed(self.state, event)
            case EndpointListConfirmed():
                unconfirmed_list.on_list_confirmed(self.state)
            case ConnectionRefused():
                unconfirmed_list.on_connection_refused(self.state, event)

    def _run_periodic_tasks(self) -> None:
        """Update the measurements and make the decisions that are due once a period."""
        state = self.state
        outliers.update_slow_ejections(state, spare_capacity=pools.has_spare_capacity(state))
        capacity.measure_common_cap(state)
        state.workers.waiting_jobs_due = True
        state.measurements.job_mix.forget_old_jobs()
        slow_start.update_warm_worker_equivalents(state)
        pools.resize(state)
        load_reports.check_silent_workers(state, timers.PERIOD_US)
        timers.set_next_period(state)
