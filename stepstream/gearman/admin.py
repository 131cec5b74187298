"""The text commands of the published protocol, for operators and their scripts; free of I/O."""

from collections.abc import Callable, Iterable
from typing import Protocol

from stepstream import __version__
from stepstream.config.operator_file import GearmanSection
from stepstream.gearman.jobs import Job, JobTable
from stepstream.gearman.names import registered_name
from stepstream.gearman.workers import Member, WorkerTable
from stepstream.model.settings import Settings

END = ".\n"
MOST_QUEUE = 10**9


class Peer(Protocol):
    """A connection as the commands show it."""

    number: int
    host: str
    client_id: bytes
    member: Member | None


class Desk(Protocol):
    """What the commands look at and change."""

    section: GearmanSection
    settings: Settings
    jobs: JobTable
    workers: WorkerTable
    max_queue: dict[str, int]

    @property
    def peers(self) -> Iterable[Peer]: ...

    def cancel(self, now_us: int, job: Job) -> None: ...


def run(desk: Desk, now_us: int, words: tuple[str, ...]) -> tuple[str, bool]:
    """The answer's text, and whether the program is to end."""
    found = find(words)
    if found is None:
        return unknown(), False
    length, command = found
    return command(desk, now_us, words[length:])


def find(words: tuple[str, ...]) -> "tuple[int, Command] | None":
    """A command and how many words name it."""
    for name, command in COMMANDS.items():
        asked = tuple(name.split())
        if words[: len(asked)] == asked:
            return len(asked), command
    return None


def unknown() -> str:
    return error("UNKNOWN_COMMAND", f"the commands are {', '.join(COMMANDS)}")


def error(code: str, text: str) -> str:
    """Words are joined by +, as the protocol's own server writes them."""
    return f"ERR {code} {text.replace(' ', '+')}\n"


def workers(desk: Desk, now_us: int, rest: tuple[str, ...]) -> tuple[str, bool]:
    """`NUMBER HOST ID : FUNCTION ...` for each connection."""
    rows = []
    for peer in desk.peers:
        runs = " ".join(sorted(peer.member.runs)) if peer.member else ""
        name = peer.client_id.decode("utf-8", "replace").partition(";")[0] or "-"
        rows.append(f"{peer.number} {peer.host} {name} : {runs}".rstrip() + "\n")
    return "".join(rows) + END, False


def status(desk: Desk, now_us: int, rest: tuple[str, ...]) -> tuple[str, bool]:
    """`FUNCTION TOTAL RUNNING WORKERS` for each function of the settings, by tabs."""
    running: dict[str, int] = {}
    for job in desk.jobs.by_handle.values():
        running[job.function] = running.get(job.function, 0) + job.running
    settings, rows = desk.settings, []
    for tenant in settings.tenants or ("",):
        for kind in settings.class_names:
            name = f"{tenant}/{kind}" if tenant else kind
            able = sum(
                registered_name(m.runs, kind, tenant) is not None
                for m in desk.workers.members.values()
            )
            rows.append(f"{name}\t{desk.jobs.open.get(name, 0)}\t{running.get(name, 0)}\t{able}\n")
    return "".join(rows) + END, False


def version(desk: Desk, now_us: int, rest: tuple[str, ...]) -> tuple[str, bool]:
    return f"OK {__version__}\n", False


def maxqueue(desk: Desk, now_us: int, rest: tuple[str, ...]) -> tuple[str, bool]:
    """`maxqueue TENANT/CLASS [N]`: so many open jobs of it; without N the bound is lifted."""
    known = {
        f"{t}/{k}" if t else k
        for t in desk.settings.tenants or ("",)
        for k in desk.settings.class_names
    }
    if not rest or rest[0] not in known:
        return error("UNKNOWN_FUNCTION", f"maxqueue takes one of {', '.join(sorted(known))}"), False
    if len(rest) == 1:
        desk.max_queue.pop(rest[0], None)
    elif rest[1].isascii() and rest[1].isdigit() and int(rest[1][:10]) <= MOST_QUEUE:
        desk.max_queue[rest[0]] = int(rest[1])
    else:
        return error("BAD_NUMBER", f"{rest[1]} is not a number of jobs"), False
    return "OK\n", False


def cancel_job(desk: Desk, now_us: int, rest: tuple[str, ...]) -> tuple[str, bool]:
    job = desk.jobs.by_handle.get(rest[0]) if rest else None
    if job is None or job.request is None:
        return error("JOB_NOT_FOUND", "no open job has that handle"), False
    desk.cancel(now_us, job)
    return "OK\n", False


def show_jobs(desk: Desk, now_us: int, rest: tuple[str, ...]) -> tuple[str, bool]:
    """`HANDLE STAGE RUNNING CLIENTS FUNCTION` by tabs, open jobs and ended ones that are kept."""
    rows = [
        f"{job.handle}\t{job.stage.value}\t{int(job.running)}\t{len(job.clients)}\t{job.function}\n"
        for job in desk.jobs.by_handle.values()
    ]
    return "".join(rows) + END, False


def show_unique_jobs(desk: Desk, now_us: int, rest: tuple[str, ...]) -> tuple[str, bool]:
    rows = [
        job.unique.decode("utf-8", "replace") for job in desk.jobs.by_handle.values() if job.unique
    ]
    return "".join(f"{row}\n" for row in rows) + END, False


def shutdown(desk: Desk, now_us: int, rest: tuple[str, ...]) -> tuple[str, bool]:
    if not desk.section.allow_shutdown:
        return error("NOT_ALLOWED", "gearman.allow_shutdown is off in the operator file"), False
    return "OK\n", True


Command = Callable[[Desk, int, tuple[str, ...]], tuple[str, bool]]
COMMANDS: dict[str, Command] = {
    "workers": workers,
    "status": status,
    "version": version,
    "maxqueue": maxqueue,
    "cancel job": cancel_job,
    "show jobs": show_jobs,
    "show unique jobs": show_unique_jobs,
    "shutdown": shutdown,
}
