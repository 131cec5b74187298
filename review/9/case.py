"""Case 9: a Gearman worker in maintenance gets a new job after the grace, and loses it."""

import contextlib
import threading
import time
from pathlib import Path

from standins2.case import HOST, Case, free_port, run_case, wait_until
from standins2.gearman import GearmanClient, GearmanWorker
from standins2.settings import configuration, service
from standins2.web import Discovery, is_ready, operate

GRACE_SECONDS = 0.5 + 0.05  # safety.stop_sending_within_us, and the slack of every time limit
JOB_SECONDS = 0.9  # less than gearman.queue_wait_ms by default
RESTART_AFTER_SECONDS = 1.2  # from the yes on: the grace is over and the worker's job has ended
JOBS = 2


def body(case: Case) -> None:
    """Take out one of two workers, which runs a job while another waits; then restart it."""
    listen, operator, gearman = free_port(), free_port(), free_port()
    discovery = Discovery([])
    services = [service("nav-publish", "side_effect", worth=10.0)]
    case.start_dispatcher(
        configuration(listen, discovery.port, services, operator=operator),
        f'[gearman]\nlisten = "{HOST}:{gearman}"\ntenant = "tatra-invest"\n',
    )
    wait_until(lambda: is_ready(listen), 15, "the dispatcher is ready")
    assigned: list[tuple[str, float, str]] = []
    workers: dict[str, GearmanWorker] = {}

    def work(name: str) -> None:
        worker = GearmanWorker(gearman, f"{name};start=1000", "nav-publish")
        workers[name] = worker
        with contextlib.suppress(OSError):
            while True:
                job = worker.grab(5.0)
                if job is None:
                    continue
                workload = job[2].decode()
                assigned.append((name, time.monotonic(), workload))
                case.log(f"{name}: assigned {workload}")
                time.sleep(JOB_SECONDS)
                worker.complete(job[0], b"published " + job[2])
                case.log(f"{name}: completed {workload}")

    for name in ("w1", "w2"):
        threading.Thread(target=work, args=(name,), daemon=True).start()
    time.sleep(0.5)
    clients = [GearmanClient(gearman) for _ in range(JOBS)]
    for number, client in enumerate(clients):
        handle = client.submit("nav-publish", f"fund-{number}", f"job {number}".encode())
        case.log(f"client: submitted job {number} as {handle}")
    wait_until(lambda: assigned, 1, "a worker runs a job")
    name = assigned[0][0]
    told_at = float("inf")
    if case.trouble:
        status = operate(case, operator, f"/workers/gearman:{name}/maint")
        if status == 200:
            told_at = time.monotonic()
        time.sleep(RESTART_AFTER_SECONDS)
        case.log(f"operators restart {name}: its process ends")
        workers[name].close()
    outcomes = [client.outcome(6.0) for client in clients]
    for number, (outcome, data) in enumerate(outcomes):
        case.log(f"client: job {number} {outcome} {data!r}")
    for worker, at, workload in assigned:
        if worker == name and at > told_at + GRACE_SECONDS:
            late = at - told_at
            case.break_rule(f"{name} got {workload} {late:.3f} s after the yes to its maintenance")
            outcome, data = outcomes[int(workload.split()[1])]
            case.break_rule(f"{workload}, accepted from its client, ended as {outcome} {data!r}")


if __name__ == "__main__":
    run_case(str(Path(__file__).parent), body)
