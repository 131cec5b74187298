"""Samples of the command line: help texts, and errors for invalid arguments."""

from golden.fronts.configurations import FOLDER, Sample, run_command
from golden.recorded_data import read_inputs

COMMAND_LINES = read_inputs(FOLDER, "commands")


def command_samples() -> dict[str, Sample]:
    """Return a sample for each command line."""
    return {name: lambda words=words: run_command(*words) for name, words in COMMAND_LINES.items()}
