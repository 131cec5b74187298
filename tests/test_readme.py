"""The README's examples run and are read as they are printed."""

import json
import re
from pathlib import Path

from stepstream.config.node_config import config_from


def test_the_readme_example_starts_the_second_attempt_at_another_worker(capsys):
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (example,) = re.findall(r"```python\n(.*?)```", text, re.S)
    exec(compile(example, "README.md", "exec"), {})
    first, second = capsys.readouterr().out.splitlines()
    assert first.startswith("StartAttempt(job_id='a1'")
    assert second.startswith("[StartAttempt(job_id='a1'")
    assert first != second.strip("[]")  # at another worker


def test_the_readme_configuration_is_valid():
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (example,) = re.findall(r"```json\n(.*?)```", text, re.S)
    config = config_from(json.loads(example), {})
    assert config.settings.classes[0].name == "revalue"
    assert config.settings.polls_endpoints
