"""Case 10: a Gearman worker gets a job whose client has gone."""

import contextlib
import threading
import time
from pathlib import Path

from standins2.case import HOST, Case, free_port, run_case, wait_until
from standins2.gearman import GearmanClient, GearmanWorker
from standins2.settings import configuration, service
from standins2.web import Discovery, is_ready

GONE_SECONDS = 0.1 + 0.05  # after the close, and the slack of every time limit on sockets
LONG_SECONDS = 0.7  # less than gearman.queue_wait_ms by default
SHORT_SECONDS = 0.03
SOUND_CLIENTS = 19  # one of twenty clients leaves; 2 to 6% may
LONG = b"document of the last sound client"
LEFT = b"document of the client that leaves"


def body(case: Case) -> None:
    """Let a worker run a job while another client's job waits for it; that client leaves."""
    listen, gearman = free_port(), free_port()
    discovery = Discovery([])
    case.start_dispatcher(
        configuration(
            listen, discovery.port, [service("new-submission", "side_effect")], cancelling=False
        ),
        f'[gearman]\nlisten = "{HOST}:{gearman}"\ntenant = "tatra-invest"\n',
    )
    wait_until(lambda: is_ready(listen), 15, "the dispatcher is ready")
    assigned: dict[bytes, float] = {}

    def work() -> None:
        worker = GearmanWorker(gearman, "w1;start=1000", "new-submission")
        with contextlib.suppress(OSError):
            while True:
                job = worker.grab(5.0)
                if job is None:
                    continue
                assigned[job[2]] = time.monotonic()
                case.log(f"w1: assigned {job[2].decode()}")
                time.sleep(LONG_SECONDS if job[2] == LONG else SHORT_SECONDS)
                worker.complete(job[0], b"stored")
                case.log(f"w1: completed {job[2].decode()}")

    threading.Thread(target=work, daemon=True).start()
    time.sleep(0.5)
    for number in range(SOUND_CLIENTS - 1):
        client = GearmanClient(gearman)
        client.submit("new-submission", f"u{number}", f"document {number}".encode())
        case.log(f"client {number}: {client.outcome(6.0)}")
        client.close()
    last, leaving = GearmanClient(gearman), GearmanClient(gearman)
    last.submit("new-submission", "last", LONG)
    wait_until(lambda: LONG in assigned, 2, "the worker runs the last sound client's job")
    leaving.submit("new-submission", "leaving", LEFT)
    closed_at = float("inf")
    time.sleep(0.1)
    if case.trouble:
        leaving.close()
        closed_at = time.monotonic()
        case.log("the leaving client has closed its connection")
    case.log(f"last sound client: {last.outcome(6.0)}")
    time.sleep(1.5)
    sent_at = assigned.get(LEFT)
    if sent_at is not None and sent_at > closed_at + GONE_SECONDS:
        late = sent_at - closed_at
        case.break_rule(f"w1 was sent a job {late:.3f} s after its client had closed, and ran it")


if __name__ == "__main__":
    run_case(str(Path(__file__).parent), body)
