"""`stepstream lab fleet`: inject scheduled faults into a cluster and check its invariants."""

from stepstream.cli.arguments import Arguments, read_whole_number_option
from stepstream.cli.errors import as_command_error, optional_packages
from stepstream.config.errors import ConfigurationError


def run(arguments: Arguments) -> int:
    """Run the schedule and return the exit code; raise CommandError if an option is faulty."""
    with optional_packages("lab", extra="lab"):
        from stepstream.lab.reports.fault_run import run as run_fault_schedule
    with as_command_error(ConfigurationError, prefix="lab: "):
        return run_fault_schedule(
            members=read_whole_number_option("--members", arguments["--members"]),
            seed=read_whole_number_option("--seed", arguments["--seed"]),
            faults=arguments["--faults"],
            seconds=read_whole_number_option("--seconds", arguments["--seconds"]),
            out=arguments["--out"],
        )
