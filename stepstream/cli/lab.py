"""`stepstream lab fleet`: a schedule of faults on a few dispatchers, and what must hold."""

from stepstream.cli.arguments import Arguments, parse_whole_number
from stepstream.cli.errors import command_errors, optional_packages
from stepstream.config.errors import ConfigurationError


def run(arguments: Arguments) -> int:
    """Play the schedule and give the exit code; CommandError if an option is at fault."""
    with optional_packages("lab", extra="lab"):
        from stepstream.lab.fleet_play import run as run_fleet_play
    with command_errors(ConfigurationError, prefix="lab: "):
        return run_fleet_play(
            members=parse_whole_number("--members", arguments["--members"]),
            seed=parse_whole_number("--seed", arguments["--seed"]),
            faults=arguments["--faults"],
            seconds=parse_whole_number("--seconds", arguments["--seconds"]),
            out=arguments["--out"],
        )
