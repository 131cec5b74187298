"""The mix of jobs by key."""

from stepstream.model.job_mix import MAX_JOBS_COUNTED, JobMix


def test_the_present_job_is_left_out_of_its_keys_fraction():
    mix = JobMix()
    mix.record_arrival("a")
    assert mix.key_fraction("a") == 0.0
    for _ in range(49):
        mix.record_arrival("a")
    assert mix.key_fraction("a") == 49 / (50 + 50)
    assert mix.key_fraction("never seen") == 0.0


def test_counts_are_halved_past_the_horizon_and_rare_keys_forgotten():
    mix = JobMix()
    for _ in range(MAX_JOBS_COUNTED - 1):
        mix.record_arrival("hot")
    mix.record_arrival("rare")
    mix.forget_old_jobs()
    assert mix.jobs_seen == MAX_JOBS_COUNTED
    mix.record_arrival(None)
    mix.forget_old_jobs()
    assert mix.jobs_seen == MAX_JOBS_COUNTED // 2
    assert mix.jobs_by_key == {"hot": (MAX_JOBS_COUNTED - 1) // 2}
