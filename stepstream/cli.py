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
"""

import os
import sys
from typing import TYPE_CHECKING

from docopt import docopt

from stepstream import __version__
from stepstream.config.errors import ConfigurationError
from stepstream.config.node_config import NodeConfig, read_config

if TYPE_CHECKING:
    from stepstream.config.operator_file import OperatorConfig


def main(argv: list[str] | None = None) -> int:
    words = sys.argv[1:] if argv is None else argv
    if words[:1] in (["fleet"], ["lease"]):
        return asking(words)
    arguments = docopt(__doc__, argv)
    if arguments["version"]:
        print(__version__)
        return 0
    if arguments["demo"]:
        return demo(arguments)
    if arguments["lab"]:
        return lab(arguments)
    if arguments["keys"] or arguments["token"]:
        return keys_or_token(arguments)
    path = arguments["--operator"] or os.environ.get("STEPSTREAM_OPERATOR") or None
    try:
        config = read_config()
        operator = operator_from(path, config)
    except ConfigurationError as error:
        print(f"stepstream: configuration: {error}", file=sys.stderr)
        return 2
    if arguments["identity"]:
        return explain(operator, arguments)
    return serve(config, operator, path) if arguments["serve"] else summarize(config, operator)


def operator_from(path: str | None, config: NodeConfig) -> "OperatorConfig | None":
    if path is None:
        return None
    try:
        from stepstream.config.operator_file import read_operator
    except ModuleNotFoundError as error:
        raise ConfigurationError(
            f"--operator needs the package {error.name}: pip install .[operator]"
        ) from None

    return read_operator(path, config.settings)


def serve(config: NodeConfig, operator: "OperatorConfig | None", path: str | None) -> int:
    from stepstream.node.node import Node

    try:
        return Node(config, operator, path).run()
    except ConfigurationError as error:
        print(f"stepstream: configuration: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        host, port = config.listen
        print(f"stepstream: configuration: listen={host}:{port}: {error}", file=sys.stderr)
        return 2


def demo(arguments: dict) -> int:
    try:
        from stepstream.lab.demo import run
    except ModuleNotFoundError as error:
        print(
            f"stepstream: demo needs the package {error.name}: pip install .[lab]", file=sys.stderr
        )
        return 2
    try:
        return run(
            mix=arguments["--mix"],
            seconds=whole("--seconds", arguments["--seconds"]),
            seed=whole("--seed", arguments["--seed"]),
            json_path=arguments["--json"],
            hold=arguments["--hold"],
            site=arguments["--site"],
        )
    except ConfigurationError as error:
        print(f"stepstream: demo: {error}", file=sys.stderr)
        return 2


def lab(arguments: dict) -> int:
    try:
        from stepstream.lab.fleet_play import run
    except ModuleNotFoundError as error:
        print(
            f"stepstream: lab needs the package {error.name}: pip install .[lab]", file=sys.stderr
        )
        return 2
    try:
        return run(
            members=whole("--members", arguments["--members"]),
            seed=whole("--seed", arguments["--seed"]),
            faults=arguments["--faults"],
            seconds=whole("--seconds", arguments["--seconds"]),
            out=arguments["--out"],
        )
    except ConfigurationError as error:
        print(f"stepstream: lab: {error}", file=sys.stderr)
        return 2


def asking(words: list[str]) -> int:
    """`fleet` and `lease`, which ask a running dispatcher."""
    try:
        if words[0] == "fleet":
            from stepstream.membership.commands import run
        else:
            from stepstream.leases.commands import run
    except ModuleNotFoundError as error:
        print(
            f"stepstream: {words[0]} needs the package {error.name}: pip install .[fleet]",
            file=sys.stderr,
        )
        return 2
    try:
        return run(words)
    except ConfigurationError as error:
        print(f"stepstream: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 0


def keys_or_token(arguments: dict) -> int:
    try:
        from stepstream.identity import commands
        from stepstream.identity.errors import IdentityCommandError
    except ModuleNotFoundError as error:
        print(
            f"stepstream: this needs the package {error.name}: pip install .[identity]",
            file=sys.stderr,
        )
        return 2
    try:
        return commands.keys(arguments) if arguments["keys"] else commands.token(arguments)
    except (IdentityCommandError, OSError) as error:
        print(f"stepstream: {error}", file=sys.stderr)
        return 2


def explain(operator: "OperatorConfig", arguments: dict) -> int:
    from stepstream.identity import commands

    try:
        return commands.explain(
            operator.identity, arguments["--token"], arguments["--class"], arguments["--tenant"]
        )
    except ConfigurationError as error:
        print(f"stepstream: {error}", file=sys.stderr)
        return 2


def whole(name: str, text: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise ConfigurationError(f"{name}={text} is not a whole number")
    return int(text)


def summarize(config: NodeConfig, operator: "OperatorConfig | None") -> int:
    settings = config.settings
    print(f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}")
    print(f"classes: {', '.join(kind.name for kind in settings.classes)}")
    print(f"tenants: {', '.join(settings.tenants) or 'none'}")
    print(f"limits: {config.cores} cores, {config.memory_mb} MB, {config.sockets} descriptors")
    if operator is not None and operator.gearman is not None:
        print(f"gearman: listens on {operator.gearman.listen}")
    return 0
