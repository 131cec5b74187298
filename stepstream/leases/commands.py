"""stepstream lease: leases of a running dispatcher, through its admin listener.

Usage:
  stepstream lease list --at ADDRESS [--json]
  stepstream lease show NAME --at ADDRESS [--json]
  stepstream lease release NAME --at ADDRESS
  stepstream lease run NAME --at ADDRESS [--ttl S] [--wait S] -- COMMAND [ARGUMENT ...]
  stepstream lease (-h | --help)

Commands:
  list          Print the leases that this dispatcher knows: who holds them, who waits.
  show          Print one lease.
  release       Revoke a lease that is held through this dispatcher: its holder ends and releases it.
  run           Acquire the lease, run the command while it is held, release it.

Options:
  --at ADDRESS  HOST:PORT of the dispatcher's admin listener (`operator` in its configuration).
  --json        Print JSON.
  --ttl S       Time to live in seconds that each renewal requests [default: 15].
  --wait S      Longest wait for the lease in seconds; unlimited by default.

The command has the lease's name and its fencing token in its environment, as STEPSTREAM_LEASE and STEPSTREAM_FENCE.
If the lease cannot be renewed, the command gets SIGTERM, then SIGKILL before another process can hold the lease.

Exit codes of run: the command's own (128 and the signal's number if a signal ended it); 64 bad usage; 69 the lease
was lost and the command was ended; 75 the lease was not acquired within --wait. Of the others: 0; 1 no such lease;
2 the request failed.
"""  # noqa: E501  printed as the usage, whose text is fixed

import os
import signal
import sys
from http import HTTPStatus
from types import FrameType
from typing import Any

import ujson
from docopt import DocoptExit, docopt
from rich.console import Console
from rich.table import Table

from stepstream.config.errors import ConfigurationError
from stepstream.subsystem_api.admin_client import AdminCallError, request_json

# Exit codes of all commands but `run`, whose codes are in `command_runner`.
EXIT_OK = 0
EXIT_NO_SUCH_LEASE = 1
EXIT_REQUEST_FAILED = 2

# The beginning of the admin listener's error at a dispatcher without `[leases]`.
UNKNOWN_PATH = "no such call"
COLUMNS_WITHOUT_TERMINAL = 160
MAX_LISTED_WAITERS = 4
MAX_SECONDS = 86_400

Arguments = dict[str, Any]  # docopt's
Row = dict[str, Any]  # one lease in the admin listener's JSON, `admin_api.Row`


def run(argv: list[str], console: Console | None = None) -> int:
    """Run `stepstream lease ...` and return its exit code; `argv` begins with `lease`."""
    try:
        arguments = docopt(__doc__, argv)
    except DocoptExit as error:
        print(error.usage.strip(), file=sys.stderr)
        return os.EX_USAGE if argv[1:2] == ["run"] else EXIT_REQUEST_FAILED
    if arguments["run"]:
        return run_under_lease(arguments)
    console = console or Console(width=None if sys.stdout.isatty() else COLUMNS_WITHOUT_TERMINAL)
    address = arguments["--at"]
    try:
        answer = request_json(address, *path_and_method(arguments))
    except AdminCallError as error:
        print(f"stepstream: {error}", file=sys.stderr)
        return exit_code_of(error)
    print_answer(arguments, answer, console)
    return EXIT_OK


def path_and_method(arguments: Arguments) -> tuple[str, str]:
    """Return the admin listener's call for `list`, `show` or `release`."""
    name = arguments["NAME"]
    if arguments["release"]:
        return f"/leases/{name}/release", "PUT"
    return ("/leases" if arguments["list"] else f"/leases/{name}"), "GET"


def exit_code_of(error: AdminCallError) -> int:
    """Return the exit code for a call that failed."""
    is_unknown_lease = error.status == HTTPStatus.NOT_FOUND and not error.reason.startswith(
        UNKNOWN_PATH
    )
    return EXIT_NO_SUCH_LEASE if is_unknown_lease else EXIT_REQUEST_FAILED


def print_answer(arguments: Arguments, answer: Any, console: Console) -> None:  # noqa: ANN401  parsed JSON
    """Print the dispatcher's answer in the form that the options select."""
    name = arguments["NAME"]
    if arguments["release"]:
        ending = answer["ending"]
        console.print(f"{name}: {ending} asked to end; the lease is released once they have ended")
    elif arguments["--json"]:
        print(ujson.dumps(answer, escape_forward_slashes=False))
    else:
        rows = answer if isinstance(answer, list) else [answer]
        console.print(lease_table(rows, arguments["--at"]))


def lease_table(rows: list[Row], address: str) -> Table:
    """Return the leases as a table."""
    table = Table(title=f"leases known at {address}", title_justify="left")
    for column in ("name", "state", "holder", "token", "left", "waiting"):
        is_number = column in ("token", "left")
        table.add_column(column, justify="right" if is_number else "left", no_wrap=True)
    for row in rows:
        remaining = f"{row['left_ms'] / 1000:.1f} s"
        waiting = ", ".join(row["waiting"][:MAX_LISTED_WAITERS])
        if len(row["waiting"]) > MAX_LISTED_WAITERS:
            waiting += " ..."
        table.add_row(
            row["name"], row["state"], row["holder"], str(row["token"]), remaining, waiting
        )
    return table


def run_under_lease(arguments: Arguments) -> int:
    """Run `stepstream lease run` and return its exit code."""
    from stepstream.leases.command_runner import CommandRunner

    wait_text = arguments["--wait"]
    try:
        runner = CommandRunner(
            arguments["--at"],
            arguments["NAME"],
            parse_seconds("--ttl", arguments["--ttl"]),
            parse_seconds("--wait", wait_text) if wait_text is not None else None,
            [arguments["COMMAND"], *arguments["ARGUMENT"]],
        )
    except ConfigurationError as error:
        print(f"stepstream: {error}", file=sys.stderr)
        return os.EX_USAGE

    def on_signal(signal_number: int, _frame: FrameType | None) -> None:
        runner.stop(signal_number)

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, on_signal)
    return runner.run()


def parse_seconds(option: str, text: str) -> float:
    """Return an option's seconds; raise `ConfigurationError` if they are not a valid number."""
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 < seconds < MAX_SECONDS:
        raise ConfigurationError(f"{option}={text} is not a number of seconds")
    return seconds
