"""`stepstream keys` and `stepstream token`: manage signing keys; issue and inspect tokens."""

from stepstream.cli.arguments import Arguments
from stepstream.cli.errors import as_command_error, optional_packages


def run(arguments: Arguments) -> int:
    """Create, rotate, revoke or list keys, or issue or inspect a token; return the exit code.

    Raise CommandError if the command or an access to the key folder fails.
    """
    with optional_packages("this command", extra="identity"):
        from stepstream.identity import commands
        from stepstream.identity.errors import IdentityCommandError
    with as_command_error(IdentityCommandError, OSError):
        return (
            commands.run_keys_command(arguments)
            if arguments["keys"]
            else commands.run_token_command(arguments)
        )
