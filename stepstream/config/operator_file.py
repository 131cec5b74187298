"""Reading of the operator's own TOML file, and comparison of two versions at a reload.

A subsystem whose section is missing is off: none of its modules is imported. A dispatcher without
such a file, as the platform runs it, imports neither this module nor `msgspec`. The main thread
reads the file; the result is immutable. Subsystems import the sections from this module.
"""

import tomllib
from collections.abc import Iterable

import msgspec

from stepstream.config.errors import ConfigurationError
from stepstream.config.fields import split_address
from stepstream.config.operator_checks import check_operator_config
from stepstream.config.operator_sections import (
    PATTERN_FORMS,
    PROBE_SWEEP_LEASE_SECONDS,
    CallerSection,
    GearmanSection,
    IdentitySection,
    LeasesSection,
    MembershipSection,
    OperatorConfig,
    Section,
    TlsSection,
    WorkerDefaults,
)
from stepstream.model.settings import Settings

__all__ = [
    "PROBE_SWEEP_LEASE_SECONDS",
    "CallerSection",
    "GearmanSection",
    "IdentitySection",
    "LeasesSection",
    "MembershipSection",
    "OperatorConfig",
    "Section",
    "TlsSection",
    "WorkerDefaults",
    "read_operator",
    "require_all_unchanged",
    "require_unchanged",
    "split_address",
]


def read_operator(path: str, settings: Settings) -> OperatorConfig:
    """Read the file and check it against the deployment's settings.

    `ConfigurationError` names the file, and the key at fault by its path, such as
    `identity.caller[0].tenants`.
    """
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ConfigurationError(f"operator file {path} cannot be read: {error}") from error
    try:
        operator = msgspec.convert(data, OperatorConfig)
    except msgspec.ValidationError as error:
        fault = move_key_to_front(replace_patterns(str(error)))
        raise ConfigurationError(f"operator file {path}: {fault}") from error
    try:
        check_operator_config(operator, settings)
    except ConfigurationError as error:
        raise ConfigurationError(f"operator file {path}: {error}") from error
    return operator


def move_key_to_front(fault: str) -> str:
    """Return a fault of msgspec with its key in front.

    msgspec writes "Expected `int`, got `str` - at `$.gearman.queue`". For a fault at the top level
    of the file it names no key.
    """
    text, _, path = fault.partition(" - at `$")
    key = path.rstrip("`").lstrip(".")
    return f"{key}: {text}" if key else text


def replace_patterns(fault: str) -> str:
    """Replace each regular expression in a fault of msgspec by the words for its form."""
    for pattern, form in PATTERN_FORMS.items():
        fault = fault.replace(f"`str` matching regex {pattern!r}", form)
    return fault


def require_all_unchanged(
    keys: Iterable[str], old: OperatorConfig | None, new: OperatorConfig | None
) -> None:
    """Raise `ConfigurationError` for the first of the keys that a reload would change."""
    for key in keys:
        require_unchanged(key, old, new)


def require_unchanged(key: str, old: OperatorConfig | None, new: OperatorConfig | None) -> None:
    """Raise `ConfigurationError` if a reload would change what only a restart may change.

    `key` is the path of a value, such as `gearman.listen`, or of a section. A section may change,
    but it may be neither added nor removed. None stands for no operator's file, in which all
    sections are missing.
    """
    before = value_at(old, key)
    after = value_at(new, key)
    if isinstance(before, Section) or isinstance(after, Section):
        if (before is None) != (after is None):
            raise ConfigurationError(f"{key} is switched on or off only with a restart")
    elif before != after:
        raise ConfigurationError(f"{key}={after} changes only with a restart")


def value_at(operator: OperatorConfig | None, key: str) -> object:
    """Return a section or a value by its path; None if a section of that path is missing."""
    value: object = operator
    for name in key.split("."):
        value = getattr(value, name, None)
    return value
