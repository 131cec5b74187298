"""The configuration of one dispatcher: the file that EDGE_CONFIG names and the environment."""

import os
from collections.abc import Mapping
from dataclasses import dataclass, field

import ujson

from stepstream.config.errors import ConfigurationError
from stepstream.config.fields import SettingsFields, flatten
from stepstream.config.settings_reader import read_settings
from stepstream.model.settings import Settings


@dataclass(frozen=True)
class NodeConfig:
    """What one dispatcher is told at its start."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    cores: float
    memory_mb: int
    sockets: int
    settings: Settings
    persisted_endpoints: dict = field(default_factory=dict)  # a list in discovery's form, maybe old
    operator: tuple[str, int] | None = None  # the admin listener's address; None: there is none


def address(fields: SettingsFields, name: str) -> tuple[str, int]:
    host, _, port = fields.text(name).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigurationError(f"{name}={fields.text(name)} is not HOST:PORT")
    return host, int(port)


def positive(fields: SettingsFields, name: str, default: float) -> float:
    value = fields.number(name, default)
    if value <= 0:
        raise ConfigurationError(f"{name}={value} must be above 0")
    return value


def read_config(environment: Mapping[str, str] = os.environ) -> NodeConfig:
    """EDGE_CONFIG's file; EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and EDGE_OPERATOR stand in for what it
    leaves out.
    """
    path = environment.get("EDGE_CONFIG")
    if not path:
        raise ConfigurationError("EDGE_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            data = ujson.loads(file.read())
    except (OSError, ValueError) as error:
        raise ConfigurationError(f"EDGE_CONFIG={path} cannot be read: {error}") from None
    if not isinstance(data, dict):
        raise ConfigurationError(f"EDGE_CONFIG={path} is not a JSON object")
    return config_from(data, environment)


def config_from(data: dict, environment: Mapping[str, str]) -> NodeConfig:
    names = ("name", "listen", "discovery", "operator", "seed", "limits")
    own = {name: data[name] for name in names if name in data}
    pairs = flatten(own, "", {})
    for name in ("name", "listen", "discovery", "operator"):
        if f"EDGE_{name.upper()}" in environment:
            pairs.setdefault(name, environment[f"EDGE_{name.upper()}"])
    fields = SettingsFields.of(pairs)
    if not isinstance(data.get("settings"), dict):
        raise ConfigurationError("settings is missing or not an object")
    known = data.get("known") or {}
    if not isinstance(known, dict):
        raise ConfigurationError("known is not an object")
    seed = fields.text("seed", "0")
    try:
        number = int(seed, 16)
    except ValueError:
        raise ConfigurationError(f"seed={seed} is not a hexadecimal number") from None
    try:
        settings = read_settings(SettingsFields.of(flatten(data["settings"], "", {})))
    except ConfigurationError as error:
        raise ConfigurationError(f"settings: {error}") from None
    return NodeConfig(
        name=fields.text("name", "dispatcher"),
        listen=address(fields, "listen"),
        discovery=address(fields, "discovery"),
        seed=number,
        cores=positive(fields, "limits.cores", 1.0),
        memory_mb=int(positive(fields, "limits.memory_mb", 192)),
        sockets=int(positive(fields, "limits.sockets", 1024)),
        settings=settings,
        persisted_endpoints=known,
        operator=address(fields, "operator") if fields.values.get("operator") else None,
    )
