"""What others read of the program is what it wrote when the samples were recorded, byte for byte.

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
def test_a_sample_gives_what_was_recorded(group, name, sample):
    expected = RECORDED[group][name]
    given = as_json(sample())
    if isinstance(expected, dict) and "key" in expected:
        # A fault's wording may get better; its exit code and the key that it names may not change.
        assert given["code"] == expected["code"]
        assert given["out"] == expected["out"]
        key = rf"(?<![\w.]){re.escape(expected['key'])}(?!\w)"
        assert re.search(key, expected["err"])
        assert re.search(key, given["err"])
        return
    assert given == expected


@pytest.mark.parametrize("group", GROUPS)
def test_every_recorded_sample_is_still_asked_for(group):
    assert set(RECORDED[group]) == set(GROUPS[group]())
