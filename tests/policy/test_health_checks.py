"""Which workers the load balancer health-checks at the end of a period."""

from stepstream.model.actions import CheckHealth
from tests.model.builders import IDEMPOTENT, make_endpoint
from tests.policy.harness import WITH_LOAD_REPORTS, PolicyHarness


def checked_at_period_end(jobs, workers=30, **settings):
    """Return the workers checked after a period with this many jobs and one load report."""
    fields = {"may_check_health": True, **WITH_LOAD_REPORTS, **settings}
    harness = PolicyHarness(IDEMPOTENT, workers=workers, **fields)
    harness.finish_period().advance(400_000)
    harness.report_headroom(1, 9.0)
    for _ in range(jobs):
        harness.submit()
    actions = harness.fire_timers(100_000)
    return [action.worker_id for action in actions if isinstance(action, CheckHealth)]


def test_workers_without_a_report_for_a_period_are_checked_where_allowed():
    checked = checked_at_period_end(jobs=9, workers=3)
    assert sorted(checked) == [make_endpoint(0).worker_id, make_endpoint(2).worker_id]
    assert not checked_at_period_end(jobs=9, may_check_health=False)


def test_health_checks_are_bounded_by_own_jobs_and_not_by_the_number_of_workers():
    # Guards against too many checks: when each dispatcher checked every silent worker, 93
    # dispatchers with 50 workers made 21 checks for each job.
    assert len(checked_at_period_end(jobs=4)) == 4
    assert not checked_at_period_end(jobs=0)
