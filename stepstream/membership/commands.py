"""stepstream fleet: the membership list of a running dispatcher, from its admin listener.

Usage:
  stepstream fleet members --at ADDRESS [--json]
  stepstream fleet watch --at ADDRESS
  stepstream fleet explain NAME --at ADDRESS [--json]
  stepstream fleet leave --at ADDRESS
  stepstream fleet (-h | --help)

Commands:
  members       Print the members with their states and status.
  watch         Print changes as they happen, until interrupted.
  explain       Print why a member is in its state, the source and the time of that.
  leave         Shut the dispatcher down gracefully; it answers all requests, then leaves.

Options:
  --at ADDRESS  HOST:PORT of the dispatcher's admin listener (`operator` in its configuration).
  --json        Print JSON.

Exit codes: 0; 1 the members do not agree yet (members) or no such member (explain); 2 the request
failed.
"""

import sys
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, cast
from urllib.parse import quote

import ujson
from docopt import docopt
from rich.console import Console
from rich.table import Table

from stepstream.membership.errors import MembershipError
from stepstream.subsystem_api.admin_client import AdminCallError, request_json

EXIT_OK = 0
EXIT_NEGATIVE = 1
EXIT_REQUEST_FAILED = 2

COLUMNS_WITHOUT_TERMINAL = 160
WATCH_INTERVAL_SECONDS = 0.5
STATUS_KEYS = ("phase", "list_version", "settings", "open_requests", "program")
COLUMNS = ("name", "state", "since", "phase", "list", "settings", "open", "program", "address")
RIGHT_ALIGNED_COLUMNS = {"since", "list", "open"}
STATE_STYLES = {
    "alive": "green",
    "suspect": "yellow",
    "dead": "red",
    "left": "dim",
    "superseded": "magenta",
}

Answer = dict[str, Any]  # a JSON object from the admin listener; `report` defines its keys


class CommandError(MembershipError):
    """The dispatcher rejected a call or did not answer; the command exits with `exit_code`."""

    def __init__(self, message: str, exit_code: int) -> None:
        super().__init__(message)
        self.exit_code = exit_code


def call(admin_address: str, path: str, method: str = "GET") -> Answer:
    """Call the admin listener; raise `CommandError` unless the answer is a success."""
    try:
        return cast(Answer, request_json(admin_address, path, method))
    except AdminCallError as error:
        is_not_found = error.status == HTTPStatus.NOT_FOUND
        if is_not_found and path == "/fleet":
            message = f"{admin_address}: this dispatcher has no [fleet]"
            raise CommandError(message, EXIT_REQUEST_FAILED) from error
        exit_code = EXIT_NEGATIVE if is_not_found else EXIT_REQUEST_FAILED
        raise CommandError(str(error), exit_code) from error


def run(argv: list[str], console: Console | None = None) -> int:
    """Run a command line; return its exit code."""
    arguments = docopt(__doc__, argv)
    console = console or Console(width=None if sys.stdout.isatty() else COLUMNS_WITHOUT_TERMINAL)
    try:
        return run_command(arguments, console)
    except CommandError as error:
        print(f"stepstream: {error}", file=sys.stderr)
        return error.exit_code


def run_command(arguments: dict[str, Any], console: Console) -> int:
    """Run the command that docopt has parsed; return its exit code."""
    admin_address = arguments["--at"]
    if arguments["members"]:
        return show_members(admin_address, console, as_json=arguments["--json"])
    if arguments["watch"]:
        return watch(admin_address, console, lambda: True)
    if arguments["explain"]:
        return explain(admin_address, arguments["NAME"], console, as_json=arguments["--json"])
    return leave(admin_address, console)


def show_members(admin_address: str, console: Console, *, as_json: bool) -> int:
    """Print the members; return EXIT_NEGATIVE while they do not agree, EXIT_OK otherwise."""
    answer = call(admin_address, "/fleet")
    if as_json:
        print_json(answer)
    else:
        console.print(members_table(answer))
        for record in answer["words"]:
            if record["out"]:
                console.print(
                    f"worker {record['worker']} is in maintenance, requested at {record['by']}"
                )
    return EXIT_OK if answer["settled"] else EXIT_NEGATIVE


def members_table(answer: Answer) -> Table:
    """Return a table with one row for each member."""
    state = "settled" if answer["settled"] else "unsettled"
    table = Table(
        title=f"{answer['cluster']}, membership list of {answer['self']}: {state}, "
        f"{answer['counted']} counted, digest {answer['digest']}",
        title_justify="left",
    )
    for column in COLUMNS:
        is_right_aligned = column in RIGHT_ALIGNED_COLUMNS
        table.add_column(column, justify="right" if is_right_aligned else "left", no_wrap=True)
    for member in answer["members"]:
        status = member["facts"]
        table.add_row(
            member["name"] + (" *" if member["name"] == answer["self"] else ""),
            styled_state(member["state"]),
            f"{member['since_s']:.0f} s",
            *(str(status.get(key, "")) for key in STATUS_KEYS),
            member["address"],
        )
    return table


def watch(
    admin_address: str,
    console: Console,
    is_watching: Callable[[], bool],
    interval_seconds: float = WATCH_INTERVAL_SECONDS,
) -> int:
    """Print events as they happen, while `is_watching` returns true.

    Raise `CommandError` if the dispatcher no longer answers.
    """
    last_number = call(admin_address, "/fleet")["number"]
    while is_watching():
        answer = call(admin_address, f"/fleet/changes?after={last_number}")
        if answer["number"] < last_number:
            console.print("[dim]the dispatcher has restarted[/]")
        if answer["lost"]:
            console.print(f"[dim]{answer['lost']} changes are no longer kept[/]")
        print_events(answer["changes"], console)
        last_number = answer["number"]
        time.sleep(interval_seconds)
    return EXIT_OK


def explain(admin_address: str, name: str, console: Console, *, as_json: bool) -> int:
    """Print why a member is in its state."""
    answer = call(admin_address, f"/fleet/members/{quote(name, safe='')}")
    if as_json:
        print_json(answer)
        return EXIT_OK
    console.print(
        f"{answer['name']} at {answer['address']}: {answer['state']} for "
        f"{answer['since_s']:.1f} s, source {answer['by']}; "
        f"generation {answer['generation']}, incarnation {answer['incarnation']}"
    )
    suspicion = answer["suspicion"]
    if suspicion:
        accusers = ", ".join(suspicion["accusers"])
        console.print(f"suspected by {accusers}; declared dead in {suspicion['dead_in_s']:.1f} s")
    print_events(answer["history"], console)
    return EXIT_OK


def leave(admin_address: str, console: Console) -> int:
    """Have the dispatcher shut down gracefully."""
    name = call(admin_address, "/fleet/leave", "PUT")["leaving"]
    console.print(f"{name} shuts down: it answers all requests, then announces its leave")
    return EXIT_OK


def print_json(answer: Answer) -> None:
    """Print an answer as one line of JSON."""
    print(ujson.dumps(answer, escape_forward_slashes=False))


def print_events(events: list[Answer], console: Console) -> None:
    """Print one line for each event."""
    for event in events:
        console.print(event_line(event), highlight=False)


def event_line(event: Answer) -> str:
    """Return the line for one event, as console markup."""
    before = f"{event['before']} -> " if event["before"] else ""
    return (
        f"{event['ago_s']:6.1f} s ago  {event['name']:<16} {before}{styled_state(event['after'])}"
        f"  by {event['by']}: {event['why']}"
    )


def styled_state(state: str) -> str:
    """Return a state with its colour, as console markup."""
    return f"[{STATE_STYLES.get(state, 'white')}]{state}[/]"
