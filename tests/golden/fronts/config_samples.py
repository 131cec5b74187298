"""Samples of `check-config` and of the values that the program reads from its two files."""

import json

import msgspec
from golden.fronts.configurations import (
    CONFIGURATION,
    INPUTS,
    Sample,
    module_settings,
    run_command,
    with_value,
    without_folder,
    written_files,
)
from golden.recorded_data import to_json

from stepstream.config.node_config import config_from
from stepstream.config.operator_file import read_operator

SMALLEST = INPUTS["smallest_configuration"]
KEYS_FROM_ENVIRONMENT = ("listen", "name")
# The message names another key than the one that was changed.
REPORTED_KEYS = {"settings.services": "services.count"}


def reported_key(path: str) -> str:
    """Return how the message names a key: the settings' own keys have no prefix."""
    return REPORTED_KEYS.get(path, path.removeprefix("settings."))


def configuration_values(configuration: dict) -> object:
    """Return the configuration as the program holds it: values in the order of the fields."""
    return to_json(config_from(configuration, {}))


def operator_values(text: str) -> object:
    """Return the operator's file as the program holds it: values in the order of the fields."""
    with written_files(operator=text) as folder:
        operator = read_operator(str(folder / "operator.toml"), module_settings())
    return struct_values(operator)


def struct_values(part: object) -> object:
    """Return the values of a structure, and of the structures in it, as lists."""
    if isinstance(part, msgspec.Struct):
        return [struct_values(value) for value in msgspec.structs.astuple(part)]
    if isinstance(part, tuple):
        return [struct_values(value) for value in part]
    return to_json(part)


def check_config(configuration: object, operator: str | None = None, **environment: str) -> dict:
    """Run `check-config` on these files."""
    with written_files(configuration, operator) as folder:
        words = ["check-config"]
        if operator is not None:
            words += ["--operator", str(folder / "operator.toml")]
        result = run_command(*words, EDGE_CONFIG=str(folder / "config.json"), **environment)
        return without_folder(result, folder)


def check_invalid(configuration: object, key: str, operator: str | None = None) -> dict:
    """Run `check-config`; the result names the key that the message must name too."""
    return {**check_config(configuration, operator), "key": key}


def check_with_environment() -> dict:
    """Run `check-config` with the address and the name taken from the environment."""
    configuration = {
        key: value for key, value in CONFIGURATION.items() if key not in KEYS_FROM_ENVIRONMENT
    }
    return check_config(configuration, EDGE_LISTEN="127.0.0.1:9", EDGE_NAME="n9")


def valid_samples() -> dict[str, Sample]:
    """Return the samples of files that the program accepts."""
    samples: dict[str, Sample] = {}
    for name, text in INPUTS["valid_operator_files"].items():
        samples[f"good/operator {name}"] = lambda text=text: check_config(CONFIGURATION, text)
        if text is not None:
            samples[f"values/operator {name}"] = lambda text=text: operator_values(text)
    samples["good/no tenants"] = lambda: check_config(with_value("settings.projects", []))
    samples["good/address of the environment"] = check_with_environment
    samples["good/least"] = lambda: check_config(SMALLEST)
    samples["values/full"] = lambda: configuration_values(CONFIGURATION)
    samples["values/least"] = lambda: configuration_values(SMALLEST)
    return samples


def invalid_samples() -> dict[str, Sample]:
    """Return the samples of files that the program rejects."""
    samples: dict[str, Sample] = {
        "bad/no file named": lambda: {**run_command("check-config"), "key": "EDGE_CONFIG"},
        "bad/no file": lambda: check_invalid(None, "EDGE_CONFIG"),
        "bad/no JSON": lambda: check_invalid("{", "EDGE_CONFIG"),
        "bad/a list": lambda: check_invalid("[]", "EDGE_CONFIG"),
    }
    for path, values in INPUTS["invalid_configurations"].items():
        for value in values:
            case = with_value(path, value), reported_key(path)
            samples[f"bad/{path}={json.dumps(value)}"] = lambda case=case: check_invalid(*case)
    for number, file in enumerate(INPUTS["invalid_operator_files"]):
        case = CONFIGURATION, file["key"], file["text"]
        name = f"bad operator/{number:03} {file['key']}"
        samples[name] = lambda case=case: check_invalid(*case)
    return samples


def config_samples() -> dict[str, Sample]:
    """Return every sample of the configuration."""
    return valid_samples() | invalid_samples()
