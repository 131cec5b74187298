"""Case 6: one spoilt answer of a worker ends the dispatcher, with all that it had taken."""

import threading
import time
from pathlib import Path

from standins2.case import Case, free_port, run_case, wait_until
from standins2.settings import configuration, service
from standins2.web import Discovery, Job, Worker, call, is_ready

DEADLINE_SECONDS = 5.0
GRACE_SECONDS = 0.5  # after its time an answer only earns nothing; later it is lost
LEVELS = 1000  # of the spoilt result, 2,001 bytes in all
SOUND_REQUESTS = 4


def body(case: Case) -> None:
    """Send four sound requests and one whose worker spoils its answer; await all answers."""
    listen = free_port()
    spoilt = "[" * LEVELS + "1" + "]" * LEVELS

    def run(worker: Worker, job: Job) -> None:
        worker.tell(job, "started")
        if job.body == b"spoil":
            time.sleep(0.5)
            worker.tell(job, "done", spoilt if case.trouble else '"sound"')
        else:
            time.sleep(1.5)
            worker.tell(job, "done", '"sound"')

    workers = [Worker(case, f"s-{number}", listen, run) for number in range(3)]
    discovery = Discovery([worker.entry() for worker in workers])
    services = [service("revalue", "pure", goal_time_us=4_000_000)]
    process = case.start_dispatcher(configuration(listen, discovery.port, services))
    wait_until(lambda: is_ready(listen), 15, "the dispatcher is ready")
    answers: dict[str, str] = {}

    def send(request_id: str, content: bytes) -> None:
        headers = {
            "Request-Id": request_id,
            "Tenant": "tatra-invest",
            "Request-Timeout-Ms": str(int(DEADLINE_SECONDS * 1000)),
        }
        try:
            answer = call(
                listen,
                "POST /revalue HTTP/1.1",
                headers,
                content,
                seconds=DEADLINE_SECONDS + GRACE_SECONDS,
            )
            answers[request_id] = str(answer.status) if answer else "the connection ended"
        except OSError as error:
            answers[request_id] = f"{type(error).__name__}: {error}"
        case.log(f"client: {request_id} -> {answers[request_id]}")

    threads = []
    for number in range(SOUND_REQUESTS + 1):
        content = b"spoil" if number == SOUND_REQUESTS else b"sound"
        thread = threading.Thread(target=send, args=(f"5eed00000000000{number}", content))
        thread.start()
        threads.append(thread)
        time.sleep(0.05)
    for thread in threads:
        thread.join()
    for request_id, answer in sorted(answers.items()):
        if not answer.isdigit():
            case.break_rule(f"request {request_id} got no final answer: {answer}")
    if process.poll() is not None:
        case.break_rule(f"the dispatcher has crashed: exit status {process.returncode}")


if __name__ == "__main__":
    run_case(str(Path(__file__).parent), body)
