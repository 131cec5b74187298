"""stepstream fleet: how a running dispatcher sees the others, asked at its admin listener.

Usage:
  stepstream fleet members --at ADDRESS [--json]
  stepstream fleet watch --at ADDRESS
  stepstream fleet explain NAME --at ADDRESS [--json]
  stepstream fleet leave --at ADDRESS
  stepstream fleet (-h | --help)

Commands:
  members       The members, their states and what each says of itself.
  watch         Changes as they come, until stopped.
  explain       Why a member is in its state, from whom that was heard, when.
  leave         Have this dispatcher stop: it answers all that it has taken and says that it leaves.

Options:
  --at ADDRESS  HOST:PORT of the dispatcher's admin listener (`operator` in its configuration).
  --json        Print JSON.

Exit codes: 0; 1 unsettled (members) or no such member (explain); 2 the call could not be made.
"""

import sys
import time
from collections.abc import Callable
from urllib.parse import quote

import ujson
from docopt import docopt
from rich.console import Console
from rich.table import Table

from stepstream.admin_client import call_admin

OK, NOT_SO, BAD_CALL = 0, 1, 2
TOLD = ("phase", "list_version", "settings", "open_requests", "program")
STATES = {
    "alive": "green",
    "suspect": "yellow",
    "dead": "red",
    "left": "dim",
    "superseded": "magenta",
}


class RefusedError(Exception):
    """The dispatcher said no, or could not be asked; `code` is the command's exit code."""

    def __init__(self, text: str, code: int) -> None:
        super().__init__(text)
        self.code = code


def ask(at: str, path: str, method: str = "GET") -> dict:
    """One call; RefusedError if there is no answer, or none that is a yes."""
    try:
        status, told = call_admin(at, path, method)
    except ConnectionError as error:
        raise RefusedError(str(error), BAD_CALL) from None
    if status == 404 and path == "/fleet":
        raise RefusedError(f"{at}: this dispatcher has no [fleet]", BAD_CALL)
    if status != 200:
        raise RefusedError(
            f"{at}: {told.get('error', status)}", NOT_SO if status == 404 else BAD_CALL
        )
    return told


def run(words: list[str], console: Console | None = None) -> int:
    """The command's exit code: 0, 1 (unsettled, or no such member) or 2 (bad call)."""
    arguments = docopt(__doc__, words)
    console = console or Console(width=None if sys.stdout.isatty() else 160)
    at = arguments["--at"]
    try:
        if arguments["members"]:
            return members(at, arguments["--json"], console)
        if arguments["watch"]:
            return watch(at, console, lambda: True)
        if arguments["explain"]:
            return explain(at, arguments["NAME"], arguments["--json"], console)
        told = ask(at, "/fleet/leave", "PUT")
        console.print(
            f"{told['leaving']} stops: it answers all that it has taken, then says that it leaves"
        )
        return OK
    except RefusedError as error:
        print(f"stepstream: {error}", file=sys.stderr)
        return error.code


def members(at: str, as_json: bool, console: Console) -> int:
    told = ask(at, "/fleet")
    if as_json:
        print(ujson.dumps(told, escape_forward_slashes=False))
    else:
        console.print(table(told))
        for word in told["words"]:
            if word["out"]:
                console.print(
                    f"worker {word['worker']} is out for maintenance, told at {word['by']}"
                )
    return OK if told["settled"] else NOT_SO


def table(told: dict) -> Table:
    settled = "settled" if told["settled"] else "unsettled"
    made = Table(
        title=f"{told['cluster']} as {told['self']} sees it: {settled}, {told['counted']} counted, "
        f"digest {told['digest']}",
        title_justify="left",
    )
    right = {"since", "list", "open"}
    for column in (
        "name",
        "state",
        "since",
        "phase",
        "list",
        "settings",
        "open",
        "program",
        "address",
    ):
        made.add_column(column, justify="right" if column in right else "left", no_wrap=True)
    for member in told["members"]:
        facts, state = member["facts"], member["state"]
        made.add_row(
            member["name"] + (" *" if member["name"] == told["self"] else ""),
            f"[{STATES.get(state, 'white')}]{state}[/]",
            f"{member['since_s']:.0f} s",
            *(str(facts.get(key, "")) for key in TOLD),
            member["address"],
        )
    return made


def watch(at: str, console: Console, going: Callable[[], bool], pause: float = 0.5) -> int:
    """Changes as they come, until stopped; a dispatcher that no longer answers ends it."""
    number = ask(at, "/fleet")["number"]
    while going():
        told = ask(at, f"/fleet/changes?after={number}")
        if told["number"] < number:
            console.print("[dim]the dispatcher has started anew[/]")
        if told["lost"]:
            console.print(f"[dim]{told['lost']} changes are no longer kept[/]")
        for change in told["changes"]:
            console.print(line(change), highlight=False)
        number = told["number"]
        time.sleep(pause)
    return OK


def line(change: dict) -> str:
    state = change["after"]
    before = f"{change['before']} -> " if change["before"] else ""
    return (
        f"{change['ago_s']:6.1f} s ago  {change['name']:<16} {before}[{STATES.get(state, 'white')}]{state}[/]"
        f"  by {change['by']}: {change['why']}"
    )


def explain(at: str, name: str, as_json: bool, console: Console) -> int:
    told = ask(at, f"/fleet/members/{quote(name, safe='')}")
    if as_json:
        print(ujson.dumps(told, escape_forward_slashes=False))
        return OK
    console.print(
        f"{told['name']} at {told['address']}: {told['state']} for {told['since_s']:.1f} s, heard from "
        f"{told['by']}; generation {told['generation']}, incarnation {told['incarnation']}"
    )
    if told["suspicion"]:
        accusers = ", ".join(told["suspicion"]["accusers"])
        console.print(
            f"suspected by {accusers}; held dead in {told['suspicion']['dead_in_s']:.1f} s"
        )
    for change in told["history"]:
        console.print(line(change), highlight=False)
    return OK
