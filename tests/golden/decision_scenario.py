"""What a recorded stream is about: the settings, and how clients, workers and discovery behave."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Scenario:
    """The settings of one stream, and the behaviour of the simulated platform round the policy."""

    name: str
    settings: dict[str, str]
    seed: int
    seconds: float = 8.0
    workers: int = 8
    jobs_per_s: float = 60.0
    work_us: int = 60_000  # mean run of a job on a usual worker
    worker_slots: float = 2.0
    queue_limit: int = 4  # jobs that a worker lets wait before it says that it is full
    zones: int = 2
    kinds: int = 2
    cells: int = 3
    reloads: tuple[dict[str, str], ...] = ()  # further settings, at equal distances
    incidents: tuple[str, ...] = ("drain", "restart", "add", "send_unknown_events")
    incidents_per_s: float = 1.0
    error_fraction: float = 0.03
    cold_fraction: float = 0.0  # of the first workers that have just started
    silent_start_fraction: float = 0.1  # of starts without a notification
    keys: int = 12
    hot_key_fraction: float = 0.4
    keyless_fraction: float = 0.3  # of the jobs that need no key
    job_slots: tuple[float, ...] = (1.0,)
    disconnect_fraction: float = 0.02  # of clients that disconnect before their answer
    retry_fraction: float = 0.0  # of jobs that are marked as a client's retry
    names_runs: bool = False  # some workers name what they run
    empty_start: bool = False  # the list from before the start is empty
    list_failures: int = 0  # polls of the list that fail before the first answer
    list_failure_fraction: float = 0.0
    list_delay_us: int = 40_000
