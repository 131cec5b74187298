"""The operator's file: errors name the faulty key, and without a file no subsystem is loaded."""

import subprocess
import sys
from pathlib import Path

import pytest

from stepstream.config.errors import ConfigurationError
from stepstream.config.operator_file import (
    GearmanSection,
    OperatorConfig,
    read_operator,
    require_all_unchanged,
    require_unchanged,
)
from tests.config.configurations import POLICY_SETTINGS

ROOT = Path(__file__).parents[2]
# Name prefixes of the modules that a dispatcher without an operator's file does not need.
OPTIONAL_MODULES = (
    "msgspec",
    "tomllib",
    "stepstream.config.operator_file",
    "stepstream.config.operator_sections",
    "stepstream.config.operator_checks",
    "stepstream.gearman",
    "stepstream.identity",
    "stepstream.membership",
    "stepstream.leases",
    "stepstream.runtime.structured_log",
    "jwt",
    "cryptography",
    "structlog",
    "ssl",
    "stepstream.lab",
    "numpy",
    "rich",
    "matplotlib",
)


GEARMAN = '[gearman]\nlisten = "127.0.0.1:1"\n'
IDENTITY = '[identity]\nkeys = "k"\nissuer = "i"\naudience = "a"\n'
CALLER = """[[identity.caller]]
name = "a"
subjects = ["s"]
tenants = ["hron-asset"]
classes = ["revalue"]
"""
FLEET = '[fleet]\nlisten = "127.0.0.1:1"\ncluster = "c"\n'
TLS = '[identity.tls]\nlisten = "127.0.0.1:1"\ncertificate = "c"\nkey = "k"\nclients_ca = "a"\n'


def read_toml(tmp_path, text):
    path = tmp_path / "operator.toml"
    path.write_text(text)
    return read_operator(str(path), POLICY_SETTINGS)


def test_an_empty_file_switches_no_subsystem_on(tmp_path):
    assert read_toml(tmp_path, "") == OperatorConfig(gearman=None)


def test_missing_keys_of_a_section_have_their_defaults(tmp_path):
    text = (
        '[gearman]\nlisten = "127.0.0.1:4730"\ntenant = "hron-asset"\n[gearman.worker]\nslots = 4\n'
    )
    gearman = read_toml(tmp_path, text).gearman
    assert (gearman.tenant, gearman.queue, gearman.worker.slots) == ("hron-asset", 8, 4)
    assert gearman == GearmanSection(
        listen="127.0.0.1:4730", tenant="hron-asset", worker=gearman.worker
    )


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[gearman]\n", "gearman: Object missing required field `listen`"),
        ('[gearman]\nlisten = "127.0.0.1"\n', "gearman.listen: Expected HOST:PORT"),
        (FLEET.replace("127.0.0.1", "localhost"), "fleet.listen: Expected IPv4:PORT, never a name"),
        (FLEET + 'seeds = ["127.0.0.1:1", "127.0.0.1:99999"]\n', "fleet.seeds[1]=127.0.0.1:99999"),
        ('[leases]\nvoters = ["a"]\n', "leases needs [fleet]"),
        (FLEET + '[leases]\nvoters = ["a", "b", "a"]\n', "leases.voters[2]=a is there twice"),
        (
            FLEET + '[leases]\nvoters = ["a"]\nlongest_s = 2\nprobe_sweep = true\n',
            "leases.longest_s=2 is under the 3 s of probe_sweep's lease",
        ),
        (
            FLEET + '[leases]\nvoters = ["a"]\nlongest_s = 1\n',
            "leases.longest_s=1 is under four times leases.timeout_ms",
        ),
        ('[gearman]\nlisten = "127.0.0.1:99999"\n', "gearman.listen="),
        (
            '[gearman]\nlisten = "127.0.0.1:1"\nqueue = "x"\n',
            "gearman.queue: Expected `int`, got `str`",
        ),
        (
            '[gearman]\nlisten = "127.0.0.1:1"\nquue = 1\n',
            "gearman: Object contains unknown field `quue`",
        ),
        ('[gearman]\nlisten = "127.0.0.1:1"\nkeep_s = 0\n', "gearman.keep_s: "),
        ('[gearman]\nlisten = "127.0.0.1:1"\ntenant = "nobody"\n', "gearman.tenant=nobody"),
        (
            '[gearman]\nlisten = "127.0.0.1:1"\n[gearman.worker]\nzone = "mars"\n',
            "gearman.worker.zone=mars",
        ),
        (
            '[gearman]\nlisten = "127.0.0.1:1"\n[gearman.worker]\nslots = 0\n',
            "gearman.worker.slots: ",
        ),
        (
            IDENTITY + '[[identity.caller]]\nname = "a"\n',
            "identity.caller[0]: Object missing required field",
        ),
        (IDENTITY + CALLER.replace("revalue", "mining"), "identity.caller[0].classes=mining"),
        (IDENTITY + CALLER.replace("hron-asset", "nobody"), "identity.caller[0].tenants=nobody"),
        (IDENTITY + CALLER + CALLER, "identity.caller[1].name=a is identity.caller[0]'s too"),
        (
            IDENTITY + CALLER.replace('"s"', '"worker/s"'),
            "identity.caller[0].subjects: names that begin",
        ),
        (IDENTITY + 'methods = {mining = ["token"]}\n', "identity.methods.mining"),
        (IDENTITY + 'methods = {revalue = ["word"]}\n', "identity.methods"),
        (IDENTITY + "leeway_s = 61\n", "identity.leeway_s"),
        (IDENTITY + TLS.replace(":1", ":99999"), "identity.tls.listen="),
        (
            IDENTITY + TLS + 'gearman_listen = "127.0.0.1:1"\n',
            "identity.tls.gearman_listen needs [gearman]",
        ),
        ("[xds]\n", "Object contains unknown field `xds`"),
        ("[gearman\n", "cannot be read"),
        # Guards against a traceback at a start, and an internal fault at a reload.
        ("x = " + "[" * 2_000, "cannot be read: maximum recursion depth exceeded"),
        ("x = " + "{a = " * 2_000, "cannot be read: maximum recursion depth exceeded"),
    ],
)
def test_an_error_names_the_file_and_the_faulty_key(tmp_path, text, message):
    with pytest.raises(ConfigurationError) as raised:
        read_toml(tmp_path, text)
    assert message in str(raised.value)
    assert "operator.toml" in str(raised.value)


def test_an_error_names_a_missing_file(tmp_path):
    with pytest.raises(ConfigurationError, match="nowhere.toml cannot be read"):
        read_operator(str(tmp_path / "nowhere.toml"), POLICY_SETTINGS)


@pytest.mark.parametrize(
    ("key", "old_text", "new_text", "message"),
    [
        (
            "gearman.listen",
            GEARMAN,
            GEARMAN.replace(":1", ":2"),
            "gearman.listen=127.0.0.1:2 changes",
        ),
        ("gearman.worker", GEARMAN, GEARMAN + "[gearman.worker]\nslots = 2\n", None),
        ("gearman.listen", GEARMAN, GEARMAN + "queue = 9\n", None),
        ("identity.tls", IDENTITY, IDENTITY + TLS, "identity.tls is switched on or off"),
        ("identity.tls.listen", IDENTITY, IDENTITY, None),
    ],
)
def test_a_reload_may_not_change_a_key_that_needs_a_restart(
    tmp_path, key, old_text, new_text, message
):
    before, after = read_toml(tmp_path, old_text), read_toml(tmp_path, new_text)
    if message is None:
        require_unchanged(key, before, after)
        return
    with pytest.raises(ConfigurationError, match=message):
        require_unchanged(key, before, after)


def test_the_error_names_the_first_of_several_changed_keys(tmp_path):
    before = read_toml(tmp_path, GEARMAN)
    after = read_toml(tmp_path, GEARMAN.replace(":1", ":2") + "[gearman.worker]\nslots = 2\n")
    keys = ["gearman.queue", "gearman.listen", "gearman.worker.slots"]
    with pytest.raises(ConfigurationError, match="gearman.listen=127.0.0.1:2 changes"):
        require_all_unchanged(keys, before, after)
    require_all_unchanged(keys, before, before)


def test_a_missing_file_counts_as_a_file_without_sections(tmp_path):
    require_unchanged("gearman", None, None)
    with pytest.raises(ConfigurationError, match="gearman is switched on or off"):
        require_unchanged("gearman", None, read_toml(tmp_path, GEARMAN))


def test_the_commented_example_file_can_be_read():
    operator = read_operator(str(ROOT / "deploy" / "operator.toml"), POLICY_SETTINGS)
    assert operator.gearman is not None


def test_serve_without_an_operator_file_imports_no_optional_module():
    code = (
        "import sys, stepstream.cli, stepstream.node.node\n"
        f"print([m for m in sys.modules if m.startswith({OPTIONAL_MODULES!r})])\n"
    )
    process = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert process.stdout.strip() == "[]"
