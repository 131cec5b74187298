"""The program's output to clients, workers, discovery and users equals the recorded output.

The samples and how to record them anew: `tests/golden/front_samples.py`.
"""

import re

import pytest
from golden.front_samples import GROUPS
from golden.fronts.configurations import FOLDER
from golden.recorded_data import as_json, read_results

CASES = [
    pytest.param(group, name, sample, id=f"{group}/{name}")
    for group, samples in GROUPS.items()
    for name, sample in samples().items()
]
RECORDED = {group: read_results(FOLDER, group) for group in GROUPS}


@pytest.mark.parametrize(("group", "name", "sample"), CASES)
def test_a_sample_gives_the_recorded_value(group, name, sample):
    expected = RECORDED[group][name]
    given = as_json(sample())
    if isinstance(expected, dict) and "key" in expected:
        # An error's wording may change; its exit code, its output and the key that it names may not.
        assert given["code"] == expected["code"]
        assert given["out"] == expected["out"]
        key = rf"(?<![\w.]){re.escape(expected['key'])}(?!\w)"
        assert re.search(key, expected["err"])
        assert re.search(key, given["err"])
        return
    assert given == expected


@pytest.mark.parametrize("group", GROUPS)
def test_the_samples_of_a_group_are_those_that_are_recorded(group):
    assert set(RECORDED[group]) == set(GROUPS[group]())
