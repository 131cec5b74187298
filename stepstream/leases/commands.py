"""stepstream lease: leases on fleet-wide tasks, asked at a running dispatcher's admin listener.

Usage:
  stepstream lease list --at ADDRESS [--json]
  stepstream lease show NAME --at ADDRESS [--json]
  stepstream lease release NAME --at ADDRESS
  stepstream lease run NAME --at ADDRESS [--ttl S] [--wait S] -- COMMAND [ARGUMENT ...]
  stepstream lease (-h | --help)

Commands:
  list          The leases that this dispatcher knows of: who holds them, who waits.
  show          One of them.
  release       Have whoever holds it through this dispatcher end, and give it back.
  run           Wait for the lease, run the command while it is held, give it back.

Options:
  --at ADDRESS  HOST:PORT of the dispatcher's admin listener (`operator` in its configuration).
  --json        Print JSON.
  --ttl S       Seconds that the lease is asked for each time [default: 15].
  --wait S      Seconds to wait for it; without, for as long as it takes.

The command finds STEPSTREAM_LEASE and STEPSTREAM_FENCE, the lease's name and its fencing token, in its
environment. If the lease cannot be renewed the command gets SIGTERM, then SIGKILL before another can hold it.

Exit codes of run: the command's own (128 and the signal's number, if one ended it); 64 the call was bad;
69 the lease was lost, and the command ended for it; 75 the lease was not had in time. Of the others: 0;
1 no such lease; 2 the call could not be made.
"""

import os
import signal
import sys

import ujson
from docopt import DocoptExit, docopt
from rich.console import Console
from rich.table import Table

from stepstream.admin_client import call_admin
from stepstream.config.errors import ConfigurationError

OK, NOT_SO, BAD_CALL = 0, 1, 2


def run(words: list[str], console: Console | None = None) -> int:
    """The command's exit code."""
    try:
        arguments = docopt(__doc__, words)
    except DocoptExit as error:
        print(error.usage.strip(), file=sys.stderr)
        return os.EX_USAGE if words[1:2] == ["run"] else BAD_CALL
    console = console or Console(width=None if sys.stdout.isatty() else 160)
    at, name = arguments["--at"], arguments["NAME"]
    if arguments["run"]:
        return run_command(arguments)
    try:
        if arguments["release"]:
            status, told = call_admin(at, f"/leases/{name}/release", "PUT")
        else:
            status, told = call_admin(at, "/leases" if arguments["list"] else f"/leases/{name}")
    except ConnectionError as error:
        print(f"stepstream: {error}", file=sys.stderr)
        return BAD_CALL
    if status != 200:
        unknown = status == 404 and not str(told.get("error", "")).startswith("no such call")
        print(f"stepstream: {at}: {told.get('error', status)}", file=sys.stderr)
        return NOT_SO if unknown else BAD_CALL
    if arguments["release"]:
        console.print(
            f"{name}: {told['ending']} told to end; the lease is given back when they have"
        )
    elif arguments["--json"]:
        print(ujson.dumps(told, escape_forward_slashes=False))
    else:
        console.print(table(told if isinstance(told, list) else [told], at))
    return OK


def table(rows: list[dict], at: str) -> Table:
    made = Table(title=f"leases as {at} knows them", title_justify="left")
    for column in ("name", "state", "holder", "token", "left", "waiting"):
        made.add_column(
            column, justify="right" if column in ("token", "left") else "left", no_wrap=True
        )
    for row in rows:
        left = f"{row['left_ms'] / 1000:.1f} s"
        waiting = ", ".join(row["waiting"][:4]) + (" ..." if len(row["waiting"]) > 4 else "")
        made.add_row(row["name"], row["state"], row["holder"], str(row["token"]), left, waiting)
    return made


def run_command(arguments: dict) -> int:
    from stepstream.leases.runner import Runner

    try:
        ttl = seconds("--ttl", arguments["--ttl"])
        wait = seconds("--wait", arguments["--wait"]) if arguments["--wait"] is not None else None
        command = [arguments["COMMAND"], *arguments["ARGUMENT"]]
        runner = Runner(arguments["--at"], arguments["NAME"], ttl, wait, command)
    except ConfigurationError as error:
        print(f"stepstream: {error}", file=sys.stderr)
        return os.EX_USAGE
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda came, _: runner.stop(came))
    return runner.run()


def seconds(key: str, text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 < value < 86_400:
        raise ConfigurationError(f"{key}={text} is not a number of seconds")
    return value
