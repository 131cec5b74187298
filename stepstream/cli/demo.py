"""`stepstream demo`: run a dispatcher with emulated workers and load on this machine."""

from stepstream.cli.arguments import Arguments, read_whole_number_option
from stepstream.cli.errors import as_command_error, optional_packages
from stepstream.config.errors import ConfigurationError


def run(arguments: Arguments) -> int:
    """Run the demo and return its exit code; raise CommandError if an option is faulty."""
    with optional_packages("demo", extra="lab"):
        from stepstream.lab.reports.demo import run as run_demo
    with as_command_error(ConfigurationError, prefix="demo: "):
        return run_demo(
            mix=arguments["--mix"],
            seconds=read_whole_number_option("--seconds", arguments["--seconds"]),
            seed=read_whole_number_option("--seed", arguments["--seed"]),
            json_path=arguments["--json"],
            hold=arguments["--hold"],
            site=arguments["--site"],
        )
