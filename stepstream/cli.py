"""stepstream: a dispatcher that pushes jobs to workers.

Usage:
  stepstream serve
  stepstream check-config
  stepstream version
  stepstream (-h | --help)

Commands:
  serve         Run one dispatcher, as EDGE_CONFIG says, until SIGTERM.
  check-config  Read EDGE_CONFIG, name the first faulty key or sum up what it sets.
  version       Print the version.
"""

import sys

from docopt import docopt

from stepstream import __version__
from stepstream.settings import Config, FieldError, read_config


def main(argv: list[str] | None = None) -> int:
    arguments = docopt(__doc__, argv)
    if arguments["version"]:
        print(__version__)
        return 0
    try:
        config = read_config()
    except FieldError as error:
        print(f"stepstream: configuration: {error}", file=sys.stderr)
        return 2
    return serve(config) if arguments["serve"] else summarize(config)


def serve(config: Config) -> int:
    from stepstream.net.node import Node

    try:
        return Node(config).run()
    except OSError as error:
        host, port = config.listen
        print(f"stepstream: configuration: listen={host}:{port}: {error}", file=sys.stderr)
        return 2


def summarize(config: Config) -> int:
    settings = config.settings
    print(f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}")
    print(f"classes: {', '.join(kind.name for kind in settings.classes)}")
    print(f"tenants: {', '.join(settings.tenants) or 'none'}")
    print(f"limits: {config.cores} cores, {config.memory_mb} MB, {config.sockets} descriptors")
    return 0
