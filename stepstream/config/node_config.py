"""The configuration of one dispatcher: the file that EDGE_CONFIG names, and the environment.

Read by the main thread, at the start and at every reload; what is read is immutable.
"""

import os
from collections.abc import Mapping
from dataclasses import field
from typing import Any

from stepstream.config.errors import ConfigurationError
from stepstream.config.fields import SettingsFields, flatten
from stepstream.config.json_decoding import decode_json
from stepstream.config.settings_reader import read_settings
from stepstream.model.records import record
from stepstream.model.settings import Settings

# Keys of the file that become name=value pairs; `settings` and `known` are read separately.
NODE_KEYS = ("name", "listen", "discovery", "operator", "seed", "limits")
# Keys that an environment variable, such as EDGE_NAME, supplies where the file leaves them out.
ENVIRONMENT_KEYS = ("name", "listen", "discovery", "operator")

JsonObject = dict[str, Any]


@record
class NodeConfig:
    """The checked configuration of one dispatcher."""

    name: str
    listen: tuple[str, int]  # where clients connect
    discovery: tuple[str, int]
    seed: int  # of the random draws of the load balancer, poll times and staleness detector
    cores: float
    memory_mb: int
    sockets: int  # file descriptors
    settings: Settings
    # The file's `known`: an endpoint list in discovery's form, possibly out of date.
    persisted_endpoints: JsonObject = field(default_factory=dict)
    operator: tuple[str, int] | None = None  # address of the admin listener, if there is one


def read_config(environment: Mapping[str, str] = os.environ) -> NodeConfig:
    """Read the file that EDGE_CONFIG names.

    EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and EDGE_OPERATOR stand in for keys that it leaves out.
    `ConfigurationError` names the variable or the key at fault.
    """
    path = environment.get("EDGE_CONFIG")
    if not path:
        raise ConfigurationError("EDGE_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            data = decode_json(file.read())
    except (OSError, ValueError) as error:
        raise ConfigurationError(f"EDGE_CONFIG={path} cannot be read: {error}") from error
    if not isinstance(data, dict):
        raise ConfigurationError(f"EDGE_CONFIG={path} is not a JSON object")
    return config_from(data, environment)


def config_from(data: JsonObject, environment: Mapping[str, str]) -> NodeConfig:
    """Check the file's content and complete it from the environment.

    Raise `ConfigurationError`, which names the key at fault.
    """
    fields = node_fields(data, environment)
    if not isinstance(data.get("settings"), dict):
        raise ConfigurationError("settings is missing or not an object")
    persisted_endpoints = data.get("known") or {}
    if not isinstance(persisted_endpoints, dict):
        raise ConfigurationError("known is not an object")
    seed = read_seed(fields)
    try:
        settings = read_settings(SettingsFields.from_pairs(flatten(data["settings"], "", {})))
    except ConfigurationError as error:
        raise ConfigurationError(f"settings: {error}") from error
    return NodeConfig(
        name=fields.text("name", "dispatcher"),
        listen=fields.address("listen"),
        discovery=fields.address("discovery"),
        seed=seed,
        cores=fields.positive_number("limits.cores", 1.0),
        memory_mb=int(fields.positive_number("limits.memory_mb", 192)),
        sockets=int(fields.positive_number("limits.sockets", 1024)),
        settings=settings,
        persisted_endpoints=persisted_endpoints,
        operator=fields.address("operator") if fields.values.get("operator") else None,
    )


def node_fields(data: JsonObject, environment: Mapping[str, str]) -> SettingsFields:
    """Collect the keys NODE_KEYS from the file, and missing ones from the environment."""
    pairs = flatten({key: data[key] for key in NODE_KEYS if key in data}, "", {})
    for key in ENVIRONMENT_KEYS:
        variable = f"EDGE_{key.upper()}"
        if variable in environment:
            pairs.setdefault(key, environment[variable])
    return SettingsFields.from_pairs(pairs)


def read_seed(fields: SettingsFields) -> int:
    """Read the seed, a hexadecimal number; 0 by default."""
    seed = fields.text("seed", "0")
    try:
        return int(seed, 16)
    except ValueError:
        raise ConfigurationError(f"seed={seed} is not a hexadecimal number") from None
