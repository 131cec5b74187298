"""The settings of a recorded stream, and how clients, workers and discovery behave in it."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Scenario:
    """The settings of one stream, and the behaviour of the simulated platform.

    The fields have the names that `decisions/scenarios.json` uses.
    """

    name: str
    settings: dict[str, str]
    seed: int
    seconds: float = 8.0
    workers: int = 8
    jobs_per_s: float = 60.0
    work_us: int = 60_000  # mean run time of a job on a worker without faults
    worker_slots: float = 2.0
    queue_limit: int = 4  # waiting jobs from which a worker rejects further ones as full
    zones: int = 2
    kinds: int = 2
    cells: int = 3
    reloads: tuple[dict[str, str], ...] = ()  # later settings, applied at equal intervals
    incidents: tuple[str, ...] = ("drain", "restart", "add", "send_unknown_events")
    incidents_per_s: float = 1.0
    error_fraction: float = 0.03
    cold_fraction: float = 0.0  # share of initial workers that have just started
    silent_start_fraction: float = 0.1  # share of starts without a notification
    keys: int = 12
    hot_key_fraction: float = 0.4
    keyless_fraction: float = 0.3  # share of jobs without a key, if none is required
    job_slots: tuple[float, ...] = (1.0,)
    disconnect_fraction: float = 0.02  # share of clients that disconnect
    retry_fraction: float = 0.0  # share of jobs marked as a client's retry
    names_runs: bool = False  # some workers name the jobs that they support
    empty_start: bool = False  # the list persisted before the start is empty
    list_failures: int = 0  # polls of the list that fail before the first answer
    list_failure_fraction: float = 0.0
    list_delay_us: int = 40_000
