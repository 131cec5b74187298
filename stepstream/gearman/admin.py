"""Runs the protocol's text commands, for operators and their scripts.

Reader threads call this module, under the lock of the front that owns the service. Tables end with
a line that holds only a period.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from stepstream import __version__
from stepstream.gearman.names import registered_name
from stepstream.gearman.notifications import ClientNotifier
from stepstream.gearman.state import ServiceState
from stepstream.gearman.text_commands import ParsedCommand, TextCommand, error_line

END_OF_TABLE = ".\n"
OK = "OK\n"
MAX_MAXQUEUE = 10**9
MAX_MAXQUEUE_DIGITS = 10  # only the first digits are compared with MAX_MAXQUEUE


@dataclass(frozen=True, slots=True)
class CommandResult:
    """The answer to a text command, and whether the program is to shut down."""

    answer: str
    shuts_down: bool = False


class AdminCommands:
    """Runs text commands on the service's state."""

    def __init__(self, state: ServiceState, notifier: ClientNotifier) -> None:
        self.state = state
        self.notifier = notifier

    def run(self, now_us: int, parsed: ParsedCommand) -> CommandResult:
        """Run a command and return its result."""
        match parsed.command:
            case TextCommand.SHUTDOWN:
                return self._shutdown()
            case TextCommand.MAXQUEUE:
                return CommandResult(self._maxqueue(parsed.arguments))
            case TextCommand.CANCEL_JOB:
                return CommandResult(self._cancel_job(now_us, parsed.arguments))
        return CommandResult(self._report(parsed.command))

    def _report(self, command: TextCommand) -> str:
        """Return the answer of a command without arguments that changes nothing."""
        reports: dict[TextCommand, Callable[[], str]] = {
            TextCommand.WORKERS: self._workers,
            TextCommand.STATUS: self._status,
            TextCommand.VERSION: self._version,
            TextCommand.SHOW_JOBS: self._show_jobs,
            TextCommand.SHOW_UNIQUE_JOBS: self._show_unique_jobs,
        }
        return reports[command]()

    def _version(self) -> str:
        return f"OK {__version__}\n"

    def _workers(self) -> str:
        """List each connection as `NUMBER HOST ID : FUNCTION ...`."""
        rows = []
        for peer in self.state.peers:
            functions = " ".join(sorted(peer.worker.timeouts_us)) if peer.worker else ""
            name = peer.client_id.decode("utf-8", "replace").partition(";")[0] or "-"
            rows.append(
                f"{peer.connection_number} {peer.host} {name} : {functions}".rstrip() + "\n"
            )
        return "".join(rows) + END_OF_TABLE

    def _status(self) -> str:
        """List each function of the settings as `FUNCTION TOTAL RUNNING WORKERS`, with tabs."""
        jobs = self.state.jobs
        running_counts: dict[str, int] = {}
        for job in jobs.by_handle.values():
            if job.running:
                running_counts[job.function] = running_counts.get(job.function, 0) + 1
        rows = []
        for function, class_name, tenant in self._functions():
            worker_count = sum(
                registered_name(worker.timeouts_us, class_name, tenant) is not None
                for worker in self.state.workers.by_id.values()
            )
            open_count = jobs.open_counts.get(function, 0)
            running_count = running_counts.get(function, 0)
            rows.append(f"{function}\t{open_count}\t{running_count}\t{worker_count}\n")
        return "".join(rows) + END_OF_TABLE

    def _functions(self) -> Iterator[tuple[str, str, str]]:
        """Yield the full name, class name and tenant name of each function of the settings."""
        settings = self.state.settings
        for tenant in settings.tenants or ("",):
            for class_name in settings.class_names:
                yield f"{tenant}/{class_name}" if tenant else class_name, class_name, tenant

    def _maxqueue(self, args: tuple[str, ...]) -> str:
        """Run `maxqueue FUNCTION [N]`: limit the function's open jobs to N, or remove the limit."""
        functions = {function for function, _, _ in self._functions()}
        if not args or args[0] not in functions:
            known = ", ".join(sorted(functions))
            return error_line("UNKNOWN_FUNCTION", f"maxqueue takes one of {known}")
        function, *numbers = args
        if not numbers:
            self.state.max_queue.pop(function, None)
            return OK
        limit_text = numbers[0]
        is_number = limit_text.isascii() and limit_text.isdigit()
        if not is_number or int(limit_text[:MAX_MAXQUEUE_DIGITS]) > MAX_MAXQUEUE:
            return error_line("BAD_NUMBER", f"{limit_text} is not a number of jobs")
        self.state.max_queue[function] = int(limit_text)
        return OK

    def _cancel_job(self, now_us: int, args: tuple[str, ...]) -> str:
        job = self.state.jobs.by_handle.get(args[0]) if args else None
        if job is None or job.request is None:
            return error_line("JOB_NOT_FOUND", "no open job has that handle")
        self.notifier.cancel(now_us, job)
        return OK

    def _show_jobs(self) -> str:
        """List open and retained jobs as `HANDLE STAGE RUNNING CLIENTS FUNCTION`, with tabs."""
        rows = []
        for job in self.state.jobs.by_handle.values():
            columns = (
                job.handle,
                job.stage.value,
                str(int(job.running)),
                str(len(job.clients)),
                job.function,
            )
            rows.append("\t".join(columns) + "\n")
        return "".join(rows) + END_OF_TABLE

    def _show_unique_jobs(self) -> str:
        rows = [
            job.unique.decode("utf-8", "replace") + "\n"
            for job in self.state.jobs.by_handle.values()
            if job.unique
        ]
        return "".join(rows) + END_OF_TABLE

    def _shutdown(self) -> CommandResult:
        if not self.state.section.allow_shutdown:
            return CommandResult(
                error_line("NOT_ALLOWED", "gearman.allow_shutdown is off in the operator file")
            )
        return CommandResult(OK, shuts_down=True)
