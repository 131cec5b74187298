"""The settings reader: nested JSON and dotted pairs give the same Settings; errors name the key."""

import json
import re

import pytest

from stepstream import cli
from stepstream.config.errors import ConfigurationError
from stepstream.config.fields import SettingsFields, flatten
from stepstream.config.node_config import config_from
from stepstream.config.settings_reader import read_settings
from stepstream.model.settings import Effect, JobClass
from tests.case_ids import case_id
from tests.config.configurations import CONFIGURATION


def test_nested_json_and_wire_pairs_give_the_same_settings():
    wire_line = (
        "services.count=2 services.0.name=revalue services.0.deadline_us=5000000 services.0.effect=pure "
        "services.0.goal_time_us=200000 services.0.worth=1.0 services.1.name=nav-publish "
        "services.1.deadline_us=5000000 services.1.effect=token services.1.window_us=7500000 "
        "extra.class_kind=-1,-1 extra.class_stretch=2.0,1.5 extra.tells_start=true projects.count=1 "
        "projects.0.name=tatra-invest projects.0.quota_per_s=92.0 zones=ruzinov,petrzalka zone=1 "
        "discovery=subscribe limits.try_limit=4 limits.cancelling=true limits.conn_idle_us=8000000 "
        "load_report.how=none load_report.columns="
    )
    nested_settings = config_from(CONFIGURATION, {}).settings
    assert nested_settings == read_settings(SettingsFields(wire_line.split(" ")))
    assert nested_settings.zones == ("ruzinov", "petrzalka")
    assert nested_settings.polls_endpoints
    assert nested_settings.worker_idle_timeout_us == 8_000_000
    assert nested_settings.classes[1] == JobClass(
        5_000_000,
        5_000_000,
        Effect.IDEMPOTENT_WITH_KEY,
        objective_stretch=1.5,
        idempotency_window_us=7_500_000,
        name="nav-publish",
    )


def test_environment_variables_supply_keys_that_the_file_lacks():
    data = {key: value for key, value in CONFIGURATION.items() if key != "listen"}
    assert config_from(data, {"EDGE_LISTEN": "127.0.0.1:9"}).listen == ("127.0.0.1", 9)


def configuration_with(path, value):
    """Return a copy of the configuration with another value at a path of keys."""
    configuration = json.loads(json.dumps(CONFIGURATION))
    *parents, last = path
    parent = configuration
    for name in parents:
        parent = parent[name]
    parent[last] = value
    return configuration


@pytest.mark.parametrize(
    ("path", "value", "message"),
    [
        (("listen",), "nowhere", "listen=nowhere"),
        (("discovery",), "127.0.0.1:99999", "discovery=127.0.0.1:99999"),
        (("seed",), "xyz", "seed=xyz"),
        (("limits", "sockets"), 0, "limits.sockets"),
        (("limits", "memory_mb"), "much", "limits.memory_mb=much"),
        (("known",), [1], "known"),
        (("settings",), None, "settings"),
        (("settings", "services"), [], "services.count"),
        (
            ("settings", "services", 0, "effect"),
            "odd",
            "settings: services.0.effect=odd is not known",
        ),
        (("settings", "services", 0, "effect"), "odd", "(pure, token, side_effect are)"),
        (("settings", "services", 1, "deadline_us"), "soon", "services.1.deadline_us=soon"),
        (("settings", "limits", "cancelling"), "maybe", "limits.cancelling=maybe"),
        (("settings", "extra", "class_kind"), [1], "extra.class_kind"),
        (
            ("settings", "services", 0, "deadline_us"),
            0,
            "services.0.deadline_us=0 must be at least 1",
        ),
        (("settings", "services", 0, "goal_time_us"), -5, "services.0.goal_time_us=-5"),
        (("settings", "services", 1, "window_us"), -1, "services.1.window_us=-1"),
        (("settings", "services", 1, "key_scope"), "planet", "services.1.key_scope=planet"),
        (("settings", "limits", "try_limit"), 0, "limits.try_limit=0 must be at least 1"),
        (("settings", "limits", "dial_timeout_us"), 0, "limits.dial_timeout_us=0"),
        (("settings", "limits", "max_open"), 0, "limits.max_open=0"),
        (
            ("settings", "safety"),
            {"stop_sending_within_us": -1},
            "safety.stop_sending_within_us=-1",
        ),
        (
            ("settings", "safety"),
            {"cold_share": 1.5},
            "safety.cold_share=1.5 is not between 0 and 1",
        ),
        (
            ("settings", "safety"),
            {"fall_multiple": -1},
            "safety.fall_multiple=-1.0 is not between 0 and inf",
        ),
        (("settings", "zones"), ["a,b"], "zones"),
        (("settings", "load_report", "how"), "sometimes", "load_report.how=sometimes"),
        (
            ("settings", "load_report", "columns"),
            ["queue", "queue"],
            "load_report.columns names queue",
        ),
    ],
    ids=case_id,
)
def test_an_error_names_the_faulty_key(path, value, message):
    with pytest.raises(ConfigurationError, match=re.escape(message)):
        config_from(configuration_with(path, value), {})


def test_flatten_omits_null_and_writes_booleans_in_lower_case():
    assert flatten({"a": {"b": True, "c": None}, "d": [1, 2]}, "", {}) == {
        "a.b": "true",
        "d": "1,2",
    }


@pytest.mark.parametrize("command", ["serve", "check-config"])
def test_a_faulty_configuration_prints_one_line_and_exits_with_2(
    command, tmp_path, monkeypatch, capsys
):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration_with(("listen",), "nowhere")))
    monkeypatch.setenv("EDGE_CONFIG", str(path))
    assert cli.main([command]) == 2
    (line,) = capsys.readouterr().err.splitlines()
    assert line == "stepstream: configuration: listen=nowhere is not HOST:PORT"


@pytest.mark.parametrize(
    ("text", "message"),
    [(None, "cannot be read"), ("{", "cannot be read"), ("[]", "not a JSON object")],
)
def test_an_unreadable_configuration_file_is_reported(text, message, tmp_path, monkeypatch, capsys):
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    monkeypatch.setenv("EDGE_CONFIG", str(path))
    assert cli.main(["check-config"]) == 2
    assert message in capsys.readouterr().err


def test_check_config_prints_a_summary_and_version_a_number(tmp_path, monkeypatch, capsys):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(CONFIGURATION))
    monkeypatch.setenv("EDGE_CONFIG", str(path))
    assert cli.main(["check-config"]) == 0
    assert cli.main(["version"]) == 0
    out = capsys.readouterr().out
    assert "classes: revalue, nav-publish" in out
    assert out.splitlines()[-1][0].isdigit()


def test_a_port_with_a_non_ascii_digit_is_rejected_and_its_key_is_named():
    with pytest.raises(ConfigurationError, match="listen=h:²"):
        config_from(configuration_with(("listen",), "h:²"), {})
