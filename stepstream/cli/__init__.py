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
  serve         Run one dispatcher, configured by EDGE_CONFIG, until SIGTERM.
  check-config  Read EDGE_CONFIG; name the first faulty key or print a summary.
  keys          Create, rotate, revoke or list the keys that sign tokens.
  token         Issue a token, or print the content of one.
  identity      Print the access decision on a token for a class and tenant, and its rule.
  fleet         Ask a running dispatcher for its membership list: stepstream fleet --help.
  lease         List, show, revoke or hold leases of a running dispatcher: stepstream lease --help.
  lab fleet     Inject faults (drawn from the seed, or of a file) into a cluster of dispatchers and check invariants.
  demo          Run emulated workers and clients round a dispatcher on this machine, and print the outcome.
  version       Print the version.

Options:
  --operator FILE  The operator's TOML file, which enables subsystems beyond the platform's dispatcher; by default
                   STEPSTREAM_OPERATOR. Without either none is loaded.
  --dir DIR        The folder of keys.json and the private keys.
  --alg ALG        EdDSA, ES256 or RS256 [default: EdDSA].
  --kid KID        The key's id; random by default.
  --state STATE    active or next [default: active].
  --overlap S      Seconds for which tokens of the retiring key stay valid [default: 3600].
  --early          Rotate although verifiers may not have read the next key yet.
  --subject SUB    The token's subject.
  --issuer ISS     The token's issuer, as identity.issuer.
  --audience AUD   The token's audience, as identity.audience.
  --ttl S          Seconds for which the token is valid [default: 900].
  --token TOKEN    The token to decide on.
  --class CLASS    The job class of the request.
  --tenant TENANT  The tenant of the request.
  --site NAME      The emulated site: small (polled endpoint lists, no load reports, idempotency keys) or probed
                   (pushed lists, load reports by health checks, jobs that must never run twice) [default: small].
  --mix MIX        The protocols of clients and workers: http, gearman or mixed [default: mixed].
  --seconds N      Length of the load in seconds [default: 20].
  --seed N         Seed of all random draws [default: 1].
  --json FILE      Write the results as JSON too.
  --members N      Dispatchers, 2 to 20 [default: 5].
  --faults FILE    A schedule of [[fault]] tables: docs/membership.md.
  --out DIR        Write fleet.json and the chart fleet.png there.
  --hold           Start workers and dispatcher but no load: print their addresses as one JSON line and run until
                   SIGTERM or SIGINT.

Exit codes of all commands: docs/commands.md.
"""  # noqa: E501  printed as the usage, whose text is fixed

import sys
from collections.abc import Callable
from importlib import import_module
from typing import Any

from docopt import docopt

from stepstream.cli.errors import CommandError

# The module of each command, imported only when the command is called. Its `run` takes docopt's
# arguments and returns the exit code.
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
# These commands parse their own usage: their `run` takes the command line, which begins with the
# command's name.
COMMANDS_WITH_OWN_USAGE = {"fleet": "stepstream.cli.fleet", "lease": "stepstream.cli.lease"}


def main(argv: list[str] | None = None) -> int:
    """Run the command line `argv`, the process's own by default, and return its exit code.

    A `CommandError` is printed as one line on standard error. Raise docopt's SystemExit if the
    command line does not match the usage, and after printing the help.
    """
    command_line = sys.argv[1:] if argv is None else argv
    try:
        return run_command(command_line)
    except CommandError as error:
        print(f"stepstream: {error}", file=sys.stderr)
        return error.exit_code


def run_command(command_line: list[str]) -> int:
    """Run the command that the command line names; return its exit code."""
    first_word = command_line[0] if command_line else ""
    if first_word in COMMANDS_WITH_OWN_USAGE:
        return load_command(COMMANDS_WITH_OWN_USAGE[first_word])(command_line)
    arguments = docopt(__doc__, command_line)
    name = next(name for name in COMMANDS if arguments[name])
    return load_command(COMMANDS[name])(arguments)


def load_command(module: str) -> Callable[[Any], int]:
    """Import a command's module and return its `run`."""
    run: Callable[[Any], int] = import_module(module).run
    return run
