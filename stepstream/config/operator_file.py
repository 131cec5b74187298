"""The operator's own TOML file: read, checked, and compared at a reload.

A subsystem whose section is missing is off: nothing of it is imported. The platform's dispatcher
has no such file and never imports this module, nor `msgspec`. The main thread reads the file; what
is read is immutable. Subsystems import the sections from here.
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
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigurationError(f"operator file {path} cannot be read: {error}") from error
    try:
        operator = msgspec.convert(data, OperatorConfig)
    except msgspec.ValidationError as error:
        fault = key_first(plain_forms(str(error)))
        raise ConfigurationError(f"operator file {path}: {fault}") from error
    try:
        check_operator_config(operator, settings)
    except ConfigurationError as error:
        raise ConfigurationError(f"operator file {path}: {error}") from error
    return operator


def key_first(fault: str) -> str:
    """Return the fault with its key in front.

    msgspec writes "Expected `int`, got `str` - at `$.gearman.queue`". A fault at the top
    level has no place.
    """
    text, _, path = fault.partition(" - at `$")
    key = path.rstrip("`").lstrip(".")
    return f"{key}: {text}" if key else text


def plain_forms(fault: str) -> str:
    """Replace the regular expressions in a fault of msgspec by the form that they stand for."""
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

    `key` is the path of a value, such as `gearman.listen`, or of a section, whose presence counts.
    None stands for no operator's file: all its sections are missing.
    """
    before = value_at(old, key)
    after = value_at(new, key)
    if isinstance(before, Section) or isinstance(after, Section):
        if (before is None) != (after is None):
            raise ConfigurationError(f"{key} is switched on or off only with a restart")
    elif before != after:
        raise ConfigurationError(f"{key}={after} changes only with a restart")


def value_at(operator: OperatorConfig | None, key: str) -> object:
    """Return a section or a value by its path; None where a section on the way is missing."""
    value: object = operator
    for name in key.split("."):
        value = getattr(value, name, None)
    return value
