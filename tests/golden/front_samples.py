"""Samples of the program's output on HTTP, discovery, commands, configuration, identity, Gearman.

    python tests/golden/front_samples.py record

The command writes the program's output for every sample to `tests/golden/fronts/`;
`tests/golden/test_golden_fronts.py` checks that the output is still the same. A sample is a function
without arguments that returns a value of JSON. The functions that build the samples are in
`tests/golden/fronts/`, in one module for each group, with their inputs as JSON files.
"""

import json
import sys
from collections.abc import Callable
from pathlib import Path

if __name__ == "__main__":
    sys.path[:0] = [str(Path(__file__).resolve().parents[number]) for number in (1, 2)]

from golden.fronts.command_samples import command_samples
from golden.fronts.config_samples import config_samples
from golden.fronts.configurations import FOLDER, Sample
from golden.fronts.gearman_samples import gearman_samples
from golden.fronts.http_samples import http_samples
from golden.fronts.identity_keys import KEY_MATERIAL, make_key_material
from golden.fronts.identity_samples import identity_samples
from golden.fronts.program_samples import program_samples
from golden.fronts.wire_samples import wire_samples

GROUPS: dict[str, Callable[[], dict[str, Sample]]] = {
    "http": http_samples,
    "wire": wire_samples,
    "config": config_samples,
    "commands": command_samples,
    "identity": identity_samples,
    "gearman": gearman_samples,
    "program": program_samples,
}


def write_results(name: str, results: dict) -> None:
    """Write the results of a group's samples to its golden file."""
    text = json.dumps(results, indent=1, sort_keys=True) + "\n"
    (FOLDER / f"{name}.json").write_text(text, encoding="ascii")


def record() -> None:
    """Write the present program's results of every sample."""
    if not (FOLDER / f"{KEY_MATERIAL}.json").exists():
        write_results(KEY_MATERIAL, make_key_material())
    for group, samples in GROUPS.items():
        results = {name: sample() for name, sample in samples().items()}
        write_results(group, results)
        print(f"{group}: {len(results)} samples")


if __name__ == "__main__":
    if sys.argv[1:] != ["record"]:
        sys.exit("usage: front_samples.py record")
    record()
