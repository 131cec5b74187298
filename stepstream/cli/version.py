"""`stepstream version`."""

from stepstream import __version__
from stepstream.cli.arguments import Arguments
from stepstream.cli.errors import EXIT_OK


def run(_arguments: Arguments) -> int:
    """Print the program's version."""
    print(__version__)
    return EXIT_OK
