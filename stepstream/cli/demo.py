"""`stepstream demo`: a small fleet, a dispatcher and load on this machine."""

from stepstream.cli.arguments import Arguments, whole_number_option
from stepstream.cli.errors import command_errors, optional_packages
from stepstream.config.errors import ConfigurationError


def run(arguments: Arguments) -> int:
    """Run the demo and return its exit code; raise CommandError if an option is at fault."""
    with optional_packages("demo", extra="lab"):
        from stepstream.lab.reports.demo import run as run_demo
    with command_errors(ConfigurationError, prefix="demo: "):
        return run_demo(
            mix=arguments["--mix"],
            seconds=whole_number_option("--seconds", arguments["--seconds"]),
            seed=whole_number_option("--seed", arguments["--seed"]),
            json_path=arguments["--json"],
            hold=arguments["--hold"],
            site=arguments["--site"],
        )
