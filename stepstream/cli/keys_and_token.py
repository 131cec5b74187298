"""`stepstream keys` and `stepstream token`: the keys that tokens are signed by, and tokens."""

from stepstream.cli.arguments import Arguments
from stepstream.cli.errors import command_errors, optional_packages


def run(arguments: Arguments) -> int:
    """Make, rotate, revoke or list keys, or issue or inspect a token; return the exit code.

    Raise CommandError if the command cannot be carried out or the key folder not be accessed.
    """
    with optional_packages("this", extra="identity"):
        from stepstream.identity import commands
        from stepstream.identity.errors import IdentityCommandError
    with command_errors(IdentityCommandError, OSError):
        return commands.keys(arguments) if arguments["keys"] else commands.token(arguments)
