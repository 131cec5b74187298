"""The counts of jobs by key."""

from zlib import crc32

from stepstream.model.job_mix import MAX_JOBS_COUNTED, JobMix


def test_the_present_job_is_left_out_of_its_keys_fraction():
    job_mix = JobMix()
    job_mix.record_arrival("a")
    assert job_mix.key_fraction("a") == 0.0
    for _ in range(49):
        job_mix.record_arrival("a")
    assert job_mix.key_fraction("a") == 49 / (50 + 50)
    assert job_mix.key_fraction("never seen") == 0.0


def test_counts_are_halved_above_the_maximum_and_rare_keys_are_removed():
    job_mix = JobMix()
    for _ in range(MAX_JOBS_COUNTED - 1):
        job_mix.record_arrival("hot")
    job_mix.record_arrival("rare")
    job_mix.forget_old_jobs()
    assert job_mix.jobs_seen == MAX_JOBS_COUNTED
    job_mix.record_arrival(None)
    job_mix.forget_old_jobs()
    assert job_mix.jobs_seen == MAX_JOBS_COUNTED // 2
    assert job_mix.jobs_by_key == {crc32(b"hot"): (MAX_JOBS_COUNTED - 1) // 2}
