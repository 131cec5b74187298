"""stepstream: a dispatcher that pushes jobs to workers.

Usage:
  stepstream serve [--operator FILE]
  stepstream check-config [--operator FILE]
  stepstream keys new --dir DIR [--alg ALG] [--kid KID] [--state STATE]
  stepstream keys rotate --dir DIR [--overlap S] [--early]
  stepstream keys revoke KID --dir DIR
  stepstream keys list --dir DIR
  stepstream token issue --dir DIR --subject SUB --issuer ISS --audience AUD [--ttl S] [--kid KID]
  stepstream token inspect TOKEN
  stepstream identity explain --operator FILE --token TOKEN --class CLASS [--tenant TENANT]
  stepstream fleet COMMAND ...
  stepstream lab fleet [--members N] [--seed N] [--faults FILE] [--seconds N] [--out DIR]
  stepstream demo [--site NAME] [--mix MIX] [--seconds N] [--seed N] [--json FILE] [--hold]
  stepstream version
  stepstream (-h | --help)

Commands:
  serve         Run one dispatcher, as EDGE_CONFIG says, until SIGTERM.
  check-config  Read EDGE_CONFIG, name the first faulty key or sum up what it sets.
  keys          Make, rotate, revoke or list the keys that tokens are signed by.
  token         Issue a token, or show what one says.
  identity      Print the decision on a token for a class and tenant, and the rule behind it.
  fleet         Ask a running dispatcher how it sees the others: stepstream fleet --help.
  lab fleet     Play faults (drawn by the seed, or a file's) on a few dispatchers and check what must hold.
  demo          Start a small fleet, a dispatcher and load on this machine, and show how they do.
  version       Print the version.

Options:
  --operator FILE  The operator's own TOML file, which switches on more than the platform's dispatcher;
                   STEPSTREAM_OPERATOR stands in for it. Without either nothing more is loaded.
  --dir DIR        The folder of keys.json and the private keys.
  --alg ALG        EdDSA, ES256 or RS256 [default: EdDSA].
  --kid KID        A key's name; made up if it is left out.
  --state STATE    active or next [default: active].
  --overlap S      For how long tokens of the retiring key stay good, in seconds [default: 3600].
  --early          Rotate though the next key has hardly been published.
  --subject SUB    Whom the token speaks of.
  --issuer ISS     As identity.issuer has it.
  --audience AUD   As identity.audience has it.
  --ttl S          For how long it is good, in seconds [default: 900].
  --token TOKEN    The token itself.
  --class CLASS    What is asked for.
  --tenant TENANT  For whom.
  --site NAME      The fleet and its protocol: small (asked lists, no reports, keyed jobs) or probed (pushed
                   lists, load reports from probes, jobs that must never run twice) [default: small].
  --mix MIX        What clients and nodes speak: http, gearman or mixed [default: mixed].
  --seconds N      For how long load is sent [default: 20].
  --seed N         Of all that is drawn at random [default: 1].
  --json FILE      Write the scores there too.
  --members N      Dispatchers, 2 to 20 [default: 5].
  --faults FILE    [[fault]] tables: docs/fleet.md.
  --out DIR        Write fleet.json and the chart fleet.png there.
  --hold           Start fleet and dispatcher but no load: print one JSON line with the addresses and stay
                   until stopped.
"""  # noqa: E501  printed as the usage, whose text is fixed

import sys
from collections.abc import Callable
from importlib import import_module
from typing import Any

from docopt import docopt

from stepstream.cli.errors import CommandError

# The module of each command, loaded once the command is called: its `run` takes docopt's arguments
# and returns the exit code.
COMMANDS = {
    "version": "stepstream.cli.version",
    "demo": "stepstream.cli.demo",
    "lab": "stepstream.cli.lab",
    "keys": "stepstream.cli.keys_and_token",
    "token": "stepstream.cli.keys_and_token",
    "identity": "stepstream.cli.identity_explain",
    "serve": "stepstream.cli.serve",
    "check-config": "stepstream.cli.check_config",
}
# These have a usage of their own: their `run` takes the command line, which begins with their name.
COMMANDS_WITH_OWN_USAGE = {"fleet": "stepstream.cli.fleet", "lease": "stepstream.cli.lease"}


def main(argv: list[str] | None = None) -> int:
    """Run the command line `argv`, the process's own by default, and return its exit code.

    A `CommandError` becomes one line on standard error. Raise docopt's SystemExit for a command
    line that does not fit the usage, and after the help.
    """
    command_line = sys.argv[1:] if argv is None else argv
    try:
        return run_command(command_line)
    except CommandError as error:
        print(f"stepstream: {error}", file=sys.stderr)
        return error.exit_code


def run_command(command_line: list[str]) -> int:
    """Run the command that the command line names; return its exit code."""
    first = command_line[0] if command_line else ""
    if first in COMMANDS_WITH_OWN_USAGE:
        return load_command(COMMANDS_WITH_OWN_USAGE[first])(command_line)
    arguments = docopt(__doc__, command_line)
    name = next(name for name in COMMANDS if arguments[name])
    return load_command(COMMANDS[name])(arguments)


def load_command(module: str) -> Callable[[Any], int]:
    """Import a command's module and return its `run`."""
    run: Callable[[Any], int] = import_module(module).run
    return run
