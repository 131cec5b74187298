"""Incidents of the simulated platform: each function changes it and returns the caused events.

`decisions/scenarios.json` names the incidents of a scenario by the names of these functions.
"""

from collections.abc import Callable

from golden.decision_simulation import UNKNOWN_WORKER, SimulatedPlatform

RUN_TIME_FACTOR_OF_HUNG_WORKER = 300.0


def drain(platform: SimulatedPlatform) -> list[dict]:
    """Let a worker drain, or end its drain."""
    worker = platform.random_listed_worker()
    is_draining = worker.entry["state"] == "draining"
    worker.entry["state"] = "in" if is_draining else "draining"
    return platform.changes_event(worker)


def remove(platform: SimulatedPlatform) -> list[dict]:
    """Remove a worker if many others are left."""
    worker = platform.random_listed_worker()
    if not platform.has_spare_workers():
        return []
    worker.entry["state"] = "out"
    return platform.changes_event(worker)


def add(platform: SimulatedPlatform) -> list[dict]:
    """Add a worker; in 7 cases of 10 it has just started."""
    return platform.changes_event(platform.add_worker(cold=platform.random.random() < 0.7))


def restart(platform: SimulatedPlatform) -> list[dict]:
    """Restart a worker: its attempts end with a reset, and it has its usual speed again."""
    worker = platform.random_listed_worker()
    attempts = worker.queue + worker.running
    worker.entry["started_us"] = platform.now_us
    worker.entry["state"] = "in"
    events = [event for attempt in attempts for event in platform.end_attempt(attempt, "reset")]
    worker.recover()
    return events + platform.changes_event(worker)


def change_weights(platform: SimulatedPlatform) -> list[dict]:
    """Give two workers other weights."""
    workers = [platform.random_listed_worker(), platform.random_listed_worker()]
    for worker in workers:
        worker.entry["weight"] = round(platform.random.uniform(0, 3), 2)
    return platform.changes_event(*workers)


def complete_list(platform: SimulatedPlatform) -> list[dict]:
    """Send the complete list; one worker is missing from it if many others are left."""
    if platform.has_spare_workers():
        platform.random_listed_worker().entry["state"] = "out"
    return [platform.list_event("complete", platform.listed_workers())]


def persisted_list(platform: SimulatedPlatform) -> list[dict]:
    """Send the list as one that was persisted before the start."""
    return [platform.list_event("persisted", platform.listed_workers())]


def break_watch(platform: SimulatedPlatform) -> list[dict]:
    """End the watch, and let the next polls fail: none to three of them."""
    platform.watched = False
    platform.polls_to_fail = platform.random.randrange(4)
    return [platform.list_event("failed", [])]


def return_errors(platform: SimulatedPlatform) -> list[dict]:
    """Let a worker fail half or all of its jobs."""
    platform.random_listed_worker().error_fraction = platform.random.choice((0.5, 1.0))
    return []


def slow_down(platform: SimulatedPlatform) -> list[dict]:
    """Let a worker take several times as long."""
    platform.random_listed_worker().run_time_factor = platform.random.choice((4.0, 8.0))
    return []


def hang(platform: SimulatedPlatform) -> list[dict]:
    """Let a worker run each job so long that it hardly ever ends."""
    platform.random_listed_worker().run_time_factor = RUN_TIME_FACTOR_OF_HUNG_WORKER
    return []


def lose_jobs(platform: SimulatedPlatform) -> list[dict]:
    """Let a worker accept the jobs of one class and never begin them."""
    class_count = int(platform.settings["services.count"])
    job_class = platform.random.randrange(class_count)
    platform.random_listed_worker().lost_class = job_class
    return []


def become_unreachable(platform: SimulatedPlatform) -> list[dict]:
    """Let a worker refuse connections."""
    platform.random_listed_worker().reachable = False
    return []


def recover(platform: SimulatedPlatform) -> list[dict]:
    """Give all workers their usual behaviour again; they begin the jobs that they had lost."""
    events = []
    for worker in platform.listed_workers():
        worker.recover()
        worker.error_fraction = platform.scenario.error_fraction
        events += platform.begin_next(worker)
    return events


def change_load(platform: SimulatedPlatform) -> list[dict]:
    """Change the rate of jobs."""
    platform.load_factor = platform.random.choice((0.2, 1.0, 1.0, 3.0))
    return []


def send_unknown_events(platform: SimulatedPlatform) -> list[dict]:
    """Send events of jobs, attempts, workers and timers that are unknown or have ended."""
    job = platform.random.choice(list(platform.jobs)) if platform.jobs else "job0"
    worker = platform.random_listed_worker().entry["worker"]
    ended = {
        "attempt": platform.random.choice((-1, 0, 1, 7)),
        "result": "ok",
        "spent_us": 1,
        "job_ended": True,
        "report": None,
    }
    events = [
        {"event": "ended", "job": "stranger", "worker": UNKNOWN_WORKER, **ended},
        {"event": "started", "job": "stranger", "attempt": 0, "worker": UNKNOWN_WORKER},
        {"event": "started", "job": job, "attempt": 7, "worker": worker},
        {
            "event": "probed",
            "worker": UNKNOWN_WORKER,
            "ok": True,
            "spent_us": 9,
            "report": {"free_slots": 1.0},
        },
        {"event": "left", "job": "stranger"},
        {"event": "timer", "token": 77},
    ]
    ended_attempts = [attempt for attempt in platform.attempts.get(job, []) if attempt.ended]
    if ended_attempts:
        again = {**ended, "attempt": ended_attempts[0].number}
        events.append({"event": "ended", "job": job, "worker": worker, **again})
    return platform.random.sample(events, 3)


def make_answer_due(platform: SimulatedPlatform) -> list[dict]:
    """Let the answers of three jobs be due: a known one, the newest one and an unknown one."""
    job = platform.random.choice(list(platform.jobs)) if platform.jobs else "job0"
    return [{"event": "due", "job": name} for name in (job, f"job{platform.job_count}", "stranger")]


def fail_endpoint_call(platform: SimulatedPlatform) -> list[dict]:
    """Let a call for the list fail; in half of the cases the list was unconfirmed for 3 s."""
    return [{"event": "call_failed", "unconfirmed_us": platform.random.choice((0, 3_000_000))}]


def confirm_endpoint_list(platform: SimulatedPlatform) -> list[dict]:
    """Let a call for the list be answered without changes."""
    return [{"event": "list_confirmed"}]


def refuse_connection(platform: SimulatedPlatform) -> list[dict]:
    """Let a known and an unknown worker refuse a connection."""
    workers = (platform.random_listed_worker().entry["worker"], UNKNOWN_WORKER)
    return [{"event": "refused", "worker": worker} for worker in workers]


INCIDENTS: dict[str, Callable[[SimulatedPlatform], list[dict]]] = {
    incident.__name__: incident
    for incident in (
        drain,
        remove,
        add,
        restart,
        change_weights,
        complete_list,
        persisted_list,
        break_watch,
        return_errors,
        slow_down,
        hang,
        lose_jobs,
        become_unreachable,
        recover,
        change_load,
        send_unknown_events,
        make_answer_due,
        fail_endpoint_call,
        confirm_endpoint_list,
        refuse_connection,
    )
}
