"""Exit codes of the commands, as docs/commands.md documents them."""

import re
import subprocess
import sys
from pathlib import Path

import pytest

from stepstream import cli

ROOT = Path(__file__).parents[2]
COMMANDS_PAGE = ROOT / "docs" / "commands.md"
QUOTED = re.compile("`([^`]+)`")
CLOSED_PORT = "127.0.0.1:1"  # nothing listens there


def commands_of_page():
    """Return the first word of each command in the page's table."""
    table = re.findall("^\\| (`[^|]*) \\|", COMMANDS_PAGE.read_text(), re.MULTILINE)
    return {name.split()[0] for cell in table for name in QUOTED.findall(cell)}


def test_the_commands_page_names_each_command_of_the_usage():
    usage = cli.__doc__.partition("Usage:")[2].partition("Commands:")[0]
    commands = set(re.findall(r"^  stepstream ([a-z-]+)", usage, re.MULTILINE)) | {"lease"}
    assert commands <= commands_of_page()


@pytest.mark.parametrize(
    ("command_line", "expected"),
    [
        pytest.param(["nosuch"], 1, id="unknown command"),
        pytest.param(["fleet", "nosuch"], 1, id="unknown fleet command"),
        pytest.param(["lease", "nosuch"], 2, id="unknown lease command"),
        pytest.param(["lease", "run", "x"], 64, id="lease run without its options"),
        pytest.param(["check-config"], 2, id="check-config without a configuration"),
        pytest.param(["serve"], 2, id="serve without a configuration"),
        pytest.param(["token", "inspect", "x"], 2, id="token inspect of no token"),
        pytest.param(["keys", "revoke", "x", "--dir", "/nonexistent"], 2, id="revoke no key"),
        pytest.param(["fleet", "members", "--at", CLOSED_PORT], 2, id="fleet without an answer"),
        pytest.param(["lease", "list", "--at", CLOSED_PORT], 2, id="lease without an answer"),
        pytest.param(["lab", "fleet", "--members", "x"], 2, id="lab with a faulty option"),
        pytest.param(["demo", "--mix", "x"], 2, id="demo with a faulty option"),
        pytest.param(["version"], 0, id="version"),
    ],
)
def test_a_command_ends_with_its_documented_exit_code(command_line, expected):
    process = subprocess.run(
        [sys.executable, "-m", "stepstream", *command_line],
        cwd=ROOT,
        env={"PATH": "/usr/bin:/bin"},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert process.returncode == expected, process.stderr
    assert "Traceback" not in process.stderr


def test_keys_list_shows_a_key_without_a_state_as_active(tmp_path):
    # The state is an optional member of a key; its default is active.
    keys_command = [sys.executable, "-m", "stepstream", "keys"]
    folder = str(tmp_path)
    subprocess.run([*keys_command, "new", "--kid", "k1", "--dir", folder], cwd=ROOT, check=True)
    key_file = tmp_path / "keys.json"
    key_file.write_text(re.sub(r',\s*"state":\s*"active"', "", key_file.read_text()))
    assert '"state"' not in key_file.read_text()
    listed = subprocess.run(
        [*keys_command, "list", "--dir", folder],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    assert listed.stdout.startswith("k1 EdDSA active since ")
