"""`stepstream lab fleet`: a schedule of faults on a few dispatchers, and what must hold."""

from stepstream.cli.arguments import Arguments, whole_number_option
from stepstream.cli.errors import command_errors, optional_packages
from stepstream.config.errors import ConfigurationError


def run(arguments: Arguments) -> int:
    """Play the schedule and return the exit code; raise CommandError if an option is at fault."""
    with optional_packages("lab", extra="lab"):
        from stepstream.lab.reports.fault_run import run as run_fleet_play
    with command_errors(ConfigurationError, prefix="lab: "):
        return run_fleet_play(
            members=whole_number_option("--members", arguments["--members"]),
            seed=whole_number_option("--seed", arguments["--seed"]),
            faults=arguments["--faults"],
            seconds=whole_number_option("--seconds", arguments["--seconds"]),
            out=arguments["--out"],
        )
