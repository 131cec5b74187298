"""Health checks of workers that have reported no load of late."""

from math import ceil

from stepstream.model.actions import CheckHealth
from stepstream.model.state import PolicyState


def check_silent_workers(state: PolicyState, silent_us: int) -> None:
    """Check some of the workers without a report for so long: they may be jammed.

    A dispatcher's checks are bounded by its own jobs, whatever the number of workers.
    """
    if not state.has_load_reports or not state.settings.may_check_health:
        return
    silent = [
        worker
        for worker in state.eligible_workers
        if state.now_us - worker.headroom_at_us >= silent_us
    ]
    count = min(ceil(state.health_check_credit), len(silent))
    for worker in state.rng.sample(silent, count):
        state.actions.append(CheckHealth(worker.endpoint.worker_id))
    state.health_check_credit = 0.0
